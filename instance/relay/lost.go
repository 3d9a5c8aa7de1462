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

// overduePart is how many times the predicted time to the first event has to be over for a
// stream to be taken for begun that nothing came of.
const overduePart = 2

// overdue reports whether the request was sent and should have begun to run by now. Callers who
// leave while an answer is lost would else not be counted: they wait for what will not come.
func (a *attempt) overdue() bool {
	return a.conn != nil && a.written() && time.Since(a.begun) > overduePart*a.expected()
}

// expected is the predicted time from the sending to the first event; zero for what is no
// stream.
func (a *attempt) expected() time.Duration {
	return time.Duration(a.nominal * float64(time.Millisecond))
}

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
		a.beganAgo(time.Since(a.begun))
		return
	}
	if s.lostTries.Add(1) > maxLost {
		s.lostTries.Add(-1)
		return
	}
	// A loss may show long after the request began, as at its deadline, in another window of
	// usage: it counts from when its first event was to be expected.
	ago := max(0, time.Since(a.begun)-a.expected())
	up, organisation, counted := a.up, r.organisation.Name, r.counted
	s.running.Go(func() {
		defer s.lostTries.Add(-1)
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
			s.cfg.Began(organisation, ago+lostPause)
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
