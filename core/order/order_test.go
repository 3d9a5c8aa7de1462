package order_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/comfreyladder/comfreyladder/core/intent"
	"github.com/comfreyladder/comfreyladder/core/order"
)

func TestEachModelIsHeldAsOftenAsWantedAndNothingMoves(t *testing.T) {
	g := NewWithT(t)
	w := newSimulation(document(model("a", "1", 3), model("b", "", 2)), 6)
	w.run(60)
	g.Expect(w.holding("a@1")).To(Equal(3))
	g.Expect(w.holding("b")).To(Equal(2))
	g.Expect(w.orders).To(Equal(5))
	g.Expect(w.converges(500)).To(BeTrue())
	g.Expect(w.orders).To(Equal(5))
	for _, s := range w.last.Engines {
		g.Expect(s.Condition).To(Equal(order.Converged))
	}
}

func TestWhatEnginesHoldBeyondTheMinimumStays(t *testing.T) {
	g := NewWithT(t)
	w := newSimulation(document(model("a", "1", 1)), 4)
	for _, e := range w.engines {
		e.models["a@1"] = start
	}
	g.Expect(w.converges(500)).To(BeTrue())
	g.Expect(w.orders).To(BeZero())
}

func TestAnIntentWithoutModelsLeavesEnginesAlone(t *testing.T) {
	g := NewWithT(t)
	w := newSimulation(document(), 2)
	w.engines[0].models["x"] = start
	w.run(30)
	g.Expect(w.orders).To(BeZero())
}

func TestModelsThatLeaveTheIntentAreUnloaded(t *testing.T) {
	g := NewWithT(t)
	w := newSimulation(document(model("a", "1", 1)), 2)
	w.engines[0].models["a@1"] = start
	w.engines[1].models["x@7"] = start
	w.run(30)
	g.Expect(w.holding("x@7")).To(BeZero())
	g.Expect(w.holding("a@1")).To(Equal(1))
}

// If a version change made all engines load the new version at once, no engine would
// serve the model for the length of a load. Orders that consider the target state alone
// would do so.
func TestVersionChangeKeepsTheModelServed(t *testing.T) {
	g := NewWithT(t)
	w := newSimulation(document(model("a", "1", 4)), 4)
	w.run(60)
	for _, e := range w.engines {
		e.running = 1
	}
	w.doc = document(model("a", "2", 4))
	w.domain.SetIntent(w.doc)
	for range 150 {
		w.step()
		g.Expect(w.serving("a")).To(BeNumerically(">=", 3))
	}
	g.Expect(w.holding("a@2")).To(Equal(4))
	g.Expect(w.holding("a@1")).To(BeZero())
}

// The only engine with a model has work and no room for a second version. The new version
// goes to another engine first; without another engine it waits until this one is idle.
func TestTheLastEngineOfAModelInDemandGoesOn(t *testing.T) {
	for _, spare := range []bool{true, false} {
		t.Run(fmt.Sprintf("spare=%t", spare), func(t *testing.T) {
			g := NewWithT(t)
			w := newSimulation(document(model("a", "1", 1)), 1)
			w.run(60)
			if spare {
				w.engines = append(w.engines, &fakeEngine{name: "e-01", incarnation: 1, models: map[string]time.Time{}})
			}
			w.engines[0].running = 1
			w.doc = document(model("a", "2", 1))
			w.domain.SetIntent(w.doc)
			for range 120 {
				w.step()
				g.Expect(w.serving("a")).To(BeNumerically(">=", 1))
			}
			if spare {
				g.Expect(w.holding("a@2")).To(Equal(2))
				return
			}
			g.Expect(w.last.Models[0].Note).To(ContainSubstring("another engine"))
			w.engines[0].running = 0
			w.run(60)
			g.Expect(w.holding("a@2")).To(Equal(1))
		})
	}
}

func TestANewVersionLoadsBesideTheOldWhereThereIsRoom(t *testing.T) {
	g := NewWithT(t)
	doc := document(model("a", "1", 1))
	doc.Upstreams[0].MaxModels = 2
	w := newSimulation(doc, 1)
	w.run(30)
	w.engines[0].running = 1
	w.doc = document(model("a", "2", 1))
	w.doc.Upstreams[0].MaxModels = 2
	w.domain.SetIntent(w.doc)
	for range 60 {
		w.step()
		g.Expect(w.serving("a")).To(Equal(1))
	}
	g.Expect(w.holding("a@2")).To(Equal(1))
	g.Expect(w.holding("a@1")).To(BeZero())
}

func TestAdaptersFollowTheirModel(t *testing.T) {
	g := NewWithT(t)
	m := model("a", "1", 2)
	w := newSimulation(document(m), 2)
	w.run(60)
	m.Adapters = []string{"x", "y"}
	w.doc = document(m)
	w.domain.SetIntent(w.doc)
	w.run(90)
	g.Expect(w.holding("a@1:x")).To(Equal(2))
	g.Expect(w.holding("a@1:y")).To(Equal(2))
	g.Expect(w.engines[0].loads).To(Equal(3))
	m.Adapters = []string{"y"}
	w.doc = document(m)
	w.domain.SetIntent(w.doc)
	w.run(10)
	g.Expect(w.holding("a@1:x")).To(BeZero())
	g.Expect(w.holding("a@1:y")).To(Equal(2))
}

func TestRulesSayWhatAnEngineMayHoldAndItsRole(t *testing.T) {
	g := NewWithT(t)
	doc := document(model("a", "1", 1), model("b", "1", 1))
	doc.Upstreams = append(doc.Upstreams, intent.Upstream{Name: "e-00", Kind: intent.KindEngine, Models: []string{"b"}, Role: "prefill"})
	w := newSimulation(doc, 3)
	w.engines[0].models["a@1"] = start
	w.engines[0].running = 1
	for range 90 {
		w.step()
		g.Expect(w.serving("a")).To(BeNumerically(">=", 1))
	}
	g.Expect(w.holding("b@1")).To(Equal(1))
	g.Expect(w.engines[0].models).NotTo(HaveKey("a@1"))
	g.Expect(w.holding("a@1")).To(Equal(1))
	g.Expect(w.engines[0].role).To(Equal("prefill"))
}

// One model may be held by a single engine only, and that engine holds another model that
// any engine may hold.
func TestModelMovesForOneThatFitsNowhereElse(t *testing.T) {
	g := NewWithT(t)
	doc := document(model("a", "1", 1), model("b", "1", 1))
	doc.Upstreams = append(doc.Upstreams, intent.Upstream{Name: "e-01", Kind: intent.KindEngine, Models: []string{"a"}})
	w := newSimulation(doc, 2)
	w.engines[0].models["a@1"] = start
	w.engines[0].running = 1
	for range 90 {
		w.step()
		g.Expect(w.serving("a")).To(BeNumerically(">=", 1))
	}
	g.Expect(w.engines[0].models).To(HaveKey("b@1"))
	g.Expect(w.engines[1].models).To(HaveKey("a@1"))
}

// All engines of a failure domain restart empty within seconds, as after a power failure.
// If all were ordered to load at once, they would overload the weight store and every
// model would be unavailable for long. Loads must stay within the budget, and each model
// must come back once before any comes back twice.
func TestLoadsAfterARestartOfAllEnginesStayWithinTheBudget(t *testing.T) {
	g := NewWithT(t)
	w := newSimulation(document(model("a", "1", 8), model("b", "1", 6), model("c", "1", 2)), 16)
	w.run(120)
	g.Expect(w.holding("a@1") + w.holding("b@1") + w.holding("c@1")).To(Equal(16))
	for _, e := range w.engines {
		e.restart()
	}
	begin := w.now
	base := w.loadedMB
	first := map[string]bool{}
	for range 60 {
		for _, o := range w.step() {
			if len(first) < 3 {
				g.Expect(first).NotTo(HaveKey(o.Models[0]))
				first[o.Models[0]] = true
			}
		}
		g.Expect(w.loadedMB - base).To(BeNumerically("<=", 1000+1000*int(w.now.Sub(begin).Seconds())))
	}
	g.Expect(w.holding("a@1") + w.holding("b@1") + w.holding("c@1")).To(Equal(16))
}

// Issuers of orders fail one after another. A successor that started with a full budget
// would order loads that its predecessor has already spent the budget on.
func TestABudgetIsNotRefilledByASuccessor(t *testing.T) {
	g := NewWithT(t)
	doc := document(model("a", "1", 16))
	doc.Weights.RateMB = 100
	w := newSimulation(doc, 16)
	w.loadTime = time.Hour
	for range 12 {
		w.step()
		w.domain = order.New(order.Config{})
		w.domain.SetIntent(w.doc)
		w.domain.Begin(w.now, false)
		g.Expect(w.loadedMB).To(BeNumerically("<=", w.budget()))
	}
}

func TestLoadsUnderWayAreBounded(t *testing.T) {
	g := NewWithT(t)
	doc := document(model("a", "1", 8))
	doc.Weights.MaxConcurrentLoads = 2
	w := newSimulation(doc, 8)
	for range 100 {
		w.step()
		coming := 0
		for _, e := range w.engines {
			_, c := e.loaded(w.now)
			coming += len(c)
		}
		g.Expect(coming).To(BeNumerically("<=", 2))
	}
	g.Expect(w.holding("a@1")).To(Equal(8))
}

// An engine whose heartbeats are lost for a few seconds must not be replaced at once,
// since the load would be wasted. The only engine with a model is replaced at once.
func TestBrieflySilentEngineIsNotReplaced(t *testing.T) {
	g := NewWithT(t)
	w := newSimulation(document(model("a", "1", 2), model("b", "1", 1)), 5)
	w.run(60)
	had := w.orders
	var a, b *fakeEngine
	for _, e := range w.engines {
		if _, ok := e.models["a@1"]; ok {
			a = e
		}
		if _, ok := e.models["b@1"]; ok {
			b = e
		}
	}
	a.down = true
	w.run(10)
	g.Expect(w.orders).To(Equal(had))
	a.down = false
	w.run(10)
	g.Expect(w.orders).To(Equal(had))
	b.down = true
	w.run(3)
	g.Expect(w.orders).To(Equal(had + 1))
	a.down = true
	w.run(30)
	g.Expect(w.orders).To(Equal(had + 2))
}

func TestAnEngineThatDoesNotFollowCostsLittle(t *testing.T) {
	g := NewWithT(t)
	w := newSimulation(document(model("a", "1", 1)), 1)
	w.engines[0].ignoresOrders = true
	w.run(600)
	g.Expect(w.orders).To(BeNumerically("<=", 10))
	g.Expect(w.last.Engines[0].Condition).To(Equal(order.Diverged))
	w.engines[0].ignoresOrders = false
	w.run(600)
	g.Expect(w.holding("a@1")).To(Equal(1))
}

func TestALoadThatNeverEndsIsReplaced(t *testing.T) {
	g := NewWithT(t)
	doc := document(model("a", "1", 1))
	doc.Weights.MaxConcurrentLoads = 1
	w := newSimulation(doc, 2)
	w.loadTime = 24 * time.Hour
	w.step()
	w.loadTime = 20 * time.Second
	w.run(int(order.DefaultLoadTimeout/time.Second) + 60)
	g.Expect(w.holding("a@1")).To(Equal(1))
}

// A model's engines are full while another engine is idle. The idle engine loads the
// model too, until another model needs its room.
func TestDemandLoadsAnIdleEngine(t *testing.T) {
	g := NewWithT(t)
	w := newSimulation(document(model("a", "1", 1), model("b", "1", 1)), 3)
	w.run(40)
	had := w.orders
	for _, e := range w.engines {
		if _, ok := e.models["a@1"]; ok {
			e.running = 8
		}
	}
	w.run(60)
	g.Expect(w.holding("a@1")).To(Equal(2))
	g.Expect(w.orders).To(Equal(had + 1))
	w.doc = document(model("a", "1", 1), model("b", "1", 2))
	w.domain.SetIntent(w.doc)
	w.run(60)
	g.Expect(w.holding("b@1")).To(Equal(2))
	g.Expect(w.holding("a@1")).To(Equal(1))
}

func TestOrdersWaitForTheAuthority(t *testing.T) {
	g := NewWithT(t)
	doc := document(model("a", "1", 2))
	doc.Upstreams = []intent.Upstream{
		{Name: "e-00", Kind: intent.KindEngine, ChecksFence: true}, {Name: "e-01", Kind: intent.KindEngine},
	}
	w := newSimulation(doc, 2)
	w.authority = order.Authority{}
	w.run(5)
	g.Expect(w.orders).To(BeZero())
	g.Expect(w.last.Pending).To(BeTrue())
	w.authority.FenceChecking = true
	w.run(30)
	g.Expect(w.engines[0].models).To(HaveKey("a@1"))
	g.Expect(w.engines[1].models).To(BeEmpty())
	w.authority.FenceIgnoring = true
	w.run(30)
	g.Expect(w.engines[1].models).To(HaveKey("a@1"))
}

func TestEnginesThatWereNotReadAreLeftAloneAndCount(t *testing.T) {
	g := NewWithT(t)
	d := order.New(order.Config{})
	d.SetIntent(document(model("a", "1", 1)))
	d.Begin(start, true)
	unread := order.Engine{Name: "e-00", Incarnation: 1, HeardAt: start, Serves: []string{"a"}, Slots: 1}
	empty := order.Engine{Name: "e-01", Incarnation: 1, HeardAt: start, Slots: 1, State: &order.State{}}
	got := d.Step(start, []order.Engine{unread, empty}, all)
	g.Expect(got.Orders).To(BeEmpty())
	unread.Serves = nil
	got = d.Step(start, []order.Engine{unread, empty}, all)
	g.Expect(got.Orders).To(HaveLen(1))
	g.Expect(got.Orders[0].Engine).To(Equal("e-01"))
	g.Expect(d.InFlight("e-01")).To(BeTrue())
	g.Expect(d.Step(start, []order.Engine{unread, empty}, all).Orders).To(BeEmpty())
	d.NotSent(start, "e-01")
	g.Expect(d.Step(start, []order.Engine{unread, empty}, all).Orders).To(BeEmpty())
	later := start.Add(order.DefaultBackoff)
	empty.HeardAt, unread.HeardAt = later, later
	g.Expect(d.Step(later, []order.Engine{unread, empty}, all).Orders).To(HaveLen(1))
}

func TestNames(t *testing.T) {
	g := NewWithT(t)
	m := intent.Model{Name: "a", Version: "1", Adapters: []string{"x"}}
	g.Expect(order.Names(&m)).To(Equal([]string{"a@1", "a@1:x"}))
	served := slices.Collect(func(yield func(string) bool) {
		for _, n := range order.Names(&m) {
			yield(order.Served(n))
		}
	})
	g.Expect(served).To(Equal([]string{"a", "a:x"}))
}

// A model has one replica more than required, and one of its engines has just lost a
// heartbeat. Its other engines must not be given to another model, since the silent one
// may not come back.
func TestBrieflySilentEngineIsNotCountedAsSurplus(t *testing.T) {
	g := NewWithT(t)
	w := newSimulation(document(model("a", "1", 2)), 3)
	for _, e := range w.engines {
		e.models["a@1"] = start
	}
	w.run(20)
	w.engines[0].down = true
	w.doc = document(model("a", "1", 2), model("b", "1", 1))
	w.domain.SetIntent(w.doc)
	w.run(5)
	g.Expect(w.orders).To(BeZero())
	w.engines[0].down = false
	w.run(60)
	g.Expect(w.holding("b@1")).To(Equal(1))
	g.Expect(w.holding("a@1")).To(Equal(2))
}

// Two models are full in turn. An engine that was loaded for one must not be reassigned
// to the other at once, or it would spend most of its time loading.
func TestReassignCooldownLimitsDemandDrivenLoads(t *testing.T) {
	g := NewWithT(t)
	w := newSimulation(document(model("a", "1", 1), model("b", "1", 1)), 3)
	w.run(60)
	had := w.orders
	turn := func(busy string) {
		for range 120 {
			for _, e := range w.engines {
				e.running = 0
				if _, ok := e.models[busy]; ok {
					e.running = 8
				}
			}
			w.step()
		}
	}
	turn("a@1")
	turn("b@1")
	turn("a@1")
	g.Expect(w.orders).To(Equal(had + 1))
	turn("b@1")
	turn("b@1")
	g.Expect(w.orders).To(Equal(had + 2))
}
