// Package daemon assembles the services of an entry instance on the micro-kernel
// according to its settings.
package daemon

import (
	"context"
	"net"
	"sync/atomic"

	"github.com/rs/zerolog"

	"github.com/comfreyladder/comfreyladder/core/fault"
	"github.com/comfreyladder/comfreyladder/instance/httpserver"
	"github.com/comfreyladder/comfreyladder/instance/kernel"
	"github.com/comfreyladder/comfreyladder/instance/settings"
	"github.com/comfreyladder/comfreyladder/instance/uplink"
)

// Names under which the services are registered with the kernel.
const (
	nameTelemetry = "telemetry"
	nameTrace     = "trace"
	nameConfig    = "config"
	nameLinks     = "links"
	nameMembers   = "members"
	nameSpread    = "spread"
	nameControl   = "control"
	nameRegistry  = "registry"
	nameSchedule  = "schedule"
	nameTunnels   = "tunnels"
	nameUplinks   = "uplinks"
	nameClient    = "upstream.client"
	namePlain     = "plain"
	nameOrders    = "orders"
	nameGuard     = "quarantine.guard"
	nameWarmUp    = "warmup"

	nameQuarantineList = "quarantine.list"

	nameGateway   = "gateway"
	nameCallers   = "listener.callers"
	nameOperators = "listener.operators"
)

// errSuperseded ends a process when a newer one runs under the same name.
var errSuperseded = fault.New(fault.Conflict, "a newer process runs under this instance's name")

// Daemon is one entry instance.
type Daemon struct {
	cfg    *settings.Settings
	log    zerolog.Logger
	kernel *kernel.Kernel
	book   *addressBook
	// uplink opens the connections to upstreams, once its service is created.
	uplink atomic.Pointer[uplink.Service]
	// Dial opens the direct connections to upstreams; nil selects TCP. It is set before Start.
	Dial  func(ctx context.Context, address string) (net.Conn, error)
	fatal chan error
	drain chan struct{}
}

// New returns a daemon that is not started yet. It fails if two services have the
// same name, which is a programming error.
func New(cfg *settings.Settings, log zerolog.Logger) (*Daemon, error) {
	d := &Daemon{cfg: cfg, log: log, kernel: kernel.New(), fatal: make(chan error, 1), drain: make(chan struct{}, 1)}
	d.book = d.addresses()
	err := d.kernel.Register(
		d.telemetry(), d.trace(), d.config(), d.links(), d.members(), d.spread(), d.quarantineList(), d.control(), d.warmUp(), d.registry(),
		d.schedule(), d.tunnels(), d.uplinks(), d.client(), d.plain(), d.orders(), d.guard(), d.gateway(), d.callers(), d.operators(),
	)
	return d, err
}

// Fatal returns a channel that receives the reason why the process must end: its
// disk failed, or a newer process runs under its name.
func (d *Daemon) Fatal() <-chan error { return d.fatal }

// DrainRequested returns a channel that receives a value when an operator asks the
// process to drain and stop.
func (d *Daemon) DrainRequested() <-chan struct{} { return d.drain }

func (d *Daemon) requestDrain() {
	select {
	case d.drain <- struct{}{}:
	default:
	}
}

// Start starts all services.
func (d *Daemon) Start(ctx context.Context) error {
	if err := d.kernel.Start(ctx); err != nil {
		return err
	}
	d.log.Info().Str("domain", d.cfg.Instance.FailureDomain).
		Str("callers", d.CallerAddress()).Str("operators", d.OperatorAddress()).Msg("started")
	return nil
}

// Stop drains and stops all services: the load balancer is told first, requests
// that arrive meanwhile are still served, and those in flight finish. ctx bounds
// the whole.
func (d *Daemon) Stop(ctx context.Context) error {
	d.log.Info().Msg("draining")
	drain, cancel := context.WithTimeout(ctx, d.cfg.Instance.DrainTimeout)
	defer cancel()
	if err := d.kernel.Drain(drain); err != nil {
		d.log.Warn().Err(err).Msg("drain incomplete")
	}
	err := d.kernel.Stop(ctx)
	d.log.Info().Msg("stopped")
	return err
}

// Kill stops all services without draining.
func (d *Daemon) Kill(ctx context.Context) error { return d.kernel.Stop(ctx) }

// CallerAddress returns the bound address of the callers' listener.
func (d *Daemon) CallerAddress() string { return d.address(nameCallers) }

// OperatorAddress returns the bound address of the operators' listener.
func (d *Daemon) OperatorAddress() string { return d.address(nameOperators) }

func (d *Daemon) address(name string) string {
	s, err := kernel.Lookup[*httpserver.Server](d.kernel, name)
	if err != nil || s.Address() == nil {
		return ""
	}
	return s.Address().String()
}
