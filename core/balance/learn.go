package balance

import "time"

const (
	// initialRate is the prefill rate assumed before the first observation, in prompt tokens per
	// millisecond.
	initialRate = 50.0
	// rateUp and rateDown are the relative steps by which one observation moves the estimate. They
	// are unequal so that it settles at the upper quartile: many unobserved effects delay a first
	// event, few make it early.
	rateUp, rateDown = 0.03, 0.01
	// minSampleTokens is the smallest prefill from which the rate is estimated, and
	// firstEventOverheadMS the part of the time to the first event that is not prefill, in
	// milliseconds.
	minSampleTokens      = 1500
	firstEventOverheadMS = 12.0
)

// Rate estimates the prefill rate of a service's engines, in prompt tokens per millisecond.
type Rate struct{ perMS float64 }

// PerMS returns the estimated rate in prompt tokens per millisecond.
func (r *Rate) PerMS() float64 {
	if r.perMS == 0 {
		return initialRate
	}
	return r.perMS
}

// Observe records the time to the first event of a request. tokens counts its uncached prompt tokens
// and those queued before it.
func (r *Rate) Observe(tokens float64, took time.Duration) {
	ms := float64(took)/float64(time.Millisecond) - firstEventOverheadMS
	if tokens < minSampleTokens || ms <= 0 {
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

// SlotTime estimates the mean time for which a request holds an engine's slot.
type SlotTime struct {
	ms   float64
	seen int
}

const (
	// initialSlotTimeMS is the mean assumed before the first observation, in milliseconds: the
	// duration of an answer of some hundred tokens.
	initialSlotTimeMS = 1000.0
	// maxSlotTimeSamples is the number of requests in the moving mean: enough to include answers of
	// all lengths.
	maxSlotTimeSamples = 50
)

// MS returns the mean in milliseconds.
func (r *SlotTime) MS() float64 {
	if r.seen == 0 {
		return initialSlotTimeMS
	}
	return r.ms
}

// Duration returns the mean.
func (r *SlotTime) Duration() time.Duration {
	return time.Duration(r.MS() * float64(time.Millisecond))
}

// Observe records how long a request held its slot.
func (r *SlotTime) Observe(took time.Duration) {
	r.seen = min(r.seen+1, maxSlotTimeSamples)
	r.ms += (float64(took)/float64(time.Millisecond) - r.ms) / float64(r.seen)
}

const (
	// cacheLifetime is how long a prompt is assumed to stay cached after its last use.
	cacheLifetime = 30 * time.Second
	// maxCachedPrompts bounds the prompts tracked for one upstream.
	maxCachedPrompts = 4096
)

// PromptCache tracks which prompts an upstream is believed to have cached, by their hashes.
type PromptCache struct{ at map[uint64]cachedPrompt }

// cachedPrompt holds when a prompt was first and last sent to the upstream, and when this was last
// announced to the other instances.
type cachedPrompt struct{ first, last, announced time.Time }

// announceInterval is the time between two announcements of a prompt that is still in use, well
// before other instances expire it. When every request was announced, the announcements made up most
// of the traffic between instances.
const announceInterval = cacheLifetime / 3

// prefillDelay is the time after which an upstream is assumed to have finished the prefill of a
// prompt, so that another upstream can fetch it.
const prefillDelay = 1500 * time.Millisecond

// Record notes that a request with the prompt was sent to the upstream.
func (k *PromptCache) Record(now time.Time, prompt uint64) {
	if k.at == nil {
		k.at = map[uint64]cachedPrompt{}
	}
	if len(k.at) >= maxCachedPrompts {
		k.evict(now)
	}
	seen := k.at[prompt]
	if now.Sub(seen.last) > cacheLifetime {
		seen.first = now
	}
	seen.last = now
	k.at[prompt] = seen
}

// TryAnnounce reports whether the prompt is due to be announced to the other instances, and if so
// marks it as announced.
func (k *PromptCache) TryAnnounce(now time.Time, prompt uint64) bool {
	seen, known := k.at[prompt]
	if !known || now.Sub(seen.announced) < announceInterval {
		return false
	}
	seen.announced = now
	k.at[prompt] = seen
	return true
}

// RecordAnnounced records a prompt that another instance announced to all.
func (k *PromptCache) RecordAnnounced(now time.Time, prompt uint64) {
	k.Record(now, prompt)
	seen := k.at[prompt]
	seen.announced = now
	k.at[prompt] = seen
}

// FullyCached reports whether the upstream is believed to have finished the prompt's prefill.
func (k *PromptCache) FullyCached(now time.Time, prompt uint64) bool {
	seen, known := k.at[prompt]
	return known && now.Sub(seen.first) > prefillDelay && now.Sub(seen.last) < cacheLifetime
}

// evict removes prompts that were not used recently, and all prompts if that frees no space.
func (k *PromptCache) evict(now time.Time) {
	for name, at := range k.at {
		if now.Sub(at.last) > cacheLifetime/2 {
			delete(k.at, name)
		}
	}
	if len(k.at) >= maxCachedPrompts {
		clear(k.at)
	}
}

// CachedShare returns the share of the prompt that is believed to be cached.
func (k *PromptCache) CachedShare(now time.Time, prompt uint64) float64 {
	if at, known := k.at[prompt]; known && now.Sub(at.last) < cacheLifetime {
		return 1
	}
	return 0
}
