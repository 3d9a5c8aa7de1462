package balance

// Share identifies the part of the slots of a service that belongs to one of the instances. The zero
// value is no part.
type Share struct {
	// Rank is the position of the instance among all Count instances, which are ordered by failure
	// domain.
	Rank, Count int
}

// Shared is an upstream whose slots are shared among the instances.
type Shared struct {
	Domain string
	Slots  int
}

// maxBands bounds the parts into which the slots of an upstream are divided.
const maxBands = 32

// Positions returns, for each upstream, the positions of its slots in the order in which the
// instance fills its own slots, counted from one, and the number of its own slots. All instances that
// know the same upstreams in the same order, sorted by failure domain, agree on the owners.
//
// The slots of an upstream belong to different instances, early in the order of some and late in
// that of others. The upstreams are then loaded alike, and a request of another instance rarely finds
// all slots of an upstream taken: those that are late in the order of their owners mostly are free.
func (s Share) Positions(list []Shared) (positions [][]int, total int) {
	positions = make([][]int, len(list))
	if s.Count <= 0 || s.Rank < 0 || s.Rank >= s.Count || len(list) == 0 {
		return positions, 0
	}
	most := 0
	for i := range list {
		most = max(most, list[i].Slots)
	}
	unit := (most + maxBands - 1) / maxBands
	bands := (most + unit - 1) / unit
	for band := range bands {
		own := s.ownOfBand(list, band, bands, unit)
		for k := range own {
			i := own[k]
			if band%2 == 1 {
				// Alternating directions give all upstreams the same mean position.
				i = own[len(own)-1-k]
			}
			for range min(unit, list[i].Slots-band*unit) {
				total++
				positions[i] = append(positions[i], total)
			}
		}
	}
	if total == 0 {
		// An instance without a slot keeps to one upstream, so that it uses few connections.
		home := (2*s.Rank + 1) * len(list) / (2 * s.Count)
		positions[home], total = []int{1}, 1
	}
	return positions, total
}

// ownOfBand returns the upstreams whose slots in a band belong to the instance.
func (s Share) ownOfBand(list []Shared, band, bands, unit int) (own []int) {
	var in []int
	for i := range list {
		if list[i].Slots > band*unit {
			in = append(in, i)
		}
	}
	for from := 0; from < len(in); {
		to := from
		for to < len(in) && list[in[to]].Domain == list[in[from]].Domain {
			to++
		}
		for x := from; x < to; x++ {
			// Each band starts at another upstream of the failure domain.
			i := in[from+(x-from+band*(to-from)/bands)%(to-from)]
			if owner := (2*(x*bands+band) + 1) * s.Count / (2 * bands * len(in)); owner == s.Rank {
				own = append(own, i)
			}
		}
		from = to
	}
	return own
}
