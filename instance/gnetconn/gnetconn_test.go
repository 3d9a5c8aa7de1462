package gnetconn_test

import (
	"bufio"
	"bytes"
	"context"
	"crypto/sha256"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"runtime"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/valyala/fasthttp"
	"go.uber.org/goleak"

	"github.com/comfreyladder/comfreyladder/core/fault"
	"github.com/comfreyladder/comfreyladder/instance/gnetconn"
)

func TestGnetconn(t *testing.T) {
	before := goleak.IgnoreCurrent()
	RegisterFailHandler(Fail)
	RunSpecs(t, "gnetconn")
	http.DefaultClient.CloseIdleConnections()
	goleak.VerifyNone(t, before,
		// Each of these libraries starts one goroutine per process that never ends.
		goleak.IgnoreAnyFunction("github.com/onsi/ginkgo/v2/internal/interrupt_handler.(*InterruptHandler).registerForInterrupts.func2"),
		goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.updateServerDate.func1"))
}

const testTimeout = 20 * time.Second

func serve(opts gnetconn.Options, handler func(net.Conn)) *gnetconn.Listener {
	l, err := gnetconn.Listen("127.0.0.1:0", opts)
	Expect(err).NotTo(HaveOccurred())
	done := make(chan error, 1)
	go func() { done <- l.Serve(handler) }()
	DeferCleanup(func() {
		ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
		defer cancel()
		Expect(l.Close(ctx)).To(Succeed())
		Eventually(done, testTimeout).Should(Receive(BeNil()))
	})
	return l
}

func serveHTTP(handler fasthttp.RequestHandler) *gnetconn.Listener {
	server := &fasthttp.Server{Handler: handler, MaxRequestBodySize: 32 << 20, Logger: discard{}}
	return serve(gnetconn.Options{MaxInbound: 32 << 20}, func(c net.Conn) { _ = server.ServeConn(c) })
}

type discard struct{}

func (discard) Printf(string, ...any) {}

func dial(l *gnetconn.Listener) net.Conn {
	c, err := net.Dial("tcp", l.Addr().String())
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(func() { _ = c.Close() })
	return c
}

func echo(ctx *fasthttp.RequestCtx) { ctx.SetBody(ctx.PostBody()) }

var _ = Describe("fasthttp on a connection", func() {
	It("answers pipelined requests in order on one connection", func() {
		l := serveHTTP(func(ctx *fasthttp.RequestCtx) { ctx.SetBody(ctx.Path()) })
		c := dial(l)
		const count = 200
		var out strings.Builder
		for i := range count {
			fmt.Fprintf(&out, "GET /%d HTTP/1.1\r\nHost: x\r\n\r\n", i)
		}
		go func() { _, _ = io.WriteString(c, out.String()) }()
		r := bufio.NewReader(c)
		for i := range count {
			resp, err := http.ReadResponse(r, nil)
			Expect(err).NotTo(HaveOccurred())
			body, err := io.ReadAll(resp.Body)
			Expect(err).NotTo(HaveOccurred())
			Expect(string(body)).To(Equal(fmt.Sprintf("/%d", i)))
		}
	})

	It("receives and sends large and chunked bodies completely", func() {
		l := serveHTTP(echo)
		body := bytes.Repeat([]byte("comfreyladder "), 1_200_000)
		for _, reader := range []io.Reader{bytes.NewReader(body), io.MultiReader(bytes.NewReader(body))} {
			resp, err := http.Post("http://"+l.Addr().String(), "text/plain", reader)
			Expect(err).NotTo(HaveOccurred())
			got, err := io.ReadAll(resp.Body)
			Expect(err).NotTo(HaveOccurred())
			_ = resp.Body.Close()
			Expect(sha256.Sum256(got)).To(Equal(sha256.Sum256(body)))
		}
		Eventually(l.Inbound, testTimeout).Should(BeZero())
	})
})

var _ = Describe("limits", func() {
	// Guards against a response buffered in the process while the handler goes on
	// writing: a few callers that ask for a long response and stop reading would
	// exhaust its memory.
	It("blocks the writer instead of buffering for a peer that does not read", func() {
		var written atomic.Int64
		failure := make(chan error, 1)
		l := serve(gnetconn.Options{}, func(c net.Conn) {
			_ = c.SetWriteDeadline(time.Now().Add(time.Second))
			block := make([]byte, 1<<20)
			for {
				n, err := c.Write(block)
				written.Add(int64(n))
				if err != nil {
					failure <- err
					return
				}
			}
		})
		dial(l)
		var err error
		Eventually(failure, testTimeout).Should(Receive(&err))
		Expect(errors.Is(err, os.ErrDeadlineExceeded)).To(BeTrue())
		var timeout net.Error
		Expect(errors.As(err, &timeout) && timeout.Timeout()).To(BeTrue())
		Expect(written.Load()).To(BeNumerically("<", 64<<20), "more bytes were accepted than the kernel's buffers hold")
	})

	It("delivers everything to a slow reader once it reads", func() {
		const size = 48 << 20
		l := serve(gnetconn.Options{}, func(c net.Conn) {
			_, _ = c.Write(make([]byte, size/2))
			_, _ = c.Write(make([]byte, size/2))
		})
		c := dial(l)
		runtime.Gosched()
		n, err := io.Copy(io.Discard, c)
		Expect(err).NotTo(HaveOccurred())
		Expect(n).To(BeEquivalentTo(size))
	})

	// Guards against memory use without limit when a peer sends faster than the
	// handler reads, or while it does not read at all: gnet goes on reading the socket.
	DescribeTable("closes a connection whose unread bytes exceed a limit", func(opts gnetconn.Options) {
		release := make(chan struct{})
		l := serve(opts, func(net.Conn) { <-release })
		defer close(release)
		c := dial(l)
		Eventually(func() error {
			_, err := c.Write(make([]byte, 64<<10))
			return err
		}, testTimeout, "1ms").Should(HaveOccurred())
		Expect(l.Overflows()).To(BeEquivalentTo(1))
		Expect(l.Inbound()).To(BeNumerically("<=", 1<<20))
	},
		Entry("per connection", gnetconn.Options{MaxInbound: 1 << 20}),
		Entry("over all connections", gnetconn.Options{MaxInboundTotal: 1 << 20}),
	)

	It("rejects connections beyond the limit and accepts again when one ends", func() {
		l := serve(gnetconn.Options{MaxConns: 1}, func(c net.Conn) { _, _ = io.Copy(c, c) })
		ping := func(c net.Conn) error {
			_ = c.SetDeadline(time.Now().Add(testTimeout))
			if _, err := c.Write([]byte("x")); err != nil {
				return err
			}
			_, err := io.ReadFull(c, make([]byte, 1))
			return err
		}
		first := dial(l)
		Expect(ping(first)).To(Succeed())
		Expect(ping(dial(l))).NotTo(Succeed())
		Expect(l.RejectedConns()).To(BeEquivalentTo(1))
		_ = first.Close()
		Eventually(l.Conns, testTimeout).Should(BeZero())
		Expect(ping(dial(l))).To(Succeed())
	})

	It("reports an address that cannot be bound", func() {
		l := serve(gnetconn.Options{}, func(net.Conn) {})
		_, err := gnetconn.Listen("127.0.0.1:99999", gnetconn.Options{})
		Expect(fault.CodeOf(err)).To(Equal(fault.Unavailable))
		Expect(l.Addr().(*net.TCPAddr).Port).NotTo(BeZero())
	})
})

var _ = Describe("the end of a connection", func() {
	// Guards against work for a caller that gave up while its request waits for an
	// engine: no goroutine reads the connection then, so a read or write cannot
	// detect it.
	It("signals a hang-up while no goroutine reads, and keeps the bytes received before", func() {
		got := make(chan string, 1)
		l := serve(gnetconn.Options{}, func(c net.Conn) {
			<-c.(*gnetconn.Conn).HangUp()
			data, err := io.ReadAll(c)
			if err == nil {
				got <- string(data)
			}
		})
		c := dial(l)
		_, _ = c.Write([]byte("last words"))
		_ = c.Close()
		Eventually(got, testTimeout).Should(Receive(Equal("last words")))
	})

	It("signals a reset", func() {
		hungUp := make(chan error, 1)
		l := serve(gnetconn.Options{}, func(c net.Conn) {
			<-c.(*gnetconn.Conn).HangUp()
			_, err := c.Read(make([]byte, 1))
			hungUp <- err
		})
		c := dial(l)
		Eventually(l.Conns, testTimeout).Should(BeEquivalentTo(1))
		_ = c.(*net.TCPConn).SetLinger(0)
		_ = c.Close()
		Eventually(hungUp, testTimeout).Should(Receive(HaveOccurred()))
	})

	It("ends a read at its deadline and stays usable", func() {
		results := make(chan error, 3)
		l := serve(gnetconn.Options{}, func(c net.Conn) {
			b := make([]byte, 1)
			_ = c.SetReadDeadline(time.Now().Add(20 * time.Millisecond))
			_, err := c.Read(b)
			results <- err
			_ = c.SetReadDeadline(time.Time{})
			_, _ = c.Write(b)
			_, err = c.Read(b)
			results <- err
		})
		c := dial(l)
		var err error
		Eventually(results, testTimeout).Should(Receive(&err))
		Expect(errors.Is(err, os.ErrDeadlineExceeded)).To(BeTrue())
		_, err = io.ReadFull(c, make([]byte, 1))
		Expect(err).NotTo(HaveOccurred())
		_, _ = c.Write([]byte("x"))
		Eventually(results, testTimeout).Should(Receive(BeNil()))
	})

	DescribeTable("unblocks a reader and a writer", func(end func(server, client net.Conn)) {
		conns := make(chan net.Conn, 1)
		results := make(chan error, 2)
		l := serve(gnetconn.Options{}, func(c net.Conn) {
			conns <- c
			go func() {
				_, err := c.Read(make([]byte, 1))
				results <- err
			}()
			_, err := c.Write(make([]byte, 256<<20))
			results <- err
		})
		client := dial(l)
		server := <-conns
		_, err := io.ReadFull(client, make([]byte, 1<<20))
		Expect(err).NotTo(HaveOccurred())
		end(server, client)
		Eventually(results, testTimeout).Should(Receive(HaveOccurred()))
		Eventually(results, testTimeout).Should(Receive(HaveOccurred()))
		Eventually(l.Conns, testTimeout).Should(BeZero())
	},
		Entry("by a local close", func(server, _ net.Conn) { _ = server.Close() }),
		Entry("by the peer's close", func(_, client net.Conn) { _ = client.Close() }),
	)
})

// Guards against an unhelpful error when a second daemon is started on an address in use: gnet's
// own error was a bad file descriptor.
func TestListenReportsAddressInUse(t *testing.T) {
	g := NewWithT(t)
	taken, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	defer func() { _ = taken.Close() }()
	_, err = gnetconn.Listen(taken.Addr().String(), gnetconn.Options{})
	g.Expect(err).To(MatchError(syscall.EADDRINUSE))
}

var _ = Describe("a read deadline", func() {
	// Guards against a read that fails by its deadline although bytes arrived before the call.
	It("does not hide bytes that have arrived", func() {
		got := make(chan string, 1)
		l := serve(gnetconn.Options{}, func(c net.Conn) {
			b := make([]byte, 8)
			_, _ = io.ReadFull(c, b[:1])
			Expect(c.SetReadDeadline(time.Now().Add(-time.Second))).To(Succeed())
			for start := time.Now(); time.Since(start) < testTimeout; time.Sleep(time.Millisecond) {
				n, err := c.Read(b)
				if err == nil {
					got <- string(b[:n])
					return
				}
				if !errors.Is(err, os.ErrDeadlineExceeded) {
					break
				}
			}
			close(got)
		})
		c := dial(l)
		_, err := io.WriteString(c, "1")
		Expect(err).NotTo(HaveOccurred())
		time.Sleep(20 * time.Millisecond)
		_, err = io.WriteString(c, "late")
		Expect(err).NotTo(HaveOccurred())
		Eventually(got, testTimeout).Should(Receive(Equal("late")))
	})
})
