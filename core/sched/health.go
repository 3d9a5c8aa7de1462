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
	// slowFactor is how many times worse than the median makes a straggler.
	slowFactor = 3
	// slowSlack is added to the bound on the first token, so that engines that
	// all answer within milliseconds are not told apart by noise.
	slowSlack = 300 * time.Millisecond
	// enoughSamples is how many answers a judgement needs.
	enoughSamples = 5
	// enoughPeers is how many engines of a model a median needs.
	enoughPeers = 3
	// failuresAside is how many failures in a row set an engine aside, or mean
	// that it is down if none of them can be the request's own fault.
	failuresAside = 3
	// silentFactor and silentSlack bound the wait for a first token, from the
	// peers' median, beyond which an engine counts as down and not only as slow.
	silentFactor = 10
	silentSlack  = 2 * time.Second
	// longestAside is when an engine that got no probe is tried again anyway;
	// without it an engine would stay aside while only protected work runs.
	longestAside = 30 * time.Second
)

// peers sums up the engines that hold the same model.
type peers struct {
	firsts []time.Duration
	rates  []float64
	first  time.Duration
	rate   float64
}

// health sets stragglers aside and takes recovered engines back.
func (s *Scheduler) health(now time.Time) {
	groups := s.groups()
	for _, e := range s.engines {
		slow := e.straggles(now, groups)
		switch {
		case e.aside && now.Sub(e.asideSince) > longestAside:
			e.restore()
			e.forget()
		case e.aside && !slow:
			e.restore()
		case !e.aside && slow:
			e.setAside(now)
		}
		if e.aside && e.isSilent(now, groups) {
			e.down = true
		}
	}
}

// isSilent reports whether an engine keeps a request waiting for a first token
// for so long that nothing is to be expected from it.
func (e *engine) isSilent(now time.Time, groups map[string]*peers) bool {
	g := e.peers(groups)
	return g != nil && e.slowest(now) > silentFactor*g.first+silentSlack
}

// fail takes in a failure. A refused connection proves by itself that the engine
// is not there; streams that break do when they come in a row. A request that
// the engine answered with a failure proves nothing: it may be a bad request,
// and some of those must not take an engine out of use.
//
// It guards against a crashed engine that draws all requests to itself until its
// announcement runs out: each fails at once, so that the engine looks idle while
// the others are full, and callers are told "not run" although there is room.
// A down engine gets one probe at a time, so that it can draw no more than that.
func (e *engine) fail(now time.Time, i *item, o Outcome) {
	e.failures++
	if o.Unused || !i.startedAt.IsZero() {
		e.broken++
	}
	if e.down || !o.Unused && e.broken < failuresAside {
		return
	}
	e.setAside(now)
	e.down = true
}

func (s *Scheduler) groups() map[string]*peers {
	groups := map[string]*peers{}
	for _, e := range s.engines {
		if e.gone || e.samples == 0 || len(e.Models) == 0 {
			continue
		}
		g := groups[e.Models[0]]
		if g == nil {
			g = &peers{}
			groups[e.Models[0]] = g
		}
		g.firsts = append(g.firsts, seconds(e.firstToken))
		g.rates = append(g.rates, e.tokenRate)
	}
	for _, g := range groups {
		g.first = pick.Median(g.firsts)
		g.rate = pick.Median(g.rates)
	}
	return groups
}

// straggles reports whether an engine is several times worse than its peers'
// median, failed and did not answer since, or keeps requests waiting for a first
// token. The last part sees an engine that froze and so finishes nothing that
// could be measured.
func (e *engine) straggles(now time.Time, groups map[string]*peers) bool {
	if e.down && e.failures > 0 || e.failures >= failuresAside {
		return true
	}
	g := e.peers(groups)
	if g == nil {
		return false
	}
	bound := slowFactor*g.first + slowSlack
	if e.slowest(now) > bound {
		return true
	}
	if e.samples < enoughSamples {
		return false
	}
	return seconds(e.firstToken) > bound || e.tokenRate*slowFactor < g.rate
}

// peers returns the engine's group if it is large enough to judge by.
func (e *engine) peers(groups map[string]*peers) *peers {
	if len(e.Models) == 0 {
		return nil
	}
	if g := groups[e.Models[0]]; g != nil && len(g.firsts) >= enoughPeers {
		return g
	}
	return nil
}

func (e *engine) setAside(now time.Time) {
	e.aside = true
	e.asideSince = now
	e.nextProbe = now.Add(probeInterval)
}

// restore takes an engine back. Its figures stay: one that is only little too
// good for a straggler is still known to be slow.
func (e *engine) restore() {
	e.aside, e.down = false, false
	e.failures, e.broken = 0, 0
}

// judgeProbe acts on the end of a probe at once.
func (s *Scheduler) judgeProbe(now time.Time, i *item, o Outcome) {
	e := i.engine
	if !i.probe || !e.aside || !o.Complete {
		return
	}
	if !e.straggles(now, s.groups()) {
		e.restore()
	}
}

// firstToken is the median time to a first token of the model's engines.
func (s *Scheduler) firstToken(model string) time.Duration {
	var all []time.Duration
	for _, e := range s.engines {
		if e.holds[model] && e.firstToken > 0 {
			all = append(all, seconds(e.firstToken))
		}
	}
	return pick.Median(all)
}

// streamRate is the median rate of one stream of the model, in tokens a second.
func (s *Scheduler) streamRate(model string) float64 {
	var all []float64
	for _, e := range s.engines {
		if e.holds[model] && e.tokenRate > 0 {
			all = append(all, e.tokenRate)
		}
	}
	if len(all) == 0 {
		return s.cfg.PriorTokenRate
	}
	return pick.Median(all)
}
