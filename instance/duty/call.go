package duty

import (
	"context"
	"time"

	"github.com/comfreyladder/comfreyladder/core/fault"
)

// attempt is where the sending of one thing stands.
type attempt struct {
	// busy says that a call is under way, next is when the next one may be made.
	busy   bool
	next   time.Time
	failed int
	// last is what became of the latest call.
	last error
}

const (
	// retryFirst is the pause after a failed call; it doubles with each one, up to
	// retryMost.
	retryFirst = 150 * time.Millisecond
	retryMost  = 2 * time.Second
)

// due reports whether a call may be made now.
func (a *attempt) due(now time.Time) bool { return !a.busy && !now.Before(a.next) }

// retry puts off the next call after a failure.
func (a *attempt) retry(now time.Time, err error) {
	pause := min(retryMost, retryFirst<<min(a.failed, 4))
	a.failed++
	a.last = err
	if hint := fault.From(err).RetryAfter; hint > 0 {
		pause = max(pause, min(hint, retryMost))
	}
	a.next = now.Add(pause)
}

// call makes one call to the provider without holding up the loop. It returns false where
// the provider's rate leaves no room.
func (s *Service) call(now time.Time, a *attempt, send func(ctx context.Context, by Authority) error, done func(now time.Time, err error)) bool {
	if !s.limiter.AllowN(now, 1) {
		return false
	}
	by := Authority{Holder: s.cfg.Instance, Number: s.lease.Number, NotAfter: s.lease.Until}
	t := &s.tenure
	t.flying++
	a.busy = true
	tenureCtx := t.ctx
	s.calls.Go(func() {
		ctx, cancel := context.WithTimeout(tenureCtx, s.cfg.CallTimeout)
		defer cancel()
		err := send(ctx, by)
		s.loop.Post(func(now time.Time) {
			a.busy = false
			if tenureCtx == s.tenure.ctx {
				s.landed(now, err)
			}
			done(now, err)
		})
	})
	return true
}

// landed notes that a call under the present lease has ended.
func (s *Service) landed(now time.Time, err error) {
	t := &s.tenure
	t.flying--
	switch fault.CodeOf(err) {
	case fault.NotRun:
		if t.unreachable.IsZero() {
			t.unreachable = now
		}
	case fault.OutcomeUnknown:
		t.landed = now.Add(flight)
	default:
		t.unreachable = time.Time{}
	}
}
