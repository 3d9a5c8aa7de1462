// Package provider is a stand-in of a provider that takes usage reports and orders of
// upstreams. It checks what callers owe it: one report for a window, fencing numbers that
// grow, one machine at a time. It has no transport: tests and tools speak to it as they
// like. Time is passed in.
package provider

import (
	"fmt"
	"maps"
	"slices"
	"sync"
	"time"
)

// Caller is who makes a call.
type Caller struct {
	Machine string
	Number  uint64
}

// Rules are what the provider counts with.
type Rules struct {
	// Lease is within what time calls may not go from one machine to another and back.
	Lease time.Duration
	// PerSecond bounds the calls that are taken; zero means no bound.
	PerSecond int
}

// Answer is what becomes of a call.
type Answer int

// The answers.
const (
	// Accepted calls took effect.
	Accepted Answer = iota
	// TooFast calls were not taken.
	TooFast
	// NoneLeft orders can't be met now.
	NoneLeft
)

// call is one call that was taken.
type call struct {
	Caller
	at      time.Time
	subject string
}

// Judge takes calls and remembers which rules they broke. It is safe for concurrent use.
type Judge struct {
	rules Rules

	mu      sync.Mutex
	calls   []call
	reports map[int64]map[string]uint64
	broken  []string
	second  int64
	taken   int
}

// NewJudge returns a judge that has seen no call.
func NewJudge(r Rules) *Judge { return &Judge{rules: r, reports: map[int64]map[string]uint64{}} }

// Report takes the usage of a window.
func (j *Judge) Report(now time.Time, by Caller, window int64, counts map[string]uint64) Answer {
	j.mu.Lock()
	defer j.mu.Unlock()
	if !j.take(now, by, "usage") {
		return TooFast
	}
	if first, known := j.reports[window]; known && !maps.Equal(first, counts) {
		j.breaks("window %d: %v after %v", window, counts, first)
	} else if !known {
		j.reports[window] = maps.Clone(counts)
	}
	return Accepted
}

// Order takes an order for a subject.
func (j *Judge) Order(now time.Time, by Caller, subject string) Answer {
	j.mu.Lock()
	defer j.mu.Unlock()
	if !j.take(now, by, subject) {
		return TooFast
	}
	return Accepted
}

// take judges a call; it needs mu.
func (j *Judge) take(now time.Time, by Caller, subject string) bool {
	if now.Unix() != j.second {
		j.second, j.taken = now.Unix(), 0
	}
	if j.taken++; j.rules.PerSecond > 0 && j.taken > j.rules.PerSecond {
		return false
	}
	j.judge(call{by, now, subject})
	return true
}

func (j *Judge) judge(c call) {
	between := false
	for i := len(j.calls) - 1; i >= 0; i-- {
		b := &j.calls[i]
		if b.subject != c.subject {
			continue
		}
		switch {
		case b.Number > c.Number:
			j.breaks("%s: %s calls with %d after %d of %s", c.subject, c.Machine, c.Number, b.Number, b.Machine)
		case b.Number == c.Number && b.Machine != c.Machine:
			j.breaks("%s: %s and %s call with %d", c.subject, b.Machine, c.Machine, c.Number)
		}
		if c.at.Sub(b.at) < j.rules.Lease {
			if between && b.Machine == c.Machine {
				j.breaks("%s: %s calls before and after another machine within %v", c.subject, c.Machine, j.rules.Lease)
			}
			between = between || b.Machine != c.Machine
		}
	}
	j.calls = append(j.calls, c)
}

func (j *Judge) breaks(format string, args ...any) {
	j.broken = append(j.broken, fmt.Sprintf(format, args...))
}

// Broken lists the rules that calls broke.
func (j *Judge) Broken() []string {
	j.mu.Lock()
	defer j.mu.Unlock()
	return slices.Clone(j.broken)
}

// Reported returns the report of a window, nil if none came.
func (j *Judge) Reported(window int64) map[string]uint64 {
	j.mu.Lock()
	defer j.mu.Unlock()
	return maps.Clone(j.reports[window])
}

// Windows returns the windows that were reported, in order.
func (j *Judge) Windows() []int64 {
	j.mu.Lock()
	defer j.mu.Unlock()
	return slices.Sorted(maps.Keys(j.reports))
}

// Calls returns how many calls were taken, and the greatest number among them.
func (j *Judge) Calls() (n int, number uint64) {
	j.mu.Lock()
	defer j.mu.Unlock()
	for i := range j.calls {
		number = max(number, j.calls[i].Number)
	}
	return len(j.calls), number
}
