package system_test

import (
	"fmt"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

const crowdedClasses = `[class.urgent]
tier = 0
protected = true
deadline = 30s
floor = 0.3
max_tokens = 40
[class.bulk]
tier = 2
first_token = 1s
deadline = 20s
floor = 0.2
max_tokens = 40
`

var _ = Describe("More work than two slots can do", func() {
	// Nurses alone keep the engine busy, and a morning of band uploads comes on
	// top, from many callers who send again at once when they are refused. No
	// nurse may be refused. A band app is served by its floor or refused at
	// once with a time to wait, never kept until its deadline only to fail.
	It("refuses no protected request, and serves or refuses the others at once", func() {
		s := newSiteWith(siteOptions{settings: quickLimits, classes: crowdedClasses}, 3, "north")
		s.startAll()
		s.engine("e-small", "north", "--slots", "2", "--speed", "10")
		s.see("north", 1)
		list := s.list("north")
		done := make(chan struct{})
		var nurses, begun, apps sync.WaitGroup
		var once sync.Once
		begun.Add(12)
		for n := range 12 {
			nurses.Go(func() {
				defer GinkgoRecover()
				// From the first nurse's last review on there is no overload.
				defer func() { once.Do(func() { close(done) }) }()
				started := sync.OnceFunc(begun.Done)
				defer started()
				for round := range 10 {
					if round == 1 {
						started()
					}
					prompt := fmt.Sprintf("review %d of nurse %d", round, n)
					r := list[n%3].chat("urgent", prompt, 40, n%2 == 0)
					Expect(r.judge(prompt, 40)).To(Equal(wholeOwn), "%d %s %v", r.status, r.body, r.err)
				}
			})
		}
		begun.Wait()
		var mu sync.Mutex
		served, refused := 0, 0
		for n := range 40 {
			apps.Go(func() {
				defer GinkgoRecover()
				for round := 0; ; round++ {
					select {
					case <-done:
						return
					default:
					}
					prompt := fmt.Sprintf("status %d of app %d", round, n)
					from := time.Now()
					r := list[n%3].chat("bulk", prompt, 40, false)
					mu.Lock()
					select {
					case <-done:
					default:
						if r.status == 200 {
							served++
						} else {
							refused++
						}
					}
					mu.Unlock()
					if r.status == 200 {
						Expect(r.judge(prompt, 40)).To(Equal(wholeOwn))
						continue
					}
					Expect(r.status).To(BeElementOf(429, 503), r.body)
					Expect(r.header.Get("Retry-After")).NotTo(BeEmpty())
					Expect(r.saysNotRun()).To(BeTrue())
					Expect(time.Since(from)).To(BeNumerically("<", 10*time.Second), "half the deadline")
					time.Sleep(20 * time.Millisecond)
				}
			})
		}
		nurses.Wait()
		apps.Wait()
		GinkgoWriter.Printf("served %d, refused %d\n", served, refused)
		Expect(refused).NotTo(BeZero(), "it was no overload")
		Expect(served).NotTo(BeZero(), "the floor")
	})
})
