package registry

import "github.com/comfreyladder/comfreyladder/core/announce"

// Cache is an immutable view of the prefix cache of an upstream.
type Cache struct {
	// Incomplete reports that events were lost: the upstream may hold prefixes that are not
	// known here.
	Incomplete bool
	prefixes   map[uint64]struct{}
}

// Holds reports whether the upstream is known to hold the prefix whose text has this 64-bit
// xxhash.
func (c *Cache) Holds(prefix uint64) bool {
	if c == nil {
		return false
	}
	_, ok := c.prefixes[prefix]
	return ok
}

// Len returns the number of known prefixes.
func (c *Cache) Len() int {
	if c == nil {
		return 0
	}
	return len(c.prefixes)
}

// Prefixes returns the known prefixes; the caller must not modify the map.
func (c *Cache) Prefixes() map[uint64]struct{} {
	if c == nil {
		return nil
	}
	return c.prefixes
}

// cache tracks the numbered cache events of one incarnation of an upstream.
type cache struct {
	next       uint64 // number of the next event; zero before the first one
	incomplete bool
	prefixes   map[uint64]struct{}
	order      []uint64 // prefixes in the order they were stored, oldest first
	shared     *Cache   // the view that shares the prefixes map, or nil
}

// apply processes events. A gap in the numbers means that events were lost, possibly one
// that dropped a prefix: requests would then be sent to an upstream for a prefix that it no
// longer holds. So the view is cleared and rebuilt from later events.
func (c *cache) apply(events []announce.CacheEvent) {
	for _, e := range events {
		if c.next != 0 && e.Number < c.next {
			continue // already applied
		}
		c.copyIfShared()
		if (c.next == 0 && e.Number > 1) || (c.next != 0 && e.Number > c.next) {
			c.incomplete = true
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

// compact removes prefixes from the order that were dropped since.
func (c *cache) compact() {
	kept := make([]uint64, 0, len(c.prefixes))
	for _, p := range c.order {
		if _, ok := c.prefixes[p]; ok {
			kept = append(kept, p)
		}
	}
	c.order = kept
}

// copyIfShared copies the prefixes if a view shares them.
func (c *cache) copyIfShared() {
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
		c.shared = &Cache{Incomplete: c.incomplete, prefixes: c.prefixes}
	}
	return c.shared
}
