package relay

import (
	"context"
	"time"

	"github.com/comfreyladder/comfreyladder/core/drain"
	"github.com/comfreyladder/comfreyladder/core/route"
	"github.com/comfreyladder/comfreyladder/instance/clock"
	"github.com/comfreyladder/comfreyladder/instance/shutdown"
)

// Drain implements kernel.Drainer. The balancer goes on sending for a while, and
// that is served as before, but each answer ends its connection; idle connections
// are closed only afterwards, so that no request crosses the close meanwhile. The
// listener stays open while answers are under way, as callers may have nowhere else to go.
func (s *Service) Drain(ctx context.Context) error {
	course := drain.NewSchedule(clock.Now(), s.cfg.Announce, s.cfg.DrainTimeout)
	s.drain.Store(&course)
	s.cfg.Log.Event("drain").Int("in_flight", s.inFlight.Load()).MS("announce", s.cfg.Announce).MS("timeout", s.cfg.DrainTimeout).End()
	return shutdown.Run(ctx, &course, (*connections)(s))
}

// connections is the service as its drain sees it.
type connections Service

// CloseListener implements shutdown.Server.
func (s *connections) CloseListener() { s.listener.CloseWhenEmpty() }

// Sweep implements shutdown.Server.
func (s *connections) Sweep(ran time.Duration, lastCall bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		c.sweep(ran, lastCall)
	}
}

// Work implements shutdown.Server.
func (s *connections) Work() drain.Work {
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

// phase returns how far a drain is.
func (s *Service) phase() drain.Phase {
	if course := s.drain.Load(); course != nil {
		return course.Phase(clock.Now())
	}
	return drain.Serving
}

// takes reports whether a request may begin, as far as a drain is concerned.
func (s *Service) takes(r *request) bool {
	course := s.drain.Load()
	return course == nil || course.Accepts(clock.Now(), r.route.Kind == route.Streaming, r.deadline)
}

// lastCall reports whether a drain takes nothing new any more.
func (s *Service) lastCall() bool {
	course := s.drain.Load()
	return course != nil && course.RefusesIncomplete(clock.Now())
}
