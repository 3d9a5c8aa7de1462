// Package timebase lets instances agree on the time of day, for work that is divided by
// time. It does no I/O: clocks are passed in.
//
// The wall clock of an instance may jump by seconds and back, while its steady clock (one
// that continues during a suspension and is never stepped) keeps its rate. So the agreed
// time is an offset from the steady clock. If wall clocks were used directly, requests of
// several seconds would be counted in the wrong time window, and twice or not at all by
// instances that disagree.
package timebase

import (
	"cmp"
	"slices"
	"time"
)

const (
	// sourceTTL is how long a reading of another instance is used.
	sourceTTL = 30 * time.Second
	// settleAfter is how long the agreed time may still be set directly, while the first
	// instances exchange their readings. Afterwards it is only slewed.
	settleAfter = 3 * time.Second
	// maxSlewRate is the maximum rate at which the agreed time is adjusted, in seconds per
	// second. It exceeds the drift of quartz clocks, but is so low that the agreed time hardly
	// moves when most wall clocks step by some seconds and back some seconds later.
	maxSlewRate = 0.001
)

// Reading holds the clocks of an instance at one moment.
type Reading struct {
	// Wall is the wall clock of the instance, Agreed the agreed time as the instance knows
	// it.
	Wall, Agreed time.Time
	// Settled reports that the agreed time of the instance can only be slewed, no longer
	// set.
	Settled bool
}

// source holds what is known of the clocks of another instance, as offsets from the local
// steady clock.
type source struct {
	wall, agreed time.Duration
	settled      bool
	// heardAt is when the instance was last heard from, wallReadAt when the reading arrived
	// that wall comes from.
	heardAt, wallReadAt time.Time
}

// Clock is the state of one instance in the agreement. It is not safe for concurrent use.
type Clock struct {
	wallClock   func() time.Time
	sources     map[string]source
	offset      time.Duration
	initialised bool
	startedAt   time.Time
	settled     bool
	// updatedAt is when the offset was last computed.
	updatedAt time.Time
}

// New returns a clock that initially uses only the local wall clock, which wall returns.
func New(wall func() time.Time) *Clock { return &Clock{wallClock: wall, sources: map[string]source{}} }

// Observe records a reading of another instance that arrived at the given time of the
// steady clock. The reading was taken earlier by an unknown delay, so of several readings
// the least delayed one is used.
func (c *Clock) Observe(now time.Time, name string, r Reading) {
	next := source{wall: r.Wall.Sub(now), agreed: r.Agreed.Sub(now), settled: r.Settled, heardAt: now, wallReadAt: now}
	old, known := c.sources[name]
	if known && now.Sub(old.wallReadAt) < bestReadingTTL && old.wall > next.wall && old.wall-next.wall < maxReadingDelay {
		next.wall, next.wallReadAt = old.wall, old.wallReadAt
	}
	c.sources[name] = next
}

const (
	// bestReadingTTL is how long the least delayed reading is used.
	bestReadingTTL = 3 * time.Second
	// maxReadingDelay is the largest difference by which a lower reading counts as delayed.
	// A larger difference counts as a step of the clock.
	maxReadingDelay = 500 * time.Millisecond
)

// Reading returns the reading that this instance sends to others.
func (c *Clock) Reading(now time.Time) Reading {
	return Reading{Wall: c.wallClock(), Agreed: c.Now(now), Settled: c.settled}
}

// Settled reports whether the agreed time can only be slewed, no longer set.
func (c *Clock) Settled() bool { return c.settled }

// Now returns the agreed time at a time of the steady clock.
func (c *Clock) Now(now time.Time) time.Time {
	c.update(now)
	return now.Add(c.offset)
}

func (c *Clock) update(now time.Time) {
	if !c.initialised {
		c.startedAt, c.updatedAt = now, now
	}
	elapsed := now.Sub(c.updatedAt)
	if c.initialised && elapsed < updateInterval {
		return
	}
	for name, s := range c.sources {
		if now.Sub(s.heardAt) > sourceTTL {
			delete(c.sources, name)
		}
	}
	c.updatedAt = now
	target := c.medianWallOffset(now)
	if c.settled {
		maxStep := time.Duration(maxSlewRate * float64(elapsed))
		c.offset += min(maxStep, max(-maxStep, target-c.offset))
		return
	}
	c.initialised = true
	if agreed, ok := c.settledOffset(); ok {
		c.offset, c.settled = agreed, true
		return
	}
	c.offset = target
	c.settled = len(c.sources) > 0 && now.Sub(c.startedAt) >= settleAfter
}

// updateInterval is the minimum time between two computations of the offset.
const updateInterval = 20 * time.Millisecond

// medianWallOffset returns the median of the wall clock offsets of all instances, this one
// included.
func (c *Clock) medianWallOffset(now time.Time) time.Duration {
	list := []time.Duration{c.wallClock().Sub(now)}
	for _, s := range c.sources {
		list = append(list, s.wall)
	}
	return medianOf(list)
}

// settledOffset returns the median of the agreed times of the instances that have settled.
// An instance that starts adopts it, whatever its own wall clock shows.
func (c *Clock) settledOffset() (time.Duration, bool) {
	var list []time.Duration
	for _, s := range c.sources {
		if s.settled {
			list = append(list, s.agreed)
		}
	}
	if len(list) == 0 {
		return 0, false
	}
	return medianOf(list), true
}

func medianOf(list []time.Duration) time.Duration {
	slices.SortFunc(list, cmp.Compare[time.Duration])
	return list[(len(list)-1)/2]
}

// Follower tracks the agreed time on an instance that only requests it from others. The
// zero Follower has no time yet. It is not safe for concurrent use.
type Follower struct {
	offset, uncertainty time.Duration
	observedAt          time.Time
	known               bool
}

// Observe records the agreed time of an answer, with the times of the local steady clock at
// which the request was sent and the answer was received, and how long the request was held
// before the answer. The agreed time was read in between, so a shorter round trip gives a
// more precise result.
func (f *Follower) Observe(sent, received time.Time, held time.Duration, agreed time.Time) {
	uncertainty := max(0, received.Sub(sent)-held) / 2
	if f.known && uncertainty > f.uncertainty && received.Sub(f.observedAt) < bestReadingTTL {
		return
	}
	f.offset, f.uncertainty, f.observedAt, f.known = agreed.Add(uncertainty).Sub(received), uncertainty, received, true
}

// Now returns the agreed time at the given time of the steady clock, or false if it is not
// known yet.
func (f *Follower) Now(now time.Time) (time.Time, bool) { return now.Add(f.offset), f.known }
