package order

import (
	"maps"
	"slices"
)

// decide turns the plans into orders and reports.
func (p *planner) decide() Decision {
	var out Decision
	for _, s := range p.engines {
		out.Engines = append(out.Engines, p.decideEngine(s, &out))
	}
	for _, w := range p.models {
		out.Models = append(out.Models, p.modelStatus(w))
	}
	return out
}

// decideEngine returns where an engine stands and adds its order, if one is due.
func (p *planner) decideEngine(s *enginePlan, out *Decision) EngineStatus {
	st := EngineStatus{Name: s.Name, Wanted: sortedKeys(s.planned), ChecksFence: s.rule.ChecksFence, Condition: p.conditionOf(s)}
	s.history.models = st.Wanted
	if s.State != nil {
		st.Held, st.Fence = s.State.Models, s.State.Fence
	}
	if !s.orderable() || !s.needsOrder() {
		return st
	}
	if p.authority == (Authority{}) {
		p.domain.budget.refund(s.costMB)
		out.Pending = true
		st.Condition = Due
		s.history.models = sortedKeys(s.current)
		return st
	}
	if s.costMB > 0 {
		s.history.lastLoadOrdered = p.now
	}
	p.domain.inFlight[s.Name] = &inFlightOrder{incarnation: s.Incarnation, models: st.Wanted, costMB: s.costMB}
	s.history.lastOrder = Order{Engine: s.Name, Models: st.Wanted, Role: s.wantedRole(), CostMB: s.costMB}
	out.Orders = append(out.Orders, s.history.lastOrder)
	st.Condition = Ordered
	return st
}

// needsOrder reports whether the engine's own word is not what is wanted.
func (s *enginePlan) needsOrder() bool {
	return !maps.Equal(s.planned, s.current) || s.wantedRole() != s.State.Role
}

func (s *enginePlan) wantedRole() string {
	if s.rule.Role == "" {
		return s.State.Role
	}
	return s.rule.Role
}

func (p *planner) conditionOf(s *enginePlan) Condition {
	switch {
	case s.NoOrders:
		return NoOrders
	case s.inFlight != nil:
		return Ordered
	case s.State == nil:
		return Unread
	case s.history.failure != "":
		return s.history.failure
	case s.stuck:
		return Stuck
	case !p.authority.allows(s.rule):
		return Waiting
	case len(s.State.Loading) > 0:
		return Loading
	}
	return Converged
}

func (p *planner) modelStatus(w *modelTarget) ModelStatus {
	st := ModelStatus{Name: Name(w.model), Wanted: w.model.Replicas, Serving: w.serving, Note: w.note}
	for _, s := range p.engines {
		switch {
		case !s.holds(w.model):
		case s.State != nil && s.loading(w.model):
			st.Loading++
		default:
			st.Holding++
		}
	}
	if st.Holding+st.Loading >= st.Wanted && w.note != noteSaturated && w.note != noteLastServing {
		st.Note = ""
	}
	return st
}

func sortedKeys(set map[string]bool) []string { return slices.Sorted(maps.Keys(set)) }
