package serving_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	state "github.com/comfreyladder/comfreyladder/core/control/serving"
	"github.com/comfreyladder/comfreyladder/core/ratelimit"
	"github.com/comfreyladder/comfreyladder/core/route"
	"github.com/comfreyladder/comfreyladder/instance/serving"
)

// limitsAt reports limits to a member as an instance and returns those in its response.
func (g *group) limitsAt(name string, told ...ratelimit.Statement) []ratelimit.Statement {
	return g.ask(name, serving.WatchRequest{Forwards: true, Report: serving.Report{Limits: told}}).Summary.Limits
}

// Guards against instances that do not learn of an upstream's limit because another instance,
// at another member, received it; and against a limit that is kept after its upstream is gone.
func TestLimitsReachInstancesOfAllMembers(t *testing.T) {
	g := newGroup(t, 3)
	g.Expect(g.instances["m0"].serving.Announce(t.Context(), state.Upstream{ID: "a", Service: "s", Address: "x:1", Slots: 4, Sequence: 1, State: state.Ready})).To(Succeed())
	firstIndex := g.ask("m0", serving.WatchRequest{}).Changes.Upstreams[0].FirstIndex
	g.Expect(g.limitsAt("m1")).To(BeNil(), "without a limit nothing is reported")
	g.limitsAt("m0", ratelimit.Statement{Upstream: firstIndex, PerSecond: 2.5})
	g.Eventually(func() []ratelimit.Statement { return g.limitsAt("m1") }).Should(HaveLen(1))
	g.Expect(g.limitsAt("m1")[0].PerSecond).To(Equal(2.5))
	perSecond, limited := g.instances["m2"].serving.Limit(firstIndex)
	g.Eventually(func() bool { perSecond, limited = g.instances["m2"].serving.Limit(firstIndex); return limited }).Should(BeTrue())
	g.Expect(perSecond).To(Equal(2.5))
	g.Expect(g.instances["m1"].serving.Leave(t.Context(), "a", 0)).To(Succeed())
	g.Eventually(func() []ratelimit.Statement { return g.limitsAt("m1") }).Should(BeEmpty())
}

// Guards against counting upstreams as full capacity although some announced that they accept
// less.
func TestLimitedUpstreamsRaiseNeed(t *testing.T) {
	g := newGroup(t, 3)
	table := &route.Table{Version: 2, Services: []route.Service{{
		Name: "s", Engine: &route.Engine{Slots: 4, KVTokens: 1000}, Scaling: &route.Scaling{Min: 1, Max: 9, BootTime: time.Second, Prices: map[string]float64{"north": 1}},
	}}}
	g.Expect(g.instances["m0"].serving.Put(t.Context(), table, []byte("x"))).To(Succeed())
	for _, id := range []string{"a", "b"} {
		g.Expect(g.instances["m0"].serving.Announce(t.Context(), state.Upstream{ID: id, Service: "s", Domain: "north", Address: id + ":1", Slots: 4, Sequence: 1, State: state.Ready})).To(Succeed())
	}
	load := serving.RouteLoad{Service: "s", Route: "r", Tokens: 60_000, UncachedTokens: 60_000, Requests: 60_000, Recent: 60_000, PerMS: 5000}
	need := func(told ...ratelimit.Statement) float64 {
		report := serving.Report{Limits: told}
		report.Work.Routes = []serving.RouteLoad{load}
		g.ask("m0", serving.WatchRequest{Forwards: true, Report: report})
		return g.instances["m0"].serving.ScalableServices()[0].Need
	}
	needBefore := need()
	begun := g.ask("m0", serving.WatchRequest{}).Changes.Upstreams[0].FirstIndex
	after := need(ratelimit.Statement{Upstream: begun, PerSecond: 1})
	g.Expect(after-needBefore).To(BeNumerically("~", 0.9, 0.1), "one upstream accepts a tenth or less of what its peers accept")
}
