// Package reach decides whether this instance is cut off from all upstreams while other instances
// still reach them. It does no I/O; the time is passed in.
//
// An upstream is reached if bytes of an answer come back; a made connection proves nothing, as a
// device on the way may have made it. A failure says nothing by itself either: the upstream may be
// gone. So a failed connect, requests that are lost at several upstreams in a row, or silence of all
// connections on which responses are awaited, call for a check: several upstreams are asked for an
// answer. If none gives one but answers another instance, the cause is the links of this instance.
package reach

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// Quiet is for how long nothing may arrive from any upstream, while responses are awaited, before
	// a check is due.
	Quiet = 500 * time.Millisecond
	// MaxQuiet bounds that time, which doubles with each check that finds nothing wrong.
	MaxQuiet = 8 * time.Second
	// Freshness is how long the result of a check holds: a burst of failures needs one check.
	Freshness = 300 * time.Millisecond
	// Recheck is the time between two tries of an instance that is cut off.
	Recheck = 500 * time.Millisecond
)

// Requests that were lost on new connections call for a check if they were manyLost, or fewLost at
// different upstreams, and none got an answer meanwhile.
const (
	fewLost  = 3
	manyLost = 6
)

// maxDoublings is enough to reach MaxQuiet.
const maxDoublings = 4

// Target is an upstream to reach, directly or through another instance.
type Target struct {
	// Name identifies the upstream to other instances, and Address is its "ip:port".
	Name, Address string
}

// Result is what one check found.
type Result struct {
	// Reached and Failed count the upstreams that answered this instance and those that did not.
	Reached, Failed int
	// Withheld counts those that accepted a connection and were sent nothing as they have no room.
	Withheld int
	// Strained is set if only upstreams that are short of room answered or have accepted a connection.
	Strained bool
}

// Unreached reports whether no upstream answered, which has one of two causes: the links of this
// instance, or the end of all upstreams.
func (r Result) Unreached() bool { return r.Reached == 0 && r.Failed > 0 }

// Monitor holds what is known of the links of this instance. The zero value considers them sound. It
// is safe for concurrent use.
type Monitor struct {
	cutOff atomic.Bool
	// waiting counts the awaited responses. heardAt is when something last arrived, and awaitedAt when a
	// response began to be awaited while no other was, in nanoseconds of the Unix time.
	waiting, heardAt, awaitedAt atomic.Int64
	// provedAt is when the latest new connection on which an answer came was opened, in nanoseconds of the
	// Unix time.
	provedAt atomic.Int64
	// proofs counts the new connections on which an answer came.
	proofs atomic.Int64
	// asking is set while a check asks other instances.
	asking atomic.Bool
	// troubled is set while lost requests or an unreached result are held.
	troubled atomic.Bool

	mu sync.Mutex
	// lost names the upstreams of the requests that were lost in a row.
	lost      []string
	last      Result
	checkedAt time.Time
	// calmChecks counts the checks for silence that found nothing wrong since something arrived.
	calmChecks int
	calmSince  int64
}

// CutOff reports whether this instance is known to be cut off from all upstreams.
func (m *Monitor) CutOff() bool { return m.cutOff.Load() }

// Ask records that a check asks other instances, as no upstream has answered this one so far.
func (m *Monitor) Ask() { m.asking.Store(true) }

// Doubtful reports whether this instance is cut off, or may be: the last check reached no upstream, or
// the running one has reached none so far.
func (m *Monitor) Doubtful() bool {
	if m.CutOff() || m.asking.Load() {
		return true
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.last.Unreached()
}

// Await records that a response is awaited, and Done that it no longer is.
func (m *Monitor) Await(now time.Time) {
	if m.waiting.Add(1) == 1 {
		m.awaitedAt.Store(now.UnixNano())
	}
}

// Done is the opposite of Await.
func (m *Monitor) Done() { m.waiting.Add(-1) }

// Heard records that something arrived from an upstream.
func (m *Monitor) Heard(now time.Time) { m.heardAt.Store(now.UnixNano()) }

// HeardWithin reports whether something arrived from an upstream within a time.
func (m *Monitor) HeardWithin(now time.Time, span time.Duration) bool {
	return now.UnixNano()-m.heardAt.Load() < int64(span)
}

// Prove records that an answer came on a new connection, which was opened at a given time.
func (m *Monitor) Prove(opened time.Time) {
	m.provedAt.Store(opened.UnixNano())
	m.proofs.Add(1)
	if !m.troubled.Load() {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.CutOff() {
		m.settle()
	}
}

// Proofs returns on how many new connections an answer came so far.
func (m *Monitor) Proofs() int64 { return m.proofs.Load() }

// settle forgets lost requests and an unreached result. The caller holds mu.
func (m *Monitor) settle() {
	m.lost = m.lost[:0]
	if m.last.Unreached() {
		m.last = Result{Reached: 1}
	}
	m.troubled.Store(false)
}

// Lost records that a request was lost on a new connection before any answer came, and reports whether
// that calls for a check.
func (m *Monitor) Lost(upstream string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.troubled.Store(true)
	if len(m.lost) < manyLost {
		m.lost = append(m.lost, upstream)
	}
	different := slices.ContainsFunc(m.lost, func(name string) bool { return name != upstream })
	return len(m.lost) == manyLost || len(m.lost) >= fewLost && different
}

// SilenceLeft returns how long the silence may go on before a check is due, zero if one is due. It
// reports false if no response is awaited.
func (m *Monitor) SilenceLeft(now time.Time) (left time.Duration, awaited bool) {
	if m.waiting.Load() <= 0 {
		return 0, false
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	heard := max(m.heardAt.Load(), m.awaitedAt.Load())
	if heard != m.calmSince {
		m.calmChecks, m.calmSince = 0, heard
	}
	from := heard
	if m.calmChecks > 0 {
		from = max(from, m.checkedAt.UnixNano())
	}
	tolerated := min(MaxQuiet, Quiet<<min(m.calmChecks, maxDoublings))
	return max(0, time.Duration(from-now.UnixNano())+tolerated), true
}

// strainedSpan is for how long the answer of upstreams that are short of room holds, for each instance that
// may check them, and checkSpan the same for others, for each instance and by upstream: all instances together
// stay under one check a second for an upstream.
const strainedSpan, checkSpan = 2 * time.Second, time.Second

// An instance that has heard nothing from any upstream for unheard makes a check after maxUnheardSpan in any
// case: behind a cut that refuses connections nothing else would show it.
const unheard, maxUnheardSpan = time.Second, 2 * time.Second

// Spares reports whether a check after a failed connect or for a tunnel is left out, as the last one that
// reached an upstream was not long ago, given how many instances check how many upstreams.
func (m *Monitor) Spares(now time.Time, instances, upstreams int) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	span := checkSpan * time.Duration(instances) / time.Duration(max(1, upstreams))
	switch {
	case m.last.Strained:
		span = strainedSpan * time.Duration(instances)
	case !m.HeardWithin(now, unheard):
		span = min(span, maxUnheardSpan)
	}
	return m.last.Reached > 0 && !m.checkedAt.IsZero() && now.Sub(m.checkedAt) < span
}

// Proved reports whether an answer came on a connection that was opened after a given time. That is as good as
// a check for a connect that failed then; an older connection says nothing of a cut since.
func (m *Monitor) Proved(since time.Time) bool {
	return !m.CutOff() && m.provedAt.Load() > since.UnixNano()
}

// Fresh returns the result of the last check if it still holds.
func (m *Monitor) Fresh(now time.Time) (Result, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.last, !m.checkedAt.IsZero() && now.Sub(m.checkedAt) < Freshness
}

// Checked records the result of a check and reports whether it ended a cut.
func (m *Monitor) Checked(now time.Time, r Result) (healed bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.last, m.checkedAt = r, now
	m.asking.Store(false)
	if r.Reached == 0 {
		m.troubled.Store(true)
		return false
	}
	m.settle()
	m.calmChecks++
	return m.cutOff.Swap(false)
}

// ReachedByOther records that an upstream answers another instance. If the last check found none, the
// links of this instance are the cause; it reports whether that was not known before.
func (m *Monitor) ReachedByOther() (cutOff bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.last.Unreached() && !m.cutOff.Swap(true)
}
