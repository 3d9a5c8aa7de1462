package warmup_test

import (
	"testing"

	. "github.com/onsi/gomega"

	"github.com/comfreyladder/comfreyladder/core/warmup"
)

// Guards against a leader that finds no bound, or that of another rule, for an upstream that it does not
// know, and against one budget for all upstreams of a rule.
func TestPermitIDsLeadToTheirRules(t *testing.T) {
	g := NewWithT(t)
	bounds := warmup.RuleBounds{}
	bounds.Add("e-*", example)
	bounds.Add("f-*", warmup.Bound{PerSecond: 2})
	a, b := warmup.PermitID("e-*", "e-1"), warmup.PermitID("e-*", "e-2")
	g.Expect(a).NotTo(Equal(b))
	for _, id := range []uint64{a, b} {
		bound, ok := bounds.Bound(id)
		g.Expect(ok).To(BeTrue())
		g.Expect(bound).To(Equal(example))
	}
	_, ok := bounds.Bound(warmup.PermitID("gone", "e-1"))
	g.Expect(ok).To(BeFalse())
	bounds.Add("e-*", warmup.Bound{PerSecond: 1})
	bounds.Add("e-*", example)
	strict, _ := bounds.Bound(a)
	g.Expect(strict).To(Equal(warmup.Bound{PerSecond: 1}), "the stricter of two bounds applies")
}
