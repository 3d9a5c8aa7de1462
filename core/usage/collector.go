package usage

import "slices"

// Collector collects the reports that a member receives from instances until they are
// committed. It is not safe for concurrent use.
type Collector struct {
	instances map[uint64]*instanceTotals
	revision  uint64
	committed uint64
}

// instanceTotals holds the reported totals of one run of an instance.
type instanceTotals struct {
	current int64
	// revision is the revision of the last change of current.
	revision uint64
	totals   map[key]*total
}

// NewCollector returns an empty Collector.
func NewCollector() *Collector { return &Collector{instances: map[uint64]*instanceTotals{}} }

// Add adds a report.
func (c *Collector) Add(r *Report) {
	if r.Empty() {
		return
	}
	i := c.instances[r.Instance]
	if i == nil {
		i = &instanceTotals{totals: map[key]*total{}}
		c.instances[r.Instance] = i
	}
	c.revision++
	if r.Current > i.current {
		i.current, i.revision = r.Current, c.revision
	}
	for _, n := range r.Counts {
		k := key{n.Window, n.Organisation}
		t := i.totals[k]
		if t == nil {
			t = &total{}
			i.totals[k] = t
		}
		if n.Requests > t.requests {
			t.requests, t.revision = n.Requests, c.revision
		}
	}
}

// Uncommitted returns the counts that are not committed yet, per instance, and the revision to
// pass to Committed once they are.
func (c *Collector) Uncommitted() (list []Report, revision uint64) {
	for id, i := range c.instances {
		r := Report{Instance: id, Current: i.current}
		for k, t := range i.totals {
			if t.revision > c.committed {
				r.Counts = append(r.Counts, Count{Window: k.window, Organisation: k.organisation, Requests: t.requests})
			}
		}
		if len(r.Counts) > 0 || i.revision > c.committed {
			sortCounts(r.Counts)
			list = append(list, r)
		}
	}
	slices.SortFunc(list, func(a, b Report) int {
		if a.Instance < b.Instance {
			return -1
		}
		return 1
	})
	return list, c.revision
}

// Committed records that everything up to a revision is committed.
func (c *Collector) Committed(revision uint64) { c.committed = max(c.committed, revision) }

// Forget drops the counts of windows before the given one, and instances that have not reported
// since.
func (c *Collector) Forget(before int64) {
	for id, i := range c.instances {
		for k := range i.totals {
			if k.window < before {
				delete(i.totals, k)
			}
		}
		if len(i.totals) == 0 && i.current < before {
			delete(c.instances, id)
		}
	}
}
