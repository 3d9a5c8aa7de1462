package dispatch_test

import (
	"context"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"github.com/comfreyladder/comfreyladder/core/fault"
	"github.com/comfreyladder/comfreyladder/core/intent"
	core "github.com/comfreyladder/comfreyladder/core/warmup"
	"github.com/comfreyladder/comfreyladder/instance/clock"
	"github.com/comfreyladder/comfreyladder/instance/dispatch"
	"github.com/comfreyladder/comfreyladder/instance/warmup"
)

// grantedPermits are the permits for one engine.
type grantedPermits struct {
	mu       sync.Mutex
	engine   uint64
	list     []time.Time
	returned int
}

func (p *grantedPermits) grant(d time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.list = append(p.list, clock.Now().Add(d))
}

func (p *grantedPermits) Available(id uint64) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return id == p.engine && len(p.list) > 0
}

func (p *grantedPermits) AddDemand(uint64, int) {}

func (p *grantedPermits) UseUntil(id uint64, _ int) (until time.Time, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if id != p.engine || len(p.list) == 0 {
		return time.Time{}, false
	}
	until, p.list = p.list[0], p.list[1:]
	return until, true
}

func (p *grantedPermits) ReturnUntil(uint64, time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.returned++
}

var _ = Describe("A request while an engine is cold", func() {
	rule := warmup.Rule{Name: "*", Limited: true, ColdFor: time.Minute}
	class := &intent.Class{Name: "bulk"}
	ctx := context.Background()
	var permits *grantedPermits
	var guard *warmup.Guard
	var job func(j *dispatch.Job)
	warm := int64(0)
	// know lists engines; the first is cold, the others are warm.
	know := func(engines ...*fakeEngine) {
		permits.engine = core.PermitID("*", engines[0].name)
		var list []warmup.Engine
		for n, e := range engines {
			k := warmup.Engine{Name: e.name, Incarnation: 1, Sequence: 1, Models: []string{"m"}, Rule: rule}
			if n > 0 {
				k.LeftMillis = &warm
			}
			list = append(list, k)
		}
		guard.Update(list, true)
	}
	BeforeEach(func() {
		permits = &grantedPermits{}
		guard = warmup.New(warmup.Config{Permits: permits, RuleOf: func(string) warmup.Rule { return rule }, Log: zerolog.Nop()})
		job = func(j *dispatch.Job) { j.Ticket.Model = "m" }
	})

	// Guards against a request to a cold engine without a permit.
	It("goes to a warm one without a permit, and to the cold one with a permit", func() {
		cold, other := newEngine("cold", answers), newEngine("warm", answers)
		b := newHarness(dispatch.Config{WarmUp: guard}, cold, other)
		know(cold, other)
		text, err := b.run(ctx, b.job(class, job))
		Expect(err).NotTo(HaveOccurred())
		Expect(text).To(HavePrefix("warm1"))
		Expect(cold.requests()).To(BeEmpty())
		permits.grant(time.Minute)
		text, err = b.run(ctx, b.job(class, job))
		Expect(err).NotTo(HaveOccurred())
		Expect(text).To(HavePrefix("cold1"))
		Expect(guard.Sent()).To(BeEquivalentTo(1))
	})

	// Guards against the grant of an engine that this instance does not know yet: it is returned, and the request
	// goes elsewhere without a repeat.
	It("returns the grant of an engine that it learns of late", func() {
		cold, other := newEngine("cold", answers), newEngine("warm", answers)
		b := newHarness(dispatch.Config{WarmUp: guard, Retries: noRetries}, cold, other)
		guard.Update([]warmup.Engine{{Name: "warm", Incarnation: 1, Sequence: 1, Models: []string{"m"}, LeftMillis: &warm, Rule: rule}}, true)
		text, err := b.run(ctx, b.job(class, job))
		Expect(err).NotTo(HaveOccurred())
		Expect(text).To(HavePrefix("warm1"))
		Expect(cold.requests()).To(BeEmpty())
		Expect(b.q.ended).To(HaveExactElements(HaveField("Unused", true), HaveField("Complete", true)))
	})

	// Guards against rejections while a permit is under way, and against requests that wait for long.
	It("waits for a permit if all engines are cold, and is refused in time", func() {
		cold := newEngine("cold", answers)
		b := newHarness(dispatch.Config{WarmUp: guard}, cold)
		know(cold)
		from := time.Now()
		_, err := b.run(ctx, b.job(class, job))
		Expect(fault.CodeOf(err)).To(Equal(fault.Overloaded))
		Expect(time.Since(from)).To(BeNumerically("~", 250*time.Millisecond, 200*time.Millisecond))
		Expect(cold.requests()).To(BeEmpty())
		time.AfterFunc(50*time.Millisecond, func() { permits.grant(time.Minute) })
		_, err = b.run(ctx, b.job(class, job))
		Expect(err).NotTo(HaveOccurred())
	})

	// Guards against a permit that expires before the request is sent, against a repeat that costs budget, and against
	// an engine that is blamed for it.
	It("goes elsewhere if its permit has expired directly before it is sent", func() {
		cold, other := newEngine("cold", answers), newEngine("warm", answers)
		b := newHarness(dispatch.Config{WarmUp: guard, Retries: noRetries}, cold, other)
		know(cold, other)
		permits.grant(-time.Second)
		text, err := b.run(ctx, b.job(class, job))
		Expect(err).NotTo(HaveOccurred())
		Expect(text).To(HavePrefix("warm1"))
		Expect(cold.requests()).To(BeEmpty())
		Expect(guard.Expired()).To(BeEquivalentTo(1))
		Expect(b.q.ended).To(HaveExactElements(And(HaveField("Failed", false), HaveField("Unused", true)), HaveField("Complete", true)))
	})

	// Guards against a permit that is used up by a request which the engine did not take.
	It("keeps its permit if the engine answers 421", func() {
		cold := newEngine("cold", misdirects)
		b := newHarness(dispatch.Config{WarmUp: guard, Attempts: 1}, cold)
		know(cold)
		permits.grant(time.Minute)
		_, err := b.run(ctx, b.job(class, job))
		Expect(err).To(HaveOccurred())
		Expect(permits.returned).To(Equal(1))
	})
})
