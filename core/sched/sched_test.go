package sched_test

import (
	"fmt"
	"math/rand"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/comfreyladder/comfreyladder/core/announce"
	"github.com/comfreyladder/comfreyladder/core/intent"
	"github.com/comfreyladder/comfreyladder/core/sched"
)

var start = time.Unix(1_000_000, 0)

func document() *intent.Document {
	return &intent.Document{
		Classes: []intent.Class{
			{Name: "review", Tier: 0, Protected: true, FirstToken: 2 * time.Second, Deadline: 30 * time.Second},
			{Name: "question", Tier: 1, FirstToken: 2 * time.Second, Deadline: 20 * time.Second, Floor: 0.1},
			{Name: "status", Tier: 2, Deadline: 60 * time.Second, Floor: 0.1},
			{Name: "draft", Tier: 3, Deadline: 10 * time.Minute, Floor: 0.1},
		},
		Organisations: []intent.Organisation{{Name: "big", Weight: 1}, {Name: "small", Weight: 1}, {Name: "double", Weight: 2}},
	}
}

func engines(n, slots int) []sched.Upstream {
	var out []sched.Upstream
	for i := range n {
		out = append(out, sched.Upstream{Name: fmt.Sprintf("e%d", i), Address: fmt.Sprintf("127.0.0.1:%d", 9000+i), Models: []string{"m"}, Slots: slots})
	}
	return out
}

func newScheduler(cfg sched.Config, ups []sched.Upstream) *sched.Scheduler {
	s := sched.New(cfg, rand.New(rand.NewSource(1)))
	s.SetClasses(document())
	s.SetOrganisations(document())
	s.SetUpstreams(start, ups)
	return s
}

func ticket(id, class, org string, at time.Time) sched.Ticket {
	return sched.Ticket{ID: id, Instance: "i", Organisation: org, Class: class, Model: "m", PromptTokens: 100, Arrived: at}
}

func grants(effects []sched.Effect) []sched.Grant {
	var out []sched.Grant
	for _, e := range effects {
		if g, ok := e.(sched.Grant); ok {
			out = append(out, g)
		}
	}
	return out
}

func sheds(effects []sched.Effect) []sched.Shed {
	var out []sched.Shed
	for _, e := range effects {
		if g, ok := e.(sched.Shed); ok {
			out = append(out, g)
		}
	}
	return out
}

func TestGrantsAtOnceWhileSlotsAreFree(t *testing.T) {
	g := NewWithT(t)
	s := newScheduler(sched.Config{}, engines(2, 4))
	got := grants(s.Submit(start, ticket("a", "review", "big", start)))
	g.Expect(got).To(HaveLen(1))
	g.Expect(got[0].Address).To(HavePrefix("127.0.0.1:"))
	g.Expect(s.Submit(start, ticket("a", "review", "big", start))).To(BeEmpty())
}

// A nurse's review waits behind a queue of status replies.
// First replies fill all slots and the queue, then a review arrives.
// The cause would be one queue in order of arrival.
func TestUrgentTierGoesFirst(t *testing.T) {
	g := NewWithT(t)
	s := newScheduler(sched.Config{}, engines(1, 1))
	for n := range 5 {
		s.Submit(start, ticket(fmt.Sprint("d", n), "draft", "big", start))
	}
	g.Expect(s.Submit(start, ticket("r", "review", "big", start))).To(BeEmpty())
	got := grants(s.Finish(start.Add(time.Second), "d0", sched.Outcome{Tokens: 50, Complete: true}))
	g.Expect(got).To(HaveLen(1))
	g.Expect(got[0].ID).To(Equal("r"))
}

func TestUnknownClassAndModelAreRefusedWithAHint(t *testing.T) {
	g := NewWithT(t)
	s := newScheduler(sched.Config{}, engines(1, 1))
	got := sheds(s.Submit(start, ticket("a", "gone", "big", start)))
	g.Expect(got).To(HaveLen(1))
	g.Expect(got[0].Reason).To(Equal(sched.ReasonUnknownClass))
	other := ticket("b", "draft", "big", start)
	other.Model = "none"
	got = sheds(s.Submit(start, other))
	g.Expect(got[0].Reason).To(Equal(sched.ReasonNoUpstream))
	g.Expect(got[0].RetryAfter).To(BeNumerically(">", 0))
}

// A caller of questions gets an answer half a minute late, worth nothing.
// First drafts and questions pile up, then one more question is queued although
// the backlog alone takes longer than its level. The cause: no estimate at
// arrival.
func TestWorkThatCannotMeetItsLevelIsRefusedAtOnce(t *testing.T) {
	g := NewWithT(t)
	s := newScheduler(sched.Config{}, engines(1, 2))
	var refused []sched.Shed
	for n := range 20 {
		refused = append(refused, sheds(s.Submit(start, ticket(fmt.Sprint(n), "question", "big", start)))...)
	}
	g.Expect(len(refused)).To(BeNumerically(">=", 15))
	for _, r := range refused {
		g.Expect(r.Reason).To(Equal(sched.ReasonBacklog))
		g.Expect(r.RetryAfter).To(BeNumerically(">=", 400*time.Millisecond))
	}
}

// A small firm's drafts stand still while a large one's hundred run.
// First the large firm queues a hundred, then the small one a few; in order of
// arrival the small one would wait for all hundred.
func TestOrganisationsShareAClassByWeight(t *testing.T) {
	g := NewWithT(t)
	s := newScheduler(sched.Config{}, engines(1, 1))
	for n := range 100 {
		s.Submit(start, ticket(fmt.Sprint("big", n), "draft", "big", start))
	}
	for n := range 20 {
		s.Submit(start, ticket(fmt.Sprint("dbl", n), "draft", "double", start))
	}
	count := map[string]int{}
	last := "big0"
	for n := range 30 {
		at := start.Add(time.Duration(n) * 100 * time.Millisecond)
		got := grants(s.Finish(at, last, sched.Outcome{Tokens: 200, Complete: true}))
		g.Expect(got).To(HaveLen(1))
		last = got[0].ID
		count[last[:3]]++
	}
	g.Expect(count["dbl"]).To(BeNumerically("~", 20, 1))
}

// Callers behind one instance see slow first tokens while other engines idle.
// First an engine reports that it is idle, then dozens of requests go out before
// its next report; each choice still believes the old one.
func TestLateReportIsCorrectedByWhatWasSent(t *testing.T) {
	g := NewWithT(t)
	ups := engines(4, 16)
	for n := range ups {
		running := 8
		if n == 2 {
			running = 0
		}
		ups[n].Load = &announce.Load{Running: running}
		ups[n].LoadAt = start
	}
	s := newScheduler(sched.Config{Headroom: 0.01}, ups)
	count := map[string]int{}
	for n := range 24 {
		for _, gr := range grants(s.Submit(start.Add(time.Second), ticket(fmt.Sprint(n), "draft", "big", start))) {
			count[gr.Upstream]++
		}
	}
	g.Expect(count["e2"]).To(BeNumerically("<=", 14))
	g.Expect(count["e2"]).To(BeNumerically(">=", 8))
	g.Expect(count).To(HaveLen(4))
}

// A review waits for the end of a ten minute draft on every engine.
// First drafts fill all slots, then a review arrives while none of them ends.
func TestDraftsLeaveHeadroomForProtectedWork(t *testing.T) {
	g := NewWithT(t)
	s := newScheduler(sched.Config{}, engines(2, 10))
	granted := 0
	for n := range 30 {
		granted += len(grants(s.Submit(start, ticket(fmt.Sprint("d", n), "draft", "big", start))))
	}
	g.Expect(granted).To(Equal(18))
	g.Expect(grants(s.Submit(start, ticket("r1", "review", "big", start)))).To(HaveLen(1))
	g.Expect(grants(s.Submit(start, ticket("r2", "review", "big", start)))).To(HaveLen(1))
}

// A small firm is refused with "overloaded" all morning.
// First a large firm queues as much as the class can serve within its level,
// then the small one asks once; by its fair share it would be next.
func TestSmallOrganisationIsNotRefusedForALargeOnesBacklog(t *testing.T) {
	g := NewWithT(t)
	s := newScheduler(sched.Config{}, engines(1, 10))
	refused := 0
	for n := range 300 {
		refused += len(sheds(s.Submit(start, ticket(fmt.Sprint("b", n), "status", "big", start))))
	}
	g.Expect(refused).To(BeNumerically(">", 0))
	g.Expect(sheds(s.Submit(start, ticket("s", "status", "small", start)))).To(BeEmpty())
}

// Every question of a firm is answered just too late during an overload.
// Tickets wait until their level is missed and go, by earliest target, before
// those that could still meet theirs, which are thereby missed as well.
func TestLateTicketsDoNotMakeOthersLate(t *testing.T) {
	g := NewWithT(t)
	s := newScheduler(sched.Config{}, engines(1, 1))
	s.Submit(start, ticket("r", "review", "big", start))
	s.Submit(start, ticket("old", "review", "big", start))
	now := start.Add(3 * time.Second)
	s.Submit(now, ticket("new", "review", "big", now))
	got := grants(s.Finish(now, "r", sched.Outcome{Tokens: 10, Complete: true}))
	g.Expect(got[0].ID).To(Equal("new"))
	got = grants(s.Finish(now, "new", sched.Outcome{Tokens: 10, Complete: true}))
	g.Expect(got[0].ID).To(Equal("old"))
}

// A caller that waits in the queue past its deadline learns it at the next tick,
// not when its turn would have come.
func TestExpiredTicketIsAnsweredAtOnce(t *testing.T) {
	g := NewWithT(t)
	s := newScheduler(sched.Config{}, engines(1, 1))
	s.Submit(start, ticket("r", "review", "big", start))
	s.Submit(start, ticket("q", "review", "big", start))
	g.Expect(s.Tick(start.Add(29 * time.Second))).To(BeEmpty())
	got := sheds(s.Tick(start.Add(30 * time.Second)))
	g.Expect(got).To(HaveLen(1))
	g.Expect(got[0].Reason).To(Equal(sched.ReasonExpired))
	g.Expect(got[0].RetryAfter).To(BeNumerically(">", 0))
}

// A caller waits its whole deadline out although every engine was tried. Its last
// attempt failed at the only engine left, and a queue for none of them is endless.
func TestTriedEverywhereIsToldAtOnce(t *testing.T) {
	g := NewWithT(t)
	s := newScheduler(sched.Config{}, engines(2, 1))
	tk := ticket("a", "review", "big", start)
	tk.Excluded = []string{"e0", "e1"}
	got := sheds(s.Submit(start, tk))
	g.Expect(got).To(HaveLen(1))
	g.Expect(got[0].Reason).To(Equal(sched.ReasonNoUpstream))

	s.Submit(start, ticket("b", "review", "big", start))
	s.Submit(start, ticket("c", "review", "big", start))
	waits := ticket("d", "review", "big", start)
	waits.Excluded = []string{"e0"}
	g.Expect(s.Submit(start, waits)).To(BeEmpty())
	s.SetUpstreams(start, engines(1, 1))
	got = sheds(s.Tick(start.Add(time.Second)))
	g.Expect(got).To(HaveLen(1), "its last engine left")
	g.Expect(got[0].ID).To(Equal("d"))
}
