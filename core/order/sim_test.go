package order_test

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/comfreyladder/comfreyladder/core/intent"
	"github.com/comfreyladder/comfreyladder/core/order"
)

var start = time.Unix(1_700_000_000, 0)

// fakeEngine is an engine that carries out orders.
type fakeEngine struct {
	name        string
	incarnation uint64
	models      map[string]time.Time // when each is loaded
	role        string
	running     int
	down        bool
	// ignoresOrders makes the engine accept orders without acting on them.
	ignoresOrders bool
	// loads counts the loads that the engine has started.
	loads int
}

// simulation is a failure domain in virtual time.
type simulation struct {
	domain    *order.Domain
	doc       *intent.Document
	now       time.Time
	began     time.Time
	engines   []*fakeEngine
	loadTime  time.Duration
	authority order.Authority
	loadedMB  int
	orders    int
	last      order.Decision
	// outages lists models in demand whose last serving engine was removed by an order.
	outages []string
}

var all = order.Authority{FenceChecking: true, FenceIgnoring: true}

func newSimulation(doc *intent.Document, engines int) *simulation {
	w := &simulation{domain: order.New(order.Config{}), doc: doc, now: start, began: start, loadTime: 20 * time.Second, authority: all}
	for i := range engines {
		w.engines = append(w.engines, &fakeEngine{name: fmt.Sprintf("e-%02d", i), incarnation: 1, models: map[string]time.Time{}})
	}
	w.domain.SetIntent(doc)
	w.domain.Begin(w.now, true)
	return w
}

func document(models ...intent.Model) *intent.Document {
	return &intent.Document{
		Models:    models,
		Upstreams: []intent.Upstream{{Name: "e-*", Kind: intent.KindEngine, ChecksFence: true}},
		Weights:   intent.Weights{RateMB: 1000, MaxConcurrentLoads: 100},
	}
}

func model(name, version string, replicas int) intent.Model {
	return intent.Model{Name: name, Version: version, Replicas: replicas, SizeMB: 1000}
}

func (e *fakeEngine) loaded(now time.Time) (loaded, loading []string) {
	for m, at := range e.models {
		if at.After(now) {
			loading = append(loading, m)
		} else {
			loaded = append(loaded, m)
		}
	}
	slices.Sort(loaded)
	slices.Sort(loading)
	return loaded, loading
}

func (e *fakeEngine) view(now time.Time) order.Engine {
	done, loading := e.loaded(now)
	v := order.Engine{
		Name: e.name, Incarnation: e.incarnation, HeardAt: now, Slots: 8, Running: e.running,
		State: &order.State{Models: done, Loading: loading, Role: e.role},
	}
	for _, m := range done {
		v.Serves = append(v.Serves, order.Served(m))
	}
	return v
}

func (e *fakeEngine) serves(now time.Time, name string) bool {
	done, _ := e.loaded(now)
	return !e.down && slices.ContainsFunc(done, func(m string) bool { return order.Served(m) == name })
}

func (e *fakeEngine) restart() {
	e.incarnation++
	e.models = map[string]time.Time{}
	e.down = false
}

func (w *simulation) serving(name string) (n int) {
	for _, e := range w.engines {
		if e.serves(w.now, name) {
			n++
		}
	}
	return n
}

func (w *simulation) holding(full string) (n int) {
	for _, e := range w.engines {
		if done, _ := e.loaded(w.now); !e.down && slices.Contains(done, full) {
			n++
		}
	}
	return n
}

// busy reports whether an engine that serves the model has work.
func (w *simulation) busy(name string) bool {
	return slices.ContainsFunc(w.engines, func(e *fakeEngine) bool { return e.running > 0 && e.serves(w.now, name) })
}

func (w *simulation) engine(name string) *fakeEngine {
	i := slices.IndexFunc(w.engines, func(e *fakeEngine) bool { return e.name == name })
	return w.engines[i]
}

// step advances the time by one second and carries out the orders.
func (w *simulation) step() []order.Order {
	w.now = w.now.Add(time.Second)
	var view []order.Engine
	for _, e := range w.engines {
		if !e.down {
			view = append(view, e.view(w.now))
		}
	}
	w.last = w.domain.Step(w.now, view, w.authority)
	for _, o := range w.last.Orders {
		w.apply(o)
		w.domain.Answered(o.Engine)
	}
	w.orders += len(w.last.Orders)
	return w.last.Orders
}

func (w *simulation) apply(o order.Order) {
	e := w.engine(o.Engine)
	if e.ignoresOrders {
		return
	}
	before := map[string]bool{}
	for _, m := range w.doc.Models {
		before[m.Name] = w.serving(m.Name) > 0 && w.busy(m.Name)
	}
	maps.DeleteFunc(e.models, func(m string, _ time.Time) bool { return !slices.Contains(o.Models, m) })
	loadedAt := w.now
	for _, m := range o.Models {
		if _, held := e.models[m]; !held {
			loadedAt = loadedAt.Add(w.loadTime)
			e.models[m] = loadedAt
			e.loads++
			w.loadedMB += w.size(m)
		}
	}
	e.role = o.Role
	for _, m := range w.doc.Models {
		if before[m.Name] && w.serving(m.Name) == 0 {
			w.outages = append(w.outages, m.Name)
		}
	}
}

func (w *simulation) size(full string) int {
	for _, m := range w.doc.Models {
		if order.Name(&m) == full {
			return m.SizeMB
		}
		if strings.HasPrefix(full, order.Name(&m)+":") {
			return max(m.SizeMB/50, 1)
		}
	}
	return 0
}

func (w *simulation) run(seconds int) {
	for range seconds {
		w.step()
	}
}

// converges runs until no order has been given for more than 400 seconds, and reports
// whether that happened within the given number of seconds.
func (w *simulation) converges(within int) bool {
	still := 0
	for range within {
		if len(w.step()) > 0 {
			still = 0
		} else if still++; still > 400 {
			return true
		}
	}
	return false
}

// budget returns how many megabytes may have been ordered so far.
func (w *simulation) budget() int {
	largest := 0
	for _, m := range w.doc.Models {
		largest = max(largest, m.SizeMB+len(m.Adapters)*max(m.SizeMB/50, 1))
	}
	return largest + int(w.now.Sub(w.began).Seconds())*w.doc.Weights.RateMB
}
