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
	hedgeConfig := dispatch.HedgeConfig{MinSamples: 3, MinDelay: 10 * time.Millisecond}
	ctx := context.Background()

	// newTrainedHarness runs three successful requests, so that the class has a hedge delay.
	newTrainedHarness := func(cfg dispatch.Config, engines ...*fakeEngine) *harness {
		cfg.Hedge = hedgeConfig
		b := newHarness(cfg, engines...)
		first := engines[0]
		was := first.behaviour
		first.behaviour = answers
		for range 3 {
			_, err := b.run(ctx, b.job(hedged))
			Expect(err).NotTo(HaveOccurred())
		}
		first.mu.Lock()
		first.behaviour, first.seen = was, nil
		first.mu.Unlock()
		return b
	}

	// An engine accepts a request and stalls before the first token. The request is sent
	// to another engine as well, the first answer is used, and the attempt on the stalled
	// engine is cancelled.
	It("replaces an attempt without events, which is cancelled", func() {
		slow, good := newEngine("slow", hangs), newEngine("good", answers)
		b := newTrainedHarness(dispatch.Config{}, slow, good)
		text, err := b.run(ctx, b.job(hedged))
		Expect(err).NotTo(HaveOccurred())
		Expect(text).To(Equal("good1 good2 good3 "))
		Eventually(slow.requests, testTimeout).Should(Equal("POST r4-1, DELETE r4-1"))
		Expect(good.requests()).To(Equal("POST r4-2"))
		Expect(b.metric(`hedges_total{class="urgent",outcome="won"}`)).To(Equal("1"))
		Eventually(func() string { return b.metric(`wasted_attempts_total{class="urgent",cause="hedge_lost"}`) }, testTimeout).Should(Equal("1"))
	})

	It("is cancelled if the first attempt produces an event first", func() {
		slow, other := newEngine("slow", waits), newEngine("other", hangs)
		b := newTrainedHarness(dispatch.Config{}, slow, other)
		go func() {
			defer GinkgoRecover()
			Eventually(other.requests, testTimeout).ShouldNot(BeEmpty())
			close(slow.release)
		}()
		text, err := b.run(ctx, b.job(hedged))
		Expect(err).NotTo(HaveOccurred())
		Expect(text).To(Equal("slow1 slow2 slow3 "))
		Eventually(other.requests, testTimeout).Should(Equal("POST r4-2, DELETE r4-2"))
		Expect(b.metric(`hedges_total{class="urgent",outcome="lost"}`)).To(Equal("1"))
	})

	// The first attempt fails while its hedge is running: the hedge serves as the retry,
	// and no third attempt is made.
	It("continues alone if the first attempt fails", func() {
		slow, other := newEngine("slow", hangs), newEngine("other", waits)
		b := newTrainedHarness(dispatch.Config{}, slow, other)
		go func() {
			defer GinkgoRecover()
			Eventually(other.requests, testTimeout).ShouldNot(BeEmpty())
			slow.ln.Close()
			close(other.release)
		}()
		text, err := b.run(ctx, b.job(hedged))
		Expect(err).NotTo(HaveOccurred())
		Expect(text).To(Equal("other1 other2 other3 "))
	})

	DescribeTable("is not sent", func(cfg dispatch.Config, class *intent.Class, once bool) {
		slow, other := newEngine("slow", waits), newEngine("other", answers)
		b := newTrainedHarness(cfg, slow, other)
		time.AfterFunc(20*hedgeConfig.MinDelay, func() { close(slow.release) })
		text, err := b.run(ctx, b.job(class, func(j *dispatch.Job) { j.AtMostOnce = once }))
		Expect(err).NotTo(HaveOccurred())
		Expect(text).To(Equal("slow1 slow2 slow3 "))
		Expect(other.requests()).To(BeEmpty())
	},
		Entry("for a request that may run only once", dispatch.Config{}, hedged, true),
		Entry("in a class that doesn't permit it", dispatch.Config{}, &intent.Class{Name: "urgent"}, false),
		Entry("without a budget, since hedges would amplify an overload", dispatch.Config{Retries: noRetries}, hedged, false),
	)

	It("never exceeds the budget, whatever the engines do", func() {
		slow, good := newEngine("slow", hangs), newEngine("good", answers)
		cfg := dispatch.Config{Retries: budget.Config{Ratio: 1e-9, PerSecond: 1e-9, Burst: 2}}
		b := newTrainedHarness(cfg, slow, good)
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

var _ = Describe("An engine that asks for no requests", func() {
	class := &intent.Class{Name: "bulk"}
	hedged := &intent.Class{Name: "urgent", Hedge: true}
	ctx := context.Background()

	DescribeTable("gets no further attempt while another engine takes them", func(m behaviour) {
		asks, good := newEngine("asks", m), newEngine("good", answers)
		b := newHarness(dispatch.Config{}, asks, good)
		for range 4 {
			_, err := b.run(ctx, b.job(class))
			Expect(err).NotTo(HaveOccurred())
		}
		Expect(asks.requests()).To(Equal("POST r1-1"))
		Expect(b.q.ended).To(HaveEach(Or(HaveField("Complete", true), HaveField("Failed", m == pauses))))
	}, Entry("for a time", pauses), Entry("for good", leaves))

	DescribeTable("is no last resort", func(m behaviour) {
		asks := newEngine("asks", m)
		b := newHarness(dispatch.Config{}, asks)
		_, _ = b.run(ctx, b.job(class))
		for range 3 {
			_, err := b.run(ctx, b.job(class))
			Expect(fault.CodeOf(err)).To(Equal(fault.Overloaded))
		}
		Expect(asks.requests()).To(Equal("POST r1-1"))
	}, Entry("for a time", pauses), Entry("for good", leaves))

	DescribeTable("gets no hedge", func(m behaviour) {
		slow, asks := newEngine("slow", answers), newEngine("asks", m)
		b := newHarness(dispatch.Config{Hedge: dispatch.HedgeConfig{MinSamples: 3, MinDelay: 10 * time.Millisecond}}, slow, asks)
		for range 3 {
			_, err := b.run(ctx, b.job(hedged))
			Expect(err).NotTo(HaveOccurred())
		}
		b.q.engines = []*fakeEngine{asks, slow}
		_, err := b.run(ctx, b.job(class))
		Expect(err).NotTo(HaveOccurred())
		Expect(asks.requests()).NotTo(BeEmpty())
		before := asks.requests()
		slow.mu.Lock()
		slow.behaviour = waits
		slow.mu.Unlock()
		time.AfterFunc(100*time.Millisecond, func() { close(slow.release) })
		text, err := b.run(ctx, b.job(hedged))
		Expect(err).NotTo(HaveOccurred())
		Expect(text).To(Equal("slow1 slow2 slow3 "))
		Expect(asks.requests()).To(Equal(before))
	}, Entry("for a time", pauses), Entry("for good", leaves))
})

var _ = Describe("A retry", func() {
	class := &intent.Class{Name: "bulk"}
	ctx := context.Background()

	It("uses another upstream after a refusal and after a closed connection", func() {
		b := newHarness(dispatch.Config{}, newEngine("refuses", refuses), newEngine("cuts", cuts), newEngine("good", answers))
		text, err := b.run(ctx, b.job(class))
		Expect(err).NotTo(HaveOccurred())
		Expect(text).To(Equal("good1 good2 good3 "))
		Expect(b.metric(`attempts_total{class="bulk",kind="retry"}`)).To(Equal("2"))
	})

	It("is not made after an attempt that may have run, if the request may run only once", func() {
		good := newEngine("good", answers)
		b := newHarness(dispatch.Config{}, newEngine("cuts", cuts), good)
		_, err := b.run(ctx, b.job(class, func(j *dispatch.Job) { j.AtMostOnce = true }))
		Expect(upstream.EvidenceOf(err)).To(Equal(upstream.Unknown))
		Expect(good.requests()).To(BeEmpty())
	})

	// The first attempt reached an engine and was lost; the second found no upstream. If
	// the error said that the request was refused before it ran, the caller would repeat a
	// request that may have run.
	It("without an available upstream does not report the request as not run", func() {
		b := newHarness(dispatch.Config{}, newEngine("cuts", cuts))
		_, err := b.run(ctx, b.job(class))
		Expect(fault.CodeOf(err)).To(Equal(fault.OutcomeUnknown))
		Expect(upstream.EvidenceOf(err)).To(Equal(upstream.Unknown))
		Expect(fault.From(err).RetryAfter).To(Equal(time.Second))
	})

	It("restarts an answer that is sent whole, but never a stream that has begun", func() {
		broken, good := newEngine("broken", breaks), newEngine("good", answers)
		b := newHarness(dispatch.Config{}, broken, good)
		text, err := b.run(ctx, b.job(class, func(j *dispatch.Job) { j.Restartable = true }))
		Expect(err).NotTo(HaveOccurred())
		Expect(text).To(Equal("good1 good2 good3 "))
		text, err = b.run(ctx, b.job(class))
		Expect(fault.CodeOf(err)).To(Equal(fault.StreamBroken))
		Expect(text).To(Equal("broken1 "))
		Expect(b.metric(`wasted_tokens_total{class="bulk",cause="preempted"}`)).To(Equal("2"), "the engine kept neither stream")
	})

	It("ends when the caller disconnects: the engine is told and the slot is freed", func() {
		e := newEngine("hangs", hangs)
		b := newHarness(dispatch.Config{}, e)
		gone, hangUp := context.WithCancel(ctx)
		go func() {
			defer GinkgoRecover()
			Eventually(e.requests, testTimeout).ShouldNot(BeEmpty())
			hangUp()
		}()
		_, err := b.run(gone, b.job(class))
		Expect(fault.CodeOf(err)).To(Equal(fault.Canceled))
		Eventually(e.requests, testTimeout).Should(Equal("POST r1-1, DELETE r1-1"))
		Expect(b.metric(`wasted_attempts_total{class="bulk",cause="caller_hung_up"}`)).To(Equal("1"))
	})
})
