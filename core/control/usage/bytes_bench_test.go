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

// size is a deployment whose requests are counted.
type size struct {
	instances, organisations, perSecond int
}

// told plays some seconds of counting and returns the bytes a second that one instance tells
// its member, and that members put into the log. Instances tell every quarter of a second,
// members propose twice a second; a sixth of the instances is at each of six members.
func (s size) told(seconds int) (instance, log float64) {
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
			// A few organisations are large.
			u := r.Float64()
			counters[r.IntN(s.instances)].Add(now, fmt.Sprintf("hule%03d", int(u*u*u*float64(s.organisations))))
		}
		for i, c := range counters {
			report, revision := c.Report(now, "m")
			b, _ := control.Marshal(&report)
			instance += float64(len(b))
			collectors[i%members].Take(&report)
			c.Told(&report, revision, "m")
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

// BenchmarkCounts tells the bytes of usage counts. With 73 instances, 24 organisations and 600
// requests a second an instance tells 109 B a second and the log takes 6.6 kB; with 450
// instances, 1,600 organisations and 4,700 requests 150 B and 62 kB. There were none before.
func BenchmarkCounts(b *testing.B) {
	for _, s := range []size{{73, 24, 600}, {450, 1600, 4700}} {
		b.Run(fmt.Sprint(s.instances), func(b *testing.B) {
			for b.Loop() {
				instance, log := s.told(20)
				b.ReportMetric(instance, "B/s-instance")
				b.ReportMetric(log, "B/s-log")
			}
		})
	}
}
