package sched

import (
	"time"

	"github.com/comfreyladder/comfreyladder/core/pick"
)

const (
	// learnRate is the weight of a new observation of an engine.
	learnRate = 0.2
	// probeLearnRate is the weight of an observation of a straggler, so that one
	// or two good probes bring it back.
	probeLearnRate = 0.6
	// reportLife is the age from which a load report says nothing any more.
	reportLife = 10 * time.Second
	// figureLife is the time without an answer after which an engine's figures
	// count as unknown. A slow engine that is never chosen would otherwise keep
	// its bad figures, and never be chosen, for ever.
	figureLife = 5 * time.Second
	// recentPrefixes is how many prefixes that were sent to an engine are
	// remembered until its own cache events tell of them.
	recentPrefixes = 256
)

// engine is what is known about one upstream.
type engine struct {
	Upstream
	*figures
	holds map[string]bool
	// slots is this scheduler's part of the upstream's slots.
	slots int
	// inFlight counts grants; unprotected those of unprotected classes.
	inFlight, unprotected int
	// pacedFlight counts those of classes with a target between tokens.
	pacedFlight int
	// unstarted holds the grants without a first token.
	unstarted map[string]*item
	// history remembers counts in flight, to correct reports that lag.
	history []flightCount
	// others is how many requests of others the latest report showed.
	others int
	// failures counts failures in a row, broken those of them that the engine
	// alone can be blamed for.
	failures, broken int
	aside            bool
	// down says that the engine is aside because nothing came from it: it gets
	// single probes, whatever waits.
	down                  bool
	asideSince, nextProbe time.Time
	// prompts is how many uncached prompt tokens were sent of late, forgotten
	// exponentially; promptsAt is when that was true.
	prompts   float64
	promptsAt time.Time
	sent      map[uint64]struct{}
	sentOrder []uint64
	gone      bool
}

type flightCount struct {
	at    time.Time
	count int
}

func (e *engine) update(u Upstream) {
	if e.down && e.Address != u.Address {
		e.restore()
		e.forget()
	}
	e.Upstream = u
	e.gone = false
	e.others = 0
	if u.Load != nil {
		e.others = max(u.Load.Running+u.Load.Waiting-e.flightAt(u.LoadAt), 0)
	}
	e.holds = make(map[string]bool, len(u.Models))
	for _, m := range u.Models {
		e.holds[m] = true
	}
}

// flight changes the count in flight and remembers when.
func (e *engine) flight(now time.Time, i *item, sign int) {
	e.inFlight += sign
	if sign > 0 {
		// A change of the class in between must not leave a count behind.
		i.unprotected, i.withPace = !i.class.Protected, i.class.BetweenTokens > 0
	}
	if i.unprotected {
		e.unprotected += sign
	}
	if i.withPace {
		e.pacedFlight += sign
	}
	e.history = append(e.history, flightCount{now, e.inFlight})
	if len(e.history) < 128 {
		return
	}
	keep := 0
	for keep < len(e.history)-1 && now.Sub(e.history[keep+1].at) > reportLife {
		keep++
	}
	e.history = append(e.history[:0], e.history[keep:]...)
}

// flightAt returns how many grants were in flight at the given time.
func (e *engine) flightAt(at time.Time) int {
	for n := len(e.history) - 1; n >= 0; n-- {
		if !e.history[n].at.After(at) {
			return e.history[n].count
		}
	}
	return 0
}

// used estimates how many requests the engine has now. What was granted here is
// known exactly; a report adds only what others had there at the report's time.
// Taking a late report at its word is the failure this guards against: an engine
// that was idle two seconds ago looks idle after fifty grants.
func (e *engine) used(now time.Time) int {
	if e.Load == nil || now.Sub(e.LoadAt) > reportLife {
		return e.inFlight
	}
	return e.inFlight + e.others
}

// free returns how many slots are open to a class. Unprotected classes may not
// fill the last slots of an engine: a protected request must not wait for the
// end of a long answer of a lower tier.
func (e *engine) free(now time.Time, protected bool, headroom float64) int {
	if e.gone || e.Draining || e.down && (protected || now.Before(e.nextProbe)) {
		return 0
	}
	open := min(e.slots-e.inFlight, e.Slots-e.used(now))
	if protected {
		return open
	}
	reserved := int(float64(e.slots) * headroom)
	return min(open, e.slots-reserved-e.unprotected)
}

// candidate describes the engine, which holds the item's model, for a choice.
func (e *engine) candidate(now time.Time, i *item, headroom float64) pick.Candidate {
	first, rate := e.firstToken, e.tokenRate
	if e.stale(now) {
		first, rate = 0, 0
	}
	prefix := e.prefix(i.PrefixHashes)
	backlog := e.promptsNow(now)
	return pick.Candidate{
		Name:            e.Name,
		HasModel:        true,
		Excluded:        contains(i.Excluded, e.Name),
		Draining:        e.Draining || e.gone,
		Slots:           e.slots,
		InFlight:        e.used(now),
		Free:            e.free(now, i.class.Protected, headroom),
		Unstarted:       len(e.unstarted),
		CachedShare:     prefix,
		PrefillTokens:   backlog + float64(i.PromptTokens)*(1-prefix),
		QueuedTokens:    backlog,
		HasPacedStreams: e.pacedFlight > 0,
		FirstToken:      seconds(first),
		TokenRate:       rate,
		LastRate:        e.lastRate(now),
		Straggler:       e.aside,
		Unresponsive:    e.down,
		ProbeDue:        e.aside && !now.Before(e.nextProbe),
	}
}

// prefix returns the share of the prompt's prefixes that the engine holds.
func (e *engine) prefix(longestFirst []uint64) float64 {
	for n, h := range longestFirst {
		_, announced := e.Prefixes[h]
		_, sent := e.sent[h]
		if announced || sent {
			return float64(len(longestFirst)-n) / float64(len(longestFirst))
		}
	}
	return 0
}

func (e *engine) remember(hashes []uint64) {
	for _, h := range hashes {
		if _, known := e.sent[h]; known {
			continue
		}
		if len(e.sentOrder) >= recentPrefixes {
			delete(e.sent, e.sentOrder[0])
			e.sentOrder = e.sentOrder[1:]
		}
		e.sent[h] = struct{}{}
		e.sentOrder = append(e.sentOrder, h)
	}
}

// learn takes in one finished grant.
func (e *engine) learn(now time.Time, i *item, o Outcome, work float64) {
	if o.Failed {
		e.fail(now, i, o)
		return
	}
	if o.Unused {
		return
	}
	if i.startedAt.IsZero() {
		return
	}
	e.failures, e.broken = 0, 0
	e.finished(now, &i.stream, o, work, e.alpha(now))
}

// start takes in a first token.
func (e *engine) start(now time.Time, i *item) {
	delete(e.unstarted, i.ID)
	if e.down {
		e.restore()
		e.forget()
	}
	e.started(now, &i.stream, e.alpha(now))
}

// alpha is the weight of the next observation: larger for a straggler.
func (e *engine) alpha(now time.Time) float64 {
	alpha := e.figures.alpha(now)
	if e.aside {
		alpha = max(alpha, probeLearnRate)
	}
	return alpha
}

// slowest returns the time that the oldest grant waits for its first token.
func (e *engine) slowest(now time.Time) time.Duration {
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
