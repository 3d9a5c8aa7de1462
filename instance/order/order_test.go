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

// elected returns the instance that sends orders, and the others.
func elected(p *testDomain, nodes map[string]*testInstance) (issuer *testInstance, others []*testInstance) {
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

func startAll(p *testDomain, names ...string) map[string]*testInstance {
	p.setMembers(names...)
	nodes := map[string]*testInstance{}
	for _, name := range names {
		nodes[name] = p.start(name)
	}
	return nodes
}

func nameOf(nodes map[string]*testInstance, n *testInstance) string {
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

func TestOneInstanceOrdersUntilConverged(t *testing.T) {
	p := newTestDomain(t, true, false, true)
	nodes := startAll(p, "a", "b", "c")
	p.Eventually(p.loaded("1")).Should(BeTrue())
	issuer, _ := elected(p, nodes)
	p.Eventually(func() order.Condition { return issuer.Status().Engines[0].Condition }).Should(Equal(order.Converged))
	for _, e := range p.engines {
		p.Expect(e.received()).To(HaveLen(1))
	}
	p.Expect(p.granted()).To(HaveLen(1))
	// Without orders to send the lease is released.
	p.Eventually(func() uint64 { return issuer.Status().Fence }).Should(BeZero())
	p.Eventually(func() string { l, _ := p.lease(); return l }).Should(BeEmpty())
}

func (p *testDomain) lease() (holder string, number uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	l, _ := p.group.Lease("d")
	return l.Holder, l.Number
}

func TestSuccessorOfStoppedIssuerDoesNotWait(t *testing.T) {
	p := newTestDomain(t, true, false)
	nodes := startAll(p, "a", "b", "c")
	p.Eventually(p.loaded("1")).Should(BeTrue())
	issuer, others := elected(p, nodes)
	// Waits for convergence: the successor would rightly wait for an order whose answer is in flight.
	p.Eventually(func() bool {
		return !slices.ContainsFunc(issuer.Status().Engines, func(e order.EngineStatus) bool { return e.Condition != order.Converged })
	}).Should(BeTrue())
	p.setMembers(without(p.live(), nameOf(nodes, issuer))...)
	p.stop(issuer)
	p.confirm("2", others...)
	p.Eventually(p.loaded("2")).Should(BeTrue())
	last := p.granted()[len(p.granted())-1]
	p.Expect(last.number).To(BeNumerically(">", 1))
	p.Expect(last.wait).To(BeZero())
}

// The issuer freezes between the last check of its lease and sending an order. The others consider it
// failed, and one of them sends a newer order. Then the frozen issuer resumes. Its order must reach no
// engine: one that ignores the fencing number would load an obsolete version.
func TestOrderOfFrozenIssuerDoesNotArrive(t *testing.T) {
	p := newTestDomain(t, false, true)
	nodes := startAll(p, "a", "b", "c")
	p.Eventually(p.loaded("1")).Should(BeTrue())
	issuer, others := elected(p, nodes)
	frozen, thawed := make(chan struct{}), make(chan struct{})
	thaw := sync.OnceFunc(func() { close(thawed) })
	t.Cleanup(thaw)
	var once sync.Once
	var held sync.WaitGroup
	issuer.set(func(n *testInstance) {
		n.beforeSend = func(c upstream.Call) {
			if c.Method != fasthttp.MethodPost {
				return
			}
			held.Add(1)
			defer held.Done()
			issuer.set(func(n *testInstance) { n.cutOff = true })
			once.Do(func() { close(frozen) })
			<-thawed
		}
		n.liveMembers = func() []string { return []string{nameOf(nodes, issuer)} }
	})
	p.confirm("2", issuer)
	<-frozen
	before := p.granted()[len(p.granted())-1]
	p.setMembers(without(p.live(), nameOf(nodes, issuer))...)
	p.confirm("3", others...)
	p.Eventually(p.loaded("3")).Should(BeTrue())
	issuer.set(func(n *testInstance) { n.cutOff = false })
	thaw()
	held.Wait()
	p.Eventually(func() bool { return issuer.Status().Fence == 0 }).Should(BeTrue())
	p.stop(issuer)
	for _, e := range p.engines {
		for _, o := range e.received() {
			p.Expect(o.Models).NotTo(ContainElement("m@2"), e.name)
		}
		p.Expect(e.refused).To(BeZero())
	}
	p.Expect(p.loaded("3")()).To(BeTrue())
	p.checkNoOverlap(before)
}

// checkNoOverlap checks that the first successor had to wait for the whole previous lease, and that it
// ordered engines that ignore the fencing number only after that time and the effect delay, counted from
// the grant. Later leases need no wait: a successor that lost its own lease acquires another one.
func (p *testDomain) checkNoOverlap(before grant) {
	p.t.Helper()
	for _, g := range p.granted() {
		if g.number <= before.number || g.holder == before.holder {
			continue
		}
		p.Expect(g.wait).To(Equal(ttl))
		for _, e := range p.engines {
			for _, o := range e.received() {
				if o.Fence == g.number && !e.checks {
					p.Expect(o.at).To(BeTemporally(">=", g.at.Add(ttl+100*time.Millisecond)))
				}
			}
		}
		return
	}
	p.t.Fatal("no instance took over")
}

// The order of a failed issuer arrives late at an engine that ignores the fencing number, the one case
// that is not prevented. It must be detected and corrected.
func TestLateOrderIsCorrected(t *testing.T) {
	p := newTestDomain(t, false)
	startAll(p, "a")
	p.Eventually(p.loaded("1")).Should(BeTrue())
	p.engines[0].set(func(e *fakeEngine) { e.models = []string{"m@0"} })
	p.Eventually(p.loaded("1")).Should(BeTrue())
}

func TestNoOrdersWithoutControlGroup(t *testing.T) {
	p := newTestDomain(t, true, false)
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

// An engine accepts an order and its answer is lost. The order must not be abandoned, charged twice or
// sent twice: the engine is read.
func TestLostAnswerIsResolvedByReading(t *testing.T) {
	p := newTestDomain(t, true)
	p.engines[0].set(func(e *fakeEngine) { e.dropAnswers = 1 })
	nodes := startAll(p, "a")
	p.Eventually(p.loaded("1")).Should(BeTrue())
	p.Eventually(func() []order.EngineStatus { return nodes["a"].Status().Engines }).ShouldNot(BeEmpty())
	p.Eventually(func() order.Condition { return nodes["a"].Status().Engines[0].Condition }).Should(Equal(order.Converged))
	p.Expect(p.engines[0].received()).To(HaveLen(1))
}

// An issuer sends an order and is stopped before the answer. The order may still arrive. If the lease
// were released at once, the successor would send its orders at the same time.
func TestStoppedIssuerKeepsLeaseWhileOrderIsInFlight(t *testing.T) {
	p := newTestDomain(t, false)
	nodes := startAll(p, "a", "b")
	p.Eventually(p.loaded("1")).Should(BeTrue())
	issuer, others := elected(p, nodes)
	held := make(chan struct{})
	t.Cleanup(func() { close(held) })
	p.engines[0].set(func(e *fakeEngine) { e.blocked = held })
	p.confirm("2", issuer)
	p.Eventually(p.loaded("2")).Should(BeTrue())
	p.setMembers(without(p.live(), nameOf(nodes, issuer))...)
	p.stop(issuer)
	p.engines[0].set(func(e *fakeEngine) { e.blocked = nil })
	before := p.granted()[len(p.granted())-1]
	p.confirm("3", others...)
	p.Eventually(p.loaded("3")).Should(BeTrue())
	p.checkNoOverlap(before)
}

// The issuer is suspended for longer than its lease, and another instance takes over. Meanwhile the
// monotonic clock stood still and the wall clock was set back: by either of them the lease would still be
// valid, and the issuer would order the engine back to an obsolete version.
func TestLeaseEndsDuringSuspension(t *testing.T) {
	p := newTestDomain(t, false)
	nodes := startAll(p, "a", "b")
	p.Eventually(p.loaded("1")).Should(BeTrue())
	issuer, _ := elected(p, nodes)
	p.confirm("2", issuer)
	p.Eventually(p.loaded("2")).Should(BeTrue())
	issuer.set(func(n *testInstance) { n.suspended, n.cutOff = time.Hour, true })
	p.confirm("3", issuer)
	p.Consistently(p.loaded("2"), ttl/2).Should(BeTrue(), "by another clock the lease is still valid")
}

// A new issuer must not order one engine to load what another one is already loading, only because that
// engine answers later.
func TestFirstStepWaitsUntilAllEnginesAreRead(t *testing.T) {
	p := newTestDomain(t, true, true)
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
	p.Expect(p.engines[1].received()).To(BeEmpty())
	p.Expect(p.granted()).To(BeEmpty())
}

// An engine has seen a greater fencing number than the issuer's. The issuer must not rely on its lease any
// more; its next one has a greater number.
func TestRefusedNumberEndsLease(t *testing.T) {
	p := newTestDomain(t, true)
	p.engines[0].set(func(e *fakeEngine) { e.fence = 3 })
	startAll(p, "a")
	p.Eventually(p.loaded("1")).Should(BeTrue())
	_, number := p.lease()
	p.Expect(number).To(BeNumerically(">=", 3))
	p.Expect(p.engines[0].refused).To(BeNumerically(">=", 2))
}

// An instance that has just restarted has an older intent than the others. If it is elected it must not
// order engines back to it.
func TestInstanceWithOldIntentDoesNotOrder(t *testing.T) {
	p := newTestDomain(t, true)
	p.setMembers("a")
	n := p.start("a")
	p.Eventually(p.loaded("1")).Should(BeTrue())
	n.set(func(n *testInstance) { n.newest = false })
	p.confirm("0", n)
	p.Consistently(p.loaded("1"), 200*time.Millisecond).Should(BeTrue())
	n.set(func(n *testInstance) { n.newest = true })
	p.Eventually(p.loaded("0")).Should(BeTrue())
}

func TestEngineWithoutOrdersIsSkipped(t *testing.T) {
	p := newTestDomain(t, true, true)
	p.doc.Models[0].Replicas = 1
	p.engines[0].noOrders = true
	nodes := startAll(p, "a")
	p.Eventually(func() []string { return p.engines[1].heldModels() }).Should(Equal([]string{"m@1"}))
	p.Eventually(func() order.Condition { return nodes["a"].Status().Engines[0].Condition }).Should(Equal(order.NoOrders))
}

// An engine restarts and holds nothing. Its state from before must not be taken for the current one.
func TestRestartedEngineIsReadAndOrderedAgain(t *testing.T) {
	p := newTestDomain(t, true, false)
	startAll(p, "a")
	p.Eventually(p.loaded("1")).Should(BeTrue())
	for _, e := range p.engines {
		e.set(func(e *fakeEngine) { e.inc, e.fence, e.models = 2, 0, []string{} })
	}
	p.Eventually(p.loaded("1")).Should(BeTrue())
}
