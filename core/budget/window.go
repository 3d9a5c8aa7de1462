package budget

import "time"

// windowSteps is the number of steps into which a window is divided. The oldest step
// counts in full until it has left the window, so that the sum is never too small.
const windowSteps = 20

// Window limits the repeats in any time span: at most ratio of the requests in the
// span, plus this instance's share of an allowance common to all instances. A sliding
// window keeps this limit in each span, which a token bucket with refills does not. It
// is not safe for concurrent use.
//
// A process that starts does not know what an earlier process of the same instance spent,
// so it takes the share for spent until that has left the window.
type Window struct {
	ratio     float64
	span      time.Duration
	startedAt time.Time
	steps     [windowSteps + 1]step
	latest    int64
}

type step struct {
	number            int64
	requests, repeats int
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
func (w *Window) RecordRequest(now time.Time) { w.currentStep(now).requests++ }

// Spend reports whether the limit allows one more repeat, and counts it if so; share is
// this instance's share of the common allowance.
func (w *Window) Spend(now time.Time, share float64) bool {
	s := w.currentStep(now)
	requests, repeats := w.Counts()
	if now.Sub(w.startedAt) < w.span+w.span/windowSteps {
		share = 0
	}
	if float64(repeats+1) > w.ratio*float64(requests)+share {
		return false
	}
	s.repeats++
	return true
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
