package order

import (
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/comfreyladder/comfreyladder/core/intent"
)

// enginePlan is one engine during a step, with the models that it is planned to hold.
type enginePlan struct {
	*Engine
	rule     *intent.Upstream
	history  *engineHistory
	inFlight *inFlightOrder
	// fresh says that the last heartbeat is recent enough for the engine to count as
	// serving.
	fresh bool
	// stuck says that a load has taken longer than Config.LoadTimeout; allowed that the
	// authority covers the engine and no backoff is pending.
	stuck, allowed bool
	// current is what the engine reports as held or being loaded, and what an in-flight
	// order adds to that; planned is what it should hold.
	current, planned map[string]bool
	costMB           int
	maxModels        int
}

func (d *Domain) newEnginePlan(now time.Time, e *Engine, rule *intent.Upstream, authority Authority) *enginePlan {
	s := &enginePlan{
		Engine: e, rule: rule, history: d.historyOf(now, e), inFlight: d.inFlight[e.Name],
		fresh: now.Sub(e.HeardAt) <= d.cfg.MaxHeartbeatAge, current: map[string]bool{}, planned: map[string]bool{},
	}
	if e.State != nil {
		addAll(s.current, e.State.Models)
		addAll(s.current, e.State.Loading)
		s.detectStuckLoad(now, d.cfg.LoadTimeout)
		s.checkLastOrder(now, d.cfg.Backoff)
	}
	for name := range s.current {
		s.planned[name] = true
	}
	if s.inFlight != nil {
		clear(s.planned)
		addAll(s.planned, s.inFlight.models)
		addAll(s.current, s.inFlight.models)
	}
	s.allowed = authority.allows(rule) && !now.Before(s.history.retryAfter)
	s.maxModels = rule.MaxModels
	if s.maxModels == 0 {
		s.maxModels = max(1, s.plannedModels(d.doc))
	}
	return s
}

// detectStuckLoad marks an engine whose load does not end. Otherwise the load would
// permanently take one of the domain's concurrent loads, and its model would never be
// loaded elsewhere.
func (s *enginePlan) detectStuckLoad(now time.Time, timeout time.Duration) {
	switch {
	case len(s.State.Loading) == 0:
		s.history.loadingSince = time.Time{}
	case s.history.loadingSince.IsZero():
		s.history.loadingSince = now
	}
	s.stuck = !s.history.loadingSince.IsZero() && now.Sub(s.history.loadingSince) > timeout
}

// checkLastOrder compares the reported state with the last order that was answered and
// backs off if they differ. Otherwise an engine that accepts an order and does not follow
// it, such as one with too little memory, would be sent the same order, and the budget
// charged for it, in every step.
func (s *enginePlan) checkLastOrder(now time.Time, backoff time.Duration) {
	m := s.history
	if !m.verifyLastOrder {
		return
	}
	m.verifyLastOrder = false
	if maps.Equal(s.current, setOf(m.lastOrder.Models)) && s.State.Role == m.lastOrder.Role {
		m.failures = 0
		return
	}
	m.retryAfter, m.failure = now.Add(backoff<<min(m.failures, maxBackoffDoublings)), Diverged
	m.failures++
}

func setOf(names []string) map[string]bool {
	set := make(map[string]bool, len(names))
	addAll(set, names)
	return set
}

func addAll(set map[string]bool, names []string) {
	for _, n := range names {
		set[n] = true
	}
}

// orderable reports whether the engine may be given an order in this step.
func (s *enginePlan) orderable() bool {
	return s.allowed && s.State != nil && !s.NoOrders && s.inFlight == nil && !s.stuck
}

// plannedModels counts the declared models that the engine is planned to hold; each
// version counts.
func (s *enginePlan) plannedModels(doc *intent.Document) int {
	weights := map[string]bool{}
	for name := range s.planned {
		if w := versionedName(name); doc.Model(baseName(w)) != nil {
			weights[w] = true
		}
	}
	return len(weights)
}

// permits reports whether the upstream rule lets the engine hold a model.
func (s *enginePlan) permits(model string) bool {
	return len(s.rule.Models) == 0 || slices.Contains(s.rule.Models, model)
}

// permittedModels counts the models that the engine may hold.
func (s *enginePlan) permittedModels(doc *intent.Document) int {
	if len(s.rule.Models) == 0 {
		return len(doc.Models)
	}
	return len(s.rule.Models)
}

// holds reports whether the engine holds, or is planned to hold, the model in the wanted
// version. If the engine's state was not read, what it announces is taken for the wanted
// version: otherwise each new issuer would order everything again.
func (s *enginePlan) holds(m *intent.Model) bool {
	if s.State == nil || s.NoOrders {
		return slices.Contains(s.Serves, m.Name)
	}
	return s.planned[Name(m)] && (!s.stuck || !s.loading(m))
}

// holdsPermitted reports whether the engine holds the model and is permitted to.
func (s *enginePlan) holdsPermitted(m *intent.Model) bool { return s.holds(m) && s.permits(m.Name) }

// holdsOtherVersion reports whether the engine is planned to hold the model only in
// another version.
func (s *enginePlan) holdsOtherVersion(m *intent.Model) bool {
	if s.State == nil || s.NoOrders || s.holds(m) {
		return false
	}
	for name := range s.planned {
		if baseName(name) == m.Name {
			return true
		}
	}
	return false
}

// serves reports whether the engine serves a model in any version now and keeps doing so
// under its plan.
func (s *enginePlan) serves(model string) bool {
	if !s.fresh || !slices.Contains(s.Serves, model) {
		return false
	}
	if s.State == nil || s.NoOrders {
		return true
	}
	for _, name := range s.State.Models {
		if s.planned[name] && name == versionedName(name) && baseName(name) == model {
			return true
		}
	}
	return false
}

// loading reports whether the engine is planned to hold a model whose weights are not
// loaded yet.
func (s *enginePlan) loading(m *intent.Model) bool {
	name := Name(m)
	return s.planned[name] && (s.State == nil || !slices.Contains(s.State.Models, name))
}

func (s *enginePlan) busy() bool { return s.Running+s.Waiting > 0 }

// planModel plans a model with its adapters. If there is no room for both, its other
// versions are dropped.
func (s *enginePlan) planModel(m *intent.Model, doc *intent.Document) {
	addAll(s.planned, Names(m))
	if s.plannedModels(doc) > s.maxModels {
		s.dropOtherVersions(m)
	}
	s.costMB += sizeWithAdapters(m)
}

// dropOtherVersions removes unwanted versions of the model from the plan.
func (s *enginePlan) dropOtherVersions(m *intent.Model) {
	for name := range s.planned {
		if baseName(name) == m.Name && versionedName(name) != Name(m) {
			delete(s.planned, name)
		}
	}
}

// dropModel removes all versions of a model from the plan.
func (s *enginePlan) dropModel(model string) {
	for name := range s.planned {
		if baseName(name) == model {
			delete(s.planned, name)
		}
	}
}

// rank is the rendezvous hash of a model and an engine, so that a model's preferred
// engines change little when engines come and go.
func (s *enginePlan) rank(model string) uint64 { return xxhash.Sum64String(model + "\x00" + s.Name) }
