package sched

import (
	"time"

	"github.com/comfreyladder/comfreyladder/core/pick"
)

const (
	// floorDelay is for how long a class's floor may be put off while more
	// urgent work waits; the credit is kept and paid back after that.
	floorDelay = 5 * time.Second
	// blockedShares is how many organisations are tried when the first one's
	// ticket fits none of the free upstreams.
	blockedShares = 8
	// patientShare is for how many quarters of the time to the first token a
	// request waits for an engine that is fast enough for it.
	patientShare = 3
)

// room counts the slots that are free for one model.
type room struct{ protected, unprotected int }

// dispatch grants as long as a waiting ticket fits a free upstream.
func (s *Scheduler) dispatch(now time.Time) {
	if s.queued == 0 || now.Before(s.holdUntil) {
		return
	}
	s.countRoom(now)
	s.round++
	for {
		l, floor := s.next()
		if l == nil {
			return
		}
		s.serve(now, l, floor)
	}
}

// dispatchModel is dispatch after a Submit: only one model's queue has grown.
func (s *Scheduler) dispatchModel(now time.Time, model string) {
	if s.modelRoom(now, model).protected > 0 {
		s.dispatch(now)
	}
}

func (s *Scheduler) countRoom(now time.Time) {
	for _, r := range s.free {
		*r = room{}
	}
	for _, e := range s.engines {
		for _, m := range e.Models {
			r := s.free[m]
			if r == nil {
				r = &room{}
				s.free[m] = r
			}
			s.addRoom(now, e, r)
		}
	}
}

func (s *Scheduler) addRoom(now time.Time, e *engine, r *room) {
	r.protected += max(e.free(now, true, s.cfg.Headroom), 0)
	r.unprotected += max(e.free(now, false, s.cfg.Headroom), 0)
}

func (s *Scheduler) modelRoom(now time.Time, model string) room {
	r := room{}
	for _, e := range s.engines {
		if e.holds[model] {
			s.addRoom(now, e, &r)
		}
	}
	return r
}

func (s *Scheduler) hasRoom(now time.Time, i *item) bool {
	r := s.modelRoom(now, i.Model)
	if i.class.Protected {
		return r.protected > 0
	}
	return r.unprotected > 0
}

// open reports whether a ticket of the lane could be granted now.
func (s *Scheduler) open(l *lane) bool {
	r := s.free[l.model]
	if r == nil || l.queued == 0 || l.blocked == s.round {
		return false
	}
	if l.class.Protected {
		return r.protected > 0
	}
	return r.unprotected > 0
}

// next chooses the lane to serve: the class with the most floor credit, unless
// that can be put off for more urgent work, else the most urgent tier.
func (s *Scheduler) next() (l *lane, floor bool) {
	var first, owed *lane
	for _, c := range s.order {
		for _, l := range c.lanes {
			if !s.open(l) {
				continue
			}
			if first == nil || c.Tier == first.class.Tier && l.headBefore(first) {
				first = l
			}
			if s.due(l, first) && (owed == nil || c.credit > owed.class.credit) {
				owed = l
			}
		}
	}
	if owed != nil {
		return owed, true
	}
	return first, false
}

// due reports whether the lane's class is owed work by its floor. While a more
// urgent class waits, the floor is put off until half of the most credit has
// gathered: a short burst of urgent work is then not slowed at all, and a long
// one leaves the floor its full rate, later by at most floorDelay.
func (s *Scheduler) due(l *lane, first *lane) bool {
	c := l.class
	if c.credit <= 0 {
		return false
	}
	return first.class.Tier >= c.Tier || c.credit >= s.mostCredit(c)/2
}

// mostCredit bounds what a class can be owed; it covers at least two tickets.
func (s *Scheduler) mostCredit(c *class) float64 {
	mean := c.work / float64(max(c.queued, 1))
	return max(c.floor*s.whole*floorDelay.Seconds(), 2*mean)
}

func (l *lane) headBefore(o *lane) bool {
	return l.order.top().items.top().before(o.order.top().items.top())
}

// serve grants one ticket of the lane, or leaves the lane out for the rest of
// this dispatch when none of its tickets fits: all free upstreams were tried by
// those tickets before.
func (s *Scheduler) serve(now time.Time, l *lane, floor bool) {
	for n := 0; n < min(blockedShares, l.order.len()); n++ {
		i := s.head(now, l.order.items[n])
		if s.grant(now, i, floor) {
			return
		}
	}
	l.blocked = s.round
}

// head returns the organisation's next ticket, after moving those behind that
// missed their target while they waited.
func (s *Scheduler) head(now time.Time, sh *share) *item {
	for {
		i := sh.items.top()
		if i.late || now.Before(i.target) {
			return i
		}
		i.late = true
		sh.items.fix(0)
	}
}

func (s *Scheduler) grant(now time.Time, i *item, floor bool) bool {
	s.candidates, s.holders = s.candidates[:0], s.holders[:0]
	for _, e := range s.engines {
		if e.holds[i.Model] {
			s.candidates = append(s.candidates, e.candidate(now, i, s.cfg.Headroom))
			s.holders = append(s.holders, e)
		}
	}
	choice, ok := s.chain.Pick(s.request(now, i), s.candidates, s.rnd)
	if !ok {
		return false
	}
	e := s.holders[choice.Index]
	prefix := s.candidates[choice.Index].Prefix
	s.account(now, i, floor)
	s.dequeue(i)
	s.send(now, i, e)
	i.grant = Grant{
		ID: i.ID, Instance: i.Instance, Upstream: e.Name, Address: e.Address, Priority: i.class.Tier,
		Explain: Explanation{
			Waited: now.Sub(i.Arrived), ExpectedWait: i.expected, BelowFloor: floor,
			Candidates: choice.Kept, Score: choice.Score, CachedPrefix: prefix,
			InFlight: e.inFlight, Slots: e.Slots,
		},
	}
	s.out = append(s.out, i.grant)
	return true
}

// request describes the item for a choice. One with a target for its first token
// is patient for most of the time to it: a slot at a good engine becomes free
// every few hundred milliseconds, and an answer that crawls from its first token
// on has missed its level already.
func (s *Scheduler) request(now time.Time, i *item) *pick.Request {
	c := &i.class.Class
	r := &pick.Request{Protected: c.Protected, Pace: c.BetweenTokens, Tokens: i.tokensExpected}
	if c.Total > 0 {
		r.Left = max(i.Arrived.Add(c.Total).Sub(now), 1)
	}
	r.Patient = c.BetweenTokens > 0 && c.FirstToken > 0 && now.Sub(i.Arrived) < c.FirstToken*patientShare/4
	return r
}

// account books a grant: floor credits of all waiting classes grow, the served
// one's shrinks, and the organisation is charged with the expected work.
func (s *Scheduler) account(now time.Time, i *item, floor bool) {
	for _, c := range s.order {
		if c.queued > 0 {
			c.credit = min(c.credit+c.floor*i.work, s.mostCredit(c))
		}
	}
	c := i.class
	switch {
	case floor:
		c.credit -= i.work
	case c.credit > 0:
		c.credit = max(c.credit-i.work, 0)
	}
	c.virtual = max(c.virtual, i.share.account.virtual)
	c.charge(i.Organisation, i.work)
	i.charged = i.work
	c.meter(i.Model).add(now, i.work)
}

func (s *Scheduler) send(now time.Time, i *item, e *engine) {
	before := room{}
	s.addRoom(now, e, &before)
	i.engine, i.grantedAt = e, now
	e.flight(now, i, 1)
	e.unstarted[i.ID] = i
	e.prompted(now, i)
	e.remember(i.PrefixHashes)
	if e.aside {
		i.probe = true
		e.nextProbe = now.Add(probeInterval)
	}
	after := room{}
	s.addRoom(now, e, &after)
	for _, m := range e.Models {
		r := s.free[m]
		r.protected = max(r.protected-before.protected+after.protected, 0)
		r.unprotected = max(r.unprotected-before.unprotected+after.unprotected, 0)
	}
}
