package order

import (
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/comfreyladder/comfreyladder/core/intent"
)

// seat is one engine in a step, with what it is planned to hold.
type seat struct {
	*Engine
	rule   *intent.Upstream
	memory *memory
	flight *flight
	// fresh engines count on to serve.
	fresh bool
	// stuck engines load for too long; free ones may be ordered at this time.
	stuck, free bool
	// there is what it holds or loads by its own word or by an order on its way,
	// plan what it shall.
	there, plan map[string]bool
	cost        int
	limit       int
}

func (d *Domain) newSeat(now time.Time, e *Engine, rule *intent.Upstream, may Authority) *seat {
	s := &seat{
		Engine: e, rule: rule, memory: d.memoryOf(now, e), flight: d.flights[e.Name],
		fresh: now.Sub(e.HeardAt) <= d.cfg.Fresh, there: map[string]bool{}, plan: map[string]bool{},
	}
	if e.State != nil {
		add(s.there, e.State.Models)
		add(s.there, e.State.Loading)
		s.watchLoading(now, d.cfg.Stuck)
		s.watchAnswer(now, d.cfg.Backoff)
	}
	for name := range s.there {
		s.plan[name] = true
	}
	if s.flight != nil {
		clear(s.plan)
		add(s.plan, s.flight.models)
		add(s.there, s.flight.models)
	}
	s.free = may.allows(rule) && !now.Before(s.memory.retry)
	s.limit = rule.MaxModels
	if s.limit == 0 {
		s.limit = max(1, s.copies(d.doc))
	}
	return s
}

// watchLoading guards against an engine whose load never ends: it would take one
// of the loads that the domain may have under way for ever, and its model would
// be waited for in vain.
func (s *seat) watchLoading(now time.Time, patience time.Duration) {
	switch {
	case len(s.State.Loading) == 0:
		s.memory.loading = time.Time{}
	case s.memory.loading.IsZero():
		s.memory.loading = now
	}
	s.stuck = !s.memory.loading.IsZero() && now.Sub(s.memory.loading) > patience
}

// watchAnswer guards against an engine that takes an order and does otherwise,
// such as one whose memory is too small: it would be sent the same order, and the
// budget be charged for it, with each step.
func (s *seat) watchAnswer(now time.Time, backoff time.Duration) {
	m := s.memory
	if !m.answered {
		return
	}
	m.answered = false
	if maps.Equal(s.there, setOf(m.ordered.Models)) && s.State.Role == m.ordered.Role {
		m.failures = 0
		return
	}
	m.retry, m.trouble = now.Add(backoff<<min(m.failures, maxDoublings)), Unfollowed
	m.failures++
}

func setOf(names []string) map[string]bool {
	set := make(map[string]bool, len(names))
	add(set, names)
	return set
}

func add(set map[string]bool, names []string) {
	for _, n := range names {
		set[n] = true
	}
}

// movable seats may be given an order in this step.
func (s *seat) movable() bool {
	return s.free && s.State != nil && !s.NoOrders && s.flight == nil && !s.stuck
}

// copies counts the weights that the engine shall hold.
func (s *seat) copies(doc *intent.Document) int {
	weights := map[string]bool{}
	for name := range s.plan {
		if w := weightsOf(name); doc.Model(baseOf(w)) != nil {
			weights[w] = true
		}
	}
	return len(weights)
}

// permits reports whether the rule lets the engine hold a model.
func (s *seat) permits(model string) bool {
	return len(s.rule.Models) == 0 || slices.Contains(s.rule.Models, model)
}

// options counts the models that the engine may hold.
func (s *seat) options(doc *intent.Document) int {
	if len(s.rule.Models) == 0 {
		return len(doc.Models)
	}
	return len(s.rule.Models)
}

// has reports whether the engine holds or shall hold the model in its wanted
// version. What an engine that was not read serves is taken for that: else each
// new issuer would order everything anew.
func (s *seat) has(m *intent.Model) bool {
	if s.State == nil || s.NoOrders {
		return slices.Contains(s.Serves, m.Name)
	}
	return s.plan[Name(m)] && (!s.stuck || !s.loading(m))
}

// counts reports whether it has the model and may.
func (s *seat) counts(m *intent.Model) bool { return s.has(m) && s.permits(m.Name) }

// hasOld reports whether it shall hold the model only in another version.
func (s *seat) hasOld(m *intent.Model) bool {
	if s.State == nil || s.NoOrders || s.has(m) {
		return false
	}
	for name := range s.plan {
		if baseOf(name) == m.Name {
			return true
		}
	}
	return false
}

// serves reports whether the engine serves a model in any version now and goes on
// to do so with what it shall hold.
func (s *seat) serves(model string) bool {
	if !s.fresh || !slices.Contains(s.Serves, model) {
		return false
	}
	if s.State == nil || s.NoOrders {
		return true
	}
	for _, name := range s.State.Models {
		if s.plan[name] && name == weightsOf(name) && baseOf(name) == model {
			return true
		}
	}
	return false
}

// loading reports whether weights of a model are on their way to the engine.
func (s *seat) loading(m *intent.Model) bool {
	name := Name(m)
	return s.plan[name] && (s.State == nil || !slices.Contains(s.State.Models, name))
}

func (s *seat) busy() bool { return s.Running+s.Waiting > 0 }

// put plans the whole model; without room beside them, its other versions go.
func (s *seat) put(m *intent.Model, doc *intent.Document) {
	add(s.plan, Names(m))
	if s.copies(doc) > s.limit {
		s.dropOther(m)
	}
	s.cost += wholeSize(m)
}

// dropOther takes versions of the model that are not wanted out of the plan.
func (s *seat) dropOther(m *intent.Model) {
	for name := range s.plan {
		if baseOf(name) == m.Name && weightsOf(name) != Name(m) {
			delete(s.plan, name)
		}
	}
}

// drop takes a model in all versions out of the plan.
func (s *seat) drop(model string) {
	for name := range s.plan {
		if baseOf(name) == model {
			delete(s.plan, name)
		}
	}
}

// rank is the rendezvous hash of a model at an engine: which engines a model
// prefers changes little when engines come and go.
func (s *seat) rank(model string) uint64 { return xxhash.Sum64String(model + "\x00" + s.Name) }
