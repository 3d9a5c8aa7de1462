package uplink

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/comfreyladder/comfreyladder/core/reach"
)

const (
	// checkSize is how many upstreams a check asks, and checkStagger the time between two: one that
	// answers spares the others a request. With the retries of reach.Check, which concern one upstream,
	// no more than five requests go out.
	checkSize    = 3
	checkStagger = 50 * time.Millisecond
	// checkTimeout bounds a check, and the wait for each answer.
	checkTimeout = 2 * time.Second
	// maxAsks is how many times other instances are asked. askStagger is doubled with each of them: more
	// instances may become known meanwhile.
	maxAsks    = 4
	askStagger = 50 * time.Millisecond
	// recheckSize is how many upstreams are asked at once while this instance is cut off.
	recheckSize = 2
	// proofHolds is how long after the last answer this instance serves tunnels while a check still runs.
	proofHolds = 3 * time.Second
	// suspectTimeout bounds the wait for a check after a lost connection.
	suspectTimeout = time.Second
)

// check is one check, which all that need its result share.
type check struct {
	// connects is closed once an upstream has accepted a connection, then accepted is set, or at the end.
	connects chan struct{}
	accepted atomic.Bool
	once     sync.Once
	// done is closed at the end; found is set then.
	done  chan struct{}
	found reach.Result
}

func newCheck() *check { return &check{connects: make(chan struct{}), done: make(chan struct{})} }

// tellConnects tells those that wait whether an upstream has accepted a connection.
func (c *check) tellConnects(accepted bool) {
	c.once.Do(func() {
		c.accepted.Store(accepted)
		close(c.connects)
	})
}

// reason is why a check is due. Its text is that of metrics.
type reason string

const (
	// connectFailed: a connection could not be made, which is mostly due to its upstream.
	connectFailed reason = "connect_failed"
	// tunnelNeedsProof: another instance wants to reach upstreams through this one.
	tunnelNeedsProof reason = "tunnel"
	// requestsLost, silence and suspected: more than one connection, or an important one, got no answer.
	requestsLost reason = "requests_lost"
	silence      reason = "silence"
	suspected    reason = "suspected"
)

// maySpare reports whether a check may be left out for the sake of upstreams that are short of room.
func (r reason) maySpare() bool { return r == connectFailed || r == tunnelNeedsProof }

// startCheck returns the running check, or starts one unless the last one was a moment ago; then it
// returns no check, but what is known.
func (s *Service) startCheck(why reason) (*check, reach.Result) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	known, fresh := s.monitor.Fresh(now)
	if fresh || s.stopped {
		return nil, known
	}
	if s.check == nil && why.maySpare() && s.monitor.Spares(now, s.cfg.Instances(), s.cfg.Upstreams()) {
		return nil, known
	}
	if s.check == nil {
		c := newCheck()
		s.check = c
		s.cfg.OnCheck(string(why))
		s.running.Go(func() { s.runCheck(c, why) })
	}
	return s.check, reach.Result{}
}

// checkLinks checks the links, unless that was done a moment ago, and returns what was found.
func (s *Service) checkLinks(ctx context.Context, why reason) reach.Result {
	c, known := s.startCheck(why)
	if c == nil {
		return known
	}
	select {
	case <-c.done:
		return c.found
	case <-ctx.Done():
		return reach.Result{}
	}
}

// connects reports after a failed connect, which began at a given time, whether others succeed. It waits for
// no answer of an upstream, which may be busy.
func (s *Service) connects(ctx context.Context, begun time.Time) bool {
	if s.monitor.Proved(begun) {
		return true
	}
	c, known := s.startCheck(connectFailed)
	if c == nil {
		return known.Reached > 0
	}
	select {
	case <-c.connects:
		return c.accepted.Load()
	case <-ctx.Done():
		return false
	}
}

func (s *Service) runCheck(c *check, why reason) {
	v, found := s.examine(func() { c.tellConnects(true) })
	if found.Withheld > 0 && (why == connectFailed || s.monitor.HeardWithin(time.Now(), reach.Quiet)) {
		// A connect that succeeds is all that a failed one calls for, and old connections with answers are
		// a proof beside a new one.
		found.Reached += found.Withheld
		v = reach.Sound
	}
	c.found = found
	s.monitor.Checked(time.Now(), found)
	cutOff := v == reach.CutOff && s.monitor.ReachedByOther()
	s.mu.Lock()
	s.check = nil
	s.mu.Unlock()
	switch {
	case cutOff:
		s.cfg.OnChange(Change{CutOff: true, Found: found})
		s.watch(reach.Recheck)
	case found.Unreached():
		s.cfg.OnUnreached(found)
	}
	c.tellConnects(false)
	close(c.done)
}

// recheck asks upstreams again while this instance is cut off. It does not wait for their answers.
func (s *Service) recheck() {
	for _, target := range s.cfg.Sample(recheckSize) {
		s.running.Go(func() {
			ctx, cancel := context.WithTimeout(s.ctx, checkTimeout)
			defer cancel()
			if s.ask(ctx, target, func() {}) != reach.Answered {
				return
			}
			found := reach.Result{Reached: 1}
			if s.monitor.Checked(time.Now(), found) {
				s.cfg.OnChange(Change{Found: found})
			}
		})
	}
}
