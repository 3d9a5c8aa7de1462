package sched

import (
	"time"

	"github.com/comfreyladder/comfreyladder/core/pick"
)

const (
	// healthInterval is the interval at which engines are compared with each other.
	healthInterval = 500 * time.Millisecond
	// probeInterval is the minimum time between two probes of an ejected engine.
	probeInterval = time.Second
	// stragglerFactor is how many times worse than the median an engine must be to
	// count as a straggler.
	stragglerFactor = 3
	// stragglerSlack is added to the limit on the time to first token, so that noise
	// does not separate engines that all answer within milliseconds.
	stragglerSlack = 300 * time.Millisecond
	// minSamples is the number of measurements needed to judge an engine.
	minSamples = 5
	// minPeers is the number of engines of a model needed for a median.
	minPeers = 3
	// failuresToEject is the number of consecutive failures that eject an engine. If
	// only the engine can have caused them, it also counts as down.
	failuresToEject = 3
	// unresponsiveFactor and unresponsiveSlack define, from the peers' median, the wait
	// for a first token beyond which an engine counts as down and not only as slow.
	unresponsiveFactor = 10
	unresponsiveSlack  = 2 * time.Second
	// maxEjectionTime is when an engine that got no probe is reinstated anyway.
	// Otherwise it would stay ejected while only protected requests arrive, which are
	// not used as probes.
	maxEjectionTime = 30 * time.Second
)

// peerStats aggregates the measurements of the engines that hold the same model.
type peerStats struct {
	firstTokens      []time.Duration
	tokenRates       []float64
	medianFirstToken time.Duration
	medianTokenRate  float64
}

// checkHealth ejects stragglers and reinstates recovered engines.
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

// isUnresponsive reports whether a request has waited so long for its first token that
// no answer from the engine is to be expected.
func (e *engine) isUnresponsive(now time.Time, groups map[string]*peerStats) bool {
	g := e.peerGroup(groups)
	return g != nil && e.longestFirstTokenWait(now) > unresponsiveFactor*g.medianFirstToken+unresponsiveSlack
}

// recordFailure handles a failed grant. A refused connection alone shows that the
// engine is down; broken streams do if several occur in a row. A failure response shows
// nothing, because the request itself may be invalid, and a few invalid requests must
// not make an engine unavailable.
//
// This guards against a crashed engine that attracts all requests until its
// announcement expires: each request fails immediately, so that the engine looks idle
// while the others are full, and callers are told "not run" although there is capacity.
// A down engine gets only one probe at a time, which limits what it can attract.
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

// isStraggler reports whether an engine is several times worse than its peers' median,
// has failed and not answered since, or keeps requests waiting for a first token. The
// last check detects a frozen engine, which finishes nothing that could be measured.
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

// peerGroup returns the engine's group if it is large enough for a comparison.
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

// reinstate makes an engine available again. Its measurements are kept: an engine that
// is only just not a straggler is still known to be slow.
func (e *engine) reinstate() {
	e.ejected, e.down = false, false
	e.consecutiveFailures, e.engineFailures = 0, 0
}

// evaluateProbe reinstates an ejected engine as soon as a complete probe shows that it
// is no longer a straggler.
func (s *Scheduler) evaluateProbe(now time.Time, i *item, o Outcome) {
	e := i.engine
	if !i.probe || !e.ejected || !o.Complete {
		return
	}
	if !e.isStraggler(now, s.peerGroups()) {
		e.reinstate()
	}
}

// medianFirstToken returns the median time to first token of the model's engines.
func (s *Scheduler) medianFirstToken(model string) time.Duration {
	var all []time.Duration
	for _, e := range s.engines {
		if e.modelSet[model] && e.firstToken > 0 {
			all = append(all, secondsToDuration(e.firstToken))
		}
	}
	return pick.Median(all)
}

// medianTokenRate returns the median token rate of one stream of the model, in tokens a
// second, or PriorTokenRate if none was measured.
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
