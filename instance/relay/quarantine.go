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
	// RecordCrash tells that an upstream has crashed at a time of clock.Now, and what was under
	// way there.
	RecordCrash(upstream uint64, at time.Time, underWay []quarantine.Attempt)
	// RecordSuccess notes that an upstream ran a request to its end, RetractCrash that one has answered that
	// was told to have crashed. Successes of large requests are noted after TrackLarge, as long as
	// TracksLarge says.
	TrackLarge()
	TracksLarge() bool
	RecordSuccess(f quarantine.Fingerprint)
	RetractCrash(upstream uint64)
	// Idle reports whether this instance suspects nothing by itself.
	Idle() bool
	Suspects(f quarantine.Fingerprint) bool
	Blocks(f quarantine.Fingerprint) bool
	// Trial asks for the trial of a quarantined request, CancelTrial gives it back unused.
	Trial(ctx context.Context, f quarantine.Fingerprint) bool
	CancelTrial(ctx context.Context, f quarantine.Fingerprint)
}

const (
	// trialEvery is the least time between two questions for a trial.
	trialEvery = 300 * time.Millisecond
	// smallBody is up to which size a request is hashed to remember that it succeeded, in bytes.
	smallBody = 16 << 10
	// trialTimeout bounds such a question.
	trialTimeout = 300 * time.Millisecond
)

// retryTrial is when a request may come again that waits for its trial.
const retryTrial = time.Second

// errQuarantined refuses a request for good: the caller is not to send the same again.
// errSuspended refuses one that may be innocent until its trial.
var (
	errQuarantined = &verdict{400, "quarantined: not run, since upstreams crash under this request; do not send it again unchanged", 0}
	errSuspended   = &verdict{503, "suspended: not run, since upstreams crashed while requests like this one were under way", retryTrial}
)

// screens reports whether any request is suspected or quarantined. Without one no request is
// hashed.
func (s *Service) screens() bool {
	if s.cfg.Quarantine == nil {
		return false
	}
	return !s.cfg.State.View().Quarantine.Empty() || !s.cfg.Quarantine.Idle()
}

// standing is what is known of a request.
type standing struct {
	suspected, quarantined bool
	// trial says that a quarantined one may have a trial, final that it has failed it.
	trial, final bool
}

// standing returns what is known of a request.
func (s *Service) standing(r *request) standing {
	if !s.screens() {
		return standing{}
	}
	f := r.fingerprint()
	q := s.cfg.State.View().Quarantine
	held, quarantined := q.Held(f)
	return standing{q.Suspects(f) || s.cfg.Quarantine.Suspects(f), quarantined || s.cfg.Quarantine.Blocks(f), held.Trial, held.Final}
}

// screen decides whether a request may be sent to an upstream; nil means yes. It notes whether
// the request has its trial.
func (s *Service) screen(r *request) *verdict {
	if r.trial {
		return nil
	}
	is := s.standing(r)
	switch {
	case !is.quarantined:
		return nil
	case is.trial && s.takeTrial(r.fingerprint()):
		r.trial = true
		return nil
	}
	s.set.GetOrCreateCounter("relay_quarantined_total").Inc()
	if is.final {
		return errQuarantined
	}
	return errSuspended
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
		s.cfg.Quarantine.CancelTrial(ctx, f)
	})
}

// mayRunElsewhere reports whether a request that may have run may be sent to another upstream,
// as far as crashes are concerned: one that is suspected ends an upstream with each try.
func (s *Service) mayRunElsewhere(r *request) bool {
	is := s.standing(r)
	return !is.suspected && !is.quarantined && !r.trial
}

// completed notes that an upstream has answered an attempt to its end.
func (s *Service) completed(a *attempt) {
	if s.cfg.Quarantine == nil {
		return
	}
	if a.up.losses.alive(a.begun) {
		s.cfg.Quarantine.RetractCrash(a.up.begun)
	}
	if len(a.r.body) <= smallBody || s.cfg.Quarantine.TracksLarge() {
		s.cfg.Quarantine.RecordSuccess(a.r.fingerprint())
	}
}
