package serving

import (
	"context"
	"sync"
	"time"

	corecontrol "github.com/comfreyladder/comfreyladder/core/control"
	usagestate "github.com/comfreyladder/comfreyladder/core/control/usage"
	"github.com/comfreyladder/comfreyladder/core/timebase"
	"github.com/comfreyladder/comfreyladder/core/usage"
	"github.com/comfreyladder/comfreyladder/core/wire"
	"github.com/comfreyladder/comfreyladder/instance/clock"
	"github.com/comfreyladder/comfreyladder/instance/consensus"
)

// clocks is a timebase.Reading on its way, in nanoseconds since the Unix epoch.
type clocks struct {
	wire.Array
	Wall, Agreed int64
	Settled      bool
}

// metering gathers what instances counted, until it is committed, and agrees with the other
// members on the time. It is safe for concurrent use; a nil one does nothing.
type metering struct {
	mu        sync.Mutex
	collector *usage.Collector
	clock     *timebase.Clock
}

func newMetering() *metering {
	return &metering{collector: usage.NewCollector(), clock: timebase.New(time.Now)}
}

// take takes in what an instance told at a time of the steady clock.
func (m *metering) take(from string, arrived time.Time, q *WatchRequest) {
	if m == nil {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if q.Usage != nil {
		m.collector.Add(q.Usage)
	}
	if q.Wall != 0 {
		m.clock.Observe(arrived, from, timebase.Reading{Wall: time.Unix(0, q.Wall)})
	}
}

// observe takes in the clocks of another member.
func (m *metering) observe(now time.Time, from string, c *clocks) {
	if m == nil || c == nil {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.clock.Observe(now, from, timebase.Reading{Wall: time.Unix(0, c.Wall), Agreed: time.Unix(0, c.Agreed), Settled: c.Settled})
}

// clocks returns this member's.
func (m *metering) clocks(now time.Time) *clocks {
	if m == nil {
		return nil
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	r := m.clock.Reading(now)
	return &clocks{Wall: r.Wall.UnixNano(), Agreed: r.Agreed.UnixNano(), Settled: r.Settled}
}

// agreed returns the agreed time in nanoseconds since the Unix epoch, zero for none.
func (m *metering) agreed(now time.Time) (at int64, settled bool) {
	if m == nil {
		return 0, false
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	at = m.clock.Now(now).UnixNano()
	return at, m.clock.Settled()
}

func (m *metering) uncommitted(next int64) ([]usage.Report, uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.collector.Forget(next - keepCounted)
	return m.collector.Uncommitted()
}

func (m *metering) committed(revision uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.collector.Committed(revision)
}

const (
	// commitEvery is the time between two commits of what instances counted: what a member
	// has heard since the last one is lost if it ends together with the instances.
	commitEvery = 500 * time.Millisecond
	// keepCounted is for how many windows after their close counts are kept here, so that
	// late ones are told to operators.
	keepCounted = 3
)

// Agreed returns the agreed time, and whether it will not be set any more.
func (s *Service) Agreed() (time.Time, bool) {
	at, settled := s.metering.agreed(clock.Now())
	return time.Unix(0, at), settled
}

// commitUsage commits what instances told this member. Every member does, so that nothing
// depends on one that leads or is asked.
func (s *Service) commitUsage(ctx context.Context) {
	ticker := time.NewTicker(commitEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		if g := s.cfg.Replica(); g != nil {
			s.commitCounts(ctx, g)
		}
	}
}

func (s *Service) commitCounts(ctx context.Context, g *consensus.Service) {
	var next int64
	usageMachine(g, func(m *usagestate.Machine) { next, _ = m.Next() })
	list, revision := s.metering.uncommitted(next)
	if len(list) == 0 {
		return
	}
	data, err := corecontrol.Marshal(&usagestate.Command{Counts: list})
	if err != nil {
		s.cfg.Log.Error().Err(err).Str("event", "usage_unreadable").Msg("counts can't be encoded")
		return
	}
	ctx, cancel := context.WithTimeout(ctx, s.cfg.Timeout)
	defer cancel()
	if _, _, err := g.Propose(ctx, usagestate.Name, data); err != nil {
		// They are totals: told again, they change nothing if they were committed after all.
		s.cfg.Log.Warn().Err(err).Str("event", "usage_not_committed").Int("instances", len(list)).Msg("counts of requests are not committed yet")
		return
	}
	s.metering.committed(revision)
}
