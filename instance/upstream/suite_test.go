package upstream_test

import (
	"bufio"
	"context"
	"net"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/valyala/fasthttp"
	"go.uber.org/goleak"

	"github.com/comfreyladder/comfreyladder/instance/upstream"
)

func TestUpstream(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "upstream")
}

const limit = 10 * time.Second

// fakeUpstream is a scripted upstream: serve receives each connection with its number,
// starting at 1.
type fakeUpstream struct {
	ln     net.Listener
	wg     sync.WaitGroup
	mu     sync.Mutex
	conns  []net.Conn
	reqs   []string // "METHOD path" of each request read by next
	closed chan struct{}
}

func newFakeUpstream(serve func(f *fakeUpstream, n int, c net.Conn, br *bufio.Reader)) *fakeUpstream {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	f := &fakeUpstream{ln: ln, closed: make(chan struct{})}
	f.wg.Go(func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			f.mu.Lock()
			f.conns = append(f.conns, c)
			n := len(f.conns)
			f.mu.Unlock()
			f.wg.Go(func() {
				defer c.Close()
				serve(f, n, c, bufio.NewReader(c))
			})
		}
	})
	return f
}

func (f *fakeUpstream) target() upstream.Target {
	return upstream.Target{Name: "far", Address: f.ln.Addr().String()}
}

// next reads one request. It returns nil if the connection ended.
func (f *fakeUpstream) next(br *bufio.Reader) *fasthttp.Request {
	req := &fasthttp.Request{}
	if err := req.Read(br); err != nil {
		return nil
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.reqs = append(f.reqs, string(req.Header.Method())+" "+string(req.RequestURI()))
	return req
}

func (f *fakeUpstream) requests() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]string(nil), f.reqs...)
}

func (f *fakeUpstream) accepted() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.conns)
}

// wait returns when ch is closed or delivers a value, or when the fake is closed.
func (f *fakeUpstream) wait(ch <-chan struct{}) {
	select {
	case <-ch:
	case <-f.closed:
	}
}

func (f *fakeUpstream) close() {
	if f.ln.Close() != nil {
		return
	}
	close(f.closed)
	f.mu.Lock()
	for _, c := range f.conns {
		c.Close()
	}
	f.mu.Unlock()
	f.wg.Wait()
}

func idOf(req *fasthttp.Request) string { return string(req.Header.Peek(upstream.HeaderRequestID)) }

// client returns a Client that is closed and checked for goroutine leaks at the end of the test.
func client(cfg upstream.Config) *upstream.Client {
	before := goleak.IgnoreCurrent()
	c := upstream.New(cfg)
	DeferCleanup(func() {
		ctx, done := context.WithTimeout(context.Background(), limit)
		defer done()
		Expect(c.Close(ctx)).To(Succeed())
		Eventually(func() error { return goleak.Find(before) }).WithTimeout(limit).Should(Succeed())
	})
	return c
}
