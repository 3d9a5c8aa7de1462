// Package warmup keeps the requests of all instances together to a cold upstream, one that has just
// started or has become cold again, within a bound for any one second. Each instance determines by
// itself which upstreams are cold (Cold), as soon as it learns of them, and sends a cold one nothing
// without a permit. Permits are tokens of core/ratelimit that the leader of the control group
// allocates at a rate derived from the bound (Grants). The package does no I/O.
package warmup

import (
	"math"
	"time"
)

const (
	// PermitLifetime is how long a permit may be used, counted from the time it was requested. Permits
	// of the preceding PermitLifetime may be used in the same second as new ones, so a longer one
	// would require a lower rate. At 82 instances each asks every 0.2 s.
	PermitLifetime = 500 * time.Millisecond
	// arrivalDelay bounds the time from the last check of a permit to the arrival of the request at
	// the upstream.
	arrivalDelay = 100 * time.Millisecond
	// maxBurst bounds the permits granted at once after a time without demand.
	maxBurst = 2
)

// span is the time over which permits are granted that may be used for requests which arrive within
// one second.
const span = time.Second + PermitLifetime + arrivalDelay

// Bound is how many requests a cold upstream may receive in any one second: PerSecond x Overrun +
// Slack.
type Bound struct{ PerSecond, Overrun, Slack float64 }

// Requests returns the number of requests.
func (b Bound) Requests() float64 { return math.Floor(b.PerSecond*b.Overrun + b.Slack) }

// Grants returns the rate at which permits may be granted, at most PerSecond, and the number that may
// be granted at once. Within span, at most perSecond x span + burst permits are granted, which is
// less than the next whole number above the bound.
func (b Bound) Grants() (perSecond, burst float64) {
	const belowOne = 0.99
	most := b.Requests() + belowOne
	if most < 1 {
		return 0, 0
	}
	perSecond = min(b.PerSecond, (most-1)/span.Seconds())
	return perSecond, min(maxBurst, most-perSecond*span.Seconds())
}

// Budget returns the permits that may be granted for each upstream. It implements ratelimit.Limits
// and ratelimit.Bursts.
type Budget struct {
	// Bound returns the bound of an upstream while it is cold, and false if it is unknown or has none.
	Bound func(upstream uint64) (Bound, bool)
}

// Limit implements ratelimit.Limits. Whether an upstream is cold is decided by the instances, which
// request permits only while it is: a leader that learns of it later grants nothing wrong.
func (g Budget) Limit(upstream uint64) (perSecond float64, limited bool) {
	b, ok := g.Bound(upstream)
	if !ok {
		return 0, false
	}
	perSecond, _ = b.Grants()
	return perSecond, true
}

// Burst implements ratelimit.Bursts.
func (g Budget) Burst(upstream uint64) float64 {
	b, _ := g.Bound(upstream)
	_, burst := b.Grants()
	return burst
}
