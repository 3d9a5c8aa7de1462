package budget_test

import (
	"flag"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/comfreyladder/comfreyladder/core/budget"
)

// allWays runs all ways to keep the retry budget over restarts, for the comparison in
// docs/design/retry-budget.md.
var allWays = flag.Bool("budget.all", false, "run all ways, not only the deployed one")

const (
	waysSpan  = 10 * time.Second
	waysRatio = 0.2
	waysSlack = 186.0
	// waysUsed is the part of the budget that instances use.
	waysUsed = 0.8
	waysStep = 10 * time.Millisecond
	waysTime = 60 * time.Second
	// waysFailing is the share of requests whose first run fails.
	waysFailing = 0.45
)

// way is how a process treats its share of the slack.
type way struct {
	name string
	// share returns the part of its share that a process of some age may use; handedOver is what is
	// known of the repeats of the process before.
	share func(age time.Duration) float64
	// handsOver is set if a process takes over what the one before it counted.
	handsOver bool
}

var ways = []way{
	{"empty window, whole share (former behaviour)", func(time.Duration) float64 { return 1 }, false},
	{"share grows with age", func(age time.Duration) float64 { return min(1, age.Seconds()/waysSpan.Seconds()) }, false},
	{"counts handed over", func(time.Duration) float64 { return 1 }, true},
	{"no share until the window has passed", func(age time.Duration) float64 {
		if age < waysSpan {
			return 0
		}
		return 1
	}, false},
}

// deployedWay is the index of the way that instances use.
const deployedWay = 3

// restartsOf is when all instances of a scenario start again; each after the one before it if rolling.
type restartsOf struct {
	name      string
	instances int
	perSecond float64
	every     time.Duration
	rolling   bool
}

// play returns the repeats of the worst window as a share of what is allowed, and the repeats granted
// as a share of those that were wanted.
func (s *restartsOf) play(w *way) (worst, granted float64) {
	rng := rand.New(rand.NewPCG(57, 1))
	start := time.Unix(1000, 0)
	windows, born := make([]*budget.Window, s.instances), make([]time.Time, s.instances)
	for i := range windows {
		born[i] = start.Add(-time.Minute)
		windows[i] = budget.NewWindow(waysRatio*waysUsed, waysSpan, born[i])
	}
	var requests, repeats []time.Time
	wanted, due, next := 0, 0.0, 0
	restart := start.Add(s.every)
	for now := start; now.Before(start.Add(waysTime)); now = now.Add(waysStep) {
		for s.every > 0 && !now.Before(restart) {
			first, last := 0, s.instances
			if s.rolling {
				first, last = next%s.instances, next%s.instances+1
				next++
				restart = restart.Add(s.every / time.Duration(s.instances))
			} else {
				restart = restart.Add(s.every)
			}
			for i := first; i < last; i++ {
				born[i] = now
				if !w.handsOver {
					windows[i] = budget.NewWindow(waysRatio*waysUsed, waysSpan, start.Add(-time.Minute))
				}
			}
		}
		for due += s.perSecond * waysStep.Seconds(); due >= 1; due-- {
			i := rng.IntN(s.instances)
			windows[i].RecordRequest(now)
			requests = append(requests, now)
			if rng.Float64() >= waysFailing {
				continue
			}
			wanted++
			if windows[i].Spend(now, waysSlack*waysUsed/float64(s.instances+1)*w.share(now.Sub(born[i]))) {
				repeats = append(repeats, now)
			}
		}
	}
	from, first := 0, 0
	for n, at := range repeats {
		for at.Sub(repeats[from]) >= waysSpan {
			from++
		}
		for at.Sub(requests[first]) >= waysSpan {
			first++
		}
		arrived := 0
		for _, r := range requests[first:] {
			if !r.After(at) {
				arrived++
			}
		}
		worst = max(worst, float64(n-from+1)/(waysRatio*float64(arrived)+waysSlack))
	}
	return worst, float64(len(repeats)) / float64(wanted)
}

// TestWaysToKeepTheBudgetOverRestarts prints the results of each way. It guards the deployed one against
// exceeding the budget.
func TestWaysToKeepTheBudgetOverRestarts(t *testing.T) {
	g := NewWithT(t)
	for _, s := range []restartsOf{
		{"no restart", 73, 60, 0, false}, {"all every 15 s", 73, 60, 15 * time.Second, false}, {"all every 2 s", 73, 60, 2 * time.Second, false},
		{"in turn within 5 s", 73, 60, 5 * time.Second, true}, {"all every 2 s, more load", 73, 300, 2 * time.Second, false},
		{"all every 2 s, few instances", 4, 60, 2 * time.Second, false},
	} {
		for i := range ways {
			if i != deployedWay && !*allWays {
				continue
			}
			worst, granted := s.play(&ways[i])
			t.Logf("%-29s %-46s worst window %.2f of what is allowed, %.2f of the repeats granted", s.name, ways[i].name, worst, granted)
			if i == deployedWay {
				g.Expect(worst).To(BeNumerically("<=", 1), s.name)
			}
		}
	}
}
