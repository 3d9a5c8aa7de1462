package sched

import (
	"time"

	"github.com/comfreyladder/comfreyladder/core/pick"
)

const (
	// defaultAlpha is the smoothing weight of a new measurement of an engine.
	defaultAlpha = 0.2
	// probeAlpha is the smoothing weight of a measurement of an ejected engine. It is
	// high, so that one or two good probes reinstate the engine.
	probeAlpha = 0.6
	// maxReportAge is the age beyond which a load report is ignored.
	maxReportAge = 10 * time.Second
	// maxMeasurementAge is the time without an answer after which an engine's
	// measurements count as unknown. Otherwise a slow engine that is never chosen would
	// keep its bad measurements and never be chosen again.
	maxMeasurementAge = 5 * time.Second
	// maxSentPrefixes is the number of prefixes sent to an engine that are remembered
	// until the engine's own cache events report them.
	maxSentPrefixes = 256
)

// engine is the scheduler's state for one upstream.
type engine struct {
	Upstream
	*engineStats
	modelSet map[string]bool
	// slots is this scheduler's share of the upstream's slots.
	slots int
	// inFlight counts grants; unprotectedInFlight counts those of unprotected classes.
	inFlight, unprotectedInFlight int
	// pacedInFlight counts those of classes with a target between tokens.
	pacedInFlight int
	// unstarted holds the grants that have no first token yet.
	unstarted map[string]*item
	// inFlightHistory records earlier in-flight counts, to correct delayed load
	// reports.
	inFlightHistory []inFlightSample
	// otherRequests is the number of requests from other sources in the latest load
	// report.
	otherRequests int
	// consecutiveFailures counts failures in a row; engineFailures counts those of them
	// that only the engine can have caused.
	consecutiveFailures, engineFailures int
	ejected                             bool
	// down is set if the engine is ejected because it does not respond. It then gets
	// single probes, whatever is queued.
	down                 bool
	ejectedAt, nextProbe time.Time
	// promptTokens counts the uncached prompt tokens sent recently, with exponential
	// decay; promptTokensAt is the time of that value.
	promptTokens    float64
	promptTokensAt  time.Time
	sentPrefixes    map[uint64]struct{}
	sentPrefixOrder []uint64
	removed         bool
}

type inFlightSample struct {
	at    time.Time
	count int
}

func (e *engine) update(u Upstream) {
	if e.down && e.Address != u.Address {
		e.reinstate()
		e.invalidate()
	}
	e.Upstream = u
	e.removed = false
	e.otherRequests = 0
	if u.Load != nil {
		e.otherRequests = max(u.Load.Running+u.Load.Waiting-e.inFlightAt(u.LoadAt), 0)
	}
	e.modelSet = make(map[string]bool, len(u.Models))
	for _, m := range u.Models {
		e.modelSet[m] = true
	}
}

// addInFlight changes the in-flight counts by sign and records the total in the
// history.
func (e *engine) addInFlight(now time.Time, i *item, sign int) {
	e.inFlight += sign
	if sign > 0 {
		// The settings are kept until the grant ends, so that a class that changes in
		// between leaves no count behind.
		i.unprotected, i.paced = !i.class.Protected, i.class.BetweenTokens > 0
	}
	if i.unprotected {
		e.unprotectedInFlight += sign
	}
	if i.paced {
		e.pacedInFlight += sign
	}
	e.inFlightHistory = append(e.inFlightHistory, inFlightSample{now, e.inFlight})
	if len(e.inFlightHistory) < 128 {
		return
	}
	keep := 0
	for keep < len(e.inFlightHistory)-1 && now.Sub(e.inFlightHistory[keep+1].at) > maxReportAge {
		keep++
	}
	e.inFlightHistory = append(e.inFlightHistory[:0], e.inFlightHistory[keep:]...)
}

// inFlightAt returns the number of grants in flight at the given time.
func (e *engine) inFlightAt(at time.Time) int {
	for n := len(e.inFlightHistory) - 1; n >= 0; n-- {
		if !e.inFlightHistory[n].at.After(at) {
			return e.inFlightHistory[n].count
		}
	}
	return 0
}

// estimatedInFlight estimates the number of requests that the engine has now. Grants of
// this scheduler are known exactly; a load report only adds the requests of others at
// the time of the report. A delayed report must not be used as it is: an engine that
// was idle two seconds ago would still look idle after fifty grants.
func (e *engine) estimatedInFlight(now time.Time) int {
	if e.Load == nil || now.Sub(e.LoadAt) > maxReportAge {
		return e.inFlight
	}
	return e.inFlight + e.otherRequests
}

// freeSlots returns the number of slots open to a class. Unprotected classes may not
// fill the last slots of an engine, so that a protected request need not wait for a
// long answer of a lower tier to end.
func (e *engine) freeSlots(now time.Time, protected bool, headroom float64) int {
	if e.removed || e.Draining || e.down && (protected || now.Before(e.nextProbe)) {
		return 0
	}
	open := min(e.slots-e.inFlight, e.Slots-e.estimatedInFlight(now))
	if protected {
		return open
	}
	reserved := int(float64(e.slots) * headroom)
	return min(open, e.slots-reserved-e.unprotectedInFlight)
}

// candidate describes the engine, which holds the item's model, to the picker.
func (e *engine) candidate(now time.Time, i *item, headroom float64) pick.Candidate {
	first, rate := e.firstToken, e.tokenRate
	if e.stale(now) {
		first, rate = 0, 0
	}
	prefix := e.cachedPrefixShare(i.PrefixHashes)
	backlog := e.pendingPromptTokens(now)
	return pick.Candidate{
		Name:            e.Name,
		HasModel:        true,
		Excluded:        contains(i.Excluded, e.Name),
		Draining:        e.Draining || e.removed,
		Slots:           e.slots,
		InFlight:        e.estimatedInFlight(now),
		Free:            e.freeSlots(now, i.class.Protected, headroom),
		Unstarted:       len(e.unstarted),
		CachedShare:     prefix,
		PrefillTokens:   backlog + float64(i.PromptTokens)*(1-prefix),
		QueuedTokens:    backlog,
		HasPacedStreams: e.pacedInFlight > 0,
		FirstToken:      secondsToDuration(first),
		TokenRate:       rate,
		LastRate:        e.lastTokenRate(now),
		Straggler:       e.ejected,
		Unresponsive:    e.down,
		ProbeDue:        e.ejected && !now.Before(e.nextProbe),
	}
}

// cachedPrefixShare returns the share of the prompt's prefixes that the engine is
// believed to have cached.
func (e *engine) cachedPrefixShare(longestFirst []uint64) float64 {
	for n, h := range longestFirst {
		_, announced := e.Prefixes[h]
		_, sent := e.sentPrefixes[h]
		if announced || sent {
			return float64(len(longestFirst)-n) / float64(len(longestFirst))
		}
	}
	return 0
}

func (e *engine) rememberPrefixes(hashes []uint64) {
	for _, h := range hashes {
		if _, known := e.sentPrefixes[h]; known {
			continue
		}
		if len(e.sentPrefixOrder) >= maxSentPrefixes {
			delete(e.sentPrefixes, e.sentPrefixOrder[0])
			e.sentPrefixOrder = e.sentPrefixOrder[1:]
		}
		e.sentPrefixes[h] = struct{}{}
		e.sentPrefixOrder = append(e.sentPrefixOrder, h)
	}
}

// recordOutcome updates the failure counts or the measurements after a grant ended.
func (e *engine) recordOutcome(now time.Time, i *item, o Outcome, work float64) {
	if o.Failed {
		e.recordFailure(now, i, o)
		return
	}
	if o.Unused {
		return
	}
	if i.startedAt.IsZero() {
		return
	}
	e.consecutiveFailures, e.engineFailures = 0, 0
	e.recordFinish(now, &i.streamTiming, o, work, e.alpha(now))
}

// handleFirstToken records the first token of a grant and reinstates an engine that was
// down.
func (e *engine) handleFirstToken(now time.Time, i *item) {
	delete(e.unstarted, i.ID)
	if e.down {
		e.reinstate()
		e.invalidate()
	}
	e.recordFirstToken(now, &i.streamTiming, e.alpha(now))
}

// alpha returns the smoothing weight of the next measurement, which is at least
// probeAlpha for an ejected engine.
func (e *engine) alpha(now time.Time) float64 {
	alpha := e.engineStats.alpha(now)
	if e.ejected {
		alpha = max(alpha, probeAlpha)
	}
	return alpha
}

// longestFirstTokenWait returns how long the oldest unstarted grant has been waiting
// for its first token.
func (e *engine) longestFirstTokenWait(now time.Time) time.Duration {
	longest := time.Duration(0)
	for _, i := range e.unstarted {
		longest = max(longest, now.Sub(i.grantedAt))
	}
	return longest
}

func contains(list []string, v string) bool {
	for _, s := range list {
		if s == v {
			return true
		}
	}
	return false
}
