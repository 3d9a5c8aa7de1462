package roles

import (
	"context"
	"io"
	"log"
	"net"
	"reflect"
	"runtime"
	"runtime/debug"
	"slices"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"github.com/valyala/fasthttp"

	"github.com/comfreyladder/comfreyladder/core/fault"
	"github.com/comfreyladder/comfreyladder/instance/consensus"
	"github.com/comfreyladder/comfreyladder/instance/control"
	"github.com/comfreyladder/comfreyladder/instance/eventlog"
	"github.com/comfreyladder/comfreyladder/instance/follow"
	"github.com/comfreyladder/comfreyladder/instance/kernel"
	"github.com/comfreyladder/comfreyladder/instance/link"
	"github.com/comfreyladder/comfreyladder/instance/relay"
	"github.com/comfreyladder/comfreyladder/instance/serving"
	"github.com/comfreyladder/comfreyladder/instance/telemetry"
)

// The names of the services.
const (
	nameTelemetry = "telemetry"
	nameLinks     = "links"
	nameControl   = "control"
	nameServing   = "serving"
	nameFollow    = "follow"
	nameRelay     = "relay"
	nameCalls     = "listener.control"
	nameReady     = "listener.ready"
	nameMetrics   = "listener.metrics"
)

// Process is one process of the deployment.
type Process struct {
	cfg     *Config
	dialect *Dialect
	log     zerolog.Logger
	events  *eventlog.Sink
	kernel  *kernel.Kernel
	seeds   atomic.Pointer[[]string]
	// forwarder is set before the follower starts, which tells it the others' loads.
	forwarder atomic.Pointer[relay.Service]
	fatal     chan error
}

// New returns a process that has not started.
func New(cfg *Config, dialect *Dialect, log zerolog.Logger, events *eventlog.Sink) (*Process, error) {
	p := &Process{cfg: cfg, dialect: dialect, log: log, events: events, kernel: kernel.New(), fatal: make(chan error, 1)}
	p.seeds.Store(&cfg.Seeds)
	modules := []kernel.Module{p.telemetry(), p.links()}
	if cfg.Control != "" {
		modules = append(modules, p.control(), p.serving(), p.calls())
	} else {
		modules = append(modules, p.follow(), p.relay(), p.ready())
	}
	if cfg.Metrics != "" {
		modules = append(modules, p.metrics())
	}
	return p, p.kernel.Register(modules...)
}

// memoryShare is the part of the machine's memory that the heap may grow to before
// it is collected at any price, and collectAt the growth in per cent at which it is
// otherwise: memory is plentiful here and processor time is not.
const (
	memoryShare = 0.6
	collectAt   = 400
)

// Start starts all services.
func (p *Process) Start(ctx context.Context) error {
	// The machine gives the process one processor at a time; more threads would only
	// wake each other.
	runtime.GOMAXPROCS(1)
	debug.SetGCPercent(collectAt)
	if p.cfg.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(memoryShare * float64(p.cfg.MemoryMB) * (1 << 20)))
	}
	if err := p.kernel.Start(ctx); err != nil {
		return err
	}
	p.events.Event("start").Str("instance", p.cfg.Instance).Str("domain", p.cfg.Domain).Str("peer", p.cfg.Peer).
		Str("callers", p.cfg.Callers).Str("control", p.cfg.Control).Bool("bootstrap", p.cfg.Bootstrap).End()
	return nil
}

// stopMargin is kept back from the time for a stop, for what a stop itself takes.
const stopMargin = 500 * time.Millisecond

// Stop drains and stops all services within the time that the settings give.
func (p *Process) Stop() error {
	begun := time.Now()
	ctx, cancel := context.WithTimeout(context.Background(), p.cfg.Grace-stopMargin)
	defer cancel()
	p.events.Event("stop").Str("instance", p.cfg.Instance).MS("grace", p.cfg.Grace).End()
	if err := p.kernel.Drain(ctx); err != nil {
		p.events.Event("drain_failed").Err(err).End()
	}
	err := p.kernel.Stop(ctx)
	p.events.Event("stopped").Str("instance", p.cfg.Instance).MS("took", time.Since(begun)).End()
	return err
}

// Fatal tells why the process has to end.
func (p *Process) Fatal() <-chan error { return p.fatal }

// Reload reads the settings again and takes up what may change while the process
// runs: the seeds. A file that can't be read changes nothing.
func (p *Process) Reload(why string) {
	cfg, err := p.dialect.Reload()
	if err != nil {
		p.events.Event("reload").Str("why", why).Str("outcome", "refused").Err(err).End()
		return
	}
	changed := !slices.Equal(cfg.Seeds, *p.seeds.Load())
	p.seeds.Store(&cfg.Seeds)
	fixed := *cfg
	fixed.Seeds, fixed.Bootstrap, fixed.Metrics = p.cfg.Seeds, p.cfg.Bootstrap, p.cfg.Metrics
	p.events.Event("reload").Str("why", why).Str("outcome", "done").Bool("seeds_changed", changed).
		Bool("needs_restart", !reflect.DeepEqual(&fixed, p.cfg)).End()
}

func (p *Process) fail(err error) {
	select {
	case p.fatal <- err:
	default:
	}
}

func (p *Process) telemetry() kernel.Module {
	return kernel.Module{Name: nameTelemetry, New: func(*kernel.Kernel) (kernel.Service, error) { return telemetry.New(), nil }}
}

// names is the address book: instances are named by their peer addresses.
type names struct{}

// Address implements link.AddressBook.
func (names) Address(instance string) (string, bool) { return instance, instance != "" }

func (p *Process) links() kernel.Module {
	return kernel.Module{Name: nameLinks, New: func(*kernel.Kernel) (kernel.Service, error) {
		cfg := link.Config{Self: p.cfg.Peer, Book: names{}, Open: true, Log: p.log}
		if p.cfg.Control != "" {
			cfg.Listen = p.cfg.Peer
		}
		return link.New(cfg)
	}}
}

// heartbeat and electionTimeout are those of a control group whose members are some
// milliseconds apart. After a loss of power of all machines callers wait for an
// election: with raft's defaults of 200 ms and 1 s it took 1.7 s until edges had a
// configuration.
const (
	heartbeat       = 120 * time.Millisecond
	electionTimeout = 600 * time.Millisecond
)

func (p *Process) control() kernel.Module {
	return kernel.Module{Name: nameControl, Needs: []string{nameLinks, nameServing}, New: func(k *kernel.Kernel) (kernel.Service, error) {
		links, err := kernel.Lookup[*link.Service](k, nameLinks)
		if err != nil {
			return nil, err
		}
		state, err := kernel.Lookup[*servingService](k, nameServing)
		if err != nil {
			return nil, err
		}
		s := control.New(control.Config{
			Name: p.cfg.Peer, DataFolder: p.cfg.DataFolder, Founders: p.founders(), Bootstrap: p.cfg.Bootstrap,
			Links: links, Members: func() []string { return p.otherSeeds() }, Log: p.log, OnFatal: p.fail,
			MendMembers: true, WaitOutDisk: true, OnApplied: state.Applied,
			Heartbeat: heartbeat, ElectionTimeout: electionTimeout,
		})
		state.control.Store(s)
		return s, nil
	}}
}

// founders are the seeds that all processes get at the first start. An instance that
// is none of them joins.
func (p *Process) founders() []string {
	if !slices.Contains(p.cfg.Seeds, p.cfg.Peer) {
		return nil
	}
	return p.cfg.Seeds
}

func (p *Process) otherSeeds() (list []string) {
	for _, seed := range *p.seeds.Load() {
		if seed != p.cfg.Peer {
			list = append(list, seed)
		}
	}
	return list
}

// servingService finds the member of the control group that runs here.
type servingService struct {
	*serving.Service
	control atomic.Pointer[control.Service]
}

func (p *Process) serving() kernel.Module {
	return kernel.Module{Name: nameServing, Needs: []string{nameLinks}, New: func(k *kernel.Kernel) (kernel.Service, error) {
		links, err := kernel.Lookup[*link.Service](k, nameLinks)
		if err != nil {
			return nil, err
		}
		s := &servingService{}
		s.Service = serving.New(serving.Config{
			Name: p.cfg.Peer, Domain: p.cfg.Domain, Links: links, Silence: p.cfg.Silence, Log: p.log, Replica: s.replica,
		})
		return s, nil
	}}
}

func (p *Process) calls() kernel.Module {
	return kernel.Module{Name: nameCalls, Needs: []string{nameServing, nameControl}, New: func(k *kernel.Kernel) (kernel.Service, error) {
		s, err := kernel.Lookup[*servingService](k, nameServing)
		if err != nil {
			return nil, err
		}
		return newListener(p.cfg.Control, p.dialect.Control(s)), nil
	}}
}

func (p *Process) follow() kernel.Module {
	return kernel.Module{Name: nameFollow, Needs: []string{nameLinks}, New: func(k *kernel.Kernel) (kernel.Service, error) {
		links, err := kernel.Lookup[*link.Service](k, nameLinks)
		if err != nil {
			return nil, err
		}
		return follow.New(follow.Config{
			Links: links, Seeds: func() []string { return *p.seeds.Load() }, Lease: p.cfg.Lease, Log: p.log,
			Report:   func() serving.Report { return p.forwarder.Load().Report() },
			OnReport: func(r *serving.Report) { p.forwarder.Load().TakeReport(r) },
		}), nil
	}}
}

func (p *Process) relay() kernel.Module {
	needs := []string{nameFollow, nameTelemetry}
	return kernel.Module{Name: nameRelay, Needs: needs, New: func(k *kernel.Kernel) (kernel.Service, error) {
		state, err := kernel.Lookup[*follow.Follower](k, nameFollow)
		if err != nil {
			return nil, err
		}
		tel, err := kernel.Lookup[*telemetry.Service](k, nameTelemetry)
		if err != nil {
			return nil, err
		}
		s := relay.New(relay.Config{
			Listen: p.cfg.Callers, Domain: p.cfg.Domain, Headers: p.dialect.Headers, State: state, FailClosed: p.cfg.FailClosed,
			Budget: p.cfg.Budget, Announce: p.cfg.Announce, DrainTimeout: p.cfg.Grace - 2*stopMargin, Log: p.events,
		}, tel.Set())
		state.Subscribe(s.Update)
		p.forwarder.Store(s)
		return s, nil
	}}
}

func (p *Process) ready() kernel.Module {
	return kernel.Module{Name: nameReady, Needs: []string{nameRelay}, New: func(k *kernel.Kernel) (kernel.Service, error) {
		s, err := kernel.Lookup[*relay.Service](k, nameRelay)
		if err != nil {
			return nil, err
		}
		return newListener(p.cfg.Ready, p.dialect.Ready(s.Ready)), nil
	}}
}

func (p *Process) metrics() kernel.Module {
	needs := []string{nameTelemetry}
	if p.cfg.Control != "" {
		needs = append(needs, nameServing)
	}
	return kernel.Module{Name: nameMetrics, Needs: needs, New: func(k *kernel.Kernel) (kernel.Service, error) {
		tel, err := kernel.Lookup[*telemetry.Service](k, nameTelemetry)
		if err != nil {
			return nil, err
		}
		if s, err := kernel.Lookup[*servingService](k, nameServing); err == nil {
			memberGauges(tel, s)
		}
		return newListener(p.cfg.Metrics, func(ctx *fasthttp.RequestCtx) { tel.Write(ctx) }), nil
	}}
}

// memberGauges tell how the member of the control group stands that runs here.
func memberGauges(tel *telemetry.Service, s *servingService) {
	gauge := func(name string, value func(consensus.Status) float64) {
		tel.Set().NewGauge(name, func() float64 {
			if g := s.replica(); g != nil {
				return value(g.Status())
			}
			return 0
		})
	}
	gauge("control_term", func(st consensus.Status) float64 { return float64(st.Term) })
	gauge("control_applied_index", func(st consensus.Status) float64 { return float64(st.Applied) })
	gauge("control_voters", func(st consensus.Status) float64 { return float64(len(st.Members.Voters())) })
	gauge("control_is_leader", func(st consensus.Status) float64 {
		if st.Leader != 0 && st.Leader == st.ID {
			return 1
		}
		return 0
	})
	gauge("control_knows_leader", func(st consensus.Status) float64 {
		if st.Leader != 0 {
			return 1
		}
		return 0
	})
}

// maxCall bounds the body of a call: a table of some thousand routes.
const maxCall = 16 << 20

// listener is one HTTP listener with its handler.
type listener struct {
	address string
	server  *fasthttp.Server
	bound   net.Listener
}

func newListener(address string, h fasthttp.RequestHandler) *listener {
	return &listener{address: address, server: &fasthttp.Server{
		Handler: h, MaxRequestBodySize: maxCall, NoDefaultServerHeader: true, NoDefaultDate: true, Logger: log.New(io.Discard, "", 0),
	}}
}

// Start implements kernel.Service.
func (l *listener) Start(context.Context) error {
	bound, err := net.Listen("tcp4", l.address)
	if err != nil {
		return fault.Wrap(err, fault.Unavailable, "listen on %s", l.address)
	}
	l.bound = bound
	go func() { _ = l.server.Serve(bound) }()
	return nil
}

// Stop implements kernel.Service.
func (l *listener) Stop(context.Context) error {
	if l.bound == nil {
		return nil
	}
	return l.bound.Close()
}

// replica returns the member of the control group that runs here, or nil.
func (s *servingService) replica() *consensus.Service {
	if c := s.control.Load(); c != nil {
		return c.Replica()
	}
	return nil
}
