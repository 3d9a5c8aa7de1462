package balance_test

import (
	"fmt"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/comfreyladder/comfreyladder/core/balance"
)

func fleet(n int) []balance.Upstream {
	list := make([]balance.Upstream, n)
	for i := range list {
		list[i] = balance.Upstream{ID: fmt.Sprint("u", i), Domain: fmt.Sprint("d", i%3), Penalty: 1}
	}
	return list
}

func TestLeastLoadedInTheOwnDomainWins(t *testing.T) {
	g := NewWithT(t)
	list := fleet(6)
	for i := range list {
		list[i].Load = 0.5
	}
	list[4].Load = 0.4
	g.Expect(balance.Choose(list, &balance.Request{Domain: "d1", Draw: 0.9})).To(Equal(4))
	list[4].Excluded = true
	g.Expect(balance.Choose(list, &balance.Request{Domain: "d1", Draw: 0.9})).To(Equal(1))
}

func TestSuspectsAreTheLastResort(t *testing.T) {
	g := NewWithT(t)
	list := fleet(2)
	list[0].Suspect = true
	list[1].Load = 9
	g.Expect(balance.Choose(list, &balance.Request{Domain: "d0"})).To(Equal(1))
	list[1].Excluded = true
	g.Expect(balance.Choose(list, &balance.Request{Domain: "d0"})).To(Equal(0))
	list[0].Excluded = true
	g.Expect(balance.Choose(list, &balance.Request{Domain: "d0"})).To(Equal(balance.None))
}

// One prompt is asked for by everybody. Its upstream must not drown while the
// others idle: beyond the bound the next one in the prompt's order takes over.
func TestHotAffinityIsBoundedByLoad(t *testing.T) {
	g := NewWithT(t)
	list := fleet(6)
	r := &balance.Request{Affinity: "p"}
	first := balance.Choose(list, r)
	g.Expect(balance.Choose(list, r)).To(Equal(first))
	list[first].Load = 1
	second := balance.Choose(list, r)
	g.Expect(second).NotTo(Equal(first))
	list[first].Load = 0.1
	g.Expect(balance.Choose(list, r)).To(Equal(first))
}

func TestOnlyTheLeaversPromptsMove(t *testing.T) {
	g := NewWithT(t)
	list := fleet(6)
	moved := 0
	for i := range 300 {
		r := &balance.Request{Affinity: fmt.Sprint(i)}
		before := balance.Choose(list, r)
		list[2].Excluded = true
		after := balance.Choose(list, r)
		list[2].Excluded = false
		if before != after {
			g.Expect(before).To(Equal(2))
			moved++
		}
	}
	g.Expect(moved).To(BeNumerically("~", 50, 25))
}
