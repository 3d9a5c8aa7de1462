package duty

import (
	"context"
	"time"

	"github.com/comfreyladder/comfreyladder/core/fault"
	"github.com/comfreyladder/comfreyladder/core/scale"
)

// Scale configures orders of upstreams.
type Scale struct {
	// Services returns the state of the services whose upstreams can be ordered.
	Services func() []scale.Service
	Plan     scale.Config
	// DryRun logs the orders that would be sent, and sends none.
	DryRun bool
}

// Order is the number of upstreams of a service that are wanted in a failure domain.
type Order struct {
	Service, Domain string
	Count           int
	// Preemptible orders upstreams that cost less and may be reclaimed by the provider.
	Preemptible bool
}

// OrderStatus is the state of an order.
type OrderStatus struct {
	Order
	// Accepted is the count that the provider accepted last, Ready the number of ready upstreams.
	Accepted, Ready int
	// LastError is the error of the latest call, empty if it succeeded.
	LastError string
}

const (
	// scaleInterval is the time between two evaluations of the demand.
	scaleInterval = 250 * time.Millisecond
	// reorderAfter is how long beyond the boot time upstreams may be missing before an order is sent
	// again: crashed ones return by themselves, reclaimed ones do not.
	reorderAfter = 3 * time.Second
	// refusedDelay is the delay after an order that could not be met: nothing announces when it can be,
	// and calls cost.
	refusedDelay = time.Second
)

// subject identifies an order: the next order with the same subject replaces it.
type subject struct {
	service, domain string
	preemptible     bool
}

// order is the state of the order of a subject.
type order struct {
	attempt
	subject
	wanted, ready int
	// accepted is the count that the provider accepted last, at acceptedAt; acceptedKnown is false if
	// it has accepted none yet.
	accepted      int
	acceptedKnown bool
	acceptedAt    time.Time
	// bootTime is the time from an order until its upstreams are ready.
	bootTime time.Duration
}

// dueAt reports whether the order is to be sent.
func (o *order) dueAt(now time.Time) bool {
	if !o.due(now) {
		return false
	}
	missing := o.ready < o.accepted && now.Sub(o.acceptedAt) > o.bootTime+reorderAfter
	if !o.acceptedKnown && o.wanted == o.ready && o.wanted > 0 {
		// The ready upstreams already match the plan and need not be ordered again.
		return false
	}
	fewer := o.accepted - o.wanted
	return !o.acceptedKnown || fewer < 0 || fewer > 0 && (fewer >= minReduction || o.wanted == 0 || now.Sub(o.acceptedAt) > reductionDelay) || missing
}

// While demand falls slowly, orders that remove one upstream at a time would cost a call each and
// save next to nothing. Orders therefore remove at least minReduction upstreams, or all of them; fewer
// only after reductionDelay.
const (
	minReduction   = 3
	reductionDelay = 5 * time.Second
)

// scaleDuty is the state of the orders of upstreams.
type scaleDuty struct {
	orders    map[subject]*order
	planners  map[string]*scale.Planner
	plannedAt time.Time
}

// reset drops all state: another instance may have sent orders since.
func (d *scaleDuty) reset() { *d = scaleDuty{} }

func (d *scaleDuty) status() (list []OrderStatus) {
	for k, o := range d.orders {
		st := OrderStatus{Order: Order{k.service, k.domain, o.wanted, k.preemptible}, Accepted: o.accepted, Ready: o.ready}
		if o.lastErr != nil {
			st.LastError = o.lastErr.Error()
		}
		list = append(list, st)
	}
	return list
}

// orderUpstreams plans the upstreams and sends the orders that differ from the accepted ones.
func (s *Service) orderUpstreams(now time.Time, _ Group) {
	if s.cfg.Scale == nil || now.Sub(s.scale.plannedAt) < scaleInterval {
		return
	}
	s.scale.plannedAt = now
	if s.scale.orders == nil {
		s.scale.orders, s.scale.planners = map[subject]*order{}, map[string]*scale.Planner{}
	}
	for _, v := range s.cfg.Scale.Services() {
		s.orderService(now, &v)
	}
}

func (s *Service) orderService(now time.Time, v *scale.Service) {
	p := s.scale.planners[v.Name]
	if p == nil {
		p = scale.NewPlanner(s.cfg.Scale.Plan)
		s.scale.planners[v.Name] = p
	}
	plan := p.Plan(now, v)
	for i, w := range plan.Targets {
		d := &v.Domains[i]
		standard := s.orderOf(v, subject{v.Name, w.Domain, false}, d.Ready.Standard)
		if !plan.Registering || w.Standard < d.Ready.Standard {
			s.order(now, p, v, standard, w.Standard)
		}
		if v.PreemptiblePrice > 0 {
			// The limit applies to both kinds together: until fewer standard upstreams are accepted there is no
			// room for more preemptible ones.
			room := max(d.Ready.Preemptible, v.Max-max(w.Standard, standard.occupied(plan.Registering, v.Max)))
			s.order(now, p, v, s.orderOf(v, subject{v.Name, w.Domain, true}, d.Ready.Preemptible), min(w.Preemptible, room))
		}
	}
}

// occupied returns how many upstreams an order accounts for: the accepted count, or, while none is
// known, the ready ones and those that may exist but have not registered yet.
func (o *order) occupied(registering bool, limit int) int {
	switch {
	case o.acceptedKnown:
		return o.accepted
	case registering:
		return max(o.ready, limit/2)
	}
	return o.ready
}

// orderOf returns the order of a subject and creates it if needed.
func (s *Service) orderOf(v *scale.Service, k subject, ready int) *order {
	o := s.scale.orders[k]
	if o == nil {
		o = &order{subject: k}
		s.scale.orders[k] = o
	}
	o.ready, o.bootTime = ready, v.BootTime
	return o
}

// order sends the order of one subject if it is due.
func (s *Service) order(now time.Time, p *scale.Planner, v *scale.Service, o *order, count int) {
	o.wanted = count
	k, ready := o.subject, o.ready
	if !o.dueAt(now) {
		return
	}
	if s.cfg.Scale.DryRun {
		s.cfg.Log.Info().Str("event", "upstreams_planned").Str("service", k.service).Str("domain", k.domain).Bool("preemptible", k.preemptible).
			Int("count", count).Int("ready", ready).Float64("need", v.Need).Msg("dry run: order not sent")
		// Recorded as if accepted, so that the next log line shows a change.
		o.accepted, o.acceptedKnown, o.acceptedAt = count, true, now
		return
	}
	call := &Order{Service: k.service, Domain: k.domain, Count: count, Preemptible: k.preemptible}
	sent := now
	s.call(now, &o.attempt, func(ctx context.Context, by Authority) error { return s.cfg.Provider.Order(ctx, by, call) }, func(now time.Time, err error) {
		s.cfg.Log.Info().Str("event", "upstreams_ordered").Str("service", k.service).Str("domain", k.domain).Bool("preemptible", k.preemptible).
			Int("count", count).Int("ready", ready).Int("given_before", o.accepted).Float64("need", v.Need).Dur("took", now.Sub(sent)).Err(err).Msg("order of upstreams")
		s.recordOrder(now, p, o, count, err)
	})
}

// recordOrder records the result of an order.
func (s *Service) recordOrder(now time.Time, p *scale.Planner, o *order, count int, err error) {
	switch {
	case err == nil:
		o.accepted, o.acceptedKnown, o.acceptedAt, o.failures, o.lastErr = count, true, now, 0, nil
		if o.preemptible {
			p.Accepted(o.domain, count)
		}
	case fault.CodeOf(err) == fault.Conflict:
		o.lastErr, o.nextAt = err, now.Add(refusedDelay)
		if o.preemptible {
			p.Refused(o.domain)
		}
	default:
		o.backOff(now, err)
	}
}
