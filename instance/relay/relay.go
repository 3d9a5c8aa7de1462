package relay

import (
	"context"
	"net"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/pkg/errors"

	"github.com/comfreyladder/comfreyladder/core/budget"
	"github.com/comfreyladder/comfreyladder/core/drain"
	"github.com/comfreyladder/comfreyladder/core/overload"
	"github.com/comfreyladder/comfreyladder/core/route"
	"github.com/comfreyladder/comfreyladder/instance/clock"
	"github.com/comfreyladder/comfreyladder/instance/follow"
	"github.com/comfreyladder/comfreyladder/instance/serving"
	"github.com/comfreyladder/comfreyladder/instance/sse"
	"github.com/comfreyladder/comfreyladder/instance/tcpconn"
)

// Service forwards requests to upstreams. It is safe for concurrent use.
type Service struct {
	cfg   Config
	set   *metrics.Set
	fleet *fleet
	// bodies holds the bodies of requests, answers those of responses.
	bodies, answers *bodyBudget
	listener        *tcpconn.Listener
	running         sync.WaitGroup
	stop            chan struct{}
	stopOnce        sync.Once
	started         time.Time
	inFlight        atomic.Int64
	// listening is set while the listener may still accept connections.
	listening atomic.Bool
	// livenessChecks counts the running checks whether an upstream is still alive after its answer
	// was lost.
	livenessChecks atomic.Int64
	// lastTrialRequest is when the trial of a quarantined request was last requested, in
	// nanoseconds of clock.Now.
	lastTrialRequest atomic.Int64
	// routes is the table whose services have gauges.
	routes atomic.Pointer[route.Index]
	// drain is the schedule of the drain, nil before a drain begins.
	drain    atomic.Pointer[drain.Schedule]
	overload overloadGuard

	mu      sync.Mutex
	conns   map[*conn]struct{}
	budgets map[string]*budget.Window
}

// New returns a service that does not listen yet.
func New(cfg Config, set *metrics.Set) *Service {
	if cfg.Dial == nil {
		cfg.Dial = dialTCP
	}
	if cfg.EventBytes <= 0 {
		cfg.EventBytes = sse.DefaultMaxEvent
	}
	if cfg.Budget.CountedSince.IsZero() {
		cfg.Budget.CountedSince = clock.Now()
	}
	s := &Service{
		cfg: cfg, set: set, fleet: newFleet(&cfg), bodies: newBodyBudget(cfg.BodyBytes), answers: newBodyBudget(cfg.AnswerBytes), stop: make(chan struct{}), conns: map[*conn]struct{}{}, budgets: map[string]*budget.Window{},
	}
	s.gauges()
	return s
}

// Report returns the load and observations of this instance for the other instances.
func (s *Service) Report() serving.Report {
	r := s.fleet.report()
	if s.overload.full.Load() {
		r.Work.Overloaded = 1
	}
	return r
}

// LoadUpdate returns the loads that changed since the last report or update.
func (s *Service) LoadUpdate() serving.LoadUpdate { return s.fleet.loadUpdate() }

// ToldLoads returns the loads that this instance told last.
func (s *Service) ToldLoads() []serving.Load { return s.fleet.toldLoads() }

// loadChanged reports a changed load of an engine.
func (s *Service) loadChanged(r *request) {
	if s.cfg.OnLoadChange != nil && r.tokens > 0 {
		s.cfg.OnLoadChange()
	}
}

// TakeReport applies the combined report of all other instances.
func (s *Service) TakeReport(r *serving.Report) { s.fleet.mergeReport(r) }

// Update applies a new view of the serving state.
func (s *Service) Update(v *follow.View) {
	if v.Routes != nil && s.routes.Swap(v.Routes) != v.Routes {
		for i := range v.Routes.Table.Services {
			s.slotGauges(v.Routes.Table.Services[i].Name)
		}
	}
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
	if s.cfg.ShedOverload {
		s.overload.controller = overload.New(s.started, cpuTime())
		s.running.Go(s.watchOverload)
	}
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

// acceptRetryDelay is the pause after a failed accept, for example when file descriptors run out.
const acceptRetryDelay = 20 * time.Millisecond

func (s *Service) accept() {
	defer s.listening.Store(false)
	for {
		nc, err := s.acceptConn()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			time.Sleep(acceptRetryDelay)
			continue
		}
		c := newConn(s, nc)
		s.mu.Lock()
		s.conns[c] = struct{}{}
		s.mu.Unlock()
		go c.run()
	}
}

func (s *Service) removeConn(c *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c)
}

// housekeepInterval is the time between two sweeps for idle connections.
const housekeepInterval = 2 * time.Second

func (s *Service) housekeep() {
	t := time.NewTicker(housekeepInterval)
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

// Ready reports whether the balancer should send callers here: a route table is present, the view
// is still leased, and the instance is neither draining nor cut off from the upstreams. One that is cut
// off serves those who come all the same, as the balancer uses it if too few others are ready.
func (s *Service) Ready() bool {
	v := s.cfg.State.View()
	return s.phase() == drain.Serving && !s.CutOff() && v.Routes != nil && s.hasLease(v)
}

// Stop implements kernel.Service: it closes the listener and all connections.
func (s *Service) Stop(context.Context) error {
	s.stopOnce.Do(func() { close(s.stop) })
	if s.listener != nil {
		_ = s.listener.Close()
	}
	s.mu.Lock()
	for c := range s.conns {
		c.abort()
	}
	s.mu.Unlock()
	s.fleet.closeAll()
	s.fleet.links.Stop()
	s.running.Wait()
	return nil
}

// budgetWindow returns the retry budget of a service. The caller holds mu.
func (s *Service) budgetWindow(service string) *budget.Window {
	w := s.budgets[service]
	if w == nil {
		w = budget.NewWindow(s.cfg.Budget.Ratio*budgetShare, s.cfg.Budget.Window, s.cfg.Budget.CountedSince)
		s.budgets[service] = w
	}
	return w
}

// budgetShare is the share of the retry budget that is used. The rest covers what upstreams count
// differently: requests that arrive later, and instances that join and leave.
const budgetShare = 0.8

func (s *Service) countRequest(service string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.budgetWindow(service).RecordRequest(clock.Now())
}

// slackShare returns this instance's share of the slack, which is divided among all forwarding
// instances plus one that may be about to join. An instance that has lost the control group has none.
func (s *Service) slackShare() (share float64, forwarders int) {
	forwarders = s.cfg.State.View().Forwarders
	if s.cfg.State.Age() > serving.ShareLifetime(s.cfg.Budget.Window) {
		return 0, forwarders
	}
	return s.cfg.Budget.Slack * budgetShare / float64(forwarders+1), forwarders
}

// allowsRepeat reports whether the retry budget allows one more repeat. It is spent when that is sent.
func (s *Service) allowsRepeat(service string) bool {
	return s.decideRepeat(service, (*budget.Window).Allows, false)
}

// spendRepeat takes one repeat, which is about to be sent, from the retry budget and reports whether the
// budget allowed it.
func (s *Service) spendRepeat(service string) bool {
	return s.decideRepeat(service, (*budget.Window).Spend, true)
}

// decideRepeat asks the budget of a service, and logs and counts a refusal, or what was spent.
func (s *Service) decideRepeat(service string, ask func(*budget.Window, time.Time, float64) bool, spends bool) bool {
	share, forwarders := s.slackShare()
	s.mu.Lock()
	now := clock.Now()
	w := s.budgetWindow(service)
	granted := ask(w, now, share)
	requests, repeats := w.Counts()
	s.mu.Unlock()
	if granted && !spends {
		return true
	}
	s.set.GetOrCreateCounter(`relay_repeats_total{granted="` + strconv.FormatBool(granted) + `"}`).Inc()
	s.cfg.Log.Event("repeat").Str("service", service).Bool("granted", granted).Int("requests", int64(requests)).
		Int("repeats", int64(repeats)).Float("share", share).Int("forwarders", int64(forwarders)).End()
	return granted
}
