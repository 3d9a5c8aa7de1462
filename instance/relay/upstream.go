package relay

import (
	"sync"
	"time"

	"github.com/comfreyladder/comfreyladder/core/balance"
	"github.com/comfreyladder/comfreyladder/core/control/serving"
)

// upstream is what this instance knows of one incarnation: its state, the work that
// it has from here, how that went, and the connections to it. The fleet's mutex guards
// the fields up to mu; mu guards those up to pool, which has a mutex of its own.
type upstream struct {
	id, address, domain string
	// begun tells incarnations under one ID apart.
	begun    uint64
	state    serving.State
	silent   bool
	slots    int
	maxConns int

	// active counts requests under way, held their prompt tokens, and reading those
	// that are to be read for requests whose first event has not come.
	active  int
	held    int
	reading int
	kept    balance.PromptCache

	mu sync.Mutex
	// failures counts failures in a row; until is when an upstream that failed may
	// be tried again.
	failures int
	until    time.Time
	// observer sums up how its answers went.
	observer balance.Observer

	pool   pool
	losses losses
}

func newUpstream(info *serving.Upstream) *upstream {
	u := &upstream{id: info.ID, address: info.Address, begun: info.FirstIndex}
	u.pool.address = info.Address
	return u
}

// describe returns what is known here of the upstream, and what was observed of its
// answers. It needs the fleet's mutex.
func (u *upstream) describe(now time.Time) (balance.Upstream, balance.Observed) {
	b := balance.Upstream{ID: u.id, Domain: u.domain, Active: u.active, Slots: u.slots, QueuedTokens: u.reading, UsedTokens: u.held}
	u.mu.Lock()
	defer u.mu.Unlock()
	b.Suspect = u.failures > 0 && (now.Before(u.until) || u.silent)
	return b, u.observer.Sums(now)
}

// begin books a request; it needs the fleet's mutex.
func (u *upstream) begin(r *request, now time.Time) {
	u.active++
	u.reading += r.unread
	u.held += r.tokens
	if r.affinity != 0 {
		u.kept.Record(now, r.affinity)
	}
}

// firstEvent says that a request's prompt was read.
func (f *fleet) firstEvent(a *attempt, took time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	a.up.reading -= a.unread
	f.pace(a.r.service).rate.Observe(float64(a.unread+a.ahead), took)
	a.up.sawFirstEvent(a.nominal+timeFloor, float64(took.Milliseconds())+timeFloor)
}

// timeFloor is added, in milliseconds, to what was predicted and what was seen, so that
// short answers, which vary by that much, don't look slow.
const timeFloor = 40.0

func (u *upstream) sawFirstEvent(predicted, took float64) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.observer.FirstEvent(time.Now(), predicted, took)
}

// done says that a request has ended.
func (f *fleet) done(a *attempt) {
	f.mu.Lock()
	defer f.mu.Unlock()
	a.up.active--
	a.up.held -= a.r.tokens
	if !a.begunEvents {
		a.up.reading -= a.unread
		return
	}
	p := f.pace(a.r.service)
	reading := time.Duration(float64(a.unread) / p.rate.PerMS() * float64(time.Millisecond))
	held := time.Since(a.begun) - a.r.first + reading
	p.residence(a.r.quick).Observe(held)
	p.route(a.r.route.Name).Observe(held)
}

const (
	// minEjection and maxEjection bound for how long an upstream is left alone after
	// failures in a row.
	minEjection = 500 * time.Millisecond
	maxEjection = 4 * time.Second
	// toleratedRow is how many failures in a row don't count: one may be the fault of
	// its connection alone.
	toleratedRow = 1
)

// failed notes an attempt that failed at the upstream, and reports for how long it
// is left alone.
func (u *upstream) failed(hard bool) time.Duration {
	u.mu.Lock()
	defer u.mu.Unlock()
	if hard {
		u.observer.FailedHard(time.Now())
	} else {
		u.observer.Failed(time.Now())
	}
	u.failures++
	if u.failures <= toleratedRow && !hard {
		return 0
	}
	pause := min(maxEjection, minEjection<<min(u.failures-1, 8))
	u.until = time.Now().Add(pause)
	return pause
}

// answeredFailure notes a whole answer that is a failure. It may be the request's own
// fault, so the upstream is not left alone for it; but one that fails more of its
// requests than its peers costs more.
func (u *upstream) answeredFailure() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.observer.Failed(time.Now())
	u.failures = 0
}

// succeeded notes an answer.
func (u *upstream) succeeded() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.observer.Succeeded(time.Now())
	u.failures = 0
}

func (u *upstream) closeIdle(now time.Time) { u.pool.closeIdle(now) }

func (u *upstream) retire() { u.pool.close() }
