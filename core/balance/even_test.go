package balance_test

import (
	"testing"

	. "github.com/onsi/gomega"
)

// evenConditions are the conditions of a choice by the latest reports alone, and those without one
// of the causes each.
var evenConditions = []struct {
	name string
	o    evenOptions
}{
	{"as deployed", evenOptions{domains: 1, ageMS: 250, delayMS: 150, observes: true}},
	{"loads 0 ms old", evenOptions{domains: 1, observes: true}},
	{"loads 30 to 90 ms old", evenOptions{domains: 1, ageMS: 60, delayMS: 30, observes: true}},
	{"loads 0.5 to 1 s old", evenOptions{domains: 1, ageMS: 500, delayMS: 500, observes: true}},
	{"reports at the same time", evenOptions{domains: 1, ageMS: 250, delayMS: 150, observes: true, inPhase: true}},
	{"three failure domains", evenOptions{domains: 3, ageMS: 250, delayMS: 150, observes: true}},
	{"slowness not observed", evenOptions{domains: 1, ageMS: 250, delayMS: 150}},
}

// Measures what each cause contributes to the share of requests that find all slots taken if loads
// are taken for exact, see docs/design/even-load.md. Guards against a simulation in which exact
// counts would not help.
func TestCausesOfUnevenLoad(t *testing.T) {
	g := NewWithT(t)
	k := evenCases()[0]
	shares := map[string]float64{}
	for _, c := range evenConditions {
		c.o.greedy = true
		for _, c.o.choosers = range []int{8, 80} {
			w := runEven(k, c.o, chooseByLoads)
			shares[c.name] = w.share()
			t.Logf("%s, %d choosers: %.3f wait", c.name, c.o.choosers, w.share())
		}
	}
	g.Expect(shares["loads 0 ms old"]).To(BeNumerically("<", 0.01))
	g.Expect(shares["as deployed"]).To(BeNumerically(">", 0.5))
}

// Guards against instances that send the requests of some hundred milliseconds to the upstreams that
// looked idle. At 8 instances at most as many requests may wait as with two choices by exact counts;
// at many, where an instance has hardly a slot of its own, fewer than with a random choice. New
// connections may be at most 1.1 times those of a choice by the reports.
func TestOldLoadsDoNotMakeRequestsWait(t *testing.T) {
	for _, k := range evenCases() {
		g := NewWithT(t)
		exact := func(choose func(*evenWorld, int, float64) int) float64 {
			return runEven(k, evenOptions{choosers: 8, domains: 1}, choose).share()
		}
		least, two, random := exact(leastLoaded), exact(twoChoices), exact(randomChoice)
		t.Logf("%s: least loaded %.3f, two choices %.3f, random %.3f", k.name, least, two, random)
		for _, o := range []evenOptions{{choosers: 2}, {choosers: 8}, {choosers: 8, domains: evenDomains}, {choosers: manyChoosers}, {choosers: manyChoosers, domains: evenDomains}, {choosers: 1000}} {
			o.domains, o.ageMS, o.delayMS, o.observes, o.holdMS = max(1, o.domains), 250, 150, true, evenWorkMS
			greedy := o
			greedy.greedy = true
			before := runEven(k, greedy, chooseByLoads)
			o.ranked = true
			played := k
			if o.choosers == manyChoosers {
				played.seconds = manyChoosersSeconds
			}
			w := runEven(played, o, chooseByLoads)
			t.Logf("  %d choosers in %d domains: %.3f wait (%.3f by reports), at most %d (%d), new connections %.3f (%.3f)",
				o.choosers, o.domains, w.share(), before.share(), w.most, before.most, w.openedShare(), before.openedShare())
			bound := 0.8 * random
			if o.choosers <= 8 {
				bound = two
			} else if o.choosers == 1000 {
				bound = 1.05 * random
			}
			g.Expect(w.share()).To(BeNumerically("<=", bound), "%s, %d choosers in %d domains", k.name, o.choosers, o.domains)
			g.Expect(w.openedShare()).To(BeNumerically("<=", 1.1*before.openedShare()), "%s, %d choosers in %d domains", k.name, o.choosers, o.domains)
		}
	}
}

// Guards against a choice that depends on the age of the loads, on reports that have stopped, or on
// a rank that is not known yet.
func TestChoiceWithOldLoadsOrNone(t *testing.T) {
	g := NewWithT(t)
	k := evenCases()[0]
	two, random := runEven(k, evenOptions{choosers: 8, domains: 1}, twoChoices).share(), runEven(k, evenOptions{choosers: 8, domains: 1}, randomChoice).share()
	o := evenOptions{choosers: 8, domains: 1, observes: true, ranked: true, holdMS: evenWorkMS}
	for _, age := range []float64{60, 500, 1000} {
		o.ageMS, o.delayMS = age, age/2
		share := runEven(k, o, chooseByLoads).share()
		t.Logf("reports each %.0f ms: %.3f wait", age, share)
		g.Expect(share).To(BeNumerically("<=", two))
	}
	o.ageMS, o.delayMS, o.cutOffAtMS = 250, 150, 4000
	w := runEven(k, o, chooseByLoads)
	t.Logf("one without reports from 4 s on: %.3f wait", w.share())
	g.Expect(w.share()).To(BeNumerically("<=", two))
	o.cutOffAtMS, o.ranked = 0, false
	w = runEven(k, o, chooseByLoads)
	t.Logf("rank not known: %.3f wait", w.share())
	g.Expect(w.share()).To(BeNumerically("<=", random))
}

// Guards against an upstream that is hardly used once it can be used again, because no instance has a
// connection to it: it should get its part of the requests within a second, at light loads too.
func TestReturningUpstreamIsUsedAgain(t *testing.T) {
	g := NewWithT(t)
	for _, c := range []struct{ workMS, load float64 }{{5, 0.02}, {5, 0.1}, {evenWorkMS, 0.13}, {evenWorkMS, 0.4}} {
		for _, choosers := range []int{2, 4, 8, 40} {
			k := evenCase{rate: steady(c.load), workMS: c.workMS, upstreams: 6, joining: 1, joinAtMS: 6000, seconds: 8}
			o := evenOptions{choosers: choosers, domains: 1, ageMS: 250, delayMS: 150, observes: true, holdMS: c.workMS}
			o.greedy = true
			before := runEven(k, o, chooseByLoads)
			o.greedy, o.ranked = false, true
			w := runEven(k, o, chooseByLoads)
			part := float64(w.firstSecond) / float64(k.upstreams)
			t.Logf("work %.0f ms, load %.2f, %d choosers: %d of %d requests (%d by reports), %.1f are its part; new connections %.3f (%.3f by reports)",
				c.workMS, c.load, choosers, w.toJoined, w.firstSecond, before.toJoined, part, w.openedShare(), before.openedShare())
			g.Expect(w.toJoined).To(BeNumerically(">=", part/2), "work %.0f ms, load %.2f, %d choosers", c.workMS, c.load, choosers)
		}
	}
}

// Guards against requests that wait because no instance of many has slots of its own to speak of: members of
// the control group that grant slots choose for all, so that the number of instances does not matter. At most
// twice as many requests may wait as with two choices by exact counts, also if grants are lost or not used, or
// a member starts again.
func TestGrantedSlotsKeepManyInstancesEven(t *testing.T) {
	for _, k := range evenCases() {
		g := NewWithT(t)
		bound := 2 * runEven(k, evenOptions{choosers: 8, domains: 1}, twoChoices).share()
		for _, o := range []evenOptions{
			{choosers: 80, granters: 3, lagMS: 3}, {choosers: 80, granters: 6, lagMS: 3}, {choosers: 80, granters: 8, lagMS: 3}, {choosers: 80, granters: 8, lagMS: 8},
			{choosers: 300, granters: 6, lagMS: 3}, {choosers: 1000, granters: 8, lagMS: 3},
			{choosers: 80, granters: 6, lagMS: 3, lostGrants: 0.05}, {choosers: 80, granters: 6, lagMS: 3, unusedGrants: 0.05},
			{choosers: 80, granters: 6, lagMS: 3, restartAtMS: 5000},
		} {
			o.domains, o.ageMS, o.delayMS, o.observes, o.holdMS, o.ranked = evenDomains, 250, 150, true, evenWorkMS, true
			w := runEven(k, o, chooseByLoads)
			t.Logf("%s: %d choosers, %d granters that learn %.0f ms late, %.2f lost, %.2f unused, restart at %.0f: %.3f wait (%.3f allowed), at most %d, new connections %.3f",
				k.name, o.choosers, o.granters, o.lagMS, o.lostGrants, o.unusedGrants, o.restartAtMS, w.share(), bound, w.most, w.openedShare())
			g.Expect(w.share()).To(BeNumerically("<=", bound), "%s, %+v", k.name, o)
		}
	}
}
