package order

import (
	"time"

	"github.com/comfreyladder/comfreyladder/core/intent"
)

// Domain decides for the engines of one failure domain. It is not safe for
// concurrent use.
type Domain struct {
	cfg     Config
	doc     *intent.Document
	budget  budget
	began   time.Time
	flights map[string]*flight
	known   map[string]*memory
	// busy says when a model's engines last had work, hot since when they are full.
	busy, hot map[string]time.Time
}

// flight is an order on its way.
type flight struct {
	incarnation uint64
	models      []string
	cost        int
}

// memory is what is remembered of an engine between steps.
type memory struct {
	seen        time.Time
	incarnation uint64
	names       []string // held or on their way when it was seen last
	loaded      time.Time
	loading     time.Time // since when it loads, zero if it does not
	retry       time.Time // no order before then
	trouble     Standing  // Unreached, Unfollowed or nothing
	// ordered is the last order; answered says that the next word of the engine
	// is its answer to that.
	ordered  Order
	answered bool
	failures int
}

// New returns a Domain without an intent; it orders nothing.
func New(cfg Config) *Domain {
	d := &Domain{cfg: cfg.withDefaults(), doc: &intent.Document{}}
	d.Begin(time.Time{}, false)
	return d
}

// SetIntent puts a document in force. A document that declares no models leaves
// all engines as they are.
func (d *Domain) SetIntent(doc *intent.Document) {
	d.doc = doc
	d.budget.configure(doc)
}

// Begin starts a term as the domain's only issuer of orders. It forgets what an
// earlier term knew. Unless this is the domain's first term ever, the budget
// starts empty: nobody knows how much the issuer before has spent, and a full one
// with each new issuer would let a series of failures feed a stampede.
func (d *Domain) Begin(now time.Time, first bool) {
	d.began = now
	d.flights = map[string]*flight{}
	d.known = map[string]*memory{}
	d.busy, d.hot = map[string]time.Time{}, map[string]time.Time{}
	d.budget.at, d.budget.level = now, 0
	if first {
		d.budget.level = d.budget.most
	}
}

// Answered ends an order's flight, if one is under way: the engine's State in the
// next step is newer.
func (d *Domain) Answered(engine string) {
	if d.flights[engine] == nil {
		return
	}
	delete(d.flights, engine)
	if m := d.known[engine]; m != nil {
		m.answered, m.trouble = true, ""
	}
}

// NotSent ends the flight of an order that is proved to have had no effect, and
// gives its charge back. The engine is left alone for Config.Backoff.
func (d *Domain) NotSent(now time.Time, engine string) {
	f := d.flights[engine]
	if f == nil {
		return
	}
	delete(d.flights, engine)
	d.budget.giveBack(f.cost)
	if m := d.known[engine]; m != nil {
		m.retry, m.trouble = now.Add(d.cfg.Backoff), Unreached
	}
}

// InFlight reports whether an order to the engine is on its way.
func (d *Domain) InFlight(engine string) bool { return d.flights[engine] != nil }

// Step compares the intent with the engines that are alive and returns the orders
// to send now. Engines that the authority does not cover are left as they are.
func (d *Domain) Step(now time.Time, engines []Engine, may Authority) Decision {
	if len(d.doc.Models) == 0 {
		return Decision{}
	}
	d.budget.refill(now)
	d.forget(now, engines)
	p := d.layOut(now, engines, may)
	p.retire()
	p.fill()
	p.adapt()
	p.convert()
	p.follow()
	return p.decide()
}

// forget drops what belongs to engines that are gone or started anew: an order to
// an earlier incarnation has no effect on the next.
func (d *Domain) forget(now time.Time, engines []Engine) {
	live := make(map[string]uint64, len(engines))
	for i := range engines {
		live[engines[i].Name] = engines[i].Incarnation
	}
	for name, f := range d.flights {
		if at, ok := live[name]; !ok || at != f.incarnation {
			delete(d.flights, name)
		}
	}
	for name, m := range d.known {
		if _, ok := live[name]; !ok && now.Sub(m.seen) > d.cfg.Grace {
			delete(d.known, name)
		}
	}
}

func (d *Domain) memoryOf(now time.Time, e *Engine) *memory {
	m := d.known[e.Name]
	if m == nil || m.incarnation != e.Incarnation {
		m = &memory{incarnation: e.Incarnation}
		d.known[e.Name] = m
	}
	m.seen = now
	return m
}

// inDemand reports whether a model had work lately. A new term counts as work,
// since it has seen nothing yet.
func (d *Domain) inDemand(now time.Time, model string) bool {
	last := d.busy[model]
	if d.began.After(last) {
		last = d.began
	}
	return now.Sub(last) < d.cfg.Idle
}
