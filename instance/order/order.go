// Package order gives the engines of a failure domain their orders. One instance,
// elected by rendezvous hash over the live ones, decides by core/order and sends.
// It holds the domain's lease, with a fencing number, from the control group.
//
// Two issuers at a time are kept apart thus. Engines that check the number refuse
// an order of an earlier issuer. For the others, a new issuer waits until the
// lease before is over by anybody's clock, and the longest flight of an order on
// top. Each order is bound to its lease: it is checked right before it is sent,
// and the connection delivers nothing after the lease (upstream.Call.NotAfter).
//
// What stays open, for engines that ignore the number alone: a process that is
// frozen in the moment between the last look at the clock and the system call
// that hands the bytes to the kernel, for longer than the rest of its lease and
// the successor's wait; and an engine that is itself frozen with an order in its
// socket. Both let an old order arrive late. It states a whole wanted end and not
// a step, so that the harm is what it loads or unloads until the issuer reads the
// engine back, which it does every few seconds, and orders it anew.
//
// If the control group cannot be reached, the lease runs out and nobody orders;
// engines go on to serve what they hold.
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

// Defaults of Config. They are reasoned, not measured.
const (
	DefaultTick = 500 * time.Millisecond
	// DefaultTTL bounds how long a dead issuer holds up the next. A renewal is one
	// entry of the control log for each domain that has orders to give.
	DefaultTTL = 12 * time.Second
	// DefaultMargin covers the difference in rate of two clocks over a lease, many
	// times.
	DefaultMargin = time.Second
	// DefaultMaxEffectDelay is the longest time that an engine may take to act on an order
	// whose bytes it has; the bytes themselves are bound to the lease.
	DefaultMaxEffectDelay = 5 * time.Second
	// DefaultReadInterval is how soon it is found that an engine does not hold what
	// it was ordered to; DefaultReadLoading how soon that a load has ended.
	DefaultReadInterval        = 10 * time.Second
	DefaultLoadingReadInterval = time.Second
	// DefaultCallTimeout bounds one call to an engine or to the control group.
	DefaultCallTimeout = 3 * time.Second
	// DefaultKeepLease is how long a lease is renewed after the last order, so that a
	// domain at rest costs the control group nothing.
	DefaultKeepLease = 30 * time.Second
)

// Client sends calls to engines.
type Client interface {
	Do(ctx context.Context, t upstream.Target, call upstream.Call) (*upstream.Answer, error)
}

// Config of a Service. Durations that are zero mean the defaults.
type Config struct {
	// Domain is the failure domain, Self this instance's name.
	Domain, Self string
	// Members returns the domain's instances that are alive and not draining,
	// this one included unless it drains.
	Members func() []string
	// Propose has a command carried out by the control group.
	Propose func(ctx context.Context, machine string, data []byte) ([]byte, error)
	Client  Client
	View    func() *registry.View
	// Newest reports whether the intent in force here is known to be the newest.
	// An instance that lags must not order engines back to an older intent.
	Newest func() bool
	Log    zerolog.Logger
	Plan   core.Config
	// Now is the clock that leases are counted by; nil means clock.Now. It must go on
	// while the machine is suspended.
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

// Status tells how the domain's engines stand, as this instance knows it.
type Status struct {
	// Issuer is the elected instance. Only its own Status tells the rest.
	Issuer string
	// Fence is the number of the lease, 0 without one; Until is its end.
	Fence uint64
	Until time.Time
	// SettledAt is when engines that ignore the number may be ordered.
	SettledAt time.Time
	Models    []core.ModelStatus
	Engines   []core.EngineStatus
}

const inboxSize = 256

// Service is one instance's part in ordering its domain's engines.
type Service struct {
	cfg     Config
	holder  string
	loop    *loop.Loop
	ctx     context.Context
	cancel  context.CancelFunc
	calls   sync.WaitGroup
	status  atomic.Pointer[Status]
	started atomic.Bool

	// What follows is owned by the loop.
	domain  *core.Domain
	doc     *intent.Document
	lease   fence.HeldLease
	asking  bool
	askAt   time.Time
	active  time.Time // when an order was due last
	engines map[string]*engine
	// ready says that each engine was tried to be read in this term: before that,
	// models would be loaded that engines hold.
	ready   bool
	calling int // calls to engines under way
	flying  int // orders among them
	// late is until when an order without an answer may still arrive.
	late   time.Time
	serial uint64
}

// New returns a service that is not started. start names this start of the
// process: a process that was restarted does not know what it has under way.
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

// Start runs the service's goroutine.
func (s *Service) Start(context.Context) error {
	s.started.Store(true)
	go s.loop.Run(s.ctx, s.cfg.Tick, s.tick)
	return nil
}

// Stop ends all work and gives the lease up, if nothing is under way; else the
// lease runs out.
func (s *Service) Stop(ctx context.Context) error {
	if !s.started.Load() {
		return nil
	}
	s.cancel()
	<-s.loop.Ended()
	s.calls.Wait()
	// A request that was under way may have taken the lease, or not given it up.
	if (s.lease.Number > 0 || s.asking) && !s.uncertain(s.cfg.Now()) {
		bounded, cancel := context.WithTimeout(ctx, s.cfg.CallTimeout)
		defer cancel()
		_, _ = s.propose(bounded, s.releaseRequest())
	}
	return nil
}

// SetIntent puts a document in force.
func (s *Service) SetIntent(doc *intent.Document) {
	s.loop.Post(func(time.Time) {
		s.doc = doc
		s.domain.SetIntent(doc)
	})
}

// Status returns the latest status.
func (s *Service) Status() Status { return *s.status.Load() }

// tick does what time and the present state demand.
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
	engines := s.look(now)
	var d core.Decision
	if s.ready {
		d = s.domain.Step(now, engines, s.authority(now))
	}
	if d.Pending || len(d.Orders) > 0 {
		s.active = now
	}
	s.tend(now)
	for _, o := range d.Orders {
		s.send(now, o)
	}
	st.Models, st.Engines = d.Models, d.Engines
	if s.lease.Valid(now) {
		st.Fence, st.Until, st.SettledAt = s.lease.Number, s.lease.Until, s.lease.SettledAt
	}
}
