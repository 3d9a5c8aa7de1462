package budget_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/comfreyladder/comfreyladder/core/budget"
)

// Guards against an overload that amplifies itself while upstreams fail and every
// instance repeats what it may. In no span of the window's length may the repeats
// exceed the ratio of its requests plus the allowance.
func TestRepeatsStayWithinLimitInEverySpan(t *testing.T) {
	const span, share, ratio = 10 * time.Second, 5.0, 0.2
	rapid.Check(t, func(t *rapid.T) {
		w := budget.NewWindow(ratio, span)
		now := time.Unix(1000, 0)
		var requests, repeats []time.Time
		for range rapid.IntRange(1, 400).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "ms")) * time.Millisecond)
			if rapid.Bool().Draw(t, "request") {
				w.RecordRequest(now)
				requests = append(requests, now)
				continue
			}
			if !w.Spend(now, share) {
				continue
			}
			repeats = append(repeats, now)
			if float64(countWithin(repeats, now, span)) > ratio*float64(countWithin(requests, now, span+span/20))+share {
				t.Fatalf("%d repeats for %d requests", countWithin(repeats, now, span), countWithin(requests, now, span))
			}
		}
	})
}

func countWithin(list []time.Time, now time.Time, span time.Duration) int {
	n := 0
	for _, at := range list {
		if now.Sub(at) < span {
			n++
		}
	}
	return n
}
