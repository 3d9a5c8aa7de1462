package balance_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/comfreyladder/comfreyladder/core/balance"
)

var (
	longReport   = balance.Offer{Route: "report", Tokens: 12_000, Unread: 6600, SlotTime: 2 * time.Second, Gap: 600 * time.Millisecond, Rank: 1}
	longQuestion = balance.Offer{Route: "question", Tokens: 800, Unread: 600, SlotTime: time.Second, Gap: 150 * time.Millisecond}
	check        = balance.Offer{Route: "check", Tokens: 2400, Unread: 1800, SlotTime: 100 * time.Millisecond, Gap: 250 * time.Millisecond}
)

// steady plays a steady load of so many reports and quick requests a second, and returns
// how many of the engines are for quick ones and which part of the reports is admitted.
func steady(engine balance.Engine, reports int, brief balance.Offer, briefs int) (quick int, admitted float64) {
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
		p.Split(now, ids)
	}
	quick = len(p.Split(now, ids))
	return quick, p.AdmittedShare(now, &balance.Offer{Route: "report"}, engine.Count-float64(quick))
}

// Engines have 12 slots and read fast. Reports hold theirs for long; checks bring as much
// reading and are done at once. By the reading alone more than half of the engines would
// idle with checks while reports wait for slots.
func TestPoolsGoBySlotsWhereTheseRunOut(t *testing.T) {
	g := NewWithT(t)
	few, admitted := steady(balance.Engine{PerMS: 100, Slots: 12, Count: 120}, 400, check, 600)
	many, _ := steady(balance.Engine{PerMS: 100, Slots: 1000, Count: 120}, 400, check, 600)
	g.Expect(many).To(BeNumerically("~", 69, 6), "with slots in plenty only the reading counts")
	g.Expect(few).To(BeNumerically("~", 49, 6))
	g.Expect(admitted).To(Equal(1.0))
}

// Twice as many reports come as engines have slots for. Questions are more urgent: they
// keep what they need, and reports are admitted as far as the rest goes, never below the
// part that each route gets in any case.
func TestScarceEnginesGoToTheUrgentFirst(t *testing.T) {
	g := NewWithT(t)
	engine := balance.Engine{PerMS: 100, Slots: 12, Count: 100}
	quick, admitted := steady(engine, 1000, longQuestion, 300)
	g.Expect(quick).To(BeNumerically("~", 25, 4), "300 questions hold 25 engines' slots")
	g.Expect(admitted).To(BeNumerically("~", 0.45, 0.12))
	quick, admitted = steady(engine, 8000, longQuestion, 300)
	g.Expect(quick).To(BeNumerically(">=", 10), "nobody is left without engines")
	g.Expect(admitted).To(BeNumerically("~", 0.25, 0.01), "nor shut out")
}

// All slots of an engine are taken and more requests wait for one. The next one waits for
// as many ends as there are requests before it; an engine that reads a little but has a
// free slot answers sooner.
func TestFullSlotsAreWaitedFor(t *testing.T) {
	g := NewWithT(t)
	list := engines(2)
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
	g.Expect(c.QueueMS).To(BeNumerically("~", 600, 1), "three ends at 12 in 2.4 s")
}

// Some engine looks idle in what all instances have heard. If each sent it what comes until
// the next news, it would get it all: of 1,000 requests in that time only a few may go to
// any one engine, other than those that it keeps the prompts of.
func TestOneIdleEngineDoesNotDrawAll(t *testing.T) {
	g := NewWithT(t)
	list := engines(100)
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
	g.Expect(drawn).To(BeNumerically("<", 80), "five of a hundred are weighed")
	g.Expect(drawn).To(BeNumerically(">", 20))
}

// Everything that is weighed has more waiting than the request may have before it. Before
// it is refused, all others are looked at.
func TestAllAreLookedAtBeforeARefusal(t *testing.T) {
	g := NewWithT(t)
	list := engines(60)
	for i := range list {
		list[i].QueuedTokens = 90_000
	}
	list[31].QueuedTokens = 0
	for i := range 200 {
		r := &balance.Request{Affinity: uint64(1 + i), Shared: 5000, Unshared: 6600, Rate: 100, Domain: "d0", Random: float64(i) / 200, MaxQueueMS: 500}
		g.Expect(balance.Choose(list, r).Index).To(Equal(31))
	}
}

func TestResidenceIsTheMeanOfTheLatest(t *testing.T) {
	g := NewWithT(t)
	var r balance.SlotTime
	g.Expect(r.Duration()).To(Equal(time.Second), "before one is seen")
	r.Observe(300 * time.Millisecond)
	g.Expect(r.Duration()).To(Equal(300 * time.Millisecond))
	for range 400 {
		r.Observe(2 * time.Second)
	}
	g.Expect(r.MS()).To(BeNumerically("~", 2000, 10))
}
