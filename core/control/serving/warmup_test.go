package serving_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/comfreyladder/comfreyladder/core/control"
	"github.com/comfreyladder/comfreyladder/core/control/serving"
	"github.com/comfreyladder/comfreyladder/core/route"
)

// Guards against instances that learn neither that an upstream became cold again nor that it is warm,
// against log entries with each heartbeat, and against any without a warm-up rate.
func TestWarmUpIsRecordedAtItsBeginningAndItsEnd(t *testing.T) {
	g := NewWithT(t)
	for _, rate := range []float64{0, 5} {
		l := newLog()
		table, err := control.Marshal(&route.Table{Version: 1, Services: []route.Service{{Name: "s", WarmUpPerSecond: rate}}})
		g.Expect(err).NotTo(HaveOccurred())
		l.apply(serving.Command{Put: &serving.Put{Version: 1, Table: table}})
		beat := func(sequence uint64, warmMS int64) serving.Upstream {
			return serving.Upstream{ID: "a", Service: "s", Address: "x:1", StartedAt: 1, Sequence: sequence, State: serving.Ready, WarmMS: warmMS}
		}
		announce := func(u serving.Upstream) { l.apply(serving.Command{Announce: &u}) }
		changes := func(u serving.Upstream, after time.Duration) bool {
			known, _ := l.m.Upstream("a")
			return l.m.ChangesWarmUp(&known, &u, time.Unix(0, known.At).Add(after))
		}
		announce(beat(1, 5000))
		known, _ := l.m.Upstream("a")
		perSecond, ok := l.m.WarmUpRate(known.FirstIndex)
		g.Expect(perSecond).To(Equal(rate))
		g.Expect(ok).To(Equal(rate > 0))
		g.Expect(changes(beat(2, 4000), time.Second)).To(BeFalse(), "as recorded")
		g.Expect(changes(beat(2, 5000), 4*time.Second)).To(Equal(rate > 0), "cold for longer")
		g.Expect(changes(beat(2, 0), 5*time.Second)).To(Equal(rate > 0), "warm")
		announce(beat(2, 0))
		g.Expect(changes(beat(3, 0), 6*time.Second)).To(BeFalse())
		g.Expect(changes(beat(3, 3000), 6*time.Second)).To(Equal(rate > 0), "cold again")
		g.Expect(changes(beat(1, 3000), 6*time.Second)).To(BeFalse(), "late")
		next := beat(1, 5000)
		next.StartedAt = 2
		announce(next)
		_, ok = l.m.WarmUpRate(known.FirstIndex)
		g.Expect(ok).To(BeFalse(), "an incarnation that has ended gets no permits")
	}
}
