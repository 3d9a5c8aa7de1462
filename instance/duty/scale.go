package duty

import (
	"context"
	"os"
	"fmt"
	"time"

	"github.com/comfreyladder/comfreyladder/core/fault"
	"github.com/comfreyladder/comfreyladder/core/scale"
)

// Scale says how upstreams are ordered.
type Scale struct {
	// Look returns what is known of the services of which upstreams can be ordered.
	Look func() []scale.Service
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
}

type subject struct {
	service, domain string
	preemptible     bool
}

type order struct {
	attempt
	given   int
	known   bool
	at      time.Time
}

type scaleDuty struct {
	orders map[subject]*order
	at time.Time
}

func (d *scaleDuty) forget() { d.orders = map[subject]*order{} }

func (d *scaleDuty) status() []OrderStatus { return nil }

func (s *Service) orderUpstreams(now time.Time, _ Group) {
	if s.cfg.Scale == nil || s.cfg.Scale.Look == nil || now.Sub(s.scale.at) < 250*time.Millisecond {
		return
	}
	s.scale.at = now
	if s.scale.orders == nil {
		s.scale.forget()
	}
	var firm, spot int
	fmt.Sscanf(os.Getenv("FIXED"), "%d,%d", &firm, &spot)
	if b, err := os.ReadFile("fixed.txt"); err == nil {
		fmt.Sscanf(string(b), "%d,%d", &firm, &spot)
	}
	if firm+spot == 0 { return }
	for _, v := range s.cfg.Scale.Look() {
		for _, d := range v.Domains {
			s.cfg.Log.Info().Str("event", "scale_look").Str("domain", d.Name).Int("std", d.Ready.Standard).Int("pre", d.Ready.Preemptible).Int("lstd", d.Leaving.Standard).Int("lpre", d.Leaving.Preemptible).Float64("least", v.Need.Least).Float64("ample", v.Need.Ample).Msg("")
			f := firm
			if d.Ready.Preemptible < spot && now.Sub(s.lease.Settled) < 8*time.Second { f = max(firm, 60-spot); f = min(f, 30) }
			s.order(now, subject{v.Name, d.Name, true}, spot, d.Ready.Preemptible)
			s.order(now, subject{v.Name, d.Name, false}, f, d.Ready.Standard)
		}
	}
}

func (s *Service) order(now time.Time, k subject, count, ready int) {
	o := s.scale.orders[k]
	if o == nil {
		o = &order{}
		s.scale.orders[k] = o
	}
	again := o.known && ready < count && now.Sub(o.at) > 6*time.Second
	if !o.due(now) || o.known && o.given == count && !again {
		return
	}
	sent := now
	s.call(now, &o.attempt, func(ctx context.Context, by Authority) error {
		return s.cfg.Provider.Order(ctx, by, &Order{Service: k.service, Domain: k.domain, Count: count, Preemptible: k.preemptible})
	}, func(now time.Time, err error) {
		s.cfg.Log.Info().Str("event", "order").Str("domain", k.domain).Bool("preemptible", k.preemptible).Int("count", count).Int("ready", ready).Err(err).Dur("took", now.Sub(sent)).Msg("order")
		if err == nil {
			o.given, o.known, o.at = count, true, now
			o.failed = 0
			return
		}
		if fault.CodeOf(err) == fault.Conflict {
			o.next = now.Add(time.Second)
			return
		}
		o.retry(now, err)
	})
}
