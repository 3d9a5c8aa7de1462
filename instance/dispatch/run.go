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
	"github.com/comfreyladder/comfreyladder/instance/warmup"
)

// Run is the execution of one request. It must be used by one goroutine. Close must be called.
type Run struct {
	d        *Dispatcher
	ctx      context.Context
	job      *Job
	attempts int
	// excluded names the upstreams on which attempts failed.
	excluded []string
	// reused means that the last failure was on a reused connection.
	reused bool
	// current is the attempt whose events are delivered, nil before its first event.
	current *attempt
	// delivered counts the events returned by Next. After the first event only a resumption
	// is possible, because another attempt would produce a different answer.
	delivered int
	// mayHaveRun is the first failure after which the request may have run.
	mayHaveRun error
	queued     time.Duration
	done       bool
}

// Queued returns how long the run has waited for grants.
func (r *Run) Queued() time.Duration { return r.queued }

// Next returns the next event, or io.EOF after a complete answer. Any other error is final.
func (r *Run) Next() (Event, error) {
	for !r.done {
		ev, err := r.step()
		switch {
		case err == nil:
			r.delivered++
			return ev, nil
		case errors.Is(err, io.EOF):
			r.current.end(sched.Outcome{Tokens: r.current.tokens, Complete: true})
			if r.job.Watch != nil {
				r.job.Watch.Answered(true, r.current.firstEventAt)
			}
			r.current, r.done = nil, true
		default:
			return Event{}, err
		}
	}
	return Event{}, io.EOF
}

// Ready reports whether the next event is available without waiting.
func (r *Run) Ready() bool {
	return r.current != nil && r.current.stream != nil && r.current.stream.Ready()
}

// Close ends the run. An attempt in flight is cancelled at the engine, and its tokens count
// as wasted for the given cause.
func (r *Run) Close(cause telemetry.Cause) {
	if r.current != nil {
		r.current.abandon(cause)
		r.current = nil
	}
}

// step returns the next event of the current attempt or of a following one. An error other
// than io.EOF is final.
func (r *Run) step() (Event, error) {
	for {
		ev, failed, err := r.advance()
		if err == nil || errors.Is(err, io.EOF) {
			return ev, err
		}
		if err := r.handleFailure(failed, err); err != nil {
			return Event{}, err
		}
	}
}

// advance returns the next event, or the failed attempt and its error. The attempt is nil if
// it got no grant.
func (r *Run) advance() (Event, *attempt, error) {
	if r.current != nil {
		ev, err := r.current.next()
		return ev, r.current, err
	}
	a, ev, err := r.startAttempt()
	if err == nil || errors.Is(err, io.EOF) {
		r.current = a
	}
	return ev, a, err
}

// startAttempt starts an attempt, with a hedge if the class permits it.
func (r *Run) startAttempt() (*attempt, Event, error) {
	if wait, ok := r.hedgeAfter(); ok {
		return r.race(wait)
	}
	a := r.newAttempt(r.ctx)
	ev, err := a.firstEvent()
	r.queued += a.queued
	if a.lease == nil {
		return nil, Event{}, r.grantError(err)
	}
	return a, ev, err
}

// grantError returns the error to report if no grant was issued, or the request is no longer permitted. If an earlier attempt may
// have run, it reports that attempt's outcome, because the refusal would claim that the
// request was not run.
func (r *Run) grantError(err error) error {
	if r.mayHaveRun == nil || r.ctx.Err() != nil {
		return err
	}
	return fault.Wrap(r.mayHaveRun, fault.OutcomeUnknown, "an attempt failed, may have run, and could not be repeated").WithRetryAfter(fault.From(err).RetryAfter)
}

// handleFailure decides what follows a failed attempt: it returns nil if a new attempt may
// start, otherwise the final error.
func (r *Run) handleFailure(a *attempt, err error) error {
	r.current = nil
	if a == nil {
		return r.contextError(err)
	}
	a.trace("attempt %d failed: %v", a.number, err)
	if r.ctx.Err() != nil {
		a.abandon(contextCause(r.ctx))
		return r.contextError(err)
	}
	evidence := upstream.EvidenceOf(err)
	r.reused = upstream.ReusedIn(err)
	a.endFailed(err)
	if evidence == upstream.Unknown && r.mayHaveRun == nil {
		r.mayHaveRun = err
	}
	if r.delivered > 0 && !r.job.Restartable {
		return fault.Wrap(err, fault.StreamBroken, "the stream broke after %d events and could not be resumed", r.delivered)
	}
	if denied := r.denied(err); denied != nil {
		return r.grantError(denied)
	}
	if !r.mayRetry(evidence, err) {
		return r.finalError(err)
	}
	r.excluded = append(r.excluded, a.upstream())
	return nil
}

// denied returns why nothing more may be sent after an attempt that failed with err, or nil. It is asked
// before a repeat spends budget and waits for a grant.
func (r *Run) denied(err error) error {
	switch {
	case upstream.WithheldIn(err) && !warmup.IsNoPermit(err):
		return err
	case r.job.Permit != nil:
		return r.job.Permit()
	}
	return nil
}

// finalError returns the error to report. The proof that the last attempt did not run does
// not apply to an earlier attempt that may have run.
func (r *Run) finalError(err error) error {
	if r.mayHaveRun != nil {
		return r.mayHaveRun
	}
	return err
}

// mayRetry reports whether another attempt may follow one that failed with err. One that was not made for
// lack of a permit costs no budget.
func (r *Run) mayRetry(evidence upstream.Evidence, err error) bool {
	if r.attempts >= r.d.cfg.Attempts || r.job.AtMostOnce && evidence == upstream.Unknown {
		return false
	}
	if evidence == upstream.Unknown && r.job.Watch != nil && !r.job.Watch.MayRunAgain() {
		return false
	}
	if warmup.IsNoPermit(err) || r.d.spend(r.job.Class.Name) {
		return true
	}
	r.trace("the retry budget of class %s is exhausted", r.job.Class.Name)
	return false
}

// contextError returns an error for the end of the request's context, or err if it has not ended.
func (r *Run) contextError(err error) error {
	switch {
	case r.ctx.Err() == nil:
		return err
	case errors.Is(r.ctx.Err(), context.DeadlineExceeded):
		return fault.New(fault.DeadlineExceeded, "the answer was not ready before the deadline of class %s", r.job.Class.Name)
	}
	return fault.New(fault.Canceled, "the caller disconnected")
}

func contextCause(ctx context.Context) telemetry.Cause {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return telemetry.CauseDeadline
	}
	return telemetry.CauseHangUp
}

func (r *Run) trace(format string, args ...any) { r.d.cfg.Trace.Add(r.job.ID, format, args...) }
