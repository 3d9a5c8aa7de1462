package sched

import (
	"math"
	"time"
)

// promptTimeConstant is the time constant with which sent prompts are forgotten: what
// an engine takes for one of a few thousand tokens while it goes on generating.
const promptTimeConstant = time.Second

// pendingPromptTokens is how many prompt tokens the engine still has to work through.
func (e *engine) pendingPromptTokens(now time.Time) float64 {
	return e.promptTokens * math.Exp(-max(now.Sub(e.promptTokensAt), 0).Seconds()/promptTimeConstant.Seconds())
}

// addPrompt notes the prompt of a grant; it is called before its prefixes count
// as cached.
func (e *engine) addPrompt(now time.Time, i *item) {
	e.promptTokens = e.pendingPromptTokens(now) + float64(i.PromptTokens)*(1-e.cachedPrefixShare(i.PrefixHashes))
	e.promptTokensAt = now
}
