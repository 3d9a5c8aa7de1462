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

// tableCache holds the decoded table of a version.
type tableCache struct {
	version uint64
	table   route.Table
}

// ScalableServices returns what is known of the services of which upstreams can be ordered.
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
			out.Need = balance.EstimateNeed(d.Loads, engine).Comfortable + s.lack(v.Name, upstreams, balance.EachPerSecond(d.Loads, engine))
		}
		list = append(list, out)
	}
	return list
}

// lack returns how many upstreams' work a service's ready ones leave undone by the limits that
// they name.
func (s *Service) lack(service string, upstreams []serving.Upstream, eachPerSecond float64) (sum float64) {
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

// tableAndUpstreams returns the table in force and all upstreams.
func (s *Service) tableAndUpstreams(g *consensus.Service) (*route.Table, []serving.Upstream) {
	var c serving.Changes
	machine(g, func(m *serving.Machine) { c = m.Since(0) })
	s.mu.Lock()
	defer s.mu.Unlock()
	if c.Version != s.table.version {
		next := tableCache{version: c.Version}
		if err := corecontrol.Unmarshal(c.Table, &next.table); err != nil {
			s.cfg.Log.Error().Err(err).Str("event", "table_unreadable").Uint64("version", c.Version).Msg("a table can't be read; the one before stays")
			next.table = s.table.table
		}
		s.table = next
	}
	return &s.table.table, c.Upstreams
}

// countUpstreams counts a service's upstreams by domain and kind, and returns how many
// are ready.
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
