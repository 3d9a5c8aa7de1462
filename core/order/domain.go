package order

import (
	"time"

	"github.com/comfreyladder/comfreyladder/core/intent"
)

// Domain decides on the orders to the engines of one failure domain. It is not safe for
// concurrent use.
type Domain struct {
	cfg       Config
	doc       *intent.Document
	budget    loadBudget
	termStart time.Time
	inFlight  map[string]*inFlightOrder
	histories map[string]*engineHistory
	// lastBusy is when the engines of a model last had work, saturatedSince since when
	// they have been full.
	lastBusy, saturatedSince map[string]time.Time
}

// inFlightOrder is an order that was sent and is not answered yet.
type inFlightOrder struct {
	incarnation uint64
	models      []string
	costMB      int
}

// engineHistory is what a Domain remembers of an engine between steps.
type engineHistory struct {
	lastSeen        time.Time
	incarnation     uint64
	models          []string // held or being loaded when the engine was last seen
	lastLoadOrdered time.Time
	loadingSince    time.Time // zero if nothing is being loaded
	retryAfter      time.Time // no order is sent before this time
	failure         Condition // Unreached, Diverged or empty
	// lastOrder is the last order to the engine; verifyLastOrder says that the next
	// reported state is the engine's answer to it.
	lastOrder       Order
	verifyLastOrder bool
	failures        int
}

// New returns a Domain without an intent. It issues no orders until SetIntent is called.
func New(cfg Config) *Domain {
	d := &Domain{cfg: cfg.withDefaults(), doc: &intent.Document{}}
	d.Begin(time.Time{}, false)
	return d
}

// SetIntent puts a document in force. A document that declares no models leaves all
// engines as they are.
func (d *Domain) SetIntent(doc *intent.Document) {
	d.doc = doc
	d.budget.configure(doc)
}

// Begin starts a term as the only issuer of orders in the domain and discards the state
// of earlier terms. Unless this is the domain's first term ever, the budget starts empty:
// how much the previous issuer spent is unknown, and a full budget for each new issuer
// would let a series of failovers make all engines load at once.
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

// Answered removes the in-flight order of an engine, if there is one. The engine's State
// in the next step must be newer than the order.
func (d *Domain) Answered(engine string) {
	if d.inFlight[engine] == nil {
		return
	}
	delete(d.inFlight, engine)
	if m := d.histories[engine]; m != nil {
		m.verifyLastOrder, m.failure = true, ""
	}
}

// NotSent removes an in-flight order that provably had no effect and refunds its cost.
// The engine gets no order for Config.Backoff.
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

// InFlight reports whether an order to the engine is still unanswered.
func (d *Domain) InFlight(engine string) bool { return d.inFlight[engine] != nil }

// Step compares the intent with the live engines and returns the orders to send now.
// Engines that the authority does not cover are left as they are.
func (d *Domain) Step(now time.Time, engines []Engine, authority Authority) Decision {
	if len(d.doc.Models) == 0 {
		return Decision{}
	}
	d.budget.refill(now)
	d.dropStale(now, engines)
	p := d.newPlanner(now, engines, authority)
	p.dropUnwanted()
	p.assignReplicas()
	p.loadMissingAdapters()
	p.upgradeVersions()
	p.scaleSaturated()
	return p.decide()
}

// dropStale drops in-flight orders to engines that are gone or have restarted, since an
// order to an earlier incarnation has no effect on the next, and the histories of engines
// that have been gone for longer than Config.ReplaceAfter.
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

// inDemand reports whether a model had work within Config.IdleAfter. The start of a term
// counts as work, because nothing before it was observed.
func (d *Domain) inDemand(now time.Time, model string) bool {
	last := d.lastBusy[model]
	if d.termStart.After(last) {
		last = d.termStart
	}
	return now.Sub(last) < d.cfg.IdleAfter
}
