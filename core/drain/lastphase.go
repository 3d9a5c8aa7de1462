package drain

import "time"

// lastCall is how long before its end a drain takes nothing new any more and requests
// that are not whole are refused: so long the answers have to go out.
const lastCall = 300 * time.Millisecond

// settle is for how long connections may stay open after their last answer, and new ones
// come while nothing is in flight, in time that the process has run.
const settle = time.Second

// LastCall reports whether requests that are not whole yet must be refused.
func (s *Schedule) LastCall(now time.Time) bool { return !now.Before(s.Over.Add(-lastCall)) }

// Work is what is under way on the connections of an instance.
type Work struct {
	// Listening says that connections may still be accepted.
	Listening bool
	// InFlight counts requests that were read and not answered, Open the connections on
	// which an answer may still go out, and All these and those that only wait for their
	// callers to close them.
	InFlight, Open, All int
}

// Step is what a drain does next in its last phase.
type Step int

// The steps.
const (
	// Wait goes on as before.
	Wait Step = iota
	// CloseListener takes the connections that wait to be accepted and no more.
	CloseListener
	// End ends the drain; all is done.
	End
	// GiveUp ends the drain with requests under way.
	GiveUp
)

// LastPhase decides the steps of the last phase of a drain. It is looked at at a steady pace.
type LastPhase struct {
	course *Schedule
	time   *RunTime
	closed bool
	// closedAt and overAt are the run time when the listener was closed and when the
	// schedule was found to be over; overAt is below zero before.
	closedAt, overAt time.Duration
}

// NewLastPhase returns the last phase of a drain that is looked at every pause.
func NewLastPhase(course *Schedule, pause time.Duration) *LastPhase {
	return &LastPhase{course: course, time: NewRunTime(pause), overAt: -1}
}

// Tick returns for how long the process has run in this phase.
func (f *LastPhase) Tick(now time.Time) time.Duration {
	ran := f.time.Tick(now)
	if f.overAt < 0 && !now.Before(f.course.Over) {
		f.overAt = ran
	}
	return ran
}

// Next returns the next step, with what the last look has found. A process that wakes
// after the end of its schedule still answers what has come meanwhile.
func (f *LastPhase) Next(now time.Time, w Work) Step {
	switch {
	case !f.closed && f.stopsAccepting(now, w):
		f.closed, f.closedAt = true, f.time.ran
		return CloseListener
	case f.closed && f.done(w):
		return End
	case f.overAt >= 0 && f.time.ran-f.overAt >= lastCall:
		return GiveUp
	}
	return Wait
}

func (f *LastPhase) stopsAccepting(now time.Time, w Work) bool {
	return f.course.LastCall(now) || w.InFlight == 0 && (w.Open == 0 || f.time.ran >= settle)
}

func (f *LastPhase) done(w Work) bool {
	return !w.Listening && w.InFlight == 0 && w.Open == 0 && (w.All == 0 || f.time.ran-f.closedAt >= settle)
}
