package daemon

import (
	"context"

	"github.com/comfreyladder/comfreyladder/instance/config"
	"github.com/comfreyladder/comfreyladder/instance/kernel"
	"github.com/comfreyladder/comfreyladder/instance/member"
	"github.com/comfreyladder/comfreyladder/instance/registry"
	"github.com/comfreyladder/comfreyladder/instance/telemetry"
	"github.com/comfreyladder/comfreyladder/instance/trace"
	"github.com/comfreyladder/comfreyladder/instance/upstream"
)

// noLifecycle provides Start and Stop for a service that owns no goroutine.
type noLifecycle struct{}

// Start implements kernel.Service.
func (noLifecycle) Start(context.Context) error { return nil }

// Stop implements kernel.Service.
func (noLifecycle) Stop(context.Context) error { return nil }

// lookupInto returns a function that stores the named service in to.
func lookupInto[T any](k *kernel.Kernel, name string, to *T) func() error {
	return func() (err error) {
		*to, err = kernel.Lookup[T](k, name)
		return err
	}
}

// runLookups runs the lookups in order and returns the first error.
func runLookups(lookups ...func() error) error {
	for _, lookup := range lookups {
		if err := lookup(); err != nil {
			return err
		}
	}
	return nil
}

func (d *Daemon) telemetry() kernel.Module {
	return kernel.Module{Name: nameTelemetry, New: func(*kernel.Kernel) (kernel.Service, error) {
		return telemetry.New(), nil
	}}
}

// traceService holds the traces of recent requests.
type traceService struct {
	noLifecycle
	*trace.Log
}

func (d *Daemon) trace() kernel.Module {
	return kernel.Module{Name: nameTrace, New: func(*kernel.Kernel) (kernel.Service, error) {
		return &traceService{Log: trace.New()}, nil
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
			tel.RetainOrganisations(v.Document)
			d.log.Info().Uint64("revision", v.Revision).Msg("revision in force")
		})
		return c, nil
	}}
}

// clientService closes the upstream client's connections on Stop.
type clientService struct {
	noLifecycle
	*upstream.Client
}

// Stop implements kernel.Service.
func (c *clientService) Stop(ctx context.Context) error { return c.Close(ctx) }

func (d *Daemon) client() kernel.Module {
	return kernel.Module{Name: nameClient, Needs: []string{nameConfig, nameRegistry, nameMembers, nameUplinks, nameWarmUp}, New: func(k *kernel.Kernel) (kernel.Service, error) {
		var conf *config.Service
		var upstreams *registry.Service
		var members *member.Service
		var links *uplinkService
		var cold *warmUpService
		err := runLookups(lookupInto(k, nameConfig, &conf), lookupInto(k, nameRegistry, &upstreams), lookupInto(k, nameMembers, &members), lookupInto(k, nameUplinks, &links), lookupInto(k, nameWarmUp, &cold))
		if err != nil {
			return nil, err
		}
		u := d.cfg.Upstream
		return &clientService{Client: upstream.New(upstream.Config{
			DialTimeout:  u.ConnectTimeout,
			FirstByte:    u.FirstByteTimeout,
			ReadTimeout:  u.Silence,
			MaxEvent:     u.MaxEvent,
			MaxIdle:      u.IdleAge,
			InstanceName: d.cfg.Instance.Name,
			Links:        links.Service,
			OnLost:       cold.lost,
			Instances:    func() int { return 1 + len(d.livePeers(members)) },
			Trusted:      func(name string) bool { return trusts(conf, upstreams, name) },
			Incarnation: func(name string) (uint64, bool) {
				if u := upstreams.View().Find(name); u != nil {
					return u.Incarnation, true
				}
				return 0, false
			},
		})}, nil
	}}
}

// trusts reports whether the newest view has a rule for an upstream, of the kind that it announces.
func trusts(conf *config.Service, upstreams *registry.Service, name string) bool {
	v, err := conf.Current()
	if err != nil {
		return false
	}
	rule := v.Document.UpstreamRule(name)
	if rule == nil {
		return false
	}
	u := upstreams.View().Find(name)
	return u == nil || u.Kind == rule.Kind
}
