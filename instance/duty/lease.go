package duty

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/comfreyladder/comfreyladder/core/control"
	"github.com/comfreyladder/comfreyladder/core/control/fence"
	"github.com/comfreyladder/comfreyladder/core/fault"
	"github.com/comfreyladder/comfreyladder/instance/clock"
)

// candidacy is the state of a member with respect to the lease while it does not hold it.
type candidacy struct {
	// revision is the last observed revision of the lease, first seen at revisionSeenAt.
	revision       uint64
	revisionSeenAt time.Time
	// busy reports whether an attempt is in progress. nextAt is the earliest time of the next one.
	busy   bool
	nextAt time.Time
}

// maxAcquireDelay bounds the random delay before a member tries to acquire a free lease, so that
// members that find it free at the same time do not all connect to the provider.
const maxAcquireDelay = 200 * time.Millisecond

// maintainLease renews the lease, acquires it when it is free, and releases it when another member
// may do better.
func (s *Service) maintainLease(now time.Time, g Group) {
	if s.lease.Number > 0 && !now.Before(s.lease.Until) {
		s.dropLease(now, "the lease expired")
	}
	switch {
	case g == nil || s.candidacy.busy:
	case s.lease.Number > 0:
		s.renewOrRelease(now, g)
	case s.draining.Load() || now.Before(s.candidacy.nextAt) || !s.isFree(now, g):
	default:
		s.tryAcquire(g)
	}
}

// renewOrRelease renews the lease, or releases it.
func (s *Service) renewOrRelease(now time.Time, g Group) {
	t := &s.tenure
	if s.draining.Load() || !t.unreachableSince.IsZero() && now.Sub(t.unreachableSince) >= s.cfg.ReleaseAfter {
		s.release(now, g)
		return
	}
	if !now.Before(s.lease.RenewAt) {
		s.sendRequest(g, s.acquireRequest(now))
	}
}

// release releases the lease once no call under it can arrive any more.
func (s *Service) release(now time.Time, g Group) {
	s.tenure.cancel()
	if s.tenure.callsInFlight > 0 || now.Before(s.tenure.effectsEndAt) {
		return
	}
	why := "the process ends"
	if !s.draining.Load() {
		why = "the provider cannot be reached from this instance"
		s.candidacy.nextAt = now.Add(s.cfg.Lease + 2*s.cfg.timing().TTL)
	}
	s.dropLease(now, why)
	s.sendRequest(g, fence.Request{Verb: fence.Release, Subject: Subject, Holder: s.holder})
}

// dropLease ends the tenure on this side.
func (s *Service) dropLease(now time.Time, why string) {
	s.cfg.Log.Info().Str("event", "duties_lost").Uint64("fence", s.lease.Number).Str("reason", why).
		Dur("over", now.Sub(s.lease.Until)).Int("calls_under_way", s.tenure.callsInFlight).Msg("lost the lease for duties")
	s.lease.Drop()
	s.tenure.cancel()
	s.tenure = tenure{}
	s.tenure.ctx, s.tenure.cancel = context.WithCancel(s.ctx)
	s.usage.attempts = map[int64]*attempt{}
	s.scale.reset()
}

// isFree reports whether the lease may be acquired, as seen by this member: nobody holds it, or its
// holder has not renewed it for its TTL by the local clock. The group grants it only if that still
// holds, and does not use the time of the log, which comes from the leader and may jump.
func (s *Service) isFree(now time.Time, g Group) bool {
	var l fence.Lease
	var known bool
	g.View(func(_ uint64, m *control.Mux) { l, known = m.Machine(fence.Name).(*fence.Machine).Lease(Subject) })
	if !known || l.Holder == "" {
		return true
	}
	if l.Revision != s.candidacy.revision || s.candidacy.revisionSeenAt.IsZero() {
		s.candidacy.revision, s.candidacy.revisionSeenAt = l.Revision, now
	}
	return now.Sub(s.candidacy.revisionSeenAt) > max(l.TTL, s.cfg.timing().TTL)
}

// tryAcquire connects to the provider and requests the lease if that succeeds: a member that is cut
// off from the provider could hold the lease, but make no calls.
func (s *Service) tryAcquire(g Group) {
	s.candidacy.busy = true
	s.calls.Go(func() {
		pause := time.Duration(rand.Int64N(int64(maxAcquireDelay)))
		ctx, cancel := context.WithTimeout(s.ctx, pause+s.cfg.ReleaseAfter)
		defer cancel()
		clock.Sleep(ctx, pause)
		err := s.cfg.Provider.Connect(ctx)
		s.loop.Post(func(now time.Time) {
			s.candidacy.busy = false
			if err != nil {
				s.candidacy.nextAt = now.Add(s.cfg.ReleaseAfter / 2)
				return
			}
			if s.isFree(now, g) {
				s.sendRequest(g, s.acquireRequest(now))
			}
		})
	})
}

func (s *Service) acquireRequest(now time.Time) fence.Request {
	return fence.Request{
		Verb: fence.Acquire, Subject: Subject, Holder: s.holder, Instance: s.cfg.Peer, ReturnDelay: s.cfg.Lease,
		TTL: s.cfg.timing().TTL, WaitDone: s.lease.IsSettled(now), ExpiredRevision: s.candidacy.revision,
	}
}

// sendRequest sends a request to the group without blocking the loop.
func (s *Service) sendRequest(g Group, r fence.Request) {
	s.candidacy.busy = true
	requestedAt := s.cfg.Now()
	s.calls.Go(func() {
		ctx, cancel := context.WithTimeout(s.ctx, r.TTL+s.cfg.ReleaseAfter)
		defer cancel()
		grant, err := propose(ctx, g, r)
		s.loop.Post(func(now time.Time) {
			s.candidacy.busy = false
			if err == nil {
				err = grant.Err()
			}
			switch {
			case err != nil:
				s.handleRefusal(now, &r, err)
			case r.Verb == fence.Acquire:
				s.handleGrant(requestedAt, now, grant)
			}
		})
	})
}

func propose(ctx context.Context, g Group, r fence.Request) (grant *fence.Grant, err error) {
	data, err := control.Marshal(&r)
	if err != nil {
		return nil, err
	}
	result, _, err := g.Propose(ctx, fence.Name, data)
	if err != nil {
		return nil, err
	}
	grant = &fence.Grant{}
	return grant, control.Unmarshal(result, grant)
}

// handleRefusal delays the next attempt. If another instance holds the lease, the rest of the local
// lease is dropped: this instance was assumed to have failed.
func (s *Service) handleRefusal(now time.Time, r *fence.Request, err error) {
	s.candidacy.nextAt = now.Add(s.cfg.timing().TTL / 10)
	if r.Verb == fence.Acquire && fault.CodeOf(err) == fault.Conflict && s.lease.Number > 0 {
		s.dropLease(now, "another instance holds the lease")
	}
	s.cfg.Log.Debug().Err(err).Str("verb", string(r.Verb)).Msg("lease for duties not granted")
}

// handleGrant applies a new lease or a renewal.
func (s *Service) handleGrant(requestedAt, now time.Time, grant *fence.Grant) {
	newNumber, _ := s.lease.Update(requestedAt, now, grant, s.cfg.timing())
	if newNumber {
		s.cfg.Log.Info().Str("event", "duties_held").Uint64("fence", s.lease.Number).Dur("wait", s.lease.SettledAt.Sub(now)).
			Dur("left", s.lease.Until.Sub(now)).Msg("acquired the lease for duties")
	}
}
