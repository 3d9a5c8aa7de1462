package sched

import (
	"time"

	"github.com/comfreyladder/comfreyladder/core/intent"
)

// item is a queued or granted ticket.
type item struct {
	Ticket
	streamTiming
	class             *class
	modelQueue        *modelQueue
	organisationQueue *organisationQueue
	// work is the expected work in weighted tokens; expectedTokens is the number of
	// tokens to be generated in it.
	work, expectedTokens float64
	// target is when the service level is missed; deadline is when the answer is no
	// longer useful.
	target, deadline time.Time
	// expectedDuration is the expected time from grant to end.
	expectedDuration time.Duration
	expectedWait     time.Duration
	// missedTarget is set if the target passed while the ticket was queued.
	missedTarget bool
	// queueHeapIndex and deadlineHeapIndex are the indices in the two heaps, -1
	// outside.
	queueHeapIndex, deadlineHeapIndex int

	engine  *engine
	grant   Grant
	charged float64
	tokens  int
	probe   bool
	// unprotected and paced hold the class's settings at the time of the grant.
	unprotected, paced bool
}

// before orders the items of one organisation: first those that can still meet their
// service level, by earliest target, then the late ones. If late items kept their
// place, an overload would make every ticket late: each would be served just after its
// target, at the expense of the next.
func (i *item) before(o *item) bool {
	if i.missedTarget != o.missedTarget {
		return o.missedTarget
	}
	return i.target.Before(o.target)
}

// class is one class of the intent with its queues and usage.
type class struct {
	intent.Class
	floor float64
	// floorCredit is the work owed to the class by its floor.
	floorCredit float64
	queued      int
	work        float64
	// virtualTokens is the virtual token counter up to which the class was served. A
	// newly active organisation starts there, so that it gains nothing from idle time.
	virtualTokens float64
	accounts      map[string]*account
	modelQueues   map[string]*modelQueue
	grantedWork   map[string]*rateMeter
	removed       bool
}

// account is one organisation's usage of one class.
type account struct {
	organisation  string
	weight        float64
	virtualTokens float64
	queued        int
	work          float64
	queues        []*organisationQueue
}

// modelQueue is the queue of one class for one model.
type modelQueue struct {
	class              *class
	model              string
	queued             int
	work               float64
	organisationQueues map[string]*organisationQueue
	byVirtualTokens    indexedHeap[*organisationQueue]
	// blockedInRound is the last dispatch in which none of the queue's tickets fitted.
	blockedInRound uint64
}

// organisationQueue is one organisation's part of a modelQueue.
type organisationQueue struct {
	account    *account
	modelQueue *modelQueue
	items      indexedHeap[*item]
	work       float64
	heapIndex  int
}

func newClass(c intent.Class) *class {
	return &class{
		Class: c, accounts: map[string]*account{}, modelQueues: map[string]*modelQueue{}, grantedWork: map[string]*rateMeter{},
	}
}

func (c *class) modelQueue(model string) *modelQueue {
	l := c.modelQueues[model]
	if l == nil {
		l = &modelQueue{class: c, model: model, organisationQueues: map[string]*organisationQueue{}}
		l.byVirtualTokens.less = func(a, b *organisationQueue) bool { return a.account.virtualTokens < b.account.virtualTokens }
		l.byVirtualTokens.setIndex = func(s *organisationQueue, at int) { s.heapIndex = at }
		c.modelQueues[model] = l
	}
	return l
}

func (c *class) grantedWorkMeter(model string) *rateMeter {
	m := c.grantedWork[model]
	if m == nil {
		m = &rateMeter{}
		c.grantedWork[model] = m
	}
	return m
}

func (c *class) account(organisation string, weight float64) *account {
	a := c.accounts[organisation]
	if a == nil {
		a = &account{organisation: organisation, virtualTokens: c.virtualTokens}
		c.accounts[organisation] = a
	}
	a.weight = weight
	return a
}

func (l *modelQueue) organisationQueue(a *account) *organisationQueue {
	s := l.organisationQueues[a.organisation]
	if s == nil {
		s = &organisationQueue{account: a, modelQueue: l, heapIndex: -1}
		s.items.less = func(a, b *item) bool { return a.before(b) }
		s.items.setIndex = func(i *item, at int) { i.queueHeapIndex = at }
		l.organisationQueues[a.organisation] = s
		a.queues = append(a.queues, s)
	}
	return s
}

// enqueue adds an item to the queue of its model and organisation.
func (c *class) enqueue(i *item, weight float64) {
	a := c.account(i.Organisation, weight)
	l := c.modelQueue(i.Model)
	if a.queued == 0 {
		a.virtualTokens = max(a.virtualTokens, c.initialVirtualTokens(l))
	}
	s := l.organisationQueue(a)
	i.class, i.modelQueue, i.organisationQueue = c, l, s
	s.items.push(i)
	if s.heapIndex < 0 {
		l.byVirtualTokens.push(s)
	}
	c.adjustCounts(i, 1)
}

// initialVirtualTokens returns the virtual token counter at which a newly active
// organisation starts.
func (c *class) initialVirtualTokens(l *modelQueue) float64 {
	if l.byVirtualTokens.len() == 0 {
		return c.virtualTokens
	}
	return min(c.virtualTokens, l.byVirtualTokens.top().account.virtualTokens)
}

// dequeue removes an item from its queue, and the queues that are then empty.
func (c *class) dequeue(i *item) {
	s := i.organisationQueue
	s.items.remove(i.queueHeapIndex)
	c.adjustCounts(i, -1)
	if s.items.len() > 0 {
		return
	}
	s.modelQueue.byVirtualTokens.remove(s.heapIndex)
	delete(s.modelQueue.organisationQueues, s.account.organisation)
	s.account.removeQueue(s)
	if s.modelQueue.queued == 0 {
		delete(c.modelQueues, s.modelQueue.model)
	}
	if c.queued == 0 {
		c.floorCredit = min(c.floorCredit, 0)
	}
}

func (c *class) adjustCounts(i *item, sign int) {
	w := float64(sign) * i.work
	c.queued += sign
	c.work += w
	i.modelQueue.queued += sign
	i.modelQueue.work += w
	i.organisationQueue.work += w
	i.organisationQueue.account.queued += sign
	i.organisationQueue.account.work += w
	if c.queued == 0 {
		c.work = 0
	}
}

// charge adds work to an organisation's virtual token counter and restores the order of
// its queues. The work is negative if an estimate was too high.
func (c *class) charge(organisation string, work float64) {
	a := c.accounts[organisation]
	if a == nil {
		return
	}
	a.virtualTokens += work / a.weight
	for _, s := range a.queues {
		if s.heapIndex >= 0 {
			s.modelQueue.byVirtualTokens.fix(s.heapIndex)
		}
	}
}

// dropIdleAccount removes an account that has nothing queued and whose counter is not
// ahead of the class's.
func (c *class) dropIdleAccount(organisation string) {
	if a := c.accounts[organisation]; a != nil && a.queued == 0 && a.virtualTokens <= c.virtualTokens {
		delete(c.accounts, organisation)
	}
}

func (a *account) removeQueue(s *organisationQueue) {
	for i, v := range a.queues {
		if v == s {
			a.queues = append(a.queues[:i], a.queues[i+1:]...)
			return
		}
	}
}
