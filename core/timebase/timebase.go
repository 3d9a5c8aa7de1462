// Package timebase lets machines agree on the time of day, for work that is divided by it.
// It does no I/O: clocks are passed in.
//
// A machine's time of day may jump by seconds and back, while its steady clock (one that
// goes on during a suspension and is never stepped) keeps its rate. So the agreed time is
// an offset to the steady clock. Where the time of day is taken at its word, requests of
// some seconds are counted for the wrong span, and twice or not at all by those who disagree.
package timebase

import (
	"cmp"
	"slices"
	"time"
)

const (
	// remember is for how long what a machine told about its clock counts.
	remember = 30 * time.Second
	// forming is for how long the agreed time may still be set, while the first machines
	// tell their clocks; later it only slews.
	forming = 3 * time.Second
	// slew is how much of each second the agreed time is moved at most: faster than quartz
	// clocks drift, and so slow that a step of most clocks by seconds for seconds does not
	// show.
	slew = 0.001
)

// Reading is what a machine tells about its clocks at one moment.
type Reading struct {
	// Wall is its time of day, Agreed the agreed time as it knows it.
	Wall, Agreed time.Time
	// Settled says that its agreed time is not to be set any more.
	Settled bool
}

// source is what is known of one machine's clocks, as offsets to the own steady clock.
type source struct {
	wall, agreed time.Duration
	settled      bool
	// at is when it was heard last, read when the reading came that wall is from.
	at, read time.Time
}

// Clock is one machine's part in the agreement. It is not safe for concurrent use.
type Clock struct {
	own     func() time.Time
	sources map[string]source
	offset  time.Duration
	known   bool
	begun   time.Time
	settled bool
	// moved is when the offset was worked out last.
	moved time.Time
}

// New returns a clock that has only its own machine's time of day, which wall returns.
func New(wall func() time.Time) *Clock { return &Clock{own: wall, sources: map[string]source{}} }

// Observe takes in a reading of another machine that came at a time of the steady clock.
// It was taken a moment before, which is not known: of several readings the one that was
// least delayed counts.
func (c *Clock) Observe(now time.Time, name string, r Reading) {
	next := source{wall: r.Wall.Sub(now), agreed: r.Agreed.Sub(now), settled: r.Settled, at: now, read: now}
	old, known := c.sources[name]
	if known && now.Sub(old.read) < bestFor && old.wall > next.wall && old.wall-next.wall < maxDelay {
		next.wall, next.read = old.wall, old.read
	}
	c.sources[name] = next
}

const (
	// bestFor is for how long the least delayed reading counts.
	bestFor = 3 * time.Second
	// maxDelay is up to what difference a lower reading is taken for a delayed one, and not
	// for a step of the clock.
	maxDelay = 500 * time.Millisecond
)

// Reading returns what this machine tells others.
func (c *Clock) Reading(now time.Time) Reading {
	return Reading{Wall: c.own(), Agreed: c.Now(now), Settled: c.settled}
}

// Settled reports whether the agreed time is not to be set any more.
func (c *Clock) Settled() bool { return c.settled }

// Now returns the agreed time at a time of the steady clock.
func (c *Clock) Now(now time.Time) time.Time {
	c.update(now)
	return now.Add(c.offset)
}

func (c *Clock) update(now time.Time) {
	if !c.known {
		c.begun, c.moved = now, now
	}
	elapsed := now.Sub(c.moved)
	if c.known && elapsed < updateEvery {
		return
	}
	for name, s := range c.sources {
		if now.Sub(s.at) > remember {
			delete(c.sources, name)
		}
	}
	c.moved = now
	target := c.median(now)
	if c.settled {
		most := time.Duration(slew * float64(elapsed))
		c.offset += min(most, max(-most, target-c.offset))
		return
	}
	c.known = true
	if agreed, ok := c.agreedByOthers(); ok {
		c.offset, c.settled = agreed, true
		return
	}
	c.offset = target
	c.settled = len(c.sources) > 0 && now.Sub(c.begun) >= forming
}

// updateEvery bounds how often the offset is worked out.
const updateEvery = 20 * time.Millisecond

// median returns the middle of all machines' times of day.
func (c *Clock) median(now time.Time) time.Duration {
	list := []time.Duration{c.own().Sub(now)}
	for _, s := range c.sources {
		list = append(list, s.wall)
	}
	return middle(list)
}

// agreedByOthers returns the middle of what the machines agree on whose time is settled. A
// machine that starts takes it over, whatever its own time of day.
func (c *Clock) agreedByOthers() (time.Duration, bool) {
	var list []time.Duration
	for _, s := range c.sources {
		if s.settled {
			list = append(list, s.agreed)
		}
	}
	if len(list) == 0 {
		return 0, false
	}
	return middle(list), true
}

func middle(list []time.Duration) time.Duration {
	slices.SortFunc(list, cmp.Compare[time.Duration])
	return list[(len(list)-1)/2]
}

// Follower keeps the agreed time at a machine that only asks others for it. The zero
// Follower knows none. It is not safe for concurrent use.
type Follower struct {
	offset, spread time.Duration
	at             time.Time
	known          bool
}

// Observe takes in an answer's agreed time, with the times of the own steady clock at which
// the question was sent and the answer came, and for how long it was held. The agreed time
// was read in between; the less time that took, the better it is known.
func (f *Follower) Observe(sent, came time.Time, held time.Duration, agreed time.Time) {
	spread := max(0, came.Sub(sent)-held) / 2
	if f.known && spread > f.spread && came.Sub(f.at) < bestFor {
		return
	}
	f.offset, f.spread, f.at, f.known = agreed.Add(spread).Sub(came), spread, came, true
}

// Now returns the agreed time at a time of the steady clock; false while none is known.
func (f *Follower) Now(now time.Time) (time.Time, bool) { return now.Add(f.offset), f.known }
