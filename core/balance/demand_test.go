package balance_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/comfreyladder/comfreyladder/core/balance"
)

var (
	longReport   = balance.Offer{Route: "report", Tokens: 12_000, UncachedTokens: 6600, SlotTime: 2 * time.Second, MaxPause: 600 * time.Millisecond, Rank: 1}
	longQuestion = balance.Offer{Route: "question", Tokens: 800, UncachedTokens: 600, SlotTime: time.Second, MaxPause: 150 * time.Millisecond}
	check        = balance.Offer{Route: "check", Tokens: 2400, UncachedTokens: 1800, SlotTime: 100 * time.Millisecond, MaxPause: 250 * time.Millisecond}
)

// simulateSteadyLoad simulates a steady load of the given numbers of reports and quick requests per
// second, and returns the size of the quick pool and the admitted share of the reports.
func simulateSteadyLoad(engine balance.Engine, reports int, brief balance.Offer, briefs int) (quick int, admitted float64) {
	p := balance.NewPools()
	p.SetEngine(engine)
	now := time.Unix(100, 0)
	var ids []string
	for i := range int(engine.Count) {
		ids = append(ids, fmt.Sprint("u", i))
	}
	for range 3000 {
		now = now.Add(10 * time.Millisecond)
		for range reports / 100 {
			p.Record(now, &longReport)
		}
		for range briefs / 100 {
			p.Record(now, &brief)
		}
		p.QuickCount(now, len(ids))
	}
	quick = p.QuickCount(now, len(ids))
	return quick, p.AdmittedShare(now, &balance.Offer{Route: "report"}, engine.Count-float64(quick))
}

// Guards against sizing the pools by prefill alone. On fast engines with 12 slots, reports hold
// theirs for long, while checks bring as much prefill and end at once. By prefill alone, more than
// half of the engines would idle with checks while reports wait for slots.
func TestPoolsGoBySlotsWhereTheseRunOut(t *testing.T) {
	g := NewWithT(t)
	few, admitted := simulateSteadyLoad(balance.Engine{PerMS: 100, Slots: 12, Count: 120}, 400, check, 600)
	many, _ := simulateSteadyLoad(balance.Engine{PerMS: 100, Slots: 1000, Count: 120}, 400, check, 600)
	g.Expect(many).To(BeNumerically("~", 69, 6), "with ample slots only prefill counts")
	g.Expect(few).To(BeNumerically("~", 49, 6))
	g.Expect(admitted).To(Equal(1.0))
}

// With twice as many reports as engines have slots for, the more urgent questions keep the engines
// that they need. Reports are admitted as far as the rest suffices, but never below the share that
// every route gets.
func TestScarceEnginesGoToTheUrgentFirst(t *testing.T) {
	g := NewWithT(t)
	engine := balance.Engine{PerMS: 100, Slots: 12, Count: 100}
	quick, admitted := simulateSteadyLoad(engine, 1000, longQuestion, 300)
	g.Expect(quick).To(BeNumerically("~", 25, 4), "300 questions hold 25 engines' slots")
	g.Expect(admitted).To(BeNumerically("~", 0.45, 0.12))
	quick, admitted = simulateSteadyLoad(engine, 8000, longQuestion, 300)
	g.Expect(quick).To(BeNumerically(">=", 10), "quick requests keep some engines")
	g.Expect(admitted).To(BeNumerically("~", 0.25, 0.01), "the minimum share is admitted")
}

// A request for a full engine waits for as many requests to end as are queued before it. An engine
// with some prefill queued but a free slot answers sooner.
func TestFullSlotsAreWaitedFor(t *testing.T) {
	g := NewWithT(t)
	list := newEngines(2)
	for i := range list {
		list[i].Slots, list[i].SlotTimeMS = 12, 2400
	}
	list[0].Active = 14
	list[1].Active, list[1].QueuedTokens = 11, 20_000
	r := &balance.Request{Unshared: 3000, Rate: 100, Domain: "d0"}
	c := balance.Choose(list, r)
	g.Expect(c.Index).To(Equal(1))
	g.Expect(c.QueueMS).To(BeNumerically("~", 200, 1))
	list[1].Excluded = true
	c = balance.Choose(list, r)
	g.Expect(c.QueueMS).To(BeNumerically("~", 600, 1), "three requests end, at 12 per 2.4 s")
}

// Guards against a herd on one engine that looks idle to all instances: if each sent it all requests
// until the next load report, it would be flooded. Of 1,000 requests only a few may go to any one
// engine that has not cached their prompts.
func TestOneIdleEngineDoesNotDrawAll(t *testing.T) {
	g := NewWithT(t)
	list := newEngines(100)
	for i := range list {
		list[i].QueuedTokens = 30_000
	}
	list[7].QueuedTokens = 0
	drawn := 0
	for i := range 1000 {
		r := &balance.Request{Affinity: uint64(1 + i), Shared: 5000, Unshared: 6600, Rate: 100, Domain: "d0", Random: float64(i) / 1000, MaxQueueMS: 3000}
		if balance.Choose(list, r).Index == 7 {
			drawn++
		}
	}
	g.Expect(drawn).To(BeNumerically("<", 80), "five of a hundred are considered")
	g.Expect(drawn).To(BeNumerically(">", 20))
}

// If every sampled engine exceeds the request's queueing limit, all engines must be considered
// before the request is refused.
func TestAllAreLookedAtBeforeARefusal(t *testing.T) {
	g := NewWithT(t)
	list := newEngines(60)
	for i := range list {
		list[i].QueuedTokens = 90_000
	}
	list[31].QueuedTokens = 0
	for i := range 200 {
		r := &balance.Request{Affinity: uint64(1 + i), Shared: 5000, Unshared: 6600, Rate: 100, Domain: "d0", Random: float64(i) / 200, MaxQueueMS: 500}
		g.Expect(balance.Choose(list, r).Index).To(Equal(31))
	}
}

func TestSlotTimeIsMovingMean(t *testing.T) {
	g := NewWithT(t)
	var r balance.SlotTime
	g.Expect(r.Duration()).To(Equal(time.Second), "before the first observation")
	r.Observe(300 * time.Millisecond)
	g.Expect(r.Duration()).To(Equal(300 * time.Millisecond))
	for range 400 {
		r.Observe(2 * time.Second)
	}
	g.Expect(r.MS()).To(BeNumerically("~", 2000, 10))
}
