package scale

import (
	"math"
	"time"
)

// arriveFor is for how long after the last one came standard upstreams may still come that
// nobody here has ordered: after a start of all, heartbeats take a second or more.
const arriveFor = 1500 * time.Millisecond

// lasting is for how long a demand must last for standard upstreams to be ordered for it:
// they serve only after a boot, and one that is over by then is met by nobody.
const lasting = 1500 * time.Millisecond

// extraBoots is for how many boots standard upstreams stay that were ordered for want of
// others: until they serve, and until the others have booted that took their places.
const extraBoots = 2

// Planner plans for one service. It is not safe for concurrent use.
type Planner struct {
	cfg   Config
	level Level
	// limits are how many preemptible upstreams domains can have that can't have more, had
	// how many were ready at the last look.
	limits, had map[string]int
	// extra are the standard upstreams that were ordered for want of others, and chosen how
	// many standard ones each domain was to have at the last look.
	extra  peaks
	chosen map[string]int
	// needs are the latest needs, negated: the least of them is one that lasts.
	needs peaks
	// standard is the greatest number of standard upstreams, seen until arriving.
	standard int
	arriving time.Time
}

// NewPlanner returns a planner that knows nothing.
func NewPlanner(cfg Config) *Planner {
	cfg.fill()
	p := &Planner{cfg: cfg, limits: map[string]int{}, had: map[string]int{}, chosen: map[string]int{}}
	p.level.cfg = &p.cfg
	return p
}

// Refused notes that no more preemptible upstreams are to be had in a domain, until an order
// of more is accepted.
func (p *Planner) Refused(domain string) { p.limits[domain] = p.had[domain] }

// Accepted notes that an order of so many was taken. One of no more than there are proves
// nothing.
func (p *Planner) Accepted(domain string, count int) {
	if count > p.had[domain] {
		delete(p.limits, domain)
	}
}

// Plan is what there should be.
type Plan struct {
	// Level is how many upstreams should serve, MinServing the least with which the demand is
	// borne for some seconds.
	Level, MinServing int
	Targets           []Target
	// Registering says that standard upstreams go on to show up that stood before: only what
	// is given up for others that serve is to be ordered of them.
	Registering bool
}

// Plan returns what there should be now.
func (p *Planner) Plan(now time.Time, s *Service) Plan {
	p.watchArrivals(now, s)
	level := p.level.Next(now, s)
	p.needs.note(now, -s.Need)
	bearable := p.bearable(-p.needs.most(now.Add(-lasting)), level)
	p.watchLosses(s)
	rooms := spread(s, level, p.cfg.MinStandard, p.limits, p.chosen)
	if s.PreemptiblePrice > 0 {
		// The want of others comes and goes by the second; a standard upstream that was
		// ordered serves only after its boot.
		p.extra.note(now, float64(bearable-servingAll(rooms)))
		addStandard(rooms, int(p.extra.most(now.Add(-extraBoots*s.BootTime))), p.chosen)
	}
	keepServing(s, rooms, bearable)
	limitComing(s, rooms, p.cfg.MaxPending)
	plan := Plan{Level: level, MinServing: bearable, Registering: now.Before(p.arriving)}
	for _, r := range rooms {
		p.chosen[r.Name] = r.want.Standard
		plan.Targets = append(plan.Targets, Target{Domain: r.Name, Counts: r.want})
	}
	return plan
}

// bearable returns how many upstreams must serve at any time for a need that lasts, or what
// stood at first as long as none is known.
func (p *Planner) bearable(need float64, level int) int {
	if !p.level.seen {
		return min(level, p.standard)
	}
	return min(level, int(math.Ceil(need/p.cfg.MaxUtilisation)))
}

// watchLosses notes which domains lose their preemptible upstreams: all at once, with a
// notice of some seconds, in which others can be ordered.
func (p *Planner) watchLosses(s *Service) {
	for i := range s.Domains {
		d := &s.Domains[i]
		if p.had[d.Name] > 0 && d.Ready.Preemptible == 0 && d.Leaving.Preemptible > 0 {
			p.limits[d.Name] = 0
		}
		p.had[d.Name] = d.Ready.Preemptible
	}
}

// watchArrivals notes whether standard upstreams that stood before go on to show up.
func (p *Planner) watchArrivals(now time.Time, s *Service) {
	n := 0
	for i := range s.Domains {
		n += s.Domains[i].Ready.Standard
	}
	if n > p.standard && !p.level.seen || p.arriving.IsZero() {
		p.arriving = now.Add(arriveFor)
	}
	p.standard = max(p.standard, n)
}

// keepServing puts off giving up standard upstreams until others serve in their place: what
// is ordered takes some seconds to boot, or isn't to be had. Preemptible ones get the places
// that are left meanwhile.
func keepServing(s *Service, rooms []*room, needed int) {
	surplus := s.standing() - needed
	for _, r := range rooms {
		give := max(0, min(r.Ready.Standard-r.want.Standard, surplus))
		surplus -= give
		r.want.Standard = max(r.want.Standard, r.Ready.Standard-give)
		r.want.Preemptible = min(r.want.Preemptible, r.max-r.want.Standard)
	}
}

// comingPart is which part of those that serve may always come at a time.
const comingPart = 10

// limitComing bounds how many more than serve are ordered in each domain, of each kind.
func limitComing(s *Service, rooms []*room, coming int) {
	part := max(coming, s.standing()/comingPart) / max(1, len(rooms))
	for _, r := range rooms {
		r.want.Standard = min(r.want.Standard, r.Ready.Standard+part)
		r.want.Preemptible = min(r.want.Preemptible, r.Ready.Preemptible+part)
	}
}
