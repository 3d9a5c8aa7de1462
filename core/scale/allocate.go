package scale

import (
	"cmp"
	"slices"
)

// allocation is the plan for one domain, with its limits.
type allocation struct {
	*Domain
	max int
	// limited says that no more than available preemptible upstreams can be had at present.
	limited   bool
	available int
	target    Counts
}

// free returns how many more upstreams fit.
func (r *allocation) free() int { return r.max - r.target.Total() }

// serving returns how many upstreams will serve if the target is ordered.
func (r *allocation) serving() int {
	if r.limited {
		return r.target.Standard + min(r.available, r.target.Preemptible)
	}
	return r.target.Total()
}

// totalServing returns how many upstreams will serve in all domains.
func totalServing(allocations []*allocation) (n int) {
	for _, r := range allocations {
		n += r.serving()
	}
	return n
}

// allocate distributes count upstreams over the domains: minStandard standard ones in each, and the
// rest preemptible, spread evenly to limit the loss when a domain's are reclaimed. Where a domain
// has no more preemptible ones available, the others get more. Its target is not reduced, because
// only an order shows whether there are some again. limits holds the available number of preemptible
// upstreams for domains that cannot have more, lastStandard the previously planned standard ones.
func allocate(s *Service, count, minStandard int, limits, lastStandard map[string]int) []*allocation {
	allocations := make([]*allocation, 0, len(s.Domains))
	for i := range s.Domains {
		r := &allocation{Domain: &s.Domains[i], max: s.Max}
		r.available, r.limited = limits[r.Name]
		r.target.Standard = min(max(minStandard, s.Min), s.Max)
		allocations = append(allocations, r)
	}
	if s.PreemptiblePrice <= 0 {
		addStandard(allocations, count-totalServing(allocations), lastStandard)
		return allocations
	}
	left := count - totalServing(allocations)
	for i, r := range allocations {
		share := (left + len(allocations) - i - 1) / (len(allocations) - i)
		r.target.Preemptible = max(0, min(share, r.free()))
		left -= r.target.Preemptible
	}
	addPreemptible(allocations, count-totalServing(allocations))
	return allocations
}

// addPreemptible adds preemptible upstreams where they are available, to the domains with the fewest
// first.
func addPreemptible(allocations []*allocation, count int) {
	for ; count > 0; count-- {
		var best *allocation
		for _, r := range allocations {
			if !r.limited && r.free() > 0 && (best == nil || r.target.Preemptible < best.target.Preemptible) {
				best = r
			}
		}
		if best == nil {
			return
		}
		best.target.Preemptible++
	}
}

// addStandard adds standard upstreams: first to domains that had some planned before, so that
// booting ones are not given up for others, then to the cheapest. They replace unavailable
// preemptible ones except for one, whose order shows whether there are some again.
func addStandard(allocations []*allocation, count int, lastStandard map[string]int) {
	order := slices.Clone(allocations)
	slices.SortFunc(order, func(a, b *allocation) int {
		return cmp.Or(cmp.Compare(lastStandard[b.Name], lastStandard[a.Name]), cmp.Compare(a.Price, b.Price), cmp.Compare(a.Name, b.Name))
	})
	for _, r := range order {
		places := r.max - r.serving()
		if r.limited {
			places--
		}
		n := max(0, min(count, places))
		r.target.Standard += n
		r.target.Preemptible = min(r.target.Preemptible, r.max-r.target.Standard)
		count -= n
	}
}
