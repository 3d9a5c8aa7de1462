package ratelimit

import (
	"cmp"
	"slices"
	"time"
)

// maxDemandCount bounds the pending demand for one upstream.
const maxDemandCount = 32

// TokenStore holds the tokens of one instance and its pending demand. It is not safe for concurrent
// use.
type TokenStore struct {
	// expiries holds the expiry time of each token by upstream, in ascending order.
	expiries map[uint64][]time.Time
	demands  map[uint64]*Demand
	lifetime time.Duration
}

// NewTokenStore returns an empty store of tokens that last for TokenLifetime.
func NewTokenStore() *TokenStore { return NewTokenStoreFor(TokenLifetime) }

// NewTokenStoreFor returns an empty store of tokens with a lifetime of their own, which must not
// exceed TokenLifetime: a new leader waits for that long before it grants any.
func NewTokenStoreFor(lifetime time.Duration) *TokenStore {
	return &TokenStore{expiries: map[uint64][]time.Time{}, demands: map[uint64]*Demand{}, lifetime: min(lifetime, TokenLifetime)}
}

// Add stores tokens that were requested at the given time.
func (w *TokenStore) Add(requested time.Time, grants []Grant) {
	for _, g := range grants {
		for range g.Count {
			w.expiries[g.Upstream] = append(w.expiries[g.Upstream], requested.Add(w.lifetime))
		}
		slices.SortFunc(w.expiries[g.Upstream], time.Time.Compare)
	}
}

// Available reports whether there is a token for the upstream.
func (w *TokenStore) Available(now time.Time, upstream uint64) bool {
	list := w.expiries[upstream]
	for len(list) > 0 && !now.Before(list[0]) {
		list = list[1:]
	}
	if len(list) == 0 {
		delete(w.expiries, upstream)
		return false
	}
	w.expiries[upstream] = list
	return true
}

// Use consumes the token that expires first, and reports whether there was one.
func (w *TokenStore) Use(now time.Time, upstream uint64) bool {
	_, ok := w.UseUntil(now, upstream)
	return ok
}

// UseUntil is Use and returns until when the request may be sent.
func (w *TokenStore) UseUntil(now time.Time, upstream uint64) (until time.Time, ok bool) {
	if !w.Available(now, upstream) {
		return time.Time{}, false
	}
	until = w.expiries[upstream][0]
	w.expiries[upstream] = w.expiries[upstream][1:]
	return until, true
}

// Return stores a token again that was not used. It keeps its expiry time.
func (w *TokenStore) Return(upstream uint64, until time.Time) {
	w.expiries[upstream] = append(w.expiries[upstream], until)
	slices.SortFunc(w.expiries[upstream], time.Time.Compare)
}

// AddDemand records that a request needs a token for the upstream.
func (w *TokenStore) AddDemand(upstream uint64, urgency int) {
	demand := w.demands[upstream]
	if demand == nil {
		demand = &Demand{Upstream: upstream, Urgency: urgency}
		w.demands[upstream] = demand
	}
	demand.Count = min(maxDemandCount, demand.Count+1)
	demand.Urgency = min(demand.Urgency, urgency)
}

// DrainDemands returns and clears the pending demand, ordered by upstream.
func (w *TokenStore) DrainDemands() []Demand {
	list := make([]Demand, 0, len(w.demands))
	for _, demand := range w.demands {
		list = append(list, *demand)
	}
	clear(w.demands)
	slices.SortFunc(list, func(a, b Demand) int { return cmp.Compare(a.Upstream, b.Upstream) })
	return list
}

// HasDemand reports whether there is pending demand.
func (w *TokenStore) HasDemand() bool { return len(w.demands) > 0 }
