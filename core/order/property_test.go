package order_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/comfreyladder/comfreyladder/core/intent"
	"github.com/comfreyladder/comfreyladder/core/order"
)

// drawDocument returns an intent that the engines can satisfy.
func drawDocument(t *rapid.T, engines, maxModels int) *intent.Document {
	room := engines * maxModels
	var models []intent.Model
	for i := range rapid.IntRange(1, 5).Draw(t, "models") {
		n := rapid.IntRange(0, min(engines, room)).Draw(t, "replicas")
		room -= n
		m := model(fmt.Sprint("m", i), fmt.Sprint(rapid.IntRange(1, 2).Draw(t, "version")), n)
		m.SizeMB = 100 * rapid.IntRange(1, 30).Draw(t, "size")
		for a := range rapid.IntRange(0, 2).Draw(t, "adapters") {
			m.Adapters = append(m.Adapters, fmt.Sprint("x", a))
		}
		models = append(models, m)
	}
	doc := document(models...)
	doc.Upstreams[0].MaxModels = maxModels
	return doc
}

// restrict lets some engines hold a single model each, and reports whether it did so:
// then the intent may no longer be satisfiable.
func (w *simulation) restrict(t *rapid.T) bool {
	for i := range rapid.IntRange(0, 2).Draw(t, "rules") {
		m := rapid.SampledFrom(w.doc.Models).Draw(t, "permitted")
		w.doc.Upstreams = append(w.doc.Upstreams, intent.Upstream{Name: w.engines[i].name, Kind: intent.KindEngine, Models: []string{m.Name}})
	}
	w.domain.SetIntent(w.doc)
	return len(w.doc.Upstreams) > 1
}

// injectEvent restarts engines, makes one silent or busy, changes the intent, or replaces
// the issuer.
func (w *simulation) injectEvent(t *rapid.T, maxModels int) {
	e := w.engines[rapid.IntRange(0, len(w.engines)-1).Draw(t, "engine")]
	switch rapid.SampledFrom([]string{"restart", "down", "work", "none", "none", "all", "intent", "successor"}).Draw(t, "event") {
	case "restart":
		e.restart()
	case "down":
		e.down = !e.down
	case "work":
		e.running = rapid.SampledFrom([]int{0, 1, 8}).Draw(t, "running")
	case "all":
		for _, e := range w.engines {
			e.restart()
		}
	case "intent":
		w.doc = drawDocument(t, len(w.engines), maxModels)
		w.domain.SetIntent(w.doc)
	case "successor":
		w.domain = order.New(order.Config{})
		w.domain.SetIntent(w.doc)
		w.domain.Begin(w.now, false)
	}
}

// Under any sequence of engine failures, intent changes and changes of the issuer, no
// order takes the last serving engine from a model in demand. Afterwards every model has
// the wanted replicas in one version, and no further order is given.
func TestOrdersConvergeAndKeepTheLastHolder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		engines, maxModels := rapid.IntRange(2, 8).Draw(t, "engines"), rapid.IntRange(1, 3).Draw(t, "side")
		w := newSimulation(drawDocument(t, engines, maxModels), engines)
		w.loadTime = time.Duration(rapid.IntRange(1, 20).Draw(t, "load")) * time.Second
		for range rapid.IntRange(1, 25).Draw(t, "events") {
			w.injectEvent(t, maxModels)
			w.run(rapid.IntRange(1, 20).Draw(t, "pause"))
		}
		restricted := w.restrict(t)
		w.run(30)
		if len(w.outages) > 0 {
			t.Fatalf("the last serving engine of %v was taken", w.outages)
		}
		for _, e := range w.engines {
			e.running, e.down = 0, false
		}
		if !w.converges(10_000) {
			t.Fatalf("orders do not end: %+v", w.last)
		}
		for _, m := range w.doc.Models {
			if restricted {
				continue
			}
			if got := w.holding(order.Name(&m)); got < m.Replicas {
				t.Fatalf("%s is held by %d engines, wanted are %d: %+v", order.Name(&m), got, m.Replicas, w.last.Models)
			}
			if w.serving(m.Name) != w.holding(order.Name(&m)) {
				t.Fatalf("%s is served in two versions", m.Name)
			}
		}
	})
}

// Engines restart in any pattern, including all at once, and issuers change. The loads
// ordered in the domain must stay within the rate of the weight store plus one load.
func TestLoadsStayUnderTheBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		engines, maxModels := rapid.IntRange(1, 12).Draw(t, "engines"), rapid.IntRange(1, 2).Draw(t, "side")
		w := newSimulation(drawDocument(t, engines, maxModels), engines)
		w.doc.Weights.RateMB = 50 * rapid.IntRange(1, 40).Draw(t, "rate")
		w.domain.SetIntent(w.doc)
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			switch rapid.IntRange(0, 3).Draw(t, "event") {
			case 0:
				for _, e := range w.engines {
					e.restart()
				}
			case 1:
				w.engines[rapid.IntRange(0, engines-1).Draw(t, "engine")].restart()
			case 2:
				w.domain = order.New(order.Config{})
				w.domain.SetIntent(w.doc)
				w.domain.Begin(w.now, false)
			}
			w.run(rapid.IntRange(1, 10).Draw(t, "pause"))
			if w.loadedMB > w.budget() {
				t.Fatalf("%d MB were ordered in %v, allowed are %d", w.loadedMB, w.now.Sub(w.began), w.budget())
			}
		}
	})
}
