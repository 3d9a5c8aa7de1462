// Package meter counts, at an instance that forwards requests, how many of each
// organisation began to run in which window of the agreed time (core/usage).
package meter

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/comfreyladder/comfreyladder/core/timebase"
	"github.com/comfreyladder/comfreyladder/core/usage"
	"github.com/comfreyladder/comfreyladder/instance/clock"
)

// Meter is the counter of one start of an instance. It is safe for concurrent use.
type Meter struct {
	mu      sync.Mutex
	counter *usage.Counter
	agreed  timebase.Follower
}

// New returns a meter that counts by windows of a span.
func New(span time.Duration) *Meter {
	return &Meter{counter: usage.NewCounter(rand.Uint64()|1, span)}
}

// now returns the agreed time; the time of day until one is known. It needs mu.
func (m *Meter) now() time.Time {
	if at, known := m.agreed.Now(clock.Now()); known {
		return at
	}
	return time.Now()
}

// Began counts a request that began to run some time ago.
func (m *Meter) Began(organisation string, ago time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.counter.Add(m.now().Add(-ago), organisation)
}

// Report returns what a member has not been told yet, and the revision for Told.
func (m *Meter) Report(member string) (usage.Report, uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.counter.Report(m.now(), member)
}

// Told notes that a member has taken in a report.
func (m *Meter) Told(r *usage.Report, revision uint64, member string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.counter.Acknowledge(r, revision, member)
}

// Observe takes in the agreed time of an answer; see timebase.Follower.
func (m *Meter) Observe(sent, came time.Time, held time.Duration, agreed time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.agreed.Observe(sent, came, held, agreed)
}
