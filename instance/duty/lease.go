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

// seat is how this member stands to the lease when it does not hold it.
type seat struct {
	// revision is that of the lease as it was seen first at a time.
	revision uint64
	at       time.Time
	// busy says that a try is under way, next is when the next one may begin.
	busy bool
	next time.Time
}

// away is the longest time that a lease is left alone after it seemed free: members that
// find it free in the same moment shouldn't all connect to the provider.
const away = 200 * time.Millisecond

// hold keeps the lease, takes it when it is free, and gives it up when others may do better.
func (s *Service) hold(now time.Time, g Group) {
	if s.lease.Number > 0 && !now.Before(s.lease.Until) {
		s.drop(now, "it ran out")
	}
	switch {
	case g == nil || s.seat.busy:
	case s.lease.Number > 0:
		s.keep(now, g)
	case s.draining.Load() || now.Before(s.seat.next) || !s.free(now, g):
	default:
		s.take(g)
	}
}

// keep renews the lease, or gives it up.
func (s *Service) keep(now time.Time, g Group) {
	t := &s.tenure
	if s.draining.Load() || !t.unreachable.IsZero() && now.Sub(t.unreachable) >= s.cfg.ReleaseAfter {
		s.giveUp(now, g)
		return
	}
	if !now.Before(s.lease.RenewAt) {
		s.ask(g, s.acquireRequest(now))
	}
}

// giveUp releases the lease once no call under it can arrive any more.
func (s *Service) giveUp(now time.Time, g Group) {
	s.tenure.cancel()
	if s.tenure.flying > 0 || now.Before(s.tenure.landed) {
		return
	}
	why := "the process ends"
	if !s.draining.Load() {
		why = "the provider can't be reached from here"
		s.seat.next = now.Add(s.cfg.Lease + 2*s.cfg.terms().TTL)
	}
	s.drop(now, why)
	s.ask(g, fence.Request{Verb: fence.Release, Subject: Subject, Holder: s.holder})
}

// drop ends the tenure on this side.
func (s *Service) drop(now time.Time, why string) {
	s.cfg.Log.Info().Str("event", "duties_lost").Uint64("fence", s.lease.Number).Str("reason", why).
		Dur("over", now.Sub(s.lease.Until)).Int("calls_under_way", s.tenure.flying).Msg("this instance does not hold the duties any more")
	s.lease.Drop()
	s.tenure.cancel()
	s.tenure = tenure{}
	s.tenure.ctx, s.tenure.cancel = context.WithCancel(s.ctx)
	s.usage.attempts = map[int64]*attempt{}
	s.scale.forget()
}

// free reports whether the lease may be taken, as far as this member sees: nobody holds it,
// or its holder has not renewed it for as long as it lasts, by the clock here. The group
// gives it only if that is still so, and not by the log's time, which comes from whoever
// leads and may jump.
func (s *Service) free(now time.Time, g Group) bool {
	var l fence.Lease
	var known bool
	g.View(func(_ uint64, m *control.Mux) { l, known = m.Machine(fence.Name).(*fence.Machine).Lease(Subject) })
	if !known || l.Holder == "" {
		return true
	}
	if l.Revision != s.seat.revision || s.seat.at.IsZero() {
		s.seat.revision, s.seat.at = l.Revision, now
	}
	return now.Sub(s.seat.at) > max(l.TTL, s.cfg.terms().TTL)
}

// take connects to the provider, and asks for the lease if that works: a member that is cut
// off from the provider could hold the lease, but not act.
func (s *Service) take(g Group) {
	s.seat.busy = true
	s.calls.Go(func() {
		pause := time.Duration(rand.Int64N(int64(away)))
		ctx, cancel := context.WithTimeout(s.ctx, pause+s.cfg.ReleaseAfter)
		defer cancel()
		clock.Sleep(ctx, pause)
		err := s.cfg.Provider.Connect(ctx)
		s.loop.Post(func(now time.Time) {
			s.seat.busy = false
			if err != nil {
				s.seat.next = now.Add(s.cfg.ReleaseAfter / 2)
				return
			}
			if s.free(now, g) {
				s.ask(g, s.acquireRequest(now))
			}
		})
	})
}

func (s *Service) acquireRequest(now time.Time) fence.Request {
	return fence.Request{
		Verb: fence.Acquire, Subject: Subject, Holder: s.holder, Instance: s.cfg.Peer, ReturnDelay: s.cfg.Lease,
		TTL: s.cfg.terms().TTL, WaitDone: s.lease.IsSettled(now), ExpiredRevision: s.seat.revision,
	}
}

// ask sends a request to the group without holding up the loop.
func (s *Service) ask(g Group, r fence.Request) {
	s.seat.busy = true
	asked := s.cfg.Now()
	s.calls.Go(func() {
		ctx, cancel := context.WithTimeout(s.ctx, r.TTL+s.cfg.ReleaseAfter)
		defer cancel()
		grant, err := propose(ctx, g, r)
		s.loop.Post(func(now time.Time) {
			s.seat.busy = false
			if err == nil {
				err = grant.Err()
			}
			switch {
			case err != nil:
				s.refused(now, &r, err)
			case r.Verb == fence.Acquire:
				s.granted(asked, now, grant)
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

// refused waits a little before the next try. Another holder ends what is left of the own
// lease: this instance was taken for dead.
func (s *Service) refused(now time.Time, r *fence.Request, err error) {
	s.seat.next = now.Add(s.cfg.terms().TTL / 10)
	if r.Verb == fence.Acquire && fault.CodeOf(err) == fault.Conflict && s.lease.Number > 0 {
		s.drop(now, "another instance holds it")
	}
	s.cfg.Log.Debug().Err(err).Str("verb", string(r.Verb)).Msg("lease for duties not given")
}

// granted takes a lease or its renewal.
func (s *Service) granted(asked, now time.Time, grant *fence.Grant) {
	begun, _ := s.lease.Update(asked, now, grant, s.cfg.terms())
	if begun {
		s.cfg.Log.Info().Str("event", "duties_held").Uint64("fence", s.lease.Number).Dur("wait", s.lease.SettledAt.Sub(now)).
			Dur("left", s.lease.Until.Sub(now)).Msg("this instance holds the duties")
	}
}
