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

func (s *Service) timing() fence.Timing {
	return fence.Timing{TTL: s.cfg.TTL, Margin: s.cfg.Margin, MaxEffectDelay: s.cfg.MaxEffectDelay}
}

// maintainLease acquires the lease when an order is due, renews it while orders are due, and releases it
// when none was due for KeepLease. A lease that is not settled yet is kept: the next one would have to
// wait for the whole time again.
func (s *Service) maintainLease(now time.Time) {
	s.lease.Expire(now)
	wanted := now.Sub(later(s.lastDue, s.lease.SettledAt)) < s.cfg.KeepLease
	switch {
	case s.requestPending || now.Before(s.nextRequestAt):
	case wanted && (s.lease.Number == 0 || !now.Before(s.lease.RenewAt)):
		s.sendRequest(s.acquireRequest(now), s.handleGrant)
	case !wanted && s.lease.Number > 0 && !s.orderMayArrive(now):
		s.releaseLease()
	}
}

// resign ends the role when another instance is elected. The lease is released once no order that was
// sent under it can be in flight; otherwise it expires, and the successor waits.
func (s *Service) resign(now time.Time) {
	s.lease.Expire(now)
	if s.lease.Number > 0 && !s.requestPending && !s.orderMayArrive(now) {
		s.releaseLease()
	}
	s.dropEngines()
	s.lastDue = time.Time{}
}

// dropEngines drops the state of the engines: another issuer may have sent them orders since.
func (s *Service) dropEngines() {
	s.engines = map[string]*engine{}
	s.enginesRead = false
}

// releaseLease releases the lease, and first stops relying on it.
func (s *Service) releaseLease() {
	r := s.releaseRequest()
	s.lease.Drop()
	s.sendRequest(r, func(time.Time, time.Time, fence.Grant) {})
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

// sendRequest sends a request to the control group without blocking the loop.
func (s *Service) sendRequest(r fence.Request, done func(requestedAt, now time.Time, g fence.Grant)) {
	s.requestPending = true
	requestedAt := s.cfg.Now()
	s.calls.Go(func() {
		ctx, cancel := context.WithTimeout(s.ctx, s.cfg.CallTimeout)
		defer cancel()
		g, err := s.propose(ctx, r)
		s.loop.Post(func(now time.Time) {
			s.requestPending = false
			if err == nil {
				err = g.Err()
			}
			if err != nil {
				s.handleRefusal(now, r, err)
				return
			}
			done(requestedAt, now, g)
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

// handleRefusal delays the next request. If another instance holds the lease, the rest of the local
// lease is dropped: this instance was assumed to have failed.
func (s *Service) handleRefusal(now time.Time, r fence.Request, err error) {
	s.nextRequestAt = now.Add(s.cfg.TTL / 12)
	if fault.CodeOf(err) == fault.Conflict && r.Verb == fence.Acquire {
		s.lease.Drop()
	}
	s.cfg.Log.Debug().Err(err).Str("verb", string(r.Verb)).Msg("lease for orders not granted")
}

// handleGrant applies a new lease or a renewal. At the start of a term, orders of the previous issuer
// may be in flight for as long as it relied on its lease plus the effect delay. Engines that check the
// fencing number refuse them; the others get no orders until then.
func (s *Service) handleGrant(requestedAt, now time.Time, g fence.Grant) {
	newNumber, uninterrupted := s.lease.Update(requestedAt, now, &g, s.timing())
	if !newNumber {
		return
	}
	if !uninterrupted {
		s.domain.Begin(now, g.Lease.Number == 1)
		s.dropEngines()
	}
	s.cfg.Log.Info().Uint64("fence", s.lease.Number).Dur("wait", s.lease.SettledAt.Sub(now)).Msg("acquired the lease for orders")
}
