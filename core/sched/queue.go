package sched

import (
	"time"

	"github.com/comfreyladder/comfreyladder/core/intent"
)

// item is a ticket that is queued or granted.
type item struct {
	Ticket
	streamTiming
	class             *class
	modelQueue        *modelQueue
	organisationQueue *organisationQueue
	// work is the expected work in weighted tokens, expectedTokens the part of
	// it that will be generated.
	work, expectedTokens float64
	// target is when the level is missed, deadline when the answer is worthless.
	target, deadline time.Time
	// expectedDuration is the expected time from grant to end.
	expectedDuration time.Duration
	expectedWait     time.Duration
	// missedTarget marks a ticket whose target passed in the queue.
	missedTarget bool
	// queueHeapIndex and deadlineHeapIndex are positions in the two heaps, -1 outside.
	queueHeapIndex, deadlineHeapIndex int

	engine  *engine
	grant   Grant
	charged float64
	tokens  int
	probe   bool
	// unprotected and paced are as the class was at the grant.
	unprotected, paced bool
}

// before orders the items of one organisation: those that can still meet their
// level by earliest target, then the late ones. Without the second part an
// overload makes every ticket late: each is served just after its target, at
// the expense of the next.
func (i *item) before(o *item) bool {
	if i.missedTarget != o.missedTarget {
		return o.missedTarget
	}
	return i.target.Before(o.target)
}

// class is one class of the intent with its queues.
type class struct {
	intent.Class
	floor float64
	// floorCredit is the work owed to the class by its floor.
	floorCredit float64
	queued      int
	work        float64
	// virtualTokens is the virtualTokens token count up to which the class was served; a
	// newly active organisation starts there, so that idling earns nothing.
	virtualTokens float64
	accounts      map[string]*account
	modelQueues   map[string]*modelQueue
	grantedWork   map[string]*rateMeter
	removed       bool
}

// account is one organisation's use of one class.
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
	// blockedInRound is the dispatch in which none of the lane's tickets fitted.
	blockedInRound uint64
}

// organisationQueue is one organisation's queue in a lane.
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

// enqueue puts an item into its class's queue.
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

// initialVirtualTokens is the virtual count at which a newly active organisation begins.
func (c *class) initialVirtualTokens(l *modelQueue) float64 {
	if l.byVirtualTokens.len() == 0 {
		return c.virtualTokens
	}
	return min(c.virtualTokens, l.byVirtualTokens.top().account.virtualTokens)
}

// dequeue takes an item out of its class's queue.
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

// charge adds used work to an organisation's virtual count and restores the
// order of its shares. The work may be negative, when an estimate is corrected.
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

// dropIdleAccount drops an idle account that has nothing to its debit.
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
