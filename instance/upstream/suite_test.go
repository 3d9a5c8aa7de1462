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

// far is a fake upstream that answers by script: serve gets each connection
// with its number, from 1 on.
type far struct {
	ln    net.Listener
	wg    sync.WaitGroup
	mu    sync.Mutex
	conns []net.Conn
	reqs  []string // "METHOD path" of each request read by next
	over  chan struct{}
}

func newFar(serve func(f *far, n int, c net.Conn, br *bufio.Reader)) *far {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	f := &far{ln: ln, over: make(chan struct{})}
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

func (f *far) target() upstream.Target {
	return upstream.Target{Name: "far", Address: f.ln.Addr().String()}
}

// next reads one request and returns it, or nil when the connection ended.
func (f *far) next(br *bufio.Reader) *fasthttp.Request {
	req := &fasthttp.Request{}
	if err := req.Read(br); err != nil {
		return nil
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.reqs = append(f.reqs, string(req.Header.Method())+" "+string(req.RequestURI()))
	return req
}

func (f *far) requests() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]string(nil), f.reqs...)
}

func (f *far) accepted() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.conns)
}

// wait returns when ch is closed or gives a value, or the fake ends.
func (f *far) wait(ch <-chan struct{}) {
	select {
	case <-ch:
	case <-f.over:
	}
}

func (f *far) close() {
	if f.ln.Close() != nil {
		return
	}
	close(f.over)
	f.mu.Lock()
	for _, c := range f.conns {
		c.Close()
	}
	f.mu.Unlock()
	f.wg.Wait()
}

func idOf(req *fasthttp.Request) string { return string(req.Header.Peek(upstream.HeaderRequestID)) }

// client returns a Client that is closed, with a check for leaks, at the end.
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
