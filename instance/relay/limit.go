package relay

import (
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/comfreyladder/comfreyladder/core/balance"
	"github.com/comfreyladder/comfreyladder/core/ratelimit"
	"github.com/comfreyladder/comfreyladder/instance/clock"
)

// Limits are the limits that upstreams name, and the rights of this instance to send requests
// to them.
type Limits interface {
	// RecordLimit notes what an answer of an upstream said of its limit, zero for none, to a request
	// that was sent and answered at two times of clock.Now. name is the upstream's in logs.
	RecordLimit(upstream uint64, name string, perSecond float64, sent, heard time.Time)
	// HasLimits reports whether any upstream names a limit, Limit returns that of one.
	HasLimits() bool
	Limit(upstream uint64) (perSecond float64, limited bool)
	// Available reports whether a request may be sent to a limited upstream, Use uses that right
	// and ReturnToken gives it back. AddDemand asks for one.
	Available(upstream uint64) bool
	Use(upstream uint64, urgency int) bool
	ReturnToken(upstream uint64)
	AddDemand(upstream uint64, urgency int)
	// Statements are for other instances, Merge takes in theirs.
	Statements() []ratelimit.Statement
	Merge([]ratelimit.Statement)
}

// leastLimit and maxLimit bound the limits that are believed, in requests a second. An upstream
// that takes nothing at all could not say when that is over.
const leastLimit, maxLimit = 0.05, 1e6

// noteLimit notes what the head of an answer says of the upstream's limit. One that can't be
// read says nothing.
func (a *attempt) noteLimit() {
	if a.s.cfg.Limits == nil {
		return
	}
	perSecond := 0.0
	if value := a.head.Get(a.s.cfg.Headers.Limit); len(value) > 0 {
		n, err := strconv.ParseFloat(string(value), 64)
		if err != nil || !(n >= 0) || n > maxLimit {
			return
		}
		perSecond = max(leastLimit, n)
	}
	a.s.cfg.Limits.RecordLimit(a.up.begun, a.up.id, perSecond, a.sent, clock.Now())
}

const (
	// wantEvery is the least time between two wants of one request for the same upstream.
	wantEvery = 200 * time.Millisecond
	// shortestLimitHint and longestLimitHint bound when a request may come again that found all
	// upstreams at their limits.
	shortestLimitHint, longestLimitHint = 200 * time.Millisecond, 3 * time.Second
)

// limiting reports whether any upstream names a limit.
func (f *fleet) limiting() bool { return f.limits != nil && f.limits.HasLimits() }

// pick chooses among the described upstreams. One that names a limit is passed over as long as
// there is no right to send a request there; it is asked for if it would have been chosen. It
// needs mu.
func (f *fleet) pick(r *request, q *balance.Request, list []*upstream) balance.Choice {
	c := balance.Choose(f.scratch, q)
	r.limited = false
	if !f.limiting() || c.Index == balance.None || !f.closed(r, list[c.Index]) {
		return c
	}
	f.want(r, list[c.Index])
	for i, u := range list {
		if f.closed(r, u) {
			f.scratch[i].Excluded = true
		}
	}
	c = balance.Choose(f.scratch, q)
	r.limited = c.Index == balance.None
	return c
}

// closed reports whether a request may not be sent to an upstream for its limit. Rights are for
// the most urgent ones that wait.
func (f *fleet) closed(r *request, u *upstream) bool {
	_, limited := f.limits.Limit(u.begun)
	return limited && (!f.limits.Available(u.begun) || f.moreUrgentWaits(r))
}

func (f *fleet) want(r *request, u *upstream) {
	if now := time.Now(); r.wanted != u.begun || now.Sub(r.wantedAt) >= wantEvery {
		r.wanted, r.wantedAt = u.begun, now
		f.limits.AddDemand(u.begun, r.urgency)
	}
}

// spend uses the right to send a request to the chosen upstream, where one is needed, and
// reports whether it may go there.
func (f *fleet) spend(r *request, u *upstream) bool {
	r.right = false
	if !f.limiting() {
		return true
	}
	if _, limited := f.limits.Limit(u.begun); !limited {
		return true
	}
	r.right = f.limits.Use(u.begun, r.urgency)
	r.limited = !r.right
	return r.right
}

// takes returns the part of what its peers take that a limited upstream takes, zero for one
// without a limit; it needs mu.
func (f *fleet) takes(r *request, u *upstream) float64 {
	if !f.limiting() {
		return 0
	}
	p := f.pools[r.service]
	perSecond, limited := f.limits.Limit(u.begun)
	if !limited || p == nil {
		return 0
	}
	return balance.LimitShare(perSecond, p.EachPerSecond())
}

// queue counts the requests that wait for a right, by service and urgency.
type queue map[string]*[urgencyLevels]int

// moreUrgentWaits reports whether a more urgent request to the same service waits; it needs mu.
func (f *fleet) moreUrgentWaits(r *request) bool {
	q := f.queue[r.service]
	if q == nil {
		return false
	}
	for _, n := range q[:min(r.urgency, urgencyLevels)] {
		if n > 0 {
			return true
		}
	}
	return false
}

// enqueue counts a request that begins to wait for a right, or one that ceases to with -1.
func (f *fleet) enqueue(r *request, by int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.queue[r.service] == nil {
		f.queue[r.service] = &[urgencyLevels]int{}
	}
	f.queue[r.service][min(r.urgency, urgencyLevels-1)] += by
}

// limitHint is when a request that found all upstreams at their limits may come again: when
// what waits has been sent, at what they take, spread so that not all come back at once.
func (f *fleet) limitHint(r *request, forwarders int) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	perSecond, waiting := 0.0, 1
	for _, u := range f.services[r.service] {
		if limit, limited := f.limits.Limit(u.begun); limited {
			perSecond += limit
		}
	}
	if q := f.queue[r.service]; q != nil {
		for _, n := range q {
			waiting += n
		}
	}
	if perSecond == 0 {
		return shortestLimitHint
	}
	after := float64(waiting*forwarders) / perSecond * (0.5 + rand.Float64())
	return min(longestLimitHint, max(shortestLimitHint, time.Duration(after*float64(time.Second))))
}
