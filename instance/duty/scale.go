package duty

import (
	"context"
	"time"

	"github.com/comfreyladder/comfreyladder/core/fault"
	"github.com/comfreyladder/comfreyladder/core/scale"
)

// Scale says how upstreams are ordered.
type Scale struct {
	// Services returns what is known of the services of which upstreams can be ordered.
	Services func() []scale.Service
	Plan     scale.Config
	// DryRun logs what would be ordered, and orders nothing.
	DryRun bool
}

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
	// Accepted is the count that the provider took last, Ready how many serve.
	Accepted, Ready int
	// LastError is why the latest call failed, empty if it did not.
	LastError string
}

const (
	// scaleEvery is the time between two looks at the demand.
	scaleEvery = 250 * time.Millisecond
	// againAfter is for how long beyond the boot upstreams may be missing before an order is
	// given again: crashed ones come back by themselves, reclaimed ones don't.
	againAfter = 3 * time.Second
	// refusedPause is the pause after an order that could not be met: nobody says when it
	// can, and calls cost.
	refusedPause = time.Second
)

// subject is what one order is about: the next one replaces it.
type subject struct {
	service, domain string
	preemptible     bool
}

// order is where the order of a subject stands.
type order struct {
	attempt
	subject
	wanted, ready int
	// given is what was accepted last, at a time.
	given   int
	known   bool
	givenAt time.Time
	// boot is how long what was ordered takes to serve.
	boot time.Duration
}

// due reports whether a call is to be made.
func (o *order) dueAt(now time.Time) bool {
	if !o.due(now) {
		return false
	}
	missing := o.ready < o.given && now.Sub(o.givenAt) > o.boot+againAfter
	if !o.known && o.wanted == o.ready && o.wanted > 0 {
		// What serves is what is wanted; whoever ordered it, it need not be ordered again.
		return false
	}
	fewer := o.given - o.wanted
	return !o.known || fewer < 0 || fewer > 0 && (fewer >= fewerStep || o.wanted == 0 || now.Sub(o.givenAt) > fewerPause) || missing
}

// Where demand falls slowly, orders for one upstream less at a time would be calls of which
// each saves next to nothing.
const (
	fewerStep  = 3
	fewerPause = 5 * time.Second
)

// scaleDuty is where the orders of upstreams stand.
type scaleDuty struct {
	orders   map[subject]*order
	planners map[string]*scale.Planner
	at       time.Time
}

// forget drops what is known: another instance may have ordered since.
func (d *scaleDuty) forget() { *d = scaleDuty{} }

func (d *scaleDuty) status() (list []OrderStatus) {
	for k, o := range d.orders {
		st := OrderStatus{Order: Order{k.service, k.domain, o.wanted, k.preemptible}, Accepted: o.given, Ready: o.ready}
		if o.last != nil {
			st.LastError = o.last.Error()
		}
		list = append(list, st)
	}
	return list
}

// orderUpstreams plans and gives the orders that differ from what was accepted.
func (s *Service) orderUpstreams(now time.Time, _ Group) {
	if s.cfg.Scale == nil || now.Sub(s.scale.at) < scaleEvery {
		return
	}
	s.scale.at = now
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
			// Both kinds together are bounded: until fewer standard ones are accepted there is
			// no room for more of the others.
			room := max(d.Ready.Preemptible, v.Max-max(w.Standard, standard.taken(plan.Registering, v.Max)))
			s.order(now, p, v, s.orderOf(v, subject{v.Name, w.Domain, true}, d.Ready.Preemptible), min(w.Preemptible, room))
		}
	}
}

// taken returns how many places an order takes: what was accepted, and as long as that is
// not known what serves, or may be there and not have shown up yet.
func (o *order) taken(arriving bool, most int) int {
	switch {
	case o.known:
		return o.given
	case arriving:
		return max(o.ready, most/2)
	}
	return o.ready
}

// orderOf returns the order of a subject.
func (s *Service) orderOf(v *scale.Service, k subject, ready int) *order {
	o := s.scale.orders[k]
	if o == nil {
		o = &order{subject: k}
		s.scale.orders[k] = o
	}
	o.ready, o.boot = ready, v.BootTime
	return o
}

// order gives the order of one subject if it has to be.
func (s *Service) order(now time.Time, p *scale.Planner, v *scale.Service, o *order, count int) {
	o.wanted = count
	k, ready := o.subject, o.ready
	if !o.dueAt(now) {
		return
	}
	if s.cfg.Scale.DryRun {
		s.cfg.Log.Info().Str("event", "upstreams_planned").Str("service", k.service).Str("domain", k.domain).Bool("preemptible", k.preemptible).
			Int("count", count).Int("ready", ready).Float64("need", v.Need).Msg("an order that a dry run does not give")
		// As if it was taken, so that the next line tells a change.
		o.given, o.known, o.givenAt = count, true, now
		return
	}
	call := &Order{Service: k.service, Domain: k.domain, Count: count, Preemptible: k.preemptible}
	sent := now
	s.call(now, &o.attempt, func(ctx context.Context, by Authority) error { return s.cfg.Provider.Order(ctx, by, call) }, func(now time.Time, err error) {
		s.cfg.Log.Info().Str("event", "upstreams_ordered").Str("service", k.service).Str("domain", k.domain).Bool("preemptible", k.preemptible).
			Int("count", count).Int("ready", ready).Int("given_before", o.given).Float64("need", v.Need).Dur("took", now.Sub(sent)).Err(err).Msg("order of upstreams")
		s.ordered(now, p, o, count, err)
	})
}

// ordered takes in what became of an order.
func (s *Service) ordered(now time.Time, p *scale.Planner, o *order, count int, err error) {
	switch {
	case err == nil:
		o.given, o.known, o.givenAt, o.failed, o.last = count, true, now, 0, nil
		if o.preemptible {
			p.Accepted(o.domain, count)
		}
	case fault.CodeOf(err) == fault.Conflict:
		o.last, o.next = err, now.Add(refusedPause)
		if o.preemptible {
			p.Refused(o.domain)
		}
	default:
		o.retry(now, err)
	}
}
