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

func TestGrantsImmediatelyWhileSlotsAreFree(t *testing.T) {
	g := NewWithT(t)
	s := newScheduler(sched.Config{}, engines(2, 4))
	got := grants(s.Submit(start, ticket("a", "review", "big", start)))
	g.Expect(got).To(HaveLen(1))
	g.Expect(got[0].Address).To(HavePrefix("127.0.0.1:"))
	g.Expect(s.Submit(start, ticket("a", "review", "big", start))).To(BeEmpty())
}

// Guards against a single queue in order of arrival: an urgent request would wait
// behind less urgent ones that fill all slots and the queue.
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

func TestUnknownClassAndModelAreShedWithRetryHint(t *testing.T) {
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

// Guards against answers that arrive half a minute late, when they are worthless.
// Without an estimate on arrival, a request is queued although the backlog alone takes
// longer than its service level.
func TestRequestThatCannotMeetItsLevelIsShedOnArrival(t *testing.T) {
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

// Guards against a small organisation waiting for all of the hundred requests that a
// large one queued before it, as it would in order of arrival.
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

// Guards against slow first tokens on one engine while others idle. An engine reports
// that it is idle, and dozens of requests are sent to it before its next report because
// each choice still uses the old one.
func TestDelayedReportIsCorrectedByOwnGrants(t *testing.T) {
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

// Guards against a protected request waiting for the end of a ten minute answer because
// unprotected ones fill all slots of every engine.
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

// Guards against a small organisation being shed as "overloaded" because a large one
// queued as much as the class can serve within its service level. By its fair share the
// small one would be next.
func TestLargeBacklogDoesNotShedSmallOrganisation(t *testing.T) {
	g := NewWithT(t)
	s := newScheduler(sched.Config{}, engines(1, 10))
	refused := 0
	for n := range 300 {
		refused += len(sheds(s.Submit(start, ticket(fmt.Sprint("b", n), "status", "big", start))))
	}
	g.Expect(refused).To(BeNumerically(">", 0))
	g.Expect(sheds(s.Submit(start, ticket("s", "status", "small", start)))).To(BeEmpty())
}

// Guards against all tickets being late during an overload: a ticket that already
// missed its service level would go, by earliest target, before those that could still
// meet theirs.
func TestLateTicketsDoNotDelayOthers(t *testing.T) {
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

// A ticket whose deadline passes in the queue is shed at the next Tick and not when its
// turn would have come.
func TestExpiredTicketIsShedAtNextTick(t *testing.T) {
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

// Guards against a caller waiting until its deadline although every engine was tried:
// after its last attempt failed at the only engine left, no engine could ever take the
// queued request.
func TestRequestTriedOnAllUpstreamsIsShed(t *testing.T) {
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
	g.Expect(got).To(HaveLen(1), "the last eligible engine was removed")
	g.Expect(got[0].ID).To(Equal("d"))
}
