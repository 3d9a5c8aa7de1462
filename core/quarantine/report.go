package quarantine

import (
	"time"

	"github.com/comfreyladder/comfreyladder/core/wire"
)

// Report is what an instance tells of crashes. Times are told as ages, since the clocks of
// instances differ.
type Report struct {
	Crashes []Crash `codec:"c,omitempty"`
	// Succeeded are suspected or quarantined requests that an upstream ran to their end.
	Succeeded []Success `codec:"s,omitempty"`
	// Alive are upstreams that were told to have crashed and have answered since.
	Alive []uint64 `codec:"a,omitempty"`
}

// Empty reports whether the report says nothing.
func (r *Report) Empty() bool { return len(r.Crashes)+len(r.Succeeded)+len(r.Alive) == 0 }

// Success is a request that an upstream ran to its end.
type Success struct {
	wire.Array
	Fingerprint Fingerprint
	// AgeMS is how long ago it ended, in milliseconds.
	AgeMS int64
}

// Crash is the end of one incarnation of an upstream without a leave.
type Crash struct {
	wire.Array
	// Upstream is the log index at which the incarnation was first heard of: all instances
	// name it by that.
	Upstream uint64
	// AgeMS is how long ago it crashed, in milliseconds.
	AgeMS    int64
	UnderWay []Attempt
}

// Attempt is a request that was under way at an upstream when it crashed.
type Attempt struct {
	wire.Array
	Fingerprint Fingerprint
	// RanMS is for how long before the crash it had been there, in milliseconds.
	RanMS int64
	// Organisation is whose request it is, empty for an anonymous caller, and Target where it
	// went, cut to maxTarget.
	Organisation, Target string
}

// maxTarget bounds the targets that are told and remembered, in bytes.
const maxTarget = 96

// NewAttempt returns an attempt that had been at its upstream for a while.
func NewAttempt(f Fingerprint, ran time.Duration, organisation, target string) Attempt {
	return Attempt{Fingerprint: f, RanMS: ran.Milliseconds(), Organisation: organisation, Target: target[:min(len(target), maxTarget)]}
}

// ApplyReport takes in a report that came at a time.
func (l *Ledger) ApplyReport(now time.Time, r *Report) {
	for _, upstream := range r.Alive {
		l.RetractCrash(upstream)
	}
	ago := func(ms int64) time.Time { return now.Add(-time.Duration(ms) * time.Millisecond) }
	for i := range r.Crashes {
		c := &r.Crashes[i]
		l.RecordCrash(c.Upstream, ago(c.AgeMS), c.UnderWay)
	}
	for _, s := range r.Succeeded {
		l.RecordSuccess(s.Fingerprint, ago(s.AgeMS))
	}
	l.Forget(now)
}
