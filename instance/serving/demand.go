package serving

import (
	"github.com/comfreyladder/comfreyladder/core/balance"
	"github.com/comfreyladder/comfreyladder/instance/clock"
)

// Demand is what all instances see coming to the engines of a service.
type Demand struct {
	// Loads are by route.
	Loads map[string]balance.RouteLoad
	// PerMS is how many prompt tokens an engine reads in a millisecond.
	PerMS float64
}

// Demand returns the demand by service; known says that any instance told lately what it
// sees.
func (s *Service) Demand() (demand map[string]Demand, known bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	work := s.loads.sum(clock.Now(), true)
	known = len(s.loads.watchers)+len(s.loads.members) > 0
	demand = map[string]Demand{}
	for i := range work.Routes {
		l := &work.Routes[i]
		d, known := demand[l.Service]
		if !known {
			d.Loads = map[string]balance.RouteLoad{}
		}
		d.Loads[l.Route] = l.Load()
		d.PerMS = max(d.PerMS, float64(l.PerMS)/hundredths)
		demand[l.Service] = d
	}
	return demand, known
}
