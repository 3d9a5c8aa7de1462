package balance

import (
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
}

const (
	// pace is the time constant of the loads: long enough that the pools don't move
	// with each request, short enough to follow a burst.
	pace = 6 * time.Second
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
	// lineStep is by how many upstreams the line must be off to move, and lineEvery
	// the shortest time between two moves.
	lineStep  = 0.8
	lineEvery = 700 * time.Millisecond
	// poolsOrder makes the order of the pools another one than those of prompts.
	poolsOrder = 1
)

// NewPools returns pools that know no load.
func NewPools() *Pools { return &Pools{routes: map[string]*routeLoad{}} }

// Note counts a request of a route, with the tokens of its prompt, those that are to
// be read for it, and the longest pause that it allows; zero means that it does not
// say.
func (p *Pools) Note(now time.Time, route string, tokens, unread int, gap time.Duration) {
	p.decay(now)
	l := p.routes[route]
	if l == nil {
		l = &routeLoad{}
		p.routes[route] = l
	}
	l.tokens += float64(tokens)
	l.unread += float64(unread)
	l.requests++
	l.gap = gap
	p.reshare(now)
}

func (p *Pools) decay(now time.Time) {
	if p.at.IsZero() {
		p.at = now
	}
	f := math.Exp(-now.Sub(p.at).Seconds() / pace.Seconds())
	p.at = now
	for name, l := range p.routes {
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
type Demand struct{ Quick, Long float64 }

// Own returns the demand that this instance sees.
func (p *Pools) Own(now time.Time) Demand {
	p.decay(now)
	var d Demand
	for _, l := range p.routes {
		if p.quick(l) {
			d.Quick += (roominess*l.unread + answering*l.requests) / pace.Seconds()
		} else {
			d.Long += (l.unread + answering*l.requests) / pace.Seconds()
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
	if quick > 0 {
		p.share = quick / (quick + long)
	}
}

// line returns how many of so many upstreams are set apart. It follows the share one
// upstream at a time: one that changes sides loses what it keeps.
func (p *Pools) line(now time.Time, upstreams int) int {
	ideal := p.share * float64(upstreams)
	wanted := min(upstreams-1, max(1, int(math.Round(ideal))))
	switch {
	case p.count == 0 || p.count >= upstreams:
		p.count, p.moved = wanted, now
	case math.Abs(ideal-float64(p.count)) > lineStep && now.Sub(p.moved) > lineEvery:
		if wanted > p.count {
			p.count++
		} else {
			p.count = max(1, p.count-1)
		}
		p.moved = now
	}
	return p.count
}

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
