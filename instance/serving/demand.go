package serving

import (
	"github.com/comfreyladder/comfreyladder/core/balance"
	"github.com/comfreyladder/comfreyladder/instance/clock"
)

// Demand is the expected load of a service as seen by all instances.
type Demand struct {
	// Loads maps routes to their loads.
	Loads map[string]balance.RouteLoad
	// PerMS is the number of prompt tokens that an engine prefills per millisecond.
	PerMS float64
}

// Demand returns the demand by service. known reports whether any instance or member has
// sent a recent report.
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
