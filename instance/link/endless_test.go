package link_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gobwas/ws"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"github.com/comfreyladder/comfreyladder/core/fault"
	"github.com/comfreyladder/comfreyladder/instance/link"
)

// Guards against an instance at the address of a member that answers a call without end.
var _ = DescribeTable("answers without end are cut off", func(upgrades bool, first, again string) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(func() { _ = l.Close() })
	sent := make(chan int, 64)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = c.Close() }()
				if upgrades {
					if _, err := ws.Upgrade(c); err != nil {
						return
					}
				} else if _, err := bufio.NewReader(c).ReadString('\n'); err != nil {
					return
				}
				n := 0
				_, err := io.WriteString(c, first)
				for piece := strings.Repeat(again, 1000); err == nil && n < 200<<20; {
					var m int
					m, err = io.WriteString(c, piece)
					n += m
				}
				sent <- n
			}()
		}
	}()
	b := &addressBook{}
	one := startService("one", b, func(c *link.Config) { c.MaxMessage = 1 << 20 })
	b.Store("two", l.Addr().String())
	begun := time.Now()
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	Expect(one.Call(ctx, "two", "echo", textMessage{Text: "x"}, &textMessage{})).NotTo(Succeed())
	Expect(time.Since(begun)).To(BeNumerically("<", testTimeout/2))
	Eventually(sent, testTimeout).Should(Receive(BeNumerically("<", 12<<20)))
},
	Entry("a status line", false, "HTTP/1.1 101 ", "x"),
	Entry("a header", false, "HTTP/1.1 101 X\r\nA: ", "x"),
	Entry("headers", false, "HTTP/1.1 101 X\r\n", "A: b\r\n"),
	Entry("interim answers", false, "", "HTTP/1.1 103 X\r\nA: b\r\n\r\n"),
	Entry("a message over the limit", true, "\x82\x7f\x00\x00\x00\x00\x7f\xff\xff\xff", "x"),
	Entry("frames that are no message", true, "", "\x82\x01x"),
)

// Guards against a member whose message arrives byte by byte, which would keep its link open although
// nothing else passes: each byte counted as a sign of life. On the next link the member answers.
var _ = DescribeTable("messages that arrive byte by byte end their link", func(first string, interval time.Duration) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(func() { _ = l.Close() })
	b := &addressBook{}
	limits := func(c *link.Config) { c.MessageTimeout, c.Timeout = byteTimeout, byteTimeout/2 }
	two := startService("two", b, limits)
	ended := make(chan time.Duration, 1)
	go func() {
		for n := 0; ; n++ {
			c, err := l.Accept()
			if err != nil {
				return
			}
			if n == 0 {
				_, err = ws.Upgrade(c)
				go func() { ended <- drip(c, err, first, interval) }()
				continue
			}
			up, err := net.Dial("tcp", two.Addr().String())
			if err != nil {
				_ = c.Close()
				continue
			}
			go pipe(c, up, &atomic.Bool{})
			go pipe(up, c, &atomic.Bool{})
		}
	}()
	one := startService("one", b, limits)
	b.Store("two", l.Addr().String())
	_, err = call(one, "two", "echo", "x")
	Expect(fault.CodeOf(err)).To(Equal(fault.OutcomeUnknown))
	Eventually(ended, testTimeout).Should(Receive(BeNumerically("<", 2*byteTimeout)))
	Expect(call(one, "two", "echo", "x")).To(Equal("one:x"))
	Expect(one.OverdueMessages()).To(BeEquivalentTo(1))
},
	// The eight bytes of the length take longer than the message may.
	Entry("in its header", "\x82\x7f", byteTimeout/4),
	Entry("in its body", "\x82\x7e\x40\x00", byteInterval),
)

// Guards against the same on a link that the member has opened.
var _ = It("ends an accepted link whose message arrives byte by byte", func() {
	b := &addressBook{}
	var lines lockedBuffer
	two := startService("two", b, func(c *link.Config) {
		c.MessageTimeout, c.Timeout, c.Log = byteTimeout, byteTimeout/2, zerolog.New(&lines)
	})
	dialer := ws.Dialer{Header: ws.HandshakeHeaderHTTP{"Authorization": {"Bearer secret"}, "X-Instance": {"one"}}}
	c, _, _, err := dialer.Dial(context.Background(), "ws://"+two.Addr().String()+link.Path)
	Expect(err).NotTo(HaveOccurred())
	Expect(drip(c, nil, "\x82\xfe\x40\x00aaaa", byteInterval)).To(BeNumerically("<", 2*byteTimeout))
	Expect(two.OverdueMessages()).To(BeEquivalentTo(1))
	Expect(lines.String()).To(And(ContainSubstring("message_without_end"), ContainSubstring(`"bytes":16384`)))
})

// Guards against a limit that closes links on which many messages arrive without a pause, or on which a
// message arrives after a long wait.
var _ = It("counts the time of each message from its first byte", func() {
	b := &addressBook{}
	one := startService("one", b, func(c *link.Config) { c.MessageTimeout = byteTimeout / 2 })
	startService("two", b, func(c *link.Config) { c.MessageTimeout = byteTimeout / 2 })
	for begun := time.Now(); time.Since(begun) < byteTimeout; {
		Expect(call(one, "two", "echo", strings.Repeat("x", 100<<10))).To(HaveLen(100<<10 + 4))
	}
	time.Sleep(byteTimeout)
	Expect(call(one, "two", "echo", "x")).To(Equal("one:x"))
	Expect(one.OverdueMessages()).To(BeZero())
})

// byteTimeout is the time of a message in these tests, byteInterval the usual one between two bytes.
const byteTimeout, byteInterval = 800 * time.Millisecond, 20 * time.Millisecond

// drip sends a text and then a byte at each interval, and returns how long the other side let it.
func drip(c net.Conn, err error, first string, interval time.Duration) time.Duration {
	begun := time.Now()
	defer func() { _ = c.Close() }()
	go func() { _, _ = io.Copy(io.Discard, c) }()
	for text := first; err == nil && time.Since(begun) < testTimeout/2; text = "\x00" {
		_, err = io.WriteString(c, text)
		time.Sleep(interval)
	}
	return time.Since(begun)
}

// lockedBuffer gathers log lines.
type lockedBuffer struct {
	mu sync.Mutex
	strings.Builder
}

// Write implements io.Writer.
func (b *lockedBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.Builder.Write(p)
}

// String returns the lines.
func (b *lockedBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.Builder.String()
}
