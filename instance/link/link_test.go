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

const limit = 20 * time.Second

type book struct{ sync.Map }

func (b *book) Address(name string) (string, bool) {
	v, ok := b.Load(name)
	if !ok {
		return "", false
	}
	return v.(string), true
}

type note struct {
	Text string `codec:"text"`
}

func start(name string, b *book, change func(*link.Config)) *link.Service {
	cfg := link.Config{
		Self: name, Listen: "127.0.0.1:0", Credential: "secret", Book: b,
		Accept: [][sha256.Size]byte{sha256.Sum256([]byte("older")), sha256.Sum256([]byte("secret"))},
		Log:    zerolog.Nop(),
	}
	if change != nil {
		change(&cfg)
	}
	s, err := link.New(cfg)
	Expect(err).NotTo(HaveOccurred())
	s.Handle("echo", func(_ context.Context, from string, m link.Message) (any, error) {
		var n note
		if err := m.Decode(&n); err != nil {
			return nil, err
		}
		return note{Text: from + ":" + n.Text}, nil
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
		ctx, cancel := context.WithTimeout(context.Background(), limit)
		defer cancel()
		Expect(s.Stop(ctx)).To(Succeed())
	})
	return s
}

func call(s *link.Service, to, channel, text string) (string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	var out note
	err := s.Call(ctx, to, channel, note{Text: text}, &out)
	return out.Text, err
}

var _ = Describe("calls and messages", func() {
	It("correlates calls and carries typed failures", func() {
		b := &book{}
		one := start("one", b, nil)
		start("two", b, nil)
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
		b := &book{}
		one := start("one", b, nil)
		two, err := link.New(link.Config{
			Self: "two", Listen: "127.0.0.1:0", Credential: "secret", Book: b, Log: zerolog.Nop(),
			Accept: [][sha256.Size]byte{sha256.Sum256([]byte("secret"))},
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
			Eventually(got, limit).Should(Receive(Equal(i)))
		}
	})

	It("refuses wrong credentials", func() {
		b := &book{}
		one := start("one", b, func(c *link.Config) { c.Credential = "wrong" })
		two := start("two", b, nil)
		_, err := call(one, "two", "echo", "x")
		Expect(fault.CodeOf(err)).To(Equal(fault.NotRun))
		Eventually(two.RefusedLinks, limit).Should(BeNumerically(">=", 1))
		Expect(two.Stats()).To(BeEmpty())
	})

	It("bounds what waits for a peer that cannot be reached", func() {
		silent, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		defer silent.Close()
		b := &book{}
		b.Store("two", silent.Addr().String())
		one := start("one", b, func(c *link.Config) { c.QueueItems, c.DialTimeout = 10, time.Hour })
		one.Handle("news", nil, link.Lossy())
		for range 10 {
			Expect(one.Send("two", "plain", "x")).To(Succeed())
		}
		Expect(fault.CodeOf(one.Send("two", "plain", "x"))).To(Equal(fault.Overloaded))
		Expect(one.Send("two", "news", "x")).To(Succeed())
		Expect(fault.CodeOf(one.Send("nobody", "plain", "x"))).To(Equal(fault.NotFound))
	})
})

var _ = Describe("ends of a link", func() {
	// Story: 20 instances tell each other every second that they are there. With
	// a segment for each such message, half of what an instance spends on control
	// goes into segments. Lazy messages ride along with others, in order, and
	// still make the first connection.
	It("sends lazy messages together with others", func() {
		b := &book{}
		slow := func(c *link.Config) { c.Heartbeat, c.Timeout = time.Hour, 2*time.Hour }
		one := start("one", b, slow)
		two := start("two", b, slow)
		got := make(chan string, 10)
		take := func(_ context.Context, _ string, m link.Message) (any, error) {
			var n note
			err := m.Decode(&n)
			got <- n.Text
			return nil, err
		}
		for _, s := range []*link.Service{one, two} {
			s.Handle("beat", take, link.Lazy())
			s.Handle("urgent", take)
		}
		Expect(one.Send("two", "beat", note{Text: "dials"})).To(Succeed())
		Eventually(got, limit).Should(Receive(Equal("dials")))
		before, _ := one.Segments()
		Expect(one.Send("two", "beat", note{Text: "waits"})).To(Succeed())
		Consistently(got, "100ms").ShouldNot(Receive())
		Expect(one.Send("two", "urgent", note{Text: "goes"})).To(Succeed())
		Eventually(got, limit).Should(Receive(Equal("waits")))
		Eventually(got, limit).Should(Receive(Equal("goes")))
		after, _ := one.Segments()
		Expect(after - before).To(BeEquivalentTo(1))
	})

	// Story: a router between two instances forgets their connection: it stays
	// open on both sides and swallows all packets, while new connections work.
	// Without heartbeats, calls would hang on it until the system's TCP timeout,
	// many minutes later.
	It("replaces a connection that went silent", func() {
		b := &book{}
		one := start("one", b, nil)
		two := start("two", b, nil)
		p := newProxy(two.Addr().String())
		b.Store("two", p.Addr().String())
		Expect(call(one, "two", "echo", "a")).To(Equal("one:a"))
		p.mute()
		_, err := call(one, "two", "echo", "b")
		Expect(fault.CodeOf(err)).To(Equal(fault.OutcomeUnknown))
		Expect(call(one, "two", "echo", "c")).To(Equal("one:c"))
		Expect(p.conns.Load()).To(BeEquivalentTo(2))
	})

	// Story: a caller of an operation that must not run twice asks whether it
	// may send it again. Only a request that never left may be.
	It("tells not sent from sent without an answer", func() {
		b := &book{}
		one := start("one", b, nil)
		gone, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		b.Store("gone", gone.Addr().String())
		Expect(gone.Close()).To(Succeed())
		_, err = call(one, "gone", "echo", "x")
		Expect(fault.CodeOf(err)).To(Equal(fault.NotRun))
		_, err = call(one, "unknown", "echo", "x")
		Expect(fault.CodeOf(err)).To(Equal(fault.NotRun))

		start("two", b, nil)
		Expect(call(one, "two", "echo", "x")).To(Equal("one:x"))
		ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
		defer cancel()
		err = one.Call(ctx, "two", "hang", note{}, nil)
		Expect(fault.CodeOf(err)).To(Equal(fault.OutcomeUnknown))
	})

	// Story: a handler hangs while a peer goes on sending to it. Unbounded, what
	// waits for it would fill the memory.
	It("refuses and drops what exceeds the memory for unhandled messages", func() {
		b := &book{}
		one := start("one", b, nil)
		two := start("two", b, func(c *link.Config) { c.TotalBytes = 1 << 20 })
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
		}, limit).Should(BeEquivalentTo(1))
		ctx, cancel := context.WithTimeout(context.Background(), limit)
		defer cancel()
		err := one.Call(ctx, "two", "echo", make([]byte, 300<<10), nil)
		Expect(fault.CodeOf(err)).To(Equal(fault.NotRun))
		close(release)
		Eventually(func() error { return one.Call(ctx, "two", "stuck", make([]byte, 300<<10), nil) }, limit).Should(Succeed())
	})

	It("runs over TLS and refuses peers that don't", func() {
		server, client := certificate()
		secure := func(c *link.Config) { c.ServerTLS, c.ClientTLS = server, client }
		b := &book{}
		one := start("one", b, secure)
		start("two", b, secure)
		Expect(call(one, "two", "echo", "x")).To(Equal("one:x"))
		plain := start("plain", b, nil)
		_, err := call(plain, "two", "echo", "x")
		Expect(fault.CodeOf(err)).To(Equal(fault.NotRun))
	})

	// Story: a message says for how long an upstream still counts as alive, and
	// waits longer than that for a slow handshake. Delivered late, it would keep
	// an upstream alive that is dead.
	It("drops lossy messages that waited too long", func() {
		quick := func(c *link.Config) {
			c.Heartbeat, c.Timeout, c.DialTimeout = 50*time.Millisecond, 300*time.Millisecond, limit
		}
		b := &book{}
		one, two := start("one", b, quick), start("two", b, quick)
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
		Eventually(got, limit).Should(Receive(&first))
		Expect(first).To(Equal("plain"))
	})

	It("survives garbage on the listener", func() {
		b := &book{}
		one := start("one", b, nil)
		two := start("two", b, nil)
		c, err := net.Dial("tcp", two.Addr().String())
		Expect(err).NotTo(HaveOccurred())
		_, _ = io.WriteString(c, "GET /elsewhere HTTP/1.1\r\nHost: x\r\n\r\n")
		_, _ = io.Copy(io.Discard, c)
		Expect(call(one, "two", "echo", "x")).To(Equal("one:x"))
	})
})
