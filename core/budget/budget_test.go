package budget_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/comfreyladder/comfreyladder/core/budget"
)

// Guards against an overload that outlasts its cause. An engine slows down, attempts
// time out and are repeated, and the second attempts keep the engine slow. It comes
// about if the number of second attempts is not tied to that of first ones.
func TestSecondAttemptsStayWithinTheRatio(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cfg := budget.Config{Ratio: 0.1, PerSecond: 1, Burst: 5}
		b := budget.New(cfg)
		start := time.Unix(0, 0)
		now := start
		firsts, seconds := 0, 0
		for range rapid.IntRange(1, 300).Draw(t, "steps") {
			switch rapid.IntRange(0, 2).Draw(t, "step") {
			case 0:
				b.RecordFirst(now, "c")
				firsts++
			case 1:
				if b.Spend(now, "c") {
					seconds++
				}
			case 2:
				now = now.Add(time.Duration(rapid.IntRange(0, 500).Draw(t, "ms")) * time.Millisecond)
			}
		}
		most := cfg.Burst + cfg.Ratio*float64(firsts) + cfg.PerSecond*now.Sub(start).Seconds()
		if float64(seconds) > most+1e-6 {
			t.Fatalf("%d second attempts, the budget allows %.2f", seconds, most)
		}
	})
}

func TestClassesDoNotShareABudget(t *testing.T) {
	g := NewWithT(t)
	b := budget.New(budget.Config{Burst: 1})
	now := time.Unix(0, 0)
	g.Expect(b.Spend(now, "a")).To(BeTrue())
	g.Expect(b.Spend(now, "a")).To(BeFalse())
	g.Expect(b.Spend(now, "b")).To(BeTrue())
	b.Refund(now, "a")
	g.Expect(b.Spend(now, "a")).To(BeTrue())
}
