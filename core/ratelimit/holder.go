package ratelimit

import (
	"cmp"
	"slices"
	"time"

	"github.com/comfreyladder/comfreyladder/core/wire"
)

// TokenLifetime is for how long the right to send a request may be used after it was asked for.
const TokenLifetime = time.Second

// Demand asks for the right to send requests to an upstream.
type Demand struct {
	wire.Array
	Upstream uint64
	Count    int
	// Urgency is the rank of the most urgent of them, 0 being first.
	Urgency int
}

// Grant is the right to send so many requests to an upstream.
type Grant struct {
	wire.Array
	Upstream uint64
	Count    int
}

// TokenRequest is what one instance wants, and what it has got.
type TokenRequest struct {
	Demands  []Demand
	Grants []Grant
}

// grant moves one token from what is wanted to what is granted.
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

// Unmet reports whether anything is still wanted.
func (a *TokenRequest) Unmet() bool {
	return slices.ContainsFunc(a.Demands, func(w Demand) bool { return w.Count > 0 })
}

// bucket is what may be sent to one upstream.
type bucket struct {
	perSecond, tokens float64
	at                time.Time
}

// burst bounds what is saved up. With TokenLife a window of four seconds gets at most the
// requests of five and a half, and one.
func burst(perSecond float64) float64 { return 1 + perSecond/2 }

func (b *bucket) fill(now time.Time, perSecond float64) {
	b.tokens += b.perSecond * now.Sub(b.at).Seconds()
	b.perSecond, b.at = perSecond, now
	b.tokens = min(b.tokens, burst(perSecond))
}

// Allocator hands out what all instances together may send. Only one may do so at a time, and a
// successor must wait for TokenLife before it begins. It is not safe for concurrent use.
type Allocator struct{ buckets map[uint64]*bucket }

// NewAllocator returns a holder that has nothing to hand out yet.
func NewAllocator() *Allocator { return &Allocator{buckets: map[uint64]*bucket{}} }

// Limits tells the limits that upstreams name.
type Limits interface {
	Limit(upstream uint64) (perSecond float64, limited bool)
}

// Fill lets the rights of the upstreams that are asked for accrue.
func (h *Allocator) fill(now time.Time, limits Limits, asks []*TokenRequest) {
	for upstream, b := range h.buckets {
		if perSecond, limited := limits.Limit(upstream); limited {
			b.fill(now, perSecond)
			continue
		}
		delete(h.buckets, upstream)
	}
	for _, a := range asks {
		for i := range a.Demands {
			upstream := a.Demands[i].Upstream
			perSecond, limited := limits.Limit(upstream)
			if limited && h.buckets[upstream] == nil {
				h.buckets[upstream] = &bucket{perSecond: perSecond, at: now}
			}
		}
	}
}

// Allocate hands out what there is, to the most urgent wants first and among equally urgent ones
// to each in turn, the oldest first. Wants of upstreams without a limit get nothing: they need
// nothing.
func (h *Allocator) Allocate(now time.Time, limits Limits, asks []*TokenRequest) {
	h.fill(now, limits, asks)
	type place struct {
		ask  *TokenRequest
		want *Demand
	}
	var places []place
	for _, a := range asks {
		for i := range a.Demands {
			places = append(places, place{a, &a.Demands[i]})
		}
	}
	slices.SortStableFunc(places, func(a, b place) int { return cmp.Compare(a.want.Urgency, b.want.Urgency) })
	for begin := 0; begin < len(places); {
		end := begin
		for end < len(places) && places[end].want.Urgency == places[begin].want.Urgency {
			end++
		}
		for served := true; served; {
			served = false
			for _, p := range places[begin:end] {
				if b := h.buckets[p.want.Upstream]; b != nil && b.tokens >= 1 && p.want.Count > 0 {
					b.tokens--
					p.ask.grant(p.want)
					served = true
				}
			}
		}
		begin = end
	}
}
