package balance

import (
	"cmp"
	"slices"
)

// With many instances, each has too few slots of its own. A member of the control group then grants
// slots for single requests: it knows the loads of the instances that follow it a few milliseconds
// after they change, and its share is one of a few. See docs/design/even-load.md.

// MinOwnSlots is the number of own slots from which an instance needs no granted ones. In virtual time,
// at 24 upstreams of 4 slots, own slots meet the target (twice two choices with exact counts) with 6 of
// them (16 instances) in all cases, and miss it with 4.8 (20 instances) in one of four.
const MinOwnSlots = 6

// NeedsGrants reports whether an instance has too few own slots of a service with the given number of
// upstreams.
func NeedsGrants(ownSlots, upstreams int) bool { return ownSlots < min(MinOwnSlots, upstreams) }

// IsShared reports whether a service has the load from which own slots, or granted ones, are used.
func IsShared(active, slots int) bool {
	return float64(active) >= minSharedLoad*float64(max(1, slots))
}

// Grantable is an upstream whose slots a member may grant.
type Grantable struct {
	ID, Domain string
	// FirstIndex identifies the incarnation.
	FirstIndex uint64
	Slots      int
	// Suspect upstreams are granted only when no other is left.
	Suspect bool
}

// GrantLoad is the number of requests in flight at an upstream: Own is that of the instances that follow
// this member, Others that of all other instances.
type GrantLoad struct{ Own, Others int }

// GrantRequest asks for a slot.
type GrantRequest struct {
	// Domain, Random, LoadAgeMS and HoldMS are as in Request. LoadAgeMS is the age of GrantLoad.Others
	// and must be positive.
	Domain                    string
	Random, LoadAgeMS, HoldMS float64
	// Avoid lists the incarnations that the instance may not use.
	Avoid []uint64
}

// Granter grants the slots of one plain service. It is not safe for concurrent use.
type Granter struct {
	list      []Grantable
	positions [][]int
	ownSlots  int
	states    []Upstream
	observed  []Observed
}

// NewGranter returns the granter of a member that has the given share among all members. It takes over
// the list, which may be in any order.
func NewGranter(share Share, list []Grantable) *Granter {
	slices.SortFunc(list, func(a, b Grantable) int { return cmp.Or(cmp.Compare(a.Domain, b.Domain), cmp.Compare(a.ID, b.ID)) })
	g := &Granter{list: list, states: make([]Upstream, len(list)), observed: make([]Observed, len(list))}
	shared := make([]Shared, len(list))
	for i := range list {
		u := &list[i]
		shared[i] = Shared{Domain: u.Domain, Slots: u.Slots}
		g.states[i] = Upstream{ID: u.ID, Domain: u.Domain, Slots: u.Slots, Suspect: u.Suspect}
	}
	g.positions, g.ownSlots = share.Positions(shared)
	g.Observe(func(uint64) Observed { return Observed{} })
	return g
}

// Observe sets what instances observed of the upstreams.
func (g *Granter) Observe(of func(firstIndex uint64) Observed) {
	for i := range g.list {
		g.observed[i] = of(g.list[i].FirstIndex)
	}
	ScorePeers(g.states, g.observed, SumObserved(g.observed))
}

// Grant returns the incarnation at which a slot is granted; false if no upstream is left. The caller
// counts the slot as taken in the loads from then on.
func (g *Granter) Grant(r *GrantRequest, load func(firstIndex uint64) GrantLoad) (firstIndex uint64, ok bool) {
	for i := range g.states {
		u, l := &g.states[i], load(g.list[i].FirstIndex)
		u.Active, u.Own, u.NextSlot = l.Own+l.Others, l.Own, 0
		if l.Own < len(g.positions[i]) {
			u.NextSlot = g.positions[i][l.Own]
		}
		u.Excluded = slices.Contains(r.Avoid, g.list[i].FirstIndex)
	}
	q := Request{Domain: r.Domain, Random: r.Random, LoadAgeMS: r.LoadAgeMS, HoldMS: r.HoldMS, OwnSlots: g.ownSlots}
	c := Choose(g.states, &q)
	if c.Index == None {
		return 0, false
	}
	return g.list[c.Index].FirstIndex, true
}
