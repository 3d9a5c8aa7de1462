package deployed_test

import (
	"os"
	"path/filepath"
	"sync"
	"time"

	. "github.com/onsi/gomega"
)

const (
	// probePause is the time between two looks at the machine, hang how long a look or a
	// sync takes when the machine or its disk hangs.
	probePause = 100 * time.Millisecond
	hang       = 700 * time.Millisecond
)

// machineWatch notes when this machine does not run or its disk hangs: what takes long then
// is no fault of the processes. What must never happen counts all the same.
type machineWatch struct {
	mu    sync.Mutex
	hangs []span
	// disk is since when a sync is under way, zero while none is.
	disk    time.Time
	running sync.WaitGroup
}

// watchMachine watches until ended is closed; dir is on the disk of the processes.
func watchMachine(dir string, ended <-chan struct{}) *machineWatch {
	m := &machineWatch{}
	m.running.Go(func() { every(ended, probePause, m.look()) })
	m.running.Go(func() { every(ended, probePause, func() { m.sync(filepath.Join(dir, "probe")) }) })
	return m
}

// look returns a function that notes pauses between two calls that are too long.
func (m *machineWatch) look() func() {
	last := time.Now()
	return func() {
		now := time.Now()
		m.note(last, now)
		last = now
	}
}

// sync writes and syncs a file, as the processes do.
func (m *machineWatch) sync(path string) {
	begun := time.Now()
	m.setDisk(begun)
	if f, err := os.Create(path); err == nil {
		_, _ = f.WriteString("probe")
		_ = f.Sync()
		_ = f.Close()
	}
	m.setDisk(time.Time{})
	m.note(begun, time.Now())
}

func (m *machineWatch) setDisk(at time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.disk = at
}

func (m *machineWatch) note(from, to time.Time) {
	if to.Sub(from) < hang {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.hangs = append(m.hangs, span{from, to})
}

// hung reports whether the machine or its disk hung in a part of a span.
func (m *machineWatch) hung(from, to time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, s := range m.hangs {
		if s.from.Before(to) && s.to.After(from) {
			return true
		}
	}
	return !m.disk.IsZero() && m.disk.Before(to.Add(-hang))
}

// hungFactor is how many times longer things may take if the machine hung.
const hungFactor = 4

// within polls until f returns true. That may take longer than the limit only if the machine or its disk
// hung meanwhile.
func (s *site) within(limit time.Duration, f func() bool, what ...any) {
	s.t.Helper()
	begun := time.Now()
	for !f() {
		took := time.Since(begun)
		if took > hungFactor*limit || took > limit && !s.watch.hung(begun, time.Now()) {
			s.g.Expect(took).To(BeNumerically("<=", limit), what...)
			return
		}
		time.Sleep(poll)
	}
	if took := time.Since(begun); took > limit {
		s.g.Expect(s.watch.hung(begun, time.Now())).To(BeTrue(), what...)
		s.t.Logf("took %v, as the machine or its disk hung", took)
	}
}

// steadily runs a check until the machine and its disk did not hang meanwhile, and reports what it
// returns. If they hang each time, the test is skipped.
func (s *site) steadily(check func() error) {
	s.t.Helper()
	for range steadyTries {
		begun := time.Now()
		err := check()
		if err == nil {
			return
		}
		if !s.watch.hung(begun.Add(-hangSpan), time.Now()) {
			s.g.Expect(err).NotTo(HaveOccurred())
			return
		}
		s.t.Logf("tried again, as the machine or its disk hung: %v", err)
	}
	s.t.Skip("the machine or its disk hung in each try")
}

const (
	steadyTries = 5
	// hangSpan is for how long a hang is felt: until a lease that was not renewed meanwhile is renewed.
	hangSpan = 4 * time.Second
)

// count returns how often the machine hung.
func (m *machineWatch) count() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.hangs)
}
