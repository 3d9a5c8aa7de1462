// Package baseline holds the systems that the router is compared with. They
// send straight to the stand-in engines, run in the tool's own process, and
// share one queue and the caller's side, so that only the policy differs:
//
//   - FIFO: one queue in order of arrival, engines in turn;
//   - Strict: strict priority, least in flight by the last report;
//   - Known: every length and every engine's true state known beforehand.
package baseline

import (
	"context"
	"sync"
	"time"

	"github.com/comfreyladder/comfreyladder/core/prefix"
	"github.com/comfreyladder/comfreyladder/operator/load"
	"github.com/comfreyladder/comfreyladder/operator/load/caller"
	"github.com/comfreyladder/comfreyladder/operator/standin/engine"
)

const (
	// maxDials is how often a request whose connection was refused, so that
	// nothing ran, is sent to another engine.
	maxDials = 3
	// downFor is how long an engine that refused a connection gets no work; it
	// matches the lifetime of a beat.
	downFor = 3 * time.Second
	// tick is how often the queue is looked at besides arrivals and ends.
	tick = 50 * time.Millisecond
)

// ticket is one waiting request.
type ticket struct {
	request *load.Request
	arrived time.Time
	hashes  []uint64
	// grant receives the engine to send to, or nil when the request is shed.
	grant chan *target
}

// target is one engine as the dispatcher sees it.
type target struct {
	engine   *engine.Engine
	inFlight int
	downTill time.Time
	// reported is the in-flight count of the last report.
	reported int
}

// policy is what differs between the baselines. Its methods are called with the
// dispatcher's mutex held.
type policy interface {
	// before reports whether a goes before b.
	before(a, b *ticket, now time.Time) bool
	// choose returns an engine, or nil when the request has to wait.
	choose(s *System, t *ticket, now time.Time) *target
	// hopeless reports that a waiting request is to be shed.
	hopeless(s *System, t *ticket, now time.Time) bool
	// priority is sent to the engine.
	priority(r *load.Request) int
	// repeats reports whether a broken answer is asked for once more.
	repeats() bool
}

// System is a load.System with one of the policies.
type System struct {
	experiment *load.Experiment
	policy     policy

	mu       sync.Mutex
	targets  []*target
	slots    int
	inFlight int
	waiting  []*ticket
	done     chan struct{}
	group    sync.WaitGroup
}

func newSystem(x *load.Experiment, p policy) *System {
	return &System{experiment: x, policy: p, done: make(chan struct{})}
}

// Start implements load.System.
func (s *System) Start(_ context.Context) (load.Announce, error) { return nil, nil }

// Attach implements load.System.
func (s *System) Attach(_ context.Context, engines []*engine.Engine) error {
	for _, e := range engines {
		s.targets = append(s.targets, &target{engine: e})
		s.slots += e.Slots()
	}
	s.group.Add(1)
	go func() {
		defer s.group.Done()
		s.loop()
	}()
	return nil
}

// Stop implements load.System.
func (s *System) Stop(_ context.Context) error {
	close(s.done)
	s.group.Wait()
	return nil
}

func (s *System) loop() {
	beat := time.NewTicker(tick)
	defer beat.Stop()
	report := time.NewTicker(time.Second)
	defer report.Stop()
	for {
		select {
		case <-s.done:
			return
		case <-beat.C:
			s.schedule()
		case <-report.C:
			s.readReports()
		}
	}
}

func (s *System) readReports() {
	for _, t := range s.targets {
		l := t.engine.Load()
		s.mu.Lock()
		t.reported = l.Running + l.Waiting
		s.mu.Unlock()
	}
}

// Serve implements load.System.
func (s *System) Serve(ctx context.Context, r *load.Request, arrived time.Time) load.Outcome {
	repeated := false
	for dials := 1; ; dials++ {
		to, o := s.wait(ctx, r, arrived)
		if to == nil {
			return o
		}
		o = caller.Do(ctx, caller.Call{Address: to.engine.Address(), Request: r, Priority: s.policy.priority(r), Arrived: arrived})
		s.release(to, o)
		again := o.Verdict == load.NotRun && dials < maxDials
		if o.Verdict == load.Broken && s.policy.repeats() && !repeated {
			repeated = true
			again = true
		}
		if !again {
			return o
		}
	}
}

// wait queues the request until it is granted an engine.
func (s *System) wait(ctx context.Context, r *load.Request, arrived time.Time) (*target, load.Outcome) {
	t := &ticket{request: r, arrived: arrived, grant: make(chan *target, 1)}
	t.hashes = prefix.Hashes([]byte(r.Prompt()))
	s.mu.Lock()
	s.waiting = append(s.waiting, t)
	s.mu.Unlock()
	s.schedule()
	select {
	case to := <-t.grant:
		if to == nil {
			return nil, load.Outcome{Verdict: load.NotRun, Detail: "shed"}
		}
		return to, load.Outcome{}
	case <-ctx.Done():
		s.abandon(t)
		return nil, load.Outcome{Verdict: load.Expired, Detail: "in the queue"}
	}
}

// abandon takes a ticket out of the queue, or gives back what it was granted.
func (s *System) abandon(t *ticket) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i, o := range s.waiting {
		if o == t {
			s.waiting = append(s.waiting[:i], s.waiting[i+1:]...)
			return
		}
	}
	if to := <-t.grant; to != nil {
		to.inFlight--
		s.inFlight--
	}
}

func (s *System) release(to *target, o load.Outcome) {
	s.mu.Lock()
	to.inFlight--
	s.inFlight--
	if o.Verdict == load.NotRun {
		to.downTill = time.Now().Add(downFor)
	}
	s.mu.Unlock()
	s.schedule()
}

// schedule grants engines until the first request in order has to wait.
func (s *System) schedule() {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	s.shed(now)
	for len(s.waiting) > 0 && s.inFlight < s.slots {
		first := 0
		for i := range s.waiting {
			if s.policy.before(s.waiting[i], s.waiting[first], now) {
				first = i
			}
		}
		t := s.waiting[first]
		to := s.policy.choose(s, t, now)
		if to == nil {
			return
		}
		s.waiting = append(s.waiting[:first], s.waiting[first+1:]...)
		to.inFlight++
		s.inFlight++
		t.grant <- to
	}
}

func (s *System) shed(now time.Time) {
	kept := s.waiting[:0]
	for _, t := range s.waiting {
		if s.policy.hopeless(s, t, now) {
			t.grant <- nil
			continue
		}
		kept = append(kept, t)
	}
	s.waiting = kept
}
