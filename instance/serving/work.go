package serving

import (
	"cmp"
	"slices"
	"time"

	"github.com/comfreyladder/comfreyladder/core/balance"
	"github.com/comfreyladder/comfreyladder/core/wire"
)

// Load is the work in flight of one or several instances at an upstream. It is counted by
// the instances: reports of the upstreams lag and cost, while what was sent to them is known
// at once.
type Load struct {
	wire.Array
	// ID is empty: FirstIndex identifies the upstream. The field keeps its place in the encoded
	// array for instances of other versions.
	ID string
	// Active counts requests, QueuedTokens their prompt tokens that wait for prefill, and
	// UsedTokens the tokens that they hold in memory.
	Active, QueuedTokens, UsedTokens int
	// FirstIndex identifies the incarnation by the log index at which it was registered. That
	// takes a third of the bytes of its ID, several times a second to each instance.
	FirstIndex uint64
}

func (l *Load) add(o *Load, sign int) {
	l.Active = max(0, l.Active+sign*o.Active)
	l.QueuedTokens = max(0, l.QueuedTokens+sign*o.QueuedTokens)
	l.UsedTokens = max(0, l.UsedTokens+sign*o.UsedTokens)
}

// RouteLoad is the load of a route on a service as seen by one or several instances: the
// fields of balance.RouteLoad as integers.
type RouteLoad struct {
	wire.Array
	Service, Route string
	// Tokens, UncachedTokens and Recent are in prompt tokens, Requests in thousandths of a request.
	Tokens, UncachedTokens, Requests, Recent int
	// SlotTime and RecentSlots are in milliseconds.
	SlotTime, RecentSlots int
	// MaxPause is in milliseconds, Rank in hundredths. They belong to the route and are not added up.
	MaxPause, Rank int
	// RecentCached is the part of Recent from requests whose shared tokens are cached.
	RecentCached int
	// PerMS is the number of prompt tokens that an engine prefills per millisecond, in hundredths,
	// as measured by the instances: the mean over their requests.
	PerMS int
}

// Loads are encoded as integers: requests in thousandths, times in milliseconds, ranks and
// prefill rates in hundredths.
const (
	requestsScale   = 1000
	millisPerSecond = 1000
	hundredths      = 100
)

// RouteLoadOf converts a load to its encoded form.
func RouteLoadOf(service, route string, l *balance.RouteLoad, perMS float64) RouteLoad {
	return RouteLoad{
		Service: service, Route: route, Tokens: int(l.Tokens), UncachedTokens: int(l.UncachedTokens), Requests: int(l.Requests * requestsScale), Recent: int(l.Recent),
		SlotTime: int(l.SlotTime * millisPerSecond), RecentSlots: int(l.RecentSlots * millisPerSecond),
		RecentCached: int(l.RecentCached), MaxPause: int(l.MaxPause.Milliseconds()), Rank: int(l.Rank * hundredths), PerMS: int(perMS * hundredths),
	}
}

// Load converts a load from its encoded form.
func (l *RouteLoad) Load() balance.RouteLoad {
	return balance.RouteLoad{
		Tokens: float64(l.Tokens), UncachedTokens: float64(l.UncachedTokens), Requests: float64(l.Requests) / requestsScale, Recent: float64(l.Recent),
		SlotTime: float64(l.SlotTime) / millisPerSecond, RecentSlots: float64(l.RecentSlots) / millisPerSecond,
		RecentCached: float64(l.RecentCached), MaxPause: time.Duration(l.MaxPause) * time.Millisecond, Rank: float64(l.Rank) / hundredths,
	}
}

func (l *RouteLoad) add(o *RouteLoad, sign int) {
	if all := l.Requests + o.Requests; sign > 0 && all > 0 {
		l.PerMS = (l.PerMS*l.Requests + o.PerMS*o.Requests) / all
	}
	l.Tokens = max(0, l.Tokens+sign*o.Tokens)
	l.UncachedTokens = max(0, l.UncachedTokens+sign*o.UncachedTokens)
	l.Requests = max(0, l.Requests+sign*o.Requests)
	l.Recent = max(0, l.Recent+sign*o.Recent)
	l.SlotTime = max(0, l.SlotTime+sign*o.SlotTime)
	l.RecentSlots = max(0, l.RecentSlots+sign*o.RecentSlots)
	l.RecentCached = max(0, l.RecentCached+sign*o.RecentCached)
	l.MaxPause, l.Rank = o.MaxPause, o.Rank
}

// OrganisationLoad is what an organisation recently asked of a route, in prompt tokens, as seen by one or several
// instances. It is included only for the largest organisations of a route that is short of capacity.
type OrganisationLoad struct {
	wire.Array
	Service, Route, Organisation string
	Recent                       int
}

// Work is the current and expected work of one or several instances.
type Work struct {
	Loads  []Load      `codec:"l,omitempty"`
	Routes []RouteLoad `codec:"r,omitempty"`
	// Organisations is unknown to instances of an older build, which ignore it.
	Organisations []OrganisationLoad `codec:"o,omitempty"`
	// Overloaded counts the instances that have too little CPU time for many of their requests. Instances of an
	// older build ignore it.
	Overloaded int `codec:"c,omitempty"`
}

// maxOrganisations bounds the organisations in a sum, for all routes together: the largest ones are kept.
const maxOrganisations = 128

func (w *Work) empty() bool { return len(w.Loads)+len(w.Routes)+w.Overloaded == 0 }

// subtract removes the work of one instance. A sum that was computed before the instance's
// latest report may lack some of it, so no value falls below zero.
func (w *Work) subtract(part *Work) {
	s := newSum()
	s.add(w, 1)
	s.add(part, -1)
	*w = s.work()
}

type (
	routeKey        struct{ service, route string }
	organisationKey struct {
		routeKey
		organisation string
	}
)

// sum accumulates work.
type sum struct {
	loads  map[uint64]*Load
	routes map[routeKey]*RouteLoad
	// organisations holds recent work in prompt tokens.
	organisations map[organisationKey]int
	overloaded    int
}

func newSum() *sum {
	return &sum{loads: map[uint64]*Load{}, routes: map[routeKey]*RouteLoad{}, organisations: map[organisationKey]int{}}
}

// add adds work, or subtracts it if sign is -1.
func (s *sum) add(w *Work, sign int) {
	s.overloaded = max(0, s.overloaded+sign*w.Overloaded)
	for i := range w.Loads {
		l := &w.Loads[i]
		if s.loads[l.FirstIndex] == nil {
			s.loads[l.FirstIndex] = &Load{FirstIndex: l.FirstIndex}
		}
		s.loads[l.FirstIndex].add(l, sign)
	}
	for i := range w.Routes {
		l := &w.Routes[i]
		key := routeKey{l.Service, l.Route}
		if s.routes[key] == nil {
			s.routes[key] = &RouteLoad{Service: l.Service, Route: l.Route}
		}
		s.routes[key].add(l, sign)
	}
	for i := range w.Organisations {
		l := &w.Organisations[i]
		key := organisationKey{routeKey{l.Service, l.Route}, l.Organisation}
		s.organisations[key] = max(0, s.organisations[key]+sign*l.Recent)
	}
}

// addAll adds the reports that are at most maxLoadAge old and deletes the others.
func (s *sum) addAll(now time.Time, reports map[string]loadReport) {
	for name, r := range reports {
		if now.Sub(r.at) > maxLoadAge {
			delete(reports, name)
			continue
		}
		s.add(&r.work, 1)
	}
}

// work returns the sum without empty entries.
func (s *sum) work() (w Work) {
	w.Overloaded = s.overloaded
	for _, l := range s.loads {
		if l.Active+l.QueuedTokens+l.UsedTokens > 0 {
			w.Loads = append(w.Loads, *l)
		}
	}
	for _, l := range s.routes {
		if l.Requests > 0 {
			w.Routes = append(w.Routes, *l)
		}
	}
	for key, recent := range s.organisations {
		if recent > 0 {
			w.Organisations = append(w.Organisations, OrganisationLoad{Service: key.service, Route: key.route, Organisation: key.organisation, Recent: recent})
		}
	}
	if len(w.Organisations) > maxOrganisations {
		slices.SortFunc(w.Organisations, func(a, b OrganisationLoad) int { return cmp.Compare(b.Recent, a.Recent) })
		w.Organisations = w.Organisations[:maxOrganisations]
	}
	return w
}
