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

// Usage says how usage is reported.
type Usage struct {
	// Span is how long a window lasts, Delay within what time after its end its report is
	// due.
	Span, Delay time.Duration
}

// Report is the usage of one window.
type Report struct {
	Window int64
	Totals []usagestate.Total
}

const (
	// settleAfter is how long after the end of a window it is closed at the earliest:
	// instances' clocks agree on less.
	settleAfter = 200 * time.Millisecond
	// patiencePart is the part of the time until a report is due for which instances are
	// waited for that have not told all of the window: they may be cut off for some seconds,
	// and what they tell later is in no report. The rest is for a change of holder, and for a
	// provider that is slow.
	patiencePart = 0.65
	// maxReports bounds the reports under way at a time.
	maxReports = 4
)

// usageDuty is where the reports stand.
type usageDuty struct {
	// closing says that a window's close is being committed.
	closing bool
	// attempts are those of the closed windows, by number.
	attempts map[int64]*attempt
}

// reportUsage closes the next window when it is time, and sends the reports of those that
// are closed.
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
		next, counts = state.Next()
		complete = state.Complete(next)
	})
	if counts && !s.usage.closing && s.mayClose(next, complete) {
		s.closeWindow(g, next)
	}
	s.sendReports(now, g, open)
}

// mayClose reports whether a window may be closed: it is over, and all have told it, or it
// is too late to wait for them.
func (s *Service) mayClose(window int64, complete bool) bool {
	at, settled := s.cfg.Agreed()
	if !settled {
		return false
	}
	over := at.Sub(usage.EndOf(window, s.cfg.Usage.Span))
	return over >= time.Duration(patiencePart*float64(s.cfg.Usage.Delay)) || complete && over >= settleAfter
}

func (s *Service) closeWindow(g Group, window int64) {
	s.usage.closing = true
	s.commit(g, &usagestate.Command{Close: &window}, func() { s.usage.closing = false })
}

// commit has a command carried out without holding up the loop. One that fails is seen in
// the state, and tried again from there.
func (s *Service) commit(g Group, c *usagestate.Command, done func()) {
	s.calls.Go(func() {
		ctx, cancel := context.WithTimeout(s.ctx, s.cfg.CallTimeout)
		defer cancel()
		data, err := control.Marshal(c)
		if err == nil {
			_, _, err = g.Propose(ctx, usagestate.Name, data)
		}
		if err != nil {
			s.cfg.Log.Debug().Err(err).Msg("usage: a command was not committed")
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
	s.forgetReports(open)
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

// forgetReports drops what is known of reports that are settled.
func (s *Service) forgetReports(open []usagestate.Closed) {
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

// sendReport sends the report of one window; false means that there is no room for a call.
func (s *Service) sendReport(now time.Time, g Group, c *usagestate.Closed, a *attempt) bool {
	r := &Report{Window: c.Window, Totals: c.Totals}
	sent := now
	send := func(ctx context.Context, by Authority) error { return s.cfg.Provider.Report(ctx, by, r) }
	return s.call(now, a, send, func(now time.Time, err error) {
		at, _ := s.cfg.Agreed()
		s.cfg.Log.Info().Str("event", "usage_report").Int64("window", r.Window).Err(err).Int("failed_before", a.failed).Dur("took", now.Sub(sent)).
			Dur("after_end", at.Sub(usage.EndOf(r.Window, s.cfg.Usage.Span))).Msg("report of a window")
		switch {
		case err == nil:
			s.settle(g, r.Window, usagestate.Acknowledged, a)
		case fault.CodeOf(err) == fault.Invalid:
			s.settle(g, r.Window, usagestate.Refused, a)
		default:
			a.retry(now, err)
		}
	})
}

// settle notes in the group what became of a report, so that a successor need not send it
// again. The report is not sent again from here while that is being committed.
func (s *Service) settle(g Group, window int64, outcome usagestate.Outcome, a *attempt) {
	a.busy = true
	s.commit(g, &usagestate.Command{Settle: &usagestate.Settle{Window: window, Outcome: outcome}}, func() { a.busy = false })
}
