package sched

import (
	"math/rand"
	"time"

	"github.com/comfreyladder/comfreyladder/core/pick"
)

// predictEntries bounds the length histograms of single organisations.
const predictEntries = 8192

// Scheduler is the state machine. See the package comment.
type Scheduler struct {
	cfg   Config
	rnd   *rand.Rand
	chain *pick.Chain
	known *Estimator

	classes map[string]*class
	// order lists the classes by tier, the most urgent first.
	order   []*class
	weights map[string]float64
	engines []*engine
	byName  map[string]*engine

	items  map[string]*item
	queued int
	expiry indexed[*item]
	// part and parts say which share of all slots is this scheduler's.
	part, parts int
	holdUntil   time.Time
	nextHealth  time.Time
	// whole is the work a second of all slots, as far as known beforehand.
	whole float64
	// round numbers the dispatches.
	round uint64

	out  []Effect
	free map[string]*room
	// candidates and holders are buffers of a choice, by the same positions.
	candidates []pick.Candidate
	holders    []*engine
}

// New returns a scheduler without classes and upstreams; it refuses all tickets
// until SetClasses and SetUpstreams were called.
func New(cfg Config, rnd *rand.Rand) *Scheduler {
	return NewWithEstimator(cfg, rnd, NewEstimator(cfg))
}

// NewWithEstimator is New with what was learned before; the scheduler goes on with k.
func NewWithEstimator(cfg Config, rnd *rand.Rand, k *Estimator) *Scheduler {
	cfg = cfg.withDefaults()
	picker := pick.Picker(pick.Best{})
	if cfg.Uncoordinated {
		picker = pick.TwoChoices{}
	}
	s := &Scheduler{
		cfg: cfg, rnd: rnd, chain: pick.Default(picker),
		known:   k,
		classes: map[string]*class{}, weights: map[string]float64{},
		byName: map[string]*engine{}, items: map[string]*item{},
		free: map[string]*room{}, parts: 1,
	}
	s.expiry.less = func(a, b *item) bool { return a.deadline.Before(b.deadline) }
	s.expiry.place = func(i *item, at int) { i.atExpiry = at }
	return s
}

// HoldGrants lets nothing be granted before the given time, while a new scheduler
// still learns of the grants of the one before it.
func (s *Scheduler) HoldGrants(until time.Time) { s.holdUntil = until }

// Submit takes in a waiting request. An ID that is known already changes
// nothing, so that a ticket may be sent again after a lost message.
func (s *Scheduler) Submit(now time.Time, t Ticket) []Effect {
	if s.items[t.ID] != nil {
		return nil
	}
	c := s.classes[t.Class]
	if c == nil || c.gone {
		s.shed(&item{Ticket: t}, ReasonUnknownClass, shortRetry)
		return s.take()
	}
	i := s.newItem(t, c)
	if s.admit(now, i) {
		s.enqueue(i)
		s.dispatchModel(now, t.Model)
	}
	return s.take()
}

func (s *Scheduler) enqueue(i *item) {
	i.class.enqueue(i, s.weight(i.Organisation))
	s.expiry.push(i)
	s.items[i.ID] = i
	s.queued++
}

func (s *Scheduler) dequeue(i *item) {
	i.class.dequeue(i)
	s.expiry.remove(i.atExpiry)
	s.queued--
}

// Cancel forgets a request whose caller gave up. For one that was granted it
// frees the slot, as an unused Finish does.
func (s *Scheduler) Cancel(now time.Time, id string) []Effect {
	i := s.items[id]
	if i == nil {
		return nil
	}
	if i.engine != nil {
		return s.Finish(now, id, Outcome{Tokens: i.tokens})
	}
	s.dequeue(i)
	delete(s.items, id)
	i.class.forget(i.Organisation)
	return nil
}

// Started notes that the first token of a granted request arrived.
func (s *Scheduler) Started(now time.Time, id string) {
	i := s.items[id]
	if i == nil || i.engine == nil || !i.startedAt.IsZero() {
		return
	}
	i.engine.start(now, i)
}

// Progress notes how many tokens were generated so far; use beyond what was
// charged at the grant counts against the organisation at once.
func (s *Scheduler) Progress(now time.Time, id string, tokens int) {
	i := s.items[id]
	if i == nil || i.engine == nil {
		return
	}
	s.Started(now, id)
	i.tokens = max(i.tokens, tokens)
	i.engine.pace(now, &i.stream, tokens, i.engine.alpha(now))
	if used := s.workOf(i, float64(i.tokens)); used > i.charged {
		i.class.charge(i.Organisation, used-i.charged)
		i.charged = used
	}
}

// Finish ends a grant, frees its slot and learns from it. An unknown ID changes
// nothing, so that it may be sent again.
func (s *Scheduler) Finish(now time.Time, id string, o Outcome) []Effect {
	i := s.items[id]
	if i == nil || i.engine == nil {
		return nil
	}
	delete(s.items, id)
	e := i.engine
	delete(e.unstarted, id)
	e.flight(now, i, -1)
	used := s.workOf(i, float64(o.Tokens))
	if o.Unused {
		used = 0
	}
	i.class.charge(i.Organisation, used-i.charged)
	i.class.forget(i.Organisation)
	e.learn(now, i, o, used)
	if o.Complete {
		s.known.lengths.Observe(i.Class, i.Organisation, o.Tokens)
	}
	s.judgeProbe(now, i, o)
	s.dropGone()
	s.dispatch(now)
	return s.take()
}

// Restore takes in a grant that another scheduler gave: after it died, the
// instances tell its successor what they have in flight. Nothing is checked
// against the slots, because the request runs already.
func (s *Scheduler) Restore(now time.Time, t Ticket, upstream string, tokens int) {
	c := s.classes[t.Class]
	if c == nil {
		return
	}
	e := s.byName[upstream]
	if e == nil {
		// The upstream left while the request runs on it.
		e = s.addEngine(upstream)
		e.gone = true
	}
	if known := s.items[t.ID]; known != nil {
		if known.engine != nil {
			return
		}
		s.dequeue(known)
	}
	i := s.newItem(t, c)
	i.engine, i.grantedAt, i.tokens = e, now, tokens
	i.charged = i.work
	i.restored = true
	s.items[t.ID] = i
	c.account(t.Organisation, s.weight(t.Organisation))
	e.flight(now, i, 1)
}

// Tick does what time alone demands: it sheds what expired, judges upstreams
// and grants what became possible. Call it every 50 to 200 ms.
func (s *Scheduler) Tick(now time.Time) []Effect {
	s.expire(now)
	if !now.Before(s.nextHealth) {
		s.nextHealth = now.Add(healthInterval)
		s.health(now)
		s.dropStranded()
	}
	s.dispatch(now)
	return s.take()
}

func (s *Scheduler) take() []Effect {
	out := s.out
	s.out = nil
	return out
}

func (s *Scheduler) newItem(t Ticket, c *class) *item {
	i := &item{Ticket: t, class: c, atShare: -1, atExpiry: -1}
	tokens := s.expectedTokens(i)
	i.work = s.workOf(i, tokens)
	i.tokensExpected = tokens
	i.run = time.Duration(tokens / s.streamRate(t.Model) * float64(time.Second))
	s.setTimes(i)
	return i
}

func (s *Scheduler) expectedTokens(i *item) float64 {
	tokens := s.known.lengths.Mean(i.Class, i.Organisation)
	for _, bound := range []int{i.MaxTokens, i.class.MaxTokens} {
		if bound > 0 {
			tokens = min(tokens, float64(bound))
		}
	}
	return tokens
}

func (s *Scheduler) workOf(i *item, tokens float64) float64 {
	return s.known.workOf(&i.Ticket, tokens)
}
