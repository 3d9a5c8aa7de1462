package order

import (
	"maps"
	"slices"
)

// decide returns the orders to send now and the status of all engines and models.
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

// decideEngine returns the status of an engine and appends an order to out if the engine
// needs one. Without any authority the order is only reported as due and its cost
// refunded.
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

// needsOrder reports whether the models or the role that the engine reported differ from
// the plan.
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
