package capacity_test

import (
	"bytes"
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/comfreyladder/comfreyladder/core/intent"
	"github.com/comfreyladder/comfreyladder/instance/telemetry"
)

// BenchmarkMetrics measures what the series of many organisations and five
// classes take: memory, and bytes and time of one scrape.
func BenchmarkMetrics(b *testing.B) {
	for _, organisations := range []int{10, 100, 1600} {
		b.Run(fmt.Sprint("organisations=", organisations), func(b *testing.B) {
			before := heap()
			s := telemetry.New()
			for n := range organisations {
				for _, class := range []string{"review", "answer", "summary", "report", "status"} {
					s.Observe(&telemetry.Observation{
						Organisation: fmt.Sprintf("dish-installers-%04d", n), Class: &intent.Class{Name: class},
						Queue: time.Millisecond, FirstToken: time.Second, Total: 9 * time.Second, Tokens: answerTokens,
					})
				}
			}
			used := heap() - before
			var out bytes.Buffer
			for b.Loop() {
				out.Reset()
				s.Set().WritePrometheus(&out)
			}
			b.ReportMetric(float64(used), "heap-B")
			b.ReportMetric(float64(out.Len()), "scrape-B")
		})
	}
}

func heap() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}
