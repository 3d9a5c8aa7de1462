package system_test

import (
	"fmt"
	"sync"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/comfreyladder/comfreyladder/core/announce"
	"github.com/comfreyladder/comfreyladder/core/intent"
)

var _ = Describe("Connections that something between has lost track of", func() {
	// A device between the instance and its upstreams forgets the connections
	// that are open: bytes vanish in both directions and no end comes, while
	// new connections work. Streams stand still, and pooled connections take
	// requests that never arrive. Callers must still get whole answers, and a
	// booking must not be lost in one of them.
	It("cost callers nothing: requests go on over fresh ones", func() {
		s := newSiteWith(siteOptions{settings: quickLimits}, 1, "north")
		s.startAll()
		in := s.instances["north-1"]
		e := s.engine("e-behind", "nowhere", "--speed", "2", "--slots", "64")
		svc := s.service("s-behind", "nowhere")
		toEngine, toService := newRelay(e.address), newRelay(svc.address)
		s.announce(announce.Heartbeat{Name: "e-north", Domain: "north", Kind: intent.KindEngine, Address: toEngine.address(), Models: []string{"m"}, Slots: 64})
		s.announce(announce.Heartbeat{Name: "s-north", Domain: "north", Kind: intent.KindService, Service: "booking", Address: toService.address(), Slots: 4})
		s.see("north", 2)

		ask := func(n, tokens int, stream bool, t *tally) {
			prompt := fmt.Sprintf("question %d", n)
			r := in.chat("urgent", prompt, tokens, stream)
			t.add(r.judge(prompt, tokens), r)
		}
		together := func(from, to, tokens int) *tally {
			t := newTally()
			var wg sync.WaitGroup
			for n := from; n < to; n++ {
				wg.Go(func() {
					defer GinkgoRecover()
					ask(n, tokens, n%2 == 0, t)
				})
			}
			wg.Wait()
			return t
		}
		// Ten answers at a time leave ten pooled connections.
		Expect(together(0, 10, 8).of(wholeOwn)).To(Equal(10))
		var running *tally
		var wg sync.WaitGroup
		wg.Go(func() {
			defer GinkgoRecover()
			running = together(10, 14, 100)
		})
		Eventually(func() uint64 { return e.counters().Generated }, patience, poll).Should(BeNumerically(">", 100))
		toEngine.lose()
		after := together(14, 20, 8)
		wg.Wait()
		Expect(running.of(wholeOwn)).To(Equal(4), "%v %v", running.seen, running.bad)
		Expect(after.of(wholeOwn)).To(Equal(6), "%v %v", after.seen, after.bad)

		Expect(in.book("before", "x").status).To(Equal(201))
		toService.lose()
		booked := in.book("after", "x")
		Expect(booked.status).To(Equal(201), booked.body)
		Expect(svc.effects("after")).To(Equal(1))
	})
})
