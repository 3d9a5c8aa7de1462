package balance_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/comfreyladder/comfreyladder/core/balance"
)

// scored returns upstreams that differ only in their observations.
func scored(observed ...balance.Observed) []balance.Upstream {
	list := newUpstreams(len(observed))
	balance.ScorePeers(list, observed, balance.SumObserved(observed))
	return list
}

// An upstream that slows down while its health checks pass must soon cost more, and must be tried
// again some time later.
func TestSlownessIsDetectedAndDecays(t *testing.T) {
	g := NewWithT(t)
	var slow, peer balance.Observer
	now := time.Unix(100, 0)
	slowness := func() float64 { return scored(slow.Sums(now), peer.Sums(now), peer.Sums(now))[0].Slowness }
	g.Expect(slowness()).To(Equal(1.0))
	for range 8 {
		slow.FirstEvent(now, 100, 500)
		peer.FirstEvent(now, 100, 100)
	}
	g.Expect(slowness()).To(BeNumerically(">", 3.5))
	now = now.Add(time.Minute)
	g.Expect(slowness()).To(BeNumerically("~", 1, 0.01))
}

// A fifth of 80 engines slows down under 200 instances, and each instance gets one answer from a
// slow engine in ten seconds. From its own answers alone no instance would notice; the sum of one
// answer per instance must show it.
func TestSumOfSingleAnswersShowsSlowUpstream(t *testing.T) {
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
	list := scored(slow, peer, peer, peer, peer)
	g.Expect(list[0].Slowness).To(BeNumerically(">", 2))
	g.Expect(list[1].Slowness).To(BeNumerically("<", 1))
}

// In a burst all engines take three times as long as predicted. None is slow relative to its peers,
// and treating all as slow would refuse requests that they can serve.
func TestBurstMakesNoUpstreamSlow(t *testing.T) {
	g := NewWithT(t)
	var o balance.Observer
	now := time.Unix(100, 0)
	for range 50 {
		o.FirstEvent(now, 100, 300)
	}
	for _, u := range scored(o.Sums(now), o.Sums(now), o.Sums(now)) {
		g.Expect(u.Slowness).To(BeNumerically("~", 1, 0.15))
	}
}

// An upstream fails a third of its answers. A few failures may be chance or caused by the requests;
// many distinguish it from its peers. Failures common to all must not count.
func TestManyFailuresAreSignificant(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(100, 0)
	var bad, good balance.Observer
	errors := func() float64 {
		list := scored(bad.Sums(now), good.Sums(now), good.Sums(now))
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
	g.Expect(errors()).To(BeNumerically("<", 0.2), "failures common to all")
}
