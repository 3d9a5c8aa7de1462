package sched

import (
	"time"

	"github.com/comfreyladder/comfreyladder/core/pick"
)

const (
	// maxFloorDelay limits how long a class's floor is deferred while more urgent work
	// waits. The credit is kept and served afterwards.
	maxFloorDelay = 5 * time.Second
	// maxOrganisationsTried limits how many organisations of a queue are tried when the
	// first one's ticket fits none of the free upstreams.
	maxOrganisationsTried = 8
	// patienceQuarters is the number of quarters of the first-token target for which a
	// request waits for an engine that is fast enough for it.
	patienceQuarters = 3
)

// slotCounts holds the number of slots that are free for one model.
type slotCounts struct{ protected, unprotected int }

// dispatch issues grants as long as a waiting ticket fits a free upstream.
func (s *Scheduler) dispatch(now time.Time) {
	if s.queued == 0 || now.Before(s.holdUntil) {
		return
	}
	s.countFreeSlots(now)
	s.dispatchRound++
	for {
		l, floor := s.nextQueue()
		if l == nil {
			return
		}
		s.serve(now, l, floor)
	}
}

// dispatchModel runs dispatch after a Submit, which has only added to the queue of one
// model.
func (s *Scheduler) dispatchModel(now time.Time, model string) {
	if s.modelFreeSlots(now, model).protected > 0 {
		s.dispatch(now)
	}
}

func (s *Scheduler) countFreeSlots(now time.Time) {
	for _, r := range s.freeSlots {
		*r = slotCounts{}
	}
	for _, e := range s.engines {
		for _, m := range e.Models {
			r := s.freeSlots[m]
			if r == nil {
				r = &slotCounts{}
				s.freeSlots[m] = r
			}
			s.addFreeSlots(now, e, r)
		}
	}
}

func (s *Scheduler) addFreeSlots(now time.Time, e *engine, r *slotCounts) {
	r.protected += max(e.freeSlots(now, true, s.cfg.Headroom), 0)
	r.unprotected += max(e.freeSlots(now, false, s.cfg.Headroom), 0)
}

func (s *Scheduler) modelFreeSlots(now time.Time, model string) slotCounts {
	r := slotCounts{}
	for _, e := range s.engines {
		if e.modelSet[model] {
			s.addFreeSlots(now, e, &r)
		}
	}
	return r
}

func (s *Scheduler) hasFreeSlot(now time.Time, i *item) bool {
	r := s.modelFreeSlots(now, i.Model)
	if i.class.Protected {
		return r.protected > 0
	}
	return r.unprotected > 0
}

// canServe reports whether a ticket of the queue could be granted now.
func (s *Scheduler) canServe(l *modelQueue) bool {
	r := s.freeSlots[l.model]
	if r == nil || l.queued == 0 || l.blockedInRound == s.dispatchRound {
		return false
	}
	if l.class.Protected {
		return r.protected > 0
	}
	return r.unprotected > 0
}

// nextQueue selects the queue to serve: that of the class with the most floor credit,
// unless its floor can be deferred for more urgent work, else the most urgent tier.
func (s *Scheduler) nextQueue() (l *modelQueue, floor bool) {
	var mostUrgent, mostOwed *modelQueue
	for _, c := range s.classesByTier {
		for _, l := range c.modelQueues {
			if !s.canServe(l) {
				continue
			}
			if mostUrgent == nil || c.Tier == mostUrgent.class.Tier && l.headBefore(mostUrgent) {
				mostUrgent = l
			}
			if s.floorDue(l, mostUrgent) && (mostOwed == nil || c.floorCredit > mostOwed.class.floorCredit) {
				mostOwed = l
			}
		}
	}
	if mostOwed != nil {
		return mostOwed, true
	}
	return mostUrgent, false
}

// floorDue reports whether the floor of the queue's class must be served now. While a
// more urgent class waits, the floor is deferred until half of the maximum credit has
// accumulated. A short burst of urgent work is then not delayed at all, and a long one
// leaves the floor its full rate, delayed by at most maxFloorDelay.
func (s *Scheduler) floorDue(l *modelQueue, mostUrgent *modelQueue) bool {
	c := l.class
	if c.floorCredit <= 0 {
		return false
	}
	return mostUrgent.class.Tier >= c.Tier || c.floorCredit >= s.maxFloorCredit(c)/2
}

// maxFloorCredit returns the limit on a class's floor credit, which covers at least two
// tickets.
func (s *Scheduler) maxFloorCredit(c *class) float64 {
	mean := c.work / float64(max(c.queued, 1))
	return max(c.floor*s.priorCapacity*maxFloorDelay.Seconds(), 2*mean)
}

func (l *modelQueue) headBefore(o *modelQueue) bool {
	return l.byVirtualTokens.top().items.top().before(o.byVirtualTokens.top().items.top())
}

// serve grants one ticket of the queue. If none of the tickets tried fits a free
// upstream, for example because each was tried there before, the queue is skipped for
// the rest of this dispatch.
func (s *Scheduler) serve(now time.Time, l *modelQueue, floor bool) {
	for n := 0; n < min(maxOrganisationsTried, l.byVirtualTokens.len()); n++ {
		i := s.nextItem(now, l.byVirtualTokens.items[n])
		if s.grant(now, i, floor) {
			return
		}
	}
	l.blockedInRound = s.dispatchRound
}

// nextItem returns the organisation's next ticket, after moving tickets that missed
// their target while queued behind the others.
func (s *Scheduler) nextItem(now time.Time, sh *organisationQueue) *item {
	for {
		i := sh.items.top()
		if i.missedTarget || now.Before(i.target) {
			return i
		}
		i.missedTarget = true
		sh.items.fix(0)
	}
}

func (s *Scheduler) grant(now time.Time, i *item, floor bool) bool {
	s.candidates, s.candidateEngines = s.candidates[:0], s.candidateEngines[:0]
	for _, e := range s.engines {
		if e.modelSet[i.Model] {
			s.candidates = append(s.candidates, e.candidate(now, i, s.cfg.Headroom))
			s.candidateEngines = append(s.candidateEngines, e)
		}
	}
	choice, ok := s.chain.Pick(s.pickRequest(now, i), s.candidates, s.rnd)
	if !ok {
		return false
	}
	e := s.candidateEngines[choice.Index]
	prefix := s.candidates[choice.Index].CachedShare
	s.chargeGrant(now, i, floor)
	s.dequeue(i)
	s.assign(now, i, e)
	i.grant = Grant{
		ID: i.ID, Instance: i.Instance, Upstream: e.Name, Address: e.Address, Priority: i.class.Tier,
		Explain: Explanation{
			Waited: now.Sub(i.Arrived), ExpectedWait: i.expectedWait, BelowFloor: floor,
			Candidates: choice.Eligible, Score: choice.Score, CachedPrefix: prefix,
			InFlight: e.inFlight, Slots: e.Slots,
		},
	}
	s.effects = append(s.effects, i.grant)
	return true
}

// pickRequest describes the item to the picker. A request with targets for its first
// token and between tokens is patient for most of the time to its first-token target: a
// slot on a fast engine becomes free every few hundred milliseconds, and an answer that
// is generated too slowly misses its service level anyway.
func (s *Scheduler) pickRequest(now time.Time, i *item) *pick.Request {
	c := &i.class.Class
	r := &pick.Request{Protected: c.Protected, TokenInterval: c.BetweenTokens, Tokens: i.expectedTokens}
	if c.Total > 0 {
		r.Remaining = max(i.Arrived.Add(c.Total).Sub(now), 1)
	}
	r.MayWait = c.BetweenTokens > 0 && c.FirstToken > 0 && now.Sub(i.Arrived) < c.FirstToken*patienceQuarters/4
	return r
}

// chargeGrant accounts for a grant: the floor credits of all waiting classes grow, that
// of the served class shrinks, and the organisation is charged with the expected work.
func (s *Scheduler) chargeGrant(now time.Time, i *item, floor bool) {
	for _, c := range s.classesByTier {
		if c.queued > 0 {
			c.floorCredit = min(c.floorCredit+c.floor*i.work, s.maxFloorCredit(c))
		}
	}
	c := i.class
	switch {
	case floor:
		c.floorCredit -= i.work
	case c.floorCredit > 0:
		c.floorCredit = max(c.floorCredit-i.work, 0)
	}
	c.virtualTokens = max(c.virtualTokens, i.organisationQueue.account.virtualTokens)
	c.charge(i.Organisation, i.work)
	i.charged = i.work
	c.grantedWorkMeter(i.Model).add(now, i.work)
}

func (s *Scheduler) assign(now time.Time, i *item, e *engine) {
	before := slotCounts{}
	s.addFreeSlots(now, e, &before)
	i.engine, i.grantedAt = e, now
	e.addInFlight(now, i, 1)
	e.unstarted[i.ID] = i
	e.addPrompt(now, i)
	e.rememberPrefixes(i.PrefixHashes)
	if e.ejected {
		i.probe = true
		e.nextProbe = now.Add(probeInterval)
	}
	after := slotCounts{}
	s.addFreeSlots(now, e, &after)
	for _, m := range e.Models {
		r := s.freeSlots[m]
		r.protected = max(r.protected-before.protected+after.protected, 0)
		r.unprotected = max(r.unprotected-before.unprotected+after.unprotected, 0)
	}
}
