package quarantine

import (
	"time"

	"github.com/comfreyladder/comfreyladder/core/wire"
)

// Report is an instance's report on crashes. Times are given as ages, since the clocks of
// instances differ.
type Report struct {
	Crashes []Crash `codec:"c,omitempty"`
	// Succeeded lists suspected or quarantined requests that an upstream has completed.
	Succeeded []Success `codec:"s,omitempty"`
	// Alive lists upstreams that were reported as crashed and have answered since.
	Alive []uint64 `codec:"a,omitempty"`
	// Served lists suspected or quarantined parts of prompts of which an upstream has written an answer.
	Served []Success `codec:"p,omitempty"`
}

// Empty reports whether the report has no content.
func (r *Report) Empty() bool { return len(r.Crashes)+len(r.Succeeded)+len(r.Alive)+len(r.Served) == 0 }

// Success is a request that an upstream has completed, or a part of one that it has answered.
type Success struct {
	wire.Array
	Fingerprint Fingerprint
	// AgeMS is how long ago it ended, in milliseconds.
	AgeMS int64
}

// Crash is the end of one incarnation of an upstream without a leave.
type Crash struct {
	wire.Array
	// Upstream is the log index at which the incarnation was first recorded, by which all
	// instances identify it.
	Upstream uint64
	// AgeMS is how long ago it crashed, in milliseconds.
	AgeMS    int64
	UnderWay []Attempt
}

// Attempt is a request that was in flight at an upstream when it crashed.
type Attempt struct {
	wire.Array
	Fingerprint Fingerprint
	// RanMS is the time between sending the request and the crash, in milliseconds.
	RanMS int64
	// Organisation is the caller's, empty for an anonymous caller, and Target the target of the
	// request, truncated to maxTarget.
	Organisation, Target string
	// Parts are the fingerprints of the shared parts of its prompt, in their order; none if the
	// upstream had been answering it for AnsweringTime.
	Parts []Fingerprint
	// Succeeded means that a request of the same content has recently succeeded, so that only the parts
	// are evidence.
	Succeeded bool
}

// AnsweringTime is for how long an upstream must write the answer to a request until no part of its
// prompt is taken to crash upstreams: one that does crashes them as they begin to write.
const AnsweringTime = 500 * time.Millisecond

// maxTarget bounds reported targets, in bytes.
const maxTarget = 96

// NewAttempt returns an Attempt of a request that was sent a duration ran before the crash.
func NewAttempt(f Fingerprint, ran time.Duration, organisation, target string) Attempt {
	return Attempt{Fingerprint: f, RanMS: ran.Milliseconds(), Organisation: organisation, Target: target[:min(len(target), maxTarget)]}
}

// ApplyReport applies a report that was received at a time.
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
	for _, s := range r.Served {
		l.RecordServed(s.Fingerprint, ago(s.AgeMS))
	}
	l.Forget(now)
}
