package order_test

import (
	"slices"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/valyala/fasthttp"

	"github.com/comfreyladder/comfreyladder/core/order"
	"github.com/comfreyladder/comfreyladder/instance/upstream"
)

// elected returns the node that orders, and the others.
func elected(p *place, nodes map[string]*node) (issuer *node, others []*node) {
	p.Eventually(func() bool {
		issuer, others = nil, nil
		for name, n := range nodes {
			if n.Status().Issuer == name {
				issuer = n
			} else {
				others = append(others, n)
			}
		}
		return issuer != nil && len(others) == len(nodes)-1
	}).Should(BeTrue())
	return issuer, others
}

func startAll(p *place, names ...string) map[string]*node {
	p.setMembers(names...)
	nodes := map[string]*node{}
	for _, name := range names {
		nodes[name] = p.start(name)
	}
	return nodes
}

func nameOf(nodes map[string]*node, n *node) string {
	for name, x := range nodes {
		if x == n {
			return name
		}
	}
	return ""
}

func without(names []string, gone string) []string {
	return slices.DeleteFunc(slices.Clone(names), func(n string) bool { return n == gone })
}

func TestOneInstanceOrdersAndTheDomainComesToRest(t *testing.T) {
	p := newPlace(t, true, false, true)
	nodes := startAll(p, "a", "b", "c")
	p.Eventually(p.loaded("1")).Should(BeTrue())
	issuer, _ := elected(p, nodes)
	p.Eventually(func() order.Condition { return issuer.Status().Engines[0].Condition }).Should(Equal(order.Converged))
	for _, e := range p.engines {
		p.Expect(e.taken()).To(HaveLen(1))
	}
	p.Expect(p.given()).To(HaveLen(1))
	// With nothing to order the lease is given up.
	p.Eventually(func() uint64 { return issuer.Status().Fence }).Should(BeZero())
	p.Eventually(func() string { l, _ := p.lease(); return l }).Should(BeEmpty())
}

func (p *place) lease() (holder string, number uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	l, _ := p.group.Lease("d")
	return l.Holder, l.Number
}

func TestAStoppedIssuerLeavesNothingToWaitFor(t *testing.T) {
	p := newPlace(t, true, false)
	nodes := startAll(p, "a", "b", "c")
	p.Eventually(p.loaded("1")).Should(BeTrue())
	issuer, others := elected(p, nodes)
	// An order whose answer is still on its way would rightly be waited for.
	p.Eventually(func() bool {
		return !slices.ContainsFunc(issuer.Status().Engines, func(e order.EngineStatus) bool { return e.Condition != order.Converged })
	}).Should(BeTrue())
	p.setMembers(without(p.live(), nameOf(nodes, issuer))...)
	p.stop(issuer)
	p.confirm("2", others...)
	p.Eventually(p.loaded("2")).Should(BeTrue())
	last := p.given()[len(p.given())-1]
	p.Expect(last.number).To(BeNumerically(">", 1))
	p.Expect(last.wait).To(BeZero())
}

// The issuer freezes between the last check of its lease and the sending of an
// order. The others take it for dead, and one of them orders something newer. Then
// the frozen one goes on. Its order must reach no engine: one that ignores the
// number would load what nobody wants any more.
func TestAnOrderOfAFrozenIssuerDoesNotArrive(t *testing.T) {
	p := newPlace(t, false, true)
	nodes := startAll(p, "a", "b", "c")
	p.Eventually(p.loaded("1")).Should(BeTrue())
	issuer, others := elected(p, nodes)
	frozen, thawed := make(chan struct{}), make(chan struct{})
	thaw := sync.OnceFunc(func() { close(thawed) })
	t.Cleanup(thaw)
	var once sync.Once
	var held sync.WaitGroup
	issuer.set(func(n *node) {
		n.hold = func(c upstream.Call) {
			if c.Method != fasthttp.MethodPost {
				return
			}
			held.Add(1)
			defer held.Done()
			issuer.set(func(n *node) { n.cutOff = true })
			once.Do(func() { close(frozen) })
			<-thawed
		}
		n.alone = func() []string { return []string{nameOf(nodes, issuer)} }
	})
	p.confirm("2", issuer)
	<-frozen
	before := p.given()[len(p.given())-1]
	p.setMembers(without(p.live(), nameOf(nodes, issuer))...)
	p.confirm("3", others...)
	p.Eventually(p.loaded("3")).Should(BeTrue())
	issuer.set(func(n *node) { n.cutOff = false })
	thaw()
	held.Wait()
	p.Eventually(func() bool { return issuer.Status().Fence == 0 }).Should(BeTrue())
	p.stop(issuer)
	for _, e := range p.engines {
		for _, o := range e.taken() {
			p.Expect(o.Models).NotTo(ContainElement("m@2"), e.name)
		}
		p.Expect(e.refused).To(BeZero())
	}
	p.Expect(p.loaded("3")()).To(BeTrue())
	p.apart(before)
}

// apart checks that the first successor owed the whole lease before, and that an engine
// that ignores the number was ordered by it only after that and a flight, counted from the
// grant. Later leases owe nothing: a successor that lost its own takes another one.
func (p *place) apart(before grant) {
	p.t.Helper()
	for _, g := range p.given() {
		if g.number <= before.number || g.holder == before.holder {
			continue
		}
		p.Expect(g.wait).To(Equal(ttl))
		for _, e := range p.engines {
			for _, o := range e.taken() {
				if o.Fence == g.number && !e.checks {
					p.Expect(o.at).To(BeTemporally(">=", g.at.Add(ttl+100*time.Millisecond)))
				}
			}
		}
		return
	}
	p.t.Fatal("nobody took over")
}

// The order of a dead issuer arrives late at an engine that ignores the number:
// the one case that nothing prevents. It is found and corrected.
func TestAnOldOrderThatArrivesAnywayIsCorrected(t *testing.T) {
	p := newPlace(t, false)
	startAll(p, "a")
	p.Eventually(p.loaded("1")).Should(BeTrue())
	p.engines[0].set(func(e *fakeEngine) { e.models = []string{"m@0"} })
	p.Eventually(p.loaded("1")).Should(BeTrue())
}

func TestNobodyOrdersWhileTheControlGroupIsAway(t *testing.T) {
	p := newPlace(t, true, false)
	nodes := startAll(p, "a", "b")
	p.Eventually(p.loaded("1")).Should(BeTrue())
	issuer, others := elected(p, nodes)
	p.setDown(true)
	p.Eventually(func() uint64 { return issuer.Status().Fence }).Should(BeZero())
	p.confirm("2", append(others, issuer)...)
	p.Consistently(p.loaded("1"), 2*ttl).Should(BeTrue())
	p.Eventually(func() order.Condition { return issuer.Status().Engines[0].Condition }).Should(Equal(order.Due))
	p.setDown(false)
	p.Eventually(p.loaded("2")).Should(BeTrue())
}

// An engine takes an order and its answer is lost. The order may not be given up,
// and may not be charged or given twice: the engine is read.
func TestALostAnswerIsSettledByReading(t *testing.T) {
	p := newPlace(t, true)
	p.engines[0].set(func(e *fakeEngine) { e.cut = 1 })
	nodes := startAll(p, "a")
	p.Eventually(p.loaded("1")).Should(BeTrue())
	p.Eventually(func() []order.EngineStatus { return nodes["a"].Status().Engines }).ShouldNot(BeEmpty())
	p.Eventually(func() order.Condition { return nodes["a"].Status().Engines[0].Condition }).Should(Equal(order.Converged))
	p.Expect(p.engines[0].taken()).To(HaveLen(1))
}

// An issuer sends an order and is stopped before the answer. The order may still arrive.
// If the lease were given up at once, the successor would order in the same moment.
func TestAnIssuerWithAnOrderUnderWayLetsItsLeaseRunOut(t *testing.T) {
	p := newPlace(t, false)
	nodes := startAll(p, "a", "b")
	p.Eventually(p.loaded("1")).Should(BeTrue())
	issuer, others := elected(p, nodes)
	held := make(chan struct{})
	t.Cleanup(func() { close(held) })
	p.engines[0].set(func(e *fakeEngine) { e.held = held })
	p.confirm("2", issuer)
	p.Eventually(p.loaded("2")).Should(BeTrue())
	p.setMembers(without(p.live(), nameOf(nodes, issuer))...)
	p.stop(issuer)
	p.engines[0].set(func(e *fakeEngine) { e.held = nil })
	before := p.given()[len(p.given())-1]
	p.confirm("3", others...)
	p.Eventually(p.loaded("3")).Should(BeTrue())
	p.apart(before)
}

// The issuer's machine is suspended for longer than its lease, and another instance takes
// over. The monotonic clock has stood still meanwhile, and the time of day was set back: by
// either the lease goes on, and the engine is ordered back to what nobody wants any more.
func TestALeaseEndsWhileTheMachineIsSuspended(t *testing.T) {
	p := newPlace(t, false)
	nodes := startAll(p, "a", "b")
	p.Eventually(p.loaded("1")).Should(BeTrue())
	issuer, _ := elected(p, nodes)
	p.confirm("2", issuer)
	p.Eventually(p.loaded("2")).Should(BeTrue())
	issuer.set(func(n *node) { n.suspended, n.cutOff = time.Hour, true })
	p.confirm("3", issuer)
	p.Consistently(p.loaded("2"), ttl/2).Should(BeTrue(), "by another clock the lease goes on")
}

// A new issuer must not load at one engine what another is loading already, only
// because that one answers later.
func TestTheFirstStepWaitsUntilAllEnginesWereRead(t *testing.T) {
	p := newPlace(t, true, true)
	p.doc.Models[0].Replicas = 1
	for _, e := range p.engines {
		e.loading, e.slow = []string{"m@1"}, 0
	}
	p.engines[1].loading = nil
	p.engines[0].slow = 200 * time.Millisecond
	nodes := startAll(p, "a")
	p.Eventually(func() bool {
		list := nodes["a"].Status().Engines
		return len(list) == 2 && list[0].Condition == order.Loading
	}).Should(BeTrue())
	p.Expect(p.engines[1].taken()).To(BeEmpty())
	p.Expect(p.given()).To(BeEmpty())
}

// An engine has seen a greater number than the issuer's. The issuer must not count
// on its lease any more; its next one has a greater number.
func TestARefusedNumberEndsTheLease(t *testing.T) {
	p := newPlace(t, true)
	p.engines[0].set(func(e *fakeEngine) { e.fence = 3 })
	startAll(p, "a")
	p.Eventually(p.loaded("1")).Should(BeTrue())
	_, number := p.lease()
	p.Expect(number).To(BeNumerically(">=", 3))
	p.Expect(p.engines[0].refused).To(BeNumerically(">=", 2))
}

// An instance that just restarted acts on an older intent than the others. If it
// is elected it must not order engines back.
func TestAnInstanceThatLagsDoesNotOrder(t *testing.T) {
	p := newPlace(t, true)
	p.setMembers("a")
	n := p.start("a")
	p.Eventually(p.loaded("1")).Should(BeTrue())
	n.set(func(n *node) { n.newest = false })
	p.confirm("0", n)
	p.Consistently(p.loaded("1"), 200*time.Millisecond).Should(BeTrue())
	n.set(func(n *node) { n.newest = true })
	p.Eventually(p.loaded("0")).Should(BeTrue())
}

func TestAnEngineThatTakesNoOrdersIsLeftAlone(t *testing.T) {
	p := newPlace(t, true, true)
	p.doc.Models[0].Replicas = 1
	p.engines[0].none = true
	nodes := startAll(p, "a")
	p.Eventually(func() []string { return p.engines[1].holds() }).Should(Equal([]string{"m@1"}))
	p.Eventually(func() order.Condition { return nodes["a"].Status().Engines[0].Condition }).Should(Equal(order.NoOrders))
}

// An engine restarts and holds nothing. What was known of it may not be taken for
// what it holds now.
func TestARestartedEngineIsReadAndOrderedAnew(t *testing.T) {
	p := newPlace(t, true, false)
	startAll(p, "a")
	p.Eventually(p.loaded("1")).Should(BeTrue())
	for _, e := range p.engines {
		e.set(func(e *fakeEngine) { e.inc, e.fence, e.models = 2, 0, []string{} })
	}
	p.Eventually(p.loaded("1")).Should(BeTrue())
}
