package schedule_test

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/ugorji/go/codec"
	"go.uber.org/goleak"

	"github.com/comfreyladder/comfreyladder/core/fault"
	"github.com/comfreyladder/comfreyladder/core/intent"
	"github.com/comfreyladder/comfreyladder/core/sched"
	"github.com/comfreyladder/comfreyladder/instance/schedule"
)

// network connects instances in one process. Messages are encoded, arrive in order between
// two instances, and are dropped when the lose function says so.
type network struct {
	mu      sync.Mutex
	members []string
	peers   map[string]*testPeer
	lose    func(from, to, channel string) bool
	count   func(bytes int)
}

type testPeer struct {
	net      *network
	name     string
	handlers map[string]schedule.Handler
	queue    chan func()
}

type body []byte

func (b body) Decode(v any) error { return codec.NewDecoderBytes(b, &codec.CborHandle{}).Decode(v) }

func (n *testPeer) Self() string { return n.name }

func (n *testPeer) Members() []string {
	n.net.mu.Lock()
	defer n.net.mu.Unlock()
	return slices.Clone(n.net.members)
}

func (n *testPeer) Handle(channel string, h schedule.Handler) { n.handlers[channel] = h }

func (n *testPeer) Send(to, channel string, msg any) error {
	var data []byte
	if err := codec.NewEncoderBytes(&data, &codec.CborHandle{}).Encode(msg); err != nil {
		return err
	}
	n.net.mu.Lock()
	defer n.net.mu.Unlock()
	peer := n.net.peers[to]
	if peer == nil || n.net.lose != nil && n.net.lose(n.name, to, channel) {
		return nil
	}
	if n.net.count != nil {
		n.net.count(len(data))
	}
	from := n.name
	peer.queue <- func() { peer.handlers[channel](context.Background(), from, body(data)) }
	return nil
}

func (w *network) setMembers(names ...string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.members = names
}

func (w *network) setLose(f func(from, to, channel string) bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.lose = f
}

func (w *network) setCount(f func(bytes int)) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.count = f
}

// domain is a set of instances that share the same engines.
type domain struct {
	*GomegaWithT
	t        testing.TB
	net      *network
	services map[string]*schedule.Service
	next     int
}

var testConfig = schedule.Config{
	Tick: 5 * time.Millisecond, Beat: 20 * time.Millisecond, SchedulerTimeout: 200 * time.Millisecond,
	HandOver: 60 * time.Millisecond, Lease: 400 * time.Millisecond,
	Policy: sched.Config{Headroom: 0.001},
}

func newDomain(t testing.TB, slots int, names ...string) *domain {
	d := &domain{
		GomegaWithT: NewWithT(t), t: t, services: map[string]*schedule.Service{},
		net: &network{peers: map[string]*testPeer{}, members: names},
	}
	d.SetDefaultEventuallyTimeout(10 * time.Second)
	d.SetDefaultEventuallyPollingInterval(2 * time.Millisecond)
	before := goleak.IgnoreCurrent()
	t.Cleanup(func() { goleak.VerifyNone(t, before) })
	for _, name := range names {
		n := &testPeer{net: d.net, name: name, handlers: map[string]schedule.Handler{}, queue: make(chan func(), 10_000)}
		d.net.peers[name] = n
		d.services[name] = schedule.New(testConfig, n)
		go func() {
			for f := range n.queue {
				f()
			}
		}()
		t.Cleanup(func() { close(n.queue) })
	}
	for _, s := range d.services {
		d.Expect(s.Start(context.Background())).To(Succeed())
		s.SetIntent(&intent.Document{
			Classes:       []intent.Class{{Name: "review", Tier: 0, Protected: true}, {Name: "draft", Tier: 1}},
			Organisations: []intent.Organisation{{Name: "o", Weight: 1}},
		})
		s.SetUpstreams([]sched.Upstream{{Name: "e", Address: "127.0.0.1:9", Models: []string{"m"}, Slots: slots}})
	}
	t.Cleanup(func() {
		d.net.setLose(func(string, string, string) bool { return true })
		for _, s := range d.services {
			_ = s.Stop(context.Background())
		}
	})
	d.Eventually(d.scheduler).ShouldNot(BeEmpty())
	return d
}

// scheduler returns the elected scheduler, or "" while the live instances disagree.
func (d *domain) scheduler() string {
	d.net.mu.Lock()
	members := slices.Clone(d.net.members)
	d.net.mu.Unlock()
	agreed := ""
	for _, name := range members {
		st := d.services[name].Status()
		if st.Role == "alone" || st.Role == "none" || agreed != "" && st.Scheduler != agreed {
			return ""
		}
		agreed = st.Scheduler
	}
	return agreed
}

func (d *domain) follower() string {
	elected := d.scheduler()
	for _, name := range slices.Sorted(func(yield func(string) bool) {
		for n := range d.services {
			if !yield(n) {
				return
			}
		}
	}) {
		if name != elected {
			return name
		}
	}
	return ""
}

func (d *domain) ticket(class string) sched.Ticket {
	d.next++
	return sched.Ticket{ID: fmt.Sprint(d.next), Organisation: "o", Class: class, Model: "m"}
}

func (d *domain) acquire(name string) *schedule.Grant {
	d.t.Helper()
	g, err := d.services[name].Acquire(context.Background(), d.ticket("draft"))
	d.Expect(err).NotTo(HaveOccurred())
	d.Expect(g.Address).To(Equal("127.0.0.1:9"))
	return g
}

// acquireAsync acquires a grant in the background.
func (d *domain) acquireAsync(name string) chan *schedule.Grant {
	got := make(chan *schedule.Grant, 1)
	t := d.ticket("draft")
	go func() {
		g, _ := d.services[name].Acquire(context.Background(), t)
		got <- g
	}()
	return got
}

func (d *domain) inFlight(name string) func() int {
	return func() int {
		st := d.services[name].Status()
		if st.Domain == nil || len(st.Domain.Upstreams) == 0 {
			return -1
		}
		return st.Domain.Upstreams[0].InFlight
	}
}

var done = sched.Outcome{Tokens: 10, Complete: true}

func TestOneInstanceGrantsAndRefuses(t *testing.T) {
	d := newDomain(t, 1, "a")
	g := d.acquire("a")
	g.FirstToken()
	g.Progress(100)
	waiting := d.acquireAsync("a")
	d.Eventually(func() int { return d.services["a"].Status().Waiting }).Should(Equal(1))
	g.Done(done)
	g.Done(done)
	second := <-waiting
	second.Done(done)
	d.Eventually(d.inFlight("a")).Should(Equal(0))

	bad := d.ticket("gone")
	_, err := d.services["a"].Acquire(context.Background(), bad)
	d.Expect(fault.CodeOf(err)).To(Equal(fault.Overloaded))
	d.Expect(fault.From(err).RetryAfter).To(BeNumerically(">", 0))
	_, err = d.services["a"].Acquire(context.Background(), sched.Ticket{})
	d.Expect(fault.CodeOf(err)).To(Equal(fault.Invalid))
}

func TestThreeInstancesShareAllSlots(t *testing.T) {
	d := newDomain(t, 3, "a", "b", "c")
	var held []*schedule.Grant
	for _, name := range []string{"a", "b", "c"} {
		held = append(held, d.acquire(name))
	}
	var waiting []chan *schedule.Grant
	for _, name := range []string{"a", "b", "c"} {
		waiting = append(waiting, d.acquireAsync(name))
	}
	elected := d.scheduler()
	d.Eventually(func() int { return d.services[elected].Status().Domain.Classes[1].Queued }).Should(Equal(3))
	d.Expect(d.inFlight(elected)()).To(Equal(3))
	for _, g := range held {
		g.Done(done)
	}
	for _, w := range waiting {
		(<-w).Done(done)
	}
	d.Eventually(d.inFlight(elected)).Should(Equal(0))
}

// Guards against a slot that is never freed. The caller cancels while queued, possibly at
// the moment when the grant arrives.
func TestCallerCancelsWhileQueued(t *testing.T) {
	d := newDomain(t, 1, "a", "b", "c")
	name := d.follower()
	g := d.acquire(name)
	for range 20 {
		ctx, cancel := context.WithCancel(context.Background())
		ended := make(chan error, 1)
		tk := d.ticket("draft")
		go func() {
			got, err := d.services[name].Acquire(ctx, tk)
			if got != nil {
				got.Done(done)
			}
			ended <- err
		}()
		d.Eventually(func() int { return d.services[name].Status().Waiting }).Should(Equal(1))
		cancel()
		g.Done(done)
		if err := <-ended; err != nil {
			d.Expect(fault.CodeOf(err)).To(Equal(fault.Canceled))
		}
		g = d.acquire(name)
	}
	g.Done(done)
	d.Eventually(d.inFlight(d.scheduler())).Should(Equal(0))
}

func TestDeadlineWhileQueuedIsReported(t *testing.T) {
	d := newDomain(t, 1, "a", "b")
	g := d.acquire("a")
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	tk := d.ticket("review")
	_, err := d.services[d.follower()].Acquire(ctx, tk)
	d.Expect(fault.CodeOf(err)).To(BeElementOf(fault.DeadlineExceeded, fault.Overloaded))
	g.Done(done)
}

// Guards against connections that are cut during a restart: a drain that does not wait for
// requests in flight lets the process exit under them.
func TestDrainWaitsForRequestsInFlight(t *testing.T) {
	d := newDomain(t, 1, "a", "b")
	g := d.acquire("a")
	drained := make(chan error, 1)
	go func() { drained <- d.services["a"].Drain(context.Background()) }()
	d.Eventually(func() fault.Code {
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Millisecond)
		defer cancel()
		_, err := d.services["a"].Acquire(ctx, d.ticket("draft"))
		return fault.CodeOf(err)
	}).Should(Equal(fault.Draining))
	d.Expect(drained).NotTo(Receive())
	g.Done(done)
	d.Eventually(drained).Should(Receive(BeNil()))
}
