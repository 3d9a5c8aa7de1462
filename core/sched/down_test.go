package sched_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/comfreyladder/comfreyladder/core/sched"
)

// A burst of status replies is told "not run" while most engines have room soon.
// One engine crashes while the others are full; each request that is sent there
// fails at once, so that its slots look free and the next one goes there too.
// The cause: a refused connection used no slot and so counted as no failure.
func TestCrashedEngineDrawsNoRequests(t *testing.T) {
	g := NewWithT(t)
	s := newScheduler(sched.Config{}, engines(2, 2))
	place := func(id string, now time.Time) []sched.Grant {
		return grants(s.Submit(now, ticket(id, "status", "big", now)))
	}
	fail := func(id string, now time.Time) []sched.Grant {
		return grants(s.Finish(now, id, sched.Outcome{Failed: true, Unused: true}))
	}
	for n := range 4 {
		place(fmt.Sprint("first", n), start)
	}
	var dead []string
	for _, id := range []string{"first0", "first1", "first2", "first3"} {
		if gr, _ := s.GrantOf(id); gr.Upstream == "e0" {
			dead = append(dead, id)
		}
	}
	g.Expect(dead).To(HaveLen(2))
	place("waits", start)
	for _, id := range dead {
		g.Expect(fail(id, start)).To(BeEmpty(), "e0 is down, e1 is full")
	}

	now := start.Add(1100 * time.Millisecond)
	probes := grants(s.Tick(now))
	g.Expect(probes).To(HaveLen(1))
	g.Expect(probes[0].Upstream).To(Equal("e0"), "the probe")
	g.Expect(place("behind", now)).To(BeEmpty(), "one probe at a time")
	s.Started(now, "waits")
	g.Expect(grants(s.Tick(now))).To(HaveLen(1), "it answers again")
}

// An operator sees engine after engine set out of use while all of them are well.
// One caller sends requests that every engine answers with a failure; each is
// tried elsewhere. The cause: a bad request counted against the engine.
func TestBadRequestsTakeNoEngineOutOfUse(t *testing.T) {
	g := NewWithT(t)
	s := newScheduler(sched.Config{}, engines(1, 4))
	for n := range 5 {
		id := fmt.Sprint(n)
		g.Expect(grants(s.Submit(start, ticket(id, "draft", "big", start)))).To(HaveLen(1))
		s.Finish(start, id, sched.Outcome{Failed: true})
	}
	g.Expect(grants(s.Submit(start, ticket("good", "review", "big", start)))).To(HaveLen(1))
}
