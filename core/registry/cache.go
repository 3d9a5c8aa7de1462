package registry

import "github.com/comfreyladder/comfreyladder/core/announce"

// Cache is an immutable view of an upstream's prefix cache.
type Cache struct {
	// Incomplete says that events were lost: prefixes may be held that are not
	// known here.
	Incomplete bool
	prefixes   map[uint64]struct{}
}

// Holds reports whether the upstream is known to hold a prefix, given the 64-bit
// xxhash of its text.
func (c *Cache) Holds(prefix uint64) bool {
	if c == nil {
		return false
	}
	_, ok := c.prefixes[prefix]
	return ok
}

// Len returns how many prefixes are known.
func (c *Cache) Len() int {
	if c == nil {
		return 0
	}
	return len(c.prefixes)
}

// Prefixes returns the known prefixes; the caller must not change them.
func (c *Cache) Prefixes() map[uint64]struct{} {
	if c == nil {
		return nil
	}
	return c.prefixes
}

// cache follows the numbered events of one incarnation.
type cache struct {
	next     uint64 // number of the next event; zero before the first one
	doubtful bool
	prefixes map[uint64]struct{}
	order    []uint64 // prefixes as they were stored, oldest first
	shared   *Cache   // the view that shares prefixes, or nil
}

// apply takes events in. A gap means that events are lost, such as one that
// dropped a prefix: requests would be sent to an upstream for a prefix that it
// does not hold any more. So the view is cleared and built anew from what comes.
func (c *cache) apply(events []announce.CacheEvent) {
	for _, e := range events {
		if c.next != 0 && e.Number < c.next {
			continue // told before
		}
		c.own()
		if (c.next == 0 && e.Number > 1) || (c.next != 0 && e.Number > c.next) {
			c.doubtful = true
			c.prefixes = map[uint64]struct{}{}
			c.order = nil
		}
		c.next = e.Number + 1
		if e.Dropped {
			delete(c.prefixes, e.Prefix)
			continue
		}
		c.store(e.Prefix)
	}
}

func (c *cache) store(prefix uint64) {
	if _, known := c.prefixes[prefix]; known {
		return
	}
	c.prefixes[prefix] = struct{}{}
	c.order = append(c.order, prefix)
	for len(c.prefixes) > MaxPrefixes {
		delete(c.prefixes, c.order[0])
		c.order = c.order[1:]
	}
	if len(c.order) > 2*MaxPrefixes {
		c.compact()
	}
}

// compact drops from the order those that were dropped since.
func (c *cache) compact() {
	kept := make([]uint64, 0, len(c.prefixes))
	for _, p := range c.order {
		if _, ok := c.prefixes[p]; ok {
			kept = append(kept, p)
		}
	}
	c.order = kept
}

// own copies the prefixes when a view shares them.
func (c *cache) own() {
	if c.shared == nil && c.prefixes != nil {
		return
	}
	copied := make(map[uint64]struct{}, len(c.prefixes))
	for p := range c.prefixes {
		copied[p] = struct{}{}
	}
	c.prefixes = copied
	c.shared = nil
}

func (c *cache) view() *Cache {
	if c.shared == nil {
		c.shared = &Cache{Incomplete: c.doubtful, prefixes: c.prefixes}
	}
	return c.shared
}
