// Package drain decides how an instance that shuts down treats its callers: what it
// still takes, and when each connection ends. Both are pure: the clock is passed in,
// and what is decided is carried out by the one who asks.
//
// These promises hold. A request that was read is answered unless its caller hangs up.
// One that has begun and is not whole is waited for, and told that it did not run if it
// does not come whole in time. What has arrived while the process did not run is taken
// before anything is closed. Nothing is taken that the process may not live to answer.
// Each connection ends.
package drain

import "time"

// Phase is how far a drain is.
type Phase int

// The phases, in order.
const (
	// Serving is the time before a drain.
	Serving Phase = iota
	// Announcing lasts until callers are sent elsewhere: all is served, and each
	// answer ends its connection.
	Announcing
	// Ending closes idle connections, and takes only what is over in time.
	Ending
)

// Schedule is the course of a drain; the zero Schedule is none.
type Schedule struct {
	// Begun is when the drain began, EndingAt when its last phase begins, and Over
	// when the process ends at the latest.
	Begun, EndingAt, Over time.Time
}

// NewSchedule returns the schedule of a drain that begins now.
func NewSchedule(now time.Time, announce, timeout time.Duration) Schedule {
	return Schedule{Begun: now, EndingAt: now.Add(announce), Over: now.Add(timeout)}
}

// Phase returns the phase at a time.
func (s *Schedule) Phase(now time.Time) Phase {
	switch {
	case s.Begun.IsZero():
		return Serving
	case now.Before(s.EndingAt):
		return Announcing
	}
	return Ending
}

// Accepts reports whether a request may begin. In the last phase one is turned away that
// the process may not live to see the end of: any stream, and a request whose time goes
// on beyond the drain's. It would be cut off, and a caller that is told so at once is
// better off at another instance.
func (s *Schedule) Accepts(now time.Time, streaming bool, deadline time.Time) bool {
	if s.Phase(now) != Ending {
		return true
	}
	return !streaming && !deadline.After(s.Over)
}
