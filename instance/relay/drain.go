package relay

import (
	"context"
	"time"

	"github.com/comfreyladder/comfreyladder/core/drain"
	"github.com/comfreyladder/comfreyladder/core/route"
	"github.com/comfreyladder/comfreyladder/instance/clock"
	"github.com/comfreyladder/comfreyladder/instance/shutdown"
)

// Drain implements kernel.Drainer. The balancer keeps sending requests for a while; they are served
// as before, but each response closes its connection. Idle connections are closed only afterwards,
// so that no request crosses the close. The listener stays open while requests are in flight, as
// callers may have no other instance to go to.
func (s *Service) Drain(ctx context.Context) error {
	schedule := drain.NewSchedule(clock.Now(), s.cfg.Announce, s.cfg.DrainTimeout)
	s.drain.Store(&schedule)
	if s.cfg.OnDrain != nil {
		s.cfg.OnDrain()
	}
	s.cfg.Log.Event("drain").Int("in_flight", s.inFlight.Load()).MS("announce", s.cfg.Announce).MS("timeout", s.cfg.DrainTimeout).End()
	return shutdown.Run(ctx, &schedule, (*drainServer)(s))
}

// drainServer implements shutdown.Server for the service.
type drainServer Service

// CloseListener implements shutdown.Server.
func (s *drainServer) CloseListener() { s.listener.CloseWhenEmpty() }

// Sweep implements shutdown.Server.
func (s *drainServer) Sweep(ran time.Duration, lastCall bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		c.sweep(ran, lastCall)
	}
}

// Work implements shutdown.Server.
func (s *drainServer) Work() drain.Work {
	s.mu.Lock()
	defer s.mu.Unlock()
	w := drain.Work{Listening: s.listening.Load(), InFlight: int(s.inFlight.Load()), All: len(s.conns)}
	for c := range s.conns {
		if c.open() {
			w.Open++
		}
	}
	return w
}

// phase returns the current phase of the drain.
func (s *Service) phase() drain.Phase {
	if schedule := s.drain.Load(); schedule != nil {
		return schedule.Phase(clock.Now())
	}
	return drain.Serving
}

// acceptsDuringDrain reports whether the drain schedule allows a request to start.
func (s *Service) acceptsDuringDrain(r *request) bool {
	schedule := s.drain.Load()
	return schedule == nil || schedule.Accepts(clock.Now(), r.route.Kind == route.Streaming, r.deadline)
}

// refusesIncomplete reports whether the drain has reached the point at which incomplete requests
// are refused.
func (s *Service) refusesIncomplete() bool {
	schedule := s.drain.Load()
	return schedule != nil && schedule.RefusesIncomplete(clock.Now())
}
