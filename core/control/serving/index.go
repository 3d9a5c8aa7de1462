package serving

import (
	"cmp"
	"container/heap"
	"slices"
	"strings"

	"github.com/tidwall/btree"
)

// index holds the incarnations by ID, by address, in the order of their last changes, and the
// ended ones by age. A change costs the same whatever the number of incarnations, but for the
// logarithm of the number of ended ones.
type index struct {
	byID map[string]*entry
	// byAddress holds the incarnation that owns an address: the one that is ready or draining.
	byAddress map[string]*entry
	// byFirst holds the incarnations by their first index.
	byFirst map[uint64]*entry
	// changes holds all entries in the order of their last change, and by ID within one change.
	changes *btree.BTreeG[*entry]
	byAge   endedHeap
}

// entry is an incarnation with its place in the order by age.
type entry struct {
	upstream Upstream
	// age is the position in byAge, or notEnded.
	age int
}

func earlierChange(a, b *entry) bool {
	return cmp.Or(cmp.Compare(a.upstream.Changed, b.upstream.Changed), strings.Compare(a.upstream.ID, b.upstream.ID)) < 0
}

const notEnded = -1

// ended reports whether the incarnation may be dropped once it is old.
func (u *Upstream) ended() bool { return u.Silent || u.State >= Superseded }

// ownsAddress reports whether the incarnation keeps others from its address.
func (u *Upstream) ownsAddress() bool { return u.State == Ready || u.State == Draining }

func newIndex(upstreams []Upstream) index {
	x := index{byID: make(map[string]*entry, len(upstreams)), byAddress: make(map[string]*entry, len(upstreams)), byFirst: make(map[uint64]*entry, len(upstreams))}
	x.changes = btree.NewBTreeGOptions(earlierChange, btree.Options{NoLocks: true})
	for i := range upstreams {
		x.put(upstreams[i])
	}
	return x
}

// get returns the latest incarnation with an ID, or nil. It must not be changed.
func (x *index) get(id string) *Upstream {
	if e := x.byID[id]; e != nil {
		return &e.upstream
	}
	return nil
}

// owner returns the incarnation that owns an address, or nil.
func (x *index) owner(address string) *Upstream {
	if e := x.byAddress[address]; e != nil {
		return &e.upstream
	}
	return nil
}

// put records the latest change of an incarnation.
func (x *index) put(u Upstream) {
	e := x.byID[u.ID]
	if e == nil {
		e = &entry{age: notEnded}
		x.byID[u.ID] = e
	} else {
		x.changes.Delete(e)
		x.releaseAddress(e)
		delete(x.byFirst, e.upstream.FirstIndex)
	}
	e.upstream = u
	x.byFirst[u.FirstIndex] = e
	x.changes.Set(e)
	if u.ownsAddress() {
		x.byAddress[u.Address] = e
	}
	x.updateAge(e)
}

func (x *index) releaseAddress(e *entry) {
	if x.byAddress[e.upstream.Address] == e {
		delete(x.byAddress, e.upstream.Address)
	}
}

func (x *index) updateAge(e *entry) {
	switch ended := e.upstream.ended(); {
	case ended && e.age == notEnded:
		heap.Push(&x.byAge, e)
	case ended:
		heap.Fix(&x.byAge, e.age)
	case e.age != notEnded:
		heap.Remove(&x.byAge, e.age)
	}
}

func (x *index) remove(id string) {
	e := x.byID[id]
	x.changes.Delete(e)
	x.releaseAddress(e)
	if e.age != notEnded {
		heap.Remove(&x.byAge, e.age)
	}
	delete(x.byID, id)
	delete(x.byFirst, e.upstream.FirstIndex)
}

// incarnation returns the incarnation that was first recorded at a log index, or nil if it is not the
// latest one with its ID.
func (x *index) incarnation(first uint64) *Upstream {
	if e := x.byFirst[first]; e != nil {
		return &e.upstream
	}
	return nil
}

// ended returns the number of ended incarnations, and live that of the others.
func (x *index) ended() int { return len(x.byAge) }
func (x *index) live() int  { return len(x.byID) - len(x.byAge) }

// oldestEnded returns the ended incarnation whose last change is the oldest, or nil.
func (x *index) oldestEnded() *Upstream {
	if len(x.byAge) == 0 {
		return nil
	}
	return &x.byAge[0].upstream
}

// changedSince returns the incarnations whose last change came after a log index, in the order of
// their changes. If there are more than limit, it returns the first ones up to a whole change, and
// more is true.
func (x *index) changedSince(index uint64, limit int) (out []Upstream, more bool) {
	x.changes.Ascend(&entry{upstream: Upstream{Changed: index + 1}}, func(e *entry) bool {
		if len(out) >= limit && e.upstream.Changed != out[len(out)-1].Changed {
			more = true
			return false
		}
		out = append(out, e.upstream)
		return true
	})
	return out, more
}

// exceeds reports whether more than limit incarnations changed after a log index.
func (x *index) exceeds(index uint64, limit int) bool {
	count := 0
	x.changes.Ascend(&entry{upstream: Upstream{Changed: index + 1}}, func(*entry) bool {
		count++
		return count <= limit
	})
	return count > limit
}

// all returns all incarnations in no particular order.
func (x *index) all() []Upstream {
	out := make([]Upstream, 0, len(x.byID))
	for _, e := range x.byID {
		out = append(out, e.upstream)
	}
	return out
}

// sorted returns all incarnations, sorted by ID.
func (x *index) sorted() []Upstream {
	out := x.all()
	slices.SortFunc(out, func(a, b Upstream) int { return strings.Compare(a.ID, b.ID) })
	return out
}

// endedHeap orders ended incarnations by the time of their last change, then by ID, so that all
// members drop the same ones. It implements heap.Interface.
type endedHeap []*entry

func (h endedHeap) Len() int { return len(h) }

func (h endedHeap) Less(i, j int) bool {
	a, b := &h[i].upstream, &h[j].upstream
	return cmp.Or(cmp.Compare(a.At, b.At), strings.Compare(a.ID, b.ID)) < 0
}

func (h endedHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].age, h[j].age = i, j
}

// Push implements heap.Interface.
func (h *endedHeap) Push(x any) {
	e := x.(*entry)
	e.age = len(*h)
	*h = append(*h, e)
}

// Pop implements heap.Interface.
func (h *endedHeap) Pop() any {
	last := len(*h) - 1
	e := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	e.age = notEnded
	return e
}
