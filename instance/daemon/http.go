package daemon

import (
	"context"
	"io"
	"math/rand/v2"
	"time"

	"github.com/comfreyladder/comfreyladder/core/backpressure"
	"github.com/comfreyladder/comfreyladder/core/drain"
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
	"github.com/comfreyladder/comfreyladder/instance/quarantine"
	"github.com/comfreyladder/comfreyladder/instance/registry"
	"github.com/comfreyladder/comfreyladder/instance/shutdown"
	"github.com/comfreyladder/comfreyladder/instance/spread"
	"github.com/comfreyladder/comfreyladder/instance/telemetry"
	"github.com/comfreyladder/comfreyladder/instance/tlsconf"
	"github.com/comfreyladder/comfreyladder/instance/tunnel"
	"github.com/comfreyladder/comfreyladder/instance/upstream"
)

// services holds the services that the HTTP modules use.
type services struct {
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
	guard     *guardService
	list      *quarantine.Service
	warmUp    *warmUpService
}

var serviceNames = []string{
	nameConfig, nameTelemetry, nameTrace, nameClient, nameRegistry, nameSchedule, namePlain, nameMembers, nameSpread, nameControl, nameLinks, nameOrders, nameGuard, nameQuarantineList, nameWarmUp,
}

// lookupServices fills in all fields of services; serviceNames lists the same ones.
func lookupServices(k *kernel.Kernel) (p *services, err error) {
	p = &services{}
	return p, runLookups(
		lookupInto(k, nameConfig, &p.config), lookupInto(k, nameTelemetry, &p.telemetry), lookupInto(k, nameTrace, &p.trace),
		lookupInto(k, nameClient, &p.client), lookupInto(k, nameRegistry, &p.registry), lookupInto(k, nameSchedule, &p.queue),
		lookupInto(k, namePlain, &p.plain), lookupInto(k, nameMembers, &p.members), lookupInto(k, nameSpread, &p.spread),
		lookupInto(k, nameControl, &p.control), lookupInto(k, nameLinks, &p.links), lookupInto(k, nameOrders, &p.orders),
		lookupInto(k, nameGuard, &p.guard), lookupInto(k, nameQuarantineList, &p.list), lookupInto(k, nameWarmUp, &p.warmUp),
	)
}

func (d *Daemon) gateway() kernel.Module {
	return kernel.Module{Name: nameGateway, Needs: serviceNames, New: func(k *kernel.Kernel) (kernel.Service, error) {
		p, err := lookupServices(k)
		if err != nil {
			return nil, err
		}
		g := gateway.New(gateway.Config{
			Instance: d.cfg.Instance.Name,
			Config:   p.config,
			Dispatcher: dispatch.New(dispatch.Config{
				Queue: p.queue, Client: p.client.Client, Telemetry: p.telemetry, Trace: p.trace.Log, Attempts: d.cfg.Upstream.Attempts,
				WarmUp: p.warmUp.Guard,
			}),
			Registry: p.registry,
			Plain:    p.plain,
			Targets: func(v *config.View, service string) (upstream.Target, error) {
				return pickTarget(p.registry, p.client.Client, v, service)
			},
			Telemetry: p.telemetry,
			Trace:     p.trace.Log,
			Log:       d.log,
			CutOff:    func() bool { return !p.spread.Lease().Valid },
			LinksCut:  func() bool { return d.uplink.Load().CutOff() },
			Guard:     p.guard.Guard,
		})
		return &gatewayService{Gateway: g, d: d, kernel: k, members: p.members}, nil
	}}
}

// noUpstreamRetryAfter is the retry hint for a call whose service has no upstream in this
// failure domain: an upstream that is back is known about one heartbeat later.
const noUpstreamRetryAfter = time.Second

// pickTarget chooses one of the upstreams of a plain service that take requests at random,
// because the load that they report is not fresh enough for a better choice.
func pickTarget(r *registry.Service, client *upstream.Client, v *config.View, service string) (upstream.Target, error) {
	var open []upstream.Target
	soonest := backpressure.Forever
	view := r.View()
	for i := range view.Upstreams {
		u := &view.Upstreams[i]
		rule := v.Document.UpstreamRule(u.Name)
		if u.Kind != intent.KindService || u.Service != service || rule == nil || rule.Kind != u.Kind {
			continue
		}
		if left := client.UnwantedFor(u.Name); left > 0 {
			soonest = min(soonest, left)
			continue
		}
		open = append(open, upstream.Target{Name: u.Name, Address: u.Address})
	}
	if len(open) == 0 && soonest < backpressure.Forever {
		return upstream.Target{}, fault.New(fault.NotRun, "all upstreams of service %q ask for a pause", service).WithRetryAfter(soonest)
	}
	if len(open) == 0 {
		return upstream.Target{}, fault.New(fault.NotRun, "service %q has no available upstream", service).WithRetryAfter(noUpstreamRetryAfter)
	}
	return open[rand.IntN(len(open))], nil
}

// gatewayService drains the gateway; the callers' listener is a separate service.
type gatewayService struct {
	noLifecycle
	*gateway.Gateway
	d       *Daemon
	kernel  *kernel.Kernel
	members *member.Service
}

// drainQuietPeriod is how long nothing must be in flight before a drain is complete:
// the load balancer may still send a last request on a kept-alive connection.
const drainQuietPeriod = 300 * time.Millisecond

// Drain reports "not ready", keeps serving for the drain delay, then waits until
// nothing is in flight, including queued requests and streams. Meanwhile it refuses
// requests that may not end before the drain does.
func (g *gatewayService) Drain(ctx context.Context) error {
	g.BeginDrain(drain.NewSchedule(time.Now(), g.d.cfg.Instance.DrainDelay, g.d.cfg.Instance.DrainTimeout))
	if tunnels, err := kernel.Lookup[*tunnel.Service](g.kernel, nameTunnels); err == nil {
		tunnels.Retire()
	}
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
	return shutdown.AwaitQuiet(ctx, drainQuietPeriod, func() bool { return g.InFlight() > 0 || listener.Busy() > 0 })
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
	return kernel.Module{Name: nameOperators, Needs: append([]string{nameGateway}, serviceNames...), New: func(k *kernel.Kernel) (kernel.Service, error) {
		p, err := lookupServices(k)
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
			Config: p.config, Control: p.control, Claims: p.control, Group: p.control, Quarantine: p.list, Telemetry: p.telemetry, Log: d.log,
			Status:  func() admin.Status { return d.status(p, g) },
			Explain: e.explain,
			Drain:   d.requestDrain,
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
