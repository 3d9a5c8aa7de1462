package daemon

import (
	"context"
	"io"
	"math/rand/v2"
	"time"

	"github.com/comfreyladder/comfreyladder/core/fault"
	"github.com/comfreyladder/comfreyladder/core/intent"
	"github.com/comfreyladder/comfreyladder/instance/admin"
	"github.com/comfreyladder/comfreyladder/instance/config"
	"github.com/comfreyladder/comfreyladder/instance/control"
	"github.com/comfreyladder/comfreyladder/instance/dispatch"
	"github.com/comfreyladder/comfreyladder/instance/gateway"
	"github.com/comfreyladder/comfreyladder/instance/httpserver"
	"github.com/comfreyladder/comfreyladder/instance/kernel"
	"github.com/comfreyladder/comfreyladder/instance/link"
	"github.com/comfreyladder/comfreyladder/instance/member"
	"github.com/comfreyladder/comfreyladder/instance/order"
	"github.com/comfreyladder/comfreyladder/instance/registry"
	"github.com/comfreyladder/comfreyladder/instance/shutdown"
	"github.com/comfreyladder/comfreyladder/instance/spread"
	"github.com/comfreyladder/comfreyladder/instance/telemetry"
	"github.com/comfreyladder/comfreyladder/instance/tlsconf"
	"github.com/comfreyladder/comfreyladder/instance/upstream"
)

// parts are the services that the HTTP modules use.
type parts struct {
	config    *config.Service
	telemetry *telemetry.Service
	trace     *traceService
	client    *clientService
	registry  *registry.Service
	queue     *queueService
	plain     *plainService
	members   *member.Service
	spread    *spread.Service
	control   *control.Service
	links     *link.Service
	orders    *order.Service
}

var partNames = []string{
	nameConfig, nameTelemetry, nameTrace, nameClient, nameRegistry, nameSchedule, namePlain, nameMembers, nameSpread, nameControl, nameLinks, nameOrders,
}

func find(k *kernel.Kernel) (p *parts, err error) {
	p = &parts{}
	return p, all(
		into(k, nameConfig, &p.config), into(k, nameTelemetry, &p.telemetry), into(k, nameTrace, &p.trace),
		into(k, nameClient, &p.client), into(k, nameRegistry, &p.registry), into(k, nameSchedule, &p.queue),
		into(k, namePlain, &p.plain), into(k, nameMembers, &p.members), into(k, nameSpread, &p.spread),
		into(k, nameControl, &p.control), into(k, nameLinks, &p.links), into(k, nameOrders, &p.orders),
	)
}

func (d *Daemon) gateway() kernel.Module {
	return kernel.Module{Name: nameGateway, Needs: partNames, New: func(k *kernel.Kernel) (kernel.Service, error) {
		p, err := find(k)
		if err != nil {
			return nil, err
		}
		g := gateway.New(gateway.Config{
			Instance: d.cfg.Instance.Name,
			Config:   p.config,
			Dispatcher: dispatch.New(dispatch.Config{
				Queue: p.queue, Client: p.client.Client, Telemetry: p.telemetry, Trace: p.trace.Log, Attempts: d.cfg.Upstream.Attempts,
			}),
			Registry:  p.registry,
			Plain:     p.plain,
			Targets:   func(v *config.View, service string) (upstream.Target, error) { return target(p.registry, v, service) },
			Telemetry: p.telemetry,
			Trace:     p.trace.Log,
			Log:       d.log,
			CutOff:    func() bool { return !p.spread.Lease().Valid },
		})
		return &gatewayService{Gateway: g, d: d, kernel: k, members: p.members}, nil
	}}
}

// noTargetRetry is the hint with a call whose service has no upstream here; a
// beat brings one back within about that time.
const noTargetRetry = time.Second

// target chooses one of the upstreams that run a plain service, at random: they
// tell nothing about their load that is fresh enough to do better.
func target(r *registry.Service, v *config.View, service string) (upstream.Target, error) {
	var open []upstream.Target
	view := r.View()
	for i := range view.Upstreams {
		u := &view.Upstreams[i]
		rule := v.Document.UpstreamRule(u.Name)
		if u.Kind == intent.KindService && u.Service == service && rule != nil && rule.Kind == u.Kind {
			open = append(open, upstream.Target{Name: u.Name, Address: u.Address})
		}
	}
	if len(open) == 0 {
		return upstream.Target{}, fault.New(fault.NotRun, "no upstream of service %q is there", service).WithRetryAfter(noTargetRetry)
	}
	return open[rand.IntN(len(open))], nil
}

// gatewayService drains the gateway; its listener is a service of its own.
type gatewayService struct {
	idle
	*gateway.Gateway
	d       *Daemon
	kernel  *kernel.Kernel
	members *member.Service
}

// quiet is how long nothing may be in flight before a drain counts as done: the
// balancer may still send a last request on a connection that it keeps.
const quiet = 300 * time.Millisecond

// Drain says "not ready", goes on serving for the delay, then waits until
// nothing is in flight, queued requests and streams included.
func (g *gatewayService) Drain(ctx context.Context) error {
	g.SetReady(false)
	if err := g.members.Drain(ctx); err != nil {
		return err
	}
	if err := sleep(ctx, g.d.cfg.Instance.DrainDelay); err != nil {
		return err
	}
	listener, err := kernel.Lookup[*httpserver.Server](g.kernel, nameCallers)
	if err != nil {
		return err
	}
	listener.CloseAfterResponse()
	if operators, err := kernel.Lookup[*httpserver.Server](g.kernel, nameOperators); err == nil {
		operators.CloseAfterResponse()
	}
	return shutdown.AwaitQuiet(ctx, quiet, func() bool { return g.InFlight() > 0 || listener.Busy() > 0 })
}

func (d *Daemon) callers() kernel.Module {
	return kernel.Module{Name: nameCallers, Needs: []string{nameGateway}, New: func(k *kernel.Kernel) (kernel.Service, error) {
		g, err := kernel.Lookup[*gatewayService](k, nameGateway)
		if err != nil {
			return nil, err
		}
		tls, err := tlsconf.Server(d.cfg.TLS)
		if err != nil {
			return nil, err
		}
		return httpserver.New(httpserver.Config{
			Address: d.cfg.Listen.Callers, EventLoops: d.cfg.Listen.EventLoops, Limits: d.cfg.Limits, TLS: tls, Handler: g.Handle,
		}), nil
	}}
}

func (d *Daemon) operators() kernel.Module {
	return kernel.Module{Name: nameOperators, Needs: append([]string{nameGateway}, partNames...), New: func(k *kernel.Kernel) (kernel.Service, error) {
		p, err := find(k)
		if err != nil {
			return nil, err
		}
		g, err := kernel.Lookup[*gatewayService](k, nameGateway)
		if err != nil {
			return nil, err
		}
		tls, err := tlsconf.Server(d.cfg.TLS)
		if err != nil {
			return nil, err
		}
		p.telemetry.Set().RegisterMetricsWriter(func(w io.Writer) { writeLinkMetrics(w, p.links) })
		e := newExplainer(d.cfg.Instance.Name, p)
		api := admin.New(admin.Config{
			Config: p.config, Control: p.control, Claims: p.control, Group: p.control, Telemetry: p.telemetry, Log: d.log,
			Status:  func() admin.Status { return d.status(p, g) },
			Explain: e.explain,
			Drain:   d.askDrain,
		})
		return httpserver.New(httpserver.Config{
			Address: d.cfg.Listen.Operators, EventLoops: 1, Limits: d.cfg.Limits, TLS: tls, Handler: api.Handle,
		}), nil
	}}
}

func sleep(ctx context.Context, d time.Duration) error {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return fault.Wrap(ctx.Err(), fault.DeadlineExceeded, "requests are still in flight")
	}
}
