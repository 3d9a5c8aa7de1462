package serving

import (
	"cmp"
	"maps"
	"slices"

	"github.com/comfreyladder/comfreyladder/core/balance"
	corecontrol "github.com/comfreyladder/comfreyladder/core/control"
	"github.com/comfreyladder/comfreyladder/core/control/serving"
	"github.com/comfreyladder/comfreyladder/core/route"
	"github.com/comfreyladder/comfreyladder/core/scale"
	"github.com/comfreyladder/comfreyladder/instance/consensus"
)

// tableCache caches the decoded routing table of a version.
type tableCache struct {
	version uint64
	table   route.Table
}

// ScalableServices returns the state of the services whose upstreams can be ordered.
func (s *Service) ScalableServices() (list []scale.Service) {
	g := s.cfg.Replica()
	if g == nil {
		return nil
	}
	table, upstreams := s.tableAndUpstreams(g)
	demand, told := s.Demand()
	for i := range table.Services {
		v := &table.Services[i]
		if v.Scaling == nil {
			continue
		}
		out := scale.Service{
			Name: v.Name, Min: v.Scaling.Min, Max: v.Scaling.Max, BootTime: v.Scaling.BootTime, PreemptiblePrice: v.Scaling.PreemptiblePrice,
		}
		for _, name := range slices.Sorted(maps.Keys(v.Scaling.Prices)) {
			out.Domains = append(out.Domains, scale.Domain{Name: name, Price: v.Scaling.Prices[name]})
		}
		ready := countUpstreams(&out, upstreams)
		out.Known = told
		if d, known := demand[v.Name]; known && v.Engine != nil {
			engine := &balance.Engine{PerMS: d.PerMS, Slots: float64(v.Engine.Slots), Count: float64(ready)}
			out.Need = balance.EstimateNeed(d.Loads, engine).Comfortable + s.limitShortfall(v.Name, upstreams, balance.EachPerSecond(d.Loads, engine))
		}
		list = append(list, out)
	}
	return list
}

// limitShortfall returns the work that the ready upstreams of a service cannot accept because
// of their announced rate limits, as a number of upstreams.
func (s *Service) limitShortfall(service string, upstreams []serving.Upstream, eachPerSecond float64) (sum float64) {
	for i := range upstreams {
		u := &upstreams[i]
		if u.Service != service || !u.Usable() || u.Silent {
			continue
		}
		if perSecond, limited := s.Limit(u.FirstIndex); limited {
			sum += 1 - balance.LimitShare(perSecond, eachPerSecond)
		}
	}
	return sum
}

// tableAndUpstreams returns the routing table in force and all upstreams.
func (s *Service) tableAndUpstreams(g *consensus.Service) (*route.Table, []serving.Upstream) {
	var c serving.Changes
	viewServing(g, func(m *serving.Machine) { c = m.Since(0) })
	s.mu.Lock()
	defer s.mu.Unlock()
	if c.Version != s.table.version {
		next := tableCache{version: c.Version}
		if err := corecontrol.Unmarshal(c.Table, &next.table); err != nil {
			s.cfg.Log.Error().Err(err).Str("event", "table_unreadable").Uint64("version", c.Version).Msg("cannot decode the routing table; the previous one stays in force")
			next.table = s.table.table
		}
		s.table = next
	}
	return &s.table.table, c.Upstreams
}

// countUpstreams counts the upstreams of a service by failure domain and kind, and returns
// the number of ready ones.
func countUpstreams(v *scale.Service, upstreams []serving.Upstream) (ready int) {
	for i := range upstreams {
		u := &upstreams[i]
		at, known := slices.BinarySearchFunc(v.Domains, u.Domain, func(d scale.Domain, name string) int { return cmp.Compare(d.Name, name) })
		if u.Service != v.Name || !known || u.Silent {
			continue
		}
		d := &v.Domains[at]
		switch {
		case u.State == serving.Draining && u.Preemptible:
			d.Leaving.Preemptible++
		case u.State == serving.Draining:
			d.Leaving.Standard++
		case u.State != serving.Ready:
		case u.Preemptible:
			d.Ready.Preemptible++
			ready++
		default:
			d.Ready.Standard++
			ready++
		}
	}
	return ready
}
