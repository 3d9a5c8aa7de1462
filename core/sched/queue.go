package sched

import (
	"time"

	"github.com/comfreyladder/comfreyladder/core/intent"
)

// item is a ticket that is queued or granted.
type item struct {
	Ticket
	stream
	class *class
	lane  *lane
	share *share
	// work is the expected work in weighted tokens, tokensExpected the part of
	// it that will be generated.
	work, tokensExpected float64
	// target is when the level is missed, deadline when the answer is worthless.
	target, deadline time.Time
	// run is the expected time from grant to end.
	run      time.Duration
	expected time.Duration
	// late marks a ticket whose target passed in the queue.
	late bool
	// atShare and atExpiry are positions in the two heaps, -1 outside.
	atShare, atExpiry int

	engine  *engine
	grant   Grant
	charged float64
	tokens  int
	probe   bool
	// unprotected and withPace are as the class was at the grant.
	unprotected, withPace bool
}

// before orders the items of one organisation: those that can still meet their
// level by earliest target, then the late ones. Without the second part an
// overload makes every ticket late: each is served just after its target, at
// the expense of the next.
func (i *item) before(o *item) bool {
	if i.late != o.late {
		return o.late
	}
	return i.target.Before(o.target)
}

// class is one class of the intent with its queues.
type class struct {
	intent.Class
	floor float64
	// credit is the work owed to the class by its floor.
	credit float64
	queued int
	work   float64
	// virtual is the virtual token count up to which the class was served; a
	// newly active organisation starts there, so that idling earns nothing.
	virtual  float64
	accounts map[string]*account
	lanes    map[string]*lane
	granted  map[string]*meter
	gone     bool
}

// account is one organisation's use of one class.
type account struct {
	organisation string
	weight       float64
	virtual      float64
	queued       int
	work         float64
	shares       []*share
}

// lane is the queue of one class for one model.
type lane struct {
	class  *class
	model  string
	queued int
	work   float64
	shares map[string]*share
	order  indexed[*share]
	// blocked is the dispatch in which none of the lane's tickets fitted.
	blocked uint64
}

// share is one organisation's queue in a lane.
type share struct {
	account *account
	lane    *lane
	items   indexed[*item]
	work    float64
	at      int
}

func newClass(c intent.Class) *class {
	return &class{
		Class: c, accounts: map[string]*account{}, lanes: map[string]*lane{}, granted: map[string]*meter{},
	}
}

func (c *class) lane(model string) *lane {
	l := c.lanes[model]
	if l == nil {
		l = &lane{class: c, model: model, shares: map[string]*share{}}
		l.order.less = func(a, b *share) bool { return a.account.virtual < b.account.virtual }
		l.order.place = func(s *share, at int) { s.at = at }
		c.lanes[model] = l
	}
	return l
}

func (c *class) meter(model string) *meter {
	m := c.granted[model]
	if m == nil {
		m = &meter{}
		c.granted[model] = m
	}
	return m
}

func (c *class) account(organisation string, weight float64) *account {
	a := c.accounts[organisation]
	if a == nil {
		a = &account{organisation: organisation, virtual: c.virtual}
		c.accounts[organisation] = a
	}
	a.weight = weight
	return a
}

func (l *lane) share(a *account) *share {
	s := l.shares[a.organisation]
	if s == nil {
		s = &share{account: a, lane: l, at: -1}
		s.items.less = func(a, b *item) bool { return a.before(b) }
		s.items.place = func(i *item, at int) { i.atShare = at }
		l.shares[a.organisation] = s
		a.shares = append(a.shares, s)
	}
	return s
}

// enqueue puts an item into its class's queue.
func (c *class) enqueue(i *item, weight float64) {
	a := c.account(i.Organisation, weight)
	l := c.lane(i.Model)
	if a.queued == 0 {
		a.virtual = max(a.virtual, c.start(l))
	}
	s := l.share(a)
	i.class, i.lane, i.share = c, l, s
	s.items.push(i)
	if s.at < 0 {
		l.order.push(s)
	}
	c.count(i, 1)
}

// start is the virtual count at which a newly active organisation begins.
func (c *class) start(l *lane) float64 {
	if l.order.len() == 0 {
		return c.virtual
	}
	return min(c.virtual, l.order.top().account.virtual)
}

// dequeue takes an item out of its class's queue.
func (c *class) dequeue(i *item) {
	s := i.share
	s.items.remove(i.atShare)
	c.count(i, -1)
	if s.items.len() > 0 {
		return
	}
	s.lane.order.remove(s.at)
	delete(s.lane.shares, s.account.organisation)
	s.account.drop(s)
	if s.lane.queued == 0 {
		delete(c.lanes, s.lane.model)
	}
	if c.queued == 0 {
		c.credit = min(c.credit, 0)
	}
}

func (c *class) count(i *item, sign int) {
	w := float64(sign) * i.work
	c.queued += sign
	c.work += w
	i.lane.queued += sign
	i.lane.work += w
	i.share.work += w
	i.share.account.queued += sign
	i.share.account.work += w
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
	a.virtual += work / a.weight
	for _, s := range a.shares {
		if s.at >= 0 {
			s.lane.order.fix(s.at)
		}
	}
}

// forget drops an idle account that has nothing to its debit.
func (c *class) forget(organisation string) {
	if a := c.accounts[organisation]; a != nil && a.queued == 0 && a.virtual <= c.virtual {
		delete(c.accounts, organisation)
	}
}

func (a *account) drop(s *share) {
	for i, v := range a.shares {
		if v == s {
			a.shares = append(a.shares[:i], a.shares[i+1:]...)
			return
		}
	}
}
