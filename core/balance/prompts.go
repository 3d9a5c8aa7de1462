package balance

import "time"

const (
	// cacheLifetime is how long a prompt is assumed to stay cached after its last use.
	cacheLifetime = 30 * time.Second
	// maxCachedPrompts bounds the places of prompts that are tracked for one service.
	maxCachedPrompts = 65536
	// announceInterval is the time between two announcements of a prompt that is still in use, well
	// before other instances expire it. When every request was announced, the announcements made up
	// most of the traffic between instances.
	announceInterval = cacheLifetime / 3
	// prefillDelay is the time after which an upstream is assumed to have finished the prefill of a
	// prompt, so that another upstream can fetch it.
	prefillDelay = 1500 * time.Millisecond
)

// PromptIndex tracks which upstreams of a service are believed to have a prompt cached, by the
// prompt's hash, so that the cost of a request depends on the upstreams that have its prompt. T
// identifies an incarnation of an upstream. The zero value is ready to use.
type PromptIndex[T comparable] struct {
	prompts map[uint64][]cachedPrompt[T]
	count   int
}

// cachedPrompt holds when a prompt was first and last sent to an upstream, and when this was last
// announced to the other instances.
type cachedPrompt[T comparable] struct {
	holder                 T
	first, last, announced time.Time
}

// Record notes that a request with the prompt was sent to the upstream.
func (x *PromptIndex[T]) Record(now time.Time, prompt uint64, holder T) {
	x.record(now, prompt, holder)
}

func (x *PromptIndex[T]) record(now time.Time, prompt uint64, holder T) *cachedPrompt[T] {
	if x.count >= maxCachedPrompts {
		x.evict(now)
	}
	seen := x.find(prompt, holder)
	if seen == nil {
		if x.prompts == nil {
			x.prompts = map[uint64][]cachedPrompt[T]{}
		}
		list := append(x.prompts[prompt], cachedPrompt[T]{holder: holder})
		x.prompts[prompt] = list
		x.count++
		seen = &list[len(list)-1]
	}
	if now.Sub(seen.last) > cacheLifetime {
		seen.first = now
	}
	seen.last = now
	return seen
}

func (x *PromptIndex[T]) find(prompt uint64, holder T) *cachedPrompt[T] {
	list := x.prompts[prompt]
	for i := range list {
		if list[i].holder == holder {
			return &list[i]
		}
	}
	return nil
}

// TryAnnounce reports whether the prompt at an upstream is due to be announced to the other
// instances, and if so marks it as announced.
func (x *PromptIndex[T]) TryAnnounce(now time.Time, prompt uint64, holder T) bool {
	seen := x.find(prompt, holder)
	if seen == nil || now.Sub(seen.announced) < announceInterval {
		return false
	}
	seen.announced = now
	return true
}

// RecordAnnounced records a prompt that another instance announced to all.
func (x *PromptIndex[T]) RecordAnnounced(now time.Time, prompt uint64, holder T) {
	x.record(now, prompt, holder).announced = now
}

// Holders calls f for each upstream that is believed to have the prompt cached. full reports whether
// it has finished the prefill.
func (x *PromptIndex[T]) Holders(now time.Time, prompt uint64, f func(holder T, full bool)) {
	list := x.prompts[prompt]
	for i := range list {
		if p := &list[i]; now.Sub(p.last) < cacheLifetime {
			f(p.holder, now.Sub(p.first) > prefillDelay)
		}
	}
}

// evict removes the places that were not used recently, and all if that frees none.
func (x *PromptIndex[T]) evict(now time.Time) {
	before := x.count
	x.keepUsedWithin(now, cacheLifetime/2)
	if x.count == before {
		clear(x.prompts)
		x.count = 0
	}
}

func (x *PromptIndex[T]) keepUsedWithin(now time.Time, age time.Duration) {
	x.count = 0
	for prompt, list := range x.prompts {
		kept := list[:0]
		for _, p := range list {
			if now.Sub(p.last) <= age {
				kept = append(kept, p)
			}
		}
		if x.count += len(kept); len(kept) == 0 {
			delete(x.prompts, prompt)
			continue
		}
		x.prompts[prompt] = kept
	}
}
