package serving

import (
	"fmt"
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

// Instances ask different members. Each must see the work of all others and not count its own
// twice. The work of an instance that stopped expires.
func TestAddsUpLoadsOfOthers(t *testing.T) {
	g := NewWithT(t)
	s := New(Config{Links: noLinks{}})
	now := clock.Now()
	s.loads.watchers["a"] = loadReport{at: now, work: work(1)}
	s.loads.watchers["b"] = loadReport{at: now, work: work(2)}
	s.loads.members["m"] = loadReport{at: now, work: work(4)}
	told, _ := s.summaryFor("a", 0, false)
	ownWork := work(1)
	others, err := told.Others(&ownWork)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(others.Work).To(Equal(work(6)))
	g.Expect(s.loads.sum(now, false)).To(Equal(work(3)))
	gone := s.loads.sum(now.Add(2*maxLoadAge), true)
	g.Expect(gone.empty()).To(BeTrue())
}

// The sum in a response may be older than the latest report of the instance. Subtracting the
// report must not give values below zero, or the upstream would seem idler than all others.
func TestSubtractDoesNotGoBelowZero(t *testing.T) {
	g := NewWithT(t)
	total, own := work(1), work(3)
	total.subtract(&own)
	g.Expect(total.empty()).To(BeTrue())
}

// noLinks discards all messages.
type noLinks struct{}

func (noLinks) Send(string, string, any) error { return nil }

func (noLinks) Handle(string, link.Handler, ...link.ChannelOption) {}

func TestPlacementsReachOthersOnce(t *testing.T) {
	g := NewWithT(t)
	var l placementLog
	since := func(number uint64, but string) []PromptPlacement {
		list, _ := l.since(number, but)
		return list
	}
	l.add("a", []PromptPlacement{{Prompt: 1, FirstIndex: 1}, {Prompt: 2, FirstIndex: 2}})
	l.add("b", []PromptPlacement{{Prompt: 3, FirstIndex: 1}})
	g.Expect(since(0, "a")).To(Equal([]PromptPlacement{{Prompt: 3, FirstIndex: 1}}))
	g.Expect(since(0, "c")).To(HaveLen(3))
	g.Expect(since(l.next, "c")).To(BeEmpty())
	g.Expect(since(l.next+99, "c")).To(BeEmpty(), "the number is from another member's log")
	for range 3 * maxPlacements {
		l.add("a", []PromptPlacement{{Prompt: 9, FirstIndex: 3}})
	}
	g.Expect(len(l.entries)).To(BeNumerically("<=", 2*maxPlacements))
	g.Expect(since(1, "c")).To(HaveLen(maxPlacementsPerResponse))
}

// Guards against a restarted instance that gets only the latest thousand of the prompts cached
// on engines. It would send the others to engines without them, or refuse them in a burst as too
// much to prefill. It must get all placements that are held, in a few responses.
func TestRestartedInstanceGetsAllPlacements(t *testing.T) {
	g := NewWithT(t)
	var l placementLog
	const held = 3*maxPlacementsPerResponse + 10
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

// Guards against demand by organisation that is counted twice, that an instance of an older build cannot read past,
// or that takes bytes without a shortage.
func TestDemandByOrganisationIsSummedAndOptional(t *testing.T) {
	g := NewWithT(t)
	s := New(Config{Links: noLinks{}})
	now, own := clock.Now(), work(1)
	own.Organisations = []OrganisationLoad{{Service: "s", Route: "r", Organisation: "o", Recent: 100}}
	s.loads.watchers["a"] = loadReport{at: now, work: own}
	s.loads.members["m"] = loadReport{at: now, work: own}
	told, _ := s.summaryFor("a", 0, false)
	others, err := told.Others(&own)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(others.Work).To(Equal(own))

	var older struct {
		Loads  []Load      `codec:"l,omitempty"`
		Routes []RouteLoad `codec:"r,omitempty"`
	}
	g.Expect(link.Decode(told.Total, &older)).To(Succeed())
	g.Expect(older.Routes).To(HaveLen(1))
	older.Loads, older.Routes = work(1).Loads, work(1).Routes
	before, err := link.Encode(&older)
	g.Expect(err).NotTo(HaveOccurred())
	calm := work(1)
	after, err := link.Encode(&calm)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(after).To(HaveLen(len(before)))

	var many Work
	for i := range 2 * maxOrganisations {
		many.Organisations = append(many.Organisations, OrganisationLoad{Organisation: fmt.Sprint(i), Recent: i + 1})
	}
	many.subtract(&Work{})
	g.Expect(many.Organisations).To(HaveLen(maxOrganisations))
	g.Expect(many.Organisations[0].Recent).To(Equal(2 * maxOrganisations))
}
