package ratelimit_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/comfreyladder/comfreyladder/core/ratelimit"
)

// rates holds fixed limits.
type rates map[uint64]float64

func (r rates) Limit(upstream uint64) (float64, bool) {
	perSecond, limited := r[upstream]
	return perSecond, limited
}

func tokenRequest(demands ...ratelimit.Demand) *ratelimit.TokenRequest {
	return &ratelimit.TokenRequest{Demands: demands}
}

func demand(count, urgency int) ratelimit.Demand {
	return ratelimit.Demand{Upstream: upstream, Count: count, Urgency: urgency}
}

func granted(a *ratelimit.TokenRequest) (n int) {
	for _, g := range a.Grants {
		n += g.Count
	}
	return n
}

// Guards against less urgent requests using up the tokens that more urgent ones wait for.
func TestUrgentDemandIsServedFirst(t *testing.T) {
	g := NewWithT(t)
	h := ratelimit.NewAllocator()
	limits := rates{upstream: 2}
	last, first := tokenRequest(demand(5, 4)), tokenRequest(demand(2, 0))
	h.Allocate(epoch, limits, []*ratelimit.TokenRequest{last, first})
	g.Expect(granted(first)).To(BeZero(), "a new allocator has no tokens")
	h.Allocate(epoch.Add(time.Second), limits, []*ratelimit.TokenRequest{last, first})
	g.Expect(granted(first)).To(Equal(2))
	g.Expect(granted(last)).To(BeZero())
	g.Expect(first.Unmet()).To(BeFalse())
	h.Allocate(epoch.Add(2*time.Second), limits, []*ratelimit.TokenRequest{last})
	g.Expect(granted(last)).To(Equal(2))
}

// Guards against one instance getting all tokens, and against an instance getting tokens that it
// does not need while another one waits.
func TestEquallyUrgentDemandIsServedRoundRobin(t *testing.T) {
	g := NewWithT(t)
	h := ratelimit.NewAllocator()
	limits := rates{upstream: 10}
	many, few := tokenRequest(demand(30, 0)), tokenRequest(demand(1, 0))
	h.Allocate(epoch, limits, []*ratelimit.TokenRequest{many, few})
	h.Allocate(epoch.Add(time.Second), limits, []*ratelimit.TokenRequest{many, few})
	g.Expect(granted(few)).To(Equal(1))
	g.Expect(granted(many)).To(Equal(5))
}

func TestUpstreamWithoutLimitGetsNoGrant(t *testing.T) {
	g := NewWithT(t)
	a := tokenRequest(demand(3, 0))
	h := ratelimit.NewAllocator()
	h.Allocate(epoch, rates{}, []*ratelimit.TokenRequest{a})
	h.Allocate(epoch.Add(time.Hour), rates{}, []*ratelimit.TokenRequest{a})
	g.Expect(granted(a)).To(BeZero())
}

// Guards against exceeding the announced limit in any window, however unevenly the instances request
// tokens, and against using much less than the limit.
func TestWindowsStayWithinLimitAndUseMostOfIt(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		perSecond := rapid.SampledFrom([]float64{0.3, 1, 2.3, 10, 30}).Draw(t, "limit")
		instances := rapid.SampledFrom([]int{1, 9, 79, 450}).Draw(t, "instances")
		limits := rates{upstream: perSecond}
		h := ratelimit.NewAllocator()
		tokenStores := make([]*ratelimit.TokenStore, instances)
		for i := range tokenStores {
			tokenStores[i] = ratelimit.NewTokenStore()
		}
		busy := rapid.IntRange(0, instances-1).Draw(t, "busy instance")
		uneven := rapid.Bool().Draw(t, "uneven")
		var sent []time.Time
		const step, span = 20 * time.Millisecond, 40 * time.Second
		n := 0
		for d := time.Duration(0); d < span; d += step {
			now := epoch.Add(d)
			var asks []*ratelimit.TokenRequest
			var from []*ratelimit.TokenStore
			// The demand exceeds the limit, from a few instances at a time.
			for range 1 + int(perSecond)/5 {
				i := n % instances
				if n++; uneven {
					i = busy
				}
				w := tokenStores[i]
				w.AddDemand(upstream, 0)
				if w.Use(now, upstream) {
					sent = append(sent, now)
					continue
				}
				asks, from = append(asks, &ratelimit.TokenRequest{Demands: w.DrainDemands()}), append(from, w)
			}
			h.Allocate(now, limits, asks)
			for i, a := range asks {
				from[i].Add(now, a.Grants)
			}
			for _, w := range from {
				for w.Use(now, upstream) {
					sent = append(sent, now)
				}
			}
		}
		for i := range sent {
			count := 0
			for _, at := range sent[i:] {
				if at.Sub(sent[i]) <= 4*time.Second {
					count++
				}
			}
			if float64(count) > 6*perSecond+5 {
				t.Fatalf("%d in 4 s at %v", count, perSecond)
			}
		}
		if float64(len(sent)) < 0.8*perSecond*span.Seconds()-2 {
			t.Fatalf("%d of %v used", len(sent), perSecond*span.Seconds())
		}
	})
}

// Guards against accumulating tokens and against using them long after they were granted.
func TestTokensExpire(t *testing.T) {
	g := NewWithT(t)
	w := ratelimit.NewTokenStore()
	w.Add(epoch, []ratelimit.Grant{{Upstream: upstream, Count: 2}})
	g.Expect(w.Available(epoch, upstream)).To(BeTrue())
	g.Expect(w.Use(epoch, upstream)).To(BeTrue())
	g.Expect(w.Use(epoch.Add(ratelimit.TokenLifetime), upstream)).To(BeFalse())
	h := ratelimit.NewAllocator()
	a := tokenRequest(demand(30, 0))
	h.Allocate(epoch, rates{upstream: 4}, []*ratelimit.TokenRequest{a})
	h.Allocate(epoch.Add(time.Hour), rates{upstream: 4}, []*ratelimit.TokenRequest{a})
	g.Expect(granted(a)).To(Equal(3), "one token plus those of half a second")
}

func TestDemandIsDrainedOnceAndBounded(t *testing.T) {
	g := NewWithT(t)
	w := ratelimit.NewTokenStore()
	for i := range 100 {
		w.AddDemand(upstream, 100-i)
	}
	g.Expect(w.DrainDemands()).To(Equal([]ratelimit.Demand{demand(32, 1)}))
	g.Expect(w.HasDemand()).To(BeFalse())
	g.Expect(w.DrainDemands()).To(BeEmpty())
}
