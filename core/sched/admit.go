package sched

import (
	"time"
)

const (
	// unlimitedWait stands for a wait without a limit.
	unlimitedWait = 24 * time.Hour
	// defaultRetryAfter is the retry hint where the backlog is not the cause.
	defaultRetryAfter = 2 * time.Second
	// minRetryAfter and maxRetryAfter limit the hints computed from the backlog.
	minRetryAfter = 500 * time.Millisecond
	maxRetryAfter = time.Minute
	// retryJitter is the share by which hints are randomised in each direction, so that
	// refused callers do not retry all at once.
	retryJitter = 0.2
)

func (s *Scheduler) setTargetAndDeadline(i *item) {
	c := &i.class.Class
	i.deadline = i.Deadline
	if i.deadline.IsZero() && c.Deadline > 0 {
		i.deadline = i.Arrived.Add(c.Deadline)
	}
	if i.deadline.IsZero() {
		i.deadline = i.Arrived.Add(unlimitedWait)
	}
	i.target = i.deadline.Add(-min(i.expectedDuration, i.deadline.Sub(i.Arrived)))
	if c.FirstToken > 0 {
		i.target = earlier(i.target, i.Arrived.Add(c.FirstToken))
	}
	if c.Total > 0 {
		i.target = earlier(i.target, i.Arrived.Add(max(c.Total-i.expectedDuration, 0)))
	}
}

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

// admit decides whether a ticket may be queued and sheds it if not.
func (s *Scheduler) admit(now time.Time, i *item) bool {
	if !now.Before(i.deadline) {
		s.shed(i, ReasonExpiredOnArrival, defaultRetryAfter)
		return false
	}
	if !s.hasEligibleUpstream(i) {
		s.shed(i, ReasonNoUpstream, defaultRetryAfter)
		return false
	}
	wait := s.expectedWait(now, i)
	i.expectedWait = wait
	if limit := s.maxWait(now, i); wait > limit {
		s.shed(i, ReasonBacklog, wait-limit)
		return false
	}
	return s.enforceQueueBounds(i, wait)
}

// hasEligibleUpstream reports whether any upstream could serve the ticket, now or
// later.
func (s *Scheduler) hasEligibleUpstream(i *item) bool {
	for _, e := range s.engines {
		if !e.removed && !e.Draining && e.modelSet[i.Model] && !contains(i.Excluded, e.Name) {
			return true
		}
	}
	return false
}

// maxWait returns how long the ticket may wait for its grant and still be useful.
// Unprotected requests must meet their service level. Protected requests only have to
// finish before their deadline: a late answer is better than a refusal.
func (s *Scheduler) maxWait(now time.Time, i *item) time.Duration {
	first := s.medianFirstToken(i.Model)
	if i.class.Protected {
		return i.deadline.Sub(now) - min(i.expectedDuration, i.deadline.Sub(now)/2)
	}
	limit := i.target.Sub(now) - first
	// A service level that even an idle engine misses must not shed every request.
	return max(limit, first)
}

// expectedWait estimates the time to a grant from the work ahead of the ticket and the
// rate at which its class is served. Half of the ticket's own work approximates the
// time until the first slot becomes free.
func (s *Scheduler) expectedWait(now time.Time, i *item) time.Duration {
	ahead := s.higherPriorityWork(i)
	queue := i.class.modelQueues[i.Model]
	if ahead == 0 && queue == nil && s.hasFreeSlot(now, i) {
		return 0
	}
	rate := s.serviceRate(now, i)
	if queue != nil {
		totalWait := secondsToDuration((ahead + queue.work + i.work/2) / rate)
		if totalWait <= s.maxWait(now, i) {
			return totalWait
		}
		ahead += s.fairShareBacklog(queue, i)
	}
	return secondsToDuration((ahead + i.work/2) / rate)
}

// higherPriorityWork sums the queued work for the model in the other classes of the same
// tier as the ticket's class or a more urgent one.
func (s *Scheduler) higherPriorityWork(i *item) float64 {
	sum := 0.0
	for _, c := range s.classesByTier {
		if c.Tier > i.class.Tier {
			break
		}
		if l := c.modelQueues[i.Model]; c != i.class && l != nil {
			sum += l.work
		}
	}
	return sum
}

// fairShareBacklog returns the work of the ticket's own class that is served before the
// ticket: all of its own organisation's, and of each other organisation at most as
// much, scaled by weight. A small organisation is thus not refused because of the
// backlog of a large one.
func (s *Scheduler) fairShareBacklog(l *modelQueue, i *item) float64 {
	own := i.work
	if sh := l.organisationQueues[i.Organisation]; sh != nil {
		own += sh.work
	}
	weight := s.weight(i.Organisation)
	sum := own - i.work
	for _, sh := range l.byVirtualTokens.items {
		if sh.account.organisation != i.Organisation {
			sum += min(sh.work, own*sh.account.weight/weight)
		}
	}
	return sum
}

// serviceRate returns the work a second available to the ticket's class for its model.
// For protected classes it is the whole capacity: lower tiers are no reason to refuse
// them. For other classes it is the capacity less the measured usage of more urgent
// classes and the floors of other waiting classes, but at least the class's own floor.
func (s *Scheduler) serviceRate(now time.Time, i *item) float64 {
	total := s.capacity(i.Model)
	if i.class.Protected {
		return total
	}
	remaining := total
	for _, c := range s.classesByTier {
		switch m := c.grantedWork[i.Model]; {
		case c == i.class:
		case c.Tier < i.class.Tier && m != nil:
			remaining -= m.rateAt(now)
		case c.modelQueues[i.Model] != nil:
			remaining -= c.floor * total
		}
	}
	return max(remaining, i.class.floor*total, 1e-3)
}

// capacity returns the work a second of all the model's upstreams together.
func (s *Scheduler) capacity(model string) float64 {
	sum := 0.0
	for _, e := range s.engines {
		if e.removed || e.Draining || e.ejected || !e.modelSet[model] {
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

// enforceQueueBounds applies the limits on queued work. A protected ticket displaces
// the least urgent queued ticket before it is shed itself.
func (s *Scheduler) enforceQueueBounds(i *item, wait time.Duration) bool {
	if !s.exceedsQueueBounds(i) {
		return true
	}
	if victim := s.displacementVictim(i); victim != nil {
		s.evict(victim, ReasonDisplaced, s.drainTime(victim))
		return true
	}
	s.shed(i, ReasonQueueFull, max(wait, s.drainTime(i)))
	return false
}

func (s *Scheduler) exceedsQueueBounds(i *item) bool {
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

// displacementVictim returns the queued ticket to evict in favour of i, or nil. It
// belongs to the least urgent class below that of i, there to the organisation with the
// most queued work, and has the latest target. Only protected tickets displace others,
// and only unprotected tickets of a lower tier are displaced.
func (s *Scheduler) displacementVictim(i *item) *item {
	if !i.class.Protected {
		return nil
	}
	for n := len(s.classesByTier) - 1; n >= 0; n-- {
		c := s.classesByTier[n]
		if c.Tier <= i.class.Tier || c.Protected {
			return nil
		}
		if c.queued > 0 {
			return latestOfLargestQueue(c)
		}
	}
	return nil
}

func latestOfLargestQueue(c *class) *item {
	var largest *organisationQueue
	for _, l := range c.modelQueues {
		for _, sh := range l.byVirtualTokens.items {
			if largest == nil || sh.work > largest.work {
				largest = sh
			}
		}
	}
	last := largest.items.top()
	for _, i := range largest.items.items {
		if last.before(i) {
			last = i
		}
	}
	return last
}

// drainTime estimates how long the class's queue for the model takes to drain at full
// capacity.
func (s *Scheduler) drainTime(i *item) time.Duration {
	l := i.class.modelQueues[i.Model]
	if l == nil {
		return 0
	}
	return secondsToDuration((s.higherPriorityWork(i) + l.work) / s.capacity(i.Model))
}

func (s *Scheduler) evict(i *item, why Reason, retry time.Duration) {
	s.dequeue(i)
	delete(s.items, i.ID)
	i.class.dropIdleAccount(i.Organisation)
	s.shed(i, why, retry)
}

func (s *Scheduler) shed(i *item, why Reason, retry time.Duration) {
	retry = min(max(retry, minRetryAfter), maxRetryAfter)
	spread := 1 + retryJitter*(2*s.rnd.Float64()-1)
	retry = time.Duration(float64(retry) * spread)
	s.effects = append(s.effects, Shed{ID: i.ID, Instance: i.Instance, Reason: why, RetryAfter: retry})
}

// shedExpired sheds queued tickets as soon as their deadline has passed, so that their
// callers need not wait until it would have been their turn.
func (s *Scheduler) shedExpired(now time.Time) {
	for s.byDeadline.len() > 0 && !now.Before(s.byDeadline.top().deadline) {
		i := s.byDeadline.top()
		s.evict(i, ReasonExpired, s.drainTime(i))
	}
}

// shedUnservable sheds queued tickets that no upstream can serve any more or whose
// class was removed.
func (s *Scheduler) shedUnservable() {
	for n := s.byDeadline.len() - 1; n >= 0; n-- {
		if n >= s.byDeadline.len() {
			continue
		}
		i := s.byDeadline.items[n]
		switch {
		case i.class.removed:
			s.evict(i, ReasonUnknownClass, defaultRetryAfter)
		case !s.hasEligibleUpstream(i):
			s.evict(i, ReasonNoUpstream, defaultRetryAfter)
		}
	}
}

func secondsToDuration(s float64) time.Duration {
	return time.Duration(min(s, unlimitedWait.Seconds()) * float64(time.Second))
}
