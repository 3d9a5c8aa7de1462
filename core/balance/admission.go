package balance

import (
	"cmp"
	"slices"
	"time"

	"github.com/comfreyladder/comfreyladder/core/fairshare"
)

// An engine that spends all its time on prefill decodes so slowly that streams miss their deadlines
// and the prefill done for them is wasted. An engine without a free slot makes urgent requests wait
// along with the others. maxPrefillShare is therefore the share of time that an engine may spend on
// prefill; all of its slots may be in use.
const (
	maxPrefillShare = 0.8
	// minAdmittedShare is the share of each route's requests that is always admitted.
	minAdmittedShare = 0.25
	// minUncachedShare is the share of a route's requests with uncached prompts that is always
	// admitted, so that each prompt gets cached after a few retries.
	minUncachedShare = 0.1
)

// AdmittedShare returns the share of requests like the given one, on a route with long prompts, that
// the given number of upstreams outside the quick pool can serve. Under overload, more urgent routes
// are admitted first, and within a route the requests whose shared tokens are cached.
func (p *Pools) AdmittedShare(now time.Time, o *Offer, upstreams float64) float64 {
	p.decay(now)
	remaining := upstreams
	for _, l := range longRoutes(p.totalLoads()) {
		demand := p.engine.requiredEngines(&l.load)
		if demand <= 0 {
			continue
		}
		admitted := min(1, max(minAdmittedShare, remaining/demand))
		if l.name == o.Route {
			admitted = p.organisationShare(now, o, l.load.Recent, admitted)
			return p.engine.admittedByCacheState(&l.load, admitted, o.Cached)
		}
		remaining = max(0, remaining-admitted*demand)
	}
	return 1
}

const (
	// shortageMemory is how long after a shortage the demand by organisation is reported.
	shortageMemory = 1500 * time.Millisecond
	// maxReported bounds the organisations whose demand on a route is reported to other instances.
	maxReported = 32
)

// organisationShare returns the admitted share of the requests of an organisation, of those of a route of
// which the given share is admitted.
func (p *Pools) organisationShare(now time.Time, o *Offer, demand, admitted float64) float64 {
	if admitted >= 1 {
		return 1
	}
	p.shortAt[o.Route] = now
	return p.routeShares(o.Route).Admitted(now, o.Organisation, o.Work(), demand, admitted)
}

func (p *Pools) routeShares(route string) *fairshare.Shares {
	s := p.shares[route]
	if s == nil {
		s = fairshare.New()
		p.shares[route] = s
	}
	return s
}

// OrganisationDemand returns the local demand by organisation of the routes that are, or were a moment ago, short of
// capacity, for the other instances.
func (p *Pools) OrganisationDemand(now time.Time) map[string]fairshare.Demand {
	var out map[string]fairshare.Demand
	for route, at := range p.shortAt {
		if now.Sub(at) > shortageMemory {
			delete(p.shortAt, route)
			continue
		}
		if out == nil {
			out = map[string]fairshare.Demand{}
		}
		out[route] = p.routeShares(route).Largest(maxReported)
	}
	return out
}

// SetRemoteDemand sets the demand by organisation that all other instances report.
func (p *Pools) SetRemoteDemand(now time.Time, demand map[string]fairshare.Demand) {
	for route, d := range demand {
		p.routeShares(route).SetRemote(now, d)
	}
}

// RequiredEngines returns how many upstreams the current load of all routes with long prompts
// requires.
func (p *Pools) RequiredEngines(now time.Time) (sum float64) {
	p.decay(now)
	for _, l := range longRoutes(p.totalLoads()) {
		sum += p.engine.requiredEngines(&l.load)
	}
	return sum
}

// admittedByCacheState splits the admitted share of a route's prefill between cached and uncached
// requests. Cached requests come first because they cost a fraction of the others: with random
// admission, engines in a burst prefilled 1,394 uncached prompts while 2,637 cached ones, each a
// quarter of the work, were refused. Where slots are the bottleneck, all requests cost the same and
// get the same share.
func (e *Engine) admittedByCacheState(l *RouteLoad, admitted float64, cached bool) float64 {
	share := l.RecentCached / l.Recent
	if admitted == 1 || e.slotEngines(l) >= e.prefillEngines(l) || share <= 0 || share >= 1 {
		return admitted
	}
	uncached := min(admitted, max(minUncachedShare, (admitted-share)/(1-share)))
	if !cached {
		return uncached
	}
	return min(1, (admitted-uncached*(1-share))/share)
}

// EachPerSecond returns the mean request rate of an upstream, in requests per second.
func (p *Pools) EachPerSecond() float64 { return EachPerSecond(p.totalLoads(), &p.engine) }

// EachPerSecond returns the mean request rate of an upstream under the given loads, in requests per
// second.
func EachPerSecond(loads map[string]RouteLoad, e *Engine) float64 {
	if e.Count == 0 {
		return 0
	}
	return totalRequests(loads) / e.loadWindow() / e.Count
}

// LimitShare returns the share of its peers' request rate that an upstream with a rate limit of
// perSecond accepts.
func LimitShare(perSecond, each float64) float64 {
	if each <= perSecond {
		return 1
	}
	return perSecond / each
}

// requiredEngines returns how many engines a route's current load requires.
func (e *Engine) requiredEngines(l *RouteLoad) float64 {
	return max(e.prefillEngines(l), e.slotEngines(l))
}

// prefillEngines returns how many engines a route's prefill work requires.
func (e *Engine) prefillEngines(l *RouteLoad) float64 {
	if e.PerMS == 0 {
		return 0
	}
	return l.Recent / e.admitWindow() / (maxPrefillShare * e.PerMS * 1000)
}

// slotEngines returns how many engines a route requires for the slots that its requests hold.
func (e *Engine) slotEngines(l *RouteLoad) float64 {
	if e.PerMS == 0 || e.Slots == 0 {
		return 0
	}
	return l.RecentSlots / e.admitWindow() / e.Slots
}

type namedLoad struct {
	name string
	load RouteLoad
}

// longRoutes returns the loads of the routes with long prompts, most urgent first.
func longRoutes(loads map[string]RouteLoad) (list []namedLoad) {
	most := longest(loads)
	for name, l := range loads {
		if !quick(&l, most) {
			list = append(list, namedLoad{name, l})
		}
	}
	slices.SortFunc(list, func(a, b namedLoad) int {
		return cmp.Or(cmp.Compare(a.load.Rank, b.load.Rank), cmp.Compare(a.name, b.name))
	})
	return list
}
