package serving

import (
	"testing"

	. "github.com/onsi/gomega"

	"github.com/comfreyladder/comfreyladder/instance/clock"
	"github.com/comfreyladder/comfreyladder/instance/link"
)

func work(active int) Work {
	return Work{
		Loads:  []Load{{FirstIndex: 7, Active: active, QueuedTokens: 10 * active, UsedTokens: 100 * active}},
		Routes: []RouteLoad{{Service: "s", Route: "r", Tokens: active, Requests: active, MaxPause: 250, Rank: 100, RecentCached: active}},
	}
}

// Instances ask different members, and each must see the work of all the others but
// not its own twice. What an instance that died had under way fades.
func TestLoadsOfOthersAddUp(t *testing.T) {
	g := NewWithT(t)
	s := New(Config{Links: noLinks{}})
	now := clock.Now()
	s.loads.watchers["a"] = loadReport{at: now, work: work(1)}
	s.loads.watchers["b"] = loadReport{at: now, work: work(2)}
	s.loads.members["m"] = loadReport{at: now, work: work(4)}
	told, _ := s.summaryFor("a", 0, false)
	own := work(1)
	others, err := told.Others(&own)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(others.Work).To(Equal(work(6)))
	g.Expect(s.loads.sum(now, false)).To(Equal(work(3)))
	gone := s.loads.sum(now.Add(2*loadsAge), true)
	g.Expect(gone.empty()).To(BeTrue())
}

// The sum that an instance is told may be older than its latest report. Taken off, that
// must leave nothing below zero, or the upstream would look idler than any other.
func TestOwnWorkBeyondTheSumLeavesNothing(t *testing.T) {
	g := NewWithT(t)
	total, own := work(1), work(3)
	total.subtract(&own)
	g.Expect(total.empty()).To(BeTrue())
}

// noLinks are links to nobody.
type noLinks struct{}

func (noLinks) Send(string, string, any) error { return nil }

func (noLinks) Handle(string, link.Handler, ...link.ChannelOption) {}

func TestPlacedPromptsReachTheOthersOnce(t *testing.T) {
	g := NewWithT(t)
	var l placedLog
	since := func(number uint64, but string) []PromptPlacement {
		list, _ := l.since(number, but)
		return list
	}
	l.add("a", []PromptPlacement{{Prompt: 1, FirstIndex: 1}, {Prompt: 2, FirstIndex: 2}})
	l.add("b", []PromptPlacement{{Prompt: 3, FirstIndex: 1}})
	g.Expect(since(0, "a")).To(Equal([]PromptPlacement{{Prompt: 3, FirstIndex: 1}}))
	g.Expect(since(0, "c")).To(HaveLen(3))
	g.Expect(since(l.next, "c")).To(BeEmpty())
	g.Expect(since(l.next+99, "c")).To(BeEmpty(), "a number of another member's log")
	for range 3 * maxPlaced {
		l.add("a", []PromptPlacement{{Prompt: 9, FirstIndex: 3}})
	}
	g.Expect(len(l.notes)).To(BeNumerically("<=", 2*maxPlaced))
	g.Expect(since(1, "c")).To(HaveLen(maxPlacedAnswer))
}

// An instance starts again. Of the prompts that engines keep it is told the latest thousand
// only; the others it sends to be read anew, or refuses in a burst as too much to read. It
// must be told all that is held, in a few answers.
func TestInstanceThatStartedIsToldAllThatIsHeld(t *testing.T) {
	g := NewWithT(t)
	var l placedLog
	const held = 3*maxPlacedAnswer + 10
	for i := range held {
		l.add("a", []PromptPlacement{{Prompt: uint64(i), FirstIndex: 3}})
	}
	told, next := 0, uint64(0)
	for range 4 {
		var list []PromptPlacement
		list, next = l.since(next, "c")
		told += len(list)
	}
	g.Expect(told).To(Equal(held))
	g.Expect(next).To(Equal(l.next))
}
