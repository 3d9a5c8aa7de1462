package balance

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Engines read prompts between the tokens of running requests, so each long prompt
// stretches the pauses of all streams beside it. Requests with short prompts mostly
// want short pauses. Pools keeps the two apart: the first upstreams in an order that
// all instances compute alike take the quick requests, the others the long ones, in
// proportion to the work that each kind brings. On a calm load of short questions
// beside long reports, 83 to 85 in 100 questions met their pauses without pools.

// Pools decides which upstreams of a service are for quick requests. It is not safe
// for concurrent use.
type Pools struct {
	routes map[string]*routeLoad
	at     time.Time
	// share is the part of the upstreams that is for quick requests.
	share  float64
	others Demand
	// count is how many upstreams are set apart, since moved.
	count int
	moved time.Time
}

// routeLoad is what one route brings.
type routeLoad struct {
	// tokens of prompts, those of them that had to be read, and requests decay with
	// pace.
	tokens, unread, requests float64
	gap                      time.Duration
	// place is how urgent the route is: 0 for the most urgent ones, 1 for the least.
	place float64
	// recent is the work that decays with haste.
	recent float64
}

const (
	// pace is the time constant of the loads: long enough that the pools don't move
	// with each request, short enough to follow a burst.
	pace = 6 * time.Second
	// haste is the time constant of what is admitted: a burst fills engines' queues in
	// a second or two.
	haste = 1500 * time.Millisecond
	// quickShare is up to which part of the longest route's mean prompt another
	// route's prompts are quick, and notable which part of all tokens a route must
	// bring to be that longest one.
	quickShare = 0.4
	notable    = 0.05
	// roominess is how much more room a token of a quick request gets than one of a
	// long request: pauses stay short only while prompts are read a part of the time.
	roominess = 3.0
	// answering is what generating an answer counts as, in prompt tokens.
	answering = 800.0
	// leastShare is the share that quick requests have at least if they are many: a
	// burst of long prompts that nobody keeps yet must not crowd them together.
	leastShare = 0.2
	// enough is how many requests tell something by themselves.
	enough = 20
	// lineStep is by how many upstreams the line must be off to move, lineShare by
	// which part of all, and lineEvery the shortest time between two moves.
	lineStep  = 0.8
	lineShare = 0.04
	lineEvery = 700 * time.Millisecond
	// poolsOrder makes the order of the pools another one than those of prompts.
	poolsOrder = 1
)

// NewPools returns pools that know no load.
func NewPools() *Pools { return &Pools{routes: map[string]*routeLoad{}} }

// Offer is a request that came, whether it is taken or not.
type Offer struct {
	Route string
	// Tokens are those of its prompt, Unread those that are to be read for it.
	Tokens, Unread int
	// Gap is the longest pause that it allows; zero means that it does not say.
	Gap time.Duration
	// Place is how urgent its route is: 0 for the most urgent ones, 1 for the least.
	Place float64
}

// Note counts a request.
func (p *Pools) Note(now time.Time, o *Offer) {
	p.decay(now)
	l := p.routes[o.Route]
	if l == nil {
		l = &routeLoad{}
		p.routes[o.Route] = l
	}
	l.tokens += float64(o.Tokens)
	l.unread += float64(o.Unread)
	l.requests++
	l.gap, l.place = o.Gap, o.Place
	l.recent += float64(o.Unread) + answering
	p.reshare(now)
}

func (p *Pools) decay(now time.Time) {
	if p.at.IsZero() {
		p.at = now
	}
	f := math.Exp(-now.Sub(p.at).Seconds() / pace.Seconds())
	fast := math.Exp(-now.Sub(p.at).Seconds() / haste.Seconds())
	p.at = now
	for name, l := range p.routes {
		l.recent *= fast
		l.tokens *= f
		l.unread *= f
		l.requests *= f
		if l.requests < 0.01 {
			delete(p.routes, name)
		}
	}
}

// Quick reports whether the requests of a route are quick ones.
func (p *Pools) Quick(route string) bool {
	l := p.routes[route]
	return l != nil && p.quick(l)
}

func (p *Pools) quick(l *routeLoad) bool {
	tokens, longest := 0.0, 0.0
	for _, o := range p.routes {
		tokens += o.tokens
	}
	for _, o := range p.routes {
		if o.tokens > notable*tokens {
			longest = max(longest, o.tokens/o.requests)
		}
	}
	return l.gap > 0 && l.tokens/l.requests < quickShare*longest
}

// Demand is the work that quick and long requests bring, in prompt tokens a second.
// Recent is what long ones brought in the last second or two.
type Demand struct{ Quick, Long, Recent float64 }

// Own returns the demand that this instance sees.
func (p *Pools) Own(now time.Time) Demand {
	p.decay(now)
	var d Demand
	for _, l := range p.routes {
		if p.quick(l) {
			d.Quick += (roominess*l.unread + answering*l.requests) / pace.Seconds()
		} else {
			d.Long += (l.unread + answering*l.requests) / pace.Seconds()
			d.Recent += l.recent / haste.Seconds()
		}
	}
	return d
}

// SetOthers takes the demand that all other instances see. One instance's part of
// the requests is too few to tell the proportion, and all must draw about the same
// line, or each would have its prompts kept elsewhere.
func (p *Pools) SetOthers(d Demand) { p.others = d }

// reshare works out the share that quick requests should have now.
func (p *Pools) reshare(now time.Time) {
	d := p.Own(now)
	quick, long := d.Quick+p.others.Quick, d.Long+p.others.Long
	p.share = 0
	switch {
	case p.others == (Demand{}) && p.requests() < enough:
		// Some requests of its own tell an instance nothing of the proportion; one that
		// drew the line by them would have its prompts kept where nobody else does.
		p.share = leastShare
	case quick > 0:
		p.share = max(quick/(quick+long), min(leastShare, p.quickRequests()/2))
	}
}

func (p *Pools) requests() float64 {
	all := 0.0
	for _, l := range p.routes {
		all += l.requests
	}
	return all
}

// quickRequests returns which part of the requests here are quick ones.
func (p *Pools) quickRequests() float64 {
	quick, all := 0.0, 0.0
	for _, l := range p.routes {
		all += l.requests
		if p.quick(l) {
			quick += l.requests
		}
	}
	return quick / all
}

// Engines that read prompts all the time generate so slowly that streams miss their
// deadlines and what was read for them is wasted. busiest is the part of the time
// for which they may read.
const (
	busiest = 0.8
	// leastAdmitted is the part of each route's requests that is taken in any case.
	leastAdmitted = 0.3
)

// Admitted returns which part of a long route's requests the upstreams that are not
// for quick ones can bear, if each of so many reads so many tokens a second. Where it
// is not all, the most urgent routes come first.
func (p *Pools) Admitted(now time.Time, route string, upstreams, perSecond float64) float64 {
	own := p.Own(now)
	if own.Recent <= 0 {
		return 1
	}
	left := busiest * upstreams * perSecond
	scale := (own.Recent + p.others.Recent) / own.Recent
	for _, l := range p.longRoutes() {
		demand := scale * l.recent / haste.Seconds()
		part := min(1, max(leastAdmitted, left/demand))
		if l == p.routes[route] {
			return part
		}
		left = max(0, left-part*demand)
	}
	return 1
}

// longRoutes returns the loads of long routes, the most urgent first.
func (p *Pools) longRoutes() (list []*routeLoad) {
	for _, l := range p.routes {
		if !p.quick(l) {
			list = append(list, l)
		}
	}
	slices.SortFunc(list, func(a, b *routeLoad) int { return cmp.Compare(a.place, b.place) })
	return list
}

// line returns how many of so many upstreams are set apart. It follows the share half
// of the way at a time, and not at all for little: an upstream that changes sides
// loses what it keeps.
func (p *Pools) line(now time.Time, upstreams int) int {
	ideal := p.share * float64(upstreams)
	if p.count == 0 || p.count >= upstreams {
		p.count, p.moved = clamp(int(math.Round(ideal)), upstreams), now
		return p.count
	}
	off := ideal - float64(p.count)
	if math.Abs(off) > max(lineStep, lineShare*float64(upstreams)) && now.Sub(p.moved) > lineEvery {
		step := int(math.Round(off / 2))
		if step == 0 {
			step = int(math.Copysign(1, off))
		}
		p.count, p.moved = clamp(p.count+step, upstreams), now
	}
	return p.count
}

// clamp leaves at least one upstream on each side.
func clamp(count, upstreams int) int { return min(upstreams-1, max(1, count)) }

// Split marks in the list which upstreams are for quick requests. Where there is
// only one, or all requests are alike, none is set apart.
func (p *Pools) Split(now time.Time, ids []string) map[string]bool {
	if p.share == 0 || len(ids) < 2 {
		return nil
	}
	order := slices.Clone(ids)
	slices.SortFunc(order, func(a, b string) int {
		x, y := rendezvous(poolsOrder, a), rendezvous(poolsOrder, b)
		switch {
		case x < y:
			return -1
		case x > y:
			return 1
		}
		return 0
	})
	k := p.line(now, len(order))
	quick := make(map[string]bool, k)
	for _, id := range order[:k] {
		quick[id] = true
	}
	return quick
}
