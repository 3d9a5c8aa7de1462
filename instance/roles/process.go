package roles

import (
	"context"
	"reflect"
	"runtime"
	"runtime/debug"
	"slices"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"github.com/valyala/fasthttp"

	"github.com/comfreyladder/comfreyladder/instance/duty"
	"github.com/comfreyladder/comfreyladder/instance/eventlog"
	"github.com/comfreyladder/comfreyladder/instance/httpapi"
	"github.com/comfreyladder/comfreyladder/instance/kernel"
	"github.com/comfreyladder/comfreyladder/instance/link"
	"github.com/comfreyladder/comfreyladder/instance/meter"
	"github.com/comfreyladder/comfreyladder/instance/relay"
	"github.com/comfreyladder/comfreyladder/instance/telemetry"
)

// The names of the services.
const (
	nameTelemetry  = "telemetry"
	nameLinks      = "links"
	nameControl    = "control"
	nameServing    = "serving"
	nameDuties     = "duties"
	nameQuarantine = "quarantine"
	nameLimits     = "limits"
	nameFollow     = "follow"
	nameRelay      = "relay"
	nameCalls      = "listener.control"
	nameReady      = "listener.ready"
	nameMetrics    = "listener.metrics"
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
	// meter counts requests for usage reports; nil where there are none.
	meter *meter.Meter
	fatal chan error
}

// New returns a process that has not started.
func New(cfg *Config, dialect *Dialect, log zerolog.Logger, events *eventlog.Sink) (*Process, error) {
	p := &Process{cfg: cfg, dialect: dialect, log: log, events: events, kernel: kernel.New(), fatal: make(chan error, 1)}
	p.seeds.Store(&cfg.Seeds)
	if span := cfg.Duties.span(); span > 0 {
		p.meter = meter.New(span)
	}
	modules := []kernel.Module{p.telemetry(), p.links()}
	if cfg.Control != "" {
		modules = append(modules, p.control(), p.serving(), p.quarantine(), p.rights(), p.calls())
		if p.hasDuties() {
			modules = append(modules, p.duties())
		}
	} else {
		modules = append(modules, p.follow(), p.recorder(), p.limits(), p.relay(), p.ready())
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
	if d := p.cfg.Duties; d != nil {
		for _, name := range d.Unknown {
			p.events.Event("duty_unknown").Str("duty", name).Str("outcome", "passed over").End()
		}
	}
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
		cfg := link.Config{Self: p.cfg.Peer, Book: names{}, AllowUnauthenticated: true, Log: p.log}
		if p.cfg.Control != "" {
			cfg.Listen = p.cfg.Peer
		}
		return link.New(cfg)
	}}
}

func (p *Process) metrics() kernel.Module {
	needs := []string{nameTelemetry}
	if p.cfg.Control != "" {
		needs = append(needs, nameServing)
	}
	if p.hasDuties() {
		needs = append(needs, nameDuties)
	}
	return kernel.Module{Name: nameMetrics, Needs: needs, New: func(k *kernel.Kernel) (kernel.Service, error) {
		tel, err := kernel.Lookup[*telemetry.Service](k, nameTelemetry)
		if err != nil {
			return nil, err
		}
		if s, err := kernel.Lookup[*servingService](k, nameServing); err == nil {
			memberGauges(tel, s)
		}
		duties, err := kernel.Lookup[*dutiesService](k, nameDuties)
		if err != nil {
			return newListener(p.cfg.Metrics, func(ctx *fasthttp.RequestCtx) { tel.Write(ctx) }), nil
		}
		dutyGauges(tel, duties.Service)
		return newListener(p.cfg.Metrics, func(ctx *fasthttp.RequestCtx) {
			if string(ctx.Path()) == duty.Path {
				httpapi.WriteJSON(ctx, fasthttp.StatusOK, duties.View())
				return
			}
			tel.Write(ctx)
		}), nil
	}}
}
