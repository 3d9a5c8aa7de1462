package scale_test

import (
	"testing"
	"time"

	"github.com/comfreyladder/comfreyladder/core/scale"
)

// fleet is upstreams that boot, serve and are taken back, in steps of tick.
type fleet struct {
	s    *scale.Service
	now  float64
	boot [3][]booting
	// lost is until when a domain has no preemptible upstreams; dry until when nobody can
	// have more.
	lost [3]float64
	dry  float64
	// cost is in prices of a standard upstream for a second; unmet and asked are in upstreams
	// for a second.
	cost, unmet, asked float64
}

type booting struct {
	at          float64
	preemptible bool
}

const tick = 0.25

func newFleet() *fleet { return &fleet{s: service(30, 0, 0)} }

// reclaim takes back the preemptible upstreams of a domain for some seconds.
func (f *fleet) reclaim(domain int, seconds float64, dry bool) {
	f.lost[domain] = f.now + seconds
	f.s.Domains[domain].Leaving.Preemptible = f.s.Domains[domain].Ready.Preemptible
	f.s.Domains[domain].Ready.Preemptible = 0
	f.boot[domain] = nil
	if dry {
		f.dry = f.now + seconds
	}
}

// order brings a kind of a domain to a count; false means that there are none.
func (f *fleet) order(domain int, preemptible bool, count int) bool {
	d := &f.s.Domains[domain]
	have := &d.Ready.Standard
	if preemptible {
		have = &d.Ready.Preemptible
	}
	coming := 0
	for _, b := range f.boot[domain] {
		if b.preemptible == preemptible {
			coming++
		}
	}
	if preemptible && count > *have+coming && (f.now < f.lost[domain] || f.now < f.dry) {
		return false
	}
	for ; coming+*have < count; coming++ {
		f.boot[domain] = append(f.boot[domain], booting{f.now + f.s.BootTime.Seconds(), preemptible})
	}
	*have = min(*have, count)
	return true
}

// step lets time pass with a demand.
func (f *fleet) step(need float64) {
	f.now += tick
	f.s.Need = need
	ready := 0
	for i := range f.s.Domains {
		d := &f.s.Domains[i]
		if f.now >= f.lost[i] {
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

// demand is a day of ten minutes: two bursts to three times the usual one minute apart, and
// calm before and after.
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

// day plays the demand with two reclaims, of which one leaves none to be had anywhere.
func day(act func(f *fleet)) *fleet {
	f := newFleet()
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

func fixed(standard, preemptible int) func(*fleet) {
	return func(f *fleet) {
		for i := range f.s.Domains {
			f.order(i, false, standard)
			f.order(i, true, preemptible)
		}
	}
}

// planned carries out what a planner plans.
func planned(p *scale.Planner) func(*fleet) {
	return func(f *fleet) {
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

// Numbers that are fixed are too few in a burst, or paid for all day. What follows the load
// serves as much as the greatest fixed number, at less cost than any that serves nearly as
// much, through the loss of a domain's preemptible upstreams in the middle of a burst.
func TestFollowingTheLoadBeatsFixedNumbers(t *testing.T) {
	follows := day(planned(scale.NewPlanner(scale.Config{})))
	stands := day(fixed(30, 0))
	report := func(name string, f *fleet) {
		t.Logf("%-24s unmet %5.2f%% cost %7.0f", name, 100*f.unmet/f.asked, f.cost)
	}
	report("as it stands, 30 + 0", stands)
	report("following the load", follows)
	if follows.unmet > 0.002*follows.asked {
		t.Errorf("%.2f%% of the demand was not met", 100*follows.unmet/follows.asked)
	}
	if follows.cost > 0.4*stands.cost {
		t.Errorf("cost %.0f, as it stands %.0f", follows.cost, stands.cost)
	}
	for _, mix := range [][2]int{{1, 20}, {1, 30}, {10, 40}, {1, 45}, {1, 59}} {
		f := day(fixed(mix[0], mix[1]))
		report("fixed", f)
		if f.unmet <= follows.unmet*1.05 && f.cost < follows.cost {
			t.Errorf("%d + %d serves as much (%.0f not met, %.0f) at less cost (%.0f, %.0f)", mix[0], mix[1], f.unmet, follows.unmet, f.cost, follows.cost)
		}
	}
}
