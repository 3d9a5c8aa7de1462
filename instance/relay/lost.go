package relay

import (
	"context"
	"time"

	"github.com/comfreyladder/comfreyladder/core/route"
)

const (
	// lostPause is after what time an upstream is tried whose answer was lost: one that
	// crashed takes no connections then, and has not been started again yet.
	lostPause = 200 * time.Millisecond
	// maxLost bounds the tries at a time; beyond it a request counts as one that did not
	// begin.
	maxLost = 32
)

// countLost counts a request whose answer was lost, if it has begun to run as far as can be
// told. One that is no stream may have. A stream begins with its first event, which may be
// lost with the rest: it is taken to have begun if the upstream is still there. Where the
// upstream crashed, most of what it had waited.
func (s *Service) countLost(a *attempt) {
	r := a.r
	if r.organisation == nil || s.cfg.Began == nil || r.counted.Load() {
		return
	}
	if r.route.Kind != route.Streaming {
		a.began()
		return
	}
	if s.losses.Add(1) > maxLost {
		s.losses.Add(-1)
		return
	}
	up, organisation, counted := a.up, r.organisation.Name, r.counted
	s.running.Go(func() {
		defer s.losses.Add(-1)
		ctx, cancel := context.WithTimeout(context.Background(), lostPause+dialTimeout)
		defer cancel()
		if !s.pause(lostPause) {
			return
		}
		c, err := up.pool.dial(ctx)
		if err != nil {
			return
		}
		up.pool.putUnused(c, time.Now())
		if !counted.Swap(true) {
			s.cfg.Began(organisation, lostPause)
		}
	})
}

// pause waits, and reports whether the service goes on.
func (s *Service) pause(d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-s.stop:
		return false
	}
}
