package order

import "cmp"

// fill loads models that too few engines hold. Those that no engine holds or
// serves go first, then those that are furthest from what is wanted, so that
// after a restart of all engines each model comes back once before any comes
// back twice.
func (p *plan) fill() {
	for !p.spent {
		w := p.neediest()
		if w == nil {
			return
		}
		if !p.affordable(w, wholeSize(w.m)) {
			break
		}
		to := p.placeFor(w)
		if to.s == nil {
			w.blocked, w.note = true, to.note
			continue
		}
		w.note = ""
		if to.w != w {
			w.blocked, w.note = true, noteMove
		}
		if p.affordable(to.w, wholeSize(to.w.m)) {
			p.load(to.w, to.s)
		}
	}
	for _, w := range p.wants {
		if w.deficit() > 0 && !w.blocked && w.note == "" {
			w.note = noteBudget
		}
	}
}

func (p *plan) neediest() *want {
	var best *want
	for _, w := range p.wants {
		if w.deficit() > 0 && !w.blocked && (best == nil || w.needs(best)) {
			best = w
		}
	}
	return best
}

// needs reports whether w goes before o.
func (w *want) needs(o *want) bool {
	if none, other := w.good+w.serving == 0, o.good+o.serving == 0; none != other {
		return none
	}
	return w.good*o.m.Replicas < o.good*w.m.Replicas
}

// place is a load to begin, or the reason why there is none.
type place struct {
	w    *want
	s    *seat
	note string
}

// placeFor returns where a model is to be loaded next. An engine that holds it in
// another version goes first, then one with room, then one whose model is held by
// more engines than it has to be. Otherwise a model at an engine that w could
// use is loaded elsewhere, by the same rules, so that the engine becomes free:
// the search goes on from model to model, the shortest chain of moves first, and
// the load that it returns is the last of the chain.
func (p *plan) placeFor(w *want) place {
	s, note := p.outdated(w)
	if s != nil {
		return place{w: w, s: s}
	}
	visited := map[*want]bool{w: true}
	for queue := []*want{w}; len(queue) > 0; queue = queue[1:] {
		u := queue[0]
		if s := p.roomy(u); s != nil {
			return place{w: u, s: s}
		}
		s, waits := p.displaced(u, func(*seat, *want) bool { return true })
		if s != nil {
			return place{w: u, s: s}
		}
		if waits {
			return place{note: noteLast}
		}
		queue = append(queue, p.inTheWayOf(u, visited)...)
	}
	return place{note: cmp.Or(note, noteRoom)}
}

// inTheWayOf returns the models at engines that u could use.
func (p *plan) inTheWayOf(u *want, visited map[*want]bool) (out []*want) {
	for _, s := range p.seats {
		if !p.open(s, u) || s.hasOld(u.m) {
			continue
		}
		for _, v := range p.wants {
			if !visited[v] && s.counts(v.m) {
				visited[v] = true
				out = append(out, v)
			}
		}
	}
	return out
}

// outdated returns an engine that holds the model in another version and can load
// the wanted one beside it or in its place, or the reason why none may do so now.
func (p *plan) outdated(w *want) (*seat, string) {
	var best *seat
	for _, s := range p.seats {
		if !s.movable() || !s.hasOld(w.m) || !s.permits(w.m.Name) {
			continue
		}
		if best == nil || better(s, best, w.m.Name) {
			best = s
		}
	}
	if best != nil && best.copies(p.d.doc) >= best.limit && !p.mayDrop(best, w.m.Name) {
		return nil, noteLast
	}
	return best, ""
}

// better prefers an engine that does not serve, then the higher rank.
func better(a, b *seat, model string) bool {
	if x, y := a.serves(model), b.serves(model); x != y {
		return y
	}
	return a.rank(model) > b.rank(model)
}

// roomy returns an engine with room; those that may hold the fewest models go
// first, so that they are not left over while others are full.
func (p *plan) roomy(w *want) *seat {
	var best *seat
	for _, s := range p.seats {
		if !p.open(s, w) || s.hasOld(w.m) || s.copies(p.d.doc) >= s.limit {
			continue
		}
		if best == nil || p.fits(s, best, w.m.Name) {
			best = s
		}
	}
	return best
}

func (p *plan) fits(a, b *seat, model string) bool {
	if x, y := a.options(p.d.doc), b.options(p.d.doc); x != y {
		return x < y
	}
	return a.rank(model) > b.rank(model)
}

// open reports whether the engine may be ordered to hold the model and does not.
func (p *plan) open(s *seat, w *want) bool {
	return s.movable() && s.permits(w.m.Name) && !s.has(w.m)
}

// displaced makes room at an engine by dropping a model that enough others hold.
// It reports whether such a model only waits until enough others serve it.
func (p *plan) displaced(w *want, allow func(*seat, *want) bool) (best *seat, waits bool) {
	var victim *want
	for _, s := range p.seats {
		if !p.open(s, w) || s.hasOld(w.m) || s.cost > 0 {
			continue
		}
		for _, v := range p.wants {
			if v == w || v.surplus() <= 0 || !s.counts(v.m) || !allow(s, v) {
				continue
			}
			if !p.mayDrop(s, v.m.Name) {
				waits = true
				continue
			}
			if victim == nil || v.surplus() > victim.surplus() || v == victim && s.rank(w.m.Name) > best.rank(w.m.Name) {
				best, victim = s, v
			}
		}
	}
	if best != nil {
		p.forgetAt(best, victim)
	}
	return best, waits
}

// adapt loads adapters that are missing beside their model.
func (p *plan) adapt() {
	for _, s := range p.seats {
		if !s.movable() {
			continue
		}
		for _, w := range p.wants {
			if !s.plan[Name(w.m)] {
				continue
			}
			for _, name := range Names(w.m)[1:] {
				if !s.plan[name] && p.affordable(w, adapterSize(w.m)) {
					p.d.budget.level -= float64(adapterSize(w.m))
					s.plan[name] = true
					s.cost += adapterSize(w.m)
				}
			}
		}
	}
}

// convert reloads engines that hold another version although enough hold the
// wanted one: which version answers must not depend on the engine.
func (p *plan) convert() {
	for _, w := range p.wants {
		for w.deficit() <= 0 && p.hasOutdated(w) && p.affordable(w, wholeSize(w.m)) {
			s, note := p.outdated(w)
			if s == nil {
				w.note = note
				break
			}
			p.load(w, s)
		}
	}
}

func (p *plan) hasOutdated(w *want) bool {
	for _, s := range p.seats {
		if s.movable() && s.hasOld(w.m) && s.permits(w.m.Name) {
			return true
		}
	}
	return false
}

// follow loads one more engine for a model whose engines have been full for long,
// if one is without work. The engine goes back to others when they need it.
func (p *plan) follow() {
	for _, w := range p.wants {
		since := p.d.hot[w.m.Name]
		if since.IsZero() || p.now.Sub(since) < p.d.cfg.Hot || w.good > w.serving || !p.affordable(w, wholeSize(w.m)) {
			continue
		}
		if s := p.idle(w); s != nil {
			p.load(w, s)
			w.note = noteHot
			p.d.hot[w.m.Name] = p.now
		}
	}
}

func (p *plan) idle(w *want) *seat {
	if s := p.roomy(w); s != nil && !s.busy() {
		return s
	}
	s, _ := p.displaced(w, func(s *seat, v *want) bool {
		return !s.busy() && p.d.hot[v.m.Name].IsZero() && p.now.Sub(s.memory.loaded) >= p.d.cfg.Rest
	})
	return s
}
