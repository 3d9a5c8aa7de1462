package sched_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/comfreyladder/comfreyladder/core/sched"
)

// Guards against a crashed engine that attracts all requests while the others are full,
// so that callers get "not run" although slots become free soon. Each request sent to
// it fails immediately and leaves its slot free for the next one. This happens if a
// refused connection, which used no slot, is not counted as a failure.
func TestCrashedEngineAttractsNoRequests(t *testing.T) {
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
	var onCrashed []string
	for _, id := range []string{"first0", "first1", "first2", "first3"} {
		if gr, _ := s.GrantOf(id); gr.Upstream == "e0" {
			onCrashed = append(onCrashed, id)
		}
	}
	g.Expect(onCrashed).To(HaveLen(2))
	place("waits", start)
	for _, id := range onCrashed {
		g.Expect(fail(id, start)).To(BeEmpty(), "e0 is down, e1 is full")
	}

	now := start.Add(1100 * time.Millisecond)
	probes := grants(s.Tick(now))
	g.Expect(probes).To(HaveLen(1))
	g.Expect(probes[0].Upstream).To(Equal("e0"), "the probe")
	g.Expect(place("behind", now)).To(BeEmpty(), "one probe at a time")
	s.Started(now, "waits")
	g.Expect(grants(s.Tick(now))).To(HaveLen(1), "available again after its first token")
}

// Guards against healthy engines being taken out of use one after another by a caller
// whose requests every engine answers with a failure. This happens if each invalid
// request, which is also retried elsewhere, counts against the engine.
func TestInvalidRequestsDoNotMakeEngineUnavailable(t *testing.T) {
	g := NewWithT(t)
	s := newScheduler(sched.Config{}, engines(1, 4))
	for n := range 5 {
		id := fmt.Sprint(n)
		g.Expect(grants(s.Submit(start, ticket(id, "draft", "big", start)))).To(HaveLen(1))
		s.Finish(start, id, sched.Outcome{Failed: true})
	}
	g.Expect(grants(s.Submit(start, ticket("good", "review", "big", start)))).To(HaveLen(1))
}
