package balance_test

import (
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/comfreyladder/comfreyladder/core/balance"
)

// Guards against fetching a prompt from an engine that has only started its prefill: nothing is
// cached there yet, so the prompt is prefilled twice.
func TestFullyCachedAfterPrefill(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(100, 0)
	var k balance.PromptCache
	k.Record(now, 7)
	g.Expect(k.CachedShare(now, 7)).To(Equal(1.0))
	g.Expect(k.FullyCached(now.Add(time.Second), 7)).To(BeFalse())
	k.Record(now.Add(time.Second), 7)
	g.Expect(k.FullyCached(now.Add(2*time.Second), 7)).To(BeTrue(), "counted from the first request")
	g.Expect(k.FullyCached(now.Add(time.Hour), 7)).To(BeFalse())
	k.Record(now.Add(time.Hour), 7)
	g.Expect(k.FullyCached(now.Add(time.Hour+time.Second), 7)).To(BeFalse(), "counted again after expiry")
}

// Guards against announcing a cached prompt to all instances with every request. It is announced
// once, and again by any instance before the others expire it; a prompt that was never sent is not
// announced.
func TestKeptPromptIsToldOnceInAWhile(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(100, 0)
	var k, other balance.PromptCache
	g.Expect(k.TryAnnounce(now, 7)).To(BeFalse())
	k.Record(now, 7)
	g.Expect(k.TryAnnounce(now, 7)).To(BeTrue())
	other.RecordAnnounced(now, 7)
	for s := range 25 {
		at := now.Add(time.Duration(s) * time.Second)
		k.Record(at, 7)
		if k.TryAnnounce(at, 7) {
			other.RecordAnnounced(at, 7)
			g.Expect(s).To(BeNumerically(">=", 10))
		}
		other.Record(at, 7)
		g.Expect(other.TryAnnounce(at, 7)).To(BeFalse(), "another instance has announced it")
	}
	g.Expect(other.CachedShare(now.Add(45*time.Second), 7)).To(Equal(1.0), "announced again before expiry")
}

func TestRateSettlesAtTheUpperQuartile(t *testing.T) {
	g := NewWithT(t)
	var r balance.Rate
	rng := rand.New(rand.NewPCG(1, 2))
	for range 500 {
		tokens := 2000 + 10000*rng.Float64()
		ms := 12 + tokens/80*(0.8+0.4*rng.Float64())
		r.Observe(tokens, time.Duration(ms*float64(time.Millisecond)))
	}
	g.Expect(r.PerMS()).To(BeNumerically("~", 88, 8))
}

func TestCachedPromptsExpire(t *testing.T) {
	g := NewWithT(t)
	var k balance.PromptCache
	now := time.Unix(100, 0)
	g.Expect(k.CachedShare(now, 7)).To(BeZero())
	k.Record(now, 7)
	g.Expect(k.CachedShare(now, 7)).To(Equal(1.0))
	g.Expect(k.CachedShare(now.Add(time.Hour), 7)).To(BeZero())
}
