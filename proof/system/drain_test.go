package system_test

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// balancer spreads requests over instances as the platform's does: it asks for
// readiness now and then, so that it goes on sending to one that is leaving.
type balancer struct {
	mu   sync.Mutex
	list []*instance
	out  map[*instance]bool
	next int
}

func newBalancer(list []*instance, checks time.Duration) *balancer {
	b := &balancer{list: list, out: map[*instance]bool{}}
	ended := make(chan struct{})
	done := make(chan struct{})
	go func() {
		defer close(done)
		for {
			select {
			case <-ended:
				return
			case <-time.After(checks):
				b.check()
			}
		}
	}()
	DeferCleanup(func() {
		close(ended)
		<-done
	})
	return b
}

func (b *balancer) check() {
	for _, in := range b.list {
		ready := in.ready()
		b.mu.Lock()
		b.out[in] = !ready
		b.mu.Unlock()
	}
}

func (b *balancer) pick() *instance {
	b.mu.Lock()
	defer b.mu.Unlock()
	for range b.list {
		b.next++
		if in := b.list[b.next%len(b.list)]; !b.out[in] {
			return in
		}
	}
	return b.list[0]
}

var _ = Describe("A graceful shutdown", func() {
	// An instance gets SIGTERM while streams run there and requests wait in its
	// queue, and the balancer, which notices late, goes on sending to it. Each
	// request that it took must end whole, those that it took after the signal
	// too, and a caller that reads slowly gets the rest of its answer.
	It("cuts off no request that it has taken", func() {
		// The deadlines are long: nothing is refused for the backlog here.
		classes := strings.ReplaceAll(testClasses, "deadline = 60s", "deadline = 10m")
		s := newSiteWith(siteOptions{drainDelay: "1500ms", settings: quickLimits, classes: classes}, 3, "north")
		s.startAll()
		s.engine("e-one", "north", "--slots", "8", "--speed", "4")
		s.see("north", 1)
		leaving := s.instances["north-2"]
		b := newBalancer(s.list("north"), 200*time.Millisecond)
		t := newTally()
		var taken, took atomic.Int64
		var wg sync.WaitGroup
		send := func(in *instance, n, tokens int) {
			prompt := fmt.Sprintf("request %d", n)
			r := in.chat([]string{"urgent", "bulk"}[n%2], prompt, tokens, n%3 > 0)
			if errors.Is(r.err, syscall.ECONNREFUSED) {
				return // nothing listened any more: it has taken nothing
			}
			if in == leaving {
				taken.Add(1)
			}
			t.add(r.judge(prompt, tokens), r)
			if v := r.judge(prompt, tokens); v != wholeOwn {
				GinkgoWriter.Printf("%s to %s: %d %s %v\n", prompt, in.name, r.status, r.body, r.err)
			}
		}
		for n := range 24 {
			wg.Go(func() {
				defer GinkgoRecover()
				send(leaving, n, 60)
			})
		}
		waits := func() int {
			st, err := leaving.operator("alice").Status()
			Expect(err).NotTo(HaveOccurred())
			return int(st.InFlight)
		}
		Eventually(waits, patience, poll).Should(BeNumerically(">", 12))
		leaving.process.signal(syscall.SIGTERM)
		for n := 100; ; n++ {
			select {
			case <-leaving.process.done:
			case <-time.After(20 * time.Millisecond):
				in := b.pick()
				if in == leaving {
					took.Add(1)
				}
				wg.Go(func() {
					defer GinkgoRecover()
					send(in, n, 8)
				})
				continue
			}
			break
		}
		wg.Wait()
		Expect(leaving.process.cmd.ProcessState.ExitCode()).To(BeZero(), leaving.process.out)
		Expect(took.Load()).NotTo(BeZero(), "the balancer sent nothing after the signal")
		Expect(taken.Load()).To(BeNumerically(">", 24))
		Expect(t.of(wholeOwn)).To(BeNumerically(">=", 24))
		Expect(t.of(toldSo)+t.of(wrong)).To(BeZero(), "%v %v", t.seen, t.bad)
	})

	// A caller reads its long answer slowly. The instance has written all of it
	// as far as its handler knows; the bytes wait for the reader when SIGTERM
	// comes. Without waiting for the write the caller loses the end.
	It("waits for a reader that is slow", func() {
		s := newSiteWith(siteOptions{settings: quickLimits + "[limits]\nmax_body_bytes = 8388608\n"}, 1, "north")
		s.startAll()
		in := s.instances["north-1"]
		s.service("s-one", "north")
		s.see("north", 1)
		req, err := http.NewRequest(http.MethodPost, "http://"+in.callers+"/services/booking/bookings", bigBooking())
		Expect(err).NotTo(HaveOccurred())
		req.Header.Set("Authorization", "Bearer "+s.keys["ward"])
		req.Header.Set("Idempotency-Key", "big")
		resp, err := httpClient.Do(req)
		Expect(err).NotTo(HaveOccurred())
		defer resp.Body.Close()
		Expect(resp.StatusCode).To(Equal(201))
		in.process.signal(syscall.SIGTERM)
		Consistently(in.process.done, 800*time.Millisecond).ShouldNot(BeClosed())
		n, err := readSlowly(resp.Body)
		Expect(err).NotTo(HaveOccurred())
		Expect(n).To(BeNumerically(">", bigSize))
		Eventually(in.process.done, patience).Should(BeClosed())
	})

	// Guards against an end that is decided at the first look after a freeze, before what
	// has come meanwhile is seen.
	It("serves what has come while the process was frozen", func() {
		const callers = 10
		for _, freezeAt := range []time.Duration{700 * time.Millisecond, 1150 * time.Millisecond} {
			s := newSiteWith(siteOptions{drainDelay: "1s", settings: quickLimits}, 1, "north")
			s.startAll()
			in := s.instances["north-1"]
			s.service("s-one", "north")
			s.see("north", 1)
			var conns []*rawCaller
			for i := range callers {
				c := in.dial()
				if i%2 == 0 {
					c.book(fmt.Sprintf("before-%v-%d", freezeAt, i))
					status, err := c.answer()
					Expect(err).NotTo(HaveOccurred())
					Expect(status).To(Equal(201))
					conns = append(conns, c)
				}
			}
			in.process.signal(syscall.SIGTERM)
			time.Sleep(freezeAt)
			in.process.signal(syscall.SIGSTOP)
			for len(conns) < callers {
				conns = append(conns, in.dial())
			}
			for i, c := range conns {
				c.book(fmt.Sprintf("during-%v-%d", freezeAt, i))
			}
			time.Sleep(time.Second)
			in.process.signal(syscall.SIGCONT)
			for i, c := range conns {
				status, err := c.answer()
				Expect(err).NotTo(HaveOccurred(), "caller %d, frozen at %v", i, freezeAt)
				Expect(status).To(Equal(201), "caller %d, frozen at %v", i, freezeAt)
			}
			Eventually(in.process.done, patience).Should(BeClosed())
		}
	})
})

// rawCaller is one connection of a caller that sends what it is told to.
type rawCaller struct {
	in   *instance
	conn net.Conn
	read *bufio.Reader
}

func (in *instance) dial() *rawCaller {
	GinkgoHelper()
	conn, err := net.Dial("tcp", in.callers)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(func() { _ = conn.Close() })
	return &rawCaller{in, conn, bufio.NewReader(conn)}
}

// book sends a booking under a key.
func (c *rawCaller) book(key string) {
	GinkgoHelper()
	const body = `{"customer":"c"}`
	_, err := fmt.Fprintf(c.conn, "POST /services/booking/bookings HTTP/1.1\r\nHost: i\r\nAuthorization: Bearer %s\r\nIdempotency-Key: %s\r\nContent-Length: %d\r\n\r\n%s",
		c.in.site.keys["ward"], key, len(body), body)
	Expect(err).NotTo(HaveOccurred())
}

// answer returns the status of the next answer.
func (c *rawCaller) answer() (int, error) {
	_ = c.conn.SetReadDeadline(time.Now().Add(patience))
	resp, err := http.ReadResponse(c.read, nil)
	if err != nil {
		return 0, err
	}
	defer func() { _ = resp.Body.Close() }()
	_, err = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode, err
}
