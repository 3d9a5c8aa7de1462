package order

import "cmp"

// assignReplicas assigns models with too few replicas to engines. Models that no engine
// holds or serves go first, then those with the smallest share of their replicas, so that
// after a restart of all engines each model comes back once before any comes back twice.
func (p *planner) assignReplicas() {
	for !p.budgetExhausted {
		w := p.mostUnderReplicated()
		if w == nil {
			return
		}
		if !p.canStartLoad(w, sizeWithAdapters(w.model)) {
			break
		}
		to := p.findPlacement(w)
		if to.engine == nil {
			w.blocked, w.note = true, to.note
			continue
		}
		w.note = ""
		if to.target != w {
			w.blocked, w.note = true, noteOtherMove
		}
		if p.canStartLoad(to.target, sizeWithAdapters(to.target.model)) {
			p.assign(to.target, to.engine)
		}
	}
	for _, w := range p.models {
		if w.deficit() > 0 && !w.blocked && w.note == "" {
			w.note = noteBudget
		}
	}
}

func (p *planner) mostUnderReplicated() *modelTarget {
	var best *modelTarget
	for _, w := range p.models {
		if w.deficit() > 0 && !w.blocked && (best == nil || w.precedes(best)) {
			best = w
		}
	}
	return best
}

// precedes reports whether w is assigned before o.
func (w *modelTarget) precedes(o *modelTarget) bool {
	if none, other := w.holders+w.serving == 0, o.holders+o.serving == 0; none != other {
		return none
	}
	return w.holders*o.model.Replicas < o.holders*w.model.Replicas
}

// placement is a load to start, or the reason why none can start.
type placement struct {
	target *modelTarget
	engine *enginePlan
	note   string
}

// findPlacement returns the load to start next for one more replica of a model. It prefers
// an engine that holds the model in another version, then an engine with room, then an
// engine with a model that has surplus replicas. If there is none, a model on an engine
// that w could use is moved to another engine by the same rules, so that its engine
// becomes free. The search is breadth-first from model to model, so the shortest chain of
// moves is found, and the load returned is the last of the chain.
func (p *planner) findPlacement(w *modelTarget) placement {
	s, note := p.engineToUpgrade(w)
	if s != nil {
		return placement{target: w, engine: s}
	}
	visited := map[*modelTarget]bool{w: true}
	for queue := []*modelTarget{w}; len(queue) > 0; queue = queue[1:] {
		u := queue[0]
		if s := p.engineWithRoom(u); s != nil {
			return placement{target: u, engine: s}
		}
		s, waits := p.evict(u, func(*enginePlan, *modelTarget) bool { return true })
		if s != nil {
			return placement{target: u, engine: s}
		}
		if waits {
			return placement{note: noteLastServing}
		}
		queue = append(queue, p.blockingModels(u, visited)...)
	}
	return placement{note: cmp.Or(note, noteNoRoom)}
}

// blockingModels returns the unvisited models on engines that u could use.
func (p *planner) blockingModels(u *modelTarget, visited map[*modelTarget]bool) (out []*modelTarget) {
	for _, s := range p.engines {
		if !p.canReceive(s, u) || s.holdsOtherVersion(u.model) {
			continue
		}
		for _, v := range p.models {
			if !visited[v] && s.holdsPermitted(v.model) {
				visited[v] = true
				out = append(out, v)
			}
		}
	}
	return out
}

// engineToUpgrade returns an engine that holds the model in another version and can load
// the wanted one beside it or in its place, or the reason why none may do so now.
func (p *planner) engineToUpgrade(w *modelTarget) (*enginePlan, string) {
	var best *enginePlan
	for _, s := range p.engines {
		if !s.orderable() || !s.holdsOtherVersion(w.model) || !s.permits(w.model.Name) {
			continue
		}
		if best == nil || betterUpgrade(s, best, w.model.Name) {
			best = s
		}
	}
	if best != nil && best.plannedModels(p.domain.doc) >= best.maxModels && !p.canStopServing(best, w.model.Name) {
		return nil, noteLastServing
	}
	return best, ""
}

// betterUpgrade prefers an engine that does not serve the model, then the higher rank.
func betterUpgrade(a, b *enginePlan, model string) bool {
	if x, y := a.serves(model), b.serves(model); x != y {
		return y
	}
	return a.rank(model) > b.rank(model)
}

// engineWithRoom returns an engine that can hold one more model. Engines that may hold
// the fewest models are preferred, so that they are not left over while others are full.
func (p *planner) engineWithRoom(w *modelTarget) *enginePlan {
	var best *enginePlan
	for _, s := range p.engines {
		if !p.canReceive(s, w) || s.holdsOtherVersion(w.model) || s.plannedModels(p.domain.doc) >= s.maxModels {
			continue
		}
		if best == nil || p.betterFit(s, best, w.model.Name) {
			best = s
		}
	}
	return best
}

func (p *planner) betterFit(a, b *enginePlan, model string) bool {
	if x, y := a.permittedModels(p.domain.doc), b.permittedModels(p.domain.doc); x != y {
		return x < y
	}
	return a.rank(model) > b.rank(model)
}

// canReceive reports whether the engine may be ordered to hold the model and does not
// hold it.
func (p *planner) canReceive(s *enginePlan, w *modelTarget) bool {
	return s.orderable() && s.permits(w.model.Name) && !s.holds(w.model)
}

// evict makes room on an engine by unassigning a model with surplus replicas. mustWait
// reports that such a model exists but has to stay until enough other engines serve it.
func (p *planner) evict(w *modelTarget, mayEvict func(*enginePlan, *modelTarget) bool) (best *enginePlan, mustWait bool) {
	var victim *modelTarget
	for _, s := range p.engines {
		if !p.canReceive(s, w) || s.holdsOtherVersion(w.model) || s.costMB > 0 {
			continue
		}
		for _, v := range p.models {
			if v == w || v.surplus() <= 0 || !s.holdsPermitted(v.model) || !mayEvict(s, v) {
				continue
			}
			if !p.canStopServing(s, v.model.Name) {
				mustWait = true
				continue
			}
			if victim == nil || v.surplus() > victim.surplus() || v == victim && s.rank(w.model.Name) > best.rank(w.model.Name) {
				best, victim = s, v
			}
		}
	}
	if best != nil {
		p.unassign(best, victim)
	}
	return best, mustWait
}

// loadMissingAdapters adds missing adapters to the engines that hold their model.
func (p *planner) loadMissingAdapters() {
	for _, s := range p.engines {
		if !s.orderable() {
			continue
		}
		for _, w := range p.models {
			if !s.planned[Name(w.model)] {
				continue
			}
			for _, name := range Names(w.model)[1:] {
				if !s.planned[name] && p.canStartLoad(w, adapterSize(w.model)) {
					p.domain.budget.available -= float64(adapterSize(w.model))
					s.planned[name] = true
					s.costMB += adapterSize(w.model)
				}
			}
		}
	}
}

// upgradeVersions reloads engines that hold another version of a model even if it has
// enough replicas of the wanted version: the version that answers must not depend on the
// engine.
func (p *planner) upgradeVersions() {
	for _, w := range p.models {
		for w.deficit() <= 0 && p.needsUpgrade(w) && p.canStartLoad(w, sizeWithAdapters(w.model)) {
			s, note := p.engineToUpgrade(w)
			if s == nil {
				w.note = note
				break
			}
			p.assign(w, s)
		}
	}
}

func (p *planner) needsUpgrade(w *modelTarget) bool {
	for _, s := range p.engines {
		if s.orderable() && s.holdsOtherVersion(w.model) && s.permits(w.model.Name) {
			return true
		}
	}
	return false
}

// scaleSaturated loads a model on one more idle engine if the model's engines have been
// full for Config.SaturatedAfter. The engine becomes available again when other models
// need it.
func (p *planner) scaleSaturated() {
	for _, w := range p.models {
		since := p.domain.saturatedSince[w.model.Name]
		if since.IsZero() || p.now.Sub(since) < p.domain.cfg.SaturatedAfter || w.holders > w.serving || !p.canStartLoad(w, sizeWithAdapters(w.model)) {
			continue
		}
		if s := p.idleEngine(w); s != nil {
			p.assign(w, s)
			w.note = noteSaturated
			p.domain.saturatedSince[w.model.Name] = p.now
		}
	}
}

func (p *planner) idleEngine(w *modelTarget) *enginePlan {
	if s := p.engineWithRoom(w); s != nil && !s.busy() {
		return s
	}
	s, _ := p.evict(w, func(s *enginePlan, v *modelTarget) bool {
		return !s.busy() && p.domain.saturatedSince[v.model.Name].IsZero() && p.now.Sub(s.history.lastLoadOrdered) >= p.domain.cfg.ReassignCooldown
	})
	return s
}
