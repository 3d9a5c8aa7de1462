package serving

import (
	"testing"

	. "github.com/onsi/gomega"

	"github.com/comfreyladder/comfreyladder/instance/clock"
)

// An engine fails under callers of many instances, each with one answer from it. Every instance
// must get the observations of all, also through other members, and none may be lost to a load
// report without observations.
func TestAddsUpObservations(t *testing.T) {
	g := NewWithT(t)
	s := New(Config{Links: noLinks{}})
	bad, idle := uint64(7), uint64(8)
	report := func(from string) {
		s.recordReport(from, &Report{HasObserved: true, Observed: []Observation{
			{FirstIndex: bad, Answers: 100, Failures: 100}, {FirstIndex: idle, Answers: 100, Predicted: 50, Took: 60},
		}})
	}
	report("a")
	report("b")
	s.observed.members["m"] = observedReport{clock.Now(), []Observation{{FirstIndex: bad, Answers: 200, Failures: 100}}}
	s.recordReport("b", &Report{})

	without, _ := s.summaryFor("a", 0, false)
	g.Expect(without.Observed).To(BeNil())
	told, _ := s.summaryFor("a", 0, true)
	all, err := told.Others(&Work{})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(all.HasObserved).To(BeTrue())
	g.Expect(all.Observed).To(Equal([]Observation{{FirstIndex: bad, Answers: 400, Failures: 300}}), "two answers of the idle one are too few to report")
	g.Expect(s.observed.significant(clock.Now().Add(2*maxObservedAge))).To(BeEmpty(), "observations expire unless they are reported again")
	g.Expect(s.observed.sum(clock.Now().Add(2 * maxObservedAge))).To(BeEmpty())
}

// A slow engine shows at its first events, seconds before the first of its streams ends. Without
// them all instances go on sending it the same share.
func TestFirstEventsAreShared(t *testing.T) {
	g := NewWithT(t)
	s := New(Config{Links: noLinks{}})
	slow := Observation{FirstIndex: 7, Predicted: 300, Took: 900}
	s.recordReport("a", &Report{HasObserved: true, Observed: []Observation{slow}})
	g.Expect(s.observed.sum(clock.Now())).To(Equal([]Observation{slow}), "other members get all")
	s.observed.members["m"] = observedReport{clock.Now(), []Observation{slow}}
	told, _ := s.summaryFor("a", 0, true)
	all, err := told.Others(&Work{})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(all.Observed).To(Equal([]Observation{{FirstIndex: 7, Predicted: 600, Took: 1800}}))
}
