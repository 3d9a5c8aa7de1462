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

// clocks is an encoded timebase.Reading, in nanoseconds since the Unix epoch.
type clocks struct {
	wire.Array
	Wall, Agreed int64
	Settled      bool
}

// metering collects the request counts of the instances until they are committed, and agrees
// on the time with the other members. It is safe for concurrent use; a nil metering does nothing.
type metering struct {
	mu        sync.Mutex
	collector *usage.Collector
	clock     *timebase.Clock
}

func newMetering() *metering {
	return &metering{collector: usage.NewCollector(), clock: timebase.New(time.Now)}
}

// record records the counts and the clock of an instance whose request arrived at the given
// time of the monotonic clock.
func (m *metering) record(from string, arrived time.Time, q *WatchRequest) {
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

// observe records the clocks of another member.
func (m *metering) observe(now time.Time, from string, c *clocks) {
	if m == nil || c == nil {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.clock.Observe(now, from, timebase.Reading{Wall: time.Unix(0, c.Wall), Agreed: time.Unix(0, c.Agreed), Settled: c.Settled})
}

// clocks returns the clocks of this member.
func (m *metering) clocks(now time.Time) *clocks {
	if m == nil {
		return nil
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	r := m.clock.Reading(now)
	return &clocks{Wall: r.Wall.UnixNano(), Agreed: r.Agreed.UnixNano(), Settled: r.Settled}
}

// agreed returns the agreed time in nanoseconds since the Unix epoch; zero if there is none.
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
	m.collector.Forget(next - retainedWindows)
	return m.collector.Uncommitted()
}

func (m *metering) committed(revision uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.collector.Committed(revision)
}

const (
	// commitInterval is the time between two commits of request counts. Counts that a member
	// received since its last commit are lost if it ends together with the instances.
	commitInterval = 500 * time.Millisecond
	// retainedWindows is for how many windows after their close counts are retained, so that late
	// ones are reported to operators.
	retainedWindows = 3
)

// Agreed returns the agreed time and whether it will not be set again.
func (s *Service) Agreed() (time.Time, bool) {
	at, settled := s.metering.agreed(clock.Now())
	return time.Unix(0, at), settled
}

// commitUsage commits the counts that instances sent to this member. Every member does so, so
// that nothing depends on the leader or on a single member.
func (s *Service) commitUsage(ctx context.Context) {
	ticker := time.NewTicker(commitInterval)
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
	viewUsage(g, func(m *usagestate.Machine) { next, _ = m.Next() })
	list, revision := s.metering.uncommitted(next)
	if len(list) == 0 {
		return
	}
	data, err := corecontrol.Marshal(&usagestate.Command{Counts: list})
	if err != nil {
		s.cfg.Log.Error().Err(err).Str("event", "usage_unreadable").Msg("cannot encode the request counts")
		return
	}
	ctx, cancel := context.WithTimeout(ctx, s.cfg.Timeout)
	defer cancel()
	if _, _, err := g.Propose(ctx, usagestate.Name, data); err != nil {
		// Counts are totals: sending them again changes nothing if they were committed after all.
		s.cfg.Log.Warn().Err(err).Str("event", "usage_not_committed").Int("instances", len(list)).Msg("request counts are not committed yet")
		return
	}
	s.metering.committed(revision)
}
