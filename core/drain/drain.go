// Package drain decides how an instance that shuts down treats its clients: which
// requests it still accepts, and when each connection ends. It does no I/O and reads no
// clock: the time is an argument, and the caller carries out the decisions.
//
// It guarantees the following. A request that was read is answered unless its client
// closes the connection. A request that has begun and is not complete is waited for, and
// if it does not complete in time, the client is told that it did not run. Everything
// that arrived while the process was not running is accepted before anything is closed.
// No request is accepted that the process may not live to answer. Every connection ends.
package drain

import "time"

// Phase is the progress of a drain.
type Phase int

// The phases, in order.
const (
	// Serving is the phase before a drain.
	Serving Phase = iota
	// Announcing lasts until clients are sent to other instances: all requests are
	// served, and each response ends its connection.
	Announcing
	// Ending closes idle connections and accepts only requests that end in time.
	Ending
)

// Schedule holds the times of a drain. The zero Schedule means that there is no drain.
type Schedule struct {
	// StartedAt is when the drain began, EndingAt when the Ending phase begins, and
	// Deadline when the process ends at the latest.
	StartedAt, EndingAt, Deadline time.Time
}

// NewSchedule returns the schedule of a drain that begins now.
func NewSchedule(now time.Time, announce, timeout time.Duration) Schedule {
	return Schedule{StartedAt: now, EndingAt: now.Add(announce), Deadline: now.Add(timeout)}
}

// Phase returns the phase at the given time.
func (s *Schedule) Phase(now time.Time) Phase {
	switch {
	case s.StartedAt.IsZero():
		return Serving
	case now.Before(s.EndingAt):
		return Announcing
	}
	return Ending
}

// Accepts reports whether a request may start. The Ending phase refuses requests that may
// not end before the process does: all streams, and requests whose deadline is after the
// end of the drain. They would be cut off; a client that is refused at once can retry at
// another instance.
func (s *Schedule) Accepts(now time.Time, streaming bool, deadline time.Time) bool {
	if s.Phase(now) != Ending {
		return true
	}
	return !streaming && !deadline.After(s.Deadline)
}
