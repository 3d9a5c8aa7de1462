package balance

import "time"

const (
	// initialRate is the prefill rate assumed before the first observation, in prompt tokens per
	// millisecond.
	initialRate = 50.0
	// rateUp and rateDown are the relative steps by which one observation moves the estimate. They
	// are unequal so that it settles at the upper quartile: many unobserved effects delay a first
	// event, few make it early.
	rateUp, rateDown = 0.03, 0.01
	// minSampleTokens is the smallest prefill from which the rate is estimated, and
	// firstEventOverheadMS the part of the time to the first event that is not prefill, in
	// milliseconds.
	minSampleTokens      = 1500
	firstEventOverheadMS = 12.0
)

// Rate estimates the prefill rate of a service's engines, in prompt tokens per millisecond.
type Rate struct{ perMS float64 }

// PerMS returns the estimated rate in prompt tokens per millisecond.
func (r *Rate) PerMS() float64 {
	if r.perMS == 0 {
		return initialRate
	}
	return r.perMS
}

// Observe records the time to the first event of a request. tokens counts its uncached prompt tokens
// and those queued before it.
func (r *Rate) Observe(tokens float64, took time.Duration) {
	ms := float64(took)/float64(time.Millisecond) - firstEventOverheadMS
	if tokens < minSampleTokens || ms <= 0 {
		return
	}
	pace := r.PerMS()
	if tokens/ms > pace {
		pace *= 1 + rateUp
	} else {
		pace /= 1 + rateDown
	}
	r.perMS = pace
}

// SlotTime estimates the mean time for which a request holds an engine's slot.
type SlotTime struct {
	ms   float64
	seen int
}

const (
	// initialSlotTimeMS is the mean assumed before the first observation, in milliseconds: the
	// duration of an answer of some hundred tokens.
	initialSlotTimeMS = 1000.0
	// maxSlotTimeSamples is the number of requests in the moving mean: enough to include answers of
	// all lengths.
	maxSlotTimeSamples = 50
)

// MS returns the mean in milliseconds.
func (r *SlotTime) MS() float64 {
	if r.seen == 0 {
		return initialSlotTimeMS
	}
	return r.ms
}

// Duration returns the mean.
func (r *SlotTime) Duration() time.Duration {
	return time.Duration(r.MS() * float64(time.Millisecond))
}

// Observe records how long a request held its slot.
func (r *SlotTime) Observe(took time.Duration) {
	r.seen = min(r.seen+1, maxSlotTimeSamples)
	r.ms += (float64(took)/float64(time.Millisecond) - r.ms) / float64(r.seen)
}
