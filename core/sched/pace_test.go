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

// pacedHarness is a scheduler with one class that has targets for its first token and
// between tokens, and one that has neither.
type pacedHarness struct {
	*GomegaWithT
	s    *sched.Scheduler
	next int
}

func newPacedHarness(t *testing.T, slots int) *pacedHarness {
	p := &pacedHarness{GomegaWithT: NewWithT(t), s: sched.New(sched.Config{Headroom: 1e-6}, rand.New(rand.NewSource(1)))}
	p.s.SetClasses(&intent.Document{Classes: []intent.Class{
		{Name: "answer", FirstToken: time.Second, BetweenTokens: 29 * time.Millisecond, Deadline: time.Minute},
		{Name: "draft", Tier: 1, Deadline: time.Hour},
	}})
	p.s.SetUpstreams(start, engines(4, slots))
	return p
}

func (p *pacedHarness) send(now time.Time, class string, promptTokens int) []sched.Grant {
	t := ticket(fmt.Sprint(p.next), class, "big", now)
	t.PromptTokens = promptTokens
	p.next++
	return grants(p.s.Submit(now, t))
}

// runStreams runs one stream on each engine, with 60 ms between tokens on e1 and 20 ms
// on the others. That is too slow for the class, but too fast for a straggler.
func (p *pacedHarness) runStreams() time.Time {
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

// Guards against answers that stay slow for as long as a burst of requests lasts. An
// engine slows down to a third while its streams go on and its first tokens are in
// time. This happens if rates are only measured when a stream ends.
func TestSlowEngineIsDetectedFromRunningStreams(t *testing.T) {
	p := newPacedHarness(t, 8)
	now := p.runStreams()
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
	p.Expect(used).To(BeTrue(), "a slow engine still serves a class without a target between tokens")
}

// Guards against a slow answer although a fast engine would have had a slot a moment
// later. All fast engines are full and the slow one has slots. This happens if any free
// slot is taken immediately.
func TestPatientRequestWaitsForFastEngine(t *testing.T) {
	p := newPacedHarness(t, 1)
	p.s.SetUpstreams(start, engines(4, 2))
	now := p.runStreams()
	for range 3 {
		p.Expect(p.send(now, "answer", 100)).To(HaveLen(1))
	}
	p.Expect(p.send(now, "answer", 100)).To(BeEmpty())
	p.Expect(grants(p.s.Tick(now.Add(500 * time.Millisecond)))).To(BeEmpty())
	late := grants(p.s.Tick(now.Add(800 * time.Millisecond)))
	p.Expect(late).To(HaveLen(1), "a slow engine is used once most of the time to the first-token target has passed")
	p.Expect(late[0].Upstream).To(Equal("e1"))
}

// Guards against stalling streams on engines that have free slots. If two long prompts
// reach one engine within a second, each step of its other streams takes twice as long
// while it processes them.
func TestLongPromptsAreSpread(t *testing.T) {
	p := newPacedHarness(t, 8)
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

// Guards against two failures. Streams with a target between tokens stall if a second
// long prompt is sent to an engine that is still processing one. And the limit that
// prevents this would starve very long prompts if it did not let a single prompt of any
// length pass.
func TestLongPromptWaitsForPendingPrompt(t *testing.T) {
	p := newPacedHarness(t, 8)
	for range 4 {
		p.Expect(p.send(start, "answer", 100)).To(HaveLen(1))
	}
	for range 4 {
		p.Expect(p.send(start, "draft", 20000)).To(HaveLen(1))
	}
	p.Expect(p.send(start, "draft", 4000)).To(BeEmpty())
	p.Expect(p.send(start, "answer", 4000)).To(HaveLen(1), "a request with a target between tokens is not held back")
	p.Expect(grants(p.s.Tick(start.Add(5 * time.Second)))).To(HaveLen(1))
}

// Guards against slots that stay taken for unprotected work although nothing runs. This
// happens if an operator protects a class with requests in flight and their ends are
// counted by the class's current setting instead of the one at the grant.
func TestChangedClassReleasesAllSlots(t *testing.T) {
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
