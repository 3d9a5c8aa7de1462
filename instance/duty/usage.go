package duty

import (
	"context"
	"slices"
	"time"

	"github.com/comfreyladder/comfreyladder/core/control"
	usagestate "github.com/comfreyladder/comfreyladder/core/control/usage"
	"github.com/comfreyladder/comfreyladder/core/fault"
	"github.com/comfreyladder/comfreyladder/core/usage"
)

// Usage configures usage reports.
type Usage struct {
	// Span is the length of a window. Its report is due within Delay after its end.
	Span, Delay time.Duration
}

// Report is the usage of one window.
type Report struct {
	Window int64
	Totals []usagestate.Total
}

const (
	// closeDelay is the minimum time between the end of a window and its close: the clocks of the
	// instances differ by less.
	closeDelay = 200 * time.Millisecond
	// waitShare is the part of Delay for which a window waits for instances that have not sent all of
	// their counts: they may be cut off for some seconds, and counts that arrive later are in no report.
	// The rest of the time is for a change of holder and for a slow provider.
	waitShare = 0.65
	// maxReports bounds the reports in flight.
	maxReports = 4
)

// usageDuty is the state of the reports.
type usageDuty struct {
	// closing reports whether the close of a window is being committed.
	closing bool
	// attempts are the attempts to report closed windows, by window number.
	attempts map[int64]*attempt
}

// reportUsage closes the next window when it is due, and sends the reports of closed windows.
func (s *Service) reportUsage(now time.Time, g Group) {
	if s.cfg.Usage == nil {
		return
	}
	var open []usagestate.Closed
	var next int64
	var counts, complete bool
	g.View(func(_ uint64, m *control.Mux) {
		state := m.Machine(usagestate.Name).(*usagestate.Machine)
		open = state.Open()
		next, counts = s.nextWindow(state)
		complete = state.Complete(next)
	})
	if counts && !s.usage.closing && s.mayClose(next, complete) {
		s.closeWindow(g, next)
	}
	s.sendReports(now, g, open)
}

// nextWindow returns the window to close next, or false before the first report. The first one
// is no older than the counts that instances keep: the clock of an instance that has just started
// may be far behind, and all windows from there on would have to be closed one after the other.
func (s *Service) nextWindow(state *usagestate.Machine) (window int64, counts bool) {
	window, counts = state.Next()
	if len(state.Closed()) > 0 {
		return window, counts
	}
	at, _ := s.cfg.Agreed()
	return max(window, usage.WindowAt(at, s.cfg.Usage.Span)-usage.RetentionWindows), counts
}

// mayClose reports whether a window may be closed: the agreed time is settled, the window has ended,
// and either all instances have sent their counts or it is too late to wait for them.
func (s *Service) mayClose(window int64, complete bool) bool {
	at, settled := s.cfg.Agreed()
	if !settled {
		return false
	}
	sinceEnd := at.Sub(usage.EndOf(window, s.cfg.Usage.Span))
	return sinceEnd >= time.Duration(waitShare*float64(s.cfg.Usage.Delay)) || complete && sinceEnd >= closeDelay
}

func (s *Service) closeWindow(g Group, window int64) {
	s.usage.closing = true
	s.commit(g, &usagestate.Command{Close: &window}, func() { s.usage.closing = false })
}

// commit proposes a command without blocking the loop. A failed one may have been committed after all:
// the state shows whether it was, and the next tick starts from there.
func (s *Service) commit(g Group, c *usagestate.Command, done func()) {
	s.calls.Go(func() {
		ctx, cancel := context.WithTimeout(s.ctx, s.cfg.CallTimeout)
		defer cancel()
		data, err := control.Marshal(c)
		if err == nil {
			_, _, err = g.Propose(ctx, usagestate.Name, data)
		}
		if err != nil {
			s.cfg.Log.Debug().Err(err).Msg("usage command not committed")
		}
		s.loop.Post(func(time.Time) { done() })
	})
}

func (s *Service) sendReports(now time.Time, g Group, open []usagestate.Closed) {
	busy := 0
	for _, a := range s.usage.attempts {
		if a.busy {
			busy++
		}
	}
	s.pruneReports(open)
	for i := range open {
		c := &open[i]
		a := s.usage.attempts[c.Window]
		if a == nil {
			a = &attempt{}
			s.usage.attempts[c.Window] = a
			s.logClosed(c)
		}
		if busy >= maxReports || !a.due(now) {
			continue
		}
		if !s.sendReport(now, g, c, a) {
			return
		}
		busy++
	}
}

// pruneReports removes the attempts of reports that are settled.
func (s *Service) pruneReports(open []usagestate.Closed) {
	for window, a := range s.usage.attempts {
		if !a.busy && !slices.ContainsFunc(open, func(c usagestate.Closed) bool { return c.Window == window }) {
			delete(s.usage.attempts, window)
		}
	}
}

func (s *Service) logClosed(c *usagestate.Closed) {
	var requests uint64
	for _, t := range c.Totals {
		requests += t.Requests
	}
	at, _ := s.cfg.Agreed()
	s.cfg.Log.Info().Str("event", "usage_window_closed").Int64("window", c.Window).Int("organisations", len(c.Totals)).Uint64("requests", requests).
		Int("instances", c.Instances).Int("missing", c.Missing).Dur("after_end", at.Sub(usage.EndOf(c.Window, s.cfg.Usage.Span))).
		Uint64("fence", s.lease.Number).Msg("the report of a window is agreed on")
}

// sendReport sends the report of one window. It returns false if the rate limit does not allow a call.
func (s *Service) sendReport(now time.Time, g Group, c *usagestate.Closed, a *attempt) bool {
	r := &Report{Window: c.Window, Totals: c.Totals}
	sent := now
	send := func(ctx context.Context, by Authority) error { return s.cfg.Provider.Report(ctx, by, r) }
	return s.call(now, a, send, func(now time.Time, err error) {
		at, _ := s.cfg.Agreed()
		s.cfg.Log.Info().Str("event", "usage_report").Int64("window", r.Window).Err(err).Int("failed_before", a.failures).Dur("took", now.Sub(sent)).
			Dur("after_end", at.Sub(usage.EndOf(r.Window, s.cfg.Usage.Span))).Msg("report of a window")
		switch {
		case err == nil:
			s.recordOutcome(g, r.Window, usagestate.Acknowledged, a)
		case fault.CodeOf(err) == fault.Invalid:
			s.recordOutcome(g, r.Window, usagestate.Refused, a)
		default:
			a.backOff(now, err)
		}
	})
}

// recordOutcome records the outcome of a report in the group, so that a successor need not send it
// again. This instance does not send the report again while the outcome is being committed.
func (s *Service) recordOutcome(g Group, window int64, outcome usagestate.Outcome, a *attempt) {
	a.busy = true
	s.commit(g, &usagestate.Command{Settle: &usagestate.Settle{Window: window, Outcome: outcome}}, func() { a.busy = false })
}
