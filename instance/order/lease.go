package order

import (
	"context"
	"time"

	"github.com/comfreyladder/comfreyladder/core/control"
	"github.com/comfreyladder/comfreyladder/core/control/fence"
	"github.com/comfreyladder/comfreyladder/core/fault"
	core "github.com/comfreyladder/comfreyladder/core/order"
)

// lease is this instance's right to order the domain's engines.
type lease struct {
	// number is the fencing number, 0 without a lease.
	number uint64
	// until is the end of the lease as this instance may count on it, renew when
	// it is to be renewed.
	until, renew time.Time
	// settled is when orders of earlier issuers are over.
	settled time.Time
	// before is the number that this instance held last.
	before uint64
}

// valid reports whether the lease covers an order that is sent now. The time of
// day is looked at besides the monotonic clock, which stands still while a
// machine is suspended.
func (l *lease) valid(now time.Time) bool {
	return l.number > 0 && now.Before(l.until) && now.Round(0).Before(l.until.Round(0))
}

func (l *lease) authority(now time.Time) core.Authority {
	ok := l.valid(now)
	return core.Authority{Checking: ok, Ignoring: ok && !now.Before(l.settled)}
}

func (l *lease) drop() { l.number, l.settled = 0, time.Time{} }

// tend renews the lease while there are orders to give, takes it when the first
// one is due, and gives it up when there were none for a while. One that is not
// settled yet is kept: the next would have to wait all over again.
func (s *Service) tend(now time.Time) {
	if s.lease.number > 0 && !now.Before(s.lease.until) {
		s.lease.drop()
	}
	wanted := now.Sub(later(s.active, s.lease.settled)) < s.cfg.Keep
	switch {
	case s.asking || now.Before(s.askAt):
	case wanted && (s.lease.number == 0 || !now.Before(s.lease.renew)):
		s.ask(s.acquireRequest(now), s.granted)
	case !wanted && s.lease.number > 0 && !s.uncertain(now):
		s.giveUp()
	}
}

// resign ends the role when another instance is elected. The lease is given up
// once nothing is under way any more that was sent under it; else it runs out,
// and the successor waits.
func (s *Service) resign(now time.Time) {
	if s.lease.number > 0 && !now.Before(s.lease.until) {
		s.lease.drop()
	}
	if s.lease.number > 0 && !s.asking && !s.uncertain(now) {
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
	s.lease.drop()
	s.ask(r, func(time.Time, time.Time, fence.Grant) {})
}

func (s *Service) acquireRequest(now time.Time) fence.Request {
	return fence.Request{
		Verb: fence.Acquire, Domain: s.cfg.Domain, Holder: s.holder, TTL: s.cfg.TTL,
		Settled: s.lease.number > 0 && !now.Before(s.lease.settled),
	}
}

func (s *Service) releaseRequest() fence.Request {
	return fence.Request{Verb: fence.Release, Domain: s.cfg.Domain, Holder: s.holder}
}

// ask sends a request to the control group without holding up the loop.
func (s *Service) ask(r fence.Request, done func(asked, now time.Time, g fence.Grant)) {
	s.asking = true
	asked := time.Now()
	s.calls.Go(func() {
		ctx, cancel := context.WithTimeout(s.ctx, s.cfg.CallTimeout)
		defer cancel()
		g, err := s.propose(ctx, r)
		s.post(func(now time.Time) {
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
		s.lease.drop()
	}
	s.cfg.Log.Debug().Err(err).Str("verb", string(r.Verb)).Msg("lease for orders not given")
}

// granted takes a lease or its renewal. It counts from before the request was
// sent, since the group cannot have given it earlier than that.
func (s *Service) granted(asked, now time.Time, g fence.Grant) {
	l := &s.lease
	if g.Lease.Number != l.number {
		s.begin(now, g)
	}
	l.until = asked.Add(s.cfg.TTL - s.cfg.Margin)
	l.renew = asked.Add(s.cfg.TTL / 3)
}

// begin starts a term. Orders of an earlier issuer may be under way for as long as
// that one counted on its lease and their flight takes; engines that check the
// number refuse them, the others are left alone until then.
func (s *Service) begin(now time.Time, g fence.Grant) {
	l := &s.lease
	mine := l.before != 0 && g.Lease.Number == l.before+1
	l.number, l.before = g.Lease.Number, g.Lease.Number
	l.settled = now
	if g.Wait > 0 {
		l.settled = now.Add(g.Wait + s.cfg.Flight)
	}
	if !mine {
		s.domain.Begin(now, g.Lease.Number == 1)
		s.forget()
	}
	s.cfg.Log.Info().Uint64("fence", l.number).Dur("wait", l.settled.Sub(now)).Msg("this instance orders the domain's engines")
}
