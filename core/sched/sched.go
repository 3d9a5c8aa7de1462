package sched

import (
	"math/rand"
	"slices"
	"time"

	"github.com/comfreyladder/comfreyladder/core/intent"
	"github.com/comfreyladder/comfreyladder/core/pick"
	"github.com/comfreyladder/comfreyladder/core/predict"
)

const (
	// predictEntries bounds the length histograms of single organisations.
	predictEntries = 8192
	// leastFloor is the share of capacity of a class without a declared floor,
	// so that none starves; all such classes together get at most leastFloors.
	leastFloor  = 0.01
	leastFloors = 0.05
)

// Scheduler is the state machine. See the package comment.
type Scheduler struct {
	cfg     Config
	rnd     *rand.Rand
	chain   *pick.Chain
	lengths *predict.Predictor

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

	out        []Effect
	free       map[string]*room
	candidates []pick.Candidate
}

// New returns a scheduler without classes and upstreams; it refuses all tickets
// until SetClasses and SetUpstreams were called.
func New(cfg Config, rnd *rand.Rand) *Scheduler {
	cfg = cfg.withDefaults()
	picker := pick.Picker(pick.Best{})
	if cfg.Apart {
		picker = pick.TwoChoices{}
	}
	s := &Scheduler{
		cfg: cfg, rnd: rnd, chain: pick.Default(picker),
		lengths: predict.New(cfg.PriorTokens, predictEntries),
		classes: map[string]*class{}, weights: map[string]float64{},
		byName: map[string]*engine{}, items: map[string]*item{},
		free: map[string]*room{}, parts: 1,
	}
	s.expiry.less = func(a, b *item) bool { return a.deadline.Before(b.deadline) }
	s.expiry.place = func(i *item, at int) { i.atExpiry = at }
	return s
}

// SetClasses puts the classes of a document in force. Queued tickets of a class
// that is gone are shed by the next Tick; grants go on.
func (s *Scheduler) SetClasses(doc *intent.Document) {
	seen := map[string]bool{}
	for _, c := range doc.Classes {
		seen[c.Name] = true
		if old := s.classes[c.Name]; old != nil {
			old.Class, old.gone = c, false
			continue
		}
		s.classes[c.Name] = newClass(c)
	}
	for name, c := range s.classes {
		c.gone = !seen[name]
	}
	s.sortClasses()
}

func (s *Scheduler) sortClasses() {
	s.order = s.order[:0]
	undeclared := 0
	for _, c := range s.classes {
		s.order = append(s.order, c)
		if c.Floor == 0 {
			undeclared++
		}
	}
	slices.SortFunc(s.order, func(a, b *class) int {
		if a.Tier != b.Tier {
			return a.Tier - b.Tier
		}
		if a.Name < b.Name {
			return -1
		}
		return 1
	})
	for _, c := range s.order {
		c.floor = c.Floor
		if c.Floor == 0 {
			c.floor = min(leastFloor, leastFloors/float64(undeclared))
		}
	}
}

// SetOrganisations puts the weights of a document in force.
func (s *Scheduler) SetOrganisations(doc *intent.Document) {
	s.weights = make(map[string]float64, len(doc.Organisations))
	for _, o := range doc.Organisations {
		s.weights[o.Name] = o.Weight
	}
}

func (s *Scheduler) weight(organisation string) float64 {
	if w := s.weights[organisation]; w > 0 {
		return w
	}
	return 1
}

// SetShare gives this scheduler one of parts equal parts of each upstream's
// slots, for times in which several instances schedule for themselves; part
// counts from 0. What does not divide evenly goes to a part that differs from
// upstream to upstream.
func (s *Scheduler) SetShare(part, parts int) {
	s.part, s.parts = part, max(parts, 1)
	s.countSlots()
}

func (s *Scheduler) countSlots() {
	s.whole = 0
	for _, e := range s.engines {
		e.slots = s.slotsOf(e)
		if !e.gone {
			s.whole += s.cfg.PriorTokenRate * float64(e.slots)
		}
	}
}

func (s *Scheduler) slotsOf(e *engine) int {
	whole, rest := e.Slots/s.parts, e.Slots%s.parts
	turn := 0
	for _, b := range []byte(e.Name) {
		turn = (turn*31 + int(b)) % s.parts
	}
	if (s.part+turn)%s.parts < rest {
		whole++
	}
	return whole
}

// Hold lets nothing be granted before the given time, while a new scheduler
// still learns of the grants of the one before it.
func (s *Scheduler) Hold(until time.Time) { s.holdUntil = until }

// SetUpstreams replaces the list of upstreams. Grants on one that is no longer
// listed stay counted until they finish.
func (s *Scheduler) SetUpstreams(now time.Time, list []Upstream) []Effect {
	for _, e := range s.engines {
		e.gone = true
	}
	for _, u := range list {
		e := s.byName[u.Name]
		if e == nil {
			e = &engine{unstarted: map[string]*item{}, sent: map[uint64]struct{}{}}
			s.byName[u.Name] = e
			s.engines = append(s.engines, e)
		}
		e.update(u)
	}
	s.countSlots()
	s.dropGone()
	s.dispatch(now)
	return s.take()
}

func (s *Scheduler) dropGone() {
	s.engines = slices.DeleteFunc(s.engines, func(e *engine) bool {
		if !e.gone || e.inFlight > 0 {
			return false
		}
		delete(s.byName, e.Name)
		return true
	})
}

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
	i.startedAt = now
	i.engine.started(now, i)
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
		s.lengths.Observe(i.Class, i.Organisation, o.Tokens)
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
	e := s.byName[upstream]
	c := s.classes[t.Class]
	if e == nil || c == nil {
		return
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
	i.run = time.Duration(tokens / s.streamRate(t.Model) * float64(time.Second))
	s.setTimes(i)
	return i
}

func (s *Scheduler) expectedTokens(i *item) float64 {
	tokens := s.lengths.Mean(i.Class, i.Organisation)
	for _, bound := range []int{i.MaxTokens, i.class.MaxTokens} {
		if bound > 0 {
			tokens = min(tokens, float64(bound))
		}
	}
	return tokens
}

// workOf weighs a request's prompt and generated tokens.
func (s *Scheduler) workOf(i *item, tokens float64) float64 {
	return tokens + s.cfg.PromptWeight*float64(i.PromptTokens) + 1
}
