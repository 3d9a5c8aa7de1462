package client_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/comfreyladder/comfreyladder/core/fault"
	"github.com/comfreyladder/comfreyladder/operator/client"
)

// statusOf returns the error of a command whose request is answered with a text. If reset is set, the
// connection is reset after it.
func statusOf(t *testing.T, text string, reset bool) error {
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
		if _, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
			_, _ = io.WriteString(c, text)
		}
		if reset {
			_ = c.(*net.TCPConn).SetLinger(0)
		}
	}()
	_, err = (&client.Client{Address: l.Addr().String()}).Status()
	return err
}

// Guards against a command that takes an answer with a malformed head for a success, or for what the instance
// did not say.
func TestMalformedAnswersAreRejected(t *testing.T) {
	g := NewWithT(t)
	const whole = "Content-Length: 2\r\n\r\n{}"
	for _, head := range []string{"HTTP/1.1 200 OK\r\n", "HTTP/1.1 100 X\r\nA: b\r\n\r\nHTTP/1.1 200 OK\r\n"} {
		g.Expect(statusOf(t, head+whole, false)).To(Succeed(), head)
	}
	for _, head := range []string{
		"HTTP/1.1 000 X\r\n", "HTTP/1.1 000\r\n", "HTTP/1.1 001 X\r\n\r\nHTTP/1.1 200 OK\r\n", "HTTP/1.1 099 X\r\n\r\nHTTP/1.1 200 OK\r\n",
		"HTTP/1.1 2000 OK\r\n", "HTTP/1.1 200 OK\r\nA B: c\r\n", "HTTP/1.1 200 OK\r\nA : c\r\n", "HTTP/1.1 200 OK\r\n A: c\r\n",
		"HTTP/1.1 200 OK\r\nA\tB: c\r\n", "HTTP/1.1 200 OK\r\nA\x01: c\r\n", "HTTP/1.1 200 OK\r\nA: b\r\n c\r\n", "HTTP/1.1 200 OK\r\nA\r\n",
		"HTTP/1.1 103 X\r\nA B: c\r\n\r\nHTTP/1.1 200 OK\r\n",
	} {
		if err := statusOf(t, head+whole, false); fault.CodeOf(err) != fault.Unavailable {
			t.Errorf("%q: %v", head, err)
		}
	}
}

// Guards against a command that takes a part of an answer without a length for the whole.
func TestResetAnswersAreRejected(t *testing.T) {
	g := NewWithT(t)
	g.Expect(statusOf(t, "HTTP/1.1 200 OK\r\n\r\n{}", false)).To(Succeed())
	for range 50 {
		g.Expect(fault.CodeOf(statusOf(t, "HTTP/1.1 200 OK\r\n\r\n{}", true))).To(Equal(fault.Unavailable))
	}
}

// Guards against a command that takes an answer for a success though the connection was closed inside its head.
func TestCutHeadsAreRejected(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
	for n := range len(head) {
		for _, reset := range []bool{false, true} {
			if err := statusOf(t, head[:n], reset); fault.CodeOf(err) != fault.Unavailable {
				t.Errorf("%q: %v", head[:n], err)
			}
		}
	}
}
