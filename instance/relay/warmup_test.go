package relay_test

import (
	"fmt"
	"net"
	"strconv"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/comfreyladder/comfreyladder/core/control/serving"
	"github.com/comfreyladder/comfreyladder/instance/clock"
	"github.com/comfreyladder/comfreyladder/instance/follow"
)

// fakePermits holds the expiry times of permits that a test sets.
type fakePermits struct {
	mu      sync.Mutex
	permits map[uint64][]time.Time
	demand  int
}

func (p *fakePermits) Available(upstream uint64) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.permits[upstream]) > 0
}

func (p *fakePermits) AddDemand(uint64, int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.demand++
}

func (p *fakePermits) UseUntil(upstream uint64, _ int) (until time.Time, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.permits[upstream]
	if len(list) == 0 {
		return time.Time{}, false
	}
	p.permits[upstream] = list[1:]
	return list[0], true
}

func (p *fakePermits) ReturnUntil(upstream uint64, until time.Time) {
	p.grant(upstream, until)
}

func (p *fakePermits) grant(upstream uint64, until ...time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.permits == nil {
		p.permits = map[uint64][]time.Time{}
	}
	p.permits[upstream] = append(p.permits[upstream], until...)
}

// warmUp puts a warm-up rate in force and reports the given upstreams as cold, the others as warm.
func (b *relayTest) warmUp(perSecond float64, all []*fakeUpstream, cold ...*fakeUpstream) {
	t := routes()
	t.Services[0].WarmUpPerSecond, t.Services[0].WarmUpTime = perSecond, 2*time.Second
	b.use(t)
	var list []*serving.Upstream
	for _, u := range all {
		info := serving.Upstream{ID: u.id, Service: "s", Address: u.listener.Addr().String(), State: serving.Ready, Slots: 8, FirstIndex: u.begun(), Sequence: 2}
		for _, c := range cold {
			if c == u {
				info.WarmMS = 60_000
			}
		}
		list = append(list, &info)
	}
	b.state.mu.Lock()
	v := *b.state.view
	v.Index, v.Since, v.Upstreams = v.Index+1, 0, follow.NewUpstreams(list...)
	b.state.view = &v
	b.state.mu.Unlock()
	b.service.Update(&v)
}

// Guards against requests to a cold upstream without a permit, and against ones that are lost for lack
// of it while another upstream has room.
func TestColdUpstreamReceivesWhatThereArePermitsFor(t *testing.T) {
	cold, warm := startUpstream(t, "a", echo), startUpstream(t, "b", echo)
	b := start(t, cold, warm)
	b.warmUp(5, []*fakeUpstream{cold, warm}, cold)
	c := b.caller()
	for i := range 10 {
		Expect(c.call("GET", "/idem/x", fmt.Sprint("n", i), "").status).To(Equal(200))
	}
	Expect(cold.requests()).To(BeEmpty())
	Expect(b.permits.demand).To(BeNumerically(">", 0))
	b.permits.grant(cold.begun(), clock.Now().Add(time.Minute), clock.Now().Add(time.Minute))
	// Both upstreams are chosen at random, so that ten requests may all go to the warm one.
	for i := range 100 {
		Expect(c.call("GET", "/idem/x", fmt.Sprint("p", i), "").status).To(Equal(200))
	}
	Expect(cold.requests()).To(HaveLen(2))
}

// Guards against a permit that is used after it expired: the process was suspended, or connecting took
// long. A returned permit does not live longer.
func TestExpiredPermitIsNotUsed(t *testing.T) {
	cold, warm := startUpstream(t, "a", echo), startUpstream(t, "b", echo)
	b := start(t, cold, warm)
	b.warmUp(5, []*fakeUpstream{cold, warm}, cold)
	expired := clock.Now().Add(-time.Millisecond)
	b.permits.grant(cold.begun(), expired)
	for i := range 6 {
		Expect(b.caller().call("POST", "/once/x", fmt.Sprint("e", i), "x").status).To(Equal(200))
	}
	Expect(cold.requests()).To(BeEmpty())
	Expect(b.permits.permits[cold.begun()]).To(Equal([]time.Time{expired}))
}

// Guards against requests that hang, or are sent, while all upstreams of a service are cold.
func TestRequestsAreRefusedAtOnceWhileAllUpstreamsAreCold(t *testing.T) {
	u := startUpstream(t, "a", echo)
	b := start(t, u)
	b.warmUp(5, []*fakeUpstream{u}, u)
	got := b.caller().call("GET", "/idem/x", "n", "")
	Expect(got.status).To(Equal(503))
	after, err := strconv.ParseFloat(got.header.Get("Retry-After"), 64)
	Expect(err).NotTo(HaveOccurred())
	Expect(after).To(BeNumerically(">", 0))
	Expect(got.took).To(BeNumerically("<", 500*time.Millisecond))
	Expect(u.requests()).To(BeEmpty())
}

// Guards against instances that have not heard yet, or can't hear, that an upstream started again at its
// address: a refused connection tells them that the next process is cold.
func TestUpstreamThatEndedIsColdWhenItListensAgain(t *testing.T) {
	u, warm := startUpstream(t, "a", echo), startUpstream(t, "b", echo)
	b := start(t, u, warm)
	b.warmUp(5, []*fakeUpstream{u, warm})
	address := u.listener.Addr().String()
	_ = u.listener.Close()
	Eventually(func() string {
		_ = b.caller().call("GET", "/idem/x", fmt.Sprint("n", time.Now().UnixNano()), "")
		return b.log.String()
	}, 5*time.Second, 20*time.Millisecond).Should(ContainSubstring("event=upstream_cold"))
	l, err := net.Listen("tcp4", address)
	Expect(err).NotTo(HaveOccurred())
	t.Cleanup(func() { _ = l.Close() })
	before := len(u.requests())
	go u.accept(l)
	// The upstream is avoided for half a second after the failure, and cold for two.
	for until := time.Now().Add(1500 * time.Millisecond); time.Now().Before(until); time.Sleep(20 * time.Millisecond) {
		_ = b.caller().call("GET", "/idem/x", fmt.Sprint("m", time.Now().UnixNano()), "")
	}
	Expect(u.requests()).To(HaveLen(before))
	Eventually(func() int {
		_ = b.caller().call("GET", "/idem/x", fmt.Sprint("l", time.Now().UnixNano()), "")
		return len(u.requests())
	}, 5*time.Second).Should(BeNumerically(">", before))
}

// Guards against a deployment without a warm-up rate that behaves in another way than before.
func TestWarmUpTimesHaveNoEffectWithoutARate(t *testing.T) {
	u := startUpstream(t, "a", echo)
	b := start(t, u)
	b.warmUp(0, []*fakeUpstream{u}, u)
	Expect(b.caller().call("GET", "/idem/x", "n", "").status).To(Equal(200))
	Expect(b.permits.demand).To(BeZero())
}
