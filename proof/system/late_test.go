package system_test

import (
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// Guards against requests that come late in a drain, are passed on, and are cut off without an answer at its end,
// among them ones that may not be sent again.
var _ = Describe("Late requests of a drain", func() {
	It("are answered, or refused as not run", func() {
		const (
			drainDelay = time.Second
			// sendFrom is before the end of the delay: without a request in flight the process ends.
			sendFrom, pause, longest = 800 * time.Millisecond, 25 * time.Millisecond, 20 * time.Second
			leastPassedOn            = 20
		)
		s := newSiteWith(siteOptions{drainDelay: drainDelay.String(), drainTimeout: "4s", timeout: "2s", settings: quickLimits}, 1, "north")
		s.startAll()
		in, svc := s.instances["north-1"], s.service("s-one", "north")
		s.engine("e-one", "north", "--slots", "64", "--speed", "0.2")
		s.see("north", 2)
		svc.faults(`{"delay_ms":1200}`)

		var sending sync.WaitGroup
		var mu sync.Mutex
		var streams []*reply
		bookings := map[string]*reply{}
		in.process.signal(syscall.SIGTERM)
		begun, ended := time.Now(), false
		time.Sleep(sendFrom)
		for n := 0; !ended && time.Since(begun) < longest; n++ {
			streamed := n%4 == 0 && time.Since(begun) > drainDelay+100*time.Millisecond
			sending.Go(func() {
				defer GinkgoRecover()
				if streamed {
					r := in.chat("urgent", "late", 40, true)
					mu.Lock()
					defer mu.Unlock()
					streams = append(streams, r)
					return
				}
				key := fmt.Sprintf("late-%d", n)
				r := in.book(key, "c")
				mu.Lock()
				defer mu.Unlock()
				bookings[key] = r
			})
			select {
			case <-in.process.done:
				ended = true
			case <-time.After(pause):
			}
		}
		sending.Wait()
		Expect(ended).To(BeTrue(), "the drain ends")
		// A booking that was cut off runs to its end.
		time.Sleep(2 * time.Second)

		outcomes, passedOn := map[int]int{}, 0
		for _, r := range streams {
			outcomes[r.status]++
			Expect(r.status != http.StatusOK || r.err == nil && r.whole).To(BeTrue(), "a stream was cut off: %v", r.err)
		}
		for key, r := range bookings {
			outcomes[r.status]++
			if svc.effects(key) == 0 {
				continue
			}
			passedOn++
			Expect(r.err).NotTo(HaveOccurred(), key)
			Expect(r.status).NotTo(Equal(http.StatusServiceUnavailable), key)
		}
		GinkgoWriter.Printf("%d bookings passed on, by status %v\n", passedOn, outcomes)
		Expect(passedOn).To(BeNumerically(">=", leastPassedOn))
	})
})
