package follow

import (
	"iter"

	"github.com/tidwall/btree"

	"github.com/comfreyladder/comfreyladder/core/control/serving"
)

// Upstreams holds the incarnations of a view by ID and by the log index at which they were first
// recorded. It is immutable; the next view shares all that has not changed. A nil Upstreams is empty.
type Upstreams struct {
	byID    btree.Map[string, *serving.Upstream]
	byIndex btree.Map[uint64, *serving.Upstream]
}

// NewUpstreams returns the given incarnations.
func NewUpstreams(list ...*serving.Upstream) *Upstreams {
	u := &Upstreams{}
	for _, v := range list {
		u.put(v)
	}
	return u
}

// Len returns the number of incarnations.
func (u *Upstreams) Len() int {
	if u == nil {
		return 0
	}
	return u.byID.Len()
}

// Get returns the incarnation with an ID, or nil.
func (u *Upstreams) Get(id string) *serving.Upstream {
	if u == nil {
		return nil
	}
	v, _ := u.byID.Get(id)
	return v
}

// Registered returns the incarnation that was first recorded at a log index, or nil.
func (u *Upstreams) Registered(index uint64) *serving.Upstream {
	if u == nil {
		return nil
	}
	v, _ := u.byIndex.Get(index)
	return v
}

// All returns all incarnations, sorted by ID.
func (u *Upstreams) All() iter.Seq[*serving.Upstream] {
	return func(yield func(*serving.Upstream) bool) {
		if u != nil {
			u.byID.Scan(func(_ string, v *serving.Upstream) bool { return yield(v) })
		}
	}
}

// put adds an incarnation and returns the one that it replaces, if any.
func (u *Upstreams) put(v *serving.Upstream) (old *serving.Upstream) {
	old, replaced := u.byID.Set(v.ID, v)
	if replaced {
		u.byIndex.Delete(old.FirstIndex)
	}
	u.byIndex.Set(v.FirstIndex, v)
	return old
}

// remove removes an incarnation and returns it, if there is one.
func (u *Upstreams) remove(id string) (old *serving.Upstream) {
	old, known := u.byID.Delete(id)
	if known {
		u.byIndex.Delete(old.FirstIndex)
	}
	return old
}

// Change is the difference of one incarnation between two views; Old is nil for one that was not
// known, New for one that was dropped.
type Change struct{ Old, New *serving.Upstream }

// merge returns the upstreams after the changes, and what differs.
func (u *Upstreams) merge(c *serving.Changes) (*Upstreams, []Change) {
	if c.Full {
		return u.replace(c.Upstreams)
	}
	next := &Upstreams{byID: *u.byID.Copy(), byIndex: *u.byIndex.Copy()}
	list := make([]Change, 0, len(c.Upstreams))
	for i := range c.Upstreams {
		v := &c.Upstreams[i]
		if v.State != serving.Gone {
			list = append(list, Change{next.put(v), v})
		} else if old := next.remove(v.ID); old != nil {
			list = append(list, Change{Old: old})
		}
	}
	return next, list
}

func (u *Upstreams) replace(list []serving.Upstream) (*Upstreams, []Change) {
	next := &Upstreams{}
	changes := make([]Change, 0, len(list))
	for i := range list {
		v := &list[i]
		if v.State == serving.Gone {
			continue
		}
		next.put(v)
		changes = append(changes, Change{u.Get(v.ID), v})
	}
	for old := range u.All() {
		if next.Get(old.ID) == nil {
			changes = append(changes, Change{Old: old})
		}
	}
	return next, changes
}
