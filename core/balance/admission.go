package balance

import (
	"cmp"
	"slices"
	"time"
)

// Engines that read prompts all the time generate so slowly that streams miss their
// deadlines and what was read for them is wasted; engines without a free slot let the
// urgent wait beside the others. busiest is the part of the time for which they may read;
// all of their slots may be taken.
const (
	busiest = 0.8
	// leastAdmitted is the part of each route's requests that is taken in any case.
	leastAdmitted = 0.25
	// leastUncached is the part of a route's requests with uncached prompts that is taken in
	// any case, so that each prompt gets cached within some tries of its callers.
	leastUncached = 0.1
)

// AdmittedShare returns which part of a long route's requests like the offered one the
// upstreams that are not for quick ones can bear. Where it is not all, the most urgent
// routes come first, and within a route the requests whose shared tokens are cached.
func (p *Pools) AdmittedShare(now time.Time, o *Offer, upstreams float64) float64 {
	p.decay(now)
	left := upstreams
	for _, l := range longRoutes(p.all()) {
		demand := p.engine.asked(&l.load)
		if demand <= 0 {
			continue
		}
		part := min(1, max(leastAdmitted, left/demand))
		if l.name == o.Route {
			return p.engine.byCost(&l.load, part, o.Cached)
		}
		left = max(0, left-part*demand)
	}
	return 1
}

// RequiredEngines returns how many upstreams all long routes together ask for at the moment.
func (p *Pools) RequiredEngines(now time.Time) (sum float64) {
	p.decay(now)
	for _, l := range longRoutes(p.all()) {
		sum += p.engine.asked(&l.load)
	}
	return sum
}

// byCost divides the admitted part of a route's reading among its requests: those whose
// shared tokens are cached come first, for they cost a fraction of the others. Drawn by
// lot, engines in a burst read 1,394 uncached prompts while 2,637 cached ones were
// refused, each of which takes a quarter of the time. Where slots are what is short, all
// cost the same.
func (e *Engine) byCost(l *RouteLoad, part float64, cached bool) float64 {
	share := l.RecentCached / l.Recent
	if part == 1 || e.slots(l) >= e.reading(l) || share <= 0 || share >= 1 {
		return part
	}
	uncached := min(part, max(leastUncached, (part-share)/(1-share)))
	if !cached {
		return uncached
	}
	return min(1, (part-uncached*(1-share))/share)
}

// EachPerSecond returns how many requests a second an upstream gets on the mean.
func (p *Pools) EachPerSecond() float64 { return EachPerSecond(p.all(), &p.engine) }

// EachPerSecond returns how many requests a second an upstream gets on the mean of all.
func EachPerSecond(loads map[string]RouteLoad, e *Engine) float64 {
	if e.Count == 0 {
		return 0
	}
	return requestsOf(loads) / e.loadWindow() / e.Count
}

// LimitShare returns the part of what its peers get that an upstream takes which names a limit.
func LimitShare(perSecond, each float64) float64 {
	if each <= perSecond {
		return 1
	}
	return perSecond / each
}

// asked returns how many engines a route asks for at the moment.
func (e *Engine) asked(l *RouteLoad) float64 { return max(e.reading(l), e.slots(l)) }

// reading returns how many engines a route asks for by what is to be read for it.
func (e *Engine) reading(l *RouteLoad) float64 {
	if e.PerMS == 0 {
		return 0
	}
	return l.Recent / e.admitWindow() / (busiest * e.PerMS * 1000)
}

// slots returns how many engines a route asks for by the slots that its requests hold.
func (e *Engine) slots(l *RouteLoad) float64 {
	if e.PerMS == 0 || e.Slots == 0 {
		return 0
	}
	return l.RecentSlots / e.admitWindow() / e.Slots
}

type namedLoad struct {
	name string
	load RouteLoad
}

// longRoutes returns the loads of long routes, the most urgent first.
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
