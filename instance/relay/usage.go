package relay

import (
	"context"
	"time"

	"github.com/comfreyladder/comfreyladder/core/route"
)

const (
	// livenessDelay is the time between the loss of a response and the liveness check of the
	// upstream: one that crashed accepts no connections by then and has not been restarted yet.
	livenessDelay = 200 * time.Millisecond
	// maxLivenessChecks bounds the concurrent checks; a further request counts as not begun.
	maxLivenessChecks = 32
)

// overdueFactor is the multiple of the predicted time to the first event after which a stream
// without events is assumed to have begun.
const overdueFactor = 2

// overdue reports whether the request was sent and should have begun to run by now. Callers who
// hang up while a response is lost would not be counted otherwise, as they wait for events that
// never arrive.
func (a *attempt) overdue() bool {
	return a.conn != nil && a.written() && time.Since(a.startedAt) > overdueFactor*a.expectedFirstEvent()
}

// expectedFirstEvent is the predicted time from sending the request to the first event; zero if it
// is no stream.
func (a *attempt) expectedFirstEvent() time.Duration {
	return time.Duration(a.nominalMS * float64(time.Millisecond))
}

// countIfBegun counts a request whose response was lost if it probably began to run. A request that
// is no stream may have run and is counted. A stream begins with its first event, which may be lost
// with the rest: it is counted if the upstream is still alive. At an upstream that crashed most
// requests were still queued.
func (s *Service) countIfBegun(a *attempt) {
	r := a.r
	if r.organisation == nil || s.cfg.OnRequestBegun == nil || r.usageCounted.Load() {
		return
	}
	if r.route.Kind != route.Streaming {
		a.countBegunBefore(time.Since(a.startedAt))
		return
	}
	if s.livenessChecks.Add(1) > maxLivenessChecks {
		s.livenessChecks.Add(-1)
		return
	}
	// A loss may be detected long after the request began, for example at its deadline, in a later
	// window of usage: the request counts from when its first event was expected.
	ago := max(0, time.Since(a.startedAt)-a.expectedFirstEvent())
	up, organisation, counted := a.up, r.organisation.Name, r.usageCounted
	s.running.Go(func() {
		defer s.livenessChecks.Add(-1)
		ctx, cancel := context.WithTimeout(context.Background(), livenessDelay+probeTimeout)
		defer cancel()
		if !s.sleep(livenessDelay) {
			return
		}
		c, err := up.pool.dial(ctx)
		if err != nil {
			return
		}
		s.fleet.keepConn(up, c)
		if !counted.Swap(true) {
			s.cfg.OnRequestBegun(organisation, ago+livenessDelay)
		}
	})
}

// sleep waits for d and reports false if the service stops meanwhile.
func (s *Service) sleep(d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-s.stop:
		return false
	}
}
