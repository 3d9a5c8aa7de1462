package sched

import (
	"time"
)

const (
	// endless stands for "no limit" on a wait.
	endless = 24 * time.Hour
	// shortRetry is the hint where the backlog is not the cause.
	shortRetry = 2 * time.Second
	// leastRetry and mostRetry bound the hints worked out from the backlog.
	leastRetry = 500 * time.Millisecond
	mostRetry  = time.Minute
	// retryJitter spreads hints by this share each way, so that refused callers
	// do not return together.
	retryJitter = 0.2
)

// setTimes works out an item's target and deadline.
func (s *Scheduler) setTimes(i *item) {
	c := &i.class.Class
	i.deadline = i.Deadline
	if i.deadline.IsZero() && c.Deadline > 0 {
		i.deadline = i.Arrived.Add(c.Deadline)
	}
	if i.deadline.IsZero() {
		i.deadline = i.Arrived.Add(endless)
	}
	i.target = i.deadline.Add(-min(i.run, i.deadline.Sub(i.Arrived)))
	if c.FirstToken > 0 {
		i.target = earlier(i.target, i.Arrived.Add(c.FirstToken))
	}
	if c.Total > 0 {
		i.target = earlier(i.target, i.Arrived.Add(max(c.Total-i.run, 0)))
	}
}

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

// admit decides whether a ticket may be queued; if not it sheds it.
func (s *Scheduler) admit(now time.Time, i *item) bool {
	if !now.Before(i.deadline) {
		s.shed(i, ReasonExpiredOnArrival, shortRetry)
		return false
	}
	if !s.anyHolder(i) {
		s.shed(i, ReasonNoUpstream, shortRetry)
		return false
	}
	wait := s.expectedWait(now, i)
	i.expected = wait
	if limit := s.patience(now, i); wait > limit {
		s.shed(i, ReasonBacklog, wait-limit)
		return false
	}
	return s.makeRoom(i, wait)
}

// anyHolder reports whether some upstream could ever take the ticket.
func (s *Scheduler) anyHolder(i *item) bool {
	for _, e := range s.engines {
		if !e.gone && !e.Draining && e.holds[i.Model] && !contains(i.Excluded, e.Name) {
			return true
		}
	}
	return false
}

// patience is how long the ticket may wait for its grant and still be of use.
// Unprotected work has to meet its level. Protected work only has to be done
// before its deadline: late is better than refused.
func (s *Scheduler) patience(now time.Time, i *item) time.Duration {
	first := s.firstToken(i.Model)
	if i.class.Protected {
		return i.deadline.Sub(now) - min(i.run, i.deadline.Sub(now)/2)
	}
	limit := i.target.Sub(now) - first
	// A level that even an idle engine misses must not refuse everything.
	return max(limit, first)
}

// expectedWait estimates the time to a grant from the work that goes before the
// ticket and the rate at which its class is served. Half of its own work stands
// for the time until the first slot becomes free.
func (s *Scheduler) expectedWait(now time.Time, i *item) time.Duration {
	ahead := s.workAbove(i)
	lane := i.class.lanes[i.Model]
	if ahead == 0 && lane == nil && s.hasRoom(now, i) {
		return 0
	}
	rate := s.rate(now, i)
	if lane != nil {
		whole := seconds((ahead + lane.work + i.work/2) / rate)
		if whole <= s.patience(now, i) {
			return whole
		}
		ahead += s.fairBacklog(lane, i)
	}
	return seconds((ahead + i.work/2) / rate)
}

// workAbove sums the queued work that goes before any of the ticket's class.
func (s *Scheduler) workAbove(i *item) float64 {
	sum := 0.0
	for _, c := range s.order {
		if c.Tier > i.class.Tier {
			break
		}
		if l := c.lanes[i.Model]; c != i.class && l != nil {
			sum += l.work
		}
	}
	return sum
}

// fairBacklog is the work of the ticket's own class that goes before it: all of
// its own organisation's, and of each other at most as much, by weight. A small
// organisation is thus not refused for the backlog of a large one.
func (s *Scheduler) fairBacklog(l *lane, i *item) float64 {
	own := i.work
	if sh := l.shares[i.Organisation]; sh != nil {
		own += sh.work
	}
	weight := s.weight(i.Organisation)
	sum := own - i.work
	for _, sh := range l.order.items {
		if sh.account.organisation != i.Organisation {
			sum += min(sh.work, own*sh.account.weight/weight)
		}
	}
	return sum
}

// rate is the work a second that serves the ticket's class for its model. For
// protected work it is the whole capacity: lower tiers are no reason to refuse
// it. For the others it is what more urgent classes were seen to leave, without
// the floors of waiting lower ones, and at least the class's own floor.
func (s *Scheduler) rate(now time.Time, i *item) float64 {
	whole := s.capacity(i.Model)
	if i.class.Protected {
		return whole
	}
	left := whole
	for _, c := range s.order {
		switch m := c.granted[i.Model]; {
		case c == i.class:
		case c.Tier < i.class.Tier && m != nil:
			left -= m.read(now)
		case c.lanes[i.Model] != nil:
			left -= c.floor * whole
		}
	}
	return max(left, i.class.floor*whole, 1e-3)
}

// capacity is the work a second that the model's upstreams do together.
func (s *Scheduler) capacity(model string) float64 {
	sum := 0.0
	for _, e := range s.engines {
		if e.gone || e.Draining || e.aside || !e.holds[model] {
			continue
		}
		rate := e.slotRate
		if rate == 0 {
			rate = s.cfg.PriorTokenRate
		}
		sum += rate * float64(e.slots)
	}
	return max(sum, 1e-3)
}

// makeRoom enforces the bounds on queued work. Protected work takes the place of
// the least urgent queued ticket before it is refused.
func (s *Scheduler) makeRoom(i *item, wait time.Duration) bool {
	if !s.overBound(i) {
		return true
	}
	if victim := s.victim(i); victim != nil {
		s.evict(victim, ReasonDisplaced, s.backlogTime(victim))
		return true
	}
	s.shed(i, ReasonQueueFull, max(wait, s.backlogTime(i)))
	return false
}

func (s *Scheduler) overBound(i *item) bool {
	if s.queued >= s.cfg.MaxQueued {
		return true
	}
	if a := i.class.accounts[i.Organisation]; a != nil && a.queued >= s.cfg.MaxQueuedPerOrganisation {
		return true
	}
	if i.class.Protected {
		return false
	}
	return i.class.queued >= s.cfg.MaxQueuedPerClass || i.class.work+i.work > s.cfg.MaxQueuedWorkPerClass
}

// victim finds the queued ticket that goes first when room is needed: of the
// least urgent class below the ticket's, from the organisation with the most
// queued work, the one with the latest target. Only protected work displaces,
// and only unprotected work of a lower tier is displaced.
func (s *Scheduler) victim(i *item) *item {
	if !i.class.Protected {
		return nil
	}
	for n := len(s.order) - 1; n >= 0; n-- {
		c := s.order[n]
		if c.Tier <= i.class.Tier || c.Protected {
			return nil
		}
		if c.queued > 0 {
			return latest(c)
		}
	}
	return nil
}

func latest(c *class) *item {
	var most *share
	for _, l := range c.lanes {
		for _, sh := range l.order.items {
			if most == nil || sh.work > most.work {
				most = sh
			}
		}
	}
	last := most.items.top()
	for _, i := range most.items.items {
		if last.before(i) {
			last = i
		}
	}
	return last
}

// backlogTime is how long the class's queue for the model takes to drain at the
// whole capacity.
func (s *Scheduler) backlogTime(i *item) time.Duration {
	l := i.class.lanes[i.Model]
	if l == nil {
		return 0
	}
	return seconds((s.workAbove(i) + l.work) / s.capacity(i.Model))
}

func (s *Scheduler) evict(i *item, why Reason, retry time.Duration) {
	s.dequeue(i)
	delete(s.items, i.ID)
	i.class.forget(i.Organisation)
	s.shed(i, why, retry)
}

func (s *Scheduler) shed(i *item, why Reason, retry time.Duration) {
	retry = min(max(retry, leastRetry), mostRetry)
	spread := 1 + retryJitter*(2*s.rnd.Float64()-1)
	retry = time.Duration(float64(retry) * spread)
	s.out = append(s.out, Shed{ID: i.ID, Instance: i.Instance, Reason: why, RetryAfter: retry})
}

// expire sheds queued tickets whose answer can no longer be of use, at once, so
// that their callers learn it without waiting for the deadline.
func (s *Scheduler) expire(now time.Time) {
	for s.expiry.len() > 0 && !now.Before(s.expiry.top().deadline) {
		i := s.expiry.top()
		s.evict(i, ReasonExpired, s.backlogTime(i))
	}
}

// dropStranded sheds queued tickets that no upstream can take any more, or whose
// class is gone.
func (s *Scheduler) dropStranded() {
	for n := s.expiry.len() - 1; n >= 0; n-- {
		if n >= s.expiry.len() {
			continue
		}
		i := s.expiry.items[n]
		switch {
		case i.class.gone:
			s.evict(i, ReasonUnknownClass, shortRetry)
		case !s.anyHolder(i):
			s.evict(i, ReasonNoUpstream, shortRetry)
		}
	}
}

func seconds(s float64) time.Duration {
	return time.Duration(min(s, endless.Seconds()) * float64(time.Second))
}
