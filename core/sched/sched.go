package sched

import (
	"math/rand"
	"time"

	"github.com/comfreyladder/comfreyladder/core/pick"
)

// maxOrganisationHistograms limits the answer length histograms of single
// organisations.
const maxOrganisationHistograms = 8192

// Scheduler schedules the requests of one failure domain. See the package comment.
type Scheduler struct {
	cfg       Config
	rnd       *rand.Rand
	chain     *pick.Chain
	estimator *Estimator

	classes map[string]*class
	// classesByTier lists the classes, the most urgent tier first.
	classesByTier []*class
	weights       map[string]float64
	engines       []*engine
	enginesByName map[string]*engine

	items      map[string]*item
	queued     int
	byDeadline indexedHeap[*item]
	// shareIndex and shareCount select this scheduler's share of all slots.
	shareIndex, shareCount int
	holdUntil              time.Time
	nextHealth             time.Time
	// priorCapacity is the work a second of all slots at PriorTokenRate.
	priorCapacity float64
	// dispatchRound is the number of the current dispatch.
	dispatchRound uint64

	effects   []Effect
	freeSlots map[string]*slotCounts
	// candidates and candidateEngines are reused buffers with matching indices.
	candidates       []pick.Candidate
	candidateEngines []*engine
}

// New returns a scheduler without classes and upstreams. It sheds all tickets until
// SetClasses and SetUpstreams were called.
func New(cfg Config, rnd *rand.Rand) *Scheduler {
	return NewWithEstimator(cfg, rnd, NewEstimator(cfg))
}

// NewWithEstimator is like New but starts with existing measurements. The scheduler
// keeps updating k.
func NewWithEstimator(cfg Config, rnd *rand.Rand, k *Estimator) *Scheduler {
	cfg = cfg.withDefaults()
	picker := pick.Picker(pick.Best{})
	if cfg.Uncoordinated {
		picker = pick.TwoChoices{}
	}
	s := &Scheduler{
		cfg: cfg, rnd: rnd, chain: pick.Default(picker),
		estimator: k,
		classes:   map[string]*class{}, weights: map[string]float64{},
		enginesByName: map[string]*engine{}, items: map[string]*item{},
		freeSlots: map[string]*slotCounts{}, shareCount: 1,
	}
	s.byDeadline.less = func(a, b *item) bool { return a.deadline.Before(b.deadline) }
	s.byDeadline.setIndex = func(i *item, at int) { i.deadlineHeapIndex = at }
	return s
}

// HoldGrants suspends grants until the given time, while a new scheduler is still
// learning of its predecessor's grants.
func (s *Scheduler) HoldGrants(until time.Time) { s.holdUntil = until }

// Submit adds a waiting request. A known ID has no effect, so that a ticket can be
// resent after a lost message.
func (s *Scheduler) Submit(now time.Time, t Ticket) []Effect {
	if s.items[t.ID] != nil {
		return nil
	}
	c := s.classes[t.Class]
	if c == nil || c.removed {
		s.shed(&item{Ticket: t}, ReasonUnknownClass, defaultRetryAfter)
		return s.takeEffects()
	}
	i := s.newItem(t, c)
	if s.admit(now, i) {
		s.enqueue(i)
		s.dispatchModel(now, t.Model)
	}
	return s.takeEffects()
}

func (s *Scheduler) enqueue(i *item) {
	i.class.enqueue(i, s.weight(i.Organisation))
	s.byDeadline.push(i)
	s.items[i.ID] = i
	s.queued++
}

func (s *Scheduler) dequeue(i *item) {
	i.class.dequeue(i)
	s.byDeadline.remove(i.deadlineHeapIndex)
	s.queued--
}

// Cancel removes a request whose caller gave up. A granted request is finished as
// incomplete, which frees its slot.
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
	i.class.dropIdleAccount(i.Organisation)
	return nil
}

// Started records the first token of a granted request.
func (s *Scheduler) Started(now time.Time, id string) {
	i := s.items[id]
	if i == nil || i.engine == nil || !i.startedAt.IsZero() {
		return
	}
	i.engine.handleFirstToken(now, i)
}

// Progress records the number of tokens generated so far. Usage beyond the amount
// charged at the grant is charged to the organisation immediately.
func (s *Scheduler) Progress(now time.Time, id string, tokens int) {
	i := s.items[id]
	if i == nil || i.engine == nil {
		return
	}
	s.Started(now, id)
	i.tokens = max(i.tokens, tokens)
	i.engine.recordProgress(now, &i.streamTiming, tokens, i.engine.alpha(now))
	if used := s.workOf(i, float64(i.tokens)); used > i.charged {
		i.class.charge(i.Organisation, used-i.charged)
		i.charged = used
	}
}

// Finish ends a grant, frees its slot and updates the measurements. An unknown ID has
// no effect, so that the call can be repeated.
func (s *Scheduler) Finish(now time.Time, id string, o Outcome) []Effect {
	i := s.items[id]
	if i == nil || i.engine == nil {
		return nil
	}
	delete(s.items, id)
	e := i.engine
	delete(e.unstarted, id)
	e.addInFlight(now, i, -1)
	used := s.workOf(i, float64(o.Tokens))
	if o.Unused {
		used = 0
	}
	i.class.charge(i.Organisation, used-i.charged)
	i.class.dropIdleAccount(i.Organisation)
	e.recordOutcome(now, i, o, used)
	if o.Complete {
		s.estimator.lengths.Observe(i.Class, i.Organisation, o.Tokens)
	}
	s.evaluateProbe(now, i, o)
	s.dropRemovedEngines()
	s.dispatch(now)
	return s.takeEffects()
}

// Restore adds a grant issued by another scheduler. After a scheduler dies, the
// instances report their requests in flight to its successor. Slot limits are not
// checked, because the request is already running.
func (s *Scheduler) Restore(now time.Time, t Ticket, upstream string, tokens int) {
	c := s.classes[t.Class]
	if c == nil {
		return
	}
	e := s.enginesByName[upstream]
	if e == nil {
		// The upstream left while the request was still running on it.
		e = s.addEngine(upstream)
		e.removed = true
	}
	if existing := s.items[t.ID]; existing != nil {
		if existing.engine != nil {
			return
		}
		s.dequeue(existing)
	}
	i := s.newItem(t, c)
	i.engine, i.grantedAt, i.tokens = e, now, tokens
	i.charged = i.work
	i.restored = true
	s.items[t.ID] = i
	c.account(t.Organisation, s.weight(t.Organisation))
	e.addInFlight(now, i, 1)
}

// Tick handles everything that depends on time alone: it sheds expired tickets, checks
// the health of upstreams and issues the grants that have become possible. Call it
// every 50 to 200 ms.
func (s *Scheduler) Tick(now time.Time) []Effect {
	s.shedExpired(now)
	if !now.Before(s.nextHealth) {
		s.nextHealth = now.Add(healthInterval)
		s.checkHealth(now)
		s.shedUnservable()
	}
	s.dispatch(now)
	return s.takeEffects()
}

func (s *Scheduler) takeEffects() []Effect {
	out := s.effects
	s.effects = nil
	return out
}

func (s *Scheduler) newItem(t Ticket, c *class) *item {
	i := &item{Ticket: t, class: c, queueHeapIndex: -1, deadlineHeapIndex: -1}
	tokens := s.expectedTokens(i)
	i.work = s.workOf(i, tokens)
	i.expectedTokens = tokens
	i.expectedDuration = time.Duration(tokens / s.medianTokenRate(t.Model) * float64(time.Second))
	s.setTargetAndDeadline(i)
	return i
}

func (s *Scheduler) expectedTokens(i *item) float64 {
	tokens := s.estimator.lengths.Mean(i.Class, i.Organisation)
	for _, bound := range []int{i.MaxTokens, i.class.MaxTokens} {
		if bound > 0 {
			tokens = min(tokens, float64(bound))
		}
	}
	return tokens
}

func (s *Scheduler) workOf(i *item, tokens float64) float64 {
	return s.estimator.workOf(&i.Ticket, tokens)
}
