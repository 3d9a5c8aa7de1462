// Package daemon puts the services of an entry instance together on the
// micro-kernel, from its settings.
package daemon

import (
	"context"
	"time"

	"github.com/rs/zerolog"

	"github.com/comfreyladder/comfreyladder/instance/gateway"
	"github.com/comfreyladder/comfreyladder/instance/httpserver"
	"github.com/comfreyladder/comfreyladder/instance/kernel"
	"github.com/comfreyladder/comfreyladder/instance/settings"
	"github.com/comfreyladder/comfreyladder/instance/trace"
)

// The names of the services.
const (
	nameTelemetry = "telemetry"
	nameConfig    = "config"
	nameControl   = "control"
	nameRegistry  = "registry"
	nameClient    = "upstream.client"
	nameSchedule  = "schedule"
	nameGateway   = "gateway"
	nameCallers   = "listener.callers"
	nameOperators = "listener.operators"
)

// Daemon is one entry instance.
type Daemon struct {
	cfg    *settings.Settings
	log    zerolog.Logger
	kernel *kernel.Kernel
}

// New returns a daemon that has not started. It fails when two services have
// the same name, which is a defect.
func New(cfg *settings.Settings, log zerolog.Logger) (*Daemon, error) {
	d := &Daemon{cfg: cfg, log: log, kernel: kernel.New()}
	err := d.kernel.Register(
		d.telemetry(), d.config(), d.control(), d.registry(), d.client(),
		d.schedule(), d.gateway(), d.callers(), d.operators(),
	)
	return d, err
}

// Start starts all services.
func (d *Daemon) Start(ctx context.Context) error {
	if err := d.kernel.Start(ctx); err != nil {
		return err
	}
	d.log.Info().Str("instance", d.cfg.Instance.Name).Str("domain", d.cfg.Instance.FailureDomain).
		Str("callers", d.CallerAddress()).Str("operators", d.OperatorAddress()).Msg("started")
	return nil
}

// Stop drains and stops all services: the balancer is told first, what arrives
// meanwhile is still served, and what is in flight finishes. ctx bounds it.
func (d *Daemon) Stop(ctx context.Context) error {
	d.log.Info().Msg("draining")
	drain, cancel := context.WithTimeout(ctx, d.cfg.Instance.DrainTimeout)
	defer cancel()
	if err := d.kernel.Drain(drain); err != nil {
		d.log.Warn().Err(err).Msg("drain did not finish")
	}
	err := d.kernel.Stop(ctx)
	d.log.Info().Msg("stopped")
	return err
}

// Kill stops all services at once, without a drain.
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

// gatewayService drains the gateway; its listener is a service of its own.
type gatewayService struct {
	*gateway.Gateway
	delay  time.Duration
	server func() *httpserver.Server
	trace  *trace.Log
}

// Start implements kernel.Service.
func (*gatewayService) Start(context.Context) error { return nil }

// Stop implements kernel.Service.
func (*gatewayService) Stop(context.Context) error { return nil }

// quiet is how long nothing may be in flight before a drain counts as done: the
// balancer may still send a last request on a connection that it keeps.
const (
	quiet     = 300 * time.Millisecond
	drainPoll = 10 * time.Millisecond
)

// Drain says "not ready", goes on serving for the delay, then waits until
// nothing is in flight, queued requests and streams included.
func (g *gatewayService) Drain(ctx context.Context) error {
	g.SetReady(false)
	if err := sleep(ctx, g.delay); err != nil {
		return err
	}
	g.server().CloseAfterAnswer()
	idle := time.Now()
	for time.Since(idle) < quiet {
		if g.InFlight() > 0 {
			idle = time.Now()
		}
		if err := sleep(ctx, drainPoll); err != nil {
			return err
		}
	}
	return nil
}
