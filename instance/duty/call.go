package duty

import (
	"context"
	"time"

	"github.com/comfreyladder/comfreyladder/core/fault"
)

// attempt is the state of sending one report or order.
type attempt struct {
	// busy reports whether a call is in flight. nextAt is the earliest time of the next one.
	busy     bool
	nextAt   time.Time
	failures int
	// lastErr is the error of the latest call.
	lastErr error
}

const (
	// minRetryDelay is the delay after a failed call. It doubles with each failure, up to
	// maxRetryDelay.
	minRetryDelay = 150 * time.Millisecond
	maxRetryDelay = 2 * time.Second
)

// due reports whether a call may be made now.
func (a *attempt) due(now time.Time) bool { return !a.busy && !now.Before(a.nextAt) }

// backOff delays the next call after a failure.
func (a *attempt) backOff(now time.Time, err error) {
	pause := min(maxRetryDelay, minRetryDelay<<min(a.failures, 4))
	a.failures++
	a.lastErr = err
	if hint := fault.From(err).RetryAfter; hint > 0 {
		pause = max(pause, min(hint, maxRetryDelay))
	}
	a.nextAt = now.Add(pause)
}

// call makes one call to the provider without blocking the loop. It returns false if the rate limit
// does not allow a call now.
func (s *Service) call(now time.Time, a *attempt, send func(ctx context.Context, by Authority) error, done func(now time.Time, err error)) bool {
	if !s.limiter.AllowN(now, 1) {
		return false
	}
	by := Authority{Holder: s.cfg.Instance, Number: s.lease.Number, NotAfter: s.lease.Until}
	t := &s.tenure
	t.callsInFlight++
	a.busy = true
	tenureCtx := t.ctx
	s.calls.Go(func() {
		ctx, cancel := context.WithTimeout(tenureCtx, s.cfg.CallTimeout)
		defer cancel()
		err := send(ctx, by)
		s.loop.Post(func(now time.Time) {
			a.busy = false
			if tenureCtx == s.tenure.ctx {
				s.callEnded(now, err)
			}
			done(now, err)
		})
	})
	return true
}

// callEnded records that a call under the current lease has ended.
func (s *Service) callEnded(now time.Time, err error) {
	t := &s.tenure
	t.callsInFlight--
	switch fault.CodeOf(err) {
	case fault.NotRun:
		if t.unreachableSince.IsZero() {
			t.unreachableSince = now
		}
	case fault.OutcomeUnknown:
		t.effectsEndAt = now.Add(maxEffectDelay)
	default:
		t.unreachableSince = time.Time{}
	}
}
