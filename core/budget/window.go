package budget

import "time"

// windowSteps is into how many steps a window is cut. The oldest step counts in
// full until it has left, so that the sum is never too small.
const windowSteps = 20

// Window bounds repeats in any span of time: at most Ratio of the requests of the
// span, and this instance's share of a slack that all instances have together.
// Counting in a sliding window, and not by tokens that refill, is what keeps the
// bound in each span. It is not safe for concurrent use.
type Window struct {
	ratio  float64
	span   time.Duration
	steps  [windowSteps + 1]step
	latest int64
}

type step struct {
	number            int64
	requests, repeats int
}

// NewWindow returns a window without counts.
func NewWindow(ratio float64, span time.Duration) *Window { return &Window{ratio: ratio, span: span} }

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

// RecordRequest notes a request.
func (w *Window) RecordRequest(now time.Time) { w.currentStep(now).requests++ }

// Spend takes one repeat and reports whether it was there; share is this
// instance's part of the slack.
func (w *Window) Spend(now time.Time, share float64) bool {
	s := w.currentStep(now)
	requests, repeats := 0, 0
	for i := range w.steps {
		if w.latest-w.steps[i].number <= windowSteps {
			requests += w.steps[i].requests
			repeats += w.steps[i].repeats
		}
	}
	if float64(repeats+1) > w.ratio*float64(requests)+share {
		return false
	}
	s.repeats++
	return true
}
