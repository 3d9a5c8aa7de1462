package relay

import (
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/comfreyladder/comfreyladder/core/backpressure"
	"github.com/comfreyladder/comfreyladder/core/balance"
	"github.com/comfreyladder/comfreyladder/core/control/serving"
	"github.com/comfreyladder/comfreyladder/core/warmup"
	servingsvc "github.com/comfreyladder/comfreyladder/instance/serving"
)

// upstream is the state of one incarnation as known to this instance: its registration, the work
// sent from here, the results of that work, and the connections to it. The fleet's mutex guards the
// fields up to mu; mu guards those up to pool, which has a mutex of its own.
type upstream struct {
	id, address, domain string
	// incarnation distinguishes incarnations with the same ID.
	incarnation uint64
	state       serving.State
	silent      bool
	slots       int
	// slotsKnown is set if the upstream declared its slots.
	slotsKnown bool
	// ownSlots holds the positions of this instance's own slots here, see fleet.shareSlots.
	ownSlots []int
	// takenAt is when it was chosen last, and busySince when it was after a pause in which the work of other
	// instances there may have changed; at first when this instance learned of it.
	takenAt, busySince time.Time
	// software is the version of the upstream's software; empty if it is unknown.
	software string

	// active counts requests in flight, usedTokens their prompt tokens, and queuedTokens the tokens
	// to prefill for requests without a first event.
	active       int
	usedTokens   int
	queuedTokens int
	// told is the load that this instance told the others last.
	told servingsvc.Load
	// service lists the upstream while it may get work, at the given positions.
	service           *service
	readyAt, domainAt int
	place             balance.Place
	// chosenIn is the round of the latest choice that collected it, and candidateAt its position
	// in the latest choice that described it.
	chosenIn    uint64
	candidateAt int

	// cold is how long it stays cold.
	cold warmup.Cold

	// peers sums up the observations of all upstreams of its service; nil until it was ready.
	peers atomic.Pointer[peerObserver]

	mu sync.Mutex
	// failures counts consecutive failures; ejectedUntil is when a failed upstream may be tried
	// again.
	failures     int
	ejectedUntil time.Time
	// observer sums up the results of its responses.
	observer balance.Observer

	// lot decides whether this instance has a share of the upstream's slots if there are more
	// instances than slots.
	lot float64
	// gate is closed while the upstream wants nothing from this instance.
	gate backpressure.Gate

	pool   pool
	losses losses
}

func (f *fleet) newUpstream(info *serving.Upstream) *upstream {
	u := &upstream{id: info.ID, address: info.Address, incarnation: info.FirstIndex, lot: rand.Float64(), busySince: time.Now()}
	u.pool.target, u.pool.links = targetOf(info), f.links
	return u
}

// take counts another request in flight. The caller holds the fleet's mutex.
func (u *upstream) take(now time.Time) {
	if now.Sub(u.takenAt) > loadsKnownAfter {
		u.busySince = now
	}
	u.takenAt = now
	u.active++
}

// endIsCrash reports whether the upstream has announced neither a drain nor a leave, so that its end
// is a crash. The caller holds the fleet's mutex.
func (u *upstream) endIsCrash() bool { return u.state == serving.Ready && !u.gate.Leaving() }

// describe returns the load of the upstream known here and the observations of its responses. The
// caller holds the fleet's mutex.
func (u *upstream) describe(now time.Time) (balance.Upstream, balance.Observed) {
	b := balance.Upstream{ID: u.id, Domain: u.domain, Active: u.active, Slots: u.slots, QueuedTokens: u.queuedTokens, UsedTokens: u.usedTokens}
	u.mu.Lock()
	defer u.mu.Unlock()
	return b, u.observer.Sums(now)
}

// suspect reports whether the upstream is avoided for its failures. The caller holds the fleet's
// mutex.
func (u *upstream) suspect(now time.Time) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.failures > 0 && (now.Before(u.ejectedUntil) || u.silent)
}

// observe records an observation of the upstream. The caller holds mu.
func (u *upstream) observe(f func(*balance.Observer)) {
	f(&u.observer)
	if p := u.peers.Load(); p != nil {
		p.observe(f)
	}
}

// firstEvent records that the prompt of a request was prefilled.
func (f *fleet) firstEvent(a *attempt, took time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	a.up.queuedTokens -= a.uncachedTokens
	f.recordChange(a.up)
	f.service(a.r.service).rates.rate.Observe(float64(a.uncachedTokens+a.queuedTokens), took)
	a.up.sawFirstEvent(a.nominalMS+latencyFloorMS, float64(took.Milliseconds())+latencyFloorMS)
}

// latencyFloorMS is added to the predicted and the observed time, in milliseconds, so that short
// responses, which vary by that much, do not make an upstream look slow.
const latencyFloorMS = 40.0

func (u *upstream) sawFirstEvent(predicted, took float64) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.observe(func(o *balance.Observer) { o.FirstEvent(time.Now(), predicted, took) })
}

// release returns the capacity reserved for an attempt.
func (f *fleet) release(a *attempt) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.recordChange(a.up)
	if a.r.capacity == 0 {
		f.service(a.r.service).holdTime.Observe(time.Since(a.startedAt))
	}
	a.up.active--
	a.up.usedTokens -= a.r.tokens
	if !a.firstEventSeen {
		a.up.queuedTokens -= a.uncachedTokens
		return
	}
	p := f.service(a.r.service).rates
	prefillTime := time.Duration(float64(a.uncachedTokens) / p.rate.PerMS() * float64(time.Millisecond))
	slotTime := time.Since(a.startedAt) - a.r.firstEventAfter + prefillTime
	p.slotTime(a.r.quick).Observe(slotTime)
	p.routeSlotTime(a.r.route.Name).Observe(slotTime)
}

const (
	// minEjection and maxEjection bound how long an upstream is avoided after consecutive failures.
	minEjection = 500 * time.Millisecond
	maxEjection = 4 * time.Second
	// toleratedFailures is how many consecutive failures are ignored: one may be caused by its
	// connection alone.
	toleratedFailures = 1
)

// failed records an attempt that failed at the upstream, and returns how long the upstream is
// avoided.
func (u *upstream) failed(hard bool) time.Duration {
	u.mu.Lock()
	defer u.mu.Unlock()
	if hard {
		u.observe(func(o *balance.Observer) { o.FailedHard(time.Now()) })
	} else {
		u.observe(func(o *balance.Observer) { o.Failed(time.Now()) })
	}
	u.failures++
	if u.failures <= toleratedFailures && !hard {
		return 0
	}
	ejection := min(maxEjection, minEjection<<min(u.failures-1, 8))
	u.ejectedUntil = time.Now().Add(ejection)
	return ejection
}

// answeredFailure records a complete error response. The request itself may have caused it, so the
// upstream is not avoided; but one that fails more requests than its peers is rated as more costly.
func (u *upstream) answeredFailure() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.observe(func(o *balance.Observer) { o.Failed(time.Now()) })
	u.failures = 0
}

// rejected records a request that the upstream did not run. Having little in flight, an upstream that
// rejects all requests would otherwise look cheaper than those that serve them.
func (u *upstream) rejected() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.observe(func(o *balance.Observer) { o.FailedHard(time.Now()) })
}

// succeeded records a successful response.
func (u *upstream) succeeded() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.observe(func(o *balance.Observer) { o.Succeeded(time.Now()) })
	u.failures = 0
}

// closeIdle closes the expired idle connections, or all if now is zero, and returns how many idle
// ones are left.
func (u *upstream) closeIdle(now time.Time) int { return u.pool.closeIdle(now) }

func (u *upstream) retire() { u.pool.close() }
