package relay

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/comfreyladder/comfreyladder/core/balance"
	"github.com/comfreyladder/comfreyladder/core/control/serving"
	"github.com/comfreyladder/comfreyladder/core/route"
	"github.com/comfreyladder/comfreyladder/instance/eventlog"
	"github.com/comfreyladder/comfreyladder/instance/follow"
)

// fleet holds what this instance knows of all upstreams.
type fleet struct {
	log *eventlog.Sink

	mu        sync.Mutex
	upstreams map[string]*upstream
	services  map[string][]*upstream
	scratch   []balance.Upstream
	pools     map[string]*balance.Pools
	ids       []string
}

func newFleet(log *eventlog.Sink) *fleet {
	return &fleet{log: log, upstreams: map[string]*upstream{}, services: map[string][]*upstream{}, pools: map[string]*balance.Pools{}}
}

// update takes in which incarnations there are. One that is not usable any more
// gets no new work from here on; its work under way goes on.
func (f *fleet) update(v *follow.View) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for id, u := range f.upstreams {
		if v.Upstreams[id] == nil {
			delete(f.upstreams, id)
			u.retire()
			f.log.Event("upstream_gone").Str("upstream", id).Str("address", u.address).Int("index", int64(v.Index)).End()
		}
	}
	f.services = map[string][]*upstream{}
	for id, info := range v.Upstreams {
		u := f.upstreams[id]
		if u == nil || u.address != info.Address {
			u = newUpstream(info)
			f.upstreams[id] = u
		}
		f.note(u, info, v.Index)
		u.maxConns = connectionShare(v, info.Service)
		if u.state == serving.Ready {
			f.services[info.Service] = append(f.services[info.Service], u)
		} else {
			u.closeIdle(time.Time{})
		}
	}
}

func (f *fleet) note(u *upstream, info *serving.Upstream, index uint64) {
	if u.state != info.State || u.silent != info.Silent {
		f.log.Event("upstream_state").Str("upstream", info.ID).Str("service", info.Service).Str("address", info.Address).
			Str("state", info.State.String()).Bool("silent", info.Silent).Int("index", int64(index)).End()
	}
	u.state, u.silent, u.slots, u.domain = info.State, info.Silent, max(1, info.Slots), info.Domain
}

// connectionShare is how many connections this instance may have to one upstream of
// a service: its part of what the upstream allows all of them, with room for being
// sent more than its part of the callers.
func connectionShare(v *follow.View, service string) int {
	const unbounded, room = 256, 1.5
	if v.Routes == nil {
		return unbounded
	}
	s := v.Routes.Service(service)
	if s == nil || s.MaxConnections <= 0 {
		return unbounded
	}
	return max(2, int(room*float64(s.MaxConnections)/float64(v.Forwarders)))
}

// choose picks an upstream for a request and books its work there; nil means that
// none is left. Upstreams in avoid are not picked.
func (f *fleet) choose(r *request, domain string, avoid []*upstream) *upstream {
	f.mu.Lock()
	defer f.mu.Unlock()
	list := f.services[r.service]
	now := time.Now()
	f.scratch = f.scratch[:0]
	quick, isQuick := f.split(r, list, now, len(avoid) == 0)
	for _, u := range list {
		b := balance.Upstream{ID: u.id, Domain: u.domain, Load: u.load(), Penalty: u.penalty(), Suspect: u.suspect(now)}
		b.Suspect = b.Suspect || quick != nil && quick[u.id] != isQuick
		for _, a := range avoid {
			b.Excluded = b.Excluded || a == u
		}
		b.Excluded = b.Excluded || u.active >= u.maxConns
		f.scratch = append(f.scratch, b)
	}
	i := balance.Choose(f.scratch, &balance.Request{Affinity: r.affinity, Domain: domain, Draw: rand.Float64()})
	if i == balance.None {
		return nil
	}
	list[i].begin(r, now)
	return list[i]
}

// split says which upstreams are for quick requests, and whether this is one.
func (f *fleet) split(r *request, list []*upstream, now time.Time, first bool) (quick map[string]bool, isQuick bool) {
	if r.tokens == 0 {
		return nil, false
	}
	p := f.pools[r.service]
	if p == nil {
		p = balance.NewPools()
		f.pools[r.service] = p
	}
	if first {
		p.Note(now, r.route.Name, r.tokens, r.route.Gap)
	}
	f.ids = f.ids[:0]
	for _, u := range list {
		f.ids = append(f.ids, u.id)
	}
	return p.Split(f.ids), p.Quick(r.route.Name)
}

// known reports whether there is any upstream of a service.
func (f *fleet) known(service string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.services[service])
}

func (f *fleet) closeIdle(now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, u := range f.upstreams {
		u.closeIdle(now)
	}
}

func (f *fleet) closeAll() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, u := range f.upstreams {
		u.retire()
	}
}

// engineOf returns what a service's engines can do, or nil.
func engineOf(v *follow.View, service string) *route.Engine {
	if s := v.Routes.Service(service); s != nil {
		return s.Engine
	}
	return nil
}
