package order

import (
	"cmp"
	"time"

	"github.com/comfreyladder/comfreyladder/core/intent"
)

// Notes of ModelStatus.
const (
	noteBudget = "waits for the weight store's budget"
	noteRoom   = "no engine that may hold it has room"
	noteLast   = "waits until another engine serves it"
	noteMove   = "waits until another model has moved to another engine"
	noteHot    = "its engines are full; one more is loaded"
)

// want is one model in a step.
type want struct {
	m *intent.Model
	// good engines hold it in the wanted version or shall, any hold some version,
	// serving ones serve it in some version.
	good, any, serving int
	// ghosts are among the good ones: engines that disappeared a moment ago.
	ghosts int
	demand bool
	// blocked models have no place in this step.
	blocked bool
	note    string
}

// deficit is how many engines are missing.
func (w *want) deficit() int { return w.m.Replicas - w.good }

// surplus is how many engines could be given to other models.
func (w *want) surplus() int { return w.good - w.ghosts - w.m.Replicas }

// floor is how many engines go on to serve whatever is reloaded. A model in
// demand keeps its last one until the successor serves. Besides, only a quarter
// of the wanted engines, or one, may be away at a time.
func (w *want) floor() int {
	wanted := min(w.m.Replicas, w.any)
	floor := wanted - max(wanted/4, 1)
	if w.demand {
		return max(floor, 1)
	}
	return max(floor, 0)
}

// plan is one step.
type plan struct {
	d     *Domain
	now   time.Time
	may   Authority
	seats []*seat
	wants []*want
	byM   map[string]*want
	// coming counts loads under way in the domain, new ones included.
	coming int
	// spent says that the budget lets no further load begin.
	spent bool
}

func (d *Domain) layOut(now time.Time, engines []Engine, may Authority) *plan {
	p := &plan{d: d, now: now, may: may, byM: map[string]*want{}}
	for i := range engines {
		e := &engines[i]
		rule := d.doc.Trust(e.Name)
		if rule == nil || rule.Kind != intent.KindEngine {
			continue
		}
		p.seats = append(p.seats, d.newSeat(now, e, rule, may))
	}
	for i := range d.doc.Models {
		w := &want{m: &d.doc.Models[i]}
		p.wants = append(p.wants, w)
		p.byM[w.m.Name] = w
		p.count(w)
	}
	return p
}

func (p *plan) count(w *want) {
	slots, work := 0, 0
	for _, s := range p.seats {
		switch {
		case s.counts(w.m):
			w.good++
			w.any++
		case s.has(w.m), s.hasOld(w.m):
			w.any++
		}
		if s.State != nil && s.loading(w.m) && !s.stuck {
			p.coming++
		}
		if s.serves(w.m.Name) {
			w.serving++
			slots += s.Slots
			work += s.Running + s.Waiting
		}
	}
	if w.serving > 0 {
		w.ghosts = p.ghosts(w.m)
		w.good += w.ghosts
	}
	p.watch(w, slots, work)
}

// ghosts counts engines that disappeared a moment ago and held the model. A lost
// beat or a quick restart of an engine does not set a load off elsewhere.
func (p *plan) ghosts(m *intent.Model) int {
	n := 0
	for _, k := range p.d.known {
		if k.seen.Before(p.now) && contains(k.names, Name(m)) {
			n++
		}
	}
	return n
}

func contains(list []string, s string) bool {
	for _, e := range list {
		if e == s {
			return true
		}
	}
	return false
}

// fullShare is the share of used slots from which a model's engines count as full.
const fullShare = 0.9

// watch keeps since when the model is without work or its engines are full.
func (p *plan) watch(w *want, slots, work int) {
	name := w.m.Name
	if work > 0 {
		p.d.busy[name] = p.now
	}
	w.demand = p.d.inDemand(p.now, name)
	if slots == 0 || float64(work) < fullShare*float64(slots) {
		delete(p.d.hot, name)
	} else if p.d.hot[name].IsZero() {
		p.d.hot[name] = p.now
	}
}

// mayDrop reports whether the engine may stop serving a model now.
//
// It guards against the outage that a change of version or a move makes when the
// only engine that serves a model begins to load something else: its callers
// wait for a whole load, or get refused. The successor counts from when it
// announces the model itself, since an order that was accepted may still fail.
func (p *plan) mayDrop(s *seat, model string) bool {
	w := p.byM[model]
	return w == nil || !s.serves(model) || w.serving > w.floor()
}

// retire takes out of the plans what is not wanted any more and may go.
func (p *plan) retire() {
	for _, s := range p.seats {
		if s.movable() {
			p.retireAt(s)
		}
	}
}

func (p *plan) retireAt(s *seat) {
	for name := range s.plan {
		base := baseOf(name)
		w := p.byM[base]
		switch {
		case w == nil:
			delete(s.plan, name)
		case !s.permits(base):
			if p.mayDrop(s, base) {
				p.forgetAt(s, w)
			}
		case weightsOf(name) != Name(w.m):
			// An old version goes once the new one is loaded beside it.
			if contains(s.State.Models, Name(w.m)) {
				delete(s.plan, name)
			}
		case name != weightsOf(name) && !contains(Names(w.m), name):
			delete(s.plan, name)
		}
	}
}

// forgetAt drops a model at an engine and counts that.
func (p *plan) forgetAt(s *seat, w *want) {
	if s.counts(w.m) {
		w.good--
	}
	w.any--
	p.change(s, w, func() { s.drop(w.m.Name) })
}

// change counts whether the engine stops serving a model by a change of its plan.
func (p *plan) change(s *seat, w *want, f func()) {
	before := s.serves(w.m.Name)
	f()
	if before && !s.serves(w.m.Name) {
		w.serving--
	}
}

// affordable reports whether a load may begin now; if not, no other one may
// either, so that small loads do not hold up a large one for ever.
func (p *plan) affordable(w *want, megabytes int) bool {
	most := cmp.Or(p.d.doc.Weights.Loads, intent.DefaultLoads)
	if p.spent || p.coming >= most || p.d.budget.level < float64(megabytes) {
		p.spent = true
		w.note = noteBudget
	}
	return !p.spent
}

// load plans a model at an engine and charges the budget.
func (p *plan) load(w *want, s *seat) {
	if !s.hasOld(w.m) {
		w.any++
	}
	w.good++
	p.coming++
	p.d.budget.level -= float64(wholeSize(w.m))
	p.change(s, w, func() { s.put(w.m, p.d.doc) })
}
