package relay

import (
	"time"

	"github.com/comfreyladder/comfreyladder/core/balance"
	servingsvc "github.com/comfreyladder/comfreyladder/instance/serving"
)

// maxPlaced bounds the prompts that wait for the next report.
const maxPlaced = 1024

// leastAnswers is how many hundredths of an answer are told: what is left of older ones
// tells nothing.
const leastAnswers = 20

// othersAge is for how long the loads of other instances count.
const othersAge = 2 * time.Second

func (f *fleet) takeReport(r *servingsvc.Report) {
	f.mu.Lock()
	defer f.mu.Unlock()
	clear(f.others)
	for _, l := range r.Work.Loads {
		f.others[l.FirstIndex] = l
	}
	routes := map[string]map[string]balance.RouteLoad{}
	for i := range r.Work.Routes {
		l := &r.Work.Routes[i]
		if routes[l.Service] == nil {
			routes[l.Service] = map[string]balance.RouteLoad{}
		}
		routes[l.Service][l.Route] = l.Load()
	}
	f.othersAt = time.Now()
	if f.limits != nil {
		f.limits.Merge(r.Limits)
	}
	if r.HasObserved {
		f.takeObserved(r.Observed)
	}
	for _, p := range r.Placements {
		// What was placed at an incarnation that has ended since is kept nowhere.
		if u := f.byBegun[p.FirstIndex]; u != nil {
			u.kept.RecordAnnounced(f.othersAt, p.Prompt)
		}
	}
	for service, loads := range routes {
		f.poolsOf(service).SetRemoteLoads(loads)
	}
	for service, p := range f.pools {
		if routes[service] == nil {
			p.SetRemoteLoads(nil)
		}
	}
}

// answerUnit is the unit in which answers travel: hundredths.
const answerUnit = 100

func observedOf(o *servingsvc.Observation) balance.Observed {
	return balance.Observed{
		Answers: float64(o.Answers) / answerUnit, Failures: float64(o.Failures) / answerUnit, Predicted: float64(o.Predicted), Took: float64(o.Took),
	}
}

// observation returns what was observed here of an upstream.
func (u *upstream) observation(now time.Time) servingsvc.Observation {
	u.mu.Lock()
	o := u.observer.Sums(now)
	u.mu.Unlock()
	return servingsvc.Observation{
		FirstIndex: u.begun, Answers: int(o.Answers * answerUnit), Failures: int(o.Failures * answerUnit), Predicted: int(o.Predicted), Took: int(o.Took),
	}
}

// observations returns what was observed here, by upstream; it needs mu. What it tells
// comes back in the sum of all.
func (f *fleet) observations(now time.Time) (list []servingsvc.Observation) {
	clear(f.told)
	for _, u := range f.upstreams {
		o := u.observation(now)
		if o.Answers >= leastAnswers || o.Predicted > 0 {
			list = append(list, o)
			f.told[u.begun] = observedOf(&o)
		}
	}
	return list
}

// takeObserved takes what all instances observed, and takes off what this one told; it
// needs mu.
func (f *fleet) takeObserved(list []servingsvc.Observation) {
	clear(f.observedByOthers)
	for i := range list {
		o := observedOf(&list[i])
		o.Subtract(f.told[list[i].FirstIndex])
		f.observedByOthers[list[i].FirstIndex] = o
	}
}

func (f *fleet) report() servingsvc.Report {
	f.mu.Lock()
	defer f.mu.Unlock()
	r := servingsvc.Report{Placements: f.placed}
	f.placed = nil
	now := time.Now()
	for _, u := range f.upstreams {
		if u.active > 0 {
			r.Work.Loads = append(r.Work.Loads, servingsvc.Load{FirstIndex: u.begun, Active: u.active, QueuedTokens: u.reading, UsedTokens: u.held})
		}
	}
	if now.Sub(f.toldAt) >= servingsvc.ObservationInterval {
		r.HasObserved, r.Observed, f.toldAt = true, f.observations(now), now
	}
	for service, p := range f.pools {
		perMS := f.pace(service).rate.PerMS()
		for name, l := range p.LocalLoads(now) {
			r.Work.Routes = append(r.Work.Routes, servingsvc.RouteLoadOf(service, name, l, perMS))
		}
	}
	r.Busy = f.busy(now)
	if f.limiting() {
		// What upstreams in need are sent is to be known soon.
		r.Limits, r.Busy = f.limits.Statements(), true
	}
	return r
}

// busyReading is how many prompt tokens must wait at the mean engine for news of loads
// to matter.
const busyReading = 1500

// busy reports whether engines have much to read; it needs mu.
func (f *fleet) busy(now time.Time) bool {
	reading, engines := 0, 0
	for service, p := range f.pools {
		if p == nil {
			continue
		}
		for _, u := range f.services[service] {
			engines++
			reading += u.reading
			if now.Sub(f.othersAt) < othersAge {
				reading += f.others[u.begun].QueuedTokens
			}
		}
	}
	return reading > busyReading*engines
}
