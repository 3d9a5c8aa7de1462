package uplink_test

import (
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/comfreyladder/comfreyladder/core/fault"
	"github.com/comfreyladder/comfreyladder/instance/uplink"
)

// linksAdmitting are links of one of several instances, whose upstreams take the requests of checks if admit is
// set.
func (w *world) linksAdmitting(t *testing.T, instances int, admit *atomic.Bool) *uplink.Service {
	s := uplink.New(uplink.Config{
		Direct: w.dial, Timeout: 200 * time.Millisecond, Tunnels: w,
		Sample: func(n int) []uplink.Candidate {
			list := w.sample(n)
			for i := range list {
				list[i].Strained, list[i].Admit = true, admit.Load
			}
			return list
		},
		OnChange:  func(c uplink.Change) { w.changes <- c },
		Instances: func() int { return instances }, Upstreams: func() int { return len(w.targets) },
	})
	t.Cleanup(s.Stop)
	return s
}

// Guards against health requests, of first tries, retries and tries through others, at upstreams without room;
// against an ended upstream that is not blamed then, and against a cut that is not found.
func TestUpstreamWithoutRoomIsSentNothing(t *testing.T) {
	RegisterTestingT(t)
	var admit atomic.Bool
	w := newWorld("a", "b")
	w.gone["a"] = true
	s := w.linksAdmitting(t, 4, &admit)
	_, err := s.Dial(t.Context(), w.targets[0])
	Expect(fault.CodeOf(err)).To(Equal(fault.Unavailable))
	Expect(s.Doubtful()).To(BeFalse())
	Consistently(w.asked.Load, 500*time.Millisecond).Should(BeZero())
	Expect(w.detours.Load()).To(BeZero())

	w = newWorld("a", "b")
	w.refuses = true
	s = w.linksAdmitting(t, 4, &admit)
	c, err := s.Dial(t.Context(), w.targets[0])
	Expect(err).NotTo(HaveOccurred())
	Expect(c.Detour).To(BeTrue())
	Expect(s.CutOff()).To(BeTrue())
	Expect(w.asked.Load()).To(BeZero())
	admit.Store(true)
	w.set(func() { w.refuses = false })
	Eventually(s.CutOff, 3*time.Second).Should(BeFalse())
}

// Guards against a cut behind made connections that is not found once there is room.
func TestCutIsFoundOnceThereIsRoom(t *testing.T) {
	RegisterTestingT(t)
	var admit atomic.Bool
	w := newWorld("a", "b", "c")
	w.lateResets = true
	s := w.linksAdmitting(t, 4, &admit)
	w.lose(s)
	Consistently(s.CutOff, time.Second).Should(BeFalse())
	Expect(w.asked.Load()).To(BeZero())
	admit.Store(true)
	Eventually(func() bool { w.lose(s); return s.CutOff() }, 2*time.Second).Should(BeTrue())
}

// Guards against a check for each failed connect, at all of many instances, while the only upstream that is
// left answers.
func TestInstancesTogetherCheckAnUpstreamSeldom(t *testing.T) {
	RegisterTestingT(t)
	for _, instances := range []int{4, 40} {
		var admit atomic.Bool
		admit.Store(true)
		w := newWorld("a", "b")
		w.gone["a"] = true
		var all []*uplink.Service
		for range instances {
			all = append(all, w.linksAdmitting(t, instances, &admit))
		}
		for begun := time.Now(); time.Since(begun) < 3*time.Second; time.Sleep(50 * time.Millisecond) {
			for _, s := range all {
				s.Heard()
				_, err := s.Dial(t.Context(), w.targets[0])
				Expect(fault.CodeOf(err)).To(Equal(fault.Unavailable))
			}
		}
		Expect(w.asked.Load()).To(BeNumerically("<=", instances), "the first of each instance")
	}
}
