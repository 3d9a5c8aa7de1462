package order

import (
	"cmp"
	"time"

	"github.com/comfreyladder/comfreyladder/core/intent"
)

// Notes of ModelStatus.
const (
	noteBudget      = "waits for the weight store's budget"
	noteNoRoom      = "no engine that may hold it has room"
	noteLastServing = "waits until another engine serves it"
	noteOtherMove   = "waits until another model has moved to another engine"
	noteSaturated   = "its engines are full; one more is loaded"
)

// modelTarget is one model in a step.
type modelTarget struct {
	model *intent.Model
	// holders engines hold it in the wanted version or shall, anyVersion hold some version,
	// serving ones serve it in some version.
	holders, anyVersion, serving int
	// recentlyLost are among the good ones: engines that disappeared a moment ago.
	recentlyLost int
	inDemand     bool
	// blocked models have no place in this step.
	blocked bool
	note    string
}

// deficit is how many engines are missing.
func (w *modelTarget) deficit() int { return w.model.Replicas - w.holders }

// surplus is how many engines could be given to other models.
func (w *modelTarget) surplus() int { return w.holders - w.recentlyLost - w.model.Replicas }

// minServing is how many engines go on to serve whatever is reloaded. A model in
// demand keeps its last one until the successor serves. Besides, only a quarter
// of the wanted engines, or one, may be away at a time.
func (w *modelTarget) minServing() int {
	wanted := min(w.model.Replicas, w.anyVersion)
	floor := wanted - max(wanted/4, 1)
	if w.inDemand {
		return max(floor, 1)
	}
	return max(floor, 0)
}

// planner is one step.
type planner struct {
	domain    *Domain
	now       time.Time
	authority Authority
	engines   []*enginePlan
	models    []*modelTarget
	byName    map[string]*modelTarget
	// activeLoads counts loads under way in the domain, new ones included.
	activeLoads int
	// budgetExhausted says that the budget lets no further load begin.
	budgetExhausted bool
}

func (d *Domain) newPlanner(now time.Time, engines []Engine, may Authority) *planner {
	p := &planner{domain: d, now: now, authority: may, byName: map[string]*modelTarget{}}
	for i := range engines {
		e := &engines[i]
		rule := d.doc.UpstreamRule(e.Name)
		if rule == nil || rule.Kind != intent.KindEngine {
			continue
		}
		p.engines = append(p.engines, d.newEnginePlan(now, e, rule, may))
	}
	for i := range d.doc.Models {
		w := &modelTarget{model: &d.doc.Models[i]}
		p.models = append(p.models, w)
		p.byName[w.model.Name] = w
		p.countEngines(w)
	}
	return p
}

func (p *planner) countEngines(w *modelTarget) {
	slots, work := 0, 0
	for _, s := range p.engines {
		switch {
		case s.holdsPermitted(w.model):
			w.holders++
			w.anyVersion++
		case s.holds(w.model), s.holdsOtherVersion(w.model):
			w.anyVersion++
		}
		if s.State != nil && s.loading(w.model) && !s.stuck {
			p.activeLoads++
		}
		if s.serves(w.model.Name) {
			w.serving++
			slots += s.Slots
			work += s.Running + s.Waiting
		}
	}
	if w.serving > 0 {
		w.recentlyLost = p.countRecentlyLost(w.model)
		w.holders += w.recentlyLost
	}
	p.trackUtilisation(w, slots, work)
}

// countRecentlyLost counts engines that disappeared a moment ago and held the model. A lost
// beat or a quick restart of an engine does not set a load off elsewhere.
func (p *planner) countRecentlyLost(m *intent.Model) int {
	n := 0
	for _, k := range p.domain.histories {
		if k.lastSeen.Before(p.now) && contains(k.models, Name(m)) {
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

// saturationThreshold is the share of used slots from which a model's engines count as full.
const saturationThreshold = 0.9

// trackUtilisation keeps since when the model is without work or its engines are full.
func (p *planner) trackUtilisation(w *modelTarget, slots, work int) {
	name := w.model.Name
	if work > 0 {
		p.domain.lastBusy[name] = p.now
	}
	w.inDemand = p.domain.inDemand(p.now, name)
	if slots == 0 || float64(work) < saturationThreshold*float64(slots) {
		delete(p.domain.saturatedSince, name)
	} else if p.domain.saturatedSince[name].IsZero() {
		p.domain.saturatedSince[name] = p.now
	}
}

// canStopServing reports whether the engine may stop serving a model now.
//
// It guards against the outage that a change of version or a move makes when the
// only engine that serves a model begins to load something else: its callers
// wait for a whole load, or get refused. The successor counts from when it
// announces the model itself, since an order that was accepted may still fail.
func (p *planner) canStopServing(s *enginePlan, model string) bool {
	w := p.byName[model]
	return w == nil || !s.serves(model) || w.serving > w.minServing()
}

// dropUnwanted takes out of the plans what is not wanted any more and may go.
func (p *planner) dropUnwanted() {
	for _, s := range p.engines {
		if s.orderable() {
			p.dropUnwantedAt(s)
		}
	}
}

func (p *planner) dropUnwantedAt(s *enginePlan) {
	for name := range s.planned {
		base := baseName(name)
		w := p.byName[base]
		switch {
		case w == nil:
			delete(s.planned, name)
		case !s.permits(base):
			if p.canStopServing(s, base) {
				p.unassign(s, w)
			}
		case versionedName(name) != Name(w.model):
			// An old version goes once the new one is loaded beside it.
			if contains(s.State.Models, Name(w.model)) {
				delete(s.planned, name)
			}
		case name != versionedName(name) && !contains(Names(w.model), name):
			delete(s.planned, name)
		}
	}
}

// unassign drops a model at an engine and counts that.
func (p *planner) unassign(s *enginePlan, w *modelTarget) {
	if s.holdsPermitted(w.model) {
		w.holders--
	}
	w.anyVersion--
	p.adjustServing(s, w, func() { s.dropModel(w.model.Name) })
}

// adjustServing counts whether the engine stops serving a model by a adjustServing of its plan.
func (p *planner) adjustServing(s *enginePlan, w *modelTarget, f func()) {
	before := s.serves(w.model.Name)
	f()
	if before && !s.serves(w.model.Name) {
		w.serving--
	}
}

// canStartLoad reports whether a load may begin now; if not, no other one may
// either, so that small loads do not hold up a large one for ever.
func (p *planner) canStartLoad(w *modelTarget, megabytes int) bool {
	most := cmp.Or(p.domain.doc.Weights.Loads, intent.DefaultLoads)
	if p.budgetExhausted || p.activeLoads >= most || p.domain.budget.available < float64(megabytes) {
		p.budgetExhausted = true
		w.note = noteBudget
	}
	return !p.budgetExhausted
}

// assign plans a model at an engine and charges the budget.
func (p *planner) assign(w *modelTarget, s *enginePlan) {
	if !s.holdsOtherVersion(w.model) {
		w.anyVersion++
	}
	w.holders++
	p.activeLoads++
	p.domain.budget.available -= float64(sizeWithAdapters(w.model))
	p.adjustServing(s, w, func() { s.planModel(w.model, p.domain.doc) })
}
