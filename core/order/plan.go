package order

import (
	"cmp"
	"time"

	"github.com/comfreyladder/comfreyladder/core/intent"
)

// Values of ModelStatus.Note.
const (
	noteBudget      = "waits for the weight store's budget"
	noteNoRoom      = "no engine that may hold it has room"
	noteLastServing = "waits until another engine serves it"
	noteOtherMove   = "waits until another model has moved to another engine"
	noteSaturated   = "its engines are full; one more is loaded"
)

// modelTarget is the wanted and the planned state of one model during a step.
type modelTarget struct {
	model *intent.Model
	// holders counts the engines that hold or are planned to hold the model in the wanted
	// version, anyVersion those in any version, serving those that serve any version.
	holders, anyVersion, serving int
	// recentlyLost counts the engines among holders that disappeared within
	// Config.ReplaceAfter.
	recentlyLost int
	inDemand     bool
	// blocked says that the model cannot be placed in this step.
	blocked bool
	note    string
}

// deficit returns how many replicas are missing.
func (w *modelTarget) deficit() int { return w.model.Replicas - w.holders }

// surplus returns how many replicas could give way to other models.
func (w *modelTarget) surplus() int { return w.holders - w.recentlyLost - w.model.Replicas }

// minServing returns how many engines must keep serving the model during reloads. At most
// a quarter of the wanted engines, but at least one, may be reloading at a time; a model
// in demand also keeps its last serving engine until another one serves it.
func (w *modelTarget) minServing() int {
	wanted := min(w.model.Replicas, w.anyVersion)
	minimum := wanted - max(wanted/4, 1)
	if w.inDemand {
		return max(minimum, 1)
	}
	return max(minimum, 0)
}

// planner computes one step.
type planner struct {
	domain    *Domain
	now       time.Time
	authority Authority
	engines   []*enginePlan
	models    []*modelTarget
	byName    map[string]*modelTarget
	// activeLoads counts the loads in progress in the domain, including those planned in
	// this step.
	activeLoads int
	// budgetExhausted says that no further load may start in this step.
	budgetExhausted bool
}

func (d *Domain) newPlanner(now time.Time, engines []Engine, authority Authority) *planner {
	p := &planner{domain: d, now: now, authority: authority, byName: map[string]*modelTarget{}}
	for i := range engines {
		e := &engines[i]
		rule := d.doc.UpstreamRule(e.Name)
		if rule == nil || rule.Kind != intent.KindEngine {
			continue
		}
		p.engines = append(p.engines, d.newEnginePlan(now, e, rule, authority))
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

// countRecentlyLost counts engines that disappeared a moment ago and held the model. They
// still count as holders, so that a lost heartbeat or a quick restart does not start a
// load on another engine.
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

// saturationThreshold is the share of used slots from which the engines of a model count
// as full.
const saturationThreshold = 0.9

// trackUtilisation records when the model last had work and since when its engines have
// been full.
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
// It prevents the outage that a version change or a move would cause if the only engine
// that serves a model began to load something else: requests would wait for a whole load
// or be refused. A replacement counts only once it announces the model, since an accepted
// order may still fail.
func (p *planner) canStopServing(s *enginePlan, model string) bool {
	w := p.byName[model]
	return w == nil || !s.serves(model) || w.serving > w.minServing()
}

// dropUnwanted removes from the plans what is no longer wanted and may be dropped.
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
			// An old version is dropped once the wanted one is loaded beside it.
			if contains(s.State.Models, Name(w.model)) {
				delete(s.planned, name)
			}
		case name != versionedName(name) && !contains(Names(w.model), name):
			delete(s.planned, name)
		}
	}
}

// unassign removes a model from the plan of an engine and updates its counts.
func (p *planner) unassign(s *enginePlan, w *modelTarget) {
	if s.holdsPermitted(w.model) {
		w.holders--
	}
	w.anyVersion--
	p.adjustServing(s, w, func() { s.dropModel(w.model.Name) })
}

// adjustServing applies a change to the plan of an engine and updates the model's serving
// count if the engine stops serving it.
func (p *planner) adjustServing(s *enginePlan, w *modelTarget, f func()) {
	before := s.serves(w.model.Name)
	f()
	if before && !s.serves(w.model.Name) {
		w.serving--
	}
}

// canStartLoad reports whether a load may start now. After the first refusal no other
// load may start in this step either, so that small loads cannot starve a large one.
func (p *planner) canStartLoad(w *modelTarget, megabytes int) bool {
	maxLoads := cmp.Or(p.domain.doc.Weights.MaxConcurrentLoads, intent.DefaultMaxConcurrentLoads)
	if p.budgetExhausted || p.activeLoads >= maxLoads || p.domain.budget.available < float64(megabytes) {
		p.budgetExhausted = true
		w.note = noteBudget
	}
	return !p.budgetExhausted
}

// assign adds a model to the plan of an engine and charges the load budget.
func (p *planner) assign(w *modelTarget, s *enginePlan) {
	if !s.holdsOtherVersion(w.model) {
		w.anyVersion++
	}
	w.holders++
	p.activeLoads++
	p.domain.budget.available -= float64(sizeWithAdapters(w.model))
	p.adjustServing(s, w, func() { s.planModel(w.model, p.domain.doc) })
}
