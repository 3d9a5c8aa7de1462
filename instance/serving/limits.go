package serving

import (
	"time"

	"github.com/comfreyladder/comfreyladder/core/control/serving"
	"github.com/comfreyladder/comfreyladder/core/ratelimit"
	"github.com/comfreyladder/comfreyladder/instance/consensus"
)

// limitTracker tracks the rate limits that upstreams announce, as reported by instances and
// members.
type limitTracker struct{ *ratelimit.Tracker }

func newLimitTracker() limitTracker { return limitTracker{ratelimit.NewTracker()} }

// statements returns the known limits, or nil if there are none.
func (b limitTracker) statements(now time.Time) []ratelimit.Statement {
	if b.Empty() {
		return nil
	}
	return b.Statements(now)
}

func (b limitTracker) merge(now time.Time, list []ratelimit.Statement) {
	if len(list) > 0 {
		b.Merge(now, list)
	}
}

// Limit returns the rate limit that an upstream announced, if any. It implements
// ratelimit.Limits.
func (s *Service) Limit(upstream uint64) (perSecond float64, limited bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.limits.Limit(upstream)
}

// WarmUpRate returns the rate at which an upstream may receive requests while it is cold, if it has one.
func (s *Service) WarmUpRate(upstream uint64) (perSecond float64, ok bool) {
	if g := s.cfg.Replica(); g != nil {
		viewServing(g, func(m *serving.Machine) { perSecond, ok = m.WarmUpRate(upstream) })
	}
	return perSecond, ok
}

// pruneLimits removes the limits of upstreams that are gone.
func (s *Service) pruneLimits(g *consensus.Service, now time.Time) {
	s.mu.Lock()
	empty := s.limits.Empty()
	s.mu.Unlock()
	if empty {
		return
	}
	current := map[uint64]bool{}
	viewServing(g, func(m *serving.Machine) {
		m.Each(func(u *serving.Upstream) { current[u.FirstIndex] = u.State <= serving.Draining })
	})
	s.mu.Lock()
	defer s.mu.Unlock()
	s.limits.Prune(now, func(upstream uint64) bool { return current[upstream] })
}
