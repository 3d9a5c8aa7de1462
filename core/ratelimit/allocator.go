package ratelimit

import (
	"cmp"
	"slices"
	"time"

	"github.com/comfreyladder/comfreyladder/core/wire"
)

// TokenLifetime is how long a token may be used, counted from the time it was requested.
const TokenLifetime = time.Second

// Demand is the number of requests that an instance wants to send to an upstream.
type Demand struct {
	wire.Array
	Upstream uint64
	Count    int
	// Urgency is the rank of the most urgent of these requests; 0 is the most urgent.
	Urgency int
}

// Grant is a number of tokens for an upstream.
type Grant struct {
	wire.Array
	Upstream uint64
	Count    int
}

// TokenRequest holds the unmet demand of one instance and the tokens granted to it.
type TokenRequest struct {
	Demands []Demand
	Grants  []Grant
}

// grant moves one token from the demand to the grants.
func (a *TokenRequest) grant(w *Demand) {
	w.Count--
	for i := range a.Grants {
		if a.Grants[i].Upstream == w.Upstream {
			a.Grants[i].Count++
			return
		}
	}
	a.Grants = append(a.Grants, Grant{Upstream: w.Upstream, Count: 1})
}

// Unmet reports whether any demand is left.
func (a *TokenRequest) Unmet() bool {
	return slices.ContainsFunc(a.Demands, func(w Demand) bool { return w.Count > 0 })
}

// bucket is the token bucket of one upstream.
type bucket struct {
	perSecond, tokens float64
	filledAt          time.Time
	// demandedAt is when a token was last demanded.
	demandedAt time.Time
}

// burst returns the capacity of a bucket. With TokenLifetime, an upstream receives in any four
// seconds at most the requests of five and a half seconds, plus one.
func burst(perSecond float64) float64 { return 1 + perSecond/2 }

func (b *bucket) fill(now time.Time, perSecond, capacity float64) {
	b.tokens += b.perSecond * now.Sub(b.filledAt).Seconds()
	b.perSecond, b.filledAt = perSecond, now
	b.tokens = min(b.tokens, capacity)
}

// Allocator allocates the tokens of all instances. Only one may be active at a time, and a successor
// must wait for TokenLifetime before it starts. It is not safe for concurrent use.
type Allocator struct{ buckets map[uint64]*bucket }

// NewAllocator returns an allocator whose buckets are empty.
func NewAllocator() *Allocator { return &Allocator{buckets: map[uint64]*bucket{}} }

// Limits returns the limits that upstreams announce.
type Limits interface {
	Limit(upstream uint64) (perSecond float64, limited bool)
}

// Bursts is implemented by Limits that set the capacity of the buckets themselves. They may have a limit
// for each upstream that exists, so buckets without demand for bucketRetention are dropped.
type Bursts interface {
	Burst(upstream uint64) float64
}

const bucketRetention = 10 * time.Second

// unused reports whether the bucket is to be dropped. The next one of the upstream starts empty.
func (b *bucket) unused(now time.Time, limits Limits) bool {
	_, ok := limits.(Bursts)
	return ok && now.Sub(b.demandedAt) > bucketRetention
}

// capacity returns the capacity of the bucket of an upstream.
func capacity(limits Limits, upstream uint64, perSecond float64) float64 {
	if b, ok := limits.(Bursts); ok {
		return b.Burst(upstream)
	}
	return burst(perSecond)
}

// fill refills the buckets, removes those of upstreams without a limit and adds those of upstreams
// that are demanded for the first time.
func (h *Allocator) fill(now time.Time, limits Limits, requests []*TokenRequest) {
	for upstream, b := range h.buckets {
		if perSecond, limited := limits.Limit(upstream); limited && !b.unused(now, limits) {
			b.fill(now, perSecond, capacity(limits, upstream, perSecond))
			continue
		}
		delete(h.buckets, upstream)
	}
	for _, a := range requests {
		for i := range a.Demands {
			upstream := a.Demands[i].Upstream
			perSecond, limited := limits.Limit(upstream)
			if limited && h.buckets[upstream] == nil {
				h.buckets[upstream] = &bucket{perSecond: perSecond, filledAt: now}
			}
			if b := h.buckets[upstream]; b != nil {
				b.demandedAt = now
			}
		}
	}
}

// Allocate grants the available tokens, the most urgent demand first, and round robin, the oldest
// request first, among equally urgent demand. Demand for upstreams without a limit gets no tokens
// because it needs none.
func (h *Allocator) Allocate(now time.Time, limits Limits, requests []*TokenRequest) {
	h.fill(now, limits, requests)
	type entry struct {
		request *TokenRequest
		demand  *Demand
	}
	var entries []entry
	for _, a := range requests {
		for i := range a.Demands {
			entries = append(entries, entry{a, &a.Demands[i]})
		}
	}
	slices.SortStableFunc(entries, func(a, b entry) int { return cmp.Compare(a.demand.Urgency, b.demand.Urgency) })
	for begin := 0; begin < len(entries); {
		end := begin
		for end < len(entries) && entries[end].demand.Urgency == entries[begin].demand.Urgency {
			end++
		}
		for served := true; served; {
			served = false
			for _, p := range entries[begin:end] {
				if b := h.buckets[p.demand.Upstream]; b != nil && b.tokens >= 1 && p.demand.Count > 0 {
					b.tokens--
					p.request.grant(p.demand)
					served = true
				}
			}
		}
		begin = end
	}
}
