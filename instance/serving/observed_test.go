package serving

import (
	"testing"

	. "github.com/onsi/gomega"

	"github.com/comfreyladder/comfreyladder/instance/clock"
)

// An engine fails under callers of many instances, each of which has one answer of it.
// Every instance must learn what all of them saw, also through other members, and none may
// lose it to a report of loads that says nothing of it.
func TestObservationsOfAllAddUp(t *testing.T) {
	g := NewWithT(t)
	s := New(Config{Links: noLinks{}})
	bad, idle := uint64(7), uint64(8)
	tell := func(from string) {
		s.noteReport(from, &Report{HasObserved: true, Observed: []Observation{
			{FirstIndex: bad, Answers: 100, Failures: 100}, {FirstIndex: idle, Answers: 100, Predicted: 50, Took: 60},
		}})
	}
	tell("a")
	tell("b")
	s.observed.members["m"] = observedReport{clock.Now(), []Observation{{FirstIndex: bad, Answers: 200, Failures: 100}}}
	s.noteReport("b", &Report{})

	without, _ := s.summaryFor("a", 0, false)
	g.Expect(without.Observed).To(BeNil())
	told, _ := s.summaryFor("a", 0, true)
	all, err := told.Others(&Work{})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(all.HasObserved).To(BeTrue())
	g.Expect(all.Observed).To(Equal([]Observation{{FirstIndex: bad, Answers: 400, Failures: 300}}), "two answers of the idle one tell nothing")
	g.Expect(s.observed.sum(clock.Now().Add(2*observedAge), true, 1)).To(BeEmpty(), "what nobody repeats fades")
}
