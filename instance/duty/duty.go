// Package duty makes the calls to a provider that one instance at a time may make: usage
// reports, and orders of upstreams.
//
// Every member of the control group runs it; the one that holds the lease
// (core/control/fence) acts. What it sends is agreed on before: reports are closed windows
// of the replicated counts (core/control/usage). No call leaves after its lease: the lease
// is looked at right before the bytes leave, and the connection delivers nothing later
// (upstream.Call.NotAfter). docs/design/duties.md says what was weighed.
package duty

import (
	"context"
	"crypto/rand"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/time/rate"

	"github.com/comfreyladder/comfreyladder/core/control"
	"github.com/comfreyladder/comfreyladder/core/control/fence"
	"github.com/comfreyladder/comfreyladder/core/defaults"
	"github.com/comfreyladder/comfreyladder/instance/clock"
	"github.com/comfreyladder/comfreyladder/instance/loop"
)

// Subject is the subject of the lease for all duties. Failure domains, which are subjects
// too, have no name with a slash.
const Subject = "/duties"

// Group is the member of the control group that runs here.
type Group interface {
	Propose(ctx context.Context, machine string, data []byte) (result []byte, index uint64, err error)
	View(f func(index uint64, m *control.Mux))
}

// Authority is what a call is made under.
type Authority struct {
	// Holder is the instance that calls, Number its fencing number.
	Holder string
	Number uint64
	// NotAfter is the time of instance/clock after which no byte of the call may arrive.
	NotAfter time.Time
}

// Provider takes the calls. It translates; it neither repeats nor decides. A call fails with
// fault.Invalid when it is faulty, so that the same one can't succeed; with fault.Conflict
// when what it orders is not to be had now; with fault.Overloaded when calls come too fast;
// with fault.NotRun when no byte of it left; and else with fault.OutcomeUnknown.
type Provider interface {
	// Connect finds out whether the provider can be reached. It makes no call.
	Connect(ctx context.Context) error
	Report(ctx context.Context, a Authority, r *Report) error
	Order(ctx context.Context, a Authority, o *Order) error
}

// Defaults of a Config.
const (
	DefaultTick = 100 * time.Millisecond
	// DefaultCallTimeout bounds the wait for an answer: a provider may take 50 times as
	// long as usual, and a call that is given up is sent again.
	DefaultCallTimeout = 4 * time.Second
	// DefaultReleaseAfter is after what time without a connection to the provider a holder gives
	// the lease up.
	DefaultReleaseAfter = time.Second
)

// Config of a Service.
type Config struct {
	// Instance is this instance's name in calls, Peer the one that tells machines apart.
	Instance, Peer string
	// Group returns the member of the control group that runs here, or nil.
	Group func() Group
	// Agreed returns the agreed time, and whether it will not be set any more.
	Agreed   func() (time.Time, bool)
	Provider Provider
	// Usage says how usage is reported; nil where it is not. Scale says how upstreams are
	// ordered; nil where they are not.
	Usage *Usage
	Scale *Scale
	// Lease is within what time the duties may not go from one machine to another one and
	// back. The lease itself lasts half as long.
	Lease time.Duration
	// PerSecond is how many calls the provider takes from all instances.
	PerSecond float64

	Tick, CallTimeout, ReleaseAfter time.Duration
	// Now is the clock that leases are counted by; nil means clock.Now.
	Now func() time.Time
	Log zerolog.Logger
}

func (c *Config) fill() {
	defaults.Set(&c.Tick, DefaultTick)
	defaults.Set(&c.CallTimeout, DefaultCallTimeout)
	defaults.Set(&c.ReleaseAfter, DefaultReleaseAfter)
	if c.Now == nil {
		c.Now = clock.Now
	}
}

// terms are those of the lease.
func (c *Config) terms() fence.Timing {
	ttl := c.Lease / 2
	return fence.Timing{TTL: ttl, Margin: ttl / marginPart, MaxEffectDelay: flight}
}

const (
	// marginPart is which part of a lease its holder does not count on.
	marginPart = 10
	// flight is the longest time from the last byte of a call to its arrival.
	flight = 200 * time.Millisecond
	// rateShare is the part of the provider's rate that is used: its count begins anew at
	// another moment, and with another holder.
	rateShare = 0.5
)

const inboxSize = 256

// Service is one member's part in the duties.
type Service struct {
	cfg    Config
	holder string
	loop   *loop.Loop
	ctx    context.Context
	cancel context.CancelFunc
	calls  sync.WaitGroup
	status atomic.Pointer[Status]
	// draining is set once the lease is to be given up for good, released once it is.
	draining, released, started atomic.Bool

	// What follows is owned by the loop.
	lease   fence.HeldLease
	tenure  tenure
	seat    seat
	limiter *rate.Limiter
	usage   usageDuty
	scale   scaleDuty
	// published is when the status was made.
	published time.Time
}

// tenure is what belongs to one number.
type tenure struct {
	ctx    context.Context
	cancel context.CancelFunc
	// flying counts calls under way; landed is when none of them can arrive any more.
	flying int
	landed time.Time
	// unreachable is since when no connection to the provider could be made; zero while
	// one can.
	unreachable time.Time
}

// New returns a service that is not started.
func New(cfg Config) *Service {
	cfg.fill()
	s := &Service{
		cfg: cfg, holder: cfg.Peer + "/" + rand.Text(), loop: loop.New(inboxSize, cfg.Now),
		limiter: rate.NewLimiter(rate.Limit(rateShare*cfg.PerSecond), max(1, int(rateShare*cfg.PerSecond/4))),
		usage:   usageDuty{attempts: map[int64]*attempt{}},
	}
	s.ctx, s.cancel = context.WithCancel(context.Background())
	s.tenure.ctx, s.tenure.cancel = context.WithCancel(s.ctx)
	s.status.Store(&Status{})
	return s
}

// Start implements kernel.Service.
func (s *Service) Start(context.Context) error {
	s.started.Store(true)
	go s.loop.Run(s.ctx, s.cfg.Tick, s.tick)
	return nil
}

// Drain implements kernel.Drainer: calls under way end, and the lease is given up, so that
// a successor need not wait for its end.
func (s *Service) Drain(ctx context.Context) error {
	s.draining.Store(true)
	ticker := time.NewTicker(s.cfg.Tick)
	defer ticker.Stop()
	for s.started.Load() && !s.released.Load() {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return nil
		}
	}
	return nil
}

// Stop implements kernel.Service. A lease that is still held runs out.
func (s *Service) Stop(context.Context) error {
	s.cancel()
	if s.started.Load() {
		<-s.loop.Ended()
	}
	s.calls.Wait()
	return nil
}

// tick does what time and the present state demand.
func (s *Service) tick(now time.Time) {
	g := s.cfg.Group()
	s.hold(now, g)
	if g != nil && s.mayAct(now) {
		s.reportUsage(now, g)
		s.orderUpstreams(now, g)
	}
	if s.draining.Load() && s.lease.Number == 0 && !s.seat.busy {
		s.released.Store(true)
	}
	s.publish(now, g)
}

// mayAct reports whether calls may be made now.
func (s *Service) mayAct(now time.Time) bool {
	return s.lease.Valid(now) && s.lease.IsSettled(now) && !s.draining.Load()
}
