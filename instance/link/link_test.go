package link_test

import (
	"context"
	"crypto/sha256"
	"fmt"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"
	"go.uber.org/goleak"

	"github.com/comfreyladder/comfreyladder/core/fault"
	"github.com/comfreyladder/comfreyladder/instance/link"
)

func TestLink(t *testing.T) {
	before := goleak.IgnoreCurrent()
	RegisterFailHandler(Fail)
	RunSpecs(t, "link")
	goleak.VerifyNone(t, before,
		goleak.IgnoreAnyFunction("github.com/onsi/ginkgo/v2/internal/interrupt_handler.(*InterruptHandler).registerForInterrupts.func2"))
}

const testTimeout = 20 * time.Second

type addressBook struct{ sync.Map }

func (b *addressBook) Address(name string) (string, bool) {
	v, ok := b.Load(name)
	if !ok {
		return "", false
	}
	return v.(string), true
}

type textMessage struct {
	Text string `codec:"text"`
}

func startService(name string, b *addressBook, modify func(*link.Config)) *link.Service {
	cfg := link.Config{
		Self: name, Listen: "127.0.0.1:0", Credential: "secret", Book: b,
		AcceptedHashes: [][sha256.Size]byte{sha256.Sum256([]byte("older")), sha256.Sum256([]byte("secret"))},
		Log:            zerolog.Nop(),
	}
	if modify != nil {
		modify(&cfg)
	}
	s, err := link.New(cfg)
	Expect(err).NotTo(HaveOccurred())
	s.Handle("echo", func(_ context.Context, from string, m link.Message) (any, error) {
		var n textMessage
		if err := m.Decode(&n); err != nil {
			return nil, err
		}
		return textMessage{Text: from + ":" + n.Text}, nil
	})
	s.Handle("refuse", func(context.Context, string, link.Message) (any, error) {
		return nil, fault.New(fault.Conflict, "no").WithRetryAfter(3 * time.Second)
	})
	s.Handle("hang", func(ctx context.Context, _ string, _ link.Message) (any, error) {
		<-ctx.Done()
		return nil, fault.Wrap(ctx.Err(), fault.Canceled, "hang")
	})
	Expect(s.Start(context.Background())).To(Succeed())
	b.Store(name, s.Addr().String())
	DeferCleanup(func() {
		ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
		defer cancel()
		Expect(s.Stop(ctx)).To(Succeed())
	})
	return s
}

func call(s *link.Service, to, channel, text string) (string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	var out textMessage
	err := s.Call(ctx, to, channel, textMessage{Text: text}, &out)
	return out.Text, err
}

var _ = Describe("calls and messages", func() {
	It("correlates calls and carries typed failures", func() {
		b := &addressBook{}
		one := startService("one", b, nil)
		startService("two", b, nil)
		var wg sync.WaitGroup
		for i := range 64 {
			wg.Go(func() {
				defer GinkgoRecover()
				text := fmt.Sprint(i)
				Expect(call(one, "two", "echo", text)).To(Equal("one:" + text))
			})
		}
		wg.Wait()
		_, err := call(one, "two", "refuse", "")
		Expect(fault.CodeOf(err)).To(Equal(fault.Conflict))
		Expect(fault.From(err).RetryAfter).To(Equal(3 * time.Second))
		_, err = call(one, "two", "nobody listens", "")
		Expect(fault.CodeOf(err)).To(Equal(fault.NotRun))
	})

	It("keeps the order of messages", func() {
		b := &addressBook{}
		one := startService("one", b, nil)
		two, err := link.New(link.Config{
			Self: "two", Listen: "127.0.0.1:0", Credential: "secret", Book: b, Log: zerolog.Nop(),
			AcceptedHashes: [][sha256.Size]byte{sha256.Sum256([]byte("secret"))},
		})
		Expect(err).NotTo(HaveOccurred())
		got := make(chan int, 1000)
		two.Handle("numbers", func(_ context.Context, _ string, m link.Message) (any, error) {
			var n int
			err := m.Decode(&n)
			got <- n
			return nil, err
		})
		Expect(two.Start(context.Background())).To(Succeed())
		defer two.Stop(context.Background())
		b.Store("two", two.Addr().String())
		for i := range 1000 {
			Expect(one.Send("two", "numbers", i)).To(Succeed())
		}
		for i := range 1000 {
			Eventually(got, testTimeout).Should(Receive(Equal(i)))
		}
	})

	It("rejects wrong credentials", func() {
		b := &addressBook{}
		one := startService("one", b, func(c *link.Config) { c.Credential = "wrong" })
		two := startService("two", b, nil)
		_, err := call(one, "two", "echo", "x")
		Expect(fault.CodeOf(err)).To(Equal(fault.NotRun))
		Eventually(two.RejectedLinks, testTimeout).Should(BeNumerically(">=", 1))
		Expect(two.Stats()).To(BeEmpty())
	})

	It("limits the queue of an unreachable peer", func() {
		silent, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		defer silent.Close()
		b := &addressBook{}
		b.Store("two", silent.Addr().String())
		one := startService("one", b, func(c *link.Config) { c.QueueItems, c.DialTimeout = 10, time.Hour })
		one.Handle("news", nil, link.Lossy())
		for range 10 {
			Expect(one.Send("two", "plain", "x")).To(Succeed())
		}
		Expect(fault.CodeOf(one.Send("two", "plain", "x"))).To(Equal(fault.Overloaded))
		Expect(one.Send("two", "news", "x")).To(Succeed())
		Expect(fault.CodeOf(one.Send("nobody", "plain", "x"))).To(Equal(fault.NotFound))
	})
})

var _ = Describe("link failures and limits", func() {
	// With 20 instances that send each other an announcement every second, half of
	// the cost of control traffic was in separate segments. Lazy messages must share
	// the segment of another message, keep their order, and still cause a dial.
	It("sends lazy messages together with others", func() {
		b := &addressBook{}
		slow := func(c *link.Config) { c.Heartbeat, c.Timeout = time.Hour, 2*time.Hour }
		one := startService("one", b, slow)
		two := startService("two", b, slow)
		got := make(chan string, 10)
		take := func(_ context.Context, _ string, m link.Message) (any, error) {
			var n textMessage
			err := m.Decode(&n)
			got <- n.Text
			return nil, err
		}
		for _, s := range []*link.Service{one, two} {
			s.Handle("beat", take, link.Lazy())
			s.Handle("urgent", take)
		}
		Expect(one.Send("two", "beat", textMessage{Text: "dials"})).To(Succeed())
		Eventually(got, testTimeout).Should(Receive(Equal("dials")))
		before, _ := one.Segments()
		Expect(one.Send("two", "beat", textMessage{Text: "waits"})).To(Succeed())
		Consistently(got, "100ms").ShouldNot(Receive())
		Expect(one.Send("two", "urgent", textMessage{Text: "goes"})).To(Succeed())
		Eventually(got, testTimeout).Should(Receive(Equal("waits")))
		Eventually(got, testTimeout).Should(Receive(Equal("goes")))
		after, _ := one.Segments()
		Expect(after - before).To(BeEquivalentTo(1))
	})

	// Guards against calls that hang on a connection until the system's TCP timeout,
	// many minutes later. A router between two instances that loses the connection's
	// state drops its packets while both sides keep it open; new connections work.
	It("replaces a connection that lost its network path", func() {
		b := &addressBook{}
		one := startService("one", b, nil)
		two := startService("two", b, nil)
		p := newProxy(two.Addr().String())
		b.Store("two", p.Addr().String())
		Expect(call(one, "two", "echo", "a")).To(Equal("one:a"))
		p.dropTraffic()
		_, err := call(one, "two", "echo", "b")
		Expect(fault.CodeOf(err)).To(Equal(fault.OutcomeUnknown))
		Expect(call(one, "two", "echo", "c")).To(Equal("one:c"))
		Expect(p.conns.Load()).To(BeEquivalentTo(2))
	})

	// A caller may retry a non-idempotent operation only if the request was never
	// sent, so the error code has to say which.
	It("distinguishes unsent requests from requests without a response", func() {
		b := &addressBook{}
		one := startService("one", b, nil)
		gone, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		b.Store("gone", gone.Addr().String())
		Expect(gone.Close()).To(Succeed())
		_, err = call(one, "gone", "echo", "x")
		Expect(fault.CodeOf(err)).To(Equal(fault.NotRun))
		_, err = call(one, "unknown", "echo", "x")
		Expect(fault.CodeOf(err)).To(Equal(fault.NotRun))

		startService("two", b, nil)
		Expect(call(one, "two", "echo", "x")).To(Equal("one:x"))
		ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
		defer cancel()
		err = one.Call(ctx, "two", "hang", textMessage{}, nil)
		Expect(fault.CodeOf(err)).To(Equal(fault.OutcomeUnknown))
	})

	// Guards against memory use without limit when a handler hangs while a peer
	// goes on sending to it.
	It("rejects calls and drops messages beyond the budget for unhandled messages", func() {
		b := &addressBook{}
		one := startService("one", b, nil)
		two := startService("two", b, func(c *link.Config) { c.TotalBytes = 1 << 20 })
		release := make(chan struct{})
		two.Handle("stuck", func(context.Context, string, link.Message) (any, error) {
			<-release
			return nil, nil
		})
		for range 4 {
			Expect(one.Send("two", "stuck", make([]byte, 300<<10))).To(Succeed())
		}
		Eventually(func() uint64 {
			for _, c := range two.Stats() {
				if c.Channel == "stuck" {
					return c.DropCount
				}
			}
			return 0
		}, testTimeout).Should(BeEquivalentTo(1))
		ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
		defer cancel()
		err := one.Call(ctx, "two", "echo", make([]byte, 300<<10), nil)
		Expect(fault.CodeOf(err)).To(Equal(fault.NotRun))
		close(release)
		Eventually(func() error { return one.Call(ctx, "two", "stuck", make([]byte, 300<<10), nil) }, testTimeout).Should(Succeed())
	})

	It("runs over TLS and rejects peers without it", func() {
		server, client := newTLSConfigs()
		secure := func(c *link.Config) { c.ServerTLS, c.ClientTLS = server, client }
		b := &addressBook{}
		one := startService("one", b, secure)
		startService("two", b, secure)
		Expect(call(one, "two", "echo", "x")).To(Equal("one:x"))
		plain := startService("plain", b, nil)
		_, err := call(plain, "two", "echo", "x")
		Expect(fault.CodeOf(err)).To(Equal(fault.NotRun))
	})

	// Guards against late delivery of a message that says how long an upstream still
	// counts as alive: after a slow handshake, it would keep a dead upstream alive.
	It("drops lossy messages that were queued too long", func() {
		quick := func(c *link.Config) {
			c.Heartbeat, c.Timeout, c.DialTimeout = 50*time.Millisecond, 300*time.Millisecond, testTimeout
		}
		b := &addressBook{}
		one, two := startService("one", b, quick), startService("two", b, quick)
		got := make(chan string, 2)
		for _, name := range []string{"news", "plain"} {
			two.Handle(name, func(context.Context, string, link.Message) (any, error) {
				got <- name
				return nil, nil
			})
		}
		one.Handle("news", nil, link.Lossy())
		slow, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		defer slow.Close()
		release := make(chan struct{})
		go func() {
			c, err := slow.Accept()
			if err != nil {
				return
			}
			<-release
			up, err := net.Dial("tcp", two.Addr().String())
			if err != nil {
				return
			}
			go pipe(c, up, &atomic.Bool{})
			pipe(up, c, &atomic.Bool{})
		}()
		b.Store("two", slow.Addr().String())
		Expect(one.Send("two", "news", "x")).To(Succeed())
		Expect(one.Send("two", "plain", "x")).To(Succeed())
		time.Sleep(400 * time.Millisecond)
		close(release)
		var first string
		Eventually(got, testTimeout).Should(Receive(&first))
		Expect(first).To(Equal("plain"))
	})

	It("survives an invalid request on the listener", func() {
		b := &addressBook{}
		one := startService("one", b, nil)
		two := startService("two", b, nil)
		c, err := net.Dial("tcp", two.Addr().String())
		Expect(err).NotTo(HaveOccurred())
		_, _ = io.WriteString(c, "GET /elsewhere HTTP/1.1\r\nHost: x\r\n\r\n")
		_, _ = io.Copy(io.Discard, c)
		Expect(call(one, "two", "echo", "x")).To(Equal("one:x"))
	})
})
