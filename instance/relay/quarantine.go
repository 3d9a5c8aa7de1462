package relay

import (
	"context"
	"time"

	"github.com/comfreyladder/comfreyladder/core/quarantine"
	"github.com/comfreyladder/comfreyladder/instance/clock"
	"github.com/comfreyladder/comfreyladder/instance/follow"
)

// Quarantine reports requests that crash upstreams, and holds what this instance knows of them by
// itself. What all instances know is in the view.
type Quarantine interface {
	// RecordCrash reports that an upstream crashed at a time of clock.Now, with the requests in
	// flight there.
	RecordCrash(upstream uint64, at time.Time, underWay []quarantine.Attempt)
	// RecordSuccess records that an upstream completed a request, and RetractCrash that one answered
	// which had been reported as crashed. TrackLarge enables recording successes of large requests
	// for a time; TracksLarge reports whether it is enabled.
	TrackLarge()
	TracksLarge() bool
	RecordSuccess(f quarantine.Fingerprint)
	RetractCrash(upstream uint64)
	// Idle reports whether this instance itself suspects no request.
	Idle() bool
	Suspects(f quarantine.Fingerprint) bool
	Blocks(f quarantine.Fingerprint) bool
	// RecordServed records that an upstream writes the answer to a request with parts of prompts, which it
	// began at a time of clock.Now.
	// SuspectsParts and BlocksParts judge a prompt as Suspects and Blocks judge a request.
	RecordServed(parts []quarantine.Fingerprint, began time.Time)
	SuspectsParts(prompt []quarantine.Fingerprint) bool
	BlocksParts(prompt []quarantine.Fingerprint) bool
	// Trial requests the trial of a quarantined request. CancelTrial gives it back unused.
	Trial(ctx context.Context, f quarantine.Fingerprint) bool
	CancelTrial(ctx context.Context, f quarantine.Fingerprint)
}

const (
	// trialInterval is the minimum time between two calls that ask for a trial.
	trialInterval = 300 * time.Millisecond
	// smallBody is the body size up to which a request is always hashed to record its success, in
	// bytes. Larger ones are hashed only while TracksLarge reports true.
	smallBody = 16 << 10
	// trialTimeout bounds a call that asks for a trial or gives it back.
	trialTimeout = 300 * time.Millisecond
)

// trialRetryAfter is when a request that waits for its trial may be retried.
const trialRetryAfter = time.Second

// errQuarantined refuses a request permanently: the caller must not send the same one again.
// errSuspended refuses one that may be innocent until its trial.
var (
	errQuarantined = &refusal{400, "quarantined: not run, since upstreams crash under this request, or under a part of its prompt; do not send it again unchanged", 0}
	errSuspended   = &refusal{503, "suspended: not run, since upstreams crashed while requests like this one were under way", trialRetryAfter}
)

// screens reports whether any request is suspected or quarantined. If not, no request is hashed.
func (s *Service) screens() bool {
	if s.cfg.Quarantine == nil {
		return false
	}
	return !s.cfg.State.View().Quarantine.Empty() || !s.cfg.Quarantine.Idle()
}

// condition is the quarantine status of a request.
type condition struct {
	suspected, quarantined bool
	follow.Judgement
}

// conditionOf returns the quarantine status of a request.
func (s *Service) conditionOf(r *request) (is condition) {
	if !s.screens() {
		return condition{}
	}
	f, parts, q := r.fingerprint(), r.sharedParts(), s.cfg.State.View().Quarantine
	is.Judgement = q.Judge(f, parts)
	is.suspected = q.Suspects(f) || s.cfg.Quarantine.Suspects(f) || s.cfg.Quarantine.SuspectsParts(parts)
	is.quarantined = is.Held || s.cfg.Quarantine.Blocks(f) || s.cfg.Quarantine.BlocksParts(parts)
	return is
}

// screen decides whether a request may be sent to an upstream; nil means yes. It sets r.trial if
// the request was granted a trial.
func (s *Service) screen(r *request) *refusal {
	if r.trial {
		return nil
	}
	is := s.conditionOf(r)
	switch {
	case !is.quarantined:
		return nil
	case is.HasTrial && s.takeTrial(is.Trial):
		r.trial, r.trialOf = true, is.Trial
		return nil
	}
	s.set.GetOrCreateCounter("relay_quarantined_total").Inc()
	if is.Final {
		return errQuarantined
	}
	return errSuspended
}

// takeTrial requests the trial of a request, at most once per trialInterval.
func (s *Service) takeTrial(f quarantine.Fingerprint) bool {
	now := clock.Now().UnixNano()
	last := s.lastTrialRequest.Load()
	if now-last < int64(trialInterval) || !s.lastTrialRequest.CompareAndSwap(last, now) {
		return false
	}
	ctx, cancel := context.WithTimeout(context.Background(), trialTimeout)
	defer cancel()
	return s.cfg.Quarantine.Trial(ctx, f)
}

// endTrial gives back the trial of a request that was sent to no upstream.
func (s *Service) endTrial(r *request) {
	if !r.trial || r.sent > 0 {
		return
	}
	f := r.trialOf
	s.running.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), trialTimeout)
		defer cancel()
		s.cfg.Quarantine.CancelTrial(ctx, f)
	})
}

// mayRunAgain reports whether a request that may have run may be sent to another upstream as far as
// crashes are concerned: a suspected request may crash an upstream with each try.
func (s *Service) mayRunAgain(r *request) bool {
	is := s.conditionOf(r)
	return !is.suspected && !is.quarantined && !r.trial
}

// recordCompletion records that an upstream has answered an attempt completely.
func (s *Service) recordCompletion(a *attempt) {
	if s.cfg.Quarantine == nil {
		return
	}
	if a.up.losses.alive(a.startedAt) {
		s.cfg.Quarantine.RetractCrash(a.up.incarnation)
	}
	if a.head.Status/100 == 2 {
		s.cfg.Quarantine.RecordServed(a.r.sharedParts(), a.answerBegan())
	}
	if len(a.r.body) <= smallBody || s.cfg.Quarantine.TracksLarge() {
		s.cfg.Quarantine.RecordSuccess(a.r.fingerprint())
	}
}

// recordAnswering records, once, that an upstream has been writing the answer to an attempt for some time.
func (s *Service) recordAnswering(a *attempt) {
	if s.cfg.Quarantine == nil || a.answeringRecorded || !a.answersSince(time.Now().Add(-quarantine.AnsweringTime)) {
		return
	}
	a.answeringRecorded = true
	s.cfg.Quarantine.RecordServed(a.r.sharedParts(), a.answerBegan())
}

// answerBegan returns when the upstream began to write the answer, by clock.Now: at its first event, or now for
// what is no stream.
func (a *attempt) answerBegan() time.Time {
	if a.firstEventAt.IsZero() {
		return clock.Now()
	}
	return clock.Now().Add(-time.Since(a.firstEventAt))
}
