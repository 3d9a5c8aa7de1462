package relay

import (
	"time"

	"github.com/comfreyladder/comfreyladder/core/balance"
	servingsvc "github.com/comfreyladder/comfreyladder/instance/serving"
)

// maxPlaced bounds the prompts that wait for the next report.
const maxPlaced = 1024

// othersAge is for how long the loads of other instances count.
const othersAge = 2 * time.Second

func (f *fleet) takeReport(r *servingsvc.Report) {
	f.mu.Lock()
	defer f.mu.Unlock()
	clear(f.others)
	for _, l := range r.Work.Loads {
		f.others[l.Begun] = l
	}
	routes := map[string]map[string]balance.RouteLoad{}
	for i := range r.Work.Routes {
		l := &r.Work.Routes[i]
		if routes[l.Service] == nil {
			routes[l.Service] = map[string]balance.RouteLoad{}
		}
		routes[l.Service][l.Route] = loadOfRoute(l)
	}
	f.othersAt = time.Now()
	for _, p := range r.Placed {
		// What was placed at an incarnation that has ended since is kept nowhere.
		if u := f.upstreams[p.Upstream]; u != nil && u.begun == p.Begun {
			u.kept.Note(f.othersAt, p.Prompt)
		}
	}
	for service, loads := range routes {
		f.poolsOf(service).SetOthers(loads)
	}
	for service, p := range f.pools {
		if routes[service] == nil {
			p.SetOthers(nil)
		}
	}
}

// Loads travel in whole numbers: requests in thousandths, answers in hundredths, times in
// milliseconds, places in hundredths.
const (
	requestUnit = 1000
	answerUnit  = 100
	millis      = 1000
	placeUnit   = 100
)

func loadOfRoute(l *servingsvc.RouteLoad) balance.RouteLoad {
	return balance.RouteLoad{
		Tokens: float64(l.Tokens), Unread: float64(l.Unread), Requests: float64(l.Requests) / requestUnit, Recent: float64(l.Recent),
		SlotTime: float64(l.SlotTime) / millis, RecentSlots: float64(l.RecentSlots) / millis,
		RecentCached: float64(l.RecentCached), Gap: time.Duration(l.Gap) * time.Millisecond, Place: float64(l.Place) / placeUnit,
	}
}

func routeLoad(service, name string, l *balance.RouteLoad) servingsvc.RouteLoad {
	return servingsvc.RouteLoad{
		Service: service, Route: name, Tokens: int(l.Tokens), Unread: int(l.Unread), Requests: int(l.Requests * requestUnit), Recent: int(l.Recent),
		SlotTime: int(l.SlotTime * millis), RecentSlots: int(l.RecentSlots * millis),
		RecentCached: int(l.RecentCached), Gap: int(l.Gap.Milliseconds()), Place: int(l.Place * placeUnit),
	}
}

// load returns what is under way at an upstream, and what was observed; it needs the
// fleet's mutex.
func (u *upstream) load(now time.Time) servingsvc.Load {
	u.mu.Lock()
	o := u.observer.Sums(now)
	u.mu.Unlock()
	return servingsvc.Load{
		Begun: u.begun, Active: u.active, Reading: u.reading, Held: u.held,
		Answers: int(o.Answers * answerUnit), Failures: int(o.Failures * answerUnit), Predicted: int(o.Predicted), Took: int(o.Took),
	}
}

func observedOf(l *servingsvc.Load) balance.Observed {
	return balance.Observed{
		Answers: float64(l.Answers) / answerUnit, Failures: float64(l.Failures) / answerUnit, Predicted: float64(l.Predicted), Took: float64(l.Took),
	}
}

func (f *fleet) report() servingsvc.Report {
	f.mu.Lock()
	defer f.mu.Unlock()
	r := servingsvc.Report{Placed: f.placed}
	f.placed = nil
	now := time.Now()
	for _, u := range f.upstreams {
		l := u.load(now)
		if u.active > 0 || l.Answers > 0 || l.Predicted > 0 {
			r.Work.Loads = append(r.Work.Loads, l)
		}
	}
	for service, p := range f.pools {
		for name, l := range p.Own(now) {
			r.Work.Routes = append(r.Work.Routes, routeLoad(service, name, l))
		}
	}
	r.Busy = f.busy(now)
	return r
}

// busyReading is how many prompt tokens must wait at the mean engine for news of loads
// to matter.
const busyReading = 1500

// busy reports whether engines have much to read; it needs mu.
func (f *fleet) busy(now time.Time) bool {
	reading, engines := 0, 0
	for service, p := range f.pools {
		if p == nil {
			continue
		}
		for _, u := range f.services[service] {
			engines++
			reading += u.reading
			if now.Sub(f.othersAt) < othersAge {
				reading += f.others[u.begun].Reading
			}
		}
	}
	return reading > busyReading*engines
}
