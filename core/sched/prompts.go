package sched

import (
	"math"
	"time"
)

// promptTimeConstant is the time constant with which sent prompts decay: the time that
// an engine takes for a prompt of a few thousand tokens while it goes on generating.
const promptTimeConstant = time.Second

// pendingPromptTokens estimates how many prompt tokens the engine still has to process.
func (e *engine) pendingPromptTokens(now time.Time) float64 {
	return e.promptTokens * math.Exp(-max(now.Sub(e.promptTokensAt), 0).Seconds()/promptTimeConstant.Seconds())
}

// addPrompt adds the uncached part of a grant's prompt. It must be called before the
// prompt's prefixes count as cached.
func (e *engine) addPrompt(now time.Time, i *item) {
	e.promptTokens = e.pendingPromptTokens(now) + float64(i.PromptTokens)*(1-e.cachedPrefixShare(i.PrefixHashes))
	e.promptTokensAt = now
}
