// Package schedule queues the requests of this instance until an upstream is granted
// to them. One instance of the failure domain, elected by rendezvous hash over the live
// instances, runs the domain's scheduler (core/sched). The other instances send it
// tickets and events and receive grants. While it does not answer, the next instance in
// the election replaces it. An instance that reaches neither schedules its own requests
// on its share of the slots.
//
// The scheduler state is not persisted. Measurements of engines and answer lengths
// survive a change of scheduler, because followers record them from their own requests.
// Each instance keeps its own tickets and grants and sends them to a new scheduler, which
// issues no grants during a short hand-over time. Messages may be lost: heartbeats carry
// digests that reveal a loss and trigger a full exchange.
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

// Default values of Config.
const (
	// DefaultTick bounds how late an expired ticket is answered.
	DefaultTick = 100 * time.Millisecond
	// DefaultBeat is the interval of heartbeats to the scheduler.
	DefaultBeat = 500 * time.Millisecond
	// DefaultSchedulerTimeout allows for three missed heartbeats and some delay.
	DefaultSchedulerTimeout = 2 * time.Second
	// DefaultHandOver gives the instances time to send one message after they have
	// detected a change of scheduler.
	DefaultHandOver = time.Second
	// DefaultLease is how long the grants of an unresponsive instance still count. It
	// is longer than the 2 s after which engines cancel a stream that nobody reads.
	DefaultLease = 5 * time.Second
)

const inboxSize = 1024

// Config configures a Service. Zero durations select the defaults.
type Config struct {
	Policy sched.Config
	// Seed seeds the random choices.
	Seed int64
	Tick time.Duration
	// Beat is the interval of heartbeats to the scheduler. SchedulerTimeout is the time
	// without a message from the scheduler after which its deputy is used.
	Beat, SchedulerTimeout time.Duration
	// HandOver is how long a new scheduler collects state before it grants, and the time
	// without a message from a deputy after which the instance schedules for itself.
	HandOver time.Duration
	// Lease is how long the grants of an unresponsive instance are kept.
	Lease time.Duration
}

func (c Config) withDefaults() Config {
	defaults.Set(&c.Tick, DefaultTick)
	defaults.Set(&c.Beat, DefaultBeat)
	defaults.Set(&c.SchedulerTimeout, DefaultSchedulerTimeout)
	defaults.Set(&c.HandOver, DefaultHandOver)
	defaults.Set(&c.Lease, DefaultLease)
	return c
}

// Service queues the requests of one instance and runs the domain's scheduler if elected.
type Service struct {
	cfg   Config
	peers Peers
	inbox chan func(now time.Time)
	done  chan struct{}
	ended chan struct{}
	state *state
}

// New returns a service that has not been started.
func New(cfg Config, peers Peers) *Service {
	cfg = cfg.withDefaults()
	s := &Service{
		cfg: cfg, peers: peers,
		inbox: make(chan func(time.Time), inboxSize), done: make(chan struct{}), ended: make(chan struct{}),
	}
	s.state = &state{
		cfg: cfg, peers: peers, self: peers.Self(), rng: rand.New(rand.NewSource(cfg.Seed)),
		requests: map[string]*request{}, lastSeen: map[string]time.Time{}, down: map[string]*downMessage{},
		doc: &intent.Document{}, estimator: sched.NewEstimator(cfg.Policy),
	}
	peers.Handle(channelUp, func(_ context.Context, from string, d Decoder) {
		var m upMessage
		if d.Decode(&m) == nil {
			s.enqueue(func(now time.Time) { s.state.receiveUp(now, from, &m) })
		}
	})
	peers.Handle(channelDown, func(_ context.Context, from string, d Decoder) {
		var m downMessage
		if d.Decode(&m) == nil {
			s.enqueue(func(now time.Time) { s.state.receiveDown(now, from, &m) })
		}
	})
	return s
}

// Start starts the service's goroutine.
func (s *Service) Start(context.Context) error {
	go s.run()
	return nil
}

// Stop ends the goroutine. Requests that are still queued fail with fault.Draining.
func (s *Service) Stop(ctx context.Context) error {
	close(s.done)
	select {
	case <-s.ended:
		return nil
	case <-ctx.Done():
		return fault.Wrap(ctx.Err(), fault.DeadlineExceeded, "the scheduler's goroutine is still running")
	}
}

// Drain refuses new requests and returns once all queued and in-flight requests have
// ended. It fails with fault.DeadlineExceeded if ctx ends first.
func (s *Service) Drain(ctx context.Context) error {
	idle := make(chan struct{})
	s.enqueue(func(time.Time) { s.state.drain(idle) })
	select {
	case <-idle:
		return nil
	case <-s.ended:
		return nil
	case <-ctx.Done():
		return fault.Wrap(ctx.Err(), fault.DeadlineExceeded, "requests are still in flight")
	}
}

// SetIntent applies the classes and organisations of doc.
func (s *Service) SetIntent(doc *intent.Document) {
	s.enqueue(func(now time.Time) { s.state.setIntent(now, doc) })
}

// SetUpstreams replaces the list of the domain's model engines.
func (s *Service) SetUpstreams(list []sched.Upstream) {
	s.enqueue(func(now time.Time) { s.state.setUpstreams(now, list) })
}

// Status describes the scheduling state of this instance.
type Status struct {
	// Scheduler is the instance that schedules for the domain.
	Scheduler string `json:"scheduler"`
	// Role is the role of this instance: "scheduler", "follower" or "alone".
	Role string `json:"role"`
	// Waiting and InFlight count the requests of this instance.
	Waiting  int `json:"waiting"`
	InFlight int `json:"flying"`
	// Domain is the state of the scheduler that runs on this instance, if any.
	Domain *sched.Status `json:"domain,omitempty"`
}

// Status returns a snapshot. It is zero after Stop.
func (s *Service) Status() Status {
	got := make(chan Status, 1)
	s.enqueue(func(now time.Time) { got <- s.state.status(now) })
	select {
	case st := <-got:
		return st
	case <-s.ended:
		return Status{}
	}
}

// Acquire waits for a grant. The ticket's ID must be unique. Acquire sets Instance,
// Arrived if it is zero, and Deadline from ctx if it is zero. It fails with
// fault.Overloaded and RetryAfter (refused, not run), fault.DeadlineExceeded,
// fault.Canceled, fault.Draining, fault.Conflict or fault.Invalid.
func (s *Service) Acquire(ctx context.Context, t sched.Ticket) (*Grant, error) {
	if t.ID == "" {
		return nil, fault.New(fault.Invalid, "the ticket has no ID")
	}
	t.ID = shortID(t.ID)
	t.Instance = s.state.self
	if at, ok := ctx.Deadline(); ok && t.Deadline.IsZero() {
		t.Deadline = at
	}
	r := &request{ticket: t, reply: make(chan reply, 1)}
	s.enqueue(func(now time.Time) { s.state.submit(now, r) })
	select {
	case got := <-r.reply:
		if got.err != nil {
			return nil, got.err
		}
		return &Grant{Grant: got.grant, s: s}, nil
	case <-ctx.Done():
		s.enqueue(func(now time.Time) { s.state.cancel(now, r) })
		return nil, cancelError(ctx)
	case <-s.ended:
		return nil, fault.New(fault.Draining, "this instance has stopped; nothing was run")
	}
}

func cancelError(ctx context.Context) error {
	code := fault.Canceled
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		code = fault.DeadlineExceeded
	}
	return fault.Wrap(ctx.Err(), code, "cancelled while queued; nothing was run")
}

// enqueue passes work to the goroutine that owns the state. After Stop the work is
// dropped.
func (s *Service) enqueue(f func(now time.Time)) {
	select {
	case s.inbox <- f:
	case <-s.ended:
	}
}

// run owns the state. It sends messages after a batch of work, so that one message
// carries many events.
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
			s.runBatch()
		}
		s.state.flush(time.Now())
	}
}

func (s *Service) runBatch() {
	for range inboxSize / 4 {
		select {
		case f := <-s.inbox:
			f(time.Now())
		default:
			return
		}
	}
}
