package sched

import (
	"math"
	"time"
)

// promptMemory is the time constant with which sent prompts are forgotten: what
// an engine takes for one of a few thousand tokens while it goes on generating.
const promptMemory = time.Second

const (
	// leastPaced is how many tokens a measurement of a stream's rate needs; fewer
	// say more about the time that messages take.
	leastPaced = 4
	// paceDrop is the factor by which a measurement must be below the known rate
	// to count as a change of the engine and not as noise; it then weighs
	// paceDropAlpha. All streams of an engine share its steps, so that one of
	// them speaks for all.
	paceDrop      = 2
	paceDropAlpha = 0.6
)

// pace learns the engine's rate from a stream that runs. Waiting for the end of
// the stream is the failure this guards against: an engine that slows down ends
// few streams, so that its slowness would be learned after many seconds, in
// which it gets requests at the rate of a healthy one.
func (e *engine) pace(now time.Time, i *item, tokens int, alpha float64) {
	more := tokens - i.paced
	if more < leastPaced {
		return
	}
	if took := now.Sub(i.pacedAt).Seconds(); !i.pacedAt.IsZero() && took > 0 {
		rate := float64(more) / took
		if rate*paceDrop < e.tokenRate {
			alpha = max(alpha, paceDropAlpha)
		}
		e.tokenRate = smooth(e.tokenRate, rate, alpha)
		e.observed = now
		e.samples++
	}
	i.pacedAt, i.paced = now, tokens
}

// promptsNow is how many prompt tokens the engine still has to work through.
func (e *engine) promptsNow(now time.Time) float64 {
	return e.prompts * math.Exp(-max(now.Sub(e.promptsAt), 0).Seconds()/promptMemory.Seconds())
}

// prompted notes the prompt of a grant; it is called before its prefixes count
// as cached.
func (e *engine) prompted(now time.Time, i *item) {
	e.prompts = e.promptsNow(now) + float64(i.PromptTokens)*(1-e.prefix(i.PrefixHashes))
	e.promptsAt = now
}
