package serving

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	. "github.com/onsi/gomega"
)

// Guards against two instances with one rank, or gaps between the ranks, after instances have come, gone and moved
// to another failure domain.
func TestRanksAreDenseAfterChanges(t *testing.T) {
	g, r, rng := NewWithT(t), newRanks(), rand.New(rand.NewPCG(1, 2))
	for range 2000 {
		name := fmt.Sprint("i", rng.IntN(60))
		if rng.IntN(3) == 0 {
			r.remove(name)
		} else {
			r.set(name, fmt.Sprint("d", rng.IntN(3)))
		}
	}
	names := make([]string, 0, len(r.domains))
	for name := range r.domains {
		names = append(names, name)
	}
	slices.SortFunc(names, func(a, b string) int { return cmp.Or(cmp.Compare(r.domains[a], r.domains[b]), cmp.Compare(a, b)) })
	for i, name := range names {
		g.Expect(r.of(name)).To(Equal(i + 1))
	}
	g.Expect(r.order).To(HaveLen(len(names)))
	g.Expect(r.of("unknown")).To(BeZero())
}

// BenchmarkRanks measures what one instance that has just started costs a member that knows the given number:
// it becomes known, gets its rank, and is forgotten.
func BenchmarkRanks(b *testing.B) {
	for _, n := range []int{100, 1000, 10_000, 20_000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			r := newRanks()
			for i := range n {
				r.set(fmt.Sprintf("edge-%05d", i), fmt.Sprint("d", i%21))
			}
			for i := 0; b.Loop(); i++ {
				name := fmt.Sprintf("new-%05d", i%n)
				r.set(name, fmt.Sprint("d", i%21))
				r.of(name)
				r.remove(name)
			}
		})
	}
}
