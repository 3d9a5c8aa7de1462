package serving

import (
	"cmp"
	"maps"
	"slices"
)

// ranks orders the instances that forward requests by failure domain and name, so that each can tell
// which slots of plain services are its own. The mutex of the service guards it.
type ranks struct {
	// domains maps the instances to their failure domains, and order maps them to their positions,
	// counted from one; nil if it has to be computed again.
	domains map[string]string
	order   map[string]int
}

func (r *ranks) set(name, domain string) {
	if old, known := r.domains[name]; !known || old != domain {
		r.domains[name], r.order = domain, nil
	}
}

func (r *ranks) remove(name string) {
	delete(r.domains, name)
	r.order = nil
}

func (r *ranks) of(name string) int {
	if r.order == nil {
		names := slices.SortedFunc(maps.Keys(r.domains), func(a, b string) int {
			return cmp.Or(cmp.Compare(r.domains[a], r.domains[b]), cmp.Compare(a, b))
		})
		r.order = make(map[string]int, len(names))
		for i, n := range names {
			r.order[n] = i + 1
		}
	}
	return r.order[name]
}

// rank returns the position of an instance among those that forward requests, counted from one.
func (s *Service) rank(name string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ranks.of(name)
}
