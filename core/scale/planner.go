package scale

import (
	"math"
	"time"
)

// registrationWindow is how long after the last new one further standard upstreams may register that
// this instance did not order: after a full restart, heartbeats take a second or more.
const registrationWindow = 1500 * time.Millisecond

// sustainedDemand is how long demand must last before standard upstreams are ordered for it: they
// serve only after they have booted, too late for shorter demand.
const sustainedDemand = 1500 * time.Millisecond

// substituteBoots is how many boot times standard upstreams are kept that were ordered as
// substitutes for preemptible ones: one until they serve, and one until their replacements have
// booted.
const substituteBoots = 2

// Planner plans the upstreams of one service. It is not safe for concurrent use.
type Planner struct {
	cfg   Config
	level LevelController
	// preemptibleLimits holds the number of preemptible upstreams that a domain can have, for
	// domains that cannot have more. lastReady holds the number that were ready at the previous
	// call.
	preemptibleLimits, lastReady map[string]int
	// substitutes tracks the standard upstreams required in place of unavailable preemptible ones,
	// and lastStandard holds the number of standard ones planned per domain at the previous call.
	substitutes  slidingMax
	lastStandard map[string]int
	// negatedNeeds tracks the recent needs, negated: their maximum is the need that was sustained.
	negatedNeeds slidingMax
	// maxStandardSeen is the highest number of standard upstreams seen. Until registeringUntil,
	// existing ones may still register.
	maxStandardSeen  int
	registeringUntil time.Time
}

// NewPlanner returns a planner without any history.
func NewPlanner(cfg Config) *Planner {
	cfg.fill()
	p := &Planner{cfg: cfg, preemptibleLimits: map[string]int{}, lastReady: map[string]int{}, lastStandard: map[string]int{}}
	p.level.cfg = &p.cfg
	return p
}

// Refused records that a domain has no more preemptible upstreams available, until an order for more
// is accepted.
func (p *Planner) Refused(domain string) { p.preemptibleLimits[domain] = p.lastReady[domain] }

// Accepted records that an order for count preemptible upstreams was accepted. An order for no more
// than the ready ones does not show that there are more.
func (p *Planner) Accepted(domain string, count int) {
	if count > p.lastReady[domain] {
		delete(p.preemptibleLimits, domain)
	}
}

// Plan is the planned number of upstreams.
type Plan struct {
	// Level is the number of upstreams that should serve, and MinServing the lowest number with
	// which the demand can be served for some seconds.
	Level, MinServing int
	Targets           []Target
	// Registering says that existing standard upstreams are still registering. Until they have,
	// orders may only reduce standard upstreams, in favour of others that serve.
	Registering bool
}

// Plan returns the plan for the current state of the service.
func (p *Planner) Plan(now time.Time, s *Service) Plan {
	p.detectRegistrations(now, s)
	level := p.level.Next(now, s)
	p.negatedNeeds.add(now, -s.Need)
	minServing := p.minServing(-p.negatedNeeds.maxSince(now.Add(-sustainedDemand)), level)
	p.detectLosses(s)
	allocations := allocate(s, level, p.cfg.MinStandard, p.preemptibleLimits, p.lastStandard)
	if s.PreemptiblePrice > 0 {
		// The shortage of preemptible upstreams changes within seconds, while a standard upstream
		// serves only after it has booted, so the maximum over some boot times applies.
		p.substitutes.add(now, float64(minServing-totalServing(allocations)))
		addStandard(allocations, int(p.substitutes.maxSince(now.Add(-substituteBoots*s.BootTime))), p.lastStandard)
	}
	retainServing(s, allocations, minServing)
	limitPending(s, allocations, p.cfg.MaxPending)
	plan := Plan{Level: level, MinServing: minServing, Registering: now.Before(p.registeringUntil)}
	for _, r := range allocations {
		p.lastStandard[r.Name] = r.target.Standard
		plan.Targets = append(plan.Targets, Target{Domain: r.Name, Counts: r.target})
	}
	return plan
}

// minServing returns how many upstreams must serve at any time for a sustained need. While no need
// is known, it returns the highest number of standard upstreams seen, up to the level.
func (p *Planner) minServing(need float64, level int) int {
	if !p.level.demandSeen {
		return min(level, p.maxStandardSeen)
	}
	return min(level, int(math.Ceil(need/p.cfg.MaxUtilisation)))
}

// detectLosses records the domains that lose their preemptible upstreams. All of a domain's are
// reclaimed at once, with a notice of some seconds in which others can be ordered.
func (p *Planner) detectLosses(s *Service) {
	for i := range s.Domains {
		d := &s.Domains[i]
		if p.lastReady[d.Name] > 0 && d.Ready.Preemptible == 0 && d.Leaving.Preemptible > 0 {
			p.preemptibleLimits[d.Name] = 0
		}
		p.lastReady[d.Name] = d.Ready.Preemptible
	}
}

// detectRegistrations records whether existing standard upstreams are still registering.
func (p *Planner) detectRegistrations(now time.Time, s *Service) {
	n := 0
	for i := range s.Domains {
		n += s.Domains[i].Ready.Standard
	}
	if n > p.maxStandardSeen && !p.level.demandSeen || p.registeringUntil.IsZero() {
		p.registeringUntil = now.Add(registrationWindow)
	}
	p.maxStandardSeen = max(p.maxStandardSeen, n)
}

// retainServing keeps standard upstreams until others serve in their place, because ordered ones
// take seconds to boot or may be unavailable. Preemptible upstreams get the remaining places in the
// meantime.
func retainServing(s *Service, allocations []*allocation, needed int) {
	surplus := s.ready() - needed
	for _, r := range allocations {
		released := max(0, min(r.Ready.Standard-r.target.Standard, surplus))
		surplus -= released
		r.target.Standard = max(r.target.Standard, r.Ready.Standard-released)
		r.target.Preemptible = min(r.target.Preemptible, r.max-r.target.Standard)
	}
}

// pendingDivisor sets the share of the serving upstreams, one in pendingDivisor, that may always be
// pending.
const pendingDivisor = 10

// limitPending bounds the upstreams ordered in excess of the serving ones, per domain and kind.
func limitPending(s *Service, allocations []*allocation, maxPending int) {
	limit := max(maxPending, s.ready()/pendingDivisor) / max(1, len(allocations))
	for _, r := range allocations {
		r.target.Standard = min(r.target.Standard, r.Ready.Standard+limit)
		r.target.Preemptible = min(r.target.Preemptible, r.Ready.Preemptible+limit)
	}
}
