package ratelimit_test

import (
	"flag"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/comfreyladder/comfreyladder/core/ratelimit"
)

// compareAll runs all strategies, for the comparison in docs/design/limits.md.
var compareAll = flag.Bool("ratelimit.all", false, "run all strategies, not only the deployed one")

const (
	simulationStep = 10 * time.Millisecond
	simulationTime = 60 * time.Second
	// minAllocatorDelay is the minimum time from a token request to its answer.
	minAllocatorDelay = 20 * time.Millisecond
	// demandReportAge is the age of the demand that instances know of each other.
	demandReportAge = 500 * time.Millisecond
	// maxRequestWait is how long a request waits for a token, as if no other upstream had capacity.
	maxRequestWait = 250 * time.Millisecond
)

// scenario is the demand for one upstream.
type scenario struct {
	name      string
	instances int
	perSecond float64
	// offered is the request rate as a multiple of the limit.
	offered float64
	// at chooses the instance at which a request arrives.
	at func(rng *rand.Rand, now time.Duration, n int) int
}

func even(rng *rand.Rand, _ time.Duration, n int) int { return rng.IntN(n) }

func uneven(rng *rand.Rand, _ time.Duration, n int) int {
	if rng.IntN(10) > 0 {
		return 0
	}
	return rng.IntN(n)
}

// rotating sends all requests to one instance, and moves to the next every two seconds.
func rotating(_ *rand.Rand, now time.Duration, n int) int { return int(now/(2*time.Second)) % n }

// strategy decides whether an instance may send a request.
type strategy interface {
	admit(now time.Duration, instance int, first bool) bool
}

type newStrategy func(rng *rand.Rand, s *scenario) strategy

// unlimited sends every request.
type unlimited struct{}

func (unlimited) admit(time.Duration, int, bool) bool { return true }

// sharedBuckets gives each instance a token bucket with a share of the limit.
type sharedBuckets struct {
	s      *scenario
	share  func(now time.Duration, instance int) float64
	tokens []float64
	at     []time.Duration
}

func newSharedBuckets(s *scenario, part func(time.Duration, int) float64) *sharedBuckets {
	return &sharedBuckets{s, part, make([]float64, s.instances), make([]time.Duration, s.instances)}
}

func (p *sharedBuckets) admit(now time.Duration, i int, _ bool) bool {
	p.tokens[i] = min(1, p.tokens[i]+p.share(now, i)*(now-p.at[i]).Seconds())
	p.at[i] = now
	if p.tokens[i] < 1 {
		return false
	}
	p.tokens[i]--
	return true
}

// demandProportional divides the limit in proportion to the demand of the instances. An instance
// knows its own current demand and a delayed one of the others.
type demandProportional struct {
	*sharedBuckets
	seen [][]time.Duration
}

func newDemandProportional(s *scenario) *demandProportional {
	d := &demandProportional{seen: make([][]time.Duration, s.instances)}
	d.sharedBuckets = newSharedBuckets(s, func(now time.Duration, i int) float64 {
		own, all := float64(d.count(i, now)), 0.0
		for j := range d.seen {
			if j != i {
				all += float64(d.count(j, now-demandReportAge))
			}
		}
		if own == 0 {
			return 0
		}
		return s.perSecond * own / (own + all)
	})
	return d
}

func (d *demandProportional) count(i int, now time.Duration) (n int) {
	for _, at := range d.seen[i] {
		if at <= now && now-at < 2*time.Second {
			n++
		}
	}
	return n
}

func (d *demandProportional) admit(now time.Duration, i int, first bool) bool {
	if first {
		d.seen[i] = append(d.seen[i], now)
	}
	if len(d.seen[i]) > 400 {
		d.seen[i] = d.seen[i][200:]
	}
	return d.sharedBuckets.admit(now, i, first)
}

// centralTokens uses tokens from one allocator.
type centralTokens struct {
	rng         *rand.Rand
	s           *scenario
	allocator   *ratelimit.Allocator
	tokenStores []*ratelimit.TokenStore
	inFlight    []pendingGrant
	next        []time.Duration
}

type pendingGrant struct {
	at     time.Duration
	asked  time.Duration
	tokens *ratelimit.TokenStore
	ask    *ratelimit.TokenRequest
}

func newCentralTokens(rng *rand.Rand, s *scenario) *centralTokens {
	r := &centralTokens{rng: rng, s: s, allocator: ratelimit.NewAllocator(), next: make([]time.Duration, s.instances)}
	for range s.instances {
		r.tokenStores = append(r.tokenStores, ratelimit.NewTokenStore())
	}
	return r
}

func (r *centralTokens) admit(now time.Duration, i int, first bool) bool {
	var open []*ratelimit.TokenRequest
	for _, g := range r.inFlight {
		open = append(open, g.ask)
	}
	r.allocator.Allocate(epoch.Add(now), rates{upstream: r.s.perSecond}, open)
	var later []pendingGrant
	for _, g := range r.inFlight {
		if now < g.at {
			later = append(later, g)
			continue
		}
		g.tokens.Add(epoch.Add(g.asked), g.ask.Grants)
	}
	r.inFlight = later
	w := r.tokenStores[i]
	if first {
		w.AddDemand(upstream, 0)
	}
	if now >= r.next[i] && w.HasDemand() {
		r.next[i] = now + 50*time.Millisecond + time.Duration(r.s.instances)*2*time.Millisecond
		r.inFlight = append(r.inFlight, pendingGrant{now + minAllocatorDelay + time.Duration(r.rng.Int64N(int64(150*time.Millisecond))), now, w, &ratelimit.TokenRequest{Demands: w.DrainDemands()}})
	}
	return w.Use(epoch.Add(now), upstream)
}

var strategies = []struct {
	name string
	new  newStrategy
}{
	{"no limit (former behaviour)", func(*rand.Rand, *scenario) strategy { return unlimited{} }},
	{"full limit for each instance", func(_ *rand.Rand, s *scenario) strategy {
		return newSharedBuckets(s, func(time.Duration, int) float64 { return s.perSecond })
	}},
	{"equal shares", func(_ *rand.Rand, s *scenario) strategy {
		return newSharedBuckets(s, func(time.Duration, int) float64 { return s.perSecond / float64(s.instances) })
	}},
	{"shares by demand", func(_ *rand.Rand, s *scenario) strategy { return newDemandProportional(s) }},
	{"tokens from one allocator", func(rng *rand.Rand, s *scenario) strategy { return newCentralTokens(rng, s) }},
}

// deployedStrategy is the index of the strategy that instances use.
const deployedStrategy = 4

// simulate returns the number of requests in the worst window as a share of what is permitted, and
// the used share of the limit.
func (s *scenario) simulate(seed uint64, n newStrategy) (worst, used float64) {
	rng := rand.New(rand.NewPCG(seed, 4))
	w := n(rng, s)
	type waiter struct {
		came     time.Duration
		instance int
	}
	var sent []time.Duration
	var waiting []waiter
	due := 0.0
	for now := time.Duration(0); now < simulationTime; now += simulationStep {
		for due += s.offered * s.perSecond * simulationStep.Seconds(); due >= 1; due-- {
			waiting = append(waiting, waiter{now, s.at(rng, now, s.instances)})
		}
		var still []waiter
		for _, x := range waiting {
			switch {
			case w.admit(now, x.instance, now == x.came):
				sent = append(sent, now)
			case now-x.came < maxRequestWait:
				still = append(still, x)
			}
		}
		waiting = still
	}
	from := 0
	for i, at := range sent {
		for at-sent[from] > 4*time.Second {
			from++
		}
		worst = max(worst, float64(i-from+1)/(6*s.perSecond+5))
	}
	return worst, float64(len(sent)) / (s.perSecond * simulationTime.Seconds())
}

// TestWaysToKeepALimit prints the results of each strategy. It guards the deployed one against
// exceeding the limit, and against using much less than it under excess demand.
func TestWaysToKeepALimit(t *testing.T) {
	g := NewWithT(t)
	for _, demand := range []struct {
		name string
		at   func(*rand.Rand, time.Duration, int) int
	}{{"even", even}, {"90% at one instance", uneven}, {"one instance in turn", rotating}} {
		for _, instances := range []int{9, 79, 450} {
			for _, perSecond := range []float64{0.3, 2.3, 30} {
				for i, w := range strategies {
					if i != deployedStrategy && !*compareAll {
						continue
					}
					s := &scenario{name: demand.name, instances: instances, perSecond: perSecond, offered: 5, at: demand.at}
					worst, used := s.simulate(1, w.new)
					t.Logf("%-20s %3d instances, %4.1f a second: %-28s worst window %5.2f of the permitted requests, used %.2f", s.name, instances, perSecond, w.name, worst, used)
					if i == deployedStrategy {
						g.Expect(worst).To(BeNumerically("<=", 1), s.name)
						g.Expect(used).To(BeNumerically(">=", 0.6), s.name)
					}
				}
			}
		}
	}
}
