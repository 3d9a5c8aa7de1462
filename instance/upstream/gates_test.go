package upstream_test

import (
	"bufio"
	"context"
	"crypto/tls"
	"fmt"
	"net"
	"net/http/httptest"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/comfreyladder/comfreyladder/core/backpressure"
	"github.com/comfreyladder/comfreyladder/core/fault"
	"github.com/comfreyladder/comfreyladder/instance/upstream"
)

// pause is for how long an upstream of these tests asks to be sent nothing.
const pause = 2 * time.Second

// The ways in which an upstream asks for no requests.
var (
	asksForPause   = fmt.Sprintf("503 No\r\nX-Not-Run: true\r\nRetry-After: %v", pause.Seconds())
	asksUnproved   = fmt.Sprintf("503 No\r\nRetry-After: %v", pause.Seconds())
	leaves         = "200 OK\r\nX-Leaving: 1"
	leavesInAPause = fmt.Sprintf("503 No\r\nX-Not-Run: true\r\nX-Leaving: 1\r\nRetry-After: %v", pause.Seconds())
)

var _ = Describe("An upstream that asks for no requests", func() {
	ctx := context.Background()

	// startAsking runs an upstream whose first answer has the given head.
	startAsking := func(head string) *fakeUpstream {
		f := newFakeUpstream(func(f *fakeUpstream, _ int, c net.Conn, br *bufio.Reader) {
			for req := f.next(br); req != nil; req = f.next(br) {
				if len(f.requests()) == 1 {
					fmt.Fprintf(c, "HTTP/1.1 %s\r\nX-Request-Id: %s\r\nContent-Length: 0\r\n\r\n", head, idOf(req))
					continue
				}
				reply(c, idOf(req), "done")
			}
		})
		DeferCleanup(f.close)
		return f
	}

	expectUnwanted := func(err error) {
		GinkgoHelper()
		expectFailure(err, upstream.NotSent, fault.NotRun)
		Expect(upstream.UnwantedIn(err)).To(BeTrue())
	}

	DescribeTable("gets neither first tries nor repeats, of any kind", func(head string) {
		f := startAsking(head)
		c := client(upstream.Config{})
		_, _ = do(c, f, post("a"))
		for _, fresh := range []bool{false, true} {
			call := post("b")
			call.Fresh = fresh
			_, err := do(c, f, call)
			expectUnwanted(err)
		}
		_, err := c.Generate(ctx, f.target(), "c", []byte("{}"))
		expectUnwanted(err)
		Expect(f.requests()).To(HaveLen(1))
		Expect(f.accepted()).To(Equal(1))
		Expect(c.Unwanted()).To(Equal([]string{"far"}))
	}, Entry("for a time", asksForPause), Entry("without proof of not run", asksUnproved), Entry("for good", leaves), Entry("both", leavesInAPause))

	DescribeTable("gets no resumed stream and no cancellation in its pause", func(head string) {
		f := startAsking(head)
		c := client(upstream.Config{})
		_, _ = do(c, f, post("a"))
		_, err := c.Resume(ctx, f.target(), "a", 1)
		expectUnwanted(err)
		expectUnwanted(c.Cancel(ctx, f.target(), "a"))
		Expect(f.requests()).To(HaveLen(1))
	}, Entry("", asksForPause), Entry("while it leaves", leavesInAPause))

	It("may finish what it has while it leaves", func() {
		f := startAsking(leaves)
		c := client(upstream.Config{})
		_, _ = do(c, f, post("a"))
		Expect(c.Cancel(ctx, f.target(), "a")).To(Succeed())
		Expect(c.UnwantedFor("far")).To(Equal(backpressure.Forever))
	})

	It("is used again after its pause", func() {
		f := startAsking(asksForPause)
		c := client(upstream.Config{})
		_, _ = do(c, f, post("a"))
		Expect(c.UnwantedFor("far")).To(BeNumerically("~", pause, pause/2))
		Eventually(func() error { _, err := do(c, f, post("b")); return err }, limit, 10*time.Millisecond).Should(Succeed())
		Expect(c.Unwanted()).To(BeEmpty())
	})

	It("does not leave for its next incarnation, which may have asked for the pause itself", func() {
		f := startAsking(leavesInAPause)
		var incarnation atomic.Uint64
		incarnation.Store(7)
		c := client(upstream.Config{Incarnation: func(string) (uint64, bool) { return incarnation.Load(), true }})
		_, _ = do(c, f, post("a"))
		_, err := do(c, f, post("b"))
		expectUnwanted(err)
		incarnation.Store(8)
		_, err = do(c, f, post("c"))
		expectUnwanted(err)
		time.Sleep(pause)
		_, err = do(c, f, post("d"))
		Expect(err).NotTo(HaveOccurred())
	})

	It("gets no request that was waiting for a connection when it asked", func() {
		certified := httptest.NewTLSServer(nil)
		DeferCleanup(certified.Close)
		handshakes := make(chan struct{})
		f := newFakeUpstream(func(f *fakeUpstream, n int, c net.Conn, _ *bufio.Reader) {
			if n > 1 {
				<-handshakes
			}
			secure := tls.Server(c, &tls.Config{Certificates: certified.TLS.Certificates})
			br := bufio.NewReader(secure)
			for req := f.next(br); req != nil; req = f.next(br) {
				fmt.Fprintf(secure, "HTTP/1.1 %s\r\nX-Request-Id: %s\r\nContent-Length: 0\r\n\r\n", leaves, idOf(req))
			}
		})
		DeferCleanup(f.close)
		c := client(upstream.Config{TLS: &tls.Config{InsecureSkipVerify: true}, DialTimeout: limit}) //nolint:gosec // a fake upstream
		waiting := make(chan error, 1)
		asked := make(chan struct{})
		go func() {
			_, _ = do(c, f, post("a"))
			close(asked)
		}()
		Eventually(f.accepted).Should(Equal(1))
		go func() {
			call := post("b")
			call.Fresh = true
			_, err := do(c, f, call)
			waiting <- err
		}()
		<-asked
		close(handshakes)
		expectUnwanted(<-waiting)
		Expect(f.requests()).To(HaveLen(1))
	})

	It("is left to the caller if the client ignores what is asked", func() {
		f := startAsking(leavesInAPause)
		c := client(upstream.Config{IgnoreAsks: true})
		_, _ = do(c, f, post("a"))
		_, err := do(c, f, post("b"))
		Expect(err).NotTo(HaveOccurred())
	})
})
