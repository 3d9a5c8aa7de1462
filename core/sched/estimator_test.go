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

// Guards against slow answers after each change of the domain's scheduler, on an engine
// long known to be slow. This happens if an instance that does not schedule learns
// nothing from its own requests.
func TestSchedulerStartsWithExistingMeasurements(t *testing.T) {
	g := NewWithT(t)
	k := sched.NewEstimator(sched.Config{})
	now := start.Add(800 * time.Millisecond)
	for n, gap := range []time.Duration{20, 60, 20, 20} {
		w := k.Observe(start, ticket(fmt.Sprint(n), "draft", "big", start), fmt.Sprint("e", n))
		w.Started(start)
		w.Progress(now, int(now.Sub(start)/(gap*time.Millisecond)))
	}
	s := sched.NewWithEstimator(sched.Config{}, rand.New(rand.NewSource(1)), k)
	s.SetClasses(&intent.Document{Classes: []intent.Class{
		{Name: "answer", FirstToken: time.Second, BetweenTokens: 29 * time.Millisecond, Deadline: time.Minute},
	}})
	s.SetUpstreams(now, engines(4, 8))
	for n := range 12 {
		got := grants(s.Submit(now, ticket(fmt.Sprint("new", n), "answer", "big", now)))
		g.Expect(got).To(HaveLen(1))
		g.Expect(got[0].Upstream).NotTo(Equal("e1"))
	}
}

// Guards against an engine looking faster or slower than it is after a change of the
// scheduler: the start times of grants issued by another scheduler are unknown.
func TestRestoredGrantsAreNotMeasuredFromTheirStart(t *testing.T) {
	g := NewWithT(t)
	s := newScheduler(sched.Config{}, engines(1, 4))
	s.Restore(start, ticket("a", "draft", "big", start), "e0", 0)
	s.Started(start.Add(time.Second), "a")
	s.Progress(start.Add(2*time.Second), "a", 640)
	g.Expect(s.Status(start).Upstreams[0].FirstToken).To(BeZero())
	g.Expect(s.Status(start).Upstreams[0].TokenRate).To(BeZero())
	s.Progress(start.Add(3*time.Second), "a", 690)
	g.Expect(s.Status(start).Upstreams[0].TokenRate).To(BeNumerically("~", 50))
	s.Finish(start.Add(4*time.Second), "a", sched.Outcome{Tokens: 740, Complete: true})
	g.Expect(s.Status(start).Upstreams[0].TokenRate).To(BeNumerically("~", 50))
}
