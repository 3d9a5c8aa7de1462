package serving

import (
	"slices"
	"strings"

	corecontrol "github.com/comfreyladder/comfreyladder/core/control"
	"github.com/comfreyladder/comfreyladder/core/balance"
	"github.com/comfreyladder/comfreyladder/core/control/serving"
	"github.com/comfreyladder/comfreyladder/core/route"
	"github.com/comfreyladder/comfreyladder/core/scale"
)

// Scalable returns what is known of the services of which upstreams can be ordered.
func (s *Service) Scalable() (list []scale.Service) {
	g := s.cfg.Replica()
	if g == nil {
		return nil
	}
	var table route.Table
	var ups []serving.Upstream
	machine(g, func(m *serving.Machine) {
		c := m.Since(0)
		ups = c.Upstreams
		if len(c.Table) > 0 {
			_ = corecontrol.Unmarshal(c.Table, &table)
		}
	})
	demand := s.Demand()
	for i := range table.Services {
		v := &table.Services[i]
		if v.Scaling == nil {
			continue
		}
		out := scale.Service{Name: v.Name, Min: v.Scaling.Min, Max: v.Scaling.Max, PreemptiblePrice: v.Scaling.PreemptiblePrice}
		count := 0.0
		for name, price := range v.Scaling.Prices {
			d := scale.Domain{Name: name, Price: price}
			for j := range ups {
				u := &ups[j]
				if u.Service != v.Name || u.Domain != name || u.Silent {
					continue
				}
				c := &d.Ready
				if u.State == serving.Draining {
					c = &d.Leaving
				} else if u.State != serving.Ready {
					continue
				} else {
					count++
				}
				if u.Preemptible {
					c.Preemptible++
				} else {
					c.Standard++
				}
			}
			out.Domains = append(out.Domains, d)
		}
		slices.SortFunc(out.Domains, func(a, b scale.Domain) int { return strings.Compare(a.Name, b.Name) })
		if d, ok := demand[v.Name]; ok {
			slots := 64.0
			if v.Engine != nil {
				slots = float64(v.Engine.Slots)
			}
			out.Need = balance.NeedOf(d.Loads, &balance.Engine{PerMS: d.PerMS, Slots: slots, Count: count})
		}
		list = append(list, out)
	}
	return list
}
