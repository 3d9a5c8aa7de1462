package engine

import (
	"cmp"
	"slices"
	"time"
)

const tidyInterval = 100 * time.Millisecond

// stepLoop runs the batch: each step prefills a bounded number of prompt tokens
// and makes one token for each request whose prompt is done.
func (e *Engine) stepLoop() {
	timer := time.NewTimer(0)
	defer timer.Stop()
	next := time.Now()
	for {
		d := e.plan()
		if d == 0 {
			select {
			case <-e.done:
				return
			case <-e.wake:
			}
			next = time.Now()
			continue
		}
		// The next step counts from the end of the last one, not from the late
		// wake-up, so that a busy machine does not slow the engine.
		next = next.Add(d)
		timer.Reset(time.Until(next))
		select {
		case <-e.done:
			return
		case <-timer.C:
		}
		e.apply()
	}
}

// plan admits waiting requests and returns how long the next step takes, or
// zero when there is nothing to do.
func (e *Engine) plan() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.faults.Silent {
		return 0
	}
	e.admit(time.Now())
	if len(e.running) == 0 {
		return 0
	}
	work := e.config.Step + time.Duration(len(e.running))*e.config.StepEach
	work += time.Duration(e.prefillStep()) * e.config.Prefill
	factor := cmp.Or(e.faults.Straggler, 1) / e.config.Speed
	e.counters.BusyMillis += uint64(work.Milliseconds())
	return max(time.Duration(float64(work)*factor), time.Microsecond)
}

func (e *Engine) admit(now time.Time) {
	for len(e.running) < e.config.Slots && len(e.waiting) > 0 {
		s := e.waiting[0]
		e.waiting = e.waiting[1:]
		s.admitted = true
		s.cached = e.cache.hit(s.blocks)
		s.prefillLeft = s.prompt - s.cached
		e.cache.store(s.blocks, now)
		e.counters.Cached += uint64(s.cached)
		e.running = append(e.running, s)
	}
}

// prefillStep works on prompts in order of priority and returns the tokens taken.
func (e *Engine) prefillStep() int {
	left := prefillChunk
	byUrgency := slices.Clone(e.running)
	slices.SortStableFunc(byUrgency, compareUrgency)
	for _, s := range byUrgency {
		n := min(left, s.prefillLeft)
		s.prefillLeft -= n
		left -= n
	}
	e.counters.Prefilled += uint64(prefillChunk - left)
	return prefillChunk - left
}

func compareUrgency(a, b *stream) int {
	return cmp.Or(cmp.Compare(a.priority, b.priority), cmp.Compare(a.order, b.order))
}

// apply ends a step.
func (e *Engine) apply() {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	for _, s := range e.running {
		if s.prefillLeft > 0 || s.ended() {
			continue
		}
		s.produced++
		e.counters.Generated++
		if s.produced == s.tokens {
			s.complete = true
			s.endedAt = now
			e.counters.Completed++
		}
		s.notify()
	}
	e.running = slices.DeleteFunc(e.running, (*stream).ended)
}

// enqueue puts s into the waiting queue; the caller holds the mutex.
func (e *Engine) enqueue(s *stream) {
	e.order++
	s.order = e.order
	s.lastRead = time.Now()
	at, _ := slices.BinarySearchFunc(e.waiting, s, compareUrgency)
	e.waiting = slices.Insert(e.waiting, at, s)
	e.streams[s.id] = s
	e.counters.Requests++
	e.signal()
}

// cancel ends s without an answer; the caller holds the mutex.
func (e *Engine) cancel(s *stream) {
	if s.ended() {
		return
	}
	s.cancelled = true
	s.endedAt = time.Now()
	e.counters.Cancelled++
	s.notify()
	same := func(o *stream) bool { return o == s }
	e.waiting = slices.DeleteFunc(e.waiting, same)
	e.running = slices.DeleteFunc(e.running, same)
}

// tidyLoop cancels streams that nobody reads, forgets old ones and samples the load.
func (e *Engine) tidyLoop() {
	tick := time.NewTicker(tidyInterval)
	defer tick.Stop()
	for {
		select {
		case <-e.done:
			return
		case now := <-tick.C:
			e.tidy(now)
		}
	}
}

func (e *Engine) tidy(now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.sample(now)
	for _, s := range slices.Concat(e.waiting, e.running) {
		if s.readers == 0 && now.Sub(s.lastRead) > e.config.ReadTimeout {
			e.cancel(s)
		}
	}
	for id, s := range e.streams {
		if s.ended() && now.Sub(s.endedAt) > e.config.Keep {
			delete(e.streams, id)
		}
	}
}
