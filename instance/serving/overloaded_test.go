package serving

import (
	"testing"

	. "github.com/onsi/gomega"
)

// Guards against an instance that counts itself among the other overloaded ones, and against a count that is
// lost if nothing else is reported.
func TestOverloadedInstancesAreCounted(t *testing.T) {
	g := NewWithT(t)
	total := newSum()
	for range 3 {
		total.add(&Work{Overloaded: 1}, 1)
	}
	w := total.work()
	g.Expect(w.Overloaded).To(Equal(3))
	g.Expect(w.empty()).To(BeFalse())
	w.subtract(&Work{Overloaded: 1})
	g.Expect(w.Overloaded).To(Equal(2))
	w.subtract(&Work{Overloaded: 3})
	g.Expect(w.empty()).To(BeTrue())
}
