package baseline

import (
	"time"

	"github.com/comfreyladder/comfreyladder/operator/load"
)

// NewFIFO returns baseline (a).
func NewFIFO(x *load.Experiment, _ uint64) load.System { return newSystem(x, &fifo{}) }

// NewStrict returns baseline (b).
func NewStrict(x *load.Experiment, _ uint64) load.System { return newSystem(x, &strict{}) }

// NewKnown returns reference (c). It is a good schedule made with full
// knowledge, not a proved optimum.
func NewKnown(x *load.Experiment, _ uint64) load.System { return newSystem(x, &known{}) }

// fifo takes requests in order of arrival and engines in turn, whatever they
// have in flight.
type fifo struct{ next int }

func (p *fifo) before(a, b *ticket, _ time.Time) bool { return a.arrived.Before(b.arrived) }

func (p *fifo) choose(s *System, _ *ticket, now time.Time) *target {
	for range s.targets {
		p.next++
		if t := s.targets[p.next%len(s.targets)]; now.After(t.downTill) {
			return t
		}
	}
	return nil
}

func (p *fifo) hopeless(*System, *ticket, time.Time) bool { return false }
func (p *fifo) priority(*load.Request) int                { return 0 }
func (p *fifo) repeats() bool                             { return false }

// strict takes the lowest tier first and the engine with the least in flight by
// its last report, which lags; equal ones in turn.
type strict struct{ next int }

func (p *strict) before(a, b *ticket, _ time.Time) bool {
	if x, y := a.request.Class.Tier, b.request.Class.Tier; x != y {
		return x < y
	}
	return a.arrived.Before(b.arrived)
}

func (p *strict) choose(s *System, _ *ticket, now time.Time) *target {
	var best *target
	p.next++
	for i := range s.targets {
		t := s.targets[(p.next+i)%len(s.targets)]
		if now.After(t.downTill) && (best == nil || t.reported < best.reported) {
			best = t
		}
	}
	return best
}

func (p *strict) hopeless(*System, *ticket, time.Time) bool { return false }
func (p *strict) priority(r *load.Request) int              { return r.Class.Tier }
func (p *strict) repeats() bool                             { return false }

// known has the lengths of all answers and looks at the engines themselves.
type known struct{}

// before goes by tier, then by the latest time at which the work could start.
func (p *known) before(a, b *ticket, _ time.Time) bool {
	if x, y := a.request.Class.Tier, b.request.Class.Tier; x != y {
		return x < y
	}
	return p.latest(a).Before(p.latest(b))
}

// latest is when the level of the request is lost if it has not begun.
func (p *known) latest(t *ticket) time.Time {
	c := t.request.Class
	switch {
	case c.FirstToken > 0:
		return t.arrived.Add(c.FirstToken)
	case c.Total > 0:
		return t.arrived.Add(c.Total)
	}
	return t.arrived.Add(c.Deadline)
}

func (p *known) choose(s *System, t *ticket, _ time.Time) *target {
	var best *target
	var bestTotal time.Duration
	for _, e := range s.targets {
		f := e.engine.Faults()
		if f.Crash || f.Silent || f.Refuse || f.Crossed > 0 || f.BreakAfter > 0 || e.inFlight >= e.engine.Slots() {
			continue
		}
		_, total := estimate(s.experiment, e, t)
		if best == nil || total < bestTotal {
			best, bestTotal = e, total
		}
	}
	return best
}

// hopeless sheds what is not protected and could not meet its level on an idle
// engine.
func (p *known) hopeless(s *System, t *ticket, now time.Time) bool {
	c := t.request.Class
	if c.Protected {
		return false
	}
	e := &s.experiment.Engines
	waited := now.Sub(t.arrived)
	least := time.Duration(float64(e.Step+e.StepEach) / s.experiment.Settings.Speed)
	total := waited + least*time.Duration(t.request.Tokens)
	switch {
	case c.FirstToken > 0 && waited+least > c.FirstToken:
		return true
	case c.Total > 0 && total > c.Total:
		return true
	}
	return c.Deadline > 0 && total > c.Deadline
}

func (p *known) priority(r *load.Request) int { return r.Class.Tier }
func (p *known) repeats() bool                { return true }

// estimate returns the time to the first token and to the end on an engine in
// its true state.
func estimate(x *load.Experiment, e *target, t *ticket) (first, total time.Duration) {
	factor := max(1, e.engine.Faults().Straggler) / x.Settings.Speed
	step := x.Engines.Step + time.Duration(e.inFlight+1)*x.Engines.StepEach
	prompt := len(t.request.Prompt())/4 - e.engine.CachedTokens(t.hashes)
	first = time.Duration(float64(step+time.Duration(prompt)*x.Engines.Prefill) * factor)
	total = first + time.Duration(float64(step)*factor)*time.Duration(t.request.Tokens)
	return first, total
}
