package dispatch

import (
	"context"
	"io"
	"time"

	"github.com/pkg/errors"

	"github.com/comfreyladder/comfreyladder/core/fault"
	"github.com/comfreyladder/comfreyladder/core/sched"
	"github.com/comfreyladder/comfreyladder/instance/telemetry"
	"github.com/comfreyladder/comfreyladder/instance/upstream"
)

// Run is one request on its way. It is for one goroutine. Close must be called.
type Run struct {
	d        *Dispatcher
	ctx      context.Context
	job      *Job
	attempts int
	// excluded names the upstreams at which attempts failed.
	excluded []string
	// reused says that the last failure was one of an old connection.
	reused bool
	// current is the attempt whose events are handed on, nil before its first.
	current *attempt
	// handed counts what was handed on: after the first, only a resumption can
	// go on, as another attempt would give another answer.
	handed int
	// mayHaveRun is the first failure after which the request may have run.
	mayHaveRun error
	queued     time.Duration
	done       bool
}

// Queued returns how long the run waited for grants.
func (r *Run) Queued() time.Duration { return r.queued }

// Next returns the next event, or io.EOF after a whole answer. Any other
// failure is final.
func (r *Run) Next() (Event, error) {
	for !r.done {
		ev, err := r.step()
		switch {
		case err == nil:
			r.handed++
			return ev, nil
		case errors.Is(err, io.EOF):
			r.current.end(sched.Outcome{Tokens: r.current.tokens, Complete: true})
			r.current, r.done = nil, true
		default:
			return Event{}, err
		}
	}
	return Event{}, io.EOF
}

// Ready reports whether the next event of the answer is there already.
func (r *Run) Ready() bool {
	return r.current != nil && r.current.stream != nil && r.current.stream.Ready()
}

// Close ends the run: an attempt on its way is cancelled at the engine and what
// it generated counts as wasted by the given cause.
func (r *Run) Close(cause telemetry.Cause) {
	if r.current != nil {
		r.current.abandon(cause)
		r.current = nil
	}
}

// step returns the next event of the current attempt or of the one that follows
// it. A failure other than io.EOF is final.
func (r *Run) step() (Event, error) {
	for {
		ev, failed, err := r.advance()
		if err == nil || errors.Is(err, io.EOF) {
			return ev, err
		}
		if err := r.fail(failed, err); err != nil {
			return Event{}, err
		}
	}
}

// advance returns the next event, or the attempt that failed with its failure;
// the attempt is nil when it got no grant.
func (r *Run) advance() (Event, *attempt, error) {
	if r.current != nil {
		ev, err := r.current.next()
		return ev, r.current, err
	}
	a, ev, err := r.begin()
	if err == nil || errors.Is(err, io.EOF) {
		r.current = a
	}
	return ev, a, err
}

// begin starts an attempt, with a hedge beside it where the class permits one.
func (r *Run) begin() (*attempt, Event, error) {
	if wait, ok := r.hedgeAfter(); ok {
		return r.race(wait)
	}
	a := r.attempt(r.ctx)
	ev, err := a.first()
	r.queued += a.queued
	if a.lease == nil {
		return nil, Event{}, r.refused(err)
	}
	return a, ev, err
}

// refused tells why no grant came. When an earlier attempt may have run, it is
// told and not the refusal, which would say that the request was not run.
func (r *Run) refused(err error) error {
	if r.mayHaveRun == nil || r.ctx.Err() != nil {
		return err
	}
	return fault.Wrap(r.mayHaveRun, fault.OutcomeUnknown, "an attempt failed, may have run, and could not be repeated").WithRetryAfter(fault.From(err).RetryAfter)
}

// fail decides what follows a failed attempt: nil means that a new one may
// start; a failure is final.
func (r *Run) fail(a *attempt, err error) error {
	r.current = nil
	if a == nil {
		return r.contextFault(err)
	}
	a.note("attempt %d failed: %v", a.number, err)
	if r.ctx.Err() != nil {
		a.abandon(contextCause(r.ctx))
		return r.contextFault(err)
	}
	evidence := upstream.EvidenceOf(err)
	r.reused = upstream.ReusedIn(err)
	a.broke(evidence, r.reused)
	if evidence == upstream.Unknown && r.mayHaveRun == nil {
		r.mayHaveRun = err
	}
	if r.handed > 0 && !r.job.Restartable {
		return fault.Wrap(err, fault.StreamBroken, "the stream broke after %d events and could not be resumed", r.handed)
	}
	if !r.mayRetry(evidence) {
		return r.final(err)
	}
	r.excluded = append(r.excluded, a.upstream())
	return nil
}

// final returns the failure to tell. A last attempt that is proved not to have
// run says nothing about an earlier one.
func (r *Run) final(err error) error {
	if r.mayHaveRun != nil {
		return r.mayHaveRun
	}
	return err
}

func (r *Run) mayRetry(evidence upstream.Evidence) bool {
	if r.attempts >= r.d.cfg.Attempts || r.job.Once && evidence == upstream.Unknown {
		return false
	}
	if r.d.spend(r.job.Class.Name) {
		return true
	}
	r.note("the retry budget of class %s is spent", r.job.Class.Name)
	return false
}

// contextFault names the end of the request's own context, if it ended; else it
// returns err.
func (r *Run) contextFault(err error) error {
	switch {
	case r.ctx.Err() == nil:
		return err
	case errors.Is(r.ctx.Err(), context.DeadlineExceeded):
		return fault.New(fault.DeadlineExceeded, "the answer was not ready before the deadline of class %s", r.job.Class.Name)
	}
	return fault.New(fault.Canceled, "the caller hung up")
}

func contextCause(ctx context.Context) telemetry.Cause {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return telemetry.CauseDeadline
	}
	return telemetry.CauseHangUp
}

func (r *Run) note(format string, args ...any) { r.d.cfg.Trace.Add(r.job.ID, format, args...) }
