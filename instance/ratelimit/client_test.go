package ratelimit_test

import (
	"context"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/comfreyladder/comfreyladder/core/fault"
	core "github.com/comfreyladder/comfreyladder/core/ratelimit"
	"github.com/comfreyladder/comfreyladder/instance/clock"
	"github.com/comfreyladder/comfreyladder/instance/ratelimit"
)

const upstream = 7

// members is a fake control group that grants all requests.
type members struct {
	mu      sync.Mutex
	down    bool
	calls   int
	demands []core.Demand
}

func (m *members) Call(_ context.Context, _, _ string, req, resp any) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.calls++
	if m.down {
		return fault.New(fault.Unavailable, "down")
	}
	for _, w := range req.(*ratelimit.Request).Demands {
		m.demands = append(m.demands, w)
		resp.(*ratelimit.Response).Grants = append(resp.(*ratelimit.Response).Grants, core.Grant{Upstream: w.Upstream, Count: 1})
	}
	return nil
}

func (m *members) count() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.calls
}

func client(t *testing.T, m *members, forwarders int) *ratelimit.Client {
	RegisterTestingT(t)
	c := ratelimit.NewClient(ratelimit.ClientConfig{
		Links: m, Members: func() []string { return []string{"m"} }, Forwarders: func() int { return forwarders }, UpstreamExists: func(uint64) bool { return true },
	})
	Expect(c.Start(context.Background())).To(Succeed())
	t.Cleanup(func() { _ = c.Stop(context.Background()) })
	return c
}

func limitOf(c *ratelimit.Client) float64 {
	perSecond, _ := c.Limit(upstream)
	return perSecond
}

func recordLimit(c *ratelimit.Client, perSecond float64) {
	c.RecordLimit(upstream, "u", perSecond, clock.Now(), clock.Now())
}

// Guards against messages while no upstream announces a limit.
func TestSendsNothingWithoutLimit(t *testing.T) {
	m := &members{}
	c := client(t, m, 1)
	recordLimit(c, 0)
	c.Merge(nil)
	Expect(c.HasLimits()).To(BeFalse())
	Expect(c.Statements()).To(BeNil())
	Consistently(m.count, 200*time.Millisecond).Should(BeZero())
}

// Guards against a request that is sent without a token, and against a token that is used twice.
func TestTokenIsRequestedAndUsedOnce(t *testing.T) {
	m := &members{}
	c := client(t, m, 1)
	recordLimit(c, 2)
	Expect(limitOf(c)).To(Equal(2.0))
	Expect(c.Use(upstream, 3)).To(BeFalse())
	c.AddDemand(upstream, 3)
	Eventually(func() bool { return c.Available(upstream) }, time.Second, time.Millisecond).Should(BeTrue())
	Expect(m.demands).To(Equal([]core.Demand{{Upstream: upstream, Count: 1, Urgency: 3}}))
	Expect(c.Use(upstream, 3)).To(BeTrue())
	Expect(c.Use(upstream, 3)).To(BeFalse())
	Eventually(func() bool { return c.Available(upstream) }, time.Second, time.Millisecond).Should(BeTrue(), "the next token was requested")
	Expect(c.Use(upstream, 3)).To(BeTrue())
	c.ReturnToken(upstream)
	Expect(c.Available(upstream)).To(BeTrue())
}

// Guards against an instance that sends a separate token request for each request.
func TestRequestRateIsBounded(t *testing.T) {
	m := &members{}
	c := client(t, m, 100)
	recordLimit(c, 2)
	for until := time.Now().Add(time.Second); time.Now().Before(until); time.Sleep(time.Millisecond) {
		c.AddDemand(upstream, 0)
	}
	Expect(m.count()).To(BeNumerically("<=", 5))
}

// Guards against limited upstreams that are left idle or overloaded by instances that cannot reach the
// control group.
func TestInstanceThatIsCutOffUsesItsShare(t *testing.T) {
	m := &members{down: true}
	c := client(t, m, 4)
	recordLimit(c, 8)
	sent, begun := 0, time.Now()
	for time.Since(begun) < 4*time.Second {
		c.AddDemand(upstream, 0)
		if c.Use(upstream, 0) {
			sent++
		}
		time.Sleep(10 * time.Millisecond)
	}
	Expect(sent).To(BeNumerically("~", 5, 2), "two a second, after a second until it uses its own share and one until a token has accumulated")
}

// Guards against an instance that does not learn of a limit, or of its end, because only other instances
// received it from the upstream.
func TestLimitsOfOtherInstancesAreMerged(t *testing.T) {
	m := &members{}
	a, b := client(t, m, 2), client(t, m, 2)
	recordLimit(a, 2)
	b.Merge(a.Statements())
	Expect(limitOf(b)).To(Equal(2.0))
	time.Sleep(5 * time.Millisecond)
	recordLimit(a, 0)
	b.Merge(a.Statements())
	Expect(limitOf(b)).To(BeZero())
}
