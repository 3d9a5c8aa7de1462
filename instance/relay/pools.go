package relay

import (
	"math/rand/v2"

	"github.com/comfreyladder/comfreyladder/core/balance"
)

// engineRate is what this instance has measured of a service's engines: their prefill rate, and the
// slot time of requests by pool and by route.
type engineRate struct {
	rate        balance.Rate
	quick, long balance.SlotTime
	routes      map[string]*balance.SlotTime
}

// slotTime returns the mean slot time in the quick pool or in the other one.
func (p *engineRate) slotTime(quick bool) *balance.SlotTime {
	if quick {
		return &p.quick
	}
	return &p.long
}

// routeSlotTime returns the mean slot time of a route's requests.
func (p *engineRate) routeSlotTime(name string) *balance.SlotTime {
	r := p.routes[name]
	if r == nil {
		r = &balance.SlotTime{}
		p.routes[name] = r
	}
	return r
}

// assignPool determines the quick pool and whether the request belongs to it.
func (f *fleet) assignPool(r *request, sel *selection) {
	if r.tokens == 0 {
		return
	}
	s := sel.service
	s.hasEngines = true
	perMS := s.rates.rate.PerMS()
	s.pools.SetEngine(balance.Engine{PerMS: perMS, Slots: float64(s.slots) / float64(max(1, s.len())), Count: float64(s.len())})
	count := s.pools.QuickCount(sel.now, s.len())
	if count != s.quickCount {
		s.quickCount = count
		f.log.Event("pools").Str("service", s.name).Int("quick", int64(count)).Int("upstreams", int64(s.len())).
			Int("tokens_per_s", int64(1000*perMS)).End()
	}
	if count > 0 {
		sel.quickLimit, sel.pools = s.index.Limit(count), true
	}
	o := r.offer()
	r.quick = s.pools.Quick(&o, perMS)
}

// offer describes the request to the pools.
func (r *request) offer() balance.Offer {
	return balance.Offer{Route: r.route.Name, Organisation: r.organisationName(), Tokens: r.tokens, MaxPause: r.route.MaxPause, Rank: r.rank}
}

// recordAndShed records a request in the load statistics, once, and decides whether it is shed.
func (f *fleet) recordAndShed(r *request, q *balance.Request, c balance.Choice, sel *selection) {
	if r.recorded {
		return
	}
	r.recorded = true
	s := sel.service
	o := r.offer()
	chosen := &f.choice.states[c.Index]
	o.UncachedTokens = int(balance.UncachedTokens(chosen, q))
	o.Cached = chosen.Fetchable || chosen.CachedShare > 0 || r.sharedTokens == 0
	o.SlotTime = s.rates.routeSlotTime(r.route.Name).Duration()
	s.pools.Record(sel.now, &o)
	if r.quick || r.origin != nil {
		return
	}
	available := f.availableEngines(sel)
	share := s.pools.AdmittedShare(sel.now, &o, available)
	if share >= 1 {
		return
	}
	r.shed = rand.Float64() > share
	r.admission = admission{share: share, availableEngines: available, requiredEngines: s.pools.RequiredEngines(sel.now), cached: o.Cached, work: int(o.Work())}
}

// availableEngines returns how many engines outside the quick pool can take requests, in engines of
// normal speed.
func (f *fleet) availableEngines(sel *selection) float64 {
	if f.choice.partial {
		return f.estimateAvailable(sel)
	}
	available := 0.0
	for i := range f.choice.states {
		available += capacityShare(&f.choice.states[i])
	}
	return available
}

// capacityShare returns the capacity of an upstream for requests of the current pool, as a share of
// that of a normal engine.
func capacityShare(u *balance.Upstream) float64 {
	switch {
	case u.OtherPool || u.Suspect:
		return 0
	case u.LimitShare > 0:
		return u.LimitShare / max(1, u.Slowness)
	case u.Excluded:
		return 0
	}
	return 1 / max(1, u.Slowness)
}

// estimateAvailable is availableEngines for a service of which only some upstreams are looked at:
// the others are as able as these.
func (f *fleet) estimateAvailable(sel *selection) float64 {
	able, seen := 0.0, 0.0
	for i := range f.choice.states {
		if u := &f.choice.states[i]; !u.OtherPool {
			able += capacityShare(u)
			seen++
		}
	}
	s := sel.service
	pool := float64(s.len())
	if sel.pools {
		pool -= float64(s.quickCount)
	}
	if seen == 0 {
		return pool
	}
	return pool * able / seen * f.reachableShare(sel)
}

// reachableShare returns the share of a service's upstreams that are not in a failure domain that
// is avoided.
func (f *fleet) reachableShare(sel *selection) float64 {
	avoided := 0
	for domain, l := range sel.service.byDomain {
		if domain != sel.domain && f.domains.suspect(sel.now, domain) {
			avoided += len(l.list)
		}
	}
	return 1 - float64(avoided)/float64(max(1, sel.service.len()))
}
