// Package fleet runs the stand-ins of an experiment in the tool's own process
// and makes its faults happen at their times.
package fleet

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/comfreyladder/comfreyladder/core/order"
	"github.com/comfreyladder/comfreyladder/operator/load"
	"github.com/comfreyladder/comfreyladder/operator/standin/engine"
	"github.com/comfreyladder/comfreyladder/operator/standin/host"
	"github.com/comfreyladder/comfreyladder/operator/standin/service"
)

// stopTime bounds how long one stand-in may take to end after a run.
const stopTime = 500 * time.Millisecond

// Fleet is the stand-ins of one run.
type Fleet struct {
	experiment *load.Experiment
	engines    []*engine.Engine
	services   []*runner

	mu     sync.Mutex
	active map[string]map[string]*load.FaultAt // by stand-in and name of the fault
	timers []*time.Timer
	ended  bool
}

// runner is one stand-in of a plain service.
type runner struct {
	*service.Service
	name   string
	number int
}

// Start starts all stand-ins, which announce themselves to the given addresses.
func Start(ctx context.Context, x *load.Experiment, seed uint64, announce load.Announce) (*Fleet, error) {
	f := &Fleet{experiment: x, active: map[string]map[string]*load.FaultAt{}}
	for i := range x.Engines.Count {
		e := engine.New(f.engineConfig(i, seed, f.host(announce, i)))
		f.engines = append(f.engines, e)
		if err := e.Start(ctx); err != nil {
			f.Stop()
			return nil, err
		}
	}
	for _, r := range x.Runners {
		book := service.NewBook()
		for i := range r.Count {
			s := service.New(service.Config{
				Config: f.host(announce, i), Name: name(r.Prefix, i), Domain: f.domain(i), Service: r.Service, Book: book,
			})
			f.services = append(f.services, &runner{Service: s, name: r.Service, number: i + 1})
			if err := s.Start(ctx); err != nil {
				f.Stop()
				return nil, err
			}
		}
	}
	return f, nil
}

func (f *Fleet) host(announce load.Announce, i int) host.Config {
	return host.Config{Announce: announce.To(f.domain(i)), Credential: f.experiment.Settings.UpstreamKey}
}

func name(prefix string, i int) string { return fmt.Sprintf("%s%02d", prefix, i+1) }

func (f *Fleet) domain(i int) string {
	d := f.experiment.Engines.Domains
	return d[i%len(d)]
}

func (f *Fleet) engineConfig(i int, seed uint64, h host.Config) engine.Config {
	e := &f.experiment.Engines
	var models []string
	for i := range f.experiment.Intent.Models {
		models = append(models, order.Names(&f.experiment.Intent.Models[i])...)
	}
	return engine.Config{
		Config: h, Name: name(e.Prefix, i), Domain: f.domain(i), Models: models,
		Slots: e.Slots, Speed: f.experiment.Settings.Speed, Prefill: e.Prefill, Step: e.Step, StepEach: e.StepEach,
		CacheTokens: e.CacheTokens, EventDelay: e.EventDelay, EventLoss: e.EventLoss,
		Seed: seed*1000 + uint64(i), Faults: f.base(),
	}
}

func (f *Fleet) base() engine.Faults {
	return engine.Faults{ReportLagMillis: f.experiment.Engines.ReportLag.Milliseconds()}
}

// Engines returns the engines in the order of their numbers.
func (f *Fleet) Engines() []*engine.Engine { return f.engines }

// Schedule makes the experiment's faults happen, counted from now.
func (f *Fleet) Schedule() {
	start := time.Now()
	for i := range f.experiment.Faults {
		a := &f.experiment.Faults[i]
		f.at(start.Add(a.At), func() { f.begin(a, start) })
	}
}

// begin begins a fault and schedules its end. Timers that are due at the same time fire in any
// order, so the end has none before the fault has begun.
func (f *Fleet) begin(a *load.FaultAt, start time.Time) {
	f.set(a, true)
	if a.For > 0 && a.Kind != "crash" {
		f.at(start.Add(a.At+a.For), func() { f.set(a, false) })
	}
}

func (f *Fleet) at(t time.Time, do func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.ended {
		return
	}
	f.timers = append(f.timers, time.AfterFunc(time.Until(t), do))
}

// set begins or ends a fault; the other faults of the same stand-ins stay.
func (f *Fleet) set(a *load.FaultAt, on bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if a.Service != "" {
		f.setServices(a, on)
		return
	}
	for _, e := range f.engines[a.Engine-1 : a.Engine-1+a.Count] {
		faults := f.base()
		for _, other := range f.note(e.Name(), a, on) {
			other.Apply(&faults)
		}
		e.SetFaults(faults)
	}
}

func (f *Fleet) setServices(a *load.FaultAt, on bool) {
	for _, r := range f.services {
		if r.name != a.Service || r.number < a.Engine || r.number >= a.Engine+a.Count {
			continue
		}
		var faults service.Faults
		for _, other := range f.note(r.Name(), a, on) {
			other.ApplyService(&faults)
		}
		r.SetFaults(faults)
	}
}

// note writes down that a fault begins or ends and returns all that are on.
func (f *Fleet) note(name string, a *load.FaultAt, on bool) map[string]*load.FaultAt {
	if f.active[name] == nil {
		f.active[name] = map[string]*load.FaultAt{}
	}
	delete(f.active[name], a.Name)
	if on {
		f.active[name][a.Name] = a
	}
	return f.active[name]
}

// Books returns what the services' books say.
func (f *Fleet) Books() load.Books {
	out := load.Books{}
	for _, r := range f.services {
		out[r.name] = r.Book().Counts()
	}
	return out
}

// Counters returns the sum over all engines.
func (f *Fleet) Counters() engine.Counters {
	var sum engine.Counters
	for _, e := range f.engines {
		c := e.Counters()
		sum.Requests += c.Requests
		sum.Refused += c.Refused
		sum.Completed += c.Completed
		sum.Cancelled += c.Cancelled
		sum.Resumed += c.Resumed
		sum.Generated += c.Generated
		sum.Prefilled += c.Prefilled
		sum.Cached += c.Cached
		sum.BusyMillis += c.BusyMillis
	}
	return sum
}

// Queues returns the true numbers of running and waiting requests.
func (f *Fleet) Queues() (running, waiting int) {
	for _, e := range f.engines {
		r, w := e.Queue()
		running += r
		waiting += w
	}
	return running, waiting
}

// Stop ends the faults and all stand-ins. Requests that are cut off have had
// their outcome: the run is over.
func (f *Fleet) Stop() {
	f.mu.Lock()
	f.ended = true
	for _, t := range f.timers {
		t.Stop()
	}
	f.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), stopTime)
	defer cancel()
	var group sync.WaitGroup
	for _, e := range f.engines {
		group.Go(func() { _ = e.Stop(ctx) })
	}
	for _, s := range f.services {
		group.Go(func() { _ = s.Stop(ctx) })
	}
	group.Wait()
}
