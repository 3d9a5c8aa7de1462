// Package order sends orders to the engines of a failure domain. One instance, elected by rendezvous
// hash over the live ones, decides with core/order and sends. It holds the lease of the domain, with a
// fencing number, from the control group.
//
// Two concurrent issuers are kept apart as follows. Engines that check the fencing number refuse orders
// of an earlier issuer. For the others, a new issuer waits until the previous lease has ended by every
// clock, plus the longest effect delay of an order. Each order is bound to its lease: the lease is
// checked right before the order is sent, and the connection delivers nothing after the lease
// (upstream.Call.NotAfter).
//
// Two cases remain for engines that ignore the fencing number: a process that freezes between the last
// check of the clock and the system call that hands the bytes to the kernel, for longer than the rest of
// its lease and the wait of the successor; and an engine that itself freezes with an order in its
// socket. Both let an old order arrive late. As an order states the complete target state and not a
// step, the damage is limited to what it loads or unloads until the issuer reads the engine, which it
// does every few seconds, and sends it a new order.
//
// If the control group cannot be reached, the lease expires and no orders are sent; engines continue to
// serve what they hold.
package order

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/comfreyladder/comfreyladder/core/control/fence"
	"github.com/comfreyladder/comfreyladder/core/defaults"
	"github.com/comfreyladder/comfreyladder/core/intent"
	core "github.com/comfreyladder/comfreyladder/core/order"
	"github.com/comfreyladder/comfreyladder/core/registry"
	"github.com/comfreyladder/comfreyladder/instance/clock"
	"github.com/comfreyladder/comfreyladder/instance/loop"
	"github.com/comfreyladder/comfreyladder/instance/upstream"
)

// Defaults of Config.
const (
	DefaultTick = 500 * time.Millisecond
	// DefaultTTL bounds how long a failed issuer delays the next one. A renewal is one entry in the control
	// log for each domain with orders to send.
	DefaultTTL = 12 * time.Second
	// DefaultMargin covers the difference in rate of two clocks over a lease many times over.
	DefaultMargin = time.Second
	// DefaultMaxEffectDelay is the longest time in which an engine may act on an order whose bytes it has
	// received; the bytes themselves are bound to the lease.
	DefaultMaxEffectDelay = 5 * time.Second
	// DefaultReadInterval bounds the time until it is noticed that an engine does not hold what it was
	// ordered to hold, and DefaultLoadingReadInterval the time until it is noticed that a load has ended.
	DefaultReadInterval        = 10 * time.Second
	DefaultLoadingReadInterval = time.Second
	// DefaultCallTimeout bounds one call to an engine or to the control group.
	DefaultCallTimeout = 3 * time.Second
	// DefaultKeepLease is how long a lease is renewed after the last order. After that, a domain without
	// orders costs the control group nothing.
	DefaultKeepLease = 30 * time.Second
)

// Client sends calls to engines.
type Client interface {
	Do(ctx context.Context, t upstream.Target, call upstream.Call) (*upstream.Answer, error)
}

// Config holds the settings of a Service. Zero durations take the defaults.
type Config struct {
	// Domain is the failure domain, Self the name of this instance.
	Domain, Self string
	// Members returns the instances of the domain that are alive and not draining, including this one
	// unless it drains.
	Members func() []string
	// Propose proposes a command to the control group.
	Propose func(ctx context.Context, machine string, data []byte) ([]byte, error)
	Client  Client
	View    func() *registry.View
	// Newest reports whether the local intent is known to be the newest. An instance with an old intent must
	// not order engines back to it.
	Newest func() bool
	Log    zerolog.Logger
	Plan   core.Config
	// Now is the clock of the lease; nil means clock.Now. It must advance while the instance is suspended.
	Now func() time.Time

	Tick, TTL, Margin, MaxEffectDelay time.Duration
	ReadInterval, LoadingReadInterval time.Duration
	CallTimeout, KeepLease            time.Duration
}

func (c *Config) fill() {
	defaults.Set(&c.Tick, DefaultTick)
	defaults.Set(&c.TTL, DefaultTTL)
	defaults.Set(&c.Margin, DefaultMargin)
	defaults.Set(&c.MaxEffectDelay, DefaultMaxEffectDelay)
	defaults.Set(&c.ReadInterval, DefaultReadInterval)
	defaults.Set(&c.LoadingReadInterval, DefaultLoadingReadInterval)
	defaults.Set(&c.CallTimeout, DefaultCallTimeout)
	defaults.Set(&c.KeepLease, DefaultKeepLease)
	if c.Now == nil {
		c.Now = clock.Now
	}
}

// Status is the state of the engines of the domain as known to this instance.
type Status struct {
	// Issuer is the elected instance. The other fields are set only in the issuer's own Status.
	Issuer string
	// Fence is the fencing number of the lease, 0 without one. Until is its end.
	Fence uint64
	Until time.Time
	// SettledAt is when engines that ignore the fencing number may be ordered.
	SettledAt time.Time
	Models    []core.ModelStatus
	Engines   []core.EngineStatus
}

const inboxSize = 256

// Service sends orders to the engines of the domain while this instance is elected.
type Service struct {
	cfg     Config
	holder  string
	loop    *loop.Loop
	ctx     context.Context
	cancel  context.CancelFunc
	calls   sync.WaitGroup
	status  atomic.Pointer[Status]
	started atomic.Bool

	// The fields below are owned by the loop.
	domain         *core.Domain
	doc            *intent.Document
	lease          fence.HeldLease
	requestPending bool
	nextRequestAt  time.Time
	lastDue        time.Time // when an order was due last
	engines        map[string]*engine
	// enginesRead reports whether each engine was read in this term, or reading it failed maxFailedReads
	// times. Before that, models would be loaded that engines already hold.
	enginesRead    bool
	callsInFlight  int // calls to engines
	ordersInFlight int // orders among them
	// uncertainUntil is the time until which an order without an answer may still arrive.
	uncertainUntil time.Time
	serial         uint64
}

// New returns a service that is not started. start identifies this start of the process: a restarted
// process does not know which orders are in flight.
func New(cfg Config, start string) *Service {
	cfg.fill()
	s := &Service{
		cfg: cfg, holder: cfg.Self + "/" + start, loop: loop.New(inboxSize, cfg.Now),
		domain: core.New(cfg.Plan), engines: map[string]*engine{},
	}
	s.ctx, s.cancel = context.WithCancel(context.Background())
	s.status.Store(&Status{})
	return s
}

// Start starts the service's goroutine.
func (s *Service) Start(context.Context) error {
	s.started.Store(true)
	go s.loop.Run(s.ctx, s.cfg.Tick, s.tick)
	return nil
}

// Stop ends all work and releases the lease if no order is in flight; otherwise the lease expires.
func (s *Service) Stop(ctx context.Context) error {
	if !s.started.Load() {
		return nil
	}
	s.cancel()
	<-s.loop.Done()
	s.calls.Wait()
	// A request that was in flight may have acquired the lease, or failed to release it.
	if (s.lease.Number > 0 || s.requestPending) && !s.orderMayArrive(s.cfg.Now()) {
		bounded, cancel := context.WithTimeout(ctx, s.cfg.CallTimeout)
		defer cancel()
		_, _ = s.propose(bounded, s.releaseRequest())
	}
	return nil
}

// SetIntent puts an intent document in force.
func (s *Service) SetIntent(doc *intent.Document) {
	s.loop.Post(func(time.Time) {
		s.doc = doc
		s.domain.SetIntent(doc)
	})
}

// Status returns the latest status.
func (s *Service) Status() Status { return *s.status.Load() }

// tick evaluates the state and sends the orders that are due.
func (s *Service) tick(now time.Time) {
	st := Status{Issuer: elect(s.cfg.Members())}
	defer func() { s.status.Store(&st) }()
	if st.Issuer != s.cfg.Self {
		s.resign(now)
		return
	}
	if s.doc == nil || !s.cfg.Newest() {
		return
	}
	engines := s.observeEngines(now)
	var d core.Decision
	if s.enginesRead {
		d = s.domain.Step(now, engines, s.authority(now))
	}
	if d.Pending || len(d.Orders) > 0 {
		s.lastDue = now
	}
	s.maintainLease(now)
	for _, o := range d.Orders {
		s.send(now, o)
	}
	st.Models, st.Engines = d.Models, d.Engines
	if s.lease.Valid(now) {
		st.Fence, st.Until, st.SettledAt = s.lease.Number, s.lease.Until, s.lease.SettledAt
	}
}
