package sched

import (
	"math"
	"time"
)

// promptMemory is the time constant with which sent prompts are forgotten: what
// an engine takes for one of a few thousand tokens while it goes on generating.
const promptMemory = time.Second

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
