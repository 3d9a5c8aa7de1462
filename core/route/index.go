package route

import (
	"slices"
	"strings"
)

// Index finds routes and organisations of one table. It is immutable.
type Index struct {
	Table *Table
	hosts map[string]map[string]*Route
	keys  map[KeyDigest]*Organisation
	// services are by name.
	services map[string]*Service
	// organisationRanks and routeRanks give each priority its place among those of
	// the table.
	organisationRanks, routeRanks map[int]int
}

// NewIndex returns the index of a valid table, which must not change any more.
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
	x.organisationRanks = ranks(len(t.Organisations), func(i int) int { return t.Organisations[i].Priority })
	x.routeRanks = ranks(len(t.Routes), func(i int) int { return t.Routes[i].Priority })
	return x
}

// ranks numbers the different values in ascending order.
func ranks(n int, value func(int) int) map[int]int {
	var values []int
	for i := range n {
		values = append(values, value(i))
	}
	slices.Sort(values)
	values = slices.Compact(values)
	places := make(map[int]int, len(values))
	for i, v := range values {
		places[v] = i
	}
	return places
}

// Urgency returns the rank of a request among all of the table, from 0 (first) to
// levels-1: the route's priority goes before the organisation's, and a request
// without an organisation counts as one of the last. Where there are more pairs of
// priorities than levels, neighbouring ones share a level.
func (x *Index) Urgency(r *Route, o *Organisation, levels int) int {
	last := len(x.organisationRanks)
	of := last
	if o != nil {
		of = x.organisationRanks[o.Priority]
	}
	pairs := max(1, last) * len(x.routeRanks)
	place := min(of, max(0, last-1)) + max(1, last)*x.routeRanks[r.Priority]
	if pairs <= levels {
		return place
	}
	return place * levels / pairs
}

// Rank returns where a route's priority comes among those of the table, as a part
// of all: 0 for the most urgent ones, 1 for the least urgent ones.
func (x *Index) Rank(r *Route) float64 {
	if len(x.routeRanks) < 2 {
		return 0
	}
	return float64(x.routeRanks[r.Priority]) / float64(len(x.routeRanks)-1)
}

// Route returns the route of the host whose prefix is the longest that begins the
// target, or nil. A port in host and a query in target do not count.
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
	// Every prefix ends with a slash, so only the parts up to a slash can match.
	for end := strings.LastIndexByte(target, '/'); end >= 0; end = strings.LastIndexByte(target[:end], '/') {
		if r := prefixes[target[:end+1]]; r != nil {
			return r
		}
	}
	return nil
}

// Organisation returns who holds a key, or nil.
func (x *Index) Organisation(key []byte) *Organisation { return x.keys[Digest(key)] }

// Service returns a service, or nil.
func (x *Index) Service(name string) *Service { return x.services[name] }

// Pick returns the service of a route for a number drawn uniformly from [0, 1).
func (r *Route) Pick(draw float64) string {
	sum := 0
	for _, b := range r.Services {
		sum += b.Weight
	}
	at := int(draw * float64(sum))
	for _, b := range r.Services {
		if at -= b.Weight; at < 0 {
			return b.Service
		}
	}
	return r.Services[len(r.Services)-1].Service
}
