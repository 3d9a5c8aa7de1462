package order

import (
	"context"
	"time"

	"github.com/comfreyladder/comfreyladder/core/control"
	"github.com/comfreyladder/comfreyladder/core/control/fence"
	"github.com/comfreyladder/comfreyladder/core/fault"
	core "github.com/comfreyladder/comfreyladder/core/order"
)

// authority returns which engines may be ordered now.
func (s *Service) authority(now time.Time) core.Authority {
	ok := s.lease.Valid(now)
	return core.Authority{FenceChecking: ok, FenceIgnoring: ok && s.lease.IsSettled(now)}
}

func (s *Service) terms() fence.Timing {
	return fence.Timing{TTL: s.cfg.TTL, Margin: s.cfg.Margin, MaxEffectDelay: s.cfg.MaxEffectDelay}
}

// tend renews the lease while there are orders to give, takes it when the first
// one is due, and gives it up when there were none for a while. One that is not
// settled yet is kept: the next would have to wait all over again.
func (s *Service) tend(now time.Time) {
	s.lease.Expire(now)
	wanted := now.Sub(later(s.active, s.lease.SettledAt)) < s.cfg.KeepLease
	switch {
	case s.asking || now.Before(s.askAt):
	case wanted && (s.lease.Number == 0 || !now.Before(s.lease.RenewAt)):
		s.ask(s.acquireRequest(now), s.granted)
	case !wanted && s.lease.Number > 0 && !s.uncertain(now):
		s.giveUp()
	}
}

// resign ends the role when another instance is elected. The lease is given up
// once nothing is under way any more that was sent under it; else it runs out,
// and the successor waits.
func (s *Service) resign(now time.Time) {
	s.lease.Expire(now)
	if s.lease.Number > 0 && !s.asking && !s.uncertain(now) {
		s.giveUp()
	}
	s.forget()
	s.active = time.Time{}
}

// forget drops what the engines said: another issuer may have ordered them since.
func (s *Service) forget() {
	s.engines = map[string]*engine{}
	s.ready = false
}

// giveUp stops counting on the lease before it is released.
func (s *Service) giveUp() {
	r := s.releaseRequest()
	s.lease.Drop()
	s.ask(r, func(time.Time, time.Time, fence.Grant) {})
}

func (s *Service) acquireRequest(now time.Time) fence.Request {
	return fence.Request{
		Verb: fence.Acquire, Subject: s.cfg.Domain, Holder: s.holder, TTL: s.cfg.TTL,
		WaitDone: s.lease.Number > 0 && !now.Before(s.lease.SettledAt),
	}
}

func (s *Service) releaseRequest() fence.Request {
	return fence.Request{Verb: fence.Release, Subject: s.cfg.Domain, Holder: s.holder}
}

// ask sends a request to the control group without holding up the loop.
func (s *Service) ask(r fence.Request, done func(asked, now time.Time, g fence.Grant)) {
	s.asking = true
	asked := s.cfg.Now()
	s.calls.Go(func() {
		ctx, cancel := context.WithTimeout(s.ctx, s.cfg.CallTimeout)
		defer cancel()
		g, err := s.propose(ctx, r)
		s.loop.Post(func(now time.Time) {
			s.asking = false
			if err == nil {
				err = g.Err()
			}
			if err != nil {
				s.refused(now, r, err)
				return
			}
			done(asked, now, g)
		})
	})
}

func (s *Service) propose(ctx context.Context, r fence.Request) (g fence.Grant, err error) {
	data, err := control.Marshal(&r)
	if err != nil {
		return g, err
	}
	result, err := s.cfg.Propose(ctx, fence.Name, data)
	if err != nil {
		return g, err
	}
	return g, control.Unmarshal(result, &g)
}

// refused waits a little before the next try. Another holder ends what is left of
// the own lease: this instance was taken for dead.
func (s *Service) refused(now time.Time, r fence.Request, err error) {
	s.askAt = now.Add(s.cfg.TTL / 12)
	if fault.CodeOf(err) == fault.Conflict && r.Verb == fence.Acquire {
		s.lease.Drop()
	}
	s.cfg.Log.Debug().Err(err).Str("verb", string(r.Verb)).Msg("lease for orders not given")
}

// granted takes a lease or its renewal. Orders of an earlier issuer may be under way at
// the beginning of a term for as long as that one counted on its lease and their flight
// takes; engines that check the number refuse them, the others are left alone until then.
func (s *Service) granted(asked, now time.Time, g fence.Grant) {
	begun, alone := s.lease.Update(asked, now, &g, s.terms())
	if !begun {
		return
	}
	if !alone {
		s.domain.Begin(now, g.Lease.Number == 1)
		s.forget()
	}
	s.cfg.Log.Info().Uint64("fence", s.lease.Number).Dur("wait", s.lease.SettledAt.Sub(now)).Msg("this instance orders the domain's engines")
}
