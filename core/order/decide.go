package order

import (
	"maps"
	"slices"
)

// decide turns the plans into orders and reports.
func (p *plan) decide() Decision {
	var out Decision
	for _, s := range p.seats {
		out.Engines = append(out.Engines, p.settle(s, &out))
	}
	for _, w := range p.wants {
		out.Models = append(out.Models, p.report(w))
	}
	return out
}

// settle returns where an engine stands and adds its order, if one is due.
func (p *plan) settle(s *seat, out *Decision) EngineStatus {
	st := EngineStatus{Name: s.Name, Wanted: sorted(s.plan), Checks: s.rule.ChecksFence, Standing: p.standing(s)}
	s.memory.names = st.Wanted
	if s.State != nil {
		st.Held, st.Fence = s.State.Models, s.State.Fence
	}
	if !s.movable() || !s.differs() {
		return st
	}
	if p.may == (Authority{}) {
		p.d.budget.giveBack(s.cost)
		out.Pending = true
		st.Standing = Due
		s.memory.names = sorted(s.there)
		return st
	}
	if s.cost > 0 {
		s.memory.loaded = p.now
	}
	p.d.flights[s.Name] = &flight{incarnation: s.Incarnation, models: st.Wanted, cost: s.cost}
	s.memory.ordered = Order{Engine: s.Name, Models: st.Wanted, Role: s.wantedRole(), CostMB: s.cost}
	out.Orders = append(out.Orders, s.memory.ordered)
	st.Standing = Ordered
	return st
}

// differs reports whether the engine's own word is not what is wanted.
func (s *seat) differs() bool {
	return !maps.Equal(s.plan, s.there) || s.wantedRole() != s.State.Role
}

func (s *seat) wantedRole() string {
	if s.rule.Role == "" {
		return s.State.Role
	}
	return s.rule.Role
}

func (p *plan) standing(s *seat) Standing {
	switch {
	case s.NoOrders:
		return NoOrders
	case s.flight != nil:
		return Ordered
	case s.State == nil:
		return Unread
	case s.memory.trouble != "":
		return s.memory.trouble
	case s.stuck:
		return Stuck
	case !p.may.allows(s.rule):
		return Waiting
	case len(s.State.Loading) > 0:
		return Loading
	}
	return AsWanted
}

func (p *plan) report(w *want) ModelStatus {
	st := ModelStatus{Name: Name(w.m), Wanted: w.m.Replicas, Serving: w.serving, Note: w.note}
	for _, s := range p.seats {
		switch {
		case !s.has(w.m):
		case s.State != nil && s.loading(w.m):
			st.Loading++
		default:
			st.Holding++
		}
	}
	if st.Holding+st.Loading >= st.Wanted && w.note != noteHot && w.note != noteLast {
		st.Note = ""
	}
	return st
}

func sorted(set map[string]bool) []string { return slices.Sorted(maps.Keys(set)) }
