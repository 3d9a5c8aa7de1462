package balance_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/comfreyladder/comfreyladder/core/balance"
)

// holds reports whether an upstream has a prompt cached, and whether it has finished the prefill.
func holds(x *balance.PromptIndex[string], now time.Time, prompt uint64, holder string) (cached, full bool) {
	x.Holders(now, prompt, func(h string, f bool) {
		if h == holder {
			cached, full = true, f
		}
	})
	return cached, full
}

// Guards against fetching a prompt from an engine that has only started its prefill: nothing is
// cached there yet, so the prompt is prefilled twice.
func TestFullyCachedAfterPrefill(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(100, 0)
	var x balance.PromptIndex[string]
	full := func(at time.Time) bool {
		_, full := holds(&x, at, 7, "u")
		return full
	}
	x.Record(now, 7, "u")
	cached, _ := holds(&x, now, 7, "u")
	g.Expect(cached).To(BeTrue())
	g.Expect(full(now.Add(time.Second))).To(BeFalse())
	x.Record(now.Add(time.Second), 7, "u")
	g.Expect(full(now.Add(2*time.Second))).To(BeTrue(), "counted from the first request")
	g.Expect(full(now.Add(time.Hour))).To(BeFalse())
	x.Record(now.Add(time.Hour), 7, "u")
	g.Expect(full(now.Add(time.Hour+time.Second))).To(BeFalse(), "counted again after expiry")
}

// Guards against announcing a cached prompt to all instances with every request. It is announced
// once, and again by any instance before the others expire it; a prompt that was never sent is not
// announced.
func TestKeptPromptIsToldOnceInAWhile(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(100, 0)
	var x, other balance.PromptIndex[string]
	g.Expect(x.TryAnnounce(now, 7, "u")).To(BeFalse())
	x.Record(now, 7, "u")
	g.Expect(x.TryAnnounce(now, 7, "u")).To(BeTrue())
	other.RecordAnnounced(now, 7, "u")
	for s := range 25 {
		at := now.Add(time.Duration(s) * time.Second)
		x.Record(at, 7, "u")
		if x.TryAnnounce(at, 7, "u") {
			other.RecordAnnounced(at, 7, "u")
			g.Expect(s).To(BeNumerically(">=", 10))
		}
		other.Record(at, 7, "u")
		g.Expect(other.TryAnnounce(at, 7, "u")).To(BeFalse(), "another instance has announced it")
	}
	cached, _ := holds(&other, now.Add(45*time.Second), 7, "u")
	g.Expect(cached).To(BeTrue(), "announced again before expiry")
}

func TestCachedPromptsExpire(t *testing.T) {
	g := NewWithT(t)
	var x balance.PromptIndex[string]
	now := time.Unix(100, 0)
	cached, _ := holds(&x, now, 7, "u")
	g.Expect(cached).To(BeFalse())
	x.Record(now, 7, "u")
	cached, _ = holds(&x, now, 7, "u")
	g.Expect(cached).To(BeTrue())
	cached, _ = holds(&x, now, 7, "other")
	g.Expect(cached).To(BeFalse())
	cached, _ = holds(&x, now.Add(time.Hour), 7, "u")
	g.Expect(cached).To(BeFalse())
}

// Prompts come and go all day. Those in use must stay known, and the index must not grow.
func TestPromptsInUseAreKept(t *testing.T) {
	g := NewWithT(t)
	var x balance.PromptIndex[int]
	now := time.Unix(100, 0)
	for i := range 300_000 {
		now = now.Add(200 * time.Microsecond)
		x.Record(now, uint64(1000+i), i%50)
		x.Record(now, 7, 3)
	}
	kept := false
	x.Holders(now, 7, func(holder int, full bool) { kept = holder == 3 && full })
	g.Expect(kept).To(BeTrue())
	known := 0
	for i := range 300_000 {
		x.Holders(now, uint64(1000+i), func(int, bool) { known++ })
	}
	g.Expect(known).To(BeNumerically("<=", 65536))
}
