package relay

import (
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/comfreyladder/comfreyladder/core/balance"
	"github.com/comfreyladder/comfreyladder/core/ratelimit"
	"github.com/comfreyladder/comfreyladder/instance/clock"
)

// Limits holds the rate limits that upstreams announce and the tokens of this instance to send
// requests to them.
type Limits interface {
	// RecordLimit records the limit in an upstream's response, zero for none, to a request that was
	// sent and answered at the given times of clock.Now. name identifies the upstream in logs.
	RecordLimit(upstream uint64, name string, perSecond float64, sent, heard time.Time)
	// HasLimits reports whether any upstream announces a limit. Limit returns the limit of one
	// upstream.
	HasLimits() bool
	Limit(upstream uint64) (perSecond float64, limited bool)
	// Available reports whether there is a token for a limited upstream. Use uses one and reports
	// whether there was one, ReturnToken gives it back, and AddDemand requests one.
	Available(upstream uint64) bool
	Use(upstream uint64, urgency int) bool
	ReturnToken(upstream uint64)
	AddDemand(upstream uint64, urgency int)
	// Statements returns the known limits for other instances. Merge adds those that they know.
	Statements() []ratelimit.Statement
	Merge([]ratelimit.Statement)
}

// minLimit and maxLimit bound accepted limits, in requests per second. An upstream that receives no
// requests at all could not announce the end of its limit.
const minLimit, maxLimit = 0.05, 1e6

// recordLimit records the limit in the head of a response. An unparsable value is ignored.
func (a *attempt) recordLimit() {
	if a.s.cfg.Limits == nil {
		return
	}
	perSecond := 0.0
	if value := a.head.Get(a.s.cfg.Headers.Limit); len(value) > 0 {
		n, err := strconv.ParseFloat(string(value), 64)
		if err != nil || !(n >= 0) || n > maxLimit {
			return
		}
		perSecond = max(minLimit, n)
	}
	a.s.cfg.Limits.RecordLimit(a.up.incarnation, a.up.id, perSecond, a.sentAt, clock.Now())
}

const (
	// tokenRequestInterval is the minimum time between two token requests of one request for the
	// same upstream.
	tokenRequestInterval = 200 * time.Millisecond
	// minLimitRetry and maxLimitRetry bound the retry delay of a request that found all upstreams
	// at their limits.
	minLimitRetry, maxLimitRetry = 200 * time.Millisecond, 3 * time.Second
)

// limiting reports whether any upstream announces a limit.
func (f *fleet) limiting() bool { return f.limits != nil && f.limits.HasLimits() }

// chooseWithinLimits chooses among the described upstreams. A limited upstream is skipped while no
// token for it is available; one is requested if the upstream would have been chosen. The caller
// holds mu.
func (f *fleet) chooseWithinLimits(r *request, q *balance.Request) balance.Choice {
	list, states := f.choice.candidates, f.choice.states
	c := balance.Choose(states, q)
	r.allLimited = false
	if c.Index == balance.None || !f.lacksToken(r, list[c.Index]) {
		return c
	}
	f.requestToken(r, list[c.Index])
	for i, u := range list {
		if f.lacksToken(r, u) {
			states[i].Excluded = true
		}
	}
	c = balance.Choose(states, q)
	r.allLimited = c.Index == balance.None
	return c
}

// lacksToken reports whether the limit of an upstream prevents sending a request. Tokens go to the
// most urgent waiting requests.
func (f *fleet) lacksToken(r *request, u *upstream) bool {
	lacks := f.cold(u) && !f.permits.Available(u.incarnation)
	limited := f.limited(u)
	lacks = lacks || limited && !f.limits.Available(u.incarnation)
	return lacks || (limited || f.cold(u)) && f.moreUrgentWaits(r)
}

// limited reports whether an upstream announces a limit.
func (f *fleet) limited(u *upstream) bool {
	if !f.limiting() {
		return false
	}
	_, limited := f.limits.Limit(u.incarnation)
	return limited
}

// limitOf returns the requests per second that an upstream takes from all instances together, because
// of the limit that it announces or while it is cold.
func (f *fleet) limitOf(u *upstream) (perSecond float64, limited bool) {
	if f.limiting() {
		perSecond, limited = f.limits.Limit(u.incarnation)
	}
	if f.cold(u) && (!limited || u.service.warmUp.perSecond < perSecond) {
		return u.service.warmUp.perSecond, true
	}
	return perSecond, limited
}

func (f *fleet) requestToken(r *request, u *upstream) {
	if now := time.Now(); r.tokenRequestedFrom != u.incarnation || now.Sub(r.tokenRequestedAt) >= tokenRequestInterval {
		r.tokenRequestedFrom, r.tokenRequestedAt = u.incarnation, now
		if f.limited(u) {
			f.limits.AddDemand(u.incarnation, r.urgency)
		}
		if f.cold(u) {
			f.permits.AddDemand(u.incarnation, r.urgency)
		}
	}
}

// useToken uses a token for the chosen upstream if one is needed, and reports whether the request
// may be sent.
func (f *fleet) useToken(r *request, u *upstream) bool {
	r.usedToken, r.permitUntil = false, time.Time{}
	if !f.usePermit(r, u) {
		r.allLimited = true
		return false
	}
	if !f.limited(u) {
		return true
	}
	if r.usedToken = f.limits.Use(u.incarnation, r.urgency); !r.usedToken {
		f.returnPermit(u, r.permitUntil)
		r.allLimited = true
	}
	return r.usedToken
}

// limitShare returns the capacity of a limited upstream as a share of that of its peers, zero for
// one without a limit. The caller holds mu.
func (f *fleet) limitShare(r *request, u *upstream) float64 {
	perSecond, limited := f.limitOf(u)
	if !limited {
		return 0
	}
	return balance.LimitShare(perSecond, f.service(r.service).pools.EachPerSecond())
}

// queue counts the requests that wait for a token, by service and urgency.
type queue map[string]*[urgencyLevels]int

// moreUrgentWaits reports whether a more urgent request to the same service waits. The caller holds
// mu.
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

// enqueue adds by to the number of waiting requests: 1 when a request starts to wait for a token,
// -1 when it stops.
func (f *fleet) enqueue(r *request, by int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.queue[r.service] == nil {
		f.queue[r.service] = &[urgencyLevels]int{}
	}
	f.queue[r.service][min(r.urgency, urgencyLevels-1)] += by
}

// limitRetryAfter is when a request that found all upstreams at their limits may be retried: when
// the waiting requests have been sent at the permitted rate, with jitter so that they do not all
// return at once.
func (f *fleet) limitRetryAfter(r *request, forwarders int) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	perSecond, waiting := 0.0, 1
	for _, u := range f.service(r.service).ready.list {
		if limit, limited := f.limitOf(u); limited {
			perSecond += limit
		}
	}
	if q := f.queue[r.service]; q != nil {
		for _, n := range q {
			waiting += n
		}
	}
	if perSecond == 0 {
		return minLimitRetry
	}
	after := float64(waiting*forwarders) / perSecond * (0.5 + rand.Float64())
	return min(maxLimitRetry, max(minLimitRetry, time.Duration(after*float64(time.Second))))
}
