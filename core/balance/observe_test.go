package balance_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/comfreyladder/comfreyladder/core/balance"
)

// judged returns upstreams that are alike but for what was observed of them.
func judged(observed ...balance.Observed) []balance.Upstream {
	list := fleet(len(observed))
	balance.ScorePeers(list, observed)
	return list
}

// An upstream turns slow while its probes stay good. It must cost more soon, and be
// tried again some time later.
func TestSlownessIsLearntAndForgotten(t *testing.T) {
	g := NewWithT(t)
	var slow, peer balance.Observer
	now := time.Unix(100, 0)
	slowness := func() float64 { return judged(slow.Sums(now), peer.Sums(now), peer.Sums(now))[0].Slowness }
	g.Expect(slowness()).To(Equal(1.0))
	for range 8 {
		slow.FirstEvent(now, 100, 500)
		peer.FirstEvent(now, 100, 100)
	}
	g.Expect(slowness()).To(BeNumerically(">", 3.5))
	now = now.Add(time.Minute)
	g.Expect(slowness()).To(BeNumerically("~", 1, 0.01))
}

// A fifth of 80 engines turns slow under 200 instances. Each instance gets an answer of a
// slow one every ten seconds, so by its own answers it sends there as before, and callers
// are late for as long as it lasts. One answer each, added up, must show it.
func TestOneAnswerAtEachInstanceShowsASlowUpstream(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(100, 0)
	var slow, peer balance.Observed
	for range 15 {
		var a, b balance.Observer
		a.FirstEvent(now, 80, 400)
		b.FirstEvent(now, 80, 80)
		slow.Add(a.Sums(now))
		peer.Add(b.Sums(now))
	}
	list := judged(slow, peer, peer, peer, peer)
	g.Expect(list[0].Slowness).To(BeNumerically(">", 2))
	g.Expect(list[1].Slowness).To(BeNumerically("<", 1))
}

// In a burst all engines take three times as long as predicted. None of them is slow
// beside its peers: taking all for slow would refuse what they can bear.
func TestABurstMakesNoUpstreamSlow(t *testing.T) {
	g := NewWithT(t)
	var o balance.Observer
	now := time.Unix(100, 0)
	for range 50 {
		o.FirstEvent(now, 100, 300)
	}
	for _, u := range judged(o.Sums(now), o.Sums(now), o.Sums(now)) {
		g.Expect(u.Slowness).To(BeNumerically("~", 1, 0.15))
	}
}

// One upstream fails a third of its answers. A few answers may fail by chance or for the
// requests' own sake; many tell it from its peers, whose own failures count for all alike.
func TestFailuresTellOnceTheyAreMany(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(100, 0)
	var bad, good balance.Observer
	errors := func() float64 {
		list := judged(bad.Sums(now), good.Sums(now), good.Sums(now))
		return list[0].Errors - list[1].Errors
	}
	bad.Failed(now)
	g.Expect(errors()).To(BeNumerically("<", 0.15), "a single failure")
	for i := range 30 {
		good.Succeeded(now)
		if i%3 == 0 {
			bad.Failed(now)
		} else {
			bad.Succeeded(now)
		}
	}
	g.Expect(errors()).To(BeNumerically(">", 0.2))
	for range 5 {
		good.FailedHard(now)
		bad.FailedHard(now)
	}
	g.Expect(errors()).To(BeNumerically("<", 0.2), "what all have alike")
}
