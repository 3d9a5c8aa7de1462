package route

import (
	"slices"
	"strings"
)

// Index looks up the routes, organisations and services of one table. It is immutable.
type Index struct {
	Table *Table
	hosts map[string]map[string]*Route
	keys  map[KeyDigest]*Organisation
	// services are indexed by name.
	services map[string]*Service
	// organisationRanks and routeRanks map each priority to its rank within the table.
	organisationRanks, routeRanks map[int]int
}

// NewIndex returns the index of a valid table, which must not be modified afterwards.
func NewIndex(t *Table) *Index {
	x := &Index{
		Table: t, hosts: map[string]map[string]*Route{}, keys: map[KeyDigest]*Organisation{}, services: map[string]*Service{},
	}
	for i := range t.Routes {
		r := &t.Routes[i]
		host := strings.ToLower(r.Host)
		if x.hosts[host] == nil {
			x.hosts[host] = map[string]*Route{}
		}
		x.hosts[host][r.Prefix] = r
	}
	for i := range t.Organisations {
		o := &t.Organisations[i]
		for _, k := range o.Keys {
			x.keys[k] = o
		}
	}
	for i := range t.Services {
		x.services[t.Services[i].Name] = &t.Services[i]
	}
	x.organisationRanks = rankByValue(len(t.Organisations), func(i int) int { return t.Organisations[i].Priority })
	x.routeRanks = rankByValue(len(t.Routes), func(i int) int { return t.Routes[i].Priority })
	return x
}

// rankByValue maps each distinct value to its rank in ascending order.
func rankByValue(n int, value func(int) int) map[int]int {
	var values []int
	for i := range n {
		values = append(values, value(i))
	}
	slices.Sort(values)
	values = slices.Compact(values)
	ranks := make(map[int]int, len(values))
	for i, v := range values {
		ranks[v] = i
	}
	return ranks
}

// Urgency returns the rank of a request within the table, from 0 (most urgent) to levels-1. The
// route's priority takes precedence over the organisation's, and a request without an organisation
// ranks with the lowest ones. If there are more pairs of priorities than levels, adjacent pairs
// share a level.
func (x *Index) Urgency(r *Route, o *Organisation, levels int) int {
	lowestRank := len(x.organisationRanks)
	organisationRank := lowestRank
	if o != nil {
		organisationRank = x.organisationRanks[o.Priority]
	}
	pairs := max(1, lowestRank) * len(x.routeRanks)
	rank := min(organisationRank, max(0, lowestRank-1)) + max(1, lowestRank)*x.routeRanks[r.Priority]
	if pairs <= levels {
		return rank
	}
	return rank * levels / pairs
}

// Priorities returns how many different priorities the routes have.
func (x *Index) Priorities() int { return len(x.routeRanks) }

// Rank returns the relative rank of a route's priority within the table: 0 for the most urgent
// routes, 1 for the least urgent ones.
func (x *Index) Rank(r *Route) float64 {
	if len(x.routeRanks) < 2 {
		return 0
	}
	return float64(x.routeRanks[r.Priority]) / float64(len(x.routeRanks)-1)
}

// Route returns the route of the host with the longest prefix that matches the target, or nil. A
// port in host and a query in target are ignored.
func (x *Index) Route(host, target string) *Route {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:i]
	}
	prefixes := x.hosts[host]
	if prefixes == nil {
		prefixes = x.hosts[strings.ToLower(host)]
	}
	if i := strings.IndexByte(target, '?'); i >= 0 {
		target = target[:i]
	}
	// Every prefix ends with a slash, so only the parts of the target up to a slash can match.
	for end := strings.LastIndexByte(target, '/'); end >= 0; end = strings.LastIndexByte(target[:end], '/') {
		if r := prefixes[target[:end+1]]; r != nil {
			return r
		}
	}
	return nil
}

// Organisation returns the organisation that the key belongs to, or nil.
func (x *Index) Organisation(key []byte) *Organisation { return x.keys[Digest(key)] }

// Service returns the service with the given name, or nil.
func (x *Index) Service(name string) *Service { return x.services[name] }

// Pick returns a service of the route according to the weights, for a random number drawn uniformly
// from [0, 1).
func (r *Route) Pick(random float64) string {
	sum := 0
	for _, b := range r.Services {
		sum += b.Weight
	}
	offset := int(random * float64(sum))
	for _, b := range r.Services {
		if offset -= b.Weight; offset < 0 {
			return b.Service
		}
	}
	return r.Services[len(r.Services)-1].Service
}
