package ratelimit_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/comfreyladder/comfreyladder/core/ratelimit"
)

var epoch = time.Unix(1_000_000, 0)

func at(ms int) time.Time { return epoch.Add(time.Duration(ms) * time.Millisecond) }

const upstream = 7

func limitOf(b *ratelimit.Tracker) float64 {
	perSecond, _ := b.Limit(upstream)
	return perSecond
}

// Guards against ending a limit because an older answer arrived late.
func TestLateAnswerDoesNotEndLimit(t *testing.T) {
	g := NewWithT(t)
	b := ratelimit.NewTracker()
	g.Expect(b.Record(upstream, 2, at(100), at(120))).To(BeTrue())
	g.Expect(b.Record(upstream, 0, at(110), at(500))).To(BeFalse(), "its request was sent before the limit arrived")
	g.Expect(limitOf(b)).To(Equal(2.0))
	g.Expect(b.Record(upstream, 0, at(120), at(150))).To(BeTrue())
	g.Expect(limitOf(b)).To(BeZero())
	g.Expect(b.Limited()).To(BeEmpty())
}

// Guards against reinstating a limit because an older answer arrived late.
func TestLateAnswerDoesNotReinstateLimit(t *testing.T) {
	g := NewWithT(t)
	b := ratelimit.NewTracker()
	b.Record(upstream, 2, at(100), at(120))
	b.Record(upstream, 0, at(200), at(220))
	b.Record(upstream, 2, at(90), at(190))
	g.Expect(limitOf(b)).To(BeZero())
	b.Record(upstream, 3, at(230), at(240))
	g.Expect(limitOf(b)).To(Equal(3.0))
}

// Guards against applying the higher of two limits while their order is unknown.
func TestLowerLimitAppliesWhileOrderIsUnknown(t *testing.T) {
	g := NewWithT(t)
	b := ratelimit.NewTracker()
	b.Record(upstream, 2, at(100), at(200))
	b.Record(upstream, 5, at(150), at(250))
	g.Expect(limitOf(b)).To(Equal(2.0))
	b.Record(upstream, 5, at(250), at(260))
	g.Expect(limitOf(b)).To(Equal(5.0))
	b.Record(upstream, 1, at(100), at(255))
	g.Expect(limitOf(b)).To(Equal(5.0))
}

// Guards against keeping the limits of removed upstreams, and against reporting ends of limits
// forever.
func TestTrackerPrunes(t *testing.T) {
	g := NewWithT(t)
	b := ratelimit.NewTracker()
	b.Record(upstream, 2, at(0), at(1))
	b.Record(8, 2, at(0), at(1))
	b.Prune(at(60_000), func(u uint64) bool { return u == upstream })
	g.Expect(b.Limited()).To(Equal([]uint64{upstream}))
	b.Record(upstream, 0, at(60_000), at(60_001))
	b.Prune(at(60_500), func(uint64) bool { return true })
	g.Expect(b.Statements(at(60_500))).To(HaveLen(1))
	b.Prune(at(75_000), func(uint64) bool { return true })
	g.Expect(b.Empty()).To(BeTrue())
}

// Guards against permanent disagreement between instances that received the same answers in a
// different order or through other instances.
func TestTrackersAgreeAfterExchange(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b := ratelimit.NewTracker(), ratelimit.NewTracker()
		for range rapid.IntRange(1, 12).Draw(t, "answers") {
			sent := rapid.IntRange(0, 1000).Draw(t, "sent")
			heard := sent + rapid.IntRange(1, 200).Draw(t, "took")
			rate := rapid.SampledFrom([]float64{0, 1, 2}).Draw(t, "rate")
			to := a
			if rapid.Bool().Draw(t, "at b") {
				to = b
			}
			to.Record(upstream, rate, at(sent), at(heard))
		}
		for range 3 {
			a.Merge(at(3000), b.Statements(at(3000)))
			b.Merge(at(3000), a.Statements(at(3000)))
		}
		_, limitedA := a.Limit(upstream)
		_, limitedB := b.Limit(upstream)
		if limitedA != limitedB {
			t.Fatalf("%v and %v", a.Statements(at(3000)), b.Statements(at(3000)))
		}
	})
}
