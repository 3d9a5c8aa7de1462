package backpressure_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/comfreyladder/comfreyladder/core/backpressure"
	"github.com/comfreyladder/comfreyladder/core/balance"
)

// way is how instances treat upstreams that turn requests away and ask for a pause.
type way struct {
	name string
	// gate keeps the pauses, counted records rejections among the results that instances share, and
	// shared tells the pauses to all instances.
	gate, counted, shared bool
}

var ways = []way{
	{name: "nothing"},
	{name: "own gate", gate: true},
	{name: "own gate, rejections counted", gate: true, counted: true},
	{name: "gate of all instances", gate: true, shared: true},
}

const (
	// step is the resolution of the comparison. Instances learn from each other with the delay told.
	step, told = 5 * time.Millisecond, 500 * time.Millisecond
	// work is how long an upstream works on a request, rejecting the share of upstreams that reject
	// all requests of the middle third of the span, each asking for asked.
	work, rejecting = 300 * time.Millisecond, 0.28
	asked           = 3 * time.Second
	span            = 30 * time.Second
)

// fleet is a number of instances in front of upstreams, in virtual time.
type fleet struct {
	way       way
	random    *rand.Rand
	now       time.Time
	gates     [][]backpressure.Gate
	observers [][]balance.Observer
	// known is what all instances have observed, as of the last exchange.
	known  []balance.Observed
	active []int
	ends   map[time.Time][]int
	// requests and rejected count first tries, unwanted those that arrived in a pause.
	requests, rejected, unwanted int
	askedAt                      map[[2]int]time.Time
}

func newFleet(w way, seed uint64, instances, upstreams int) *fleet {
	f := &fleet{way: w, random: rand.New(rand.NewPCG(seed, 7)), now: noon, known: make([]balance.Observed, upstreams), active: make([]int, upstreams), ends: map[time.Time][]int{}, askedAt: map[[2]int]time.Time{}}
	for range instances {
		f.gates = append(f.gates, make([]backpressure.Gate, upstreams))
		f.observers = append(f.observers, make([]balance.Observer, upstreams))
	}
	return f
}

// choose returns the upstream for a request of an instance, or -1.
func (f *fleet) choose(instance int) int {
	list := make([]balance.Upstream, len(f.active))
	observed := make([]balance.Observed, len(f.active))
	for u := range list {
		list[u] = balance.Upstream{ID: fmt.Sprint(u), Active: f.active[u], Slots: 64}
		list[u].Excluded = f.way.gate && f.gates[instance][u].Left(f.now) > 0
		observed[u] = f.known[u]
	}
	balance.ScorePeers(list, observed, balance.SumObserved(observed))
	return balance.Choose(list, &balance.Request{Random: f.random.Float64()}).Index
}

func (f *fleet) request(instance int, rejects bool) {
	f.requests++
	u := f.choose(instance)
	if u < 0 {
		f.rejected++
		return
	}
	pair := [2]int{instance, u}
	if since := f.now.Sub(f.askedAt[pair]); since > asked/6 && since < asked {
		f.unwanted++
	}
	if rejects && float64(u) < rejecting*float64(len(f.active)) {
		f.reject(instance, u)
		return
	}
	f.observers[instance][u].Succeeded(f.now)
	f.active[u]++
	end := f.now.Add(work)
	f.ends[end] = append(f.ends[end], u)
}

func (f *fleet) reject(instance, u int) {
	f.rejected++
	f.askedAt[[2]int{instance, u}] = f.now
	if f.way.counted {
		f.observers[instance][u].FailedHard(f.now)
	}
	ask := backpressure.Ask{Pause: asked}
	f.gates[instance][u].Apply(ask, f.now)
	for i := range f.gates {
		if f.way.shared {
			f.gates[i][u].Apply(ask, f.now)
		}
	}
}

// exchange updates what all instances know of the results.
func (f *fleet) exchange() {
	for u := range f.known {
		f.known[u] = balance.Observed{}
		for i := range f.observers {
			f.known[u].Add(f.observers[i][u].Sums(f.now))
		}
	}
}

func (f *fleet) play(perSecond float64) {
	due := 0.0
	for f.now.Sub(noon) < span {
		for _, u := range f.ends[f.now] {
			f.active[u]--
		}
		delete(f.ends, f.now)
		if f.now.Sub(noon)%told == 0 {
			f.exchange()
		}
		passed := f.now.Sub(noon)
		for due += perSecond * step.Seconds(); due >= 1; due-- {
			f.request(f.random.IntN(len(f.gates)), passed > span/3 && passed < 2*span/3)
		}
		f.now = f.now.Add(step)
	}
}

// Guards against a way of treating upstreams that reject requests by which more callers are turned
// away than need be, or by which an upstream gets what it asked not to get.
func TestWaysToTreatUpstreamsThatReject(t *testing.T) {
	g := NewWithT(t)
	for _, size := range []struct {
		instances, upstreams int
		perSecond            float64
		seeds                uint64
	}{{9, 18, 110, 3}, {88, 90, 264, 1}} {
		rejected := map[string]int{}
		for _, w := range ways {
			unwanted, requests := 0, 0
			for seed := range size.seeds {
				f := newFleet(w, seed, size.instances, size.upstreams)
				f.play(size.perSecond)
				rejected[w.name] += f.rejected
				unwanted += f.unwanted
				requests += f.requests
			}
			t.Logf("%d instances, %d upstreams, %s: %d of %d first tries rejected, %d unwanted", size.instances, size.upstreams, w.name, rejected[w.name], requests, unwanted)
			if w.gate {
				g.Expect(unwanted).To(BeZero(), w.name)
			}
		}
		g.Expect(rejected["own gate, rejections counted"]).To(BeNumerically("<", rejected["nothing"]/2))
	}
}
