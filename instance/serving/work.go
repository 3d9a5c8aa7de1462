package serving

import (
	"time"

	"github.com/comfreyladder/comfreyladder/core/balance"
	"github.com/comfreyladder/comfreyladder/core/wire"
)

// Load is what one instance, or several, have under way at an upstream. Upstreams' own
// reports lag and cost; what was sent to them is known at once.
type Load struct {
	wire.Array
	// ID is empty: Begun names the upstream. It keeps its place for instances of another
	// version.
	ID string
	// Active counts requests, QueuedTokens the prompt tokens that wait to be read for them,
	// UsedTokens those that they hold in memory.
	Active, QueuedTokens, UsedTokens int
	// FirstIndex names the incarnation, by the log index at which it was first heard of: a third
	// of the bytes of its ID, several times a second to each instance.
	FirstIndex uint64
}

func (l *Load) add(o *Load, sign int) {
	l.Active = max(0, l.Active+sign*o.Active)
	l.QueuedTokens = max(0, l.QueuedTokens+sign*o.QueuedTokens)
	l.UsedTokens = max(0, l.UsedTokens+sign*o.UsedTokens)
}

// RouteLoad is what one instance, or several, see of a route's requests to a service: the
// fields of balance.RouteLoad in whole numbers.
type RouteLoad struct {
	wire.Array
	Service, Route string
	// Tokens, UncachedTokens and Recent are prompt tokens, Requests thousandths of one.
	Tokens, UncachedTokens, Requests, Recent int
	// SlotTime and RecentSlots are in milliseconds.
	SlotTime, RecentSlots int
	// MaxPause is in milliseconds, Rank in hundredths; they are the route's, not added up.
	MaxPause, Rank int
	// RecentCached is the part of Recent for requests whose shared tokens are cached.
	RecentCached int
	// PerMS is how many prompt tokens an engine reads in a millisecond, in hundredths, as
	// instances have learned it: the mean over their requests.
	PerMS int
}

// Loads travel in whole numbers: requests in thousandths, times in milliseconds, ranks and
// paces in hundredths.
const (
	requestUnit = 1000
	millis      = 1000
	hundredths  = 100
)

// RouteLoadOf returns a load in the form in which it travels.
func RouteLoadOf(service, route string, l *balance.RouteLoad, perMS float64) RouteLoad {
	return RouteLoad{
		Service: service, Route: route, Tokens: int(l.Tokens), UncachedTokens: int(l.UncachedTokens), Requests: int(l.Requests * requestUnit), Recent: int(l.Recent),
		SlotTime: int(l.SlotTime * millis), RecentSlots: int(l.RecentSlots * millis),
		RecentCached: int(l.RecentCached), MaxPause: int(l.MaxPause.Milliseconds()), Rank: int(l.Rank * hundredths), PerMS: int(perMS * hundredths),
	}
}

// Load returns the load that was told.
func (l *RouteLoad) Load() balance.RouteLoad {
	return balance.RouteLoad{
		Tokens: float64(l.Tokens), UncachedTokens: float64(l.UncachedTokens), Requests: float64(l.Requests) / requestUnit, Recent: float64(l.Recent),
		SlotTime: float64(l.SlotTime) / millis, RecentSlots: float64(l.RecentSlots) / millis,
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

// Work is what one instance, or several, have under way and see coming.
type Work struct {
	Loads  []Load      `codec:"l,omitempty"`
	Routes []RouteLoad `codec:"r,omitempty"`
}

func (w *Work) empty() bool { return len(w.Loads)+len(w.Routes) == 0 }

// subtract takes off the part of one instance. A sum that was made before its latest
// report may lack something of it, so nothing falls below zero.
func (w *Work) subtract(part *Work) {
	s := newSum()
	s.add(w, 1)
	s.add(part, -1)
	*w = s.work()
}

type routeKey struct{ service, route string }

// sum adds up work.
type sum struct {
	loads  map[uint64]*Load
	routes map[routeKey]*RouteLoad
}

func newSum() sum { return sum{map[uint64]*Load{}, map[routeKey]*RouteLoad{}} }

// add adds work, or with a sign of -1 takes it off.
func (s sum) add(w *Work, sign int) {
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
}

// addAll adds the reports that are not too old, and forgets the others.
func (s sum) addAll(now time.Time, reports map[string]loadReport) {
	for name, r := range reports {
		if now.Sub(r.at) > loadsAge {
			delete(reports, name)
			continue
		}
		s.add(&r.work, 1)
	}
}

// work returns the sum, without what is nothing.
func (s sum) work() (w Work) {
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
	return w
}
