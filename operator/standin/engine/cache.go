package engine

import (
	"container/list"
	"slices"
	"time"

	"github.com/comfreyladder/comfreyladder/core/announce"
)

// prefixCache keeps the prompt prefixes used last, within a bound of tokens. It
// numbers its changes; publish hands them out late and with gaps.
type prefixCache struct {
	limit   int
	used    int
	recent  *list.List // of *cached, the last used in front
	entries map[uint64]*list.Element
	number  uint64
	pending []pendingEvent
}

type cached struct {
	hash   uint64
	tokens int
}

type pendingEvent struct {
	at    time.Time
	event announce.CacheEvent
}

func newPrefixCache(limit int) *prefixCache {
	return &prefixCache{limit: limit, recent: list.New(), entries: map[uint64]*list.Element{}}
}

// hit returns how many prompt tokens the longest cached prefix covers.
func (c *prefixCache) hit(blocks []block) int {
	sum, found := 0, 0
	for _, p := range blocks {
		sum += p.tokens
		el, ok := c.entries[p.hash]
		if !ok {
			break
		}
		c.recent.MoveToFront(el)
		found = sum
	}
	return found
}

// store goes from the end of the prompt to its start, so that the end, which
// is of no use without the start, is dropped first.
func (c *prefixCache) store(blocks []block, now time.Time) {
	for _, p := range slices.Backward(blocks) {
		if el, ok := c.entries[p.hash]; ok {
			c.recent.MoveToFront(el)
			continue
		}
		c.entries[p.hash] = c.recent.PushFront(&cached{hash: p.hash, tokens: p.tokens})
		c.used += p.tokens
		c.record(p.hash, false, now)
	}
	for c.used > c.limit && c.recent.Len() > 0 {
		el := c.recent.Back()
		v := c.recent.Remove(el).(*cached)
		delete(c.entries, v.hash)
		c.used -= v.tokens
		c.record(v.hash, true, now)
	}
}

func (c *prefixCache) record(hash uint64, dropped bool, now time.Time) {
	c.number++
	c.pending = append(c.pending, pendingEvent{at: now, event: announce.CacheEvent{Number: c.number, Prefix: hash, Dropped: dropped}})
}

// publish returns the events up to a time, except those that lose says are lost.
func (c *prefixCache) publish(until time.Time, lose func() bool) []announce.CacheEvent {
	var out []announce.CacheEvent
	taken := 0
	for _, p := range c.pending {
		if p.at.After(until) || len(out) == announce.MaxCacheEvents {
			break
		}
		taken++
		if !lose() {
			out = append(out, p.event)
		}
	}
	c.pending = append([]pendingEvent(nil), c.pending[taken:]...)
	return out
}
