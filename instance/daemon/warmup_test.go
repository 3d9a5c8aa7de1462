package daemon

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/comfreyladder/comfreyladder/core/intent"
	"github.com/comfreyladder/comfreyladder/core/warmup"
	"github.com/comfreyladder/comfreyladder/instance/config"
	"github.com/comfreyladder/comfreyladder/instance/control"
)

// Guards against an instance that asks the same dead member for permits each time.
func TestMemberThatFailedIsAskedLast(t *testing.T) {
	g := NewWithT(t)
	p := &permitPeers{self: "a", control: func() *control.Service { return nil }, holders: func() []string { return []string{"b", "c", "d"} }}
	g.Expect(p.Members()).To(ConsistOf("b", "c", "d"))
	for _, failed := range []string{"b", "c", "d"} {
		p.failed.Store(&failed)
		for range 10 {
			list := p.Members()
			g.Expect(list).To(HaveLen(3))
			g.Expect(list[2]).To(Equal(failed))
		}
	}
}

// Guards against a leader that grants permits by an old intent, or for engines of a rule without a rate.
func TestPermitsFollowTheIntentInForce(t *testing.T) {
	g := NewWithT(t)
	conf := config.New()
	budget := permitBudget(conf)
	limited := warmup.PermitID("e-*", "e-1")
	_, ok := budget.Limit(limited)
	g.Expect(ok).To(BeFalse(), "no intent")
	doc := &intent.Document{Upstreams: []intent.Upstream{
		{Name: "e-*", Kind: intent.KindEngine, WarmUp: time.Second, WarmUpPerSecond: 4, WarmUpSlack: 5},
		{Name: "f-*", Kind: intent.KindEngine, WarmUp: time.Second},
	}}
	g.Expect(conf.Apply(1, doc)).To(BeTrue())
	perSecond, ok := budget.Limit(limited)
	g.Expect(ok).To(BeTrue())
	g.Expect(perSecond).To(Equal(4.0))
	_, ok = budget.Limit(warmup.PermitID("f-*", "f-1"))
	g.Expect(ok).To(BeFalse())
	g.Expect(conf.Apply(2, &intent.Document{})).To(BeTrue())
	_, ok = budget.Limit(limited)
	g.Expect(ok).To(BeFalse(), "the rule is gone")
}
