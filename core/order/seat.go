package order

import (
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/comfreyladder/comfreyladder/core/intent"
)

// enginePlan is one engine in a step, with what it is planned to hold.
type enginePlan struct {
	*Engine
	rule     *intent.Upstream
	history  *engineHistory
	inFlight *inFlightOrder
	// fresh engines count on to serve.
	fresh bool
	// stuck engines load for too long; allowed ones may be ordered at this time.
	stuck, allowed bool
	// current is what it holds or loads by its own word or by an order on its way,
	// planned what it shall.
	current, planned map[string]bool
	costMB           int
	maxModels        int
}

func (d *Domain) newEnginePlan(now time.Time, e *Engine, rule *intent.Upstream, may Authority) *enginePlan {
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
	s.allowed = may.allows(rule) && !now.Before(s.history.retryAfter)
	s.maxModels = rule.MaxModels
	if s.maxModels == 0 {
		s.maxModels = max(1, s.plannedModels(d.doc))
	}
	return s
}

// detectStuckLoad guards against an engine whose load never ends: it would take one
// of the loads that the domain may have under way for ever, and its model would
// be waited for in vain.
func (s *enginePlan) detectStuckLoad(now time.Time, patience time.Duration) {
	switch {
	case len(s.State.Loading) == 0:
		s.history.loadingSince = time.Time{}
	case s.history.loadingSince.IsZero():
		s.history.loadingSince = now
	}
	s.stuck = !s.history.loadingSince.IsZero() && now.Sub(s.history.loadingSince) > patience
}

// checkLastOrder guards against an engine that takes an order and does otherwise,
// such as one whose memory is too small: it would be sent the same order, and the
// budget be charged for it, with each step.
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

// orderable seats may be given an order in this step.
func (s *enginePlan) orderable() bool {
	return s.allowed && s.State != nil && !s.NoOrders && s.inFlight == nil && !s.stuck
}

// plannedModels counts the weights that the engine shall hold.
func (s *enginePlan) plannedModels(doc *intent.Document) int {
	weights := map[string]bool{}
	for name := range s.planned {
		if w := versionedName(name); doc.Model(baseName(w)) != nil {
			weights[w] = true
		}
	}
	return len(weights)
}

// permits reports whether the rule lets the engine hold a model.
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

// holds reports whether the engine holds or shall hold the model in its wanted
// version. What an engine that was not read serves is taken for that: else each
// new issuer would order everything anew.
func (s *enginePlan) holds(m *intent.Model) bool {
	if s.State == nil || s.NoOrders {
		return slices.Contains(s.Serves, m.Name)
	}
	return s.planned[Name(m)] && (!s.stuck || !s.loading(m))
}

// holdsPermitted reports whether it has the model and may.
func (s *enginePlan) holdsPermitted(m *intent.Model) bool { return s.holds(m) && s.permits(m.Name) }

// holdsOtherVersion reports whether it shall hold the model only in another version.
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

// serves reports whether the engine serves a model in any version now and goes on
// to do so with what it shall hold.
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

// loading reports whether weights of a model are on their way to the engine.
func (s *enginePlan) loading(m *intent.Model) bool {
	name := Name(m)
	return s.planned[name] && (s.State == nil || !slices.Contains(s.State.Models, name))
}

func (s *enginePlan) busy() bool { return s.Running+s.Waiting > 0 }

// planModel plans the whole model; without room beside them, its other versions go.
func (s *enginePlan) planModel(m *intent.Model, doc *intent.Document) {
	addAll(s.planned, Names(m))
	if s.plannedModels(doc) > s.maxModels {
		s.dropOtherVersions(m)
	}
	s.costMB += sizeWithAdapters(m)
}

// dropOtherVersions takes versions of the model that are not wanted out of the plan.
func (s *enginePlan) dropOtherVersions(m *intent.Model) {
	for name := range s.planned {
		if baseName(name) == m.Name && versionedName(name) != Name(m) {
			delete(s.planned, name)
		}
	}
}

// dropModel takes a model in all versions out of the plan.
func (s *enginePlan) dropModel(model string) {
	for name := range s.planned {
		if baseName(name) == model {
			delete(s.planned, name)
		}
	}
}

// rank is the rendezvous hash of a model at an engine: which engines a model
// prefers changes little when engines come and go.
func (s *enginePlan) rank(model string) uint64 { return xxhash.Sum64String(model + "\x00" + s.Name) }
