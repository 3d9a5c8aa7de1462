package sched_test

import (
	"fmt"
	"math/rand"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/comfreyladder/comfreyladder/core/intent"
	"github.com/comfreyladder/comfreyladder/core/sched"
)

// paced is a scheduler with a class that has targets for its first token and
// between tokens, and one that has none.
type paced struct {
	*GomegaWithT
	s    *sched.Scheduler
	next int
}

func newPaced(t *testing.T, slots int) *paced {
	p := &paced{GomegaWithT: NewWithT(t), s: sched.New(sched.Config{Headroom: 1e-6}, rand.New(rand.NewSource(1)))}
	p.s.SetClasses(&intent.Document{Classes: []intent.Class{
		{Name: "answer", FirstToken: time.Second, BetweenTokens: 29 * time.Millisecond, Deadline: time.Minute},
		{Name: "draft", Tier: 1, Deadline: time.Hour},
	}})
	p.s.SetUpstreams(start, engines(4, slots))
	return p
}

func (p *paced) send(now time.Time, class string, promptTokens int) []sched.Grant {
	t := ticket(fmt.Sprint(p.next), class, "big", now)
	t.PromptTokens = promptTokens
	p.next++
	return grants(p.s.Submit(now, t))
}

// slow lets one stream run on each engine, on e1 at 60 ms between tokens and on
// the others at 20 ms: too slow for the class, too fast for a straggler.
func (p *paced) slow() time.Time {
	now := start.Add(800 * time.Millisecond)
	for range 4 {
		got := p.send(start, "draft", 100)
		p.Expect(got).To(HaveLen(1))
		p.s.Started(start, got[0].ID)
		gap := 20 * time.Millisecond
		if got[0].Upstream == "e1" {
			gap = 60 * time.Millisecond
		}
		p.s.Progress(now, got[0].ID, int(now.Sub(start)/gap))
	}
	return now
}

// Technicians' answers crawl for as long as a storm of questions lasts.
// An engine slows down to a third; its streams go on, its first tokens come in
// time. The cause: rates were learned from streams that ended.
func TestSlowEngineIsSeenWhileItsStreamsRun(t *testing.T) {
	p := newPaced(t, 8)
	now := p.slow()
	for range 12 {
		got := p.send(now, "answer", 100)
		p.Expect(got).To(HaveLen(1))
		p.Expect(got[0].Upstream).NotTo(Equal("e1"))
	}
	used := false
	for range 12 {
		for _, g := range p.send(now, "draft", 100) {
			used = used || g.Upstream == "e1"
		}
	}
	p.Expect(used).To(BeTrue(), "it does what it can for work without that target")
}

// An answer crawls although an engine would have had room for it a moment later.
// All good engines are full; the slow one has slots. The cause: any free slot was
// taken at once.
func TestRequestWaitsForAnEngineThatIsFastEnough(t *testing.T) {
	p := newPaced(t, 1)
	p.s.SetUpstreams(start, engines(4, 2))
	now := p.slow()
	for range 3 {
		p.Expect(p.send(now, "answer", 100)).To(HaveLen(1))
	}
	p.Expect(p.send(now, "answer", 100)).To(BeEmpty())
	p.Expect(grants(p.s.Tick(now.Add(500 * time.Millisecond)))).To(BeEmpty())
	late := grants(p.s.Tick(now.Add(800 * time.Millisecond)))
	p.Expect(late).To(HaveLen(1), "late is better than not at all")
	p.Expect(late[0].Upstream).To(Equal("e1"))
}

// Answers stutter on engines that have free slots.
// Two report drafts with long prompts come to one engine within a second; while
// it works on them, each step of its other streams takes twice as long.
func TestLongPromptsAreSpread(t *testing.T) {
	p := newPaced(t, 8)
	for round := range 5 {
		now := start.Add(time.Duration(round) * time.Minute)
		seen := map[string]bool{}
		for range 4 {
			got := p.send(now, "draft", 4000)
			p.Expect(got).To(HaveLen(1))
			p.s.Finish(now, got[0].ID, sched.Outcome{Unused: true})
			p.Expect(seen).NotTo(HaveKey(got[0].Upstream))
			seen[got[0].Upstream] = true
		}
	}
}

// Answers stutter while drafts are written, and drafts with very long prompts are
// never written. The cause of the first: a second long prompt is sent to an engine
// that works on one and runs a technician's answer. Of the second: the guard
// against it must let one prompt of any length go.
func TestLongPromptsWaitForEachOther(t *testing.T) {
	p := newPaced(t, 8)
	for range 4 {
		p.Expect(p.send(start, "answer", 100)).To(HaveLen(1))
	}
	for range 4 {
		p.Expect(p.send(start, "draft", 20000)).To(HaveLen(1))
	}
	p.Expect(p.send(start, "draft", 4000)).To(BeEmpty())
	p.Expect(p.send(start, "answer", 4000)).To(HaveLen(1), "one with the target may go")
	p.Expect(grants(p.s.Tick(start.Add(5 * time.Second)))).To(HaveLen(1))
}

// The slots of an engine stay taken for unprotected work although nothing runs.
// An operator protects a class while its requests are in flight; their ends then
// took nothing from the count of unprotected ones. The cause: the count went by
// the class as it is at the end, not as it was at the grant.
func TestChangedClassLeavesNoSlotTaken(t *testing.T) {
	g := NewWithT(t)
	s := newScheduler(sched.Config{}, engines(1, 4))
	doc := document()
	for round := range 5 {
		doc.Classes[3].Protected = false
		s.SetClasses(doc)
		id := fmt.Sprint(round)
		g.Expect(grants(s.Submit(start, ticket(id, "draft", "big", start)))).To(HaveLen(1), id)
		doc.Classes[3].Protected = true
		s.SetClasses(doc)
		s.Finish(start, id, sched.Outcome{Tokens: 1, Complete: true})
	}
}
