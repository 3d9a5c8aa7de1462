// Package ratelimit keeps the combined request rate of all instances within the limits that
// upstreams announce. Instances exchange the announced limits (Tracker). One member of the control
// group allocates the tokens for single requests (Allocator), which instances hold for a short time
// (TokenStore). The package does no I/O.
package ratelimit

import (
	"cmp"
	"slices"
	"time"

	"github.com/comfreyladder/comfreyladder/core/wire"
)

// Statement is the rate limit that an upstream announced in an answer. Times are transferred as
// ages, because the clocks of instances differ.
type Statement struct {
	wire.Array
	// Upstream is the log index at which the upstream's incarnation was registered.
	Upstream uint64
	// PerSecond is the number of requests per second that it accepts from all instances together;
	// zero means that it announced no limit.
	PerSecond float64
	// SentMS is the age of the request in milliseconds, HeardMS that of its answer.
	SentMS, HeardMS int64
}

// limit is the known limit of one upstream.
type limit struct {
	perSecond float64
	// answeredAt is the arrival time of the latest answer that announced the limit.
	answeredAt time.Time
	// endedAt is the send time of the request whose answer showed that the limit ended; zero while
	// the limit is in force.
	endedAt time.Time
}

// Tracker holds the rate limits that upstreams announce. Answers may overtake each other, and it is
// unknown how long before its arrival an answer was made. A limit therefore ends only with an answer
// without a limit to a request that was sent after the limit was last announced. It is not safe for
// concurrent use.
type Tracker struct{ limits map[uint64]*limit }

// NewTracker returns a tracker without limits.
func NewTracker() *Tracker { return &Tracker{limits: map[uint64]*limit{}} }

// Record records an answer with the times of its request and its arrival, and reports whether it
// changed the limit in force.
func (b *Tracker) Record(upstream uint64, perSecond float64, sent, heard time.Time) bool {
	before, _ := b.Limit(upstream)
	if perSecond > 0 {
		b.recordLimit(upstream, perSecond, sent, heard)
	} else {
		b.recordEnd(upstream, sent)
	}
	after, _ := b.Limit(upstream)
	return before != after
}

func (b *Tracker) recordLimit(upstream uint64, perSecond float64, sent, heard time.Time) {
	l := b.limits[upstream]
	switch {
	case l == nil:
		b.limits[upstream] = &limit{perSecond: perSecond, answeredAt: heard}
	case !l.endedAt.IsZero():
		if heard.After(l.endedAt) {
			*l = limit{perSecond: perSecond, answeredAt: heard}
		}
	case !sent.Before(l.answeredAt):
		*l = limit{perSecond: perSecond, answeredAt: heard}
	case heard.After(l.answeredAt):
		// The order of the two answers is unknown, so the lower limit applies.
		l.perSecond, l.answeredAt = min(perSecond, l.perSecond), heard
	}
}

func (b *Tracker) recordEnd(upstream uint64, sent time.Time) {
	if l := b.limits[upstream]; l != nil && l.endedAt.Before(sent) && !sent.Before(l.answeredAt) {
		l.endedAt = sent
	}
}

// Limit returns the limit of an upstream, if there is one.
func (b *Tracker) Limit(upstream uint64) (perSecond float64, limited bool) {
	l := b.limits[upstream]
	if l == nil || !l.endedAt.IsZero() {
		return 0, false
	}
	return l.perSecond, true
}

// Empty reports whether neither a limit nor the end of one is recorded.
func (b *Tracker) Empty() bool { return len(b.limits) == 0 }

// Limited returns the upstreams with a limit, in ascending order.
func (b *Tracker) Limited() (list []uint64) {
	for upstream, l := range b.limits {
		if l.endedAt.IsZero() {
			list = append(list, upstream)
		}
	}
	slices.Sort(list)
	return list
}

// endRetention is how long the end of a limit is reported to other instances.
const endRetention = 10 * time.Second

// Prune removes upstreams that no longer exist, and ends of limits older than endRetention.
func (b *Tracker) Prune(now time.Time, exists func(upstream uint64) bool) {
	for upstream, l := range b.limits {
		if !exists(upstream) || !l.endedAt.IsZero() && now.Sub(l.endedAt) > endRetention {
			delete(b.limits, upstream)
		}
	}
}

// Statements returns the recorded limits and ends, to be sent to other instances.
func (b *Tracker) Statements(now time.Time) []Statement {
	list := make([]Statement, 0, len(b.limits))
	for upstream, l := range b.limits {
		s := Statement{Upstream: upstream, PerSecond: l.perSecond, SentMS: now.Sub(l.answeredAt).Milliseconds(), HeardMS: now.Sub(l.answeredAt).Milliseconds()}
		if !l.endedAt.IsZero() {
			s.PerSecond, s.SentMS, s.HeardMS = 0, now.Sub(l.endedAt).Milliseconds(), now.Sub(l.endedAt).Milliseconds()
		}
		list = append(list, s)
	}
	slices.SortFunc(list, func(a, b Statement) int { return cmp.Compare(a.Upstream, b.Upstream) })
	return list
}

// echoTolerance is the age difference within which a received statement is taken for the tracker's
// own one: it has come back with the transfer time added.
const echoTolerance = 250 * time.Millisecond

// Merge records the statements of another tracker. The end of an unknown limit has no effect.
func (b *Tracker) Merge(now time.Time, list []Statement) {
	for i := range list {
		s := &list[i]
		ago := func(ms int64) time.Time { return now.Add(-time.Duration(ms) * time.Millisecond) }
		if l := b.limits[s.Upstream]; l != nil && l.endedAt.IsZero() && s.PerSecond == l.perSecond && ago(s.HeardMS).Sub(l.answeredAt) < echoTolerance {
			continue
		}
		b.Record(s.Upstream, s.PerSecond, ago(s.SentMS), ago(s.HeardMS))
	}
}
