package pick_test

import (
	"math/rand"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/comfreyladder/comfreyladder/core/pick"
)

func candidate(name string) pick.Candidate {
	return pick.Candidate{Name: name, HasModel: true, Slots: 10, Free: 10}
}

func choose(t *testing.T, r pick.Request, list ...pick.Candidate) string {
	t.Helper()
	c, ok := pick.Default(pick.Best{}).Pick(&r, list, rand.New(rand.NewSource(1)))
	if !ok {
		return ""
	}
	return list[c.Index].Name
}

func TestRequiredFiltersAlwaysHold(t *testing.T) {
	g := NewWithT(t)
	change := []func(*pick.Candidate){
		func(c *pick.Candidate) { c.HasModel = false },
		func(c *pick.Candidate) { c.Excluded = true },
		func(c *pick.Candidate) { c.Draining = true },
		func(c *pick.Candidate) { c.Free = 0 },
	}
	for _, f := range change {
		bad, good := candidate("bad"), candidate("good")
		good.InFlight, good.Free = 9, 1
		f(&bad)
		g.Expect(choose(t, pick.Request{}, bad, good)).To(Equal("good"))
		g.Expect(choose(t, pick.Request{}, bad)).To(BeEmpty())
	}
}

func TestStragglersAreAvoidedAndProbed(t *testing.T) {
	g := NewWithT(t)
	slow, good := candidate("slow"), candidate("good")
	slow.Straggler = true
	good.InFlight = 9
	g.Expect(choose(t, pick.Request{}, slow, good)).To(Equal("good"))
	g.Expect(choose(t, pick.Request{Protected: true}, slow)).To(Equal("slow"))
	slow.ProbeDue = true
	slow.InFlight, good.InFlight = 5, 0
	g.Expect(choose(t, pick.Request{}, slow, good)).To(Equal("slow"))
	g.Expect(choose(t, pick.Request{Protected: true}, slow, good)).To(Equal("good"))
}

func TestScorersOrderCandidates(t *testing.T) {
	g := NewWithT(t)
	a, b := candidate("a"), candidate("b")
	a.InFlight = 5
	g.Expect(choose(t, pick.Request{}, a, b)).To(Equal("b"))
	a.InFlight, b.Unstarted = 0, 3
	g.Expect(choose(t, pick.Request{}, a, b)).To(Equal("a"))
	b.Unstarted = 0
	a.FirstToken, b.FirstToken = 200*time.Millisecond, 100*time.Millisecond
	g.Expect(choose(t, pick.Request{}, a, b)).To(Equal("b"))
	a.FirstToken, b.FirstToken = 0, 0
	a.TokenRate, b.TokenRate = 30, 10
	g.Expect(choose(t, pick.Request{}, a, b)).To(Equal("a"))
}

// Guards against prefix affinity without a bound on load: when all prompts share a prefix, each
// answer leaves it in one engine's cache, which then attracts every next request while seven others
// idle.
func TestPrefixAffinityYieldsToLoad(t *testing.T) {
	g := NewWithT(t)
	list := make([]pick.Candidate, 8)
	for n := range list {
		list[n] = candidate("e")
	}
	list[3].CachedShare = 1
	h := pick.Default(pick.Best{})
	rnd := rand.New(rand.NewSource(1))
	for range 40 {
		c, ok := h.Pick(&pick.Request{}, list, rnd)
		g.Expect(ok).To(BeTrue())
		list[c.Index].InFlight++
		list[c.Index].Free--
	}
	g.Expect(list[3].InFlight).To(BeNumerically("<=", 8))
	g.Expect(list[3].InFlight).To(BeNumerically(">=", 5))
}

func TestTwoChoicesSpread(t *testing.T) {
	g := NewWithT(t)
	scores := []float64{0.9, 0.5, 0.5, 0.5, 0.5, 0.5, 0.5, 0.5}
	rnd := rand.New(rand.NewSource(1))
	best := 0
	for range 1000 {
		if (pick.TwoChoices{}).Pick(scores, rnd) == 0 {
			best++
		}
	}
	g.Expect(best).To(BeNumerically("~", 250, 40))
	g.Expect((pick.TwoChoices{}).Pick(scores[:1], rnd)).To(Equal(0))
}
