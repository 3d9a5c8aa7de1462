package roles

import (
	"context"
	"time"

	"github.com/comfreyladder/comfreyladder/instance/duty"
	"github.com/comfreyladder/comfreyladder/instance/kernel"
	"github.com/comfreyladder/comfreyladder/instance/telemetry"
	"github.com/comfreyladder/comfreyladder/instance/upstream"
)

// providerDialTimeout limits a connection attempt to the provider. An unreachable provider does
// not answer at all, and another member may still be able to reach it.
const providerDialTimeout = 700 * time.Millisecond

// dutiesService is the duty service with the HTTP client of its calls, which is closed with it.
type dutiesService struct {
	*duty.Service
	client *upstream.Client
}

// Stop implements kernel.Service.
func (s *dutiesService) Stop(ctx context.Context) error {
	err := s.Service.Stop(ctx)
	if closeErr := s.client.Close(ctx); err == nil {
		err = closeErr
	}
	return err
}

// hasDuties reports whether this process may hold duties.
func (p *Process) hasDuties() bool {
	d := p.cfg.Duties
	return p.cfg.Control != "" && d != nil && (d.Usage != nil || d.Scale != nil)
}

func (p *Process) duties() kernel.Module {
	return kernel.Module{Name: nameDuties, Needs: []string{nameServing, nameControl}, New: func(k *kernel.Kernel) (kernel.Service, error) {
		state, err := kernel.Lookup[*servingService](k, nameServing)
		if err != nil {
			return nil, err
		}
		d := p.cfg.Duties
		orders := d.Scale
		if orders != nil {
			// Copied, because Reload compares the settings with those that it reads later.
			known := *orders
			known.Services = state.ScalableServices
			orders = &known
		}
		client := upstream.New(upstream.Config{DialTimeout: providerDialTimeout, FirstByte: duty.DefaultCallTimeout, IgnoreAsks: true})
		s := duty.New(duty.Config{
			Instance: p.cfg.Instance, Peer: p.cfg.Peer, Agreed: state.Agreed, Provider: p.dialect.Provider(d.Provider, client),
			Usage: d.Usage, Scale: orders, Lease: d.Lease, PerSecond: d.PerSecond, Log: p.log,
			Group: func() duty.Group {
				if g := state.replica(); g != nil {
					return g
				}
				return nil
			},
		})
		return &dutiesService{s, client}, nil
	}}
}

// dutyGauges registers gauges for the state of the duties as this member knows it.
func dutyGauges(tel *telemetry.Service, s *duty.Service) {
	gauge := func(name string, value func(*duty.View) float64) {
		tel.Set().NewGauge(name, func() float64 { return value(s.View()) })
	}
	gauge("duty_number", func(v *duty.View) float64 { return float64(v.Number) })
	gauge("duty_provider_unreachable_seconds", func(v *duty.View) float64 { return float64(v.UnreachableMS) / 1000 })
	windows := func(counts func(w *duty.WindowView) bool) func(*duty.View) float64 {
		return func(v *duty.View) (n float64) {
			for i := range v.Windows {
				if counts(&v.Windows[i]) {
					n++
				}
			}
			return n
		}
	}
	gauge(`duty_windows{state="open"}`, windows(func(w *duty.WindowView) bool { return w.State == duty.StateOpen }))
	gauge(`duty_windows{state="overdue"}`, windows(func(w *duty.WindowView) bool { return w.Overdue }))
	gauge(`duty_windows{state="incomplete"}`, windows(func(w *duty.WindowView) bool { return w.Missing > 0 || w.Late > 0 }))
}
