// Package meter counts the requests of each organisation that started to run on a forwarding
// instance, by window of the agreed time (core/usage).
package meter

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/comfreyladder/comfreyladder/core/timebase"
	"github.com/comfreyladder/comfreyladder/core/usage"
	"github.com/comfreyladder/comfreyladder/instance/clock"
)

// Meter counts requests since one start of an instance. It is safe for concurrent use.
type Meter struct {
	mu      sync.Mutex
	counter *usage.Counter
	agreed  timebase.Follower
}

// New returns a meter whose windows have the given span.
func New(span time.Duration) *Meter {
	return &Meter{counter: usage.NewCounter(rand.Uint64()|1, span)}
}

// now returns the agreed time, or the local wall clock until one is known. The caller holds mu.
func (m *Meter) now() time.Time {
	if at, known := m.agreed.Now(clock.Now()); known {
		return at
	}
	return time.Now()
}

// RecordStart counts a request that started to run the given time ago.
func (m *Meter) RecordStart(organisation string, ago time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.counter.Add(m.now().Add(-ago), organisation)
}

// Report returns the counts that a member has not acknowledged yet, and the revision to pass to
// Acknowledge.
func (m *Meter) Report(member string) (usage.Report, uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.counter.Report(m.now(), member)
}

// Acknowledge records that a member has accepted a report.
func (m *Meter) Acknowledge(r *usage.Report, revision uint64, member string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.counter.Acknowledge(r, revision, member)
}

// Observe updates the agreed time from a response; see timebase.Follower.
func (m *Meter) Observe(sent, came time.Time, held time.Duration, agreed time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.agreed.Observe(sent, came, held, agreed)
}
