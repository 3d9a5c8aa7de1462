package sched

import (
	"time"

	"github.com/comfreyladder/comfreyladder/core/pick"
)

const (
	// defaultAlpha is the weight of a new observation of an engine.
	defaultAlpha = 0.2
	// probeAlpha is the weight of an observation of a straggler, so that one
	// or two good probes bring it back.
	probeAlpha = 0.6
	// maxReportAge is the age from which a load report says nothing any more.
	maxReportAge = 10 * time.Second
	// maxMeasurementAge is the time without an answer after which an engine's figures
	// count as unknown. A slow engine that is never chosen would otherwise keep
	// its bad figures, and never be chosen, for ever.
	maxMeasurementAge = 5 * time.Second
	// maxSentPrefixes is how many prefixes that were sent to an engine are
	// remembered until its own cache events tell of them.
	maxSentPrefixes = 256
)

// engine is what is known about one upstream.
type engine struct {
	Upstream
	*engineStats
	modelSet map[string]bool
	// slots is this scheduler's part of the upstream's slots.
	slots int
	// inFlight counts grants; unprotectedInFlight those of unprotectedInFlight classes.
	inFlight, unprotectedInFlight int
	// pacedInFlight counts those of classes with a target between tokens.
	pacedInFlight int
	// unstarted holds the grants without a first token.
	unstarted map[string]*item
	// inFlightHistory remembers counts in flight, to correct reports that lag.
	inFlightHistory []inFlightSample
	// otherRequests is how many requests of otherRequests the latest report showed.
	otherRequests int
	// consecutiveFailures counts consecutiveFailures in a row, engineFailures those of them that the engine
	// alone can be blamed for.
	consecutiveFailures, engineFailures int
	ejected                             bool
	// down says that the engine is aside because nothing came from it: it gets
	// single probes, whatever waits.
	down                 bool
	ejectedAt, nextProbe time.Time
	// promptTokens is how many uncached prompt tokens were sent of late, forgotten
	// exponentially; promptsAt is when that was true.
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

// addInFlight changes the count in addInFlight and remembers when.
func (e *engine) addInFlight(now time.Time, i *item, sign int) {
	e.inFlight += sign
	if sign > 0 {
		// A change of the class in between must not leave a count behind.
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

// inFlightAt returns how many grants were in flight at the given time.
func (e *engine) inFlightAt(at time.Time) int {
	for n := len(e.inFlightHistory) - 1; n >= 0; n-- {
		if !e.inFlightHistory[n].at.After(at) {
			return e.inFlightHistory[n].count
		}
	}
	return 0
}

// estimatedInFlight estimates how many requests the engine has now. What was granted here is
// known exactly; a report adds only what others had there at the report's time.
// Taking a late report at its word is the failure this guards against: an engine
// that was idle two seconds ago looks idle after fifty grants.
func (e *engine) estimatedInFlight(now time.Time) int {
	if e.Load == nil || now.Sub(e.LoadAt) > maxReportAge {
		return e.inFlight
	}
	return e.inFlight + e.otherRequests
}

// freeSlots returns how many slots are open to a class. Unprotected classes may not
// fill the last slots of an engine: a protected request must not wait for the
// end of a long answer of a lower tier.
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

// candidate describes the engine, which holds the item's model, for a choice.
func (e *engine) candidate(now time.Time, i *item, headroom float64) pick.Candidate {
	first, rate := e.firstToken, e.tokenRate
	if e.stale(now) {
		first, rate = 0, 0
	}
	prefix := e.cachedPrefixShare(i.PrefixHashes)
	backlog := e.pendingPromptTokens(now)
	return pick.Candidate{
		Name:       e.Name,
		Holds:      true,
		Excluded:   contains(i.Excluded, e.Name),
		Draining:   e.Draining || e.removed,
		Slots:      e.slots,
		InFlight:   e.estimatedInFlight(now),
		Free:       e.freeSlots(now, i.class.Protected, headroom),
		Unstarted:  len(e.unstarted),
		Prefix:     prefix,
		Prefill:    backlog + float64(i.PromptTokens)*(1-prefix),
		Backlog:    backlog,
		Paced:      e.pacedInFlight > 0,
		FirstToken: secondsToDuration(first),
		TokenRate:  rate,
		LastRate:   e.lastTokenRate(now),
		Aside:      e.ejected,
		Down:       e.down,
		ProbeDue:   e.ejected && !now.Before(e.nextProbe),
	}
}

// cachedPrefixShare returns the share of the prompt's prefixes that the engine holds.
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

// recordOutcome takes in one finished grant.
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

// handleFirstToken takes in a first token.
func (e *engine) handleFirstToken(now time.Time, i *item) {
	delete(e.unstarted, i.ID)
	if e.down {
		e.reinstate()
		e.invalidate()
	}
	e.recordFirstToken(now, &i.streamTiming, e.alpha(now))
}

// alpha is the weight of the next observation: larger for a straggler.
func (e *engine) alpha(now time.Time) float64 {
	alpha := e.engineStats.alpha(now)
	if e.ejected {
		alpha = max(alpha, probeAlpha)
	}
	return alpha
}

// longestFirstTokenWait returns the time that the oldest grant waits for its first token.
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
