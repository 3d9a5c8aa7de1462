package scale

import (
	"cmp"
	"slices"
)

// room is what may be ordered in one domain, and what is.
type room struct {
	*Domain
	max int
	// limited says that no more than have preemptible upstreams are to be had now.
	limited bool
	have    int
	want    Counts
}

// left is how many more upstreams fit.
func (r *room) left() int { return r.max - r.want.Total() }

// serving is how many upstreams will serve if what is wanted is ordered.
func (r *room) serving() int {
	if r.limited {
		return r.want.Standard + min(r.have, r.want.Preemptible)
	}
	return r.want.Total()
}

func servingAll(rooms []*room) (n int) {
	for _, r := range rooms {
		n += r.serving()
	}
	return n
}

// spread lays out count upstreams: preemptible ones, spread evenly, so that the loss of a
// domain's costs as little as can be, beside base standard ones in each. Where preemptible
// ones are not to be had in a domain, the others get more; that domain goes on wanting its
// part, as nobody says when there are some again. limits tells how many preemptible ones
// domains can have that can't have more, chosen how many standard ones they had so far.
func spread(s *Service, count, base int, limits, chosen map[string]int) []*room {
	rooms := make([]*room, 0, len(s.Domains))
	for i := range s.Domains {
		r := &room{Domain: &s.Domains[i], max: s.Max}
		r.have, r.limited = limits[r.Name]
		r.want.Standard = min(max(base, s.Min), s.Max)
		rooms = append(rooms, r)
	}
	if s.PreemptiblePrice <= 0 {
		addStandard(rooms, count-servingAll(rooms), chosen)
		return rooms
	}
	left := count - servingAll(rooms)
	for i, r := range rooms {
		part := (left + len(rooms) - i - 1) / (len(rooms) - i)
		r.want.Preemptible = max(0, min(part, r.left()))
		left -= r.want.Preemptible
	}
	addPreemptible(rooms, count-servingAll(rooms))
	return rooms
}

// addPreemptible adds so many where they are to be had, to the domains with fewest first.
func addPreemptible(rooms []*room, count int) {
	for ; count > 0; count-- {
		var best *room
		for _, r := range rooms {
			if !r.limited && r.left() > 0 && (best == nil || r.want.Preemptible < best.want.Preemptible) {
				best = r
			}
		}
		if best == nil {
			return
		}
		best.want.Preemptible++
	}
}

// addStandard adds so many standard upstreams: first where some were chosen before, so that
// what boots is not given up for others, then the cheapest first. They take the places of
// preemptible ones that are not to be had, but for one: whether there are some again shows
// only by an order.
func addStandard(rooms []*room, count int, chosen map[string]int) {
	order := slices.Clone(rooms)
	slices.SortFunc(order, func(a, b *room) int {
		return cmp.Or(cmp.Compare(chosen[b.Name], chosen[a.Name]), cmp.Compare(a.Price, b.Price), cmp.Compare(a.Name, b.Name))
	})
	for _, r := range order {
		places := r.max - r.serving()
		if r.limited {
			places--
		}
		n := max(0, min(count, places))
		r.want.Standard += n
		r.want.Preemptible = min(r.want.Preemptible, r.max-r.want.Standard)
		count -= n
	}
}
