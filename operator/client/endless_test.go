package client_test

import (
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/comfreyladder/comfreyladder/operator/client"
)

// Guards against a command that reads an answer without end, which takes up its memory or never ends.
func TestAnswersWithoutEndAreCutOff(t *testing.T) {
	for again, first := range map[string]string{
		"HTTP/1.1 100 Continue\r\n\r\n": "",
		"A: b\r\n":                      "HTTP/1.1 200 OK\r\n",
		"a":                             "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5;",
		"400\r\n" + strings.Repeat("a", 1024) + "\r\n": "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
	} {
		t.Run(fmt.Sprintf("%.10q", again), func(t *testing.T) {
			g := NewWithT(t)
			l, err := net.Listen("tcp4", "127.0.0.1:0")
			g.Expect(err).NotTo(HaveOccurred())
			defer func() { _ = l.Close() }()
			sent := make(chan int, 1)
			go func() {
				c, err := l.Accept()
				if err != nil {
					return
				}
				n := 0
				_, err = io.WriteString(c, first)
				piece := make([]byte, 0, 64<<10)
				for len(piece)+len(again) <= cap(piece) {
					piece = append(piece, again...)
				}
				for err == nil && n < 200<<20 {
					var m int
					m, err = c.Write(piece)
					n += m
				}
				_ = c.Close()
				sent <- n
			}()
			begun := time.Now()
			_, err = (&client.Client{Address: l.Addr().String()}).Status()
			g.Expect(err).To(HaveOccurred())
			g.Expect(time.Since(begun)).To(BeNumerically("<", 16*time.Second), "the time limit of a command")
			g.Eventually(sent, 5*time.Second).Should(Receive(BeNumerically("<", 80<<20)))
		})
	}
}

// Guards against a command that never ends because its answer arrives byte by byte.
func TestAnswersByteByByteEndInTime(t *testing.T) {
	for name, first := range map[string]string{
		"a head":           "HTTP/1.1 200 OK\r\nA: ",
		"a body":           "HTTP/1.1 200 OK\r\nContent-Length: 100000\r\n\r\n",
		"a chunk":          "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4000\r\n",
		"a chunk's length": "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5;",
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			g := NewWithT(t)
			l, err := net.Listen("tcp4", "127.0.0.1:0")
			g.Expect(err).NotTo(HaveOccurred())
			defer func() { _ = l.Close() }()
			go func() {
				c, err := l.Accept()
				if err != nil {
					return
				}
				defer func() { _ = c.Close() }()
				for text := first; err == nil; text = "a" {
					_, err = io.WriteString(c, text)
					time.Sleep(200 * time.Millisecond)
				}
			}()
			begun := time.Now()
			_, err = (&client.Client{Address: l.Addr().String()}).Status()
			g.Expect(err).To(HaveOccurred())
			g.Expect(time.Since(begun)).To(BeNumerically("<", 16*time.Second), "the time limit of a command")
		})
	}
}
