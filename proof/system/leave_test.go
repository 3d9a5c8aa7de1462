package system_test

import (
	"fmt"
	"sync"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("An upstream that leaves", func() {
	// Four of five engines go, each in another way: by a leave, without a word,
	// by SIGKILL, and frozen with its connections open. Beats reach the three
	// instances in turn, so each must learn of it from the others. Callers at
	// any instance must not be sent to one that is gone.
	It("gets no new work at any instance after a few seconds", func() {
		s := newSiteWith(siteOptions{settings: quickLimits}, 3, "north")
		s.startAll()
		gone := []string{"e-leaves", "e-mute", "e-killed", "e-frozen"}
		engines := map[string]*standIn{}
		for _, name := range append(gone, "e-stays") {
			engines[name] = s.engine(name, "north", "--speed", "20")
		}
		s.see("north", 5)
		for _, in := range s.list("north") {
			Expect(in.chat("urgent", "before "+in.name, 8, false).status).To(Equal(200))
		}
		engines["e-leaves"].signal(syscall.SIGTERM)
		engines["e-mute"].faults(`{"mute":true}`)
		engines["e-killed"].kill()
		engines["e-frozen"].signal(syscall.SIGSTOP)
		// A few seconds: three beats of silence and the way between instances.
		const few = 8 * time.Second
		from := time.Now()
		for _, in := range s.list("north") {
			Eventually(in.liveUpstreams, few-time.Since(from), poll).Should(Equal(1), in.name)
		}
		muted := engines["e-mute"].counters().Requests
		var wg sync.WaitGroup
		for n := range 30 {
			wg.Go(func() {
				defer GinkgoRecover()
				in := s.list("north")[n%3]
				prompt := fmt.Sprintf("after %d", n)
				r := in.chat("urgent", prompt, 8, n%2 == 0)
				Expect(r.judge(prompt, 8)).To(Equal(wholeOwn), "%+v", r)
				for _, name := range gone {
					Expect(in.wentTo(r.id(), name)).To(BeFalse(), "%s got new work from %s", name, in.name)
				}
				Expect(in.wentTo(r.id(), "e-stays")).To(BeTrue())
			})
		}
		wg.Wait()
		Expect(engines["e-mute"].counters().Requests).To(Equal(muted))
	})
})
