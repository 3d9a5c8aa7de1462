// Package scale decides how many upstreams of a service are ordered in each failure domain,
// and of which kind: standard ones, or preemptible ones, which cost a part of the price and
// may be taken back, all of a domain at once. It does no I/O; time is passed in.
package scale

import "github.com/comfreyladder/comfreyladder/core/balance"

// Counts are upstreams by kind.
type Counts struct{ Standard, Preemptible int }

// Domain is what is known of a service in one failure domain.
type Domain struct {
	Name string
	// Price is that of a standard upstream.
	Price float64
	// Ready upstreams serve, Leaving ones were told to go.
	Ready, Leaving Counts
}

// Service is what is known of one service.
type Service struct {
	Name string
	// Min and Max bound the upstreams in a domain, of both kinds together.
	Min, Max int
	// PreemptiblePrice is the price of a preemptible upstream as a part of that of a
	// standard one; zero where there are none.
	PreemptiblePrice float64
	// Domains are sorted by name.
	Domains []Domain
	// Need is how many engines the present demand needs.
	Need balance.Need
}

// Want is how many upstreams there should be in a domain.
type Want struct {
	Domain string
	Counts
}
