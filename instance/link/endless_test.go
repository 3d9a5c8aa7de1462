package link_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"strings"
	"time"

	"github.com/gobwas/ws"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

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
