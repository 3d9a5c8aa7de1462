package relay

import (
	"context"
	"time"

	"github.com/comfreyladder/comfreyladder/core/quarantine"
	"github.com/comfreyladder/comfreyladder/instance/clock"
)

// Quarantine is what this instance tells, and knows by itself, of requests that crash
// upstreams; what all know of them is in the view.
type Quarantine interface {
	// Crashed tells that an upstream has crashed at a time of clock.Now, and what was under
	// way there.
	Crashed(upstream uint64, at time.Time, underWay []quarantine.Attempt)
	// Succeeded tells that an upstream ran a request to its end, Alive that one has answered
	// that was told to have crashed.
	Succeeded(f quarantine.Fingerprint)
	Alive(upstream uint64)
	// Idle reports whether this instance suspects nothing by itself.
	Idle() bool
	Suspects(f quarantine.Fingerprint) bool
	Holds(f quarantine.Fingerprint) bool
	// Trial asks for the trial of a quarantined request, ReturnTrial gives it back unused.
	Trial(ctx context.Context, f quarantine.Fingerprint) bool
	ReturnTrial(ctx context.Context, f quarantine.Fingerprint)
}

const (
	// trialEvery is the least time between two questions for a trial.
	trialEvery = 300 * time.Millisecond
	// trialTimeout bounds such a question.
	trialTimeout = 300 * time.Millisecond
)

// errQuarantined refuses a request for good: the caller is not to send the same again.
var errQuarantined = &verdict{400, "quarantined: not run, since upstreams crash under this request; do not send it again unchanged", 0}

// screens reports whether any request is suspected or quarantined. Without one no request is
// hashed.
func (s *Service) screens() bool {
	if s.cfg.Quarantine == nil {
		return false
	}
	return !s.cfg.State.View().Quarantine.Empty() || !s.cfg.Quarantine.Idle()
}

// known returns what is known of a request. A quarantined one may have a trial left.
func (s *Service) known(r *request) (suspected, quarantined, trial bool) {
	if !s.screens() {
		return false, false, false
	}
	f := r.fingerprint()
	q := s.cfg.State.View().Quarantine
	held, quarantined := q.Held(f)
	return q.Suspects(f) || s.cfg.Quarantine.Suspects(f), quarantined || s.cfg.Quarantine.Holds(f), held.Trial
}

// screen decides whether a request may be sent to an upstream; nil means yes. It notes whether
// the request has its trial.
func (s *Service) screen(r *request) *verdict {
	if r.trial {
		return nil
	}
	_, quarantined, trial := s.known(r)
	if !quarantined {
		return nil
	}
	if trial && s.takeTrial(r.fingerprint()) {
		r.trial = true
		return nil
	}
	s.set.GetOrCreateCounter("relay_quarantined_total").Inc()
	return errQuarantined
}

// takeTrial asks for the trial of a request, not too often.
func (s *Service) takeTrial(f quarantine.Fingerprint) bool {
	now := clock.Now().UnixNano()
	last := s.trialAsked.Load()
	if now-last < int64(trialEvery) || !s.trialAsked.CompareAndSwap(last, now) {
		return false
	}
	ctx, cancel := context.WithTimeout(context.Background(), trialTimeout)
	defer cancel()
	return s.cfg.Quarantine.Trial(ctx, f)
}

// endTrial gives the trial of a request back that no upstream has got.
func (s *Service) endTrial(r *request) {
	if !r.trial || r.sent > 0 {
		return
	}
	f := r.fingerprint()
	s.running.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), trialTimeout)
		defer cancel()
		s.cfg.Quarantine.ReturnTrial(ctx, f)
	})
}

// mayRunElsewhere reports whether a request that may have run may be sent to another upstream,
// as far as crashes are concerned: one that is suspected ends an upstream with each try.
func (s *Service) mayRunElsewhere(r *request) bool {
	suspected, quarantined, _ := s.known(r)
	return !suspected && !quarantined && !r.trial
}

// completed notes that an upstream has answered an attempt to its end.
func (s *Service) completed(a *attempt) {
	if s.cfg.Quarantine == nil {
		return
	}
	if a.up.losses.alive(a.begun) {
		s.cfg.Quarantine.Alive(a.up.begun)
	}
	if suspected, quarantined, _ := s.known(a.r); suspected || quarantined {
		s.cfg.Quarantine.Succeeded(a.r.fingerprint())
	}
}
