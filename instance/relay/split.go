package relay

import (
	"math/rand/v2"
	"time"

	"github.com/comfreyladder/comfreyladder/core/balance"
)

// pace is what this instance has learned of a service's engines: how fast they read, and
// for how long requests hold their slots, by what the engines are for and by route.
type pace struct {
	rate        balance.Rate
	quick, long balance.SlotTime
	routes      map[string]*balance.SlotTime
}

// residence returns the mean of the engines for quick requests, or of the others.
func (p *pace) residence(quick bool) *balance.SlotTime {
	if quick {
		return &p.quick
	}
	return &p.long
}

// route returns the mean of a route's requests.
func (p *pace) route(name string) *balance.SlotTime {
	r := p.routes[name]
	if r == nil {
		r = &balance.SlotTime{}
		p.routes[name] = r
	}
	return r
}

// pace needs mu.
func (f *fleet) pace(service string) *pace {
	p := f.paces[service]
	if p == nil {
		p = &pace{routes: map[string]*balance.SlotTime{}}
		f.paces[service] = p
	}
	return p
}

// split says which upstreams are for quick requests, and notes whether this is one.
func (f *fleet) split(r *request, list []*upstream, now time.Time) (quick map[string]bool) {
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
	p.SetEngine(balance.Engine{PerMS: f.pace(r.service).rate.PerMS(), Slots: float64(slots) / float64(max(1, len(list))), Count: float64(len(list))})
	quick = p.Split(now, f.ids)
	if len(quick) != f.quickCount[r.service] {
		f.quickCount[r.service] = len(quick)
		f.log.Event("pools").Str("service", r.service).Int("quick", int64(len(quick))).Int("upstreams", int64(len(list))).
			Int("tokens_per_s", int64(1000*f.pace(r.service).rate.PerMS())).End()
	}
	o := r.offer()
	r.quick = p.Quick(&o, f.pace(r.service).rate.PerMS())
	return quick
}

// offer describes the request to the pools.
func (r *request) offer() balance.Offer {
	return balance.Offer{Route: r.route.Name, Tokens: r.tokens, MaxPause: r.route.MaxPause, Rank: r.rank}
}

// poolsOf returns the pools of a service; it needs mu.
func (f *fleet) poolsOf(service string) *balance.Pools {
	p := f.pools[service]
	if p == nil {
		p = balance.NewPools()
		f.pools[service] = p
	}
	return p
}

// offer counts a request, once, and decides whether it is among those that can't be
// borne.
func (f *fleet) offer(r *request, q *balance.Request, c balance.Choice, now time.Time) {
	if r.offered {
		return
	}
	r.offered = true
	p := f.pools[r.service]
	o := r.offer()
	chosen := &f.scratch[c.Index]
	o.UncachedTokens = int(balance.UncachedTokens(chosen, q))
	o.Cached = chosen.Fetchable || chosen.CachedShare > 0 || r.shared == 0
	o.SlotTime = f.pace(r.service).route(r.route.Name).Duration()
	p.Record(now, &o)
	if r.quick {
		return
	}
	able := 0.0
	for i := range f.scratch {
		switch u := &f.scratch[i]; {
		case u.OtherPool || u.Suspect:
		case u.LimitShare > 0:
			able += u.LimitShare / max(1, u.Slowness)
		case !u.Excluded:
			able += 1 / max(1, u.Slowness)
		}
	}
	part := p.AdmittedShare(now, &o, able)
	r.shed = part < 1 && rand.Float64() > part
	if r.shed {
		r.admission = admission{part: part, able: able, asked: p.RequiredEngines(now), cached: o.Cached}
	}
}
