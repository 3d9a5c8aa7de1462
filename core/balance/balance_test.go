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
		list[i] = balance.Upstream{ID: fmt.Sprint("u", i), Domain: fmt.Sprint("d", i%3), Slots: 6, Slowness: 1}
	}
	return list
}

func engines(n int) []balance.Upstream {
	list := fleet(n)
	for i := range list {
		list[i].Slots, list[i].Capacity = 64, 600_000
	}
	return list
}

func TestLeastBusyInTheOwnDomainWins(t *testing.T) {
	g := NewWithT(t)
	list := fleet(6)
	for i := range list {
		list[i].Active = 5
	}
	list[4].Active = 1
	g.Expect(balance.Choose(list, &balance.Request{Domain: "d1", Random: 0.9}).Index).To(Equal(4))
	list[4].Excluded = true
	g.Expect(balance.Choose(list, &balance.Request{Domain: "d1", Random: 0.1}).Index).To(Equal(1))
}

func TestSuspectsAreTheLastResort(t *testing.T) {
	g := NewWithT(t)
	list := fleet(2)
	list[0].Suspect = true
	list[1].Active = 9
	g.Expect(balance.Choose(list, &balance.Request{Domain: "d0"}).Index).To(Equal(1))
	list[1].Excluded = true
	g.Expect(balance.Choose(list, &balance.Request{Domain: "d0"}).Index).To(Equal(0))
	list[0].Excluded = true
	g.Expect(balance.Choose(list, &balance.Request{Domain: "d0"}).Index).To(Equal(balance.None))
}

// One prompt is asked for by everybody. Its engine must not drown while the others
// idle: once the wait there costs more than reading the shared part anew, the next
// engine in the prompt's order takes over, the same one for all instances.
// A zone is cut off together with all engines that are set apart for quick requests. A
// question goes to an engine that reads long prompts, not to one that nobody reaches.
func TestHealthGoesBeforeWhatAnUpstreamIsFor(t *testing.T) {
	g := NewWithT(t)
	list := engines(4)
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

func TestHotPromptSpillsWhenItsEngineIsBusy(t *testing.T) {
	g := NewWithT(t)
	list := engines(6)
	r := &balance.Request{Affinity: 7, Shared: 13_000, Unshared: 3_000, Rate: 60}
	first := balance.Choose(list, r).Index
	list[first].CachedShare = 1
	list[first].QueuedTokens = 12_000
	g.Expect(balance.Choose(list, r).Index).To(Equal(first), "a wait is cheaper than reading all anew")
	list[first].QueuedTokens = 120_000
	second := balance.Choose(list, r).Index
	g.Expect(second).NotTo(Equal(first))
	for draw := range 10 {
		r.Random = float64(draw) / 10
		g.Expect(balance.Choose(list, r).Index).To(Equal(second))
	}
}

// A prompt that nobody has read yet goes where least waits among a few, which all
// instances compute alike: by the hash alone some engines would get many long ones
// while others idle, and by the load alone two instances would have it read twice.
func TestNewPromptGoesWhereLeastWaitsAmongItsHomes(t *testing.T) {
	g := NewWithT(t)
	list := engines(12)
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
		g.Expect(balance.Choose(list, r).Index).To(BeElementOf(first, second, third), "not yet elsewhere")
		for i := range list {
			list[i].QueuedTokens = 0
		}
		list[first].QueuedTokens, list[second].QueuedTokens, list[third].QueuedTokens = 90_000, 90_000, 90_000
		g.Expect(balance.Choose(list, r).Index).NotTo(BeElementOf(first, second, third))
		used[first]++
	}
	g.Expect(len(used)).To(Equal(12))
}

// Requests hold an engine's memory until they end. One more than fits pushes others
// out in the middle of their answers, so a full engine is avoided even if it has
// nothing to read.
func TestFullMemoryIsAvoided(t *testing.T) {
	g := NewWithT(t)
	list := engines(2)
	list[0].UsedTokens = 590_000
	list[1].QueuedTokens = 10_000
	g.Expect(balance.Choose(list, &balance.Request{Shared: 0, Unshared: 17_000, Rate: 60, Domain: "d0"}).Index).To(Equal(1))
}

// A prompt spills to an engine that does not keep it, and its shared parts are read a
// second time there while another engine has them. Taken over, they need not be read;
// that alone must not make prompts spill more.
func TestPromptIsTakenOverWhereItSpills(t *testing.T) {
	g := NewWithT(t)
	list := engines(2)
	list[0].CachedShare, list[1].Fetchable = 1, true
	r := &balance.Request{Affinity: 7, Shared: 10_000, Unshared: 1000, Rate: 50, FetchRate: 400, Domain: "d0"}
	list[0].QueuedTokens = 20_000
	g.Expect(balance.Choose(list, r).Index).To(BeZero(), "it waits where it is kept")
	list[0].QueuedTokens = 200_000
	c := balance.Choose(list, r)
	g.Expect(c.Index).To(Equal(1))
	g.Expect(c.FirstEventMS).To(BeNumerically("~", 1000/50+10_000/400, 1))
	g.Expect(balance.UncachedTokens(&list[1], r)).To(Equal(1000.0))
}

func TestWaitIsPredicted(t *testing.T) {
	g := NewWithT(t)
	list := engines(1)
	list[0].QueuedTokens, list[0].CachedShare, list[0].Slowness = 6000, 0.5, 2
	c := balance.Choose(list, &balance.Request{Affinity: 7, Shared: 8000, Unshared: 2000, Rate: 60, Domain: "d0"})
	g.Expect(c.FirstEventMS).To(BeNumerically("~", 400, 1))
}

// An upstream fails part of its requests while its health check passes. It must get
// less work than its peers; failures that all have alike say nothing.
func TestFailingUpstreamIsAvoided(t *testing.T) {
	g := NewWithT(t)
	list := fleet(3)
	for i := range list {
		list[i].Errors, list[i].Active, list[i].Domain = 0.15, 2, "d0"
	}
	list[0].Errors, list[0].Active = 0.5, 0
	g.Expect(balance.Choose(list, &balance.Request{Domain: "d0"}).Index).NotTo(Equal(0))
	list[0].Errors = 0.2
	g.Expect(balance.Choose(list, &balance.Request{Domain: "d0"}).Index).To(Equal(0))
}

// Guards against an upstream that counts for as much as its peers though it says that it takes
// less.
func TestLimitedUpstreamTakesAPartOfWhatItsPeersGet(t *testing.T) {
	g := NewWithT(t)
	e := &balance.Engine{Count: 4, PerMS: 60, Slots: 64}
	loads := map[string]balance.RouteLoad{"r": {Requests: 120}}
	each := balance.EachPerSecond(loads, e)
	g.Expect(each).To(BeNumerically("~", 10, 0.01), "the sum of 3 s, before four upstreams")
	g.Expect(balance.LimitShare(each/4, each)).To(Equal(0.25))
	g.Expect(balance.LimitShare(2*each, each)).To(Equal(1.0))
	g.Expect(balance.EachPerSecond(loads, &balance.Engine{})).To(BeZero())
	g.Expect(balance.LimitShare(1, 0)).To(Equal(1.0))
}
