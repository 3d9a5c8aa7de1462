package duty

import (
	"time"

	"github.com/comfreyladder/comfreyladder/core/control"
	"github.com/comfreyladder/comfreyladder/core/control/fence"
	usagestate "github.com/comfreyladder/comfreyladder/core/control/usage"
)

// Status tells how the duties stand, as this member knows it.
type Status struct {
	// Holder is the machine that holds the duties by the replicated state; empty for none.
	Holder string
	// Number is the fencing number of the own lease, zero without one; Left is for how long
	// it may be counted on.
	Number    uint64
	LeaseLeft time.Duration
	// Next is the window to be closed next, Windows the latest closed ones.
	Next    int64
	Windows []usagestate.Closed
	// Open counts closed windows whose report is not acknowledged.
	Open int
	// Unreachable is since when the provider can't be reached from here.
	Unreachable time.Duration
	Orders      []OrderStatus
}

// Status returns the latest status.
func (s *Service) Status() Status { return *s.status.Load() }

// publishEvery is the time between two looks at the state for the status.
const publishEvery = 500 * time.Millisecond

func (s *Service) publish(now time.Time, g Group) {
	if now.Sub(s.published) < publishEvery {
		return
	}
	s.published = now
	st := &Status{}
	if s.lease.Number > 0 {
		st.Number, st.LeaseLeft = s.lease.Number, s.lease.Until.Sub(now)
	}
	if !s.tenure.unreachable.IsZero() {
		st.Unreachable = now.Sub(s.tenure.unreachable)
	}
	if g != nil {
		g.View(func(_ uint64, m *control.Mux) {
			l, _ := m.Machine(fence.Name).(*fence.Machine).Lease(Subject)
			if l.Holder != "" {
				st.Holder = l.Instance
			}
			state := m.Machine(usagestate.Name).(*usagestate.Machine)
			st.Next, _ = state.Next()
			st.Windows = state.Closed()
		})
		for i := range st.Windows {
			if st.Windows[i].Outcome == usagestate.Open {
				st.Open++
			}
		}
	}
	st.Orders = s.scale.status()
	s.status.Store(st)
}
