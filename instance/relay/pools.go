package relay

import (
	"math/rand/v2"
	"time"

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

// engineRateOf returns the measurements of a service. The caller holds mu.
func (f *fleet) engineRateOf(service string) *engineRate {
	p := f.engineRates[service]
	if p == nil {
		p = &engineRate{routes: map[string]*balance.SlotTime{}}
		f.engineRates[service] = p
	}
	return p
}

// assignPool returns the upstreams of the quick pool and sets whether the request belongs to it.
func (f *fleet) assignPool(r *request, list []*upstream, now time.Time) (quick map[string]bool) {
	if r.tokens == 0 {
		return nil
	}
	p := f.poolsOf(r.service)
	f.ids = f.ids[:0]
	slots := 0
	for _, u := range list {
		f.ids = append(f.ids, u.id)
		slots += u.slots
	}
	p.SetEngine(balance.Engine{PerMS: f.engineRateOf(r.service).rate.PerMS(), Slots: float64(slots) / float64(max(1, len(list))), Count: float64(len(list))})
	quick = p.Split(now, f.ids)
	if len(quick) != f.quickCount[r.service] {
		f.quickCount[r.service] = len(quick)
		f.log.Event("pools").Str("service", r.service).Int("quick", int64(len(quick))).Int("upstreams", int64(len(list))).
			Int("tokens_per_s", int64(1000*f.engineRateOf(r.service).rate.PerMS())).End()
	}
	o := r.offer()
	r.quick = p.Quick(&o, f.engineRateOf(r.service).rate.PerMS())
	return quick
}

// offer describes the request to the pools.
func (r *request) offer() balance.Offer {
	return balance.Offer{Route: r.route.Name, Tokens: r.tokens, MaxPause: r.route.MaxPause, Rank: r.rank}
}

// poolsOf returns the pools of a service. The caller holds mu.
func (f *fleet) poolsOf(service string) *balance.Pools {
	p := f.pools[service]
	if p == nil {
		p = balance.NewPools()
		f.pools[service] = p
	}
	return p
}

// recordAndShed records a request in the load statistics, once, and decides whether it is shed.
func (f *fleet) recordAndShed(r *request, q *balance.Request, c balance.Choice, now time.Time) {
	if r.recorded {
		return
	}
	r.recorded = true
	p := f.pools[r.service]
	o := r.offer()
	chosen := &f.scratch[c.Index]
	o.UncachedTokens = int(balance.UncachedTokens(chosen, q))
	o.Cached = chosen.Fetchable || chosen.CachedShare > 0 || r.sharedTokens == 0
	o.SlotTime = f.engineRateOf(r.service).routeSlotTime(r.route.Name).Duration()
	p.Record(now, &o)
	if r.quick {
		return
	}
	availableEngines := 0.0
	for i := range f.scratch {
		switch u := &f.scratch[i]; {
		case u.OtherPool || u.Suspect:
		case u.LimitShare > 0:
			availableEngines += u.LimitShare / max(1, u.Slowness)
		case !u.Excluded:
			availableEngines += 1 / max(1, u.Slowness)
		}
	}
	share := p.AdmittedShare(now, &o, availableEngines)
	r.shed = share < 1 && rand.Float64() > share
	if r.shed {
		r.admission = admission{share: share, availableEngines: availableEngines, requiredEngines: p.RequiredEngines(now), cached: o.Cached}
	}
}
