package relay

import (
	"time"

	"github.com/comfreyladder/comfreyladder/core/route"
)

// Engines that always have prompts to read generate tokens many times slower: a step
// that reads a chunk of a prompt takes some ten times as long as one that doesn't.
// Streams then miss their pauses and deadlines, hold memory for longer, and all get
// later still. So work waits here, not in the engines' queues, and for a short time
// only: what can't begin soon is told so at once, with when to come back.

const (
	// aheadLast is how much may wait before a request of the least urgent routes at an
	// engine, as a part of its latency objective, and aheadOthers before all others:
	// engines take the more urgent ones first, so what waits there is mostly not before
	// them, and turning them away beside less urgent work would be the wrong order.
	aheadLast, aheadOthers = 0.35, 3.0
	// holdShare is for which part of its objective a request waits here for an engine
	// that has room: a wait up to that is made good by answering in time.
	holdShare = 0.125
	// holdStep is the time between two looks for room.
	holdStep = 25 * time.Millisecond
)

// maxAhead returns how much may wait before a request of a route, in milliseconds.
func maxAhead(r *route.Route, rank float64) float64 {
	part := aheadOthers
	if rank == 1 {
		part = aheadLast
	}
	return part * float64(r.Target.Milliseconds())
}

// acquire chooses an upstream, and waits for a moment for one that has room.
func (s *Service) acquire(r *request, avoid []*upstream) (up *upstream, busy bool) {
	until := time.Now().Add(time.Duration(holdShare * float64(r.route.Target)))
	queued := false
	defer func() {
		if queued {
			s.fleet.enqueue(r, -1)
		}
	}()
	for {
		up, busy = s.fleet.choose(r, s.cfg.Domain, avoid)
		if up != nil {
			return up, false
		}
		if !busy || r.shed || !time.Now().Add(holdStep).Before(until) {
			return nil, busy
		}
		if r.limited && !queued {
			queued = true
			s.fleet.enqueue(r, 1)
		}
		t := time.NewTimer(holdStep)
		select {
		case <-t.C:
		case <-r.gone:
			t.Stop()
			return nil, false
		}
	}
}

// busyVerdict refuses a request for which no upstream has room, and says which bound it
// met.
func (s *Service) busyVerdict(r *request) *verdict {
	switch {
	case r.limited:
		return &verdict{503, "not run: all upstreams are at the limits that they name", s.fleet.limitHint(r, s.cfg.State.View().Forwarders)}
	case r.shed:
		return &verdict{503, "not run: more is asked than the engines can read", busyHint(r)}
	}
	return &verdict{503, "not run: too much waits before it", busyHint(r)}
}

// busyHint is when a request that found too much before it may come again: when that
// has been read, as far as it is known, and early enough to be answered in time.
func busyHint(r *request) time.Duration {
	const shortest = 100 * time.Millisecond
	wait := time.Duration((r.predicted - r.maxAhead) * float64(time.Millisecond))
	return min(max(wait, shortest), max(shortest, r.route.Target/4))
}
