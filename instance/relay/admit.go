package relay

import (
	"time"

	"github.com/comfreyladder/comfreyladder/core/route"
)

// Engines that prefill continuously generate tokens many times slower: a step that prefills a
// chunk of a prompt takes about ten times as long as one that does not. Streams then miss their
// pauses and deadlines and hold memory for longer, which delays all requests further. So requests
// wait here instead of in the engines' queues, and only briefly: one that cannot start soon is
// refused immediately, with a retry time.

const (
	// leastUrgentQueueShare is how much may be queued at an engine before a request of the least
	// urgent routes, as a share of its latency objective; maxQueueShare applies to all others.
	// Engines serve more urgent requests first, so most of the queue is not ahead of those, and
	// shedding them along with less urgent work would invert the priorities.
	leastUrgentQueueShare, maxQueueShare = 0.35, 3.0
	// maxHoldShare is the share of its objective for which a request waits here for an engine with
	// free capacity: a wait up to that can still be answered in time.
	maxHoldShare = 0.125
	// holdPollInterval is the time between two checks for free capacity.
	holdPollInterval = 25 * time.Millisecond
)

// queueLimitMS returns how much may be queued before a request of a route, in milliseconds.
func queueLimitMS(r *route.Route, rank float64) float64 {
	share := maxQueueShare
	if rank == 1 {
		share = leastUrgentQueueShare
	}
	return share * float64(r.Target.Milliseconds())
}

// acquire chooses an upstream and briefly waits for one with free capacity.
func (s *Service) acquire(r *request, avoid []*upstream) (up *upstream, busy bool) {
	until := time.Now().Add(time.Duration(maxHoldShare * float64(r.route.Target)))
	queued := false
	defer func() {
		if queued {
			s.fleet.enqueue(r, -1)
		}
	}()
	if len(avoid) == 0 {
		s.requestSlot(r)
	}
	for {
		hadGrant := r.granted != 0
		up, busy = s.fleet.choose(r, s.cfg.Domain, avoid)
		s.recordSlot(r, hadGrant, up)
		if up != nil {
			s.loadChanged(r)
			return up, false
		}
		if !busy || r.shed || !time.Now().Add(max(holdPollInterval, r.pauseLeft)).Before(until) {
			return nil, busy
		}
		if r.allLimited && !queued {
			queued = true
			s.fleet.enqueue(r, 1)
		}
		t := time.NewTimer(holdPollInterval)
		select {
		case <-t.C:
		case <-r.gone:
			t.Stop()
			return nil, false
		}
	}
}

// busyRefusal refuses a request for which no upstream has free capacity, and names the limit that
// it hit.
func (s *Service) busyRefusal(r *request) *refusal {
	switch {
	case r.allLimited:
		return &refusal{503, "not run: all upstreams are at the limits that they name", s.fleet.limitRetryAfter(r, s.cfg.State.View().Forwarders)}
	case r.pauseLeft > 0:
		return &refusal{503, "not run: all upstreams ask for a pause", pauseRetryAfter(r)}
	case r.allConnected:
		return &refusal{503, "not run: this instance uses all its connections to the upstreams", busyRetryAfter(r)}
	case r.shed:
		return &refusal{503, "not run: more is asked than the engines can read", busyRetryAfter(r)}
	}
	return &refusal{503, "not run: too much waits before it", busyRetryAfter(r)}
}

// busyRetryAfter is when a request that found too long a queue may be retried: when the queue is
// expected to be processed, and early enough to be answered in time.
func busyRetryAfter(r *request) time.Duration {
	const shortest = 100 * time.Millisecond
	wait := time.Duration((r.predictedMS - r.maxQueueMS) * float64(time.Millisecond))
	return min(max(wait, shortest), max(shortest, r.route.Target/4))
}
