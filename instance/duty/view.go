package duty

import (
	"cmp"
	"slices"
	"time"

	usagestate "github.com/comfreyladder/comfreyladder/core/control/usage"
	"github.com/comfreyladder/comfreyladder/core/usage"
)

// View is the Status in JSON for operators.
type View struct {
	// Instance is the instance that reports. Holder is the instance that holds the duties according to
	// the state replicated to it, empty if none does.
	Instance string `json:"instance"`
	Holder   string `json:"holder,omitempty"`
	// Number is the fencing number under which this instance makes calls, zero if it makes none, and
	// LeaseLeftMS how long it may make them.
	Number      uint64 `json:"number,omitempty"`
	LeaseLeftMS int64  `json:"lease_left_ms,omitempty"`
	// UnreachableMS is how long the provider could not be reached from this instance.
	UnreachableMS int64 `json:"unreachable_ms,omitempty"`
	// Windows are the windows that were closed last, the oldest first.
	Windows []WindowView `json:"windows,omitempty"`
	Orders  []OrderView  `json:"orders,omitempty"`
	// DryRun reports that orders are planned but not sent.
	DryRun bool `json:"dry_run,omitempty"`
}

// WindowView is the usage report of a window.
type WindowView struct {
	Window   int64     `json:"window"`
	StartsAt time.Time `json:"begins"`
	// State is "open" until the provider accepted the report, then "acknowledged", or "refused" if the
	// provider found it invalid.
	State string `json:"state"`
	// Overdue reports that the window is open after its report was due.
	Overdue  bool   `json:"overdue,omitempty"`
	Requests uint64 `json:"requests"`
	// Missing of the Instances had not sent all of their counts when the window was closed. Late counts
	// the requests that were reported after that: the report lacks them.
	Instances     int               `json:"instances"`
	Missing       int               `json:"missing,omitempty"`
	Late          uint64            `json:"late,omitempty"`
	Organisations map[string]uint64 `json:"organisations,omitempty"`
}

// OrderView is the order of one kind of upstream in a failure domain.
type OrderView struct {
	Service     string `json:"service"`
	Domain      string `json:"domain"`
	Preemptible bool   `json:"preemptible,omitempty"`
	// Wanted is the count that the plan asks for, Accepted the count that the provider accepted last, and
	// Ready the number of ready upstreams.
	Wanted   int    `json:"wanted"`
	Accepted int    `json:"given"`
	Ready    int    `json:"ready"`
	Failed   string `json:"failed,omitempty"`
}

// Path is the HTTP path of the View of a member, beside its metrics.
const Path = "/duties"

// StateOpen is the State of an open window, whose outcome has no text.
const StateOpen = "open"

// View returns the latest status for operators.
func (s *Service) View() *View {
	st := s.Status()
	v := &View{
		Instance: s.cfg.Instance, Holder: st.Holder, Number: st.Number,
		LeaseLeftMS: st.LeaseLeft.Milliseconds(), UnreachableMS: st.Unreachable.Milliseconds(),
	}
	v.DryRun = s.cfg.Scale != nil && s.cfg.Scale.DryRun
	if s.cfg.Usage != nil {
		now, _ := s.cfg.Agreed()
		for i := range st.Windows {
			v.Windows = append(v.Windows, s.viewWindow(now, &st.Windows[i]))
		}
	}
	for _, o := range st.Orders {
		v.Orders = append(v.Orders, OrderView{o.Service, o.Domain, o.Preemptible, o.Count, o.Accepted, o.Ready, o.LastError})
	}
	slices.SortFunc(v.Orders, func(a, b OrderView) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Domain, b.Domain), cmp.Compare(rank(a), rank(b)))
	})
	return v
}

// rank orders standard upstreams before preemptible ones.
func rank(o OrderView) int {
	if o.Preemptible {
		return 1
	}
	return 0
}

func (s *Service) viewWindow(now time.Time, c *usagestate.Closed) WindowView {
	end := usage.EndOf(c.Window, s.cfg.Usage.Span)
	w := WindowView{
		Window: c.Window, StartsAt: end.Add(-s.cfg.Usage.Span), State: cmp.Or(string(c.Outcome), StateOpen),
		Overdue:   c.Outcome == usagestate.Open && now.After(end.Add(s.cfg.Usage.Delay)),
		Instances: c.Instances, Missing: c.Missing, Late: c.Late, Organisations: make(map[string]uint64, len(c.Totals)),
	}
	for _, t := range c.Totals {
		w.Requests += t.Requests
		w.Organisations[t.Organisation] = t.Requests
	}
	return w
}
