package dispatch_test

import (
	"context"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/comfreyladder/comfreyladder/core/budget"
	"github.com/comfreyladder/comfreyladder/core/fault"
	"github.com/comfreyladder/comfreyladder/core/intent"
	"github.com/comfreyladder/comfreyladder/instance/dispatch"
	"github.com/comfreyladder/comfreyladder/instance/upstream"
)

var _ = Describe("A hedge", func() {
	hedged := &intent.Class{Name: "urgent", Hedge: true}
	quick := dispatch.HedgeConfig{LeastSamples: 3, LeastDelay: 10 * time.Millisecond}
	ctx := context.Background()

	// learned makes the class's times known by three requests to a good engine.
	learned := func(cfg dispatch.Config, engines ...*fakeEngine) *bench {
		cfg.Hedge = quick
		b := newBench(cfg, engines...)
		first := engines[0]
		was := first.mood
		first.mood = answers
		for range 3 {
			_, err := b.run(ctx, b.job(hedged))
			Expect(err).NotTo(HaveOccurred())
		}
		first.mu.Lock()
		first.mood, first.seen = was, nil
		first.mu.Unlock()
		return b
	}

	// An engine takes a nurse's review and stalls before the first token. Her
	// request must not wait for it: another engine gets it as well, the first
	// answer counts, and the stalled engine is told to stop.
	It("answers in place of an attempt that brings nothing, which is cancelled", func() {
		slow, good := newEngine("slow", hangs), newEngine("good", answers)
		b := learned(dispatch.Config{}, slow, good)
		text, err := b.run(ctx, b.job(hedged))
		Expect(err).NotTo(HaveOccurred())
		Expect(text).To(Equal("good1 good2 good3 "))
		Eventually(slow.requests, limit).Should(Equal("POST r4-1, DELETE r4-1"))
		Expect(good.requests()).To(Equal("POST r4-2"))
		Expect(b.metric(`hedges_total{class="urgent",outcome="won"}`)).To(Equal("1"))
		Eventually(func() string { return b.metric(`wasted_attempts_total{class="urgent",cause="hedge_lost"}`) }, limit).Should(Equal("1"))
	})

	It("is cancelled when the first attempt begins after all", func() {
		slow, other := newEngine("slow", waits), newEngine("other", hangs)
		b := learned(dispatch.Config{}, slow, other)
		go func() {
			defer GinkgoRecover()
			Eventually(other.requests, limit).ShouldNot(BeEmpty())
			close(slow.release)
		}()
		text, err := b.run(ctx, b.job(hedged))
		Expect(err).NotTo(HaveOccurred())
		Expect(text).To(Equal("slow1 slow2 slow3 "))
		Eventually(other.requests, limit).Should(Equal("POST r4-2, DELETE r4-2"))
		Expect(b.metric(`hedges_total{class="urgent",outcome="lost"}`)).To(Equal("1"))
	})

	// The first attempt dies while its hedge is on the way: the hedge is the
	// retry, and no third attempt is made.
	It("goes on alone when the first attempt fails", func() {
		slow, other := newEngine("slow", hangs), newEngine("other", waits)
		b := learned(dispatch.Config{}, slow, other)
		go func() {
			defer GinkgoRecover()
			Eventually(other.requests, limit).ShouldNot(BeEmpty())
			slow.ln.Close()
			close(other.release)
		}()
		text, err := b.run(ctx, b.job(hedged))
		Expect(err).NotTo(HaveOccurred())
		Expect(text).To(Equal("other1 other2 other3 "))
	})

	DescribeTable("is not sent", func(cfg dispatch.Config, class *intent.Class, once bool) {
		slow, other := newEngine("slow", waits), newEngine("other", answers)
		b := learned(cfg, slow, other)
		time.AfterFunc(20*quick.LeastDelay, func() { close(slow.release) })
		text, err := b.run(ctx, b.job(class, func(j *dispatch.Job) { j.Once = once }))
		Expect(err).NotTo(HaveOccurred())
		Expect(text).To(Equal("slow1 slow2 slow3 "))
		Expect(other.requests()).To(BeEmpty())
	},
		Entry("for work that may run once only", dispatch.Config{}, hedged, true),
		Entry("in a class that doesn't permit it", dispatch.Config{}, &intent.Class{Name: "urgent"}, false),
		Entry("without a budget, or an overload would feed itself", dispatch.Config{Retries: none}, hedged, false),
	)

	It("never spends more than the budget, whatever the engines do", func() {
		slow, good := newEngine("slow", hangs), newEngine("good", answers)
		cfg := dispatch.Config{Retries: budget.Config{Ratio: 1e-9, PerSecond: 1e-9, Burst: 2}}
		b := learned(cfg, slow, good)
		short, cancel := context.WithTimeout(ctx, time.Second)
		defer cancel()
		whole := 0
		for range 4 {
			if _, err := b.run(short, b.job(hedged)); err == nil {
				whole++
			}
		}
		Expect(whole).To(Equal(2))
	})
})

var _ = Describe("A retry", func() {
	class := &intent.Class{Name: "bulk"}
	ctx := context.Background()

	It("goes elsewhere after a refusal and after a cut", func() {
		b := newBench(dispatch.Config{}, newEngine("refuses", refuses), newEngine("cuts", cuts), newEngine("good", answers))
		text, err := b.run(ctx, b.job(class))
		Expect(err).NotTo(HaveOccurred())
		Expect(text).To(Equal("good1 good2 good3 "))
		Expect(b.metric(`attempts_total{class="bulk",kind="retry"}`)).To(Equal("2"))
	})

	It("is not made after an attempt that may have run, when the work may run once only", func() {
		good := newEngine("good", answers)
		b := newBench(dispatch.Config{}, newEngine("cuts", cuts), good)
		_, err := b.run(ctx, b.job(class, func(j *dispatch.Job) { j.Once = true }))
		Expect(upstream.EvidenceOf(err)).To(Equal(upstream.Unknown))
		Expect(good.requests()).To(BeEmpty())
	})

	// The first attempt reached an engine and was lost; the second found no
	// upstream. Told as "refused before it ran", the caller would send again
	// what may have run.
	It("that finds no upstream doesn't make the request one that was not run", func() {
		b := newBench(dispatch.Config{}, newEngine("cuts", cuts))
		_, err := b.run(ctx, b.job(class))
		Expect(fault.CodeOf(err)).To(Equal(fault.OutcomeUnknown))
		Expect(upstream.EvidenceOf(err)).To(Equal(upstream.Unknown))
		Expect(fault.From(err).RetryAfter).To(Equal(time.Second))
	})

	It("starts a whole answer over, and never a stream that has begun", func() {
		broken, good := newEngine("broken", breaks), newEngine("good", answers)
		b := newBench(dispatch.Config{}, broken, good)
		text, err := b.run(ctx, b.job(class, func(j *dispatch.Job) { j.Restartable = true }))
		Expect(err).NotTo(HaveOccurred())
		Expect(text).To(Equal("good1 good2 good3 "))
		text, err = b.run(ctx, b.job(class))
		Expect(fault.CodeOf(err)).To(Equal(fault.StreamBroken))
		Expect(text).To(Equal("broken1 "))
		Expect(b.metric(`wasted_tokens_total{class="bulk",cause="preempted"}`)).To(Equal("2"), "the engine kept neither")
	})

	It("ends with the caller: the engine is told, the slot is free", func() {
		e := newEngine("hangs", hangs)
		b := newBench(dispatch.Config{}, e)
		gone, hangUp := context.WithCancel(ctx)
		go func() {
			defer GinkgoRecover()
			Eventually(e.requests, limit).ShouldNot(BeEmpty())
			hangUp()
		}()
		_, err := b.run(gone, b.job(class))
		Expect(fault.CodeOf(err)).To(Equal(fault.Canceled))
		Eventually(e.requests, limit).Should(Equal("POST r1-1, DELETE r1-1"))
		Expect(b.metric(`wasted_attempts_total{class="bulk",cause="caller_hung_up"}`)).To(Equal("1"))
	})
})
