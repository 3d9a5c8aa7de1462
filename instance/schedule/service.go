// Package schedule lets requests of this instance wait for a grant of an
// upstream. One instance of the failure domain, elected by rendezvous hash over
// the live ones, runs the domain's scheduler (core/sched); the others send it
// tickets and events and get grants back. While it does not answer, the next in the
// election stands in; an instance that reaches neither schedules for itself on its
// share of the slots.
//
// Scheduler state is soft. What was learned of engines and lengths is not lost
// with it: followers learn from their own requests. Each instance knows its own tickets and grants and
// repeats them to a new scheduler, which grants nothing for a short hand-over
// time. Messages may be lost: digests in the heartbeats show it and lead to a
// full exchange.
package schedule

import (
	"context"
	"math/rand"
	"time"

	"github.com/pkg/errors"

	"github.com/comfreyladder/comfreyladder/core/defaults"
	"github.com/comfreyladder/comfreyladder/core/fault"
	"github.com/comfreyladder/comfreyladder/core/intent"
	"github.com/comfreyladder/comfreyladder/core/sched"
)

// Defaults of Config.
const (
	// DefaultTick bounds how late an expired ticket is answered.
	DefaultTick = 100 * time.Millisecond
	// DefaultBeat is the interval of heartbeats to the scheduler.
	DefaultBeat = 500 * time.Millisecond
	// DefaultSilence is three missed heartbeats and some.
	DefaultSilence = 2 * time.Second
	// DefaultHandOver leaves the instances time for one message after they saw
	// that the scheduler changed.
	DefaultHandOver = time.Second
	// DefaultLease is how long grants of a silent instance stay counted; it is
	// longer than the engines' 2 s after which an unread stream is cancelled.
	DefaultLease = 5 * time.Second
)

const inboxSize = 1024

// Config of a Service. Durations that are zero mean the defaults.
type Config struct {
	Policy sched.Config
	// Seed seeds the choices that are random.
	Seed int64
	Tick time.Duration
	// Beat is the interval of heartbeats to the scheduler, Silence the time
	// without any message from it after which its deputy is asked.
	Beat, Silence time.Duration
	// HandOver is how long a new scheduler listens before it grants, and the time
	// without any message from a deputy after which the instance schedules for itself.
	HandOver time.Duration
	// Lease is how long a silent instance's grants are kept.
	Lease time.Duration
}

func (c Config) withDefaults() Config {
	defaults.Set(&c.Tick, DefaultTick)
	defaults.Set(&c.Beat, DefaultBeat)
	defaults.Set(&c.Silence, DefaultSilence)
	defaults.Set(&c.HandOver, DefaultHandOver)
	defaults.Set(&c.Lease, DefaultLease)
	return c
}

// Service is the part of the scheduler that runs on each instance.
type Service struct {
	cfg   Config
	peers Peers
	inbox chan func(now time.Time)
	done  chan struct{}
	ended chan struct{}
	state *state
}

// New returns a service that is not started.
func New(cfg Config, peers Peers) *Service {
	cfg = cfg.withDefaults()
	s := &Service{
		cfg: cfg, peers: peers,
		inbox: make(chan func(time.Time), inboxSize), done: make(chan struct{}), ended: make(chan struct{}),
	}
	s.state = &state{
		cfg: cfg, peers: peers, self: peers.Self(), rnd: rand.New(rand.NewSource(cfg.Seed)),
		requests: map[string]*request{}, heard: map[string]time.Time{}, down: map[string]*downMessage{},
		doc: &intent.Document{}, known: sched.NewEstimator(cfg.Policy),
	}
	peers.Handle(channelUp, func(_ context.Context, from string, d Decoder) {
		var m upMessage
		if d.Decode(&m) == nil {
			s.post(func(now time.Time) { s.state.receiveUp(now, from, &m) })
		}
	})
	peers.Handle(channelDown, func(_ context.Context, from string, d Decoder) {
		var m downMessage
		if d.Decode(&m) == nil {
			s.post(func(now time.Time) { s.state.receiveDown(now, from, &m) })
		}
	})
	return s
}

// Start runs the service's goroutine.
func (s *Service) Start(context.Context) error {
	go s.run()
	return nil
}

// Stop ends the goroutine; requests that still wait end with fault.Draining.
func (s *Service) Stop(ctx context.Context) error {
	close(s.done)
	select {
	case <-s.ended:
		return nil
	case <-ctx.Done():
		return fault.Wrap(ctx.Err(), fault.DeadlineExceeded, "the scheduler's goroutine still runs")
	}
}

// Drain refuses new requests and returns when those that wait or are in flight
// have ended; it fails with fault.DeadlineExceeded when ctx ends before.
func (s *Service) Drain(ctx context.Context) error {
	idle := make(chan struct{})
	s.post(func(time.Time) { s.state.drain(idle) })
	select {
	case <-idle:
		return nil
	case <-s.ended:
		return nil
	case <-ctx.Done():
		return fault.Wrap(ctx.Err(), fault.DeadlineExceeded, "requests are still in flight")
	}
}

// SetIntent puts classes and organisations in force.
func (s *Service) SetIntent(doc *intent.Document) {
	s.post(func(now time.Time) { s.state.setIntent(now, doc) })
}

// SetUpstreams replaces the view of the domain's model engines.
func (s *Service) SetUpstreams(list []sched.Upstream) {
	s.post(func(now time.Time) { s.state.setUpstreams(now, list) })
}

// Status tells how this instance schedules.
type Status struct {
	// Scheduler is the instance that schedules for the domain.
	Scheduler string `json:"scheduler"`
	// Role is this instance's: "scheduler", "follower" or "alone".
	Role string `json:"role"`
	// Waiting and Flying count this instance's requests.
	Waiting int `json:"waiting"`
	Flying  int `json:"flying"`
	// Domain is the state of the scheduler that runs here, if one does.
	Domain *sched.Status `json:"domain,omitempty"`
}

// Status returns a snapshot; it is zero after Stop.
func (s *Service) Status() Status {
	got := make(chan Status, 1)
	s.post(func(now time.Time) { got <- s.state.status(now) })
	select {
	case st := <-got:
		return st
	case <-s.ended:
		return Status{}
	}
}

// Acquire waits for a grant. The ticket's ID must be unique; Instance and, when
// zero, Arrived are filled in, and Deadline from ctx. Failures: fault.Overloaded
// with RetryAfter (refused; nothing was run), fault.DeadlineExceeded,
// fault.Canceled, fault.Draining, fault.Invalid.
func (s *Service) Acquire(ctx context.Context, t sched.Ticket) (*Grant, error) {
	if t.ID == "" {
		return nil, fault.New(fault.Invalid, "a ticket needs an ID")
	}
	t.ID = shortID(t.ID)
	t.Instance = s.state.self
	if at, ok := ctx.Deadline(); ok && t.Deadline.IsZero() {
		t.Deadline = at
	}
	r := &request{ticket: t, reply: make(chan reply, 1)}
	s.post(func(now time.Time) { s.state.submit(now, r) })
	select {
	case got := <-r.reply:
		if got.err != nil {
			return nil, got.err
		}
		return &Grant{Grant: got.grant, s: s}, nil
	case <-ctx.Done():
		s.post(func(now time.Time) { s.state.giveUp(now, r) })
		return nil, gaveUp(ctx)
	case <-s.ended:
		return nil, fault.New(fault.Draining, "this instance has stopped; nothing was run")
	}
}

func gaveUp(ctx context.Context) error {
	code := fault.Canceled
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		code = fault.DeadlineExceeded
	}
	return fault.Wrap(ctx.Err(), code, "gave up in the queue; nothing was run")
}

// post hands work to the goroutine that owns the state; after Stop it is dropped.
func (s *Service) post(f func(now time.Time)) {
	select {
	case s.inbox <- f:
	case <-s.ended:
	}
}

// run owns the state. Messages are sent after a batch of work, so that many
// events travel in one.
func (s *Service) run() {
	defer close(s.ended)
	defer s.state.refuseAll()
	ticker := time.NewTicker(s.cfg.Tick)
	defer ticker.Stop()
	s.state.tick(time.Now())
	for {
		select {
		case <-s.done:
			return
		case <-ticker.C:
			s.state.tick(time.Now())
		case f := <-s.inbox:
			f(time.Now())
			s.batch()
		}
		s.state.flush(time.Now())
	}
}

func (s *Service) batch() {
	for range inboxSize / 4 {
		select {
		case f := <-s.inbox:
			f(time.Now())
		default:
			return
		}
	}
}
