package balance_test

import (
	"testing"

	. "github.com/onsi/gomega"

	"github.com/comfreyladder/comfreyladder/core/balance"
)

// Guards against slots that no instance or several of them take for their own, against shares of
// unequal size, and against upstreams that come first in the order of all their owners.
func TestSlotsAreSharedCompletely(t *testing.T) {
	g := NewWithT(t)
	for _, instances := range []int{1, 2, 7, 8, 80, 96} {
		list := []balance.Shared{}
		for i := range 24 {
			list = append(list, balance.Shared{Domain: []string{"a", "b", "c"}[i/8], Slots: 4})
		}
		owners, sums := make([]int, len(list)), make([]float64, len(list))
		for rank := range instances {
			positions, total := (balance.Share{Rank: rank, Count: instances}).Positions(list)
			g.Expect(total).To(BeNumerically("~", 96/float64(instances), 4), "%d of %d", rank, instances)
			for i, own := range positions {
				owners[i] += len(own)
				for _, p := range own {
					sums[i] += float64(p) / float64(total)
				}
			}
		}
		for i := range list {
			g.Expect(owners[i]).To(Equal(4), "%d instances", instances)
			g.Expect(sums[i]).To(BeNumerically("~", 2.5, 1.6), "%d instances", instances)
		}
	}
}

// Guards against instances without a slot that choose at random, which opens connections, and
// against a failure with upstreams of unequal or many slots.
func TestEachInstanceHasASlot(t *testing.T) {
	g := NewWithT(t)
	for _, list := range [][]balance.Shared{{{Slots: 1}, {Slots: 6}, {Slots: 300}}, {{Slots: 6}, {Slots: 6}}, {{Slots: 1}}} {
		for rank := range 1000 {
			positions, total := (balance.Share{Rank: rank, Count: 1000}).Positions(list)
			g.Expect(total).To(BeNumerically(">", 0))
			g.Expect(positions).To(HaveLen(len(list)))
		}
	}
	_, total := balance.Share{Rank: -1, Count: 3}.Positions([]balance.Shared{{Slots: 4}})
	g.Expect(total).To(BeZero(), "the rank is not known")
}
