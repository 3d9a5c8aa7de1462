package balance_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/comfreyladder/comfreyladder/core/balance"
)

// grantables returns upstreams of a service in three failure domains.
func grantables(n, slots int) (list []balance.Grantable) {
	for i := range n {
		list = append(list, balance.Grantable{ID: fmt.Sprint("u", i), Domain: fmt.Sprint("d", i%3), FirstIndex: uint64(i + 1), Slots: slots})
	}
	return list
}

// Guards against members that grant the same slots: as long as each grants only its own slots, no upstream
// may get more requests than it has slots, whatever the members know of each other.
func TestMembersGrantDifferentSlots(t *testing.T) {
	g := NewWithT(t)
	const members, upstreams, slots = 3, 24, 4
	all := map[uint64]int{}
	for rank := range members {
		granter := balance.NewGranter(balance.Share{Rank: rank, Count: members}, grantables(upstreams, slots))
		own := map[uint64]int{}
		// A fifth of the slots is taken, so that own slots are filled from the first request on.
		load := func(i uint64) balance.GrantLoad { return balance.GrantLoad{Own: own[i], Others: 1} }
		for range upstreams * slots / members {
			at, ok := granter.Grant(&balance.GrantRequest{Domain: fmt.Sprint("d", rank), Random: 0.5, LoadAgeMS: 20, HoldMS: 40}, load)
			g.Expect(ok).To(BeTrue())
			own[at]++
			all[at]++
		}
	}
	for i := range upstreams {
		g.Expect(all[uint64(i+1)]).To(Equal(slots))
	}
}

// Guards against a grant at an upstream that the instance may not use, that fails, or is much slower than
// its peers, and against a grant if no upstream is left.
func TestUnusableUpstreamsAreNotGranted(t *testing.T) {
	g := NewWithT(t)
	granter := balance.NewGranter(balance.Share{Rank: 0, Count: 1}, grantables(3, 4))
	load := func(uint64) balance.GrantLoad { return balance.GrantLoad{Own: 1} }
	grant := func(avoid ...uint64) (uint64, bool) {
		return granter.Grant(&balance.GrantRequest{Domain: "d0", Random: 0.5, LoadAgeMS: 20, HoldMS: 40, Avoid: avoid}, load)
	}
	first, ok := grant()
	g.Expect(ok).To(BeTrue())
	at, ok := grant(first)
	g.Expect(ok).To(BeTrue())
	g.Expect(at).NotTo(Equal(first))
	_, ok = grant(1, 2, 3)
	g.Expect(ok).To(BeFalse())
	for name, bad := range map[string]balance.Observed{"fails": {Answers: 100, Failures: 90}, "is slow": {Answers: 100, Predicted: 4000, Took: 32000}} {
		granter.Observe(func(i uint64) balance.Observed {
			if i == first {
				return bad
			}
			return balance.Observed{Answers: 100, Predicted: 4000, Took: 4000}
		})
		at, _ = grant()
		g.Expect(at).NotTo(Equal(first), name)
	}
}

// Guards against a granted upstream that is used although the instance has observed that it fails, is slow,
// or must not be used, and against a free grant that is passed over.
func TestInstanceChecksGrantedUpstream(t *testing.T) {
	g := NewWithT(t)
	for _, c := range []struct {
		name   string
		change func(*balance.Upstream)
		used   bool
	}{
		{"as its peers", func(*balance.Upstream) {}, true},
		{"in another failure domain", func(u *balance.Upstream) { u.Domain = "other" }, true},
		{"excluded", func(u *balance.Upstream) { u.Excluded = true }, false},
		{"suspect", func(u *balance.Upstream) { u.Suspect = true }, false},
		{"slow", func(u *balance.Upstream) { u.Slowness = 4 }, false},
		{"failing", func(u *balance.Upstream) { u.Errors = 0.5 }, false},
	} {
		list := []balance.Upstream{
			{ID: "a", Domain: "d", Slots: 4, Slowness: 1, NextSlot: 1, Active: 1, Own: 1},
			{ID: "b", Domain: "d", Slots: 4, Slowness: 1, Granted: true, Active: 3},
		}
		c.change(&list[1])
		at := balance.Choose(list, &balance.Request{Domain: "d", Random: 0.1, LoadAgeMS: 200, HoldMS: 40, OwnSlots: 2}).Index
		g.Expect(at == 1).To(Equal(c.used), c.name)
	}
}

// Guards against slots asked for where own slots suffice: at 8 instances with 12 slots each nothing changes.
func TestOwnSlotsSuffice(t *testing.T) {
	g := NewWithT(t)
	g.Expect(balance.NeedsGrants(12, 24)).To(BeFalse())
	g.Expect(balance.NeedsGrants(6, 24)).To(BeFalse())
	g.Expect(balance.NeedsGrants(1, 24)).To(BeTrue())
	g.Expect(balance.NeedsGrants(2, 2)).To(BeFalse(), "a slot at each upstream")
	g.Expect(balance.IsShared(19, 96)).To(BeFalse())
	g.Expect(balance.IsShared(20, 96)).To(BeTrue())
}

// BenchmarkGrant measures the decision on one grant.
func BenchmarkGrant(b *testing.B) {
	for _, n := range []int{24, 100, 256} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			granter, rng := balance.NewGranter(balance.Share{Rank: 1, Count: 3}, grantables(n, 4)), rand.New(rand.NewPCG(1, 2))
			load := func(i uint64) balance.GrantLoad { return balance.GrantLoad{Own: int(i % 3), Others: 1} }
			b.ReportAllocs()
			for b.Loop() {
				granter.Grant(&balance.GrantRequest{Domain: "d1", Random: rng.Float64(), LoadAgeMS: 20, HoldMS: 40}, load)
			}
		})
	}
}
