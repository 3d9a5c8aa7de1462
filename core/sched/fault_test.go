package sched_test

import (
	"fmt"
	"maps"
	"math/rand"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/comfreyladder/comfreyladder/core/announce"
	"github.com/comfreyladder/comfreyladder/core/sched"
)

func sortedKeys[V any](m map[string]V) []string {
	return slices.Sorted(maps.Keys(m))
}

// Guards against herding: four instances that lost the domain's scheduler schedule
// independently, all hold the same two second old report that shows one idle engine,
// and all send to that engine while seven others idle. It comes about if each makes the
// same best choice from the same stale report.
func TestUncoordinatedSchedulersSpreadRequests(t *testing.T) {
	g := NewWithT(t)
	ups := engines(8, 32)
	for n := range ups {
		ups[n].Load = &announce.Load{Running: 8}
		ups[n].LoadAt = start.Add(-2 * time.Second)
	}
	ups[5].Load = &announce.Load{}
	count := map[string]int{}
	for part := range 4 {
		s := sched.New(sched.Config{Uncoordinated: true, Headroom: 0.01}, rand.New(rand.NewSource(int64(part))))
		s.SetClasses(document())
		s.SetSlotShare(part, 4)
		s.SetUpstreams(start, ups)
		for n := range 12 {
			for _, gr := range grants(s.Submit(start, ticket(fmt.Sprint(n), "draft", "big", start))) {
				count[gr.Upstream]++
			}
		}
	}
	total := 0
	for _, n := range count {
		total += n
	}
	g.Expect(total).To(Equal(48))
	g.Expect(count["e5"]).To(BeNumerically("<=", 48/3), "%v", count)
	g.Expect(count).To(HaveLen(8))
}

// Guards against slots that are lost for good after a crash. An engine dies with four
// grants in flight and leaves the list, then the grants end one by one, then the engine
// returns under the same name.
func TestSlotsAreReleasedAfterEngineCrash(t *testing.T) {
	g := NewWithT(t)
	ups := engines(2, 2)
	s := newScheduler(sched.Config{}, ups)
	for n := range 6 {
		s.Submit(start, ticket(fmt.Sprint(n), "draft", "big", start))
	}
	g.Expect(s.SetUpstreams(start, ups[1:])).To(BeEmpty())
	inFlight := s.InFlight()
	g.Expect(inFlight["e0"]).To(Equal(2))
	now := start.Add(time.Second)
	for n := range 4 {
		for _, gr := range grants(s.Finish(now, fmt.Sprint(n), sched.Outcome{Failed: true})) {
			g.Expect(gr.Upstream).To(Equal("e1"))
		}
	}
	g.Expect(s.InFlight()).To(Equal(map[string]int{"e1": 2}))
	s.SetUpstreams(now, ups)
	g.Expect(grants(s.Submit(now, ticket("again", "draft", "big", now)))).To(HaveLen(1))
}

// harness places requests on chosen engines by excluding the others.
type harness struct {
	*GomegaWithT
	s    *sched.Scheduler
	now  time.Time
	next int
}

func (b *harness) place(engine int) string {
	t := ticket(fmt.Sprint(b.next), "draft", "big", b.now)
	b.next++
	for n := range 4 {
		if n != engine {
			t.Excluded = append(t.Excluded, fmt.Sprint("e", n))
		}
	}
	b.Expect(grants(b.s.Submit(b.now, t))).To(HaveLen(1))
	return t.ID
}

func (b *harness) answer(id string, first time.Duration) {
	b.s.Started(b.now.Add(first), id)
	b.s.Finish(b.now.Add(10*first), id, sched.Outcome{Tokens: 100, Complete: true})
}

// warmUp lets all engines answer, then fills all but e1 to three quarters.
func (b *harness) warmUp(e1FirstToken time.Duration) {
	for range 8 {
		for n := range 4 {
			first := 100 * time.Millisecond
			if n == 1 {
				first = e1FirstToken
			}
			b.answer(b.place(n), first)
		}
	}
	for range 6 {
		for _, n := range []int{0, 2, 3} {
			b.s.Started(b.now.Add(100*time.Millisecond), b.place(n))
		}
	}
}

func (b *harness) send(class string) string {
	b.s.Tick(b.now)
	id := fmt.Sprint(b.next)
	b.next++
	got := grants(b.s.Submit(b.now, ticket(id, class, "small", b.now)))
	b.Expect(got).To(HaveLen(1))
	return got[0].Upstream
}

func newHarness(t *testing.T) *harness {
	return &harness{GomegaWithT: NewWithT(t), s: newScheduler(sched.Config{}, engines(4, 8)), now: start}
}

// Guards against answers that are slow although most engines are fast. An engine that
// slows down to a tenth finishes little, so it has free slots and looks the least
// loaded; selection by load alone ignores its speed.
func TestStragglerIsEjectedAndReinstatedByProbes(t *testing.T) {
	b := newHarness(t)
	b.warmUp(time.Second)
	for range 3 {
		b.Expect(b.send("review")).NotTo(Equal("e1"))
		b.s.Started(b.now.Add(100*time.Millisecond), fmt.Sprint(b.next-1))
	}
	b.now = b.now.Add(1500 * time.Millisecond)
	b.Expect(b.send("draft")).To(Equal("e1"), "the probe")
	probe := fmt.Sprint(b.next - 1)
	b.Expect(b.send("draft")).NotTo(Equal("e1"))
	b.s.Started(b.now.Add(100*time.Millisecond), fmt.Sprint(b.next-1))
	b.answer(probe, 100*time.Millisecond)
	for range 2 {
		b.now = b.now.Add(1100 * time.Millisecond)
		b.Expect(b.send("draft")).To(Equal("e1"))
		b.answer(fmt.Sprint(b.next-1), 100*time.Millisecond)
	}
	b.Expect(b.send("review")).To(Equal("e1"), "recovered")
}

// Guards against an engine that slowed down once and is never used again while requests
// queue: bad measurements keep it from being chosen, and so they are never updated.
func TestMeasurementsOfUnusedEngineExpire(t *testing.T) {
	b := newHarness(t)
	for n := range 4 {
		b.answer(b.place(n), time.Duration(1+9*(n%2))*100*time.Millisecond)
	}
	count := map[string]int{}
	for range 100 {
		b.now = b.now.Add(200 * time.Millisecond)
		count[b.send("draft")]++
		b.answer(fmt.Sprint(b.next-1), 100*time.Millisecond)
	}
	b.Expect(count["e1"]).To(BeNumerically(">=", 3), "%v", count)
}

// Guards against new requests being sent to a frozen engine on which others hang. It
// finishes nothing, so its measurements do not get worse if only finished answers are
// measured.
func TestFrozenEngineIsEjected(t *testing.T) {
	b := newHarness(t)
	b.warmUp(100 * time.Millisecond)
	b.place(1)
	b.now = b.now.Add(2 * time.Second)
	for range 3 {
		b.Expect(b.send("review")).NotTo(Equal("e1"))
	}
}

// Guards against an engine that refuses each request immediately: it always has free
// slots, so it attracts all requests of the domain and fails them.
func TestFailingEngineIsEjected(t *testing.T) {
	b := newHarness(t)
	b.warmUp(100 * time.Millisecond)
	for range 3 {
		b.s.Finish(b.now, b.place(1), sched.Outcome{Failed: true})
	}
	b.Expect(b.send("review")).NotTo(Equal("e1"))
}

// Guards against a dead instance's queued request being granted the slot that its own
// removal frees. That slot would stay taken until a lease ends.
func TestDeadInstanceGetsNoGrant(t *testing.T) {
	g := NewWithT(t)
	s := newScheduler(sched.Config{}, engines(1, 1))
	for n, instance := range []string{"dead", "dead", "alive"} {
		tk := ticket(fmt.Sprint(n), "draft", "big", start)
		tk.Instance = instance
		s.Submit(start, tk)
	}
	got := grants(s.DropInstance(start, "dead"))
	g.Expect(got).To(HaveLen(1))
	g.Expect(got[0].Instance).To(Equal("alive"))
}

// Guards against a protected request being shed because unprotected ones have reached
// the limit on queued tickets before it arrives.
func TestProtectedWorkDisplacesTheLowestTier(t *testing.T) {
	g := NewWithT(t)
	s := newScheduler(sched.Config{MaxQueued: 2}, engines(1, 1))
	for n, class := range []string{"draft", "draft", "status"} {
		s.Submit(start, ticket(fmt.Sprint(n), class, "big", start))
	}
	got := sheds(s.Submit(start, ticket("r", "review", "big", start)))
	g.Expect(got).To(HaveLen(1))
	g.Expect(got[0].ID).To(Equal("1"))
	g.Expect(got[0].Reason).To(Equal(sched.ReasonDisplaced))
	g.Expect(got[0].RetryAfter).To(BeNumerically(">", 0))
}

// Guards against a protected ticket being evicted for another protected one. If only
// protected work is queued, the newcomer is shed, whatever its tier.
func TestProtectedWorkIsNeverDisplaced(t *testing.T) {
	g := NewWithT(t)
	doc := document()
	doc.Classes[1].Protected = true
	s := sched.New(sched.Config{MaxQueued: 2}, rand.New(rand.NewSource(1)))
	s.SetClasses(doc)
	s.SetUpstreams(start, engines(1, 1))
	s.Submit(start, ticket("0", "question", "big", start))
	s.Submit(start, ticket("1", "question", "big", start))
	s.Submit(start, ticket("2", "question", "big", start))
	got := sheds(s.Submit(start, ticket("3", "review", "big", start)))
	g.Expect(got).To(HaveLen(1))
	g.Expect(got[0].ID).To(Equal("3"))
	g.Expect(got[0].Reason).To(Equal(sched.ReasonQueueFull))
}

// Guards against slots that stay taken for good after the scheduler's instance dies.
// The successor learns of grants in flight from their instances, may learn of one
// twice, and must not grant anything before it has heard from them.
func TestSuccessorRestoresGrantsInFlight(t *testing.T) {
	g := NewWithT(t)
	s := newScheduler(sched.Config{}, engines(1, 2))
	s.HoldGrants(start.Add(500 * time.Millisecond))
	g.Expect(s.Submit(start, ticket("new", "draft", "big", start))).To(BeEmpty())
	s.Restore(start, ticket("old1", "draft", "big", start), "e0", 10)
	s.Restore(start, ticket("old1", "draft", "big", start), "e0", 10)
	s.Restore(start, ticket("old2", "draft", "big", start), "e0", 10)
	g.Expect(s.InFlight()).To(Equal(map[string]int{"e0": 2}))
	g.Expect(s.Tick(start.Add(time.Second))).To(BeEmpty())
	got := grants(s.Finish(start.Add(time.Second), "old1", sched.Outcome{Tokens: 20, Complete: true}))
	g.Expect(got).To(HaveLen(1))
	g.Expect(s.DropInstance(start.Add(time.Second), "i")).To(BeEmpty())
	g.Expect(s.InFlight()).To(BeEmpty())
}

// Like TestSuccessorRestoresGrantsInFlight, for an engine that left before the
// scheduler changed. Its grant must be known, or the instance and the successor never
// agree on what is in flight.
func TestSuccessorRestoresGrantsOnRemovedEngine(t *testing.T) {
	g := NewWithT(t)
	s := newScheduler(sched.Config{}, engines(1, 2))
	s.Restore(start, ticket("old", "draft", "big", start), "left", 10)
	_, granted := s.TicketsOf("i")
	g.Expect(granted).To(Equal([]string{"old"}))
	for n := range 4 {
		for _, gr := range grants(s.Submit(start, ticket(fmt.Sprint(n), "draft", "big", start))) {
			g.Expect(gr.Upstream).To(Equal("e0"))
		}
	}
	s.Finish(start, "old", sched.Outcome{Tokens: 20, Complete: true})
	g.Expect(s.InFlight()).To(Equal(map[string]int{"e0": 2}))
	g.Expect(s.Status(start).Upstreams).To(HaveLen(1))
}

func TestDrainingEngineGetsNoNewWork(t *testing.T) {
	g := NewWithT(t)
	ups := engines(2, 4)
	s := newScheduler(sched.Config{}, ups)
	ups[0].Draining = true
	s.SetUpstreams(start, ups)
	count := map[string]int{}
	for n := range 12 {
		for _, gr := range grants(s.Submit(start, ticket(fmt.Sprint(n), "draft", "big", start))) {
			count[gr.Upstream]++
		}
	}
	g.Expect(count).To(Equal(map[string]int{"e1": 4}))
}

// The slot shares of an engine must add up to all its slots.
func TestSlotSharesAddUpToAllSlots(t *testing.T) {
	g := NewWithT(t)
	total := 0
	for part := range 3 {
		s := newScheduler(sched.Config{Headroom: 0.001}, engines(5, 4))
		s.SetSlotShare(part, 3)
		for n := range 40 {
			total += len(grants(s.Submit(start, ticket(fmt.Sprint(n), "review", "big", start))))
		}
	}
	g.Expect(total).To(Equal(20))
}
