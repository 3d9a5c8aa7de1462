package balance_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/comfreyladder/comfreyladder/core/balance"
)

func anyUpstream(string) bool { return true }

// indexOf returns an index of upstreams that were added in a random order.
func indexOf(rng *rand.Rand, count int) (x *balance.Index[string], places map[string]balance.Place) {
	x, places = &balance.Index[string]{}, map[string]balance.Place{}
	for _, i := range rng.Perm(count) {
		id := fmt.Sprint("u", i)
		places[id] = x.Add(id, id)
	}
	return x, places
}

// Instances hear of upstreams in different orders. If they disagreed on the homes of a prompt, each
// would have it read anew.
func TestInstancesAgreeOnHomes(t *testing.T) {
	g := NewWithT(t)
	rng := rand.New(rand.NewPCG(1, 2))
	a, _ := indexOf(rng, 1000)
	b, places := indexOf(rng, 1000)
	for prompt := range uint64(500) {
		homes := a.Homes(nil, prompt, anyUpstream)
		g.Expect(homes).To(HaveLen(balance.HomeCount))
		g.Expect(b.Homes(nil, prompt, anyUpstream)).To(Equal(homes))
	}
	for i := range 100 {
		g.Expect(a.At(i)).To(Equal(b.At(i)))
		g.Expect(places[a.At(i)].Before(b.Limit(100))).To(BeTrue())
		g.Expect(places[a.At(100+i)].Before(b.Limit(100))).To(BeFalse())
	}
}

// An upstream that goes takes only its own prompts with it, and one that is not eligible is passed
// over by its own prompts only. Otherwise each release would empty the caches of the whole fleet.
func TestHomesStayWhenOthersGo(t *testing.T) {
	g := NewWithT(t)
	x, places := indexOf(rand.New(rand.NewPCG(1, 2)), 1000)
	before := map[uint64][]string{}
	for prompt := range uint64(2000) {
		before[prompt] = x.Homes(nil, prompt, anyUpstream)
	}
	gone := before[0][0]
	for prompt, homes := range before {
		if homes[0] != gone {
			g.Expect(x.Homes(nil, prompt, func(id string) bool { return id != gone })[0]).To(Equal(homes[0]))
		}
	}
	x.Remove(places[gone])
	for prompt, homes := range before {
		now := x.Homes(nil, prompt, anyUpstream)
		g.Expect(now).NotTo(ContainElement(gone))
		if homes[0] != gone {
			g.Expect(now[0]).To(Equal(homes[0]))
		}
	}
}

// Prompts must be spread evenly: an engine with twice its share is full while others idle.
func TestHomesAreSpreadEvenly(t *testing.T) {
	g := NewWithT(t)
	const upstreams, each = 300, 100
	x, _ := indexOf(rand.New(rand.NewPCG(1, 2)), upstreams)
	count := map[string]int{}
	most := 0
	for prompt := range uint64(upstreams * each) {
		home := x.Homes(nil, prompt, anyUpstream)[0]
		count[home]++
		most = max(most, count[home])
	}
	g.Expect(float64(most) / each).To(BeNumerically("<", 1.5))
	g.Expect(len(count)).To(BeNumerically(">", upstreams*9/10))
}

func TestFewEligibleUpstreams(t *testing.T) {
	g := NewWithT(t)
	x, _ := indexOf(rand.New(rand.NewPCG(1, 2)), 20)
	g.Expect(x.Homes(nil, 7, func(string) bool { return false })).To(BeEmpty())
	g.Expect(x.Homes(nil, 7, func(id string) bool { return id == "u3" })).To(Equal([]string{"u3"}))
	var empty balance.Index[string]
	g.Expect(empty.Homes(nil, 7, anyUpstream)).To(BeEmpty())
	g.Expect(empty.Limit(3)).To(Equal(^uint64(0)))
}

func BenchmarkHomes(b *testing.B) {
	for _, count := range []int{100, 1000, 10_000, 20_000} {
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			x, _ := indexOf(rand.New(rand.NewPCG(1, 2)), count)
			list := make([]string, 0, balance.HomeCount)
			b.ReportAllocs()
			b.ResetTimer()
			for i := range b.N {
				list = x.Homes(list[:0], uint64(i), anyUpstream)
			}
		})
	}
}
