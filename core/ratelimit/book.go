// Package ratelimit keeps the requests of all instances together within the rates that
// upstreams name. Instances tell each other what upstreams named (Book); one member of the
// control group hands out the right to send single requests (Holder), which instances hold for
// a moment (Wallet). It does no I/O.
package ratelimit

import (
	"cmp"
	"slices"
	"time"

	"github.com/comfreyladder/comfreyladder/core/wire"
)

// Statement is what an answer of an upstream said of its limit. Times are told as ages, since
// the clocks of instances differ.
type Statement struct {
	wire.Array
	// Upstream is the log index at which the incarnation was first heard of.
	Upstream uint64
	// PerSecond is how many requests a second it takes from all instances together; zero means
	// that it named none.
	PerSecond float64
	// SentMS is how long ago the request was sent, HeardMS how long ago its answer came.
	SentMS, HeardMS int64
}

// limit is what is known of one upstream.
type limit struct {
	perSecond float64
	// heard is when the latest answer came that named it.
	heard time.Time
	// ended is when the request was sent whose answer showed that it is over; zero while it
	// is not.
	ended time.Time
}

// Tracker holds the limits that upstreams name. Answers overtake each other, and an answer is
// older than its arrival by an unknown part of its way; so a limit is over only when an answer
// names none to a request that was sent after the limit was last heard. It is not safe for
// concurrent use.
type Tracker struct{ limits map[uint64]*limit }

// NewTracker returns an empty book.
func NewTracker() *Tracker { return &Tracker{limits: map[uint64]*limit{}} }

// Record takes in an answer to a request that was sent and answered at two times, and reports
// whether the limit in force has changed by it.
func (b *Tracker) Record(upstream uint64, perSecond float64, sent, heard time.Time) bool {
	before, _ := b.Limit(upstream)
	if perSecond > 0 {
		b.name(upstream, perSecond, sent, heard)
	} else {
		b.end(upstream, sent)
	}
	after, _ := b.Limit(upstream)
	return before != after
}

func (b *Tracker) name(upstream uint64, perSecond float64, sent, heard time.Time) {
	l := b.limits[upstream]
	switch {
	case l == nil:
		b.limits[upstream] = &limit{perSecond: perSecond, heard: heard}
	case !l.ended.IsZero():
		if heard.After(l.ended) {
			*l = limit{perSecond: perSecond, heard: heard}
		}
	case !sent.Before(l.heard):
		*l = limit{perSecond: perSecond, heard: heard}
	case heard.After(l.heard):
		// Which of the two answers is newer can't be told.
		l.perSecond, l.heard = min(perSecond, l.perSecond), heard
	}
}

func (b *Tracker) end(upstream uint64, sent time.Time) {
	if l := b.limits[upstream]; l != nil && l.ended.Before(sent) && !sent.Before(l.heard) {
		l.ended = sent
	}
}

// Limit returns the limit of an upstream, if it names one.
func (b *Tracker) Limit(upstream uint64) (perSecond float64, limited bool) {
	l := b.limits[upstream]
	if l == nil || !l.ended.IsZero() {
		return 0, false
	}
	return l.perSecond, true
}

// Empty reports whether no limit is known, nor the end of one.
func (b *Tracker) Empty() bool { return len(b.limits) == 0 }

// Limited returns the upstreams that name a limit, in order.
func (b *Tracker) Limited() (list []uint64) {
	for upstream, l := range b.limits {
		if l.ended.IsZero() {
			list = append(list, upstream)
		}
	}
	slices.Sort(list)
	return list
}

// endedMemory is for how long the end of a limit is told to others.
const endedMemory = 10 * time.Second

// Prune forgets upstreams that are gone, and ends that all have heard of.
func (b *Tracker) Prune(now time.Time, there func(upstream uint64) bool) {
	for upstream, l := range b.limits {
		if !there(upstream) || !l.ended.IsZero() && now.Sub(l.ended) > endedMemory {
			delete(b.limits, upstream)
		}
	}
}

// Statements returns what the book holds, for others.
func (b *Tracker) Statements(now time.Time) []Statement {
	list := make([]Statement, 0, len(b.limits))
	for upstream, l := range b.limits {
		s := Statement{Upstream: upstream, PerSecond: l.perSecond, SentMS: now.Sub(l.heard).Milliseconds(), HeardMS: now.Sub(l.heard).Milliseconds()}
		if !l.ended.IsZero() {
			s.PerSecond, s.SentMS, s.HeardMS = 0, now.Sub(l.ended).Milliseconds(), now.Sub(l.ended).Milliseconds()
		}
		list = append(list, s)
	}
	slices.SortFunc(list, func(a, b Statement) int { return cmp.Compare(a.Upstream, b.Upstream) })
	return list
}

// echo is within what time a statement of another book is the same as the own one: it has
// come back with what its way took.
const echo = 250 * time.Millisecond

// Merge takes in what another book holds. An end of a limit that is not known says nothing.
func (b *Tracker) Merge(now time.Time, list []Statement) {
	for i := range list {
		s := &list[i]
		ago := func(ms int64) time.Time { return now.Add(-time.Duration(ms) * time.Millisecond) }
		if l := b.limits[s.Upstream]; l != nil && l.ended.IsZero() && s.PerSecond == l.perSecond && ago(s.HeardMS).Sub(l.heard) < echo {
			continue
		}
		b.Record(s.Upstream, s.PerSecond, ago(s.SentMS), ago(s.HeardMS))
	}
}
