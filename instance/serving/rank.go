package serving

import (
	"cmp"
	"slices"
)

// ranks orders the instances that forward requests by failure domain and name, so that each can tell
// which slots of plain services are its own. The order is kept sorted: after a start of all instances
// each of them is new and asks for its rank. The mutex of the service guards it.
type ranks struct {
	// domains maps the instances to their failure domains.
	domains map[string]string
	order   []rankedInstance
}

type rankedInstance struct{ domain, name string }

func newRanks() ranks { return ranks{domains: map[string]string{}} }

func (r *ranks) set(name, domain string) {
	if old, known := r.domains[name]; known {
		if old == domain {
			return
		}
		r.remove(name)
	}
	r.domains[name] = domain
	at, _ := r.find(name)
	r.order = slices.Insert(r.order, at, rankedInstance{domain, name})
}

func (r *ranks) remove(name string) {
	if at, found := r.find(name); found {
		r.order = slices.Delete(r.order, at, at+1)
	}
	delete(r.domains, name)
}

// find returns the position of an instance in the order, or where it would be.
func (r *ranks) find(name string) (at int, found bool) {
	return slices.BinarySearchFunc(r.order, rankedInstance{r.domains[name], name}, func(a, b rankedInstance) int {
		return cmp.Or(cmp.Compare(a.domain, b.domain), cmp.Compare(a.name, b.name))
	})
}

// of returns the position of an instance, counted from one; zero if it is not known.
func (r *ranks) of(name string) int {
	at, found := r.find(name)
	if !found {
		return 0
	}
	return at + 1
}

// rank returns the position of an instance among those that forward requests, counted from one.
func (s *Service) rank(name string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ranks.of(name)
}
