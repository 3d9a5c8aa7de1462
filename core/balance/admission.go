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
)

// Admitted returns which part of a long route's requests the upstreams that are not
// for quick ones can bear. Where it is not all, the most urgent routes come first.
func (p *Pools) Admitted(now time.Time, route string, upstreams float64) float64 {
	p.decay(now)
	left := upstreams
	for _, l := range longRoutes(p.all()) {
		demand := p.engine.asked(&l.load)
		if demand <= 0 {
			continue
		}
		part := min(1, max(leastAdmitted, left/demand))
		if l.name == route {
			return part
		}
		left = max(0, left-part*demand)
	}
	return 1
}

// asked returns how many engines a route asks for at the moment.
func (e *Engine) asked(l *RouteLoad) float64 {
	if e.PerMS == 0 {
		return 0
	}
	reading := l.Recent / haste.Seconds() / (busiest * e.PerMS * 1000)
	if e.Slots == 0 {
		return reading
	}
	return max(reading, l.RecentSlots/haste.Seconds()/e.Slots)
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
		return cmp.Or(cmp.Compare(a.load.Place, b.load.Place), cmp.Compare(a.name, b.name))
	})
	return list
}
