package schedule

import (
	"fmt"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/comfreyladder/comfreyladder/core/sched"
	"github.com/comfreyladder/comfreyladder/instance/link"
)

// cachedShare returns the estimated cached share of a prompt: that of the longest prefix found.
func cachedShare(longestFirst []uint64, cached map[uint64]bool) float64 {
	i := slices.IndexFunc(longestFirst, func(h uint64) bool { return cached[h] })
	if i < 0 {
		return 0
	}
	return float64(len(longestFirst)-i) / float64(len(longestFirst))
}

// The prefixes that are sent must not overestimate what an engine has cached, and must
// identify the whole prompt and half of it if those are cached.
func TestSentPrefixesDoNotOverestimateCache(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := NewWithT(t)
		blocks := rapid.IntRange(0, 64).Draw(t, "blocks")
		var all []uint64
		for n := blocks; n > 0; n-- {
			all = append(all, uint64(n)<<32)
		}
		p := packPrefixes(all)
		g.Expect(len(p.Hashes)).To(BeNumerically("<=", maxPrefixes*hashLength))
		back := p.unpack()
		g.Expect(back).To(HaveLen(blocks))
		cached := map[uint64]bool{}
		for n := range rapid.IntRange(0, blocks).Draw(t, "cached") {
			cached[uint64(n+1)<<32] = true
		}
		truth, seen := cachedShare(all, cached), cachedShare(back, cached)
		g.Expect(seen).To(BeNumerically("<=", truth))
		if truth == 1 {
			g.Expect(seen).To(Equal(truth))
		}
		if truth > 0.5 {
			g.Expect(seen).To(BeNumerically(">=", truth/2))
		}
	})
}

func TestSharedBeginningsHaveCommonPrefixes(t *testing.T) {
	g := NewWithT(t)
	for long := 13; long <= 64; long++ {
		g.Expect(sentBlocks(long)).To(ContainElement(floorStep(long / 2)))
	}
	g.Expect(sentBlocks(20)).To(Equal([]int{20, 16, 12, 8, 6, 4}))
	g.Expect(sentBlocks(2)).To(Equal([]int{2, 1}))
	g.Expect(prefixes{Blocks: 1 << 30, Hashes: make([]byte, maxPrefixes*hashLength)}.unpack()).To(BeEmpty())
	g.Expect(prefixes{Blocks: 9, Hashes: make([]byte, 7)}.unpack()).To(BeEmpty())
	g.Expect(prefixes{Blocks: -1}.unpack()).To(BeEmpty())
}

func TestMessagesSurviveEncoding(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1000, 0)
	ticket := sched.Ticket{
		ID: shortID("entry-1-0190a8b2-7c3d-7e4f-8a9b-1"), Instance: "entry-1", Organisation: "o", Class: "c", Model: "m", PromptTokens: 700,
		PrefixHashes: []uint64{3, 2, 1}, MaxTokens: 50, Arrived: now.Add(-70 * time.Millisecond), Deadline: now.Add(9 * time.Second), Excluded: []string{"e1"},
	}
	grant := sched.Grant{
		ID: ticket.ID, Instance: "entry-1", Upstream: "e2", Address: "127.0.0.1:1", Priority: 3,
		Explain: sched.Explanation{Waited: time.Second, ExpectedWait: 2 * time.Second, BelowFloor: true, Candidates: 4, Score: 0.625, CachedPrefix: 0.25, InFlight: 5, Slots: 6},
	}
	up := upMessage{Submits: []ticketMessage{packTicket(ticket, now)}, Events: []event{{Kind: eventProgress, ID: ticket.ID, Tokens: 64, at: now.Add(-30 * time.Millisecond)}}}
	up.setAges(now)
	data, err := link.Encode(up)
	g.Expect(err).NotTo(HaveOccurred())
	var gotUp upMessage
	g.Expect(link.Decode(data, &gotUp)).To(Succeed())
	g.Expect(gotUp.Submits[0].unpack(now, "entry-1")).To(Equal(ticket))
	g.Expect(gotUp.Events[0].occurredAt(now)).To(Equal(now.Add(-30 * time.Millisecond)))
	data, err = link.Encode(downMessage{Grants: []grantMessage{packGrant(grant)}})
	g.Expect(err).NotTo(HaveOccurred())
	var gotDown downMessage
	g.Expect(link.Decode(data, &gotDown)).To(Succeed())
	g.Expect(gotDown.Grants[0].unpack("entry-1")).To(Equal(grant))
}

func TestShortIDsDiffer(t *testing.T) {
	g := NewWithT(t)
	seen := map[string]bool{}
	for n := range 10_000 {
		id := shortID(fmt.Sprintf("entry-1-0190a8b2-7c3d-7e4f-8a9b-%012d-1", n))
		g.Expect(id).To(HaveLen(shortIDLength))
		g.Expect(seen).NotTo(HaveKey(id))
		seen[id] = true
	}
	g.Expect(shortID("short")).To(Equal("short"))
}
