package scale_test

import (
	"testing"
	"time"

	"github.com/comfreyladder/comfreyladder/core/scale"
)

// simulation simulates upstreams that boot, serve and are reclaimed, in steps of tick.
type simulation struct {
	s    *scale.Service
	now  float64
	boot [3][]booting
	// reclaimedUntil is until when a domain has no preemptible upstreams, exhaustedUntil until when
	// no domain can have more.
	reclaimedUntil [3]float64
	exhaustedUntil float64
	// cost is in price units of a standard upstream per second; unmet and asked are in
	// upstream-seconds.
	cost, unmet, asked float64
}

type booting struct {
	at          float64
	preemptible bool
}

// tick is the step of the simulation in seconds.
const tick = 0.25

func newSimulation() *simulation { return &simulation{s: service(30, 0, 0)} }

// reclaim takes back the preemptible upstreams of a domain for some seconds.
func (f *simulation) reclaim(domain int, seconds float64, exhausted bool) {
	f.reclaimedUntil[domain] = f.now + seconds
	f.s.Domains[domain].Leaving.Preemptible = f.s.Domains[domain].Ready.Preemptible
	f.s.Domains[domain].Ready.Preemptible = 0
	f.boot[domain] = nil
	if exhausted {
		f.exhaustedUntil = f.now + seconds
	}
}

// order changes the upstreams of one kind in a domain to the given number. It returns false if no
// more are available.
func (f *simulation) order(domain int, preemptible bool, count int) bool {
	d := &f.s.Domains[domain]
	have := &d.Ready.Standard
	if preemptible {
		have = &d.Ready.Preemptible
	}
	pending := 0
	for _, b := range f.boot[domain] {
		if b.preemptible == preemptible {
			pending++
		}
	}
	if preemptible && count > *have+pending && (f.now < f.reclaimedUntil[domain] || f.now < f.exhaustedUntil) {
		return false
	}
	for ; pending+*have < count; pending++ {
		f.boot[domain] = append(f.boot[domain], booting{f.now + f.s.BootTime.Seconds(), preemptible})
	}
	*have = min(*have, count)
	return true
}

// step advances the simulation by one tick with the given need.
func (f *simulation) step(need float64) {
	f.now += tick
	f.s.Need = need
	ready := 0
	for i := range f.s.Domains {
		d := &f.s.Domains[i]
		if f.now >= f.reclaimedUntil[i] {
			d.Leaving.Preemptible = 0
		}
		var left []booting
		for _, b := range f.boot[i] {
			switch {
			case b.at > f.now:
				left = append(left, b)
			case b.preemptible:
				d.Ready.Preemptible++
			default:
				d.Ready.Standard++
			}
		}
		f.boot[i] = left
		ready += d.Ready.Total()
		f.cost += tick * d.Price * (float64(d.Ready.Standard) + f.s.PreemptiblePrice*float64(d.Ready.Preemptible+d.Leaving.Preemptible+len(left)))
	}
	f.asked += tick * need
	f.unmet += tick * max(0, need-float64(ready))
}

// demand is a day compressed to ten minutes: two bursts of three times the usual load, one minute
// apart, with low load before and after.
func demand(t float64) float64 {
	switch {
	case t < 14:
		return 0
	case t > 60 && t < 69, t > 120 && t < 126:
		return 110
	case t > 400:
		return 18
	}
	return 36
}

// simulateDay simulates the demand with two reclaims, the second of which leaves no domain with more
// available.
func simulateDay(act func(f *simulation)) *simulation {
	f := newSimulation()
	for f.now < 600 {
		switch f.now {
		case 66:
			f.reclaim(2, 10, false)
		case 300:
			f.reclaim(0, 10, true)
		}
		act(f)
		f.step(demand(f.now))
	}
	return f
}

func fixed(standard, preemptible int) func(*simulation) {
	return func(f *simulation) {
		for i := range f.s.Domains {
			f.order(i, false, standard)
			f.order(i, true, preemptible)
		}
	}
}

// planned executes the plans of a planner.
func planned(p *scale.Planner) func(*simulation) {
	return func(f *simulation) {
		now := origin.Add(time.Duration(f.now * float64(time.Second)))
		plan := p.Plan(now, f.s)
		for i, w := range plan.Targets {
			if !plan.Registering || w.Standard < f.s.Domains[i].Ready.Standard {
				f.order(i, false, w.Standard)
			}
			if f.order(i, true, w.Preemptible) {
				p.Accepted(w.Domain, w.Preemptible)
			} else {
				p.Refused(w.Domain)
			}
		}
	}
}

// A fixed number of upstreams is too low in a burst or paid for all day. The planner must serve as
// much as the largest fixed number, at less cost than any fixed number that serves nearly as much,
// even when a domain's preemptible upstreams are reclaimed during a burst.
func TestFollowingTheLoadBeatsFixedNumbers(t *testing.T) {
	following := simulateDay(planned(scale.NewPlanner(scale.Config{})))
	initial := simulateDay(fixed(30, 0))
	report := func(name string, f *simulation) {
		t.Logf("%-24s unmet %5.2f%% cost %7.0f", name, 100*f.unmet/f.asked, f.cost)
	}
	report("initial, 30 + 0", initial)
	report("following the load", following)
	if following.unmet > 0.002*following.asked {
		t.Errorf("%.2f%% of the demand was not met", 100*following.unmet/following.asked)
	}
	if following.cost > 0.4*initial.cost {
		t.Errorf("cost %.0f, initial deployment %.0f", following.cost, initial.cost)
	}
	for _, mix := range [][2]int{{1, 20}, {1, 30}, {10, 40}, {1, 45}, {1, 59}} {
		f := simulateDay(fixed(mix[0], mix[1]))
		report("fixed", f)
		if f.unmet <= following.unmet*1.05 && f.cost < following.cost {
			t.Errorf("%d + %d serves as much (%.0f not met, %.0f) at less cost (%.0f, %.0f)", mix[0], mix[1], f.unmet, following.unmet, f.cost, following.cost)
		}
	}
}
