package duty

import (
	"time"

	"github.com/comfreyladder/comfreyladder/core/control"
	"github.com/comfreyladder/comfreyladder/core/control/fence"
	usagestate "github.com/comfreyladder/comfreyladder/core/control/usage"
)

// Status is the state of the duties as known to this member.
type Status struct {
	// Holder is the instance that holds the duties according to the replicated state; empty if none does.
	Holder string
	// Number is the fencing number of the local lease, zero without one. LeaseLeft is how long the
	// lease remains valid.
	Number    uint64
	LeaseLeft time.Duration
	// Next is the next window to close, Windows the latest closed ones.
	Next    int64
	Windows []usagestate.Closed
	// Open counts the closed windows whose report is not acknowledged.
	Open int
	// Unreachable is how long the provider could not be reached from this instance.
	Unreachable time.Duration
	Orders      []OrderStatus
}

// Status returns the latest status.
func (s *Service) Status() Status { return *s.status.Load() }

// publishInterval is the time between two updates of the status.
const publishInterval = 500 * time.Millisecond

func (s *Service) publish(now time.Time, g Group) {
	if now.Sub(s.publishedAt) < publishInterval {
		return
	}
	s.publishedAt = now
	st := &Status{}
	if s.lease.Number > 0 {
		st.Number, st.LeaseLeft = s.lease.Number, s.lease.Until.Sub(now)
	}
	if !s.tenure.unreachableSince.IsZero() {
		st.Unreachable = now.Sub(s.tenure.unreachableSince)
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
