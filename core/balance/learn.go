package balance

import "time"

const (
	// firstRate is taken for an engine's pace until some requests have shown it, in
	// prompt tokens a millisecond.
	firstRate = 50.0
	// rateUp and rateDown are by what part one observation moves the pace. They are
	// unequal so that it settles at the upper quartile: much makes a first event late
	// that is not known here, and little makes one early.
	rateUp, rateDown = 0.03, 0.01
	// leastTokens is how many tokens an observation must be made on, and setupMS what
	// a first event takes beside the reading.
	leastTokens = 1500
	setupMS     = 12.0
)

// Rate learns how many prompt tokens the engines of a service read in a millisecond.
type Rate struct{ perMS float64 }

// PerMS returns the pace.
func (r *Rate) PerMS() float64 {
	if r.perMS == 0 {
		return firstRate
	}
	return r.perMS
}

// Observe takes in that a request for which so many tokens were to be read, with
// those that waited before it, had its first event after a time.
func (r *Rate) Observe(tokens float64, took time.Duration) {
	ms := float64(took)/float64(time.Millisecond) - setupMS
	if tokens < leastTokens || ms <= 0 {
		return
	}
	pace := r.PerMS()
	if tokens/ms > pace {
		pace *= 1 + rateUp
	} else {
		pace /= 1 + rateDown
	}
	r.perMS = pace
}

// SlotTime learns for how long requests hold a slot of an engine.
type SlotTime struct {
	ms   float64
	seen int
}

const (
	// firstResidence is taken until a request has shown it, in milliseconds: an answer of
	// some hundred tokens.
	firstResidence = 1000.0
	// residenceOf is how many requests the mean is over: enough that answers of any length
	// are among them.
	residenceOf = 50
)

// MS returns the mean in milliseconds.
func (r *SlotTime) MS() float64 {
	if r.seen == 0 {
		return firstResidence
	}
	return r.ms
}

// Duration returns the mean.
func (r *SlotTime) Duration() time.Duration {
	return time.Duration(r.MS() * float64(time.Millisecond))
}

// Observe takes in for how long a request held its slot.
func (r *SlotTime) Observe(took time.Duration) {
	r.seen = min(r.seen+1, residenceOf)
	r.ms += (float64(took)/float64(time.Millisecond) - r.ms) / float64(r.seen)
}

const (
	// keptFor is for how long a prompt that was read is believed to be kept.
	keptFor = 30 * time.Second
	// maxKept bounds the prompts that are remembered of one upstream.
	maxKept = 4096
)

// PromptCache remembers which prompts an upstream was sent, by their hashes.
type PromptCache struct{ at map[uint64]keptPrompt }

// keptPrompt is when a prompt was sent for the first and for the last time, and when all
// instances were told so last.
type keptPrompt struct{ first, last, told time.Time }

// tellAgain is after what time it is told again that an upstream keeps a prompt that goes
// on being sent there: well before others forget it. Told with each request, these notes
// were most of the bytes between instances.
const tellAgain = keptFor / 3

// ripe is after what time an upstream is believed to have read a prompt, so that another
// one can take it over from there.
const ripe = 1500 * time.Millisecond

// Record says that the upstream reads a prompt.
func (k *PromptCache) Record(now time.Time, prompt uint64) {
	if k.at == nil {
		k.at = map[uint64]keptPrompt{}
	}
	if len(k.at) >= maxKept {
		k.forget(now)
	}
	seen := k.at[prompt]
	if now.Sub(seen.last) > keptFor {
		seen.first = now
	}
	seen.last = now
	k.at[prompt] = seen
}

// TryAnnounce reports whether other instances are to be told that the upstream reads the prompt,
// and takes it that they are.
func (k *PromptCache) TryAnnounce(now time.Time, prompt uint64) bool {
	seen, known := k.at[prompt]
	if !known || now.Sub(seen.told) < tellAgain {
		return false
	}
	seen.told = now
	k.at[prompt] = seen
	return true
}

// RecordAnnounced takes in that another instance told all that the upstream reads a prompt.
func (k *PromptCache) RecordAnnounced(now time.Time, prompt uint64) {
	k.Record(now, prompt)
	seen := k.at[prompt]
	seen.told = now
	k.at[prompt] = seen
}

// FullyCached reports whether the upstream is believed to have read the prompt whole.
func (k *PromptCache) FullyCached(now time.Time, prompt uint64) bool {
	seen, known := k.at[prompt]
	return known && now.Sub(seen.first) > ripe && now.Sub(seen.last) < keptFor
}

func (k *PromptCache) forget(now time.Time) {
	for name, at := range k.at {
		if now.Sub(at.last) > keptFor/2 {
			delete(k.at, name)
		}
	}
	if len(k.at) >= maxKept {
		clear(k.at)
	}
}

// CachedShare returns which part of the prompt is believed to be kept.
func (k *PromptCache) CachedShare(now time.Time, prompt uint64) float64 {
	if at, known := k.at[prompt]; known && now.Sub(at.last) < keptFor {
		return 1
	}
	return 0
}
