// Package shutdown drains a listener and its connections as core/drain decides.
package shutdown

import (
	"context"
	"time"

	"github.com/comfreyladder/comfreyladder/core/drain"
	"github.com/comfreyladder/comfreyladder/core/fault"
	"github.com/comfreyladder/comfreyladder/instance/clock"
)

// Server is a listener with its connections.
type Server interface {
	// Sweep closes connections without a request in flight, as decided by drain.Conn.Sweep; ran
	// is how long the process has run since the drain's last phase began. If refuseIncomplete is
	// set, it also stops reading requests that have not arrived completely.
	Sweep(ran time.Duration, refuseIncomplete bool)
	// Work returns the requests and connections that are still open.
	Work() drain.Work
	// CloseListener accepts the connections that are already in the accept queue, and no more.
	CloseListener()
}

// pollInterval is how often a drain checks for remaining work.
const pollInterval = 50 * time.Millisecond

// Run drains a server. It returns when no work is left, or fails with fault.DeadlineExceeded when
// the schedule or ctx ends first.
func Run(ctx context.Context, schedule *drain.Schedule, s Server) error {
	clock.Sleep(ctx, clock.Until(schedule.EndingAt))
	phase := drain.NewLastPhase(schedule, pollInterval)
	for {
		now := clock.Now()
		s.Sweep(phase.Tick(now), schedule.RefusesIncomplete(now))
		w := s.Work()
		switch phase.Next(now, w) {
		case drain.CloseListener:
			s.CloseListener()
		case drain.End:
			return nil
		case drain.GiveUp:
			return unfinishedError(w)
		}
		if !clock.Sleep(ctx, pollInterval) {
			return unfinishedError(w)
		}
	}
}

func unfinishedError(w drain.Work) error {
	return fault.New(fault.DeadlineExceeded, "%d requests were still in flight and %d connections still open at the end of the drain", w.InFlight, w.Open)
}

// quietPollInterval is how often AwaitQuiet checks for work.
const quietPollInterval = 10 * time.Millisecond

// AwaitQuiet waits until the process has run without work for the duration span. It fails with
// fault.DeadlineExceeded when ctx ends first.
func AwaitQuiet(ctx context.Context, span time.Duration, busy func() bool) error {
	quiet := drain.NewQuietPeriod(span, quietPollInterval)
	for !quiet.Tick(clock.Now(), busy()) {
		if !clock.Sleep(ctx, quietPollInterval) {
			return fault.Wrap(ctx.Err(), fault.DeadlineExceeded, "requests are still in flight")
		}
	}
	return nil
}
