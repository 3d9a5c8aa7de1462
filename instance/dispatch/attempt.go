package dispatch

import (
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/comfreyladder/comfreyladder/core/fault"
	"github.com/comfreyladder/comfreyladder/core/quarantine"
	"github.com/comfreyladder/comfreyladder/core/sched"
	"github.com/comfreyladder/comfreyladder/instance/telemetry"
	"github.com/comfreyladder/comfreyladder/instance/upstream"
	"github.com/comfreyladder/comfreyladder/instance/warmup"
)

// attempt is one attempt to run a request on one upstream, with its own request ID.
type attempt struct {
	d      *Dispatcher
	job    *Job
	ctx    context.Context
	number int
	id     string
	// excluded names upstreams that must not be used. reused means that the last of them
	// failed on a reused connection.
	excluded []string
	reused   bool
	hedge    bool
	// onGrant is called after the grant, cancel at the end; both may be nil.
	onGrant func()
	cancel  context.CancelFunc

	lease  Lease
	stream *upstream.Stream
	// permit permits the request to the engine while that is cold.
	permit warmup.Permit
	// passed is set once permit was checked.
	passed bool
	// sentAt is when the request was sent, firstEventAt when the first event came, zero before it.
	sentAt, firstEventAt time.Time
	// incarnation is that of the upstream, as Watch numbers it.
	incarnation uint64
	// answeringRecorded is set once the writing of the answer was recorded as a success.
	answeringRecorded bool
	queued            time.Duration
	resumes           int
	events            int
	tokens            int
	// removed means that the engine no longer keeps the request.
	removed bool
}

func (r *Run) newAttempt(ctx context.Context) *attempt {
	r.attempts++
	return &attempt{
		d: r.d, job: r.job, ctx: ctx, number: r.attempts, id: fmt.Sprintf("%s-%d", r.job.ID, r.attempts),
		excluded: r.excluded, reused: r.reused,
	}
}

// firstEvent waits for a grant, sends the request and returns the first event.
func (a *attempt) firstEvent() (Event, error) {
	if w := a.job.Watch; w != nil {
		if err := w.Screen(); err != nil {
			return Event{}, err
		}
	}
	if err := a.acquire(); err != nil {
		a.trace("no grant for attempt %d: %v", a.number, err)
		return Event{}, err
	}
	a.sentAt = time.Now()
	if err := a.open(); err != nil {
		return Event{}, err
	}
	return a.next()
}

func (a *attempt) acquire() error {
	from := time.Now()
	defer func() { a.queued = time.Since(from) }()
	t := a.job.Ticket
	unwanted := a.d.cfg.Client.Unwanted()
	t.ID, t.Excluded = a.id, slices.Concat(a.excluded, unwanted)
	lease, err := a.acquirePermitted(t)
	if err != nil && a.reused && !a.hedge && fault.CodeOf(err) == fault.Overloaded {
		// The last failure was on a reused connection and no other upstream is available.
		// The same upstream may work over a new connection, so it is no longer excluded.
		t.Excluded = slices.Concat(a.excluded[:len(a.excluded)-1], unwanted)
		lease, err = a.acquirePermitted(t)
	}
	if err != nil {
		return err
	}
	a.lease = lease
	if a.onGrant != nil {
		a.onGrant()
	}
	a.d.cfg.Telemetry.RecordAttempt(a.job.Class.Name, a.kind())
	g := lease.Grant()
	a.trace("attempt %d goes to %s: score %.2f of %d candidates, %d of %d slots, prefix cached %.0f%%, below floor %t",
		a.number, g.Upstream, g.Explain.Score, g.Explain.Candidates, g.Explain.InFlight, g.Explain.Slots, 100*g.Explain.CachedPrefix, g.Explain.BelowFloor)
	return nil
}

func (a *attempt) kind() telemetry.AttemptKind {
	switch {
	case a.hedge:
		return telemetry.AttemptHedge
	case a.number > 1:
		return telemetry.AttemptRetry
	}
	return telemetry.AttemptFirst
}

func (a *attempt) open() error {
	g := a.lease.Grant()
	body, err := a.job.Body(g.Priority)
	if err != nil {
		return err
	}
	if a.job.Watch != nil {
		a.incarnation = a.job.Watch.Sending(g.Upstream)
	}
	opts := []upstream.Option{upstream.Permit(a.permitted)}
	if a.number > 1 {
		opts = append(opts, upstream.Fresh())
	}
	s, err := a.d.cfg.Client.Generate(a.ctx, target(g), a.id, body, opts...)
	if err != nil {
		return err
	}
	a.stream = s
	return nil
}

// next returns the next event, resuming the stream if it broke.
func (a *attempt) next() (Event, error) {
	for {
		ev, err := a.stream.Next()
		if err == nil {
			a.recordProgress(ev)
			return Event{Data: ev.Data, Head: ev.Head, AttemptID: a.id}, nil
		}
		if !a.resume(err) {
			return Event{}, err
		}
	}
}

func (a *attempt) recordProgress(ev upstream.Event) {
	if a.events == 0 {
		a.firstEventAt = time.Now()
		a.lease.FirstToken()
		a.d.delays.observe(a.job.Class.Name, time.Since(a.sentAt))
		a.trace("first event from attempt %d", a.number)
	}
	a.events++
	a.tokens += ev.Head.Tokens
	a.lease.Progress(a.tokens)
	if a.job.Watch != nil && !a.answeringRecorded && a.isAnswering() {
		a.answeringRecorded = true
		a.job.Watch.Answered(false, a.firstEventAt)
	}
}

// isAnswering reports whether the upstream has been writing the answer for quarantine.AnsweringTime.
func (a *attempt) isAnswering() bool {
	return !a.firstEventAt.IsZero() && time.Since(a.firstEventAt) >= quarantine.AnsweringTime
}

func (a *attempt) upstream() string { return a.lease.Grant().Upstream }

// endFailed ends an attempt that failed with err. A failure on a reused connection before the first
// event is not attributed to the upstream, nor is an attempt that was not made because the upstream
// asks for no requests or the request is no longer permitted, or that the links of this instance may
// have broken.
func (a *attempt) endFailed(err error) {
	cause := telemetry.CauseStreamBroken
	if a.removed {
		cause = telemetry.CausePreempted
	}
	a.recordWaste(cause)
	if a.stream != nil {
		a.stream.CancelUnread()
	}
	if a.job.Watch != nil && upstream.EvidenceOf(err) == upstream.Unknown && !upstream.PartitionedIn(err) {
		a.job.Watch.Lost(a.incarnation, a.lease.Grant().Address, a.sentAt, a.isAnswering())
	}
	a.returnPermit(err)
	unmade := upstream.UnwantedIn(err) || upstream.WithheldIn(err)
	blamed := (a.events > 0 || !upstream.ReusedIn(err) && !unmade) && !upstream.PartitionedIn(err)
	a.end(sched.Outcome{Tokens: a.tokens, Failed: blamed, Unused: upstream.EvidenceOf(err) == upstream.NotSent})
}

// abandon ends an attempt that may still run and cancels it at the engine.
func (a *attempt) abandon(cause telemetry.Cause) {
	a.trace("attempt %d is cancelled: %s", a.number, cause)
	a.recordWaste(cause)
	a.end(sched.Outcome{Tokens: a.tokens})
}

// end closes the stream and frees the slot.
func (a *attempt) end(o sched.Outcome) {
	if a.stream != nil {
		_ = a.stream.Close()
		a.stream = nil
	}
	a.lease.Done(o)
	if a.cancel != nil {
		a.cancel()
	}
}

func (a *attempt) recordWaste(cause telemetry.Cause) {
	a.d.cfg.Telemetry.RecordWaste(a.job.Class.Name, cause, a.tokens)
}

func (a *attempt) trace(format string, args ...any) { a.d.cfg.Trace.Add(a.job.ID, format, args...) }
