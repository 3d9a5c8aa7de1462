package order

import (
	"time"

	"github.com/comfreyladder/comfreyladder/core/intent"
)

// Domain decides for the engines of one failure domain. It is not safe for
// concurrent use.
type Domain struct {
	cfg       Config
	doc       *intent.Document
	budget    loadBudget
	termStart time.Time
	inFlight  map[string]*inFlightOrder
	histories map[string]*engineHistory
	// lastBusy says when a model's engines last had work, saturatedSince since when they are full.
	lastBusy, saturatedSince map[string]time.Time
}

// inFlightOrder is an order on its way.
type inFlightOrder struct {
	incarnation uint64
	models      []string
	costMB      int
}

// engineHistory is what is remembered of an engine between steps.
type engineHistory struct {
	lastSeen        time.Time
	incarnation     uint64
	models          []string // held or on their way when it was seen last
	lastLoadOrdered time.Time
	loadingSince    time.Time // since when it loads, zero if it does not
	retryAfter      time.Time // no order before then
	failure         Condition // Unreached, Unfollowed or nothing
	// lastOrder is the last order; answered says that the next word of the engine
	// is its answer to that.
	lastOrder       Order
	verifyLastOrder bool
	failures        int
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
	d.termStart = now
	d.inFlight = map[string]*inFlightOrder{}
	d.histories = map[string]*engineHistory{}
	d.lastBusy, d.saturatedSince = map[string]time.Time{}, map[string]time.Time{}
	d.budget.refilledAt, d.budget.available = now, 0
	if first {
		d.budget.available = d.budget.capacity
	}
}

// Answered ends an order's flight, if one is under way: the engine's State in the
// next step is newer.
func (d *Domain) Answered(engine string) {
	if d.inFlight[engine] == nil {
		return
	}
	delete(d.inFlight, engine)
	if m := d.histories[engine]; m != nil {
		m.verifyLastOrder, m.failure = true, ""
	}
}

// NotSent ends the flight of an order that is proved to have had no effect, and
// gives its charge back. The engine is left alone for Config.Backoff.
func (d *Domain) NotSent(now time.Time, engine string) {
	f := d.inFlight[engine]
	if f == nil {
		return
	}
	delete(d.inFlight, engine)
	d.budget.refund(f.costMB)
	if m := d.histories[engine]; m != nil {
		m.retryAfter, m.failure = now.Add(d.cfg.Backoff), Unreached
	}
}

// InFlight reports whether an order to the engine is on its way.
func (d *Domain) InFlight(engine string) bool { return d.inFlight[engine] != nil }

// Step compares the intent with the engines that are alive and returns the orders
// to send now. Engines that the authority does not cover are left as they are.
func (d *Domain) Step(now time.Time, engines []Engine, may Authority) Decision {
	if len(d.doc.Models) == 0 {
		return Decision{}
	}
	d.budget.refill(now)
	d.dropStale(now, engines)
	p := d.newPlanner(now, engines, may)
	p.dropUnwanted()
	p.assignReplicas()
	p.loadMissingAdapters()
	p.upgradeVersions()
	p.scaleSaturated()
	return p.decide()
}

// dropStale drops what belongs to engines that are gone or started anew: an order to
// an earlier incarnation has no effect on the next.
func (d *Domain) dropStale(now time.Time, engines []Engine) {
	live := make(map[string]uint64, len(engines))
	for i := range engines {
		live[engines[i].Name] = engines[i].Incarnation
	}
	for name, f := range d.inFlight {
		if at, ok := live[name]; !ok || at != f.incarnation {
			delete(d.inFlight, name)
		}
	}
	for name, m := range d.histories {
		if _, ok := live[name]; !ok && now.Sub(m.lastSeen) > d.cfg.ReplaceAfter {
			delete(d.histories, name)
		}
	}
}

func (d *Domain) historyOf(now time.Time, e *Engine) *engineHistory {
	m := d.histories[e.Name]
	if m == nil || m.incarnation != e.Incarnation {
		m = &engineHistory{incarnation: e.Incarnation}
		d.histories[e.Name] = m
	}
	m.lastSeen = now
	return m
}

// inDemand reports whether a model had work lately. A new term counts as work,
// since it has seen nothing yet.
func (d *Domain) inDemand(now time.Time, model string) bool {
	last := d.lastBusy[model]
	if d.termStart.After(last) {
		last = d.termStart
	}
	return now.Sub(last) < d.cfg.IdleAfter
}
