package budget

import "time"

const (
	// windowSteps is the number of steps into which a window is divided. The oldest step counts in
	// full until it has left the window, so that the sum is never too small.
	windowSteps = 20
	// EarningLifetime is how long a repeat that requests have earned can be made, as a share of the
	// window. It bounds the repeats in a window by the requests of 1 + EarningLifetime windows,
	// whichever instances and processes make them.
	EarningLifetime = 0.25
	earningSteps    = windowSteps * EarningLifetime
	// roundingError bounds the error of a sum of earnings.
	roundingError = 1e-9
)

// Window limits the repeats in any time span: at most ratio of the requests in the
// span, plus this instance's share of an allowance common to all instances. A sliding
// window keeps this limit in each span, which a token bucket with refills does not. It
// is not safe for concurrent use.
//
// Instances lose their load to others, and processes end. What one of them has saved and
// spent is not known to the next, which earns by the same callers again within the span.
// Therefore earnings lapse early, and a process that starts takes the share for spent until
// what an earlier process spent of it has left the window.
type Window struct {
	ratio     float64
	span      time.Duration
	startedAt time.Time
	steps     [windowSteps + 1]step
	latest    int64
}

// step is a part of a window. earned is what its requests have earned and nobody has spent,
// drawn what its repeats have taken from the share.
type step struct {
	number            int64
	requests, repeats int
	earned, drawn     float64
}

// NewWindow returns an empty window of a process that started at the given time.
func NewWindow(ratio float64, span time.Duration, startedAt time.Time) *Window {
	return &Window{ratio: ratio, span: span, startedAt: startedAt}
}

func (w *Window) currentStep(now time.Time) *step {
	number := now.UnixNano() / int64(w.span/windowSteps)
	number = max(number, w.latest)
	w.latest = number
	s := &w.steps[number%int64(len(w.steps))]
	if s.number != number {
		*s = step{number: number}
	}
	return s
}

// RecordRequest counts a request.
func (w *Window) RecordRequest(now time.Time) {
	s := w.currentStep(now)
	s.requests++
	s.earned += w.ratio
}

// Allows reports whether the limit allows one more repeat; share is this instance's share of the common
// allowance.
func (w *Window) Allows(now time.Time, share float64) bool {
	w.currentStep(now)
	if now.Sub(w.startedAt) < w.span+w.span/windowSteps {
		share = 0
	}
	requests, repeats := w.Counts()
	if float64(repeats+1) > w.ratio*float64(requests)+share {
		return false
	}
	earned, drawn := w.balances()
	return earned+max(0, share-drawn) >= 1-roundingError
}

// Spend counts one repeat, as of the moment at which it is sent, if the limit allows it, and reports
// whether it does.
func (w *Window) Spend(now time.Time, share float64) bool {
	if !w.Allows(now, share) {
		return false
	}
	s := w.currentStep(now)
	s.repeats++
	s.drawn += w.payFromEarnings(1)
	return true
}

// balances returns the earnings that can be spent, and what was taken from the share in the window.
func (w *Window) balances() (earned, drawn float64) {
	for i := range w.steps {
		s := &w.steps[i]
		if age := w.latest - s.number; age <= windowSteps {
			drawn += s.drawn
			if age < earningSteps {
				earned += s.earned
			}
		}
	}
	return earned, drawn
}

// payFromEarnings takes an amount from the earnings, the oldest first, and returns what they did not
// cover.
func (w *Window) payFromEarnings(amount float64) (rest float64) {
	for age := int64(earningSteps) - 1; age >= 0; age-- {
		number := w.latest - age
		s := &w.steps[number%int64(len(w.steps))]
		if s.number != number {
			continue
		}
		paid := min(amount, s.earned)
		s.earned -= paid
		amount -= paid
	}
	return max(0, amount-roundingError)
}

// Counts returns the requests and repeats in the window that ended with the latest call.
func (w *Window) Counts() (requests, repeats int) {
	for i := range w.steps {
		if w.latest-w.steps[i].number <= windowSteps {
			requests += w.steps[i].requests
			repeats += w.steps[i].repeats
		}
	}
	return requests, repeats
}
