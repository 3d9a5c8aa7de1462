package warmup_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/comfreyladder/comfreyladder/core/ratelimit"
	"github.com/comfreyladder/comfreyladder/core/warmup"
)

var epoch = time.Unix(1_790_000_000, 0)

const (
	step          = 5 * time.Millisecond
	coldTime      = 8 * time.Second
	successorWait = ratelimit.TokenLifetime + 25*time.Millisecond
)

var example = warmup.Bound{PerSecond: 8.6, Overrun: 1.5, Slack: 5}

// way decides whether an instance may send a request to a cold engine.
type way func(now time.Duration, instance, engine int) bool

// world is a service whose engines start at the same time. Each request goes to a cold engine if the
// instance has a permit for it, and to a warm one otherwise.
type world struct {
	rng                *rand.Rand
	instances, engines int
	perSecond          float64
	// cutOff is the number of instances that reach no core.
	cutOff int
	// lostAt is when the leader is lost, zero for never.
	lostAt time.Duration
	// late is the number of instances that learn of the engines two seconds after the others.
	late int
	// suspended is the number of instances that do not run from 2 s to 4 s.
	suspended int
}

// run returns the requests in the worst second at any engine, and the mean number of requests that
// an engine received while it was cold.
func (w *world) run(f way) (worst int, mean float64) {
	arrivals := make([][]time.Duration, w.engines)
	learned := make([]time.Duration, w.instances)
	for i := range learned {
		learned[i] = time.Duration(w.rng.Int64N(int64(100 * time.Millisecond)))
		if i < w.late {
			learned[i] += 2 * time.Second
		}
	}
	due := 0.0
	for now := time.Duration(0); now < coldTime; now += step {
		for due += w.perSecond * step.Seconds(); due >= 1; due-- {
			i, e := w.rng.IntN(w.instances), w.rng.IntN(w.engines)
			if now < learned[i] || w.isSuspended(now, i) || !f(now, i, e) {
				continue
			}
			arrivals[e] = append(arrivals[e], now+time.Duration(w.rng.Int64N(int64(100*time.Millisecond))))
		}
	}
	for _, list := range arrivals {
		slices.Sort(list)
		for i, from := 0, 0; i < len(list); i++ {
			for list[i]-list[from] > time.Second {
				from++
			}
			worst = max(worst, i-from+1)
		}
		mean += float64(len(list)) / float64(w.engines)
	}
	return worst, mean
}

func (w *world) isSuspended(now time.Duration, i int) bool {
	return i >= w.instances-w.suspended && now >= 2*time.Second && now < 4*time.Second
}

// permits is the way that is used: permits of one allocator.
type permits struct {
	*world
	budget    warmup.Budget
	allocator *ratelimit.Allocator
	// second is set once a second leader allocates.
	second  bool
	stores  []*ratelimit.TokenStore
	next    []time.Duration
	pending []*reply
	last    time.Duration
}

// reply is the request of an instance, which was asked and is answered at a time.
type reply struct {
	at, asked time.Duration
	request   *ratelimit.TokenRequest
}

func (w *world) permits(bound warmup.Bound) way {
	p := &permits{
		world: w, budget: warmup.Budget{Bound: func(uint64) (warmup.Bound, bool) { return bound, true }}, allocator: ratelimit.NewAllocator(),
		next: make([]time.Duration, w.instances), pending: make([]*reply, w.instances), last: -1,
	}
	for range w.instances {
		p.stores = append(p.stores, ratelimit.NewTokenStoreFor(warmup.PermitLifetime))
	}
	return func(now time.Duration, i, e int) bool {
		if now != p.last {
			p.last = now
			p.exchange(now)
		}
		p.stores[i].AddDemand(uint64(e), 0)
		return p.stores[i].Use(epoch.Add(now), uint64(e))
	}
}

// exchange lets each instance take its reply and ask, and the leader allocate.
func (p *permits) exchange(now time.Duration) {
	var open []*ratelimit.TokenRequest
	for i := range p.pending {
		if !p.isSuspended(now, i) {
			p.ask(now, i)
		}
		if r := p.pending[i]; r != nil && now < r.at {
			open = append(open, r.request)
		}
	}
	if !p.second && p.lostAt > 0 && now >= p.lostAt+successorWait {
		p.allocator, p.second = ratelimit.NewAllocator(), true
	}
	if p.second || p.lostAt == 0 || now < p.lostAt {
		p.allocator.Allocate(epoch.Add(now), p.budget, open)
	}
}

func (p *permits) ask(now time.Duration, i int) {
	if r := p.pending[i]; r != nil && now >= r.at {
		p.stores[i].Add(epoch.Add(r.asked), r.request.Grants)
		p.pending[i] = nil
	}
	if p.pending[i] != nil || i < p.cutOff || now < p.next[i] || !p.stores[i].HasDemand() {
		return
	}
	p.next[i] = now + 50*time.Millisecond + time.Duration(p.instances)*2*time.Millisecond
	delay := 20*time.Millisecond + time.Duration(p.rng.Int64N(int64(150*time.Millisecond)))
	p.pending[i] = &reply{now + delay, now, &ratelimit.TokenRequest{Demands: p.stores[i].DrainDemands()}}
}

// shares is the alternative without messages: each instance has an equal part of the rate and may
// save one request.
func (w *world) shares(bound warmup.Bound, start float64) way {
	type bucket struct {
		tokens float64
		at     time.Duration
	}
	buckets := map[[2]int]*bucket{}
	return func(now time.Duration, i, e int) bool {
		b := buckets[[2]int{i, e}]
		if b == nil {
			b = &bucket{tokens: start, at: now}
			buckets[[2]int{i, e}] = b
		}
		b.tokens = min(1, b.tokens+bound.PerSecond/float64(w.instances)*(now-b.at).Seconds())
		b.at = now
		if b.tokens < 1 {
			return false
		}
		b.tokens--
		return true
	}
}

// Guards against instances whose requests to a cold upstream together exceed the bound in any second,
// and against a cold upstream that stays idle.
func TestBoundHoldsForAllInstancesTogether(t *testing.T) {
	g := NewWithT(t)
	for _, instances := range []int{4, 82, 450} {
		for _, w := range []world{
			{engines: 1},
			{engines: 5},
			{engines: 1, cutOff: instances / 3},
			{engines: 1, cutOff: instances},
			{engines: 2, lostAt: 1500 * time.Millisecond},
			{engines: 1, late: instances / 2, suspended: instances / 4},
		} {
			for seed := range uint64(5) {
				w.rng, w.instances, w.perSecond = rand.New(rand.NewPCG(seed, 7)), instances, max(400, 5*float64(instances))
				what := fmt.Sprintf("%d instances, %d engines, %d cut off, leader lost at %v, %d late, %d suspended", w.instances, w.engines, w.cutOff, w.lostAt, w.late, w.suspended)
				worst, mean := w.run(w.permits(example))
				if seed == 0 {
					t.Logf("%s: %d in the worst second, %.0f in %v", what, worst, mean, coldTime)
				}
				g.Expect(float64(worst)).To(BeNumerically("<=", example.Requests()), what)
				if w.cutOff < instances {
					g.Expect(mean).To(BeNumerically(">=", 0.2*example.PerSecond*coldTime.Seconds()), what)
				}
			}
		}
	}
}

// Prints the alternatives for docs/design/cold-upstreams.md. Guards against an alternative that is
// rejected for a reason which no longer holds.
func TestAlternativesExceedTheBoundOrLeaveUpstreamsIdle(t *testing.T) {
	g := NewWithT(t)
	for _, instances := range []int{4, 82, 450} {
		w := &world{rng: rand.New(rand.NewPCG(1, 7)), instances: instances, engines: 1, perSecond: 400}
		none, _ := w.run(func(time.Duration, int, int) bool { return true })
		one, oneUsed := w.run(w.shares(example, 1))
		empty, emptyUsed := w.run(w.shares(example, 0))
		kept, keptUsed := w.run(w.permits(example))
		t.Logf("%d instances, worst second and total: no limit %d, shares %d and %.0f, shares from zero %d and %.0f, permits %d and %.0f", instances, none, one, oneUsed, empty, emptyUsed, kept, keptUsed)
		g.Expect(float64(none)).To(BeNumerically(">", example.Requests()))
		if instances > 4 {
			g.Expect(float64(one)).To(BeNumerically(">", example.Requests()))
		}
	}
}

// Guards against a bound that admits a fraction of a request more, or settings that admit without end.
func TestGrantsStayWithinEachBound(t *testing.T) {
	g := NewWithT(t)
	for _, b := range []warmup.Bound{example, {PerSecond: 1, Overrun: 1}, {PerSecond: 0.3, Overrun: 1, Slack: 1}, {PerSecond: 200, Overrun: 1.1, Slack: 3}, {PerSecond: 0.5, Overrun: 1}, {PerSecond: 3, Overrun: 1, Slack: 40}} {
		perSecond, burst := b.Grants()
		g.Expect(math.Floor(perSecond*1.6+burst)).To(BeNumerically("<=", b.Requests()), "%v", b)
		g.Expect(perSecond).To(BeNumerically("<=", b.PerSecond))
		if b.Requests() >= 1 {
			g.Expect(burst).To(BeNumerically(">=", 1), "a permit can be granted: %v", b)
			g.Expect(perSecond).To(BeNumerically(">", 0))
		}
	}
}

// Guards against an upstream that counts as cold again with each change of its record, and against one
// that counts as warm because of a late report of an incarnation that has ended.
func TestColdFollowsReports(t *testing.T) {
	g := NewWithT(t)
	var c warmup.Cold
	g.Expect(c.Left(epoch)).To(BeZero())
	c.Report(epoch, 4, 5000)
	c.Report(epoch.Add(4*time.Second), 4, 5000)
	g.Expect(c.Left(epoch.Add(4 * time.Second))).To(Equal(time.Second))
	c.Report(epoch.Add(4*time.Second), 9, 3000)
	g.Expect(c.Left(epoch.Add(6*time.Second))).To(Equal(time.Second), "it became cold again")
	c.Presume(epoch.Add(6*time.Second), 5*time.Second)
	c.Report(epoch.Add(7*time.Second), 12, 0)
	g.Expect(c.Left(epoch.Add(7 * time.Second))).To(Equal(4 * time.Second))
	c.Report(epoch.Add(20*time.Second), 13, math.MaxInt64)
	g.Expect(c.Left(epoch.Add(20 * time.Second))).To(Equal(time.Hour))
	g.Expect(c.Left(epoch.Add(2 * time.Hour))).To(BeZero())

	lost := epoch.Add(3 * time.Hour)
	confirmed := func(at time.Time) func() time.Time { return func() time.Time { return at } }
	g.Expect(c.Is(lost, false, confirmed(lost))).To(BeFalse())
	c.Doubt(lost, 4*time.Second)
	g.Expect(c.Is(lost.Add(time.Second), false, confirmed(lost))).To(BeTrue(), "no contact since a connection was lost")
	g.Expect(c.Is(lost.Add(time.Second), false, confirmed(lost.Add(time.Second)))).To(BeFalse(), "the state shows no other process")
	g.Expect(c.Is(lost.Add(5*time.Second), false, confirmed(lost))).To(BeFalse())
	c.Ended(lost, time.Second)
	g.Expect(c.Is(lost.Add(time.Minute), true, confirmed(lost))).To(BeTrue(), "it has not started again")
}
