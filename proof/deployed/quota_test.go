package deployed_test

import (
	"sync"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// quota lets a process run for a part of each tenth of a second only, until stopped.
func (n *node) quota(running time.Duration, offset time.Duration, stop <-chan struct{}) {
	const period = 100 * time.Millisecond
	time.Sleep(offset)
	for {
		_ = n.process.Process.Signal(syscall.SIGSTOP)
		time.Sleep(period - running)
		_ = n.process.Process.Signal(syscall.SIGCONT)
		select {
		case <-stop:
			return
		case <-time.After(running):
		}
	}
}

// All machines' processor is a quota that is used up in the middle of each tenth of a
// second, out of step with each other. Callers see errors, or a change that takes seconds:
// silences that short would be taken for failures, of the leader or of a core. Requests
// are served, changes are acknowledged and in force, and a removed key ends.
func TestQuotaIsNoFailure(t *testing.T) {
	s := newTrio(t)
	stop := make(chan struct{})
	var group sync.WaitGroup
	all := append(append([]*node(nil), s.cores...), s.edges...)
	for i, n := range all {
		group.Go(func() { n.quota(40*time.Millisecond, time.Duration(i)*17*time.Millisecond, stop) })
	}
	defer group.Wait()
	defer close(stop)
	// acknowledged is within what time an operator must have an acknowledgement.
	const acknowledged = 4 * time.Second
	begun := time.Now()
	for version := 2; time.Since(begun) < 5*time.Second; version++ {
		s.within(acknowledged, func() bool { return s.cores[version%3].put(version, "k", "l") == 200 }, "version %d", version)
		for _, e := range s.edges {
			s.steadily(func() error { return e.serves("k") })
		}
	}
	s.within(acknowledged, func() bool { return s.cores[0].put(1000, "k") == 200 })
	time.Sleep(2 * time.Second)
	for _, e := range s.edges {
		Expect(e.ask("l")).To(Equal(401))
		Expect(e.ask("k")).To(Equal(200))
	}
}
