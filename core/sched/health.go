package sched

import (
	"time"

	"github.com/comfreyladder/comfreyladder/core/pick"
)

const (
	// healthInterval is how often engines are compared with each other.
	healthInterval = 500 * time.Millisecond
	// probeInterval is the least time between two probes of a straggler.
	probeInterval = time.Second
	// stragglerFactor is how many times worse than the median makes a straggler.
	stragglerFactor = 3
	// stragglerSlack is added to the bound on the first token, so that engines that
	// all answer within milliseconds are not told apart by noise.
	stragglerSlack = 300 * time.Millisecond
	// minSamples is how many answers a judgement needs.
	minSamples = 5
	// minPeers is how many engines of a model a median needs.
	minPeers = 3
	// failuresToEject is how many failures in a row set an engine aside, or mean
	// that it is down if none of them can be the request's own fault.
	failuresToEject = 3
	// unresponsiveFactor and silentSlack bound the wait for a first token, from the
	// peers' median, beyond which an engine counts as down and not only as slow.
	unresponsiveFactor = 10
	unresponsiveSlack  = 2 * time.Second
	// maxEjectionTime is when an engine that got no probe is tried again anyway;
	// without it an engine would stay aside while only protected work runs.
	maxEjectionTime = 30 * time.Second
)

// peerStats sums up the engines that hold the same model.
type peerStats struct {
	firstTokens      []time.Duration
	tokenRates       []float64
	medianFirstToken time.Duration
	medianTokenRate  float64
}

// checkHealth sets stragglers aside and takes recovered engines back.
func (s *Scheduler) checkHealth(now time.Time) {
	groups := s.peerGroups()
	for _, e := range s.engines {
		slow := e.isStraggler(now, groups)
		switch {
		case e.ejected && now.Sub(e.ejectedAt) > maxEjectionTime:
			e.reinstate()
			e.invalidate()
		case e.ejected && !slow:
			e.reinstate()
		case !e.ejected && slow:
			e.eject(now)
		}
		if e.ejected && e.isUnresponsive(now, groups) {
			e.down = true
		}
	}
}

// isUnresponsive reports whether an engine keeps a request waiting for a first token
// for so long that nothing is to be expected from it.
func (e *engine) isUnresponsive(now time.Time, groups map[string]*peerStats) bool {
	g := e.peerGroup(groups)
	return g != nil && e.longestFirstTokenWait(now) > unresponsiveFactor*g.medianFirstToken+unresponsiveSlack
}

// recordFailure takes in a failure. A refused connection proves by itself that the engine
// is not there; streams that break do when they come in a row. A request that
// the engine answered with a failure proves nothing: it may be a bad request,
// and some of those must not take an engine out of use.
//
// It guards against a crashed engine that draws all requests to itself until its
// announcement runs out: each fails at once, so that the engine looks idle while
// the others are full, and callers are told "not run" although there is room.
// A down engine gets one probe at a time, so that it can draw no more than that.
func (e *engine) recordFailure(now time.Time, i *item, o Outcome) {
	e.consecutiveFailures++
	if o.Unused || !i.startedAt.IsZero() {
		e.engineFailures++
	}
	if e.down || !o.Unused && e.engineFailures < failuresToEject {
		return
	}
	e.eject(now)
	e.down = true
}

func (s *Scheduler) peerGroups() map[string]*peerStats {
	groups := map[string]*peerStats{}
	for _, e := range s.engines {
		if e.removed || e.samples == 0 || len(e.Models) == 0 {
			continue
		}
		g := groups[e.Models[0]]
		if g == nil {
			g = &peerStats{}
			groups[e.Models[0]] = g
		}
		g.firstTokens = append(g.firstTokens, secondsToDuration(e.firstToken))
		g.tokenRates = append(g.tokenRates, e.tokenRate)
	}
	for _, g := range groups {
		g.medianFirstToken = pick.Median(g.firstTokens)
		g.medianTokenRate = pick.Median(g.tokenRates)
	}
	return groups
}

// isStraggler reports whether an engine is several times worse than its peers'
// median, failed and did not answer since, or keeps requests waiting for a first
// token. The last part sees an engine that froze and so finishes nothing that
// could be measured.
func (e *engine) isStraggler(now time.Time, groups map[string]*peerStats) bool {
	if e.down && e.consecutiveFailures > 0 || e.consecutiveFailures >= failuresToEject {
		return true
	}
	g := e.peerGroup(groups)
	if g == nil {
		return false
	}
	bound := stragglerFactor*g.medianFirstToken + stragglerSlack
	if e.longestFirstTokenWait(now) > bound {
		return true
	}
	if e.samples < minSamples {
		return false
	}
	return secondsToDuration(e.firstToken) > bound || e.tokenRate*stragglerFactor < g.medianTokenRate
}

// peerGroup returns the engine's group if it is large enough to judge by.
func (e *engine) peerGroup(groups map[string]*peerStats) *peerStats {
	if len(e.Models) == 0 {
		return nil
	}
	if g := groups[e.Models[0]]; g != nil && len(g.firstTokens) >= minPeers {
		return g
	}
	return nil
}

func (e *engine) eject(now time.Time) {
	e.ejected = true
	e.ejectedAt = now
	e.nextProbe = now.Add(probeInterval)
}

// reinstate takes an engine back. Its figures stay: one that is only little too
// good for a straggler is still known to be slow.
func (e *engine) reinstate() {
	e.ejected, e.down = false, false
	e.consecutiveFailures, e.engineFailures = 0, 0
}

// evaluateProbe acts on the end of a probe at once.
func (s *Scheduler) evaluateProbe(now time.Time, i *item, o Outcome) {
	e := i.engine
	if !i.probe || !e.ejected || !o.Complete {
		return
	}
	if !e.isStraggler(now, s.peerGroups()) {
		e.reinstate()
	}
}

// medianFirstToken is the median time to a first token of the model's engines.
func (s *Scheduler) medianFirstToken(model string) time.Duration {
	var all []time.Duration
	for _, e := range s.engines {
		if e.modelSet[model] && e.firstToken > 0 {
			all = append(all, secondsToDuration(e.firstToken))
		}
	}
	return pick.Median(all)
}

// medianTokenRate is the median rate of one stream of the model, in tokens a second.
func (s *Scheduler) medianTokenRate(model string) float64 {
	var all []float64
	for _, e := range s.engines {
		if e.modelSet[model] && e.tokenRate > 0 {
			all = append(all, e.tokenRate)
		}
	}
	if len(all) == 0 {
		return s.cfg.PriorTokenRate
	}
	return pick.Median(all)
}
