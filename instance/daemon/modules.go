package daemon

import (
	"context"
	"time"

	"github.com/comfreyladder/comfreyladder/core/fault"
	"github.com/comfreyladder/comfreyladder/instance/admin"
	"github.com/comfreyladder/comfreyladder/instance/config"
	"github.com/comfreyladder/comfreyladder/instance/dispatch"
	"github.com/comfreyladder/comfreyladder/instance/gateway"
	"github.com/comfreyladder/comfreyladder/instance/httpserver"
	"github.com/comfreyladder/comfreyladder/instance/kernel"
	"github.com/comfreyladder/comfreyladder/instance/telemetry"
	"github.com/comfreyladder/comfreyladder/instance/trace"
	"github.com/comfreyladder/comfreyladder/instance/upstream"
)

func (d *Daemon) telemetry() kernel.Module {
	return kernel.Module{Name: nameTelemetry, New: func(*kernel.Kernel) (kernel.Service, error) {
		return telemetry.New(), nil
	}}
}

func (d *Daemon) config() kernel.Module {
	return kernel.Module{Name: nameConfig, Needs: []string{nameTelemetry}, New: func(k *kernel.Kernel) (kernel.Service, error) {
		tel, err := kernel.Lookup[*telemetry.Service](k, nameTelemetry)
		if err != nil {
			return nil, err
		}
		c := config.New()
		c.Subscribe(func(v *config.View) {
			tel.Keep(v.Document)
			d.log.Info().Uint64("revision", v.Revision).Msg("revision in force")
		})
		return c, nil
	}}
}

// clientService ends the client's connections.
type clientService struct{ *upstream.Client }

// Start implements kernel.Service.
func (clientService) Start(context.Context) error { return nil }

// Stop implements kernel.Service.
func (c clientService) Stop(ctx context.Context) error { return c.Close(ctx) }

func (d *Daemon) client() kernel.Module {
	return kernel.Module{Name: nameClient, New: func(*kernel.Kernel) (kernel.Service, error) {
		u := d.cfg.Upstream
		return clientService{upstream.New(upstream.Config{
			DialTimeout:  u.ConnectTimeout,
			FirstByte:    u.FirstByteTimeout,
			MaxSilence:   u.Silence,
			MaxIdle:      u.IdleAge,
			InstanceName: d.cfg.Instance.Name,
		})}, nil
	}}
}

func (d *Daemon) gateway() kernel.Module {
	needs := []string{nameTelemetry, nameConfig, nameRegistry, nameClient, nameSchedule}
	return kernel.Module{Name: nameGateway, Needs: needs, New: func(k *kernel.Kernel) (kernel.Service, error) {
		p, err := d.gatewayParts(k)
		if err != nil {
			return nil, err
		}
		log := trace.New()
		g := gateway.New(gateway.Config{
			Instance: d.cfg.Instance.Name,
			Config:   p.config,
			Dispatcher: dispatch.New(dispatch.Config{
				Queue: p.queue, Client: p.client.Client, Telemetry: p.telemetry, Trace: log, Attempts: d.cfg.Upstream.Attempts,
			}),
			Registry:  p.registry,
			Telemetry: p.telemetry,
			Trace:     log,
			Log:       d.log,
		})
		server := func() *httpserver.Server {
			s, _ := kernel.Lookup[*httpserver.Server](k, nameCallers)
			return s
		}
		return &gatewayService{Gateway: g, delay: d.cfg.Instance.DrainDelay, server: server, trace: log}, nil
	}}
}

type gatewayParts struct {
	config    *config.Service
	telemetry *telemetry.Service
	client    clientService
	registry  gateway.Registry
	queue     dispatch.Queue
}

func (d *Daemon) gatewayParts(k *kernel.Kernel) (p gatewayParts, err error) {
	if p.config, err = kernel.Lookup[*config.Service](k, nameConfig); err != nil {
		return p, err
	}
	if p.telemetry, err = kernel.Lookup[*telemetry.Service](k, nameTelemetry); err != nil {
		return p, err
	}
	if p.client, err = kernel.Lookup[clientService](k, nameClient); err != nil {
		return p, err
	}
	if p.registry, err = kernel.Lookup[gateway.Registry](k, nameRegistry); err != nil {
		return p, err
	}
	p.queue, err = kernel.Lookup[dispatch.Queue](k, nameSchedule)
	return p, err
}

func (d *Daemon) callers() kernel.Module {
	return kernel.Module{Name: nameCallers, Needs: []string{nameGateway}, New: func(k *kernel.Kernel) (kernel.Service, error) {
		g, err := kernel.Lookup[*gatewayService](k, nameGateway)
		if err != nil {
			return nil, err
		}
		return httpserver.New(httpserver.Config{
			Address: d.cfg.Listen.Callers, EventLoops: d.cfg.Listen.EventLoops, Limits: d.cfg.Limits, Handler: g.Handle,
		}), nil
	}}
}

func (d *Daemon) operators() kernel.Module {
	needs := []string{nameConfig, nameControl, nameTelemetry, nameGateway}
	return kernel.Module{Name: nameOperators, Needs: needs, New: func(k *kernel.Kernel) (kernel.Service, error) {
		c, err := kernel.Lookup[*config.Service](k, nameConfig)
		if err != nil {
			return nil, err
		}
		control, err := kernel.Lookup[admin.Control](k, nameControl)
		if err != nil {
			return nil, err
		}
		tel, err := kernel.Lookup[*telemetry.Service](k, nameTelemetry)
		if err != nil {
			return nil, err
		}
		g, err := kernel.Lookup[*gatewayService](k, nameGateway)
		if err != nil {
			return nil, err
		}
		api := admin.New(admin.Config{
			Config: c, Control: control, Telemetry: tel, Log: d.log,
			Status:  func() admin.Status { return d.status(k, c, g) },
			Explain: g.explain,
		})
		return httpserver.New(httpserver.Config{
			Address: d.cfg.Listen.Operators, EventLoops: 1, Limits: d.cfg.Limits, Handler: api.Handle,
		}), nil
	}}
}

func (d *Daemon) status(k *kernel.Kernel, c *config.Service, g *gatewayService) admin.Status {
	s := admin.Status{Instance: d.cfg.Instance.Name, Domain: d.cfg.Instance.FailureDomain, InFlight: g.InFlight(), LeaseValid: true}
	if v, err := c.Current(); err == nil {
		s.Revision = v.Revision
	}
	r, err := kernel.Lookup[*localRegistry](k, nameRegistry)
	if err != nil {
		return s
	}
	for _, b := range append(r.live("engine"), r.live("service")...) {
		s.Upstreams = append(s.Upstreams, admin.UpstreamStatus{Name: b.Name, Kind: string(b.Kind), State: "live", Address: b.Address, Models: b.Models, Slots: b.Slots})
	}
	return s
}

func (g *gatewayService) explain(_ context.Context, id string) (admin.Explanation, error) {
	rec, ok := g.trace.Find(id)
	if !ok {
		return rec, fault.New(fault.NotFound, "request %q is not remembered here", id)
	}
	return rec, nil
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
