package ratelimit

import (
	"cmp"
	"slices"
	"time"
)

// maxWanted bounds what is wanted of one upstream at a time.
const maxWanted = 32

// TokenStore holds, at one instance, the rights to send requests, and what is wanted. It is not
// safe for concurrent use.
type TokenStore struct {
	// tokens are the times until which each right may be used, in order.
	tokens map[uint64][]time.Time
	wants  map[uint64]*Demand
}

// NewTokenStore returns an empty wallet.
func NewTokenStore() *TokenStore { return &TokenStore{tokens: map[uint64][]time.Time{}, wants: map[uint64]*Demand{}} }

// Add takes in rights that were asked for at a time.
func (w *TokenStore) Add(asked time.Time, grants []Grant) {
	for _, g := range grants {
		for range g.Count {
			w.tokens[g.Upstream] = append(w.tokens[g.Upstream], asked.Add(TokenLifetime))
		}
		slices.SortFunc(w.tokens[g.Upstream], time.Time.Compare)
	}
}

// Available reports whether a request may be sent to an upstream now.
func (w *TokenStore) Available(now time.Time, upstream uint64) bool {
	list := w.tokens[upstream]
	for len(list) > 0 && !now.Before(list[0]) {
		list = list[1:]
	}
	if len(list) == 0 {
		delete(w.tokens, upstream)
		return false
	}
	w.tokens[upstream] = list
	return true
}

// Use uses a right, the one that ends first, and reports whether there was one.
func (w *TokenStore) Use(now time.Time, upstream uint64) bool {
	if !w.Available(now, upstream) {
		return false
	}
	w.tokens[upstream] = w.tokens[upstream][1:]
	return true
}

// AddDemand notes that a request would go to an upstream.
func (w *TokenStore) AddDemand(upstream uint64, urgency int) {
	want := w.wants[upstream]
	if want == nil {
		want = &Demand{Upstream: upstream, Urgency: urgency}
		w.wants[upstream] = want
	}
	want.Count = min(maxWanted, want.Count+1)
	want.Urgency = min(want.Urgency, urgency)
}

// DrainDemands returns what was wanted since the last call, in order.
func (w *TokenStore) DrainDemands() []Demand {
	list := make([]Demand, 0, len(w.wants))
	for _, want := range w.wants {
		list = append(list, *want)
	}
	clear(w.wants)
	slices.SortFunc(list, func(a, b Demand) int { return cmp.Compare(a.Upstream, b.Upstream) })
	return list
}

// HasDemand reports whether anything is wanted.
func (w *TokenStore) HasDemand() bool { return len(w.wants) > 0 }
