package order_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/comfreyladder/comfreyladder/core/intent"
	"github.com/comfreyladder/comfreyladder/core/order"
)

// BenchmarkStep measures one step of a failure domain of the largest intended size, 76
// engines and 9 models, both in steady state and right after a restart of all engines.
func BenchmarkStep(b *testing.B) {
	const engines, models = 76, 9
	var list []intent.Model
	for i := range models {
		list = append(list, model(fmt.Sprint("m", i), "1", engines/models))
	}
	for _, at := range []string{"rest", "restart"} {
		b.Run(at, func(b *testing.B) {
			w := newSimulation(document(list...), engines)
			w.run(200)
			var view []order.Engine
			for _, e := range w.engines {
				if at == "restart" {
					e.restart()
				}
				view = append(view, e.view(w.now))
			}
			w.doc.Weights.MaxConcurrentLoads = engines
			w.domain.SetIntent(w.doc)
			orders := 0
			b.ReportAllocs()
			for b.Loop() {
				if at == "restart" {
					w.domain.Begin(w.now.Add(-time.Hour), true)
				}
				orders += len(w.domain.Step(w.now, view, all).Orders)
			}
			b.ReportMetric(float64(orders)/float64(b.N), "orders/step")
		})
	}
}
