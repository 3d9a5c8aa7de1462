// Package balance chooses the upstream for a request, as a chain of small steps:
// filters take out what can't be used, then the first of the candidates in the
// order of the request's affinity that is not overloaded is picked, or the least
// loaded one. It knows nothing of connections.
package balance

import (
	"math"

	"github.com/cespare/xxhash/v2"
)

// Upstream is what is known of one upstream.
type Upstream struct {
	ID     string
	Domain string
	// Load is the work it has, in any unit that is equal for all: 1 is full.
	Load float64
	// Penalty multiplies the load of an upstream that fails or is slow; 1 is none.
	Penalty float64
	// Suspect upstreams are picked only when no other is left.
	Suspect bool
	// Excluded upstreams are not picked at all.
	Excluded bool
}

// Request is what is known of a request.
type Request struct {
	// Affinity names what an upstream may have kept; empty for nothing.
	Affinity string
	// Domain is the caller's failure domain.
	Domain string
	// Draw is a number drawn uniformly from [0, 1).
	Draw float64
}

const (
	// bound is how much more than the mean load an upstream may have and still be
	// picked for its affinity, and slackLoad the load below which it always may.
	bound     = 1.5
	slackLoad = 0.15
	// otherDomain is what a way to another failure domain counts as load: bytes
	// between domains cost, and such a way is cut more often.
	otherDomain = 0.1
)

// None is returned when no upstream is left.
const None = -1

// Choose returns the index of the upstream to use, or None.
func Choose(list []Upstream, r *Request) int {
	suspects := countUsable(list, false) == 0
	if suspects && countUsable(list, true) == 0 {
		return None
	}
	if r.Affinity != "" {
		if i := byAffinity(list, r, suspects); i != None {
			return i
		}
	}
	return leastLoaded(list, r, suspects)
}

func usable(u *Upstream, suspects bool) bool { return !u.Excluded && (suspects || !u.Suspect) }

func countUsable(list []Upstream, suspects bool) int {
	n := 0
	for i := range list {
		if usable(&list[i], suspects) {
			n++
		}
	}
	return n
}

// byAffinity walks the upstreams in the order of a rendezvous hash, which all
// instances compute alike, and takes the first one that is not overloaded. When
// one comes or goes, only what was its own moves.
func byAffinity(list []Upstream, r *Request, suspects bool) int {
	limit := max(slackLoad, bound*meanLoad(list, suspects))
	best, score := None, uint64(0)
	for i := range list {
		u := &list[i]
		if !usable(u, suspects) || u.Load*u.Penalty > limit {
			continue
		}
		if s := rendezvous(r.Affinity, u.ID); best == None || s > score {
			best, score = i, s
		}
	}
	return best
}

func meanLoad(list []Upstream, suspects bool) float64 {
	sum, n := 0.0, 0
	for i := range list {
		if usable(&list[i], suspects) {
			sum += list[i].Load
			n++
		}
	}
	return sum / float64(n)
}

func rendezvous(affinity, id string) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(affinity)
	_, _ = d.WriteString(id)
	return d.Sum64()
}

// leastLoaded takes the least loaded one; equal ones take turns by the draw.
func leastLoaded(list []Upstream, r *Request, suspects bool) int {
	best, lowest := None, math.Inf(1)
	start := int(r.Draw * float64(len(list)))
	for k := range list {
		i := (start + k) % len(list)
		u := &list[i]
		if !usable(u, suspects) {
			continue
		}
		cost := u.Load * u.Penalty
		if u.Domain != r.Domain {
			cost += otherDomain
		}
		if cost < lowest {
			best, lowest = i, cost
		}
	}
	return best
}
