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

// Pools decides which upstreams of a service are for quick requests. All instances go by
// the same sums: one instance's part of the requests is too few to tell the proportion,
// and each would have its prompts kept elsewhere. It is not safe for concurrent use.
type Pools struct {
	// own is what this instance sees, others what all others see.
	own    map[string]*RouteLoad
	others map[string]RouteLoad
	at     time.Time
	// engine is what the upstreams can do.
	engine Engine
	// share is the part of the upstreams that is for quick requests.
	share float64
	// count is how many upstreams are set apart, since moved.
	count int
	moved time.Time
}

// Engine is what an engine of a service can do, as far as it is known.
type Engine struct {
	// PerMS is how many prompt tokens it reads in a millisecond, Slots how many requests it
	// runs at once, and Count how many such engines there are. Where one is zero, only the
	// proportion of what is to be read counts.
	PerMS, Slots, Count float64
}

// windowPart is which part of the time constants holds before so many engines.
func (e *Engine) windowPart() float64 {
	if e.Count == 0 {
		return 1
	}
	return min(1, max(leastWindow, fewEngines/e.Count))
}

// loadWindow and admitWindow are the time constants of the loads and of what is admitted, in seconds.
func (e *Engine) loadWindow() float64  { return e.windowPart() * loadWindow.Seconds() }
func (e *Engine) admitWindow() float64 { return e.windowPart() * admitWindow.Seconds() }

// RouteLoad is what one route brings, as one instance sees it or several.
type RouteLoad struct {
	// Tokens of prompts, Unread, those of them that had to be read, and Requests are
	// sums that decay with loadWindow.
	Tokens, Unread, Requests float64
	// SlotTime is for how long its requests hold slots, in seconds; it decays with loadWindow.
	SlotTime float64
	// Recent is the work, in prompt tokens, and RecentSlots the SlotTime, that decay with
	// admitWindow. RecentCached is the part of Recent for requests whose shared tokens are cached
	// where they would go.
	Recent, RecentSlots, RecentCached float64
	// Gap is the longest pause that the route allows; zero means that it does not say.
	Gap time.Duration
	// Rank is how urgent the route is: 0 for the most urgent ones, 1 for the least.
	Rank float64
}

const (
	// loadWindow is the time constant of the loads: long enough that the pools don't move
	// with each request, short enough to follow a burst.
	loadWindow = 3 * time.Second
	// admitWindow is the time constant of what is admitted: a burst fills engines' queues in
	// a second or two.
	admitWindow = 1500 * time.Millisecond
	// fewEngines is up to how many engines these time constants hold: more engines get as
	// many requests in less time, down to a leastWindow of the time. Before 78 and 112
	// engines the line follows a burst earlier; before 12 and 18 half of the time told
	// nothing but noise.
	fewEngines  = 20.0
	leastWindow = 0.5
	// quickShare is up to which part of the longest route's mean prompt another
	// route's prompts are quick, and notable which part of all tokens a route must
	// bring to be that longest one.
	// Less than leastSeen requests tell no mean: where one instance's part is taken off a
	// sum that is a moment older, some tokens may be left of hardly any request.
	quickShare = 0.4
	notable    = 0.05
	leastSeen  = 0.5
	// briefShare is up to which part of its pause the reading of a prompt is brief.
	briefShare = 1.0 / 6
	// quickRoom is how much more room a token of a quick request gets than one of a
	// long request: pauses stay short only while prompts are read a part of the time.
	quickRoom = 3.0
	// slotRoom is how much more slots than requests hold on the mean there should be for
	// quick ones: arrivals come unevenly, and one that finds no slot free is late at once.
	slotRoom = 1.4
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
	lineEvery = 400 * time.Millisecond
	// poolsOrder makes the order of the pools another one than those of prompts.
	poolsOrder = 1
)

// NewPools returns pools that know no load.
func NewPools() *Pools { return &Pools{own: map[string]*RouteLoad{}, share: leastShare} }

// SetEngine says what the upstreams can do.
func (p *Pools) SetEngine(e Engine) { p.engine = e }

// Offer is a request that came, whether it is taken or not.
type Offer struct {
	Route string
	// Tokens are those of its prompt, Unread those that are to be read for it.
	Tokens, Unread int
	// Cached says that the upstream that it would go to has its shared tokens, or can
	// fetch them.
	Cached bool
	// SlotTime is for how long it is expected to hold a slot.
	SlotTime time.Duration
	// Gap is the longest pause that it allows; zero means that it does not say.
	Gap time.Duration
	// Rank is how urgent its route is: 0 for the most urgent ones, 1 for the least.
	Rank float64
}

// Record counts a request.
func (p *Pools) Record(now time.Time, o *Offer) {
	p.decay(now)
	l := p.own[o.Route]
	if l == nil {
		l = &RouteLoad{}
		p.own[o.Route] = l
	}
	l.Tokens += float64(o.Tokens)
	l.Unread += float64(o.Unread)
	l.Requests++
	l.SlotTime += o.SlotTime.Seconds()
	l.Recent += float64(o.Unread) + answering
	l.RecentSlots += o.SlotTime.Seconds()
	if o.Cached {
		l.RecentCached += float64(o.Unread) + answering
	}
	l.Gap, l.Rank = o.Gap, o.Rank
	p.reshare()
}

func (p *Pools) decay(now time.Time) {
	if p.at.IsZero() {
		p.at = now
	}
	f := math.Exp(-now.Sub(p.at).Seconds() / p.engine.loadWindow())
	fast := math.Exp(-now.Sub(p.at).Seconds() / p.engine.admitWindow())
	p.at = now
	for name, l := range p.own {
		l.Recent *= fast
		l.RecentSlots *= fast
		l.RecentCached *= fast
		l.Tokens *= f
		l.Unread *= f
		l.SlotTime *= f
		l.Requests *= f
		if l.Requests < 0.01 {
			delete(p.own, name)
		}
	}
}

// LocalLoads returns what this instance sees, by route.
func (p *Pools) LocalLoads(now time.Time) map[string]*RouteLoad {
	p.decay(now)
	return p.own
}

// SetRemoteLoads takes what all other instances see, by route.
func (p *Pools) SetRemoteLoads(loads map[string]RouteLoad) {
	p.others = loads
	p.reshare()
}

// all returns the loads of all instances, by route.
func (p *Pools) all() map[string]RouteLoad {
	sum := make(map[string]RouteLoad, len(p.own)+len(p.others))
	for name, l := range p.others {
		sum[name] = l
	}
	for name, l := range p.own {
		s := sum[name]
		s.Tokens += l.Tokens
		s.Unread += l.Unread
		s.Requests += l.Requests
		s.SlotTime += l.SlotTime
		s.Recent += l.Recent
		s.RecentSlots += l.RecentSlots
		s.RecentCached += l.RecentCached
		s.Gap, s.Rank = l.Gap, l.Rank
		sum[name] = s
	}
	return sum
}

// Quick reports whether a request is a quick one: its route's prompts are short beside
// those of the longest route. Before enough requests tell, it is one if reading its
// prompt, at so many tokens a millisecond, takes a small part of the pause that it allows.
func (p *Pools) Quick(o *Offer, perMS float64) bool {
	loads := p.all()
	l, known := loads[o.Route]
	if !known || requestsOf(loads) < enough {
		return float64(o.Tokens)/perMS < briefShare*float64(o.Gap.Milliseconds())
	}
	return quick(&l, longest(loads))
}

// longest returns the mean prompt of the route with the longest ones, among those that
// bring a notable part of all tokens.
func longest(loads map[string]RouteLoad) float64 {
	tokens, most := 0.0, 0.0
	for _, l := range loads {
		tokens += l.Tokens
	}
	for _, l := range loads {
		if l.Tokens > notable*tokens && l.Requests >= leastSeen {
			most = max(most, l.Tokens/l.Requests)
		}
	}
	return most
}

func quick(l *RouteLoad, longest float64) bool {
	return l.Gap > 0 && l.Tokens/l.Requests < quickShare*longest
}

func requestsOf(loads map[string]RouteLoad) float64 {
	sum := 0.0
	for _, l := range loads {
		sum += l.Requests
	}
	return sum
}

// reshare works out the share that quick requests should have now.
func (p *Pools) reshare() {
	loads := p.all()
	requests := requestsOf(loads)
	if requests < enough {
		// A few requests tell nothing of the proportion; who drew the line by them would
		// have its prompts kept where nobody else does.
		p.share = leastShare
		return
	}
	p.share = quickPart(claimsOf(loads, &p.engine), p.engine.Count)
	if p.share > 0 {
		p.share = max(p.share, min(leastShare, quickRequests(loads)/requests/2))
	}
}

// quickRequests returns how many of the requests are quick ones.
func quickRequests(loads map[string]RouteLoad) float64 {
	most, sum := longest(loads), 0.0
	for _, l := range loads {
		if quick(&l, most) {
			sum += l.Requests
		}
	}
	return sum
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
