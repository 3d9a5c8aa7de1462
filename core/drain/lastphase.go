package drain

import "time"

// finalAnswerTime is how long before the deadline of a drain the instance stops accepting
// connections and refuses incomplete requests, so that the remaining responses can be sent.
// A process that was frozen past the deadline still runs for as long before it gives up.
const finalAnswerTime = 300 * time.Millisecond

// lingerTime is how long, in run time, connections may stay open after their last
// response, and new connections are accepted while no request is in flight.
const lingerTime = time.Second

// RefusesIncomplete reports whether incomplete requests must be refused.
func (s *Schedule) RefusesIncomplete(now time.Time) bool {
	return !now.Before(s.Deadline.Add(-finalAnswerTime))
}

// Work is the work in progress on the connections of an instance.
type Work struct {
	// Listening says that connections may still be accepted.
	Listening bool
	// InFlight counts requests that were read and not answered, Open the connections on
	// which a response may still be sent, and All these and the connections that only
	// wait for their clients to close them.
	InFlight, Open, All int
}

// Step is the next action of a drain in its last phase.
type Step int

// Values of Step.
const (
	// Wait changes nothing.
	Wait Step = iota
	// CloseListener accepts the connections that are already queued and no others.
	CloseListener
	// End ends the drain with all work done.
	End
	// GiveUp ends the drain with requests still in progress.
	GiveUp
)

// LastPhase decides the steps of the last phase of a drain. Tick must be called at a
// steady interval.
type LastPhase struct {
	schedule       *Schedule
	runTime        *RunTime
	listenerClosed bool
	// listenerClosedAt is the run time at which the listener was closed, deadlineAt that
	// at which the schedule was found to be over; deadlineAt is negative before.
	listenerClosedAt, deadlineAt time.Duration
}

// NewLastPhase returns the last phase of a drain; Tick is to be called once per interval.
func NewLastPhase(schedule *Schedule, interval time.Duration) *LastPhase {
	return &LastPhase{schedule: schedule, runTime: NewRunTime(interval), deadlineAt: -1}
}

// Tick returns how long the process has run in this phase.
func (f *LastPhase) Tick(now time.Time) time.Duration {
	ran := f.runTime.Tick(now)
	if f.deadlineAt < 0 && !now.Before(f.schedule.Deadline) {
		f.deadlineAt = ran
	}
	return ran
}

// Next returns the next step as of the last Tick. A process that resumes after the end of
// its schedule still answers the requests that have arrived meanwhile.
func (f *LastPhase) Next(now time.Time, w Work) Step {
	switch {
	case !f.listenerClosed && f.stopsAccepting(now, w):
		f.listenerClosed, f.listenerClosedAt = true, f.runTime.total
		return CloseListener
	case f.listenerClosed && f.done(w):
		return End
	case f.deadlineAt >= 0 && f.runTime.total-f.deadlineAt >= finalAnswerTime:
		return GiveUp
	}
	return Wait
}

func (f *LastPhase) stopsAccepting(now time.Time, w Work) bool {
	return f.schedule.RefusesIncomplete(now) || w.InFlight == 0 && (w.Open == 0 || f.runTime.total >= lingerTime)
}

func (f *LastPhase) done(w Work) bool {
	return !w.Listening && w.InFlight == 0 && w.Open == 0 && (w.All == 0 || f.runTime.total-f.listenerClosedAt >= lingerTime)
}
