// Package duty makes the calls to a provider that only one instance at a time may make: usage
// reports, and orders of upstreams.
//
// Every member of the control group runs it; the holder of the lease (core/control/fence) makes
// the calls. The content of reports is agreed on before they are sent: they are closed windows of
// the replicated counts (core/control/usage). No call is sent after the lease has ended: the lease
// is checked right before the bytes are sent, and the connection delivers nothing later
// (upstream.Call.NotAfter). The alternatives are compared in docs/design/duties.md.
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

// Subject is the subject of the lease for all duties. Failure domains are subjects too, but their
// names contain no slash.
const Subject = "/duties"

// Group is the control group member that runs on this instance.
type Group interface {
	Propose(ctx context.Context, machine string, data []byte) (result []byte, index uint64, err error)
	View(f func(index uint64, m *control.Mux))
}

// Authority is the authority under which a call is made.
type Authority struct {
	// Holder is the instance that makes the call, Number its fencing number.
	Holder string
	Number uint64
	// NotAfter is the time of instance/clock after which no byte of the call may arrive.
	NotAfter time.Time
}

// Provider sends the calls. It translates them, but neither repeats them nor decides about them. A
// call fails with fault.Invalid if it is invalid, so that repeating it cannot succeed; with
// fault.Conflict if what it orders is not available now; with fault.Overloaded if calls come too
// fast; with fault.NotRun if none of its bytes were sent; and otherwise with fault.OutcomeUnknown.
type Provider interface {
	// Connect checks whether the provider can be reached. It makes no call.
	Connect(ctx context.Context) error
	Report(ctx context.Context, a Authority, r *Report) error
	Order(ctx context.Context, a Authority, o *Order) error
}

// Defaults of a Config.
const (
	DefaultTick = 100 * time.Millisecond
	// DefaultCallTimeout bounds the wait for an answer: a provider may take 50 times as long as usual,
	// and a call that timed out is sent again.
	DefaultCallTimeout = 4 * time.Second
	// DefaultReleaseAfter is how long a holder without a connection to the provider keeps the lease.
	DefaultReleaseAfter = time.Second
)

// Config holds the settings of a Service.
type Config struct {
	// Instance is the name of this instance in calls, Peer the name that distinguishes it from other
	// instances.
	Instance, Peer string
	// Group returns the control group member that runs on this instance, or nil.
	Group func() Group
	// Agreed returns the agreed time, and whether it will not be set again.
	Agreed   func() (time.Time, bool)
	Provider Provider
	// Usage configures usage reports; nil disables them. Scale configures orders of upstreams; nil
	// disables them.
	Usage *Usage
	Scale *Scale
	// Lease is the time within which the duties may not move from one instance to another and back.
	// The lease itself lasts half as long.
	Lease time.Duration
	// PerSecond is the number of calls per second that the provider accepts from all instances.
	PerSecond float64

	Tick, CallTimeout, ReleaseAfter time.Duration
	// Now is the clock of the lease; nil means clock.Now.
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

// timing returns the timing of the lease.
func (c *Config) timing() fence.Timing {
	ttl := c.Lease / 2
	return fence.Timing{TTL: ttl, Margin: ttl / marginDivisor, MaxEffectDelay: maxEffectDelay}
}

const (
	// marginDivisor is the divisor of the TTL that gives the margin: the part of a lease that its
	// holder does not use.
	marginDivisor = 10
	// maxEffectDelay is the longest time from the last byte of a call to its arrival.
	maxEffectDelay = 200 * time.Millisecond
	// rateShare is the part of the provider's rate that is used: the provider starts to count at
	// another time, and another holder starts a count of its own.
	rateShare = 0.5
)

const inboxSize = 256

// Service is the duty service of one member.
type Service struct {
	cfg    Config
	holder string
	loop   *loop.Loop
	ctx    context.Context
	cancel context.CancelFunc
	calls  sync.WaitGroup
	status atomic.Pointer[Status]
	// draining is set when the lease is to be released and not acquired again, released once that is done.
	draining, released, started atomic.Bool

	// The fields below are owned by the loop.
	lease     fence.HeldLease
	tenure    tenure
	candidacy candidacy
	limiter   *rate.Limiter
	usage     usageDuty
	scale     scaleDuty
	// publishedAt is when the status was last published.
	publishedAt time.Time
}

// tenure is the state of the time under one fencing number.
type tenure struct {
	ctx    context.Context
	cancel context.CancelFunc
	// callsInFlight counts the calls in flight. No call that has ended can arrive after effectsEndAt.
	callsInFlight int
	effectsEndAt  time.Time
	// unreachableSince is when connections to the provider began to fail; zero while they succeed.
	unreachableSince time.Time
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

// Drain implements kernel.Drainer. It lets calls in flight end and releases the lease, so that a
// successor need not wait for the lease to expire.
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

// Stop implements kernel.Service. A lease that is still held expires.
func (s *Service) Stop(context.Context) error {
	s.cancel()
	if s.started.Load() {
		<-s.loop.Done()
	}
	s.calls.Wait()
	return nil
}

// tick maintains the lease and makes the calls that are due.
func (s *Service) tick(now time.Time) {
	g := s.cfg.Group()
	s.maintainLease(now, g)
	if g != nil && s.mayCall(now) {
		s.reportUsage(now, g)
		s.orderUpstreams(now, g)
	}
	if s.draining.Load() && s.lease.Number == 0 && !s.candidacy.busy {
		s.released.Store(true)
	}
	s.publish(now, g)
}

// mayCall reports whether calls may be made now.
func (s *Service) mayCall(now time.Time) bool {
	return s.lease.Valid(now) && s.lease.IsSettled(now) && !s.draining.Load()
}
