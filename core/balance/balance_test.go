package balance_test

import (
	"fmt"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/comfreyladder/comfreyladder/core/balance"
)

func newUpstreams(n int) []balance.Upstream {
	list := make([]balance.Upstream, n)
	for i := range list {
		list[i] = balance.Upstream{ID: fmt.Sprint("u", i), Domain: fmt.Sprint("d", i%3), Slots: 6, Slowness: 1}
	}
	return list
}

func newEngines(n int) []balance.Upstream {
	list := newUpstreams(n)
	for i := range list {
		list[i].Slots, list[i].Capacity = 64, 600_000
	}
	return list
}

func TestChoosesLeastBusyInLocalDomain(t *testing.T) {
	g := NewWithT(t)
	list := newUpstreams(6)
	for i := range list {
		list[i].Active = 5
	}
	list[4].Active = 1
	g.Expect(balance.Choose(list, &balance.Request{Domain: "d1", Random: 0.9}).Index).To(Equal(4))
	list[4].Excluded = true
	g.Expect(balance.Choose(list, &balance.Request{Domain: "d1", Random: 0.1}).Index).To(Equal(1))
}

func TestUsesSuspectsOnlyWithoutAlternative(t *testing.T) {
	g := NewWithT(t)
	list := newUpstreams(2)
	list[0].Suspect = true
	list[1].Active = 9
	g.Expect(balance.Choose(list, &balance.Request{Domain: "d0"}).Index).To(Equal(1))
	list[1].Excluded = true
	g.Expect(balance.Choose(list, &balance.Request{Domain: "d0"}).Index).To(Equal(0))
	list[0].Excluded = true
	g.Expect(balance.Choose(list, &balance.Request{Domain: "d0"}).Index).To(Equal(balance.None))
}

// Guards against preferring the right pool over health: when a failure domain is cut off together
// with all engines of the quick pool, a question must go to an engine for long prompts rather than
// to an unreachable one.
func TestHealthTakesPrecedenceOverPool(t *testing.T) {
	g := NewWithT(t)
	list := newEngines(4)
	for i := range list {
		list[i].OtherPool = i >= 2
	}
	r := &balance.Request{Domain: "d0", Unshared: 1400, Rate: 50}
	g.Expect(balance.Choose(list, r).Index).To(BeNumerically("<", 2))
	list[0].Suspect, list[1].Suspect = true, true
	for range 8 {
		g.Expect(balance.Choose(list, r).Index).To(BeNumerically(">=", 2))
		r.Random += 0.12
	}
	list[2].Suspect, list[3].Suspect = true, true
	g.Expect(balance.Choose(list, r).Index).NotTo(Equal(balance.None))
}

// Guards against one popular prompt overloading its engine while the others idle. Once queueing
// there costs more than prefilling the shared tokens again, the next engine in the prompt's
// rendezvous order takes over, the same one for all instances.
func TestHotPromptSpillsWhenItsEngineIsBusy(t *testing.T) {
	g := NewWithT(t)
	list := newEngines(6)
	r := &balance.Request{Affinity: 7, Shared: 13_000, Unshared: 3_000, Rate: 60}
	first := balance.Choose(list, r).Index
	list[first].CachedShare = 1
	list[first].QueuedTokens = 12_000
	g.Expect(balance.Choose(list, r).Index).To(Equal(first), "queueing is cheaper than prefilling again")
	list[first].QueuedTokens = 120_000
	second := balance.Choose(list, r).Index
	g.Expect(second).NotTo(Equal(first))
	for draw := range 10 {
		r.Random = float64(draw) / 10
		g.Expect(balance.Choose(list, r).Index).To(Equal(second))
	}
}

// An uncached prompt goes to the least loaded of a few home upstreams, which all instances compute
// identically. Choosing by hash alone overloads some engines with long prompts while others idle;
// choosing by load alone makes two instances prefill the prompt twice.
func TestUncachedPromptGoesToLeastLoadedHome(t *testing.T) {
	g := NewWithT(t)
	list := newEngines(12)
	used := map[int]int{}
	for prompt := range uint64(200) {
		r := &balance.Request{Affinity: prompt + 1, Shared: 13_000, Unshared: 3000, Rate: 60, Domain: "d0"}
		for i := range list {
			list[i].QueuedTokens = 0
		}
		first := balance.Choose(list, r).Index
		list[first].QueuedTokens = 20_000
		second := balance.Choose(list, r).Index
		list[second].QueuedTokens = 20_000
		third := balance.Choose(list, r).Index
		g.Expect(first == second || second == third || first == third).To(BeFalse())
		list[third].QueuedTokens = 20_000
		g.Expect(balance.Choose(list, r).Index).To(BeElementOf(first, second, third), "not yet beyond the homes")
		for i := range list {
			list[i].QueuedTokens = 0
		}
		list[first].QueuedTokens, list[second].QueuedTokens, list[third].QueuedTokens = 90_000, 90_000, 90_000
		g.Expect(balance.Choose(list, r).Index).NotTo(BeElementOf(first, second, third))
		used[first]++
	}
	g.Expect(len(used)).To(Equal(12))
}

// Requests hold KV memory until they end, and one too many preempts others in the middle of their
// answers. A full engine must be avoided even if it has nothing queued.
func TestFullMemoryIsAvoided(t *testing.T) {
	g := NewWithT(t)
	list := newEngines(2)
	list[0].UsedTokens = 590_000
	list[1].QueuedTokens = 10_000
	g.Expect(balance.Choose(list, &balance.Request{Shared: 0, Unshared: 17_000, Rate: 60, Domain: "d0"}).Index).To(Equal(1))
}

// When a prompt spills to an engine that has not cached it, its shared tokens are fetched instead of
// prefilled again. Fetching must not make prompts spill more often.
func TestSpilledPromptIsFetched(t *testing.T) {
	g := NewWithT(t)
	list := newEngines(2)
	list[0].CachedShare, list[1].Fetchable = 1, true
	r := &balance.Request{Affinity: 7, Shared: 10_000, Unshared: 1000, Rate: 50, FetchRate: 400, Domain: "d0"}
	list[0].QueuedTokens = 20_000
	g.Expect(balance.Choose(list, r).Index).To(BeZero(), "queues where it is cached")
	list[0].QueuedTokens = 200_000
	c := balance.Choose(list, r)
	g.Expect(c.Index).To(Equal(1))
	g.Expect(c.FirstEventMS).To(BeNumerically("~", 1000/50+10_000/400, 1))
	g.Expect(balance.UncachedTokens(&list[1], r)).To(Equal(1000.0))
}

func TestPredictsTimeToFirstEvent(t *testing.T) {
	g := NewWithT(t)
	list := newEngines(1)
	list[0].QueuedTokens, list[0].CachedShare, list[0].Slowness = 6000, 0.5, 2
	c := balance.Choose(list, &balance.Request{Affinity: 7, Shared: 8000, Unshared: 2000, Rate: 60, Domain: "d0"})
	g.Expect(c.FirstEventMS).To(BeNumerically("~", 400, 1))
}

// An upstream that fails some of its requests while its health check passes must get less work than
// its peers. Failures common to all upstreams must not count.
func TestFailingUpstreamIsAvoided(t *testing.T) {
	g := NewWithT(t)
	list := newUpstreams(3)
	for i := range list {
		list[i].Errors, list[i].Active, list[i].Domain = 0.15, 2, "d0"
	}
	list[0].Errors, list[0].Active = 0.5, 0
	g.Expect(balance.Choose(list, &balance.Request{Domain: "d0"}).Index).NotTo(Equal(0))
	list[0].Errors = 0.2
	g.Expect(balance.Choose(list, &balance.Request{Domain: "d0"}).Index).To(Equal(0))
}

// Guards against counting an upstream at full capacity although it announced a lower rate limit.
func TestLimitedUpstreamCountsAsShareOfPeers(t *testing.T) {
	g := NewWithT(t)
	e := &balance.Engine{Count: 4, PerMS: 60, Slots: 64}
	loads := map[string]balance.RouteLoad{"r": {Requests: 120}}
	each := balance.EachPerSecond(loads, e)
	g.Expect(each).To(BeNumerically("~", 10, 0.01), "the sum of 3 s over four upstreams")
	g.Expect(balance.LimitShare(each/4, each)).To(Equal(0.25))
	g.Expect(balance.LimitShare(2*each, each)).To(Equal(1.0))
	g.Expect(balance.EachPerSecond(loads, &balance.Engine{})).To(BeZero())
	g.Expect(balance.LimitShare(1, 0)).To(Equal(1.0))
}
