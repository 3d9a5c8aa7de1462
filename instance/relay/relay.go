package relay

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/pkg/errors"

	"github.com/comfreyladder/comfreyladder/core/budget"
	"github.com/comfreyladder/comfreyladder/core/drain"
	"github.com/comfreyladder/comfreyladder/instance/clock"
	"github.com/comfreyladder/comfreyladder/instance/follow"
	"github.com/comfreyladder/comfreyladder/instance/serving"
	"github.com/comfreyladder/comfreyladder/instance/tcpconn"
)

// Service forwards requests. It is safe for concurrent use.
type Service struct {
	cfg      Config
	set      *metrics.Set
	fleet    *fleet
	bodies   *bodies
	listener *tcpconn.Listener
	running  sync.WaitGroup
	stop     chan struct{}
	stopOnce sync.Once
	started  time.Time
	inFlight atomic.Int64
	// listening says that connections may still be accepted.
	listening atomic.Bool
	// lostTries counts the upstreams that are tried since an answer of theirs was lost.
	lostTries atomic.Int64
	// trialAsked is when the trial of a quarantined request was asked for last, in nanoseconds
	// of clock.Now.
	trialAsked atomic.Int64
	// drain is the course of the drain, nil before one.
	drain atomic.Pointer[drain.Schedule]

	mu      sync.Mutex
	conns   map[*conn]struct{}
	budgets map[string]*budget.Window
}

// New returns a service that does not listen yet.
func New(cfg Config, set *metrics.Set) *Service {
	s := &Service{
		cfg: cfg, set: set, fleet: newFleet(cfg.Log, cfg.Limits), bodies: newBodies(cfg.BodyBytes), stop: make(chan struct{}), conns: map[*conn]struct{}{}, budgets: map[string]*budget.Window{},
	}
	s.gauges()
	return s
}

// Report returns the work of this instance.
func (s *Service) Report() serving.Report { return s.fleet.report() }

// TakeReport takes the work of all other instances.
func (s *Service) TakeReport(r *serving.Report) { s.fleet.takeReport(r) }

// Update takes a new view of the serving state.
func (s *Service) Update(v *follow.View) {
	for _, up := range s.fleet.update(v) {
		up.losses.superseded()
		s.reportCrash(up)
	}
}

// Start listens for callers. It fails with fault.Unavailable.
func (s *Service) Start(context.Context) error {
	l, err := tcpconn.Listen(s.cfg.Listen)
	if err != nil {
		return err
	}
	s.listener, s.started = l, time.Now()
	s.listening.Store(true)
	s.running.Go(s.accept)
	s.running.Go(s.housekeep)
	return nil
}

// Address returns the bound address; nil before Start.
func (s *Service) Address() net.Addr {
	if s.listener == nil {
		return nil
	}
	return s.listener.Addr()
}

// acceptPause is the pause after a failed accept, as when descriptors run out.
const acceptPause = 20 * time.Millisecond

func (s *Service) accept() {
	defer s.listening.Store(false)
	for {
		nc, err := s.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			time.Sleep(acceptPause)
			continue
		}
		c := newConn(s, nc)
		s.mu.Lock()
		s.conns[c] = struct{}{}
		s.mu.Unlock()
		go c.run()
	}
}

func (s *Service) forget(c *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c)
}

// housekeepEvery is the time between two looks for idle connections.
const housekeepEvery = 2 * time.Second

func (s *Service) housekeep() {
	t := time.NewTicker(housekeepEvery)
	defer t.Stop()
	for {
		select {
		case <-t.C:
			s.fleet.closeIdle(time.Now())
		case <-s.stop:
			return
		}
	}
}

// Ready reports whether callers should be sent here: there is a table, it may be
// acted on, and the instance does not drain.
func (s *Service) Ready() bool {
	return s.phase() == drain.Serving && s.cfg.State.View().Routes != nil && (!s.cfg.FailClosed || s.cfg.State.Lease() > 0)
}

// Stop implements kernel.Service: it closes the listener and all connections.
func (s *Service) Stop(context.Context) error {
	s.stopOnce.Do(func() { close(s.stop) })
	if s.listener != nil {
		_ = s.listener.Close()
	}
	s.mu.Lock()
	for c := range s.conns {
		c.cut()
	}
	s.mu.Unlock()
	s.fleet.closeAll()
	s.running.Wait()
	return nil
}

// window returns the budget of a service; it needs mu.
func (s *Service) window(service string) *budget.Window {
	w := s.budgets[service]
	if w == nil {
		w = budget.NewWindow(s.cfg.Budget.Ratio*budgetMargin, s.cfg.Budget.Window)
		s.budgets[service] = w
	}
	return w
}

// budgetMargin is the part of the budget that is used. The rest is for what is
// counted differently at the upstreams: requests that arrive later, and instances
// that come and go.
const budgetMargin = 0.8

func (s *Service) countRequest(service string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.window(service).RecordRequest(clock.Now())
}

// mayRepeat takes one repeat out of the budget. The slack is shared by all
// instances that forward, and one that may be about to join.
func (s *Service) mayRepeat(service string) bool {
	share := s.cfg.Budget.Slack * budgetMargin / float64(s.cfg.State.View().Forwarders+1)
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.window(service).Spend(clock.Now(), share)
}
