package relay

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/comfreyladder/comfreyladder/core/balance"
	"github.com/comfreyladder/comfreyladder/core/control/serving"
	"github.com/comfreyladder/comfreyladder/core/route"
	"github.com/comfreyladder/comfreyladder/instance/clock"
	"github.com/comfreyladder/comfreyladder/instance/eventlog"
	"github.com/comfreyladder/comfreyladder/instance/follow"
	servingsvc "github.com/comfreyladder/comfreyladder/instance/serving"
	"github.com/comfreyladder/comfreyladder/instance/uplink"
)

// fleet is the state of all upstreams as known to this instance. The work for a request, a report
// and a change of the view depends on the upstreams that they concern, not on all that exist.
type fleet struct {
	log *eventlog.Sink
	// links opens the connections to upstreams.
	links *uplink.Service

	mu sync.Mutex
	// viewIndex is the index of the view that was applied last, once one was applied.
	viewIndex uint64
	applied   bool
	// forwarders is the number of instances that forward requests.
	forwarders int
	// rank is the position of this instance among them, counted from one; zero if it is not known.
	rank      int
	upstreams map[string]*upstream
	// byIncarnation holds the upstreams by the log index at which they registered, which identifies
	// them in messages.
	byIncarnation map[uint64]*upstream
	services      map[string]*service
	// used holds the upstreams that this instance has requests, observations or connections at.
	used map[*upstream]struct{}
	// changed holds those whose load has changed since it was told last, and sequence numbers what
	// is told.
	changed  map[*upstream]struct{}
	sequence uint64
	domains  domains
	choice   choice
	// remoteLoads is the work that other instances have in flight as of remoteLoadsAt, by
	// incarnation.
	remoteLoads   map[uint64]servingsvc.Load
	remoteLoadsAt time.Time
	// remoteOverloaded is how many other instances were overloaded then.
	remoteOverloaded int
	// remoteObserved is what other instances observed of upstreams, by incarnation.
	// reportedObserved is what this instance last reported, at observedReportedAt.
	remoteObserved, reportedObserved map[uint64]balance.Observed
	observedReportedAt               time.Time
	// newPlacements lists the prompts sent to upstreams since the last report.
	newPlacements []servingsvc.PromptPlacement
	// limits are the rate limits that upstreams announce, nil if disabled. queue counts the
	// requests that wait for a token.
	limits Limits
	queue  queue
	// permits are those for cold upstreams, nil if there are none. warming is set if a service has a
	// warm-up rate.
	permits Permits
	warming atomic.Bool
	state   State
}

func newFleet(cfg *Config) *fleet {
	f := &fleet{
		log: cfg.Log, limits: cfg.Limits, permits: cfg.Permits, state: cfg.State, queue: queue{}, upstreams: map[string]*upstream{}, byIncarnation: map[uint64]*upstream{}, services: map[string]*service{},
		used: map[*upstream]struct{}{}, changed: map[*upstream]struct{}{}, domains: domains{}, remoteLoads: map[uint64]servingsvc.Load{}, remoteObserved: map[uint64]balance.Observed{},
		reportedObserved: map[uint64]balance.Observed{},
	}
	f.links = f.newLinks(cfg)
	return f
}

// update applies a view and returns the upstreams that ended without leaving. An upstream that is no
// longer usable receives no new work; its requests in flight continue.
func (f *fleet) update(v *follow.View) (crashed []*upstream) {
	f.mu.Lock()
	defer f.mu.Unlock()
	changes := f.changes(v)
	log := newChangeLog(f.log, v.Index, len(changes))
	for i := range changes {
		if u := f.apply(&changes[i], log); u != nil {
			crashed = append(crashed, u)
		}
	}
	log.end()
	shared := f.forwarders == v.Forwarders && f.rank == v.Rank
	f.viewIndex, f.applied, f.forwarders, f.rank = v.Index, true, v.Forwarders, v.Rank
	warming := false
	for name, s := range f.services {
		s.shared = s.shared && shared
		s.maxConns, s.healthPath, s.warmUp = connectionShare(v, name), healthPath(v, name), warmUpOf(v, name)
		warming = warming || s.warmUp.perSecond > 0
	}
	f.warming.Store(warming)
	return crashed
}

// changes returns how the upstreams of a view differ from the known ones.
func (f *fleet) changes(v *follow.View) (list []follow.Change) {
	switch {
	case f.applied && v.Index == f.viewIndex:
		return nil
	case f.applied && v.Since == f.viewIndex:
		return v.Changed
	}
	for id := range f.upstreams {
		if v.Upstreams.Get(id) == nil {
			list = append(list, follow.Change{Old: &serving.Upstream{ID: id}})
		}
	}
	for info := range v.Upstreams.All() {
		list = append(list, follow.Change{New: info})
	}
	return list
}

// apply applies one change and returns the upstream that ended without leaving, if any.
func (f *fleet) apply(c *follow.Change, log *changeLog) (crashed *upstream) {
	if c.New == nil {
		if u := f.upstreams[c.Old.ID]; u != nil {
			f.drop(u)
			log.gone(u, f.isUsed(u))
		}
		return nil
	}
	info := c.New
	u := f.upstreams[info.ID]
	previous := u
	if u != nil && (u.address != info.Address || u.incarnation != info.FirstIndex) {
		// A restarted upstream has an empty cache, no latency history and none of the requests
		// that were in flight under its ID.
		if u.endIsCrash() {
			crashed = u
		}
		f.drop(u)
		log.restarted(u, info)
		u = nil
	}
	if u == nil {
		u = f.newUpstream(info)
		if previous != nil && previous.address == info.Address {
			u.gate.InheritPause(&previous.gate)
		}
		f.upstreams[info.ID], f.byIncarnation[u.incarnation] = u, u
	}
	if u.endIsCrash() && info.State == serving.Superseded {
		crashed = u
	}
	if u.state != info.State || u.silent != info.Silent {
		log.state(info, f.isUsed(u))
	}
	f.place(u, info)
	return crashed
}

// place records what is known of an upstream, and makes it eligible for work if it is ready.
func (f *fleet) place(u *upstream, info *serving.Upstream) {
	if u.service != nil {
		u.service.remove(u)
	}
	u.state, u.silent, u.slots, u.slotsKnown, u.domain, u.software = info.State, info.Silent, max(1, info.Slots), info.Slots > 0, info.Domain, info.Software
	f.reportCold(u, info)
	if u.state == serving.Ready {
		f.service(info.Service).add(u)
	} else {
		u.closeIdle(time.Time{})
	}
}

// drop removes an upstream.
func (f *fleet) drop(u *upstream) {
	if u.service != nil {
		u.service.remove(u)
	}
	delete(f.upstreams, u.id)
	delete(f.byIncarnation, u.incarnation)
	u.retire()
}

func (f *fleet) isUsed(u *upstream) bool {
	_, used := f.used[u]
	return used
}

// unreachable records that an upstream could not be reached.
func (f *fleet) unreachable(u *upstream) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.domains.unreachable(time.Now(), u.domain, u.id) {
		f.log.Event("domain_suspect").Str("domain", u.domain).Str("upstream", u.id).MS("for", suspectDuration).End()
	}
}

// reached records that an upstream answered.
func (f *fleet) reached(u *upstream) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.domains.reached(u.domain)
}

// hasOther reports whether another upstream than the one given may take a request. A cold one may lack
// a permit.
func (f *fleet) hasOther(r *request, than *upstream) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, u := range f.service(r.service).ready.list {
		if u != than && !r.otherVersion(u) && !u.gate.Closed(clock.Now) && !f.cold(u) {
			return true
		}
	}
	return false
}

// closeIdle closes the connections that have been idle for too long, and forgets the upstreams that
// are no longer used.
func (f *fleet) closeIdle(now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for u := range f.used {
		open := u.closeIdle(now)
		if o := u.observation(now); u.active == 0 && u.told.Active == 0 && open == 0 && negligible(&o) {
			delete(f.used, u)
		}
	}
}

func (f *fleet) closeAll() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, u := range f.upstreams {
		u.retire()
	}
}

// keepConn adds a connection that has not carried a request yet to those of an upstream.
func (f *fleet) keepConn(u *upstream, c *upstreamConn) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.used[u] = struct{}{}
	u.pool.putUnused(c, time.Now())
}

// engineOf returns the engine parameters of a service, or nil.
func engineOf(v *follow.View, service string) *route.Engine {
	if s := v.Routes.Service(service); s != nil {
		return s.Engine
	}
	return nil
}
