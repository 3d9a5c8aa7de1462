package serving

import (
	"time"

	"github.com/comfreyladder/comfreyladder/core/control/serving"
	"github.com/comfreyladder/comfreyladder/core/ratelimit"
	"github.com/comfreyladder/comfreyladder/instance/consensus"
)

// limitBook holds the limits that upstreams name, as instances and members tell of them.
type limitBook struct{ *ratelimit.Tracker }

func newLimitBook() limitBook { return limitBook{ratelimit.NewTracker()} }

// statements returns what is known; nil for nothing.
func (b limitBook) statements(now time.Time) []ratelimit.Statement {
	if b.Empty() {
		return nil
	}
	return b.Statements(now)
}

func (b limitBook) take(now time.Time, list []ratelimit.Statement) {
	if len(list) > 0 {
		b.Merge(now, list)
	}
}

// Limit returns the limit that an upstream names, if it does. It implements ratelimit.Limits.
func (s *Service) Limit(upstream uint64) (perSecond float64, limited bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.limits.Limit(upstream)
}

// forgetLimits drops the limits of upstreams that are gone.
func (s *Service) forgetLimits(g *consensus.Service, now time.Time) {
	s.mu.Lock()
	empty := s.limits.Empty()
	s.mu.Unlock()
	if empty {
		return
	}
	there := map[uint64]bool{}
	machine(g, func(m *serving.Machine) {
		for _, u := range m.Upstreams() {
			there[u.FirstIndex] = u.State <= serving.Draining
		}
	})
	s.mu.Lock()
	defer s.mu.Unlock()
	s.limits.Prune(now, func(upstream uint64) bool { return there[upstream] })
}
