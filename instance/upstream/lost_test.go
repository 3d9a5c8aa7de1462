package upstream_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/comfreyladder/comfreyladder/core/fault"
	"github.com/comfreyladder/comfreyladder/instance/upstream"
)

var _ = Describe("A pooled connection that is lost without being closed", func() {
	const silence = 200 * time.Millisecond

	// Two pooled connections are lost on the network path. A request is sent on one of them
	// and reaches the engine, but its answer never arrives. The engine serves the stream over
	// a new connection, the request does not run a second time, and the other connection is
	// not tried.
	It("costs one read timeout: the stream is resumed over a new one", func() {
		var both = make(chan struct{}, 2)
		lost := make(chan struct{})
		f := newFakeUpstream(func(f *fakeUpstream, n int, c net.Conn, br *bufio.Reader) {
			for {
				req := f.next(br)
				if req == nil {
					return
				}
				id := idOf(req)
				switch {
				case id == "warm-1" || id == "warm-2":
					both <- struct{}{}
					f.wait(lost)
				case n <= 2:
					_, _ = io.Copy(io.Discard, br) // discards the request
					return
				}
				sseHead(c, id)
				event(c, id, 1)
				done(c)
			}
		})
		DeferCleanup(f.close)
		c := client(upstream.Config{ReadTimeout: silence, FirstByte: limit})
		ctx, cancel := context.WithTimeout(context.Background(), limit)
		DeferCleanup(cancel)
		ended := make(chan error, 2)
		for _, id := range []string{"warm-1", "warm-2"} {
			go func() {
				s, err := c.Generate(ctx, f.target(), id, []byte("{}"), upstream.Fresh())
				if err == nil {
					_, err = drainStream(s)
					_ = s.Close()
				}
				ended <- err
			}()
		}
		<-both
		<-both
		close(lost)
		Expect(<-ended).To(MatchError(io.EOF))
		Expect(<-ended).To(MatchError(io.EOF))

		for n, id := range []string{"a", "b"} {
			s, err := c.Generate(ctx, f.target(), id, []byte("{}"))
			Expect(err).NotTo(HaveOccurred())
			seqs, err := drainStream(s)
			Expect(err).To(MatchError(io.EOF))
			Expect(seqs).To(Equal([]uint64{1}))
			Expect(s.Close()).To(Succeed())
			Expect(f.accepted()).To(Equal(3), "request %d", n)
		}
		Expect(f.requests()).To(ContainElement("GET /v1/streams/a"))
		Expect(f.requests()).NotTo(ContainElement("GET /v1/streams/b"))
	})

	// The engine never received the request and reports so over the new connection. The
	// error is marked as Reused, so that it is not attributed to the engine.
	It("fails as Reused if the engine does not know the request", func() {
		f := newFakeUpstream(func(f *fakeUpstream, n int, c net.Conn, br *bufio.Reader) {
			for {
				req := f.next(br)
				switch {
				case req == nil:
					return
				case string(req.Header.Method()) != "POST":
					io.WriteString(c, "HTTP/1.1 404 x\r\nX-Request-Id: "+idOf(req)+"\r\nContent-Length: 0\r\n\r\n")
				case idOf(req) == "warm":
					sseHead(c, "warm")
					done(c)
				default:
					_, _ = io.Copy(io.Discard, br)
					return
				}
			}
		})
		DeferCleanup(f.close)
		c := client(upstream.Config{ReadTimeout: silence, FirstByte: limit})
		ctx, cancel := context.WithTimeout(context.Background(), limit)
		DeferCleanup(cancel)
		s, err := c.Generate(ctx, f.target(), "warm", []byte("{}"))
		Expect(err).NotTo(HaveOccurred())
		_, err = drainStream(s)
		Expect(err).To(MatchError(io.EOF))
		Expect(s.Close()).To(Succeed())

		_, err = c.Generate(ctx, f.target(), "a", []byte("{}"))
		expectFailure(err, upstream.Unknown, fault.DeadlineExceeded)
		Expect(upstream.ReusedIn(err)).To(BeTrue())
	})

	It("is not closed by the read deadline of its last request", func() {
		f := newFakeUpstream(func(f *fakeUpstream, _ int, c net.Conn, br *bufio.Reader) {
			for req := f.next(br); req != nil; req = f.next(br) {
				reply(c, idOf(req), "ok")
			}
		})
		DeferCleanup(f.close)
		c := client(upstream.Config{ReadTimeout: silence})
		for _, id := range []string{"a", "b"} {
			_, err := c.Do(context.Background(), f.target(), post(id))
			Expect(err).NotTo(HaveOccurred())
			time.Sleep(2 * silence)
		}
		Expect(f.accepted()).To(Equal(1))
	})
})
