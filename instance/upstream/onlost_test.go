package upstream_test

import (
	"bufio"
	"context"
	"net"
	"sync"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/comfreyladder/comfreyladder/instance/upstream"
)

// losses records what a client reports of lost connections.
type losses struct {
	mu   sync.Mutex
	list []bool
}

func (l *losses) add(_ string, refused bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.list = append(l.list, refused)
}

func (l *losses) all() []bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]bool(nil), l.list...)
}

var _ = Describe("A client that reports lost connections", func() {
	generate := func(c *upstream.Client, t upstream.Target, id string) error {
		ctx, cancel := context.WithTimeout(context.Background(), limit)
		defer cancel()
		s, err := c.Generate(ctx, t, id, []byte("{}"))
		if err == nil {
			_, _ = drainStream(s)
			_ = s.Close()
		}
		return err
	}

	// Guards against a process that starts again unnoticed: its predecessor closed an idle connection, reset one in
	// use, or nothing listened at its address for a while.
	It("reports an idle one that was closed, one that failed, and one that was refused", func() {
		var lost losses
		closed := make(chan struct{})
		f := newFakeUpstream(func(f *fakeUpstream, n int, c net.Conn, br *bufio.Reader) {
			req := f.next(br)
			if req == nil || n == 2 {
				return
			}
			sseHead(c, idOf(req))
			event(c, idOf(req), 1)
			done(c)
			if n == 1 {
				_ = c.Close()
				close(closed)
			}
		})
		c := client(upstream.Config{OnLost: lost.add})
		Expect(generate(c, f.target(), "a")).To(Succeed())
		<-closed
		Eventually(func() []bool {
			_ = generate(c, f.target(), "b")
			return lost.all()
		}, limit).Should(Equal([]bool{false, false}), "an idle one, and one that failed")
		f.close()
		Expect(generate(c, f.target(), "c")).NotTo(Succeed())
		Expect(lost.all()).To(ContainElement(true))
	})

	// Guards against callers who leave and make an upstream doubtful.
	It("does not report one that its caller gave up", func() {
		var lost losses
		begun := make(chan struct{})
		f := newFakeUpstream(func(f *fakeUpstream, _ int, _ net.Conn, br *bufio.Reader) {
			if req := f.next(br); req != nil && string(req.Header.Method()) == "POST" {
				close(begun)
			}
			_ = f.next(br)
		})
		DeferCleanup(f.close)
		c := client(upstream.Config{OnLost: lost.add})
		ctx, cancel := context.WithCancel(context.Background())
		go func() { <-begun; cancel() }()
		_, err := c.Generate(ctx, f.target(), "a", []byte("{}"))
		Expect(err).To(HaveOccurred())
		Expect(lost.all()).To(BeEmpty())
	})
})
