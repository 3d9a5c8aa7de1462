package balance

import (
	"math"
	"time"

	"github.com/comfreyladder/comfreyladder/core/fairshare"
)

// Engines interleave prefill with decoding, so each long prompt lengthens the pauses between tokens
// of all streams on the engine. Requests with short prompts usually need short pauses. Pools
// separates the two: the first upstreams in an order that all instances compute identically serve
// quick requests, the others long ones, in proportion to the work of each kind. Without pools, under
// a moderate load of short questions alongside long reports, 83 to 85 in 100 questions met their
// pause limits.

// Pools decides which upstreams of a service serve quick requests. All instances use the same
// totals: one instance sees too few requests to estimate the proportion, and each would have its
// prompts cached on different upstreams. It is not safe for concurrent use.
type Pools struct {
	// local holds the loads that this instance sees, remote those of all other instances.
	local  map[string]*RouteLoad
	remote map[string]RouteLoad
	// shares divides the capacity for a route among organisations. shortAt is when a route was last short
	// of capacity.
	shares  map[string]*fairshare.Shares
	shortAt map[string]time.Time
	// decayedAt is the time to which the local loads were last decayed.
	decayedAt time.Time
	// engine is the capacity of one upstream.
	engine Engine
	// share is the target share of upstreams in the quick pool, and need the engines that each pool
	// needs, zero if unknown.
	share float64
	need  poolNeed
	// count is the current size of the quick pool, and moved when it last changed.
	count int
	moved time.Time
}

// Engine is the known capacity of a service's engines.
type Engine struct {
	// PerMS is the prefill rate in prompt tokens per millisecond, Slots the number of concurrent
	// requests, and Count the number of such engines. If PerMS or Slots is zero, only the ratio of
	// the prefill work is used.
	PerMS, Slots, Count float64
}

// windowScale returns the factor by which the time constants shrink with the number of engines.
func (e *Engine) windowScale() float64 {
	if e.Count == 0 {
		return 1
	}
	return min(1, max(minWindowScale, fullWindowEngines/e.Count))
}

// loadWindow and admitWindow return the scaled time constants of the loads and of the admission
// control, in seconds.
func (e *Engine) loadWindow() float64  { return e.windowScale() * loadWindow.Seconds() }
func (e *Engine) admitWindow() float64 { return e.windowScale() * admitWindow.Seconds() }

// RouteLoad is the load of one route, as seen by one instance or summed over several.
type RouteLoad struct {
	// Tokens counts prompt tokens, UncachedTokens those that needed prefill, and Requests the
	// requests. All are sums that decay with loadWindow.
	Tokens, UncachedTokens, Requests float64
	// SlotTime is the time for which requests hold slots, in seconds; it decays with loadWindow.
	SlotTime float64
	// Recent is the work in prompt tokens and RecentSlots the slot time in seconds, both decaying
	// with admitWindow. RecentCached is the part of Recent from requests whose shared tokens are
	// cached at their upstream.
	Recent, RecentSlots, RecentCached float64
	// MaxPause is the longest pause between events that the route permits; zero if not declared.
	MaxPause time.Duration
	// Rank is the urgency of the route: 0 for the most urgent routes, 1 for the least.
	Rank float64
}

const (
	// loadWindow is the time constant of the loads: long enough that single requests do not change
	// the pools, short enough to follow a burst.
	loadWindow = 3 * time.Second
	// admitWindow is the time constant of the admission control: a burst fills the engines' queues
	// within one or two seconds.
	admitWindow = 1500 * time.Millisecond
	// fullWindowEngines is the number of engines up to which the time constants apply in full. More
	// engines get as many requests in less time, so the time constants shrink, down to the factor
	// minWindowScale. With 78 and 112 engines this makes the pools follow a burst sooner; with 12
	// and 18, half the window yielded only noise.
	fullWindowEngines = 20.0
	minWindowScale    = 0.5
	// quickShare is the largest ratio of a quick route's mean prompt length to that of the longest
	// route. minTokenShare is the share of all tokens that a route must carry to count as that
	// longest one. A route with fewer than minRouteRequests has no meaningful mean: subtracting one
	// instance's part from a slightly older sum may leave some tokens with hardly any request.
	quickShare       = 0.4
	minTokenShare    = 0.05
	minRouteRequests = 0.5
	// quickPauseShare is the largest share of the permitted pause that the prefill of a quick
	// request may take.
	quickPauseShare = 1.0 / 6
	// quickPrefillHeadroom is the extra prefill capacity for quick requests: pauses stay short only
	// if engines spend a fraction of their time on prefill.
	quickPrefillHeadroom = 3.0
	// quickSlotHeadroom is the ratio of slots to the mean number in use by quick requests: arrivals
	// are uneven, and a request that finds no free slot is already late.
	quickSlotHeadroom = 1.4
	// decodeCostTokens is the cost of generating an answer, in equivalent prompt tokens.
	decodeCostTokens = 800.0
	// minQuickShare is the lowest share of upstreams for quick requests if these are frequent, so
	// that a burst of uncached long prompts does not crowd them out.
	minQuickShare = 0.2
	// minSampleRequests is the number of requests from which a load is representative.
	minSampleRequests = 20
	// minResize and minResizeShare are the smallest deviations from the ideal pool size, as a number
	// and as a share of all upstreams, that change it; resizeInterval is the minimum time between
	// two changes.
	minResize      = 0.8
	minResizeShare = 0.04
	resizeInterval = 400 * time.Millisecond
	// poolSeed is the rendezvous seed of the pool order, distinct from that of prompts.
	poolSeed = 1
)

// NewPools returns pools without any recorded load.
func NewPools() *Pools {
	return &Pools{local: map[string]*RouteLoad{}, shares: map[string]*fairshare.Shares{}, shortAt: map[string]time.Time{}, share: minQuickShare}
}

// SetEngine sets the capacity of one upstream.
func (p *Pools) SetEngine(e Engine) { p.engine = e }

// Offer is an incoming request, whether or not it is admitted.
type Offer struct {
	Route string
	// Organisation is who asks, empty if that is not known.
	Organisation string
	// Tokens is the length of its prompt, and UncachedTokens the number of those tokens that need
	// prefill.
	Tokens, UncachedTokens int
	// Cached says that its upstream has the shared tokens cached or can fetch them.
	Cached bool
	// SlotTime is how long it is expected to hold a slot.
	SlotTime time.Duration
	// MaxPause is the longest pause between events that it permits; zero if not declared.
	MaxPause time.Duration
	// Rank is the urgency of its route: 0 for the most urgent routes, 1 for the least.
	Rank float64
}

// Record adds an incoming request to the local loads.
func (p *Pools) Record(now time.Time, o *Offer) {
	p.decay(now)
	l := p.local[o.Route]
	if l == nil {
		l = &RouteLoad{}
		p.local[o.Route] = l
	}
	l.Tokens += float64(o.Tokens)
	l.UncachedTokens += float64(o.UncachedTokens)
	l.Requests++
	l.SlotTime += o.SlotTime.Seconds()
	l.Recent += o.Work()
	p.routeShares(o.Route).Add(o.Organisation, o.Work())
	l.RecentSlots += o.SlotTime.Seconds()
	if o.Cached {
		l.RecentCached += o.Work()
	}
	l.MaxPause, l.Rank = o.MaxPause, o.Rank
	p.updateShare()
}

// Work returns the work of a request, in prompt tokens.
func (o *Offer) Work() float64 { return float64(o.UncachedTokens) + decodeCostTokens }

func (p *Pools) decay(now time.Time) {
	if p.decayedAt.IsZero() {
		p.decayedAt = now
	}
	f := math.Exp(-now.Sub(p.decayedAt).Seconds() / p.engine.loadWindow())
	fast := math.Exp(-now.Sub(p.decayedAt).Seconds() / p.engine.admitWindow())
	p.decayedAt = now
	for name, l := range p.local {
		l.Recent *= fast
		l.RecentSlots *= fast
		l.RecentCached *= fast
		l.Tokens *= f
		l.UncachedTokens *= f
		l.SlotTime *= f
		l.Requests *= f
		if l.Requests < 0.01 {
			delete(p.local, name)
			delete(p.shares, name)
			continue
		}
		p.routeShares(name).Decay(fast)
	}
}

// LocalLoads returns the loads that this instance sees, by route.
func (p *Pools) LocalLoads(now time.Time) map[string]*RouteLoad {
	p.decay(now)
	return p.local
}

// SetRemoteLoads sets the loads that all other instances see, by route.
func (p *Pools) SetRemoteLoads(loads map[string]RouteLoad) {
	p.remote = loads
	p.updateShare()
}

// totalLoads returns the loads of all instances, by route.
func (p *Pools) totalLoads() map[string]RouteLoad {
	sum := make(map[string]RouteLoad, len(p.local)+len(p.remote))
	for name, l := range p.remote {
		sum[name] = l
	}
	for name, l := range p.local {
		s := sum[name]
		s.Tokens += l.Tokens
		s.UncachedTokens += l.UncachedTokens
		s.Requests += l.Requests
		s.SlotTime += l.SlotTime
		s.Recent += l.Recent
		s.RecentSlots += l.RecentSlots
		s.RecentCached += l.RecentCached
		s.MaxPause, s.Rank = l.MaxPause, l.Rank
		sum[name] = s
	}
	return sum
}

// Quick reports whether a request is quick: its route's prompts are short compared with those of the
// route with the longest ones. Until enough requests were seen, a request is quick if its prefill,
// at perMS tokens per millisecond, takes a small share of the pause that it permits.
func (p *Pools) Quick(o *Offer, perMS float64) bool {
	loads := p.totalLoads()
	l, known := loads[o.Route]
	if !known || totalRequests(loads) < minSampleRequests {
		return float64(o.Tokens)/perMS < quickPauseShare*float64(o.MaxPause.Milliseconds())
	}
	return quick(&l, longest(loads))
}

// longest returns the mean prompt length of the route with the longest prompts, among the routes
// that carry a significant share of all tokens.
func longest(loads map[string]RouteLoad) float64 {
	tokens, most := 0.0, 0.0
	for _, l := range loads {
		tokens += l.Tokens
	}
	for _, l := range loads {
		if l.Tokens > minTokenShare*tokens && l.Requests >= minRouteRequests {
			most = max(most, l.Tokens/l.Requests)
		}
	}
	return most
}

func quick(l *RouteLoad, longest float64) bool {
	return l.MaxPause > 0 && l.Tokens/l.Requests < quickShare*longest
}

func totalRequests(loads map[string]RouteLoad) float64 {
	sum := 0.0
	for _, l := range loads {
		sum += l.Requests
	}
	return sum
}

// updateShare recomputes the target share of upstreams for quick requests.
func (p *Pools) updateShare() {
	loads := p.totalLoads()
	requests := totalRequests(loads)
	if requests < minSampleRequests {
		// A few requests do not reveal the proportion; an instance that sized the pools by them
		// would have its prompts cached on other upstreams than its peers.
		p.share, p.need = minQuickShare, poolNeed{}
		return
	}
	demands := demandsByRank(loads, &p.engine)
	p.share = quickEngineShare(demands, p.engine.Count)
	p.need = needOf(demands, &p.engine)
	if p.share > 0 {
		p.share = max(p.share, min(minQuickShare, quickRequests(loads)/requests/2))
	}
}

// quickRequests returns the number of quick requests.
func quickRequests(loads map[string]RouteLoad) float64 {
	most, sum := longest(loads), 0.0
	for _, l := range loads {
		if quick(&l, most) {
			sum += l.Requests
		}
	}
	return sum
}

// resize returns the size of the quick pool. It moves halfway towards the target at a time and
// ignores small deviations, because an upstream that changes pools loses its cached prompts. For the
// same reason it stays as it is while both pools have engines to spare: in proportion to a light load,
// each instance would move it on its own, and send prompts where they are not cached.
func (p *Pools) resize(now time.Time, upstreams int) int {
	target := p.share * float64(upstreams)
	if p.count == 0 || p.count >= upstreams {
		p.count, p.moved = clamp(int(math.Round(target)), upstreams), now
		return p.count
	}
	if p.need.amply(p.count, upstreams) {
		return p.count
	}
	deviation := target - float64(p.count)
	if math.Abs(deviation) > max(minResize, minResizeShare*float64(upstreams)) && now.Sub(p.moved) > resizeInterval {
		step := int(math.Round(deviation / 2))
		if step == 0 {
			step = int(math.Copysign(1, deviation))
		}
		p.count, p.moved = clamp(p.count+step, upstreams), now
	}
	return p.count
}

// clamp leaves at least one upstream in each pool.
func clamp(count, upstreams int) int { return min(upstreams-1, max(1, count)) }

// QuickCount returns how many upstreams are in the quick pool: the first ones in the pool order of
// an Index. It returns zero if there is only one upstream or if all requests are alike.
func (p *Pools) QuickCount(now time.Time, upstreams int) int {
	if p.share == 0 || upstreams < 2 {
		return 0
	}
	return p.resize(now, upstreams)
}
