package usage_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/comfreyladder/comfreyladder/core/control"
	"github.com/comfreyladder/comfreyladder/core/control/usage"
	core "github.com/comfreyladder/comfreyladder/core/usage"
)

// deployment describes the size of a deployment and the requests that are counted there.
type deployment struct {
	instances, organisations, perSecond int
}

// bytesPerSecond simulates some seconds of counting and returns the bytes per second that one
// instance sends to its member and that all members append to the log. Instances report four
// times a second and members propose twice a second. Each of six members receives the reports
// of a sixth of the instances.
func (s deployment) bytesPerSecond(seconds int) (instance, log float64) {
	const members, ticks = 6, 4
	r := rand.New(rand.NewPCG(1, 2))
	counters := make([]*core.Counter, s.instances)
	for i := range counters {
		counters[i] = core.NewCounter(uint64(i+1), 5*time.Second)
	}
	collectors := make([]*core.Collector, members)
	for i := range collectors {
		collectors[i] = core.NewCollector()
	}
	for tick := range seconds * ticks {
		now := time.Unix(1000, 0).Add(time.Duration(tick) * time.Second / ticks)
		for range s.perSecond / ticks {
			// The cube gives a few organisations most of the requests.
			u := r.Float64()
			counters[r.IntN(s.instances)].Add(now, fmt.Sprintf("hule%03d", int(u*u*u*float64(s.organisations))))
		}
		for i, c := range counters {
			report, revision := c.Report(now, "m")
			b, _ := control.Marshal(&report)
			instance += float64(len(b))
			collectors[i%members].Add(&report)
			c.Acknowledge(&report, revision, "m")
		}
		if tick%2 == 0 {
			continue
		}
		for _, c := range collectors {
			list, revision := c.Uncommitted()
			b, _ := control.Marshal(&usage.Command{Counts: list})
			log += float64(len(b))
			c.Committed(revision)
			c.Forget(core.WindowAt(now, 5*time.Second) - 3)
		}
	}
	return instance / float64(s.instances*seconds), log / float64(seconds)
}

// BenchmarkCounts measures the bytes of usage counts. With 73 instances, 24 organisations and
// 600 requests per second, an instance sends 109 B/s and the log grows by 6.6 kB/s; with 450
// instances, 1,600 organisations and 4,700 requests per second, 150 B/s and 62 kB/s.
func BenchmarkCounts(b *testing.B) {
	for _, s := range []deployment{{73, 24, 600}, {450, 1600, 4700}} {
		b.Run(fmt.Sprint(s.instances), func(b *testing.B) {
			for b.Loop() {
				instance, log := s.bytesPerSecond(20)
				b.ReportMetric(instance, "B/s-instance")
				b.ReportMetric(log, "B/s-log")
			}
		})
	}
}
