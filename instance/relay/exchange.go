package relay

import (
	"time"

	"github.com/comfreyladder/comfreyladder/core/balance"
	"github.com/comfreyladder/comfreyladder/core/fairshare"
	servingsvc "github.com/comfreyladder/comfreyladder/instance/serving"
)

// maxPendingPlacements bounds the prompt placements queued for the next report.
const maxPendingPlacements = 1024

// minReportedAnswers is the decayed answer count below which an observation is not reported, in
// hundredths of an answer: such a remainder carries no information.
const minReportedAnswers = 20

// remoteLoadTTL is how long the loads of other instances are used.
const remoteLoadTTL = 2 * time.Second

func (f *fleet) mergeReport(r *servingsvc.Report) {
	f.mu.Lock()
	defer f.mu.Unlock()
	clear(f.remoteLoads)
	for _, l := range r.Work.Loads {
		f.remoteLoads[l.FirstIndex] = l
	}
	routes := map[string]map[string]balance.RouteLoad{}
	for i := range r.Work.Routes {
		l := &r.Work.Routes[i]
		if routes[l.Service] == nil {
			routes[l.Service] = map[string]balance.RouteLoad{}
		}
		routes[l.Service][l.Route] = l.Load()
	}
	f.remoteLoadsAt, f.remoteOverloaded = time.Now(), r.Work.Overloaded
	if f.limits != nil {
		f.limits.Merge(r.Limits)
	}
	if r.HasObserved {
		f.mergeObserved(r.Observed)
	}
	for _, p := range r.Placements {
		// A placement at an incarnation that has ended since is cached nowhere.
		if u := f.byIncarnation[p.FirstIndex]; u != nil && u.service != nil {
			u.service.prompts.RecordAnnounced(f.remoteLoadsAt, p.Prompt, u)
		}
	}
	for service := range routes {
		f.service(service).hasEngines = true
	}
	demand := organisationDemand(r.Work.Organisations)
	for name, s := range f.services {
		s.pools.SetRemoteLoads(routes[name])
		s.pools.SetRemoteDemand(f.remoteLoadsAt, demand[name])
	}
	f.sumRemoteQueues()
}

// othersOverloaded returns how many other instances are overloaded, as far as is known.
func (f *fleet) othersOverloaded(now time.Time) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	if now.Sub(f.remoteLoadsAt) >= remoteLoadTTL {
		return 0
	}
	return f.remoteOverloaded
}

// organisationDemand returns demand by service, route and organisation.
func organisationDemand(loads []servingsvc.OrganisationLoad) map[string]map[string]fairshare.Demand {
	out := map[string]map[string]fairshare.Demand{}
	for i := range loads {
		l := &loads[i]
		if out[l.Service] == nil {
			out[l.Service] = map[string]fairshare.Demand{}
		}
		if out[l.Service][l.Route] == nil {
			out[l.Service][l.Route] = fairshare.Demand{}
		}
		out[l.Service][l.Route][l.Organisation] += float64(l.Recent)
	}
	return out
}

// sumRemoteQueues sums up the requests of others and the prompt tokens that they have queued, by service. The caller holds mu.
func (f *fleet) sumRemoteQueues() {
	for _, s := range f.services {
		s.remoteQueued, s.remoteActive = 0, 0
	}
	for incarnation, l := range f.remoteLoads {
		if u := f.byIncarnation[incarnation]; u != nil && u.service != nil {
			u.service.remoteQueued += l.QueuedTokens
			u.service.remoteActive += l.Active
		}
	}
}

// answerScale is the factor for answer counts in reports, which are sent in hundredths.
const answerScale = 100

// negligible reports whether an observation is not worth reporting.
func negligible(o *servingsvc.Observation) bool {
	return o.Answers < minReportedAnswers && o.Predicted <= 0
}

func observedOf(o *servingsvc.Observation) balance.Observed {
	return balance.Observed{
		Answers: float64(o.Answers) / answerScale, Failures: float64(o.Failures) / answerScale, Predicted: float64(o.Predicted), Took: float64(o.Took),
	}
}

// observation returns what this instance observed of an upstream.
func (u *upstream) observation(now time.Time) servingsvc.Observation {
	u.mu.Lock()
	o := u.observer.Sums(now)
	u.mu.Unlock()
	return servingsvc.Observation{
		FirstIndex: u.incarnation, Answers: int(o.Answers * answerScale), Failures: int(o.Failures * answerScale), Predicted: int(o.Predicted), Took: int(o.Took),
	}
}

// observations returns what this instance observed of each upstream and stores it, as it is
// included in the sum of all instances that comes back. The caller holds mu.
func (f *fleet) observations(now time.Time) (list []servingsvc.Observation) {
	clear(f.reportedObserved)
	for u := range f.used {
		o := u.observation(now)
		if !negligible(&o) {
			list = append(list, o)
			f.reportedObserved[u.incarnation] = observedOf(&o)
		}
	}
	return list
}

// mergeObserved stores the observations of all instances less those that this one reported. The
// caller holds mu.
func (f *fleet) mergeObserved(list []servingsvc.Observation) {
	clear(f.remoteObserved)
	for _, s := range f.services {
		s.remotePeers = balance.Observed{}
	}
	for i := range list {
		o := observedOf(&list[i])
		o.Subtract(f.reportedObserved[list[i].FirstIndex])
		f.remoteObserved[list[i].FirstIndex] = o
		if u := f.byIncarnation[list[i].FirstIndex]; u != nil && u.service != nil {
			u.service.remotePeers.Add(o)
		}
	}
}

func (f *fleet) report() servingsvc.Report {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.sequence++
	r := servingsvc.Report{Placements: f.newPlacements, Sequence: f.sequence}
	f.newPlacements = nil
	now := time.Now()
	for u := range f.used {
		if u.told = u.load(); u.active > 0 {
			r.Work.Loads = append(r.Work.Loads, u.told)
		}
	}
	clear(f.changed)
	if now.Sub(f.observedReportedAt) >= servingsvc.ObservationInterval {
		r.HasObserved, r.Observed, f.observedReportedAt = true, f.observations(now), now
		if f.links.Doubtful() {
			// What this instance sees of upstreams is biased by its own links.
			r.Observed = nil
			clear(f.reportedObserved)
		}
	}
	for service, s := range f.services {
		for name, l := range s.pools.LocalLoads(now) {
			r.Work.Routes = append(r.Work.Routes, servingsvc.RouteLoadOf(service, name, l, s.rates.rate.PerMS()))
		}
		for name, demand := range s.pools.OrganisationDemand(now) {
			for organisation, recent := range demand {
				r.Work.Organisations = append(r.Work.Organisations, servingsvc.OrganisationLoad{Service: service, Route: name, Organisation: organisation, Recent: int(recent)})
			}
		}
	}
	r.Busy = f.busy(now)
	if f.limiting() {
		// Other instances must learn soon what is sent to limited upstreams.
		r.Limits, r.Busy = f.limits.Statements(), true
	}
	return r
}

// load returns the load of the upstream by this instance. The caller holds the fleet's mutex.
func (u *upstream) load() servingsvc.Load {
	return servingsvc.Load{FirstIndex: u.incarnation, Active: u.active, QueuedTokens: u.queuedTokens, UsedTokens: u.usedTokens}
}

// loadUpdate returns the loads that changed since the last report or update.
func (f *fleet) loadUpdate() servingsvc.LoadUpdate {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.sequence++
	update := servingsvc.LoadUpdate{Sequence: f.sequence}
	for u := range f.changed {
		u.told = u.load()
		update.Loads = append(update.Loads, u.told)
	}
	clear(f.changed)
	return update
}

// toldLoads returns the loads that this instance told last, which are part of the sum that it
// gets.
func (f *fleet) toldLoads() (list []servingsvc.Load) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for u := range f.used {
		if u.told.Active+u.told.QueuedTokens+u.told.UsedTokens > 0 {
			list = append(list, u.told)
		}
	}
	return list
}

// recordChange notes that the load of an upstream changed. The caller holds mu.
func (f *fleet) recordChange(u *upstream) { f.changed[u] = struct{}{} }

// busyQueuedTokens is the mean number of queued prompt tokens per engine above which load updates
// are urgent.
const busyQueuedTokens = 1500

// busy reports whether the engines have long prefill queues. The caller holds mu.
func (f *fleet) busy(now time.Time) bool {
	queued, engines := 0, 0
	for u := range f.used {
		if u.service != nil {
			queued += u.queuedTokens
		}
	}
	for _, s := range f.services {
		if !s.hasEngines {
			continue
		}
		engines += s.len()
		if now.Sub(f.remoteLoadsAt) < remoteLoadTTL {
			queued += s.remoteQueued
		}
	}
	return queued > busyQueuedTokens*engines
}
