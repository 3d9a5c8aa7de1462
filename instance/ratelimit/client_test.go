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

// members are fake members of a control group that grant what is asked for.
type members struct {
	mu    sync.Mutex
	down  bool
	calls int
	asked []core.Demand
}

func (m *members) Call(_ context.Context, _, _ string, req, resp any) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.calls++
	if m.down {
		return fault.New(fault.Unavailable, "down")
	}
	for _, w := range req.(*ratelimit.Request).Demands {
		m.asked = append(m.asked, w)
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

func hear(c *ratelimit.Client, perSecond float64) {
	c.RecordLimit(upstream, "u", perSecond, clock.Now(), clock.Now())
}

// Guards against messages on days on which no upstream names a limit.
func TestWithoutALimitNothingIsTold(t *testing.T) {
	m := &members{}
	c := client(t, m, 1)
	hear(c, 0)
	c.Merge(nil)
	Expect(c.HasLimits()).To(BeFalse())
	Expect(c.Statements()).To(BeNil())
	Consistently(m.count, 200*time.Millisecond).Should(BeZero())
}

// Guards against a request that is sent without a right, and one right that serves two.
func TestARightIsAskedForAndUsedOnce(t *testing.T) {
	m := &members{}
	c := client(t, m, 1)
	hear(c, 2)
	Expect(limitOf(c)).To(Equal(2.0))
	Expect(c.Use(upstream, 3)).To(BeFalse())
	c.AddDemand(upstream, 3)
	Eventually(func() bool { return c.Available(upstream) }, time.Second, time.Millisecond).Should(BeTrue())
	Expect(m.asked).To(Equal([]core.Demand{{Upstream: upstream, Count: 1, Urgency: 3}}))
	Expect(c.Use(upstream, 3)).To(BeTrue())
	Expect(c.Use(upstream, 3)).To(BeFalse())
	Eventually(func() bool { return c.Available(upstream) }, time.Second, time.Millisecond).Should(BeTrue(), "the next one was asked for")
	Expect(c.Use(upstream, 3)).To(BeTrue())
	c.ReturnToken(upstream)
	Expect(c.Available(upstream)).To(BeTrue())
}

// Guards against an instance that asks for each request by itself.
func TestQuestionsAreBounded(t *testing.T) {
	m := &members{}
	c := client(t, m, 100)
	hear(c, 2)
	for until := time.Now().Add(time.Second); time.Now().Before(until); time.Sleep(time.Millisecond) {
		c.AddDemand(upstream, 0)
	}
	Expect(m.count()).To(BeNumerically("<=", 5))
}

// Guards against limited upstreams that are left idle, or overrun, by instances that can't
// reach the control group.
func TestAnInstanceThatIsAloneGoesByItsPart(t *testing.T) {
	m := &members{down: true}
	c := client(t, m, 4)
	hear(c, 8)
	sent, begun := 0, time.Now()
	for time.Since(begun) < 4*time.Second {
		c.AddDemand(upstream, 0)
		if c.Use(upstream, 0) {
			sent++
		}
		time.Sleep(10 * time.Millisecond)
	}
	Expect(sent).To(BeNumerically("~", 5, 2), "two a second, after a second of its own to find out and one to save up")
}

// Guards against an upstream that nobody tells an instance of: its limit comes from others, and
// so does the end of it.
func TestLimitsComeFromOthers(t *testing.T) {
	m := &members{}
	a, b := client(t, m, 2), client(t, m, 2)
	hear(a, 2)
	b.Merge(a.Statements())
	Expect(limitOf(b)).To(Equal(2.0))
	time.Sleep(5 * time.Millisecond)
	hear(a, 0)
	b.Merge(a.Statements())
	Expect(limitOf(b)).To(BeZero())
}
