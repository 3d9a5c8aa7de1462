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

// Names of the services in the kernel.
const (
	nameTelemetry       = "telemetry"
	nameLinks           = "links"
	nameControl         = "control"
	nameServing         = "serving"
	nameDuties          = "duties"
	nameQuarantine      = "quarantine"
	nameLimits          = "limits"
	nameWarmUp          = "warmup"
	nameOrigins         = "origins"
	nameFollow          = "follow"
	nameRelay           = "relay"
	nameTunnels         = "tunnels"
	nameControlListener = "listener.control"
	nameReadyListener   = "listener.ready"
	nameMetricsListener = "listener.metrics"
)

// Process is one process of the deployment, which either forwards requests or holds the
// control state.
type Process struct {
	cfg     *Config
	dialect *Dialect
	log     zerolog.Logger
	events  *eventlog.Sink
	kernel  *kernel.Kernel
	seeds   atomic.Pointer[[]string]
	// forwarder is set before the follower starts, which passes it the loads of other instances.
	forwarder atomic.Pointer[relay.Service]
	// meter counts requests for usage reports; nil if usage is not reported.
	meter *meter.Meter
	fatal chan error
}

// New returns a process that has not been started.
func New(cfg *Config, dialect *Dialect, log zerolog.Logger, events *eventlog.Sink) (*Process, error) {
	p := &Process{cfg: cfg, dialect: dialect, log: log, events: events, kernel: kernel.New(), fatal: make(chan error, 1)}
	p.seeds.Store(&cfg.Seeds)
	if span := cfg.Duties.span(); span > 0 {
		p.meter = meter.New(span)
	}
	modules := []kernel.Module{p.telemetry(), p.links()}
	if cfg.Control != "" {
		modules = append(modules, p.control(), p.serving(), p.quarantine(), p.limitAllocator(), p.warmUpAllocator(), p.origins(), p.controlListener())
		if p.hasDuties() {
			modules = append(modules, p.duties())
		}
	} else {
		modules = append(modules, p.follow(), p.recorder(), p.limitClient(), p.warmUpClient(), p.originRecorder(), p.tunnels(), p.relay(), p.ready())
	}
	if cfg.Metrics != "" {
		modules = append(modules, p.metrics())
	}
	return p, p.kernel.Register(modules...)
}

// heapMemoryShare is the share of the instance's memory that is set as Go's soft memory limit;
// below it, gcPercent is the heap growth in per cent that triggers a collection. Memory is
// plentiful here and processor time is not.
const (
	heapMemoryShare = 0.6
	gcPercent       = 400
)

// Start starts all services.
func (p *Process) Start(ctx context.Context) error {
	// The process gets one processor at a time; more threads would only wake each other.
	runtime.GOMAXPROCS(1)
	debug.SetGCPercent(gcPercent)
	if p.cfg.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(heapMemoryShare * float64(p.cfg.MemoryMB) * (1 << 20)))
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

// stopMargin is subtracted from the time for a stop, to leave time for the stop itself.
const stopMargin = 500 * time.Millisecond

// Stop drains and stops all services within Config.Grace.
func (p *Process) Stop() error {
	start := time.Now()
	ctx, cancel := context.WithTimeout(context.Background(), p.cfg.Grace-stopMargin)
	defer cancel()
	p.events.Event("stop").Str("instance", p.cfg.Instance).MS("grace", p.cfg.Grace).End()
	if err := p.kernel.Drain(ctx); err != nil {
		p.events.Event("drain_failed").Err(err).End()
	}
	err := p.kernel.Stop(ctx)
	p.events.Event("stopped").Str("instance", p.cfg.Instance).MS("took", time.Since(start)).End()
	return err
}

// Fatal returns a channel that receives the error because of which the process has to end.
func (p *Process) Fatal() <-chan error { return p.fatal }

// Reload reads the settings again and applies the seeds, the only setting that may change while
// the process runs. If the settings cannot be read, nothing changes.
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

func (p *Process) reportFatal(err error) {
	select {
	case p.fatal <- err:
	default:
	}
}

func (p *Process) telemetry() kernel.Module {
	return kernel.Module{Name: nameTelemetry, New: func(*kernel.Kernel) (kernel.Service, error) { return telemetry.New(), nil }}
}

// peerAddressBook is a link.AddressBook for instances that are named by their peer addresses.
type peerAddressBook struct{}

// Address implements link.AddressBook.
func (peerAddressBook) Address(instance string) (string, bool) { return instance, instance != "" }

func (p *Process) links() kernel.Module {
	return kernel.Module{Name: nameLinks, New: func(*kernel.Kernel) (kernel.Service, error) {
		return link.New(link.Config{Self: p.cfg.Peer, Listen: p.cfg.Peer, Book: peerAddressBook{}, AllowUnauthenticated: true, Log: p.log})
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
	return kernel.Module{Name: nameMetricsListener, Needs: needs, New: func(k *kernel.Kernel) (kernel.Service, error) {
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
