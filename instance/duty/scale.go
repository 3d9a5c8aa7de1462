package duty

import "time"

// Scale says how upstreams are ordered.
type Scale struct{}

// Order is how many upstreams of a service are wanted in a failure domain.
type Order struct {
	Service, Domain string
	Count           int
	// Preemptible orders those that cost less and may be taken back.
	Preemptible bool
}

// OrderStatus tells how an order stands.
type OrderStatus struct {
	Order
}

type scaleDuty struct{}

func (d *scaleDuty) forget() {}

func (d *scaleDuty) status() []OrderStatus { return nil }

func (s *Service) orderUpstreams(time.Time, Group) {}
