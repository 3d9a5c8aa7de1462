package order_test

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"
	"go.uber.org/goleak"

	"github.com/comfreyladder/comfreyladder/core/announce"
	"github.com/comfreyladder/comfreyladder/core/control/fence"
	"github.com/comfreyladder/comfreyladder/core/fault"
	"github.com/comfreyladder/comfreyladder/core/intent"
	core "github.com/comfreyladder/comfreyladder/core/order"
	"github.com/comfreyladder/comfreyladder/core/registry"
	"github.com/comfreyladder/comfreyladder/instance/clock"
	"github.com/comfreyladder/comfreyladder/instance/order"
	"github.com/comfreyladder/comfreyladder/instance/upstream"
)

// receivedOrder is one order that took effect at an engine.
type receivedOrder struct {
	Fence  uint64
	Models []string
	at     time.Time
}

// fakeEngine holds what it is ordered to hold without delay.
type fakeEngine struct {
	name   string
	checks bool
	ln     net.Listener

	mu      sync.Mutex
	inc     uint64
	fence   uint64
	models  []string
	orders  []receivedOrder
	refused int
	// dropAnswers is the number of orders that it accepts and then closes the connection without an answer.
	dropAnswers int
	// blocked, if set, makes it accept orders and delay the answers until the channel is closed.
	blocked chan struct{}
	// loading is the list of models that it reports as loading. slow delays the first read.
	loading []string
	slow    time.Duration
	// noOrders makes it answer like an engine that does not support orders.
	noOrders bool
}

// ServeHTTP implements http.Handler.
func (e *fakeEngine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	slow := e.slow
	e.slow = 0
	e.mu.Unlock()
	time.Sleep(slow)
	e.mu.Lock()
	held := e.blocked
	e.mu.Unlock()
	if held != nil && r.Method == http.MethodPost {
		defer func() { <-held }()
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
	status := http.StatusOK
	switch {
	case e.noOrders || r.URL.Path != "/v1/orders":
		status = http.StatusNotFound
	case r.Method == http.MethodPost:
		status = e.order(r)
	}
	if status == 0 {
		c, _, _ := w.(http.Hijacker).Hijack()
		_ = c.Close()
		return
	}
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(core.State{Fence: e.fence, Models: e.models, Loading: e.loading})
}

func (e *fakeEngine) order(r *http.Request) int {
	var o receivedOrder
	_ = json.NewDecoder(r.Body).Decode(&o)
	if e.checks && o.Fence < e.fence {
		e.refused++
		return http.StatusConflict
	}
	o.at = time.Now()
	e.fence, e.models, e.orders = max(e.fence, o.Fence), o.Models, append(e.orders, o)
	if e.dropAnswers > 0 {
		e.dropAnswers--
		return 0
	}
	return http.StatusOK
}

func (e *fakeEngine) received() []receivedOrder {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Clone(e.orders)
}

func (e *fakeEngine) heldModels() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Clone(e.models)
}

func (e *fakeEngine) set(f func(e *fakeEngine)) {
	e.mu.Lock()
	defer e.mu.Unlock()
	f(e)
}

// testDomain is a failure domain with its engines and a control group, in one process.
type testDomain struct {
	*GomegaWithT
	t       testing.TB
	engines []*fakeEngine
	doc     *intent.Document

	mu      sync.Mutex
	group   *fence.Machine
	index   uint64
	down    bool // the control group cannot be reached
	grants  []grant
	members []string
}

// grant is a lease as granted by the control group.
type grant struct {
	holder string
	number uint64
	wait   time.Duration
	at     time.Time
}

const ttl = 500 * time.Millisecond

func newTestDomain(t testing.TB, checks ...bool) *testDomain {
	p := &testDomain{GomegaWithT: NewWithT(t), t: t, group: fence.New(), doc: &intent.Document{
		Models:  []intent.Model{{Name: "m", Version: "1", Replicas: len(checks), SizeMB: 1}},
		Weights: intent.Weights{RateMB: 1000, MaxConcurrentLoads: 100},
	}}
	p.SetDefaultEventuallyTimeout(20 * time.Second)
	p.SetDefaultEventuallyPollingInterval(2 * time.Millisecond)
	before := goleak.IgnoreCurrent()
	t.Cleanup(func() { goleak.VerifyNone(t, before) })
	for i, c := range checks {
		e := &fakeEngine{name: "e-" + string(rune('a'+i)), checks: c, inc: 1, models: []string{}}
		p.doc.Upstreams = append(p.doc.Upstreams, intent.Upstream{Name: e.name, Kind: intent.KindEngine, ChecksFence: c})
		p.serve(e)
		p.engines = append(p.engines, e)
	}
	return p
}

func (p *testDomain) serve(e *fakeEngine) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	p.Expect(err).NotTo(HaveOccurred())
	e.ln = ln
	s := &http.Server{Handler: e}
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = s.Serve(ln)
	}()
	p.t.Cleanup(func() {
		_ = s.Close()
		<-done
	})
}

func (p *testDomain) propose(ctx context.Context, machine string, data []byte) ([]byte, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.down || ctx.Err() != nil || machine != fence.Name {
		return nil, fault.New(fault.NotRun, "no quorum")
	}
	p.index++
	now := time.Now()
	result := p.group.Apply(p.index, now, data)
	if l, ok := p.group.Lease("d"); ok && l.Holder != "" && (len(p.grants) == 0 || p.grants[len(p.grants)-1].number < l.Number) {
		p.grants = append(p.grants, grant{holder: l.Holder, number: l.Number, wait: l.Wait, at: now})
	}
	return result, nil
}

func (p *testDomain) granted() []grant {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Clone(p.grants)
}

func (p *testDomain) setDown(down bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.down = down
}

func (p *testDomain) setMembers(names ...string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.members = names
}

func (p *testDomain) live() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Clone(p.members)
}

func (p *testDomain) view() *registry.View {
	r := registry.New("d")
	for _, e := range p.engines {
		e.mu.Lock()
		b := announce.Heartbeat{
			Name: e.name, Domain: "d", Kind: intent.KindEngine, Address: e.ln.Addr().String(), Slots: 4,
			Incarnation: e.inc, Sequence: 1, TTLMillis: 3000,
		}
		for _, m := range e.models {
			b.Models = append(b.Models, core.Served(m))
		}
		e.mu.Unlock()
		r.Apply(time.Now(), b)
	}
	return r.View()
}

// testInstance is one instance. beforeSend, if set, is called between the last check of the lease and
// the work of the client, as if the process froze there.
type testInstance struct {
	*order.Service
	client      *upstream.Client
	mu          sync.Mutex
	beforeSend  func(upstream.Call)
	liveMembers func() []string // its own view of the members
	newest      bool
	cutOff      bool // from the control group
	stopped     bool
	// suspended is how long the instance was suspended so far.
	suspended time.Duration
}

// now is a clock that includes the time of suspensions.
func (n *testInstance) now() time.Time {
	n.mu.Lock()
	defer n.mu.Unlock()
	return clock.Now().Add(n.suspended)
}

func (n *testInstance) Do(ctx context.Context, t upstream.Target, c upstream.Call) (*upstream.Answer, error) {
	n.mu.Lock()
	hold := n.beforeSend
	n.mu.Unlock()
	if hold != nil {
		hold(c)
		// The timer of a context may not have fired yet when a frozen process resumes.
		ctx = context.WithoutCancel(ctx)
	}
	return n.client.Do(ctx, t, c)
}

func (n *testInstance) set(f func(n *testInstance)) {
	n.mu.Lock()
	defer n.mu.Unlock()
	f(n)
}

func (p *testDomain) start(name string) *testInstance {
	n := &testInstance{client: upstream.New(upstream.Config{}), newest: true, liveMembers: p.live}
	n.Service = order.New(order.Config{
		Domain: "d", Self: name, Client: n, View: p.view, Log: zerolog.Nop(),
		Members: func() []string {
			n.mu.Lock()
			defer n.mu.Unlock()
			return n.liveMembers()
		},
		Propose: func(ctx context.Context, machine string, data []byte) ([]byte, error) {
			n.mu.Lock()
			cutOff := n.cutOff
			n.mu.Unlock()
			if cutOff {
				return nil, fault.New(fault.NotRun, "no member of the control group answers")
			}
			return p.propose(ctx, machine, data)
		},
		Newest: func() bool {
			n.mu.Lock()
			defer n.mu.Unlock()
			return n.newest
		},
		Now:  n.now,
		Plan: core.Config{Backoff: 50 * time.Millisecond, IdleAfter: 50 * time.Millisecond},
		Tick: 5 * time.Millisecond, TTL: ttl, Margin: 50 * time.Millisecond, MaxEffectDelay: 100 * time.Millisecond,
		ReadInterval: 50 * time.Millisecond, LoadingReadInterval: 10 * time.Millisecond, CallTimeout: 2 * time.Second, KeepLease: 300 * time.Millisecond,
	}, "1")
	n.SetIntent(p.doc)
	p.Expect(n.Start(context.Background())).To(Succeed())
	p.t.Cleanup(func() { p.stop(n) })
	return n
}

func (p *testDomain) stop(n *testInstance) {
	if n.stopped {
		return
	}
	n.stopped = true
	p.Expect(n.Stop(context.Background())).To(Succeed())
	p.Expect(n.client.Close(context.Background())).To(Succeed())
}

// confirm puts another version of the model in force at the instances.
func (p *testDomain) confirm(version string, nodes ...*testInstance) {
	doc := *p.doc
	doc.Models = slices.Clone(doc.Models)
	doc.Models[0].Version = version
	for _, n := range nodes {
		n.SetIntent(&doc)
	}
}

// loaded reports whether all engines hold the version and nothing else.
func (p *testDomain) loaded(version string) func() bool {
	return func() bool {
		for _, e := range p.engines {
			if !slices.Equal(e.heldModels(), []string{"m@" + version}) {
				return false
			}
		}
		return true
	}
}
