package balance

import (
	"github.com/cespare/xxhash/v2"
	"github.com/tidwall/btree"
)

// Index orders the upstreams of a service so that a request finds those to consider without a look
// at all of them: the home upstreams of its prompt, those of a pool, and random ones. All instances
// that know the same upstreams compute the same orders. It is not safe for concurrent use; the zero
// value is ready to use.
type Index[T comparable] struct {
	// order holds the upstreams in the pool order, ring on the hash ring of Homes.
	order, ring btree.Map[uint64, T]
}

// Place is the position of an upstream in an Index.
type Place struct{ order, ring uint64 }

const (
	// probesPerHome is the number of points on the ring at which the home of a prompt is looked up.
	// The nearest upstream to any of them is the home, which evens out the gaps of the ring.
	probesPerHome = 8
	// maxSkips bounds the upstreams that one lookup passes over because they are not eligible.
	maxSkips = 64
	// ringSeed is the seed of the positions on the ring.
	ringSeed = 2
)

// Add adds an upstream.
func (x *Index[T]) Add(id string, v T) Place {
	return Place{order: insert(&x.order, rendezvous(poolSeed, id), v), ring: insert(&x.ring, rendezvous(ringSeed, id), v)}
}

// insert adds a value at a key, or at the next free one.
func insert[T any](m *btree.Map[uint64, T], key uint64, v T) uint64 {
	for {
		if _, taken := m.Get(key); !taken {
			m.Set(key, v)
			return key
		}
		key++
	}
}

// Remove removes an upstream.
func (x *Index[T]) Remove(p Place) {
	x.order.Delete(p.order)
	x.ring.Delete(p.ring)
}

// Len returns the number of upstreams.
func (x *Index[T]) Len() int { return x.order.Len() }

// At returns the upstream at a position of the pool order.
func (x *Index[T]) At(i int) T {
	_, v, _ := x.order.GetAt(i)
	return v
}

// Limit returns the end of a pool that consists of the first upstreams in the pool order, for
// Place.Before.
func (x *Index[T]) Limit(count int) uint64 {
	if key, _, ok := x.order.GetAt(count); ok {
		return key
	}
	return ^uint64(0)
}

// Before reports whether an upstream is in the pool that ends at a limit.
func (p Place) Before(limit uint64) bool { return p.order < limit }

// Homes appends the home upstreams of a prompt among the eligible ones to list: up to HomeCount,
// in the order of preference. An upstream that comes or goes changes only the homes of prompts
// whose home it becomes or was.
func (x *Index[T]) Homes(list []T, prompt uint64, eligible func(T) bool) []T {
	begin := len(list)
	for n := range uint64(HomeCount) {
		home, ok := x.nearest(prompt, n*probesPerHome, func(v T) bool {
			return !contains(list[begin:], v) && eligible(v)
		})
		if !ok {
			break
		}
		list = append(list, home)
	}
	return list
}

func contains[T comparable](list []T, v T) bool {
	for i := range list {
		if list[i] == v {
			return true
		}
	}
	return false
}

// nearest returns the eligible upstream that is nearest after any of the probes.
func (x *Index[T]) nearest(prompt, probe uint64, eligible func(T) bool) (best T, found bool) {
	shortest := ^uint64(0)
	for end := probe + probesPerHome; probe < end; probe++ {
		from := probeAt(prompt, probe)
		key, v, ok := x.next(from, eligible)
		if distance := key - from; ok && (!found || distance < shortest) {
			best, shortest, found = v, distance, true
		}
	}
	return best, found
}

func probeAt(prompt, probe uint64) uint64 {
	var d xxhash.Digest
	d.ResetWithSeed(prompt)
	_, _ = d.Write([]byte{byte(probe)})
	return d.Sum64()
}

// next returns the first eligible upstream at or after a position of the ring.
func (x *Index[T]) next(from uint64, eligible func(T) bool) (key uint64, v T, ok bool) {
	skips := 0
	visit := func(k uint64, candidate T) bool {
		if ok = eligible(candidate); ok {
			key, v = k, candidate
			return false
		}
		skips++
		return skips < maxSkips
	}
	x.ring.Ascend(from, visit)
	if !ok && skips < maxSkips {
		x.ring.Ascend(0, func(k uint64, candidate T) bool { return k < from && visit(k, candidate) })
	}
	return key, v, ok
}
