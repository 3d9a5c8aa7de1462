package relay_test

import (
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// closeHead is the head of a response that ends with its connection.
func closeHead(id string) string {
	return "HTTP/1.1 200 OK\r\nX-Id: " + id + "\r\nX-Seal: s\r\n\r\n"
}

// reset ends a connection without an orderly close.
func reset(c net.Conn) {
	_ = c.(*net.TCPConn).SetLinger(0)
	_ = c.Close()
}

// Guards against a response without a length that is taken for complete after its upstream reset the
// connection: the kernel reports a reset once.
func TestResponseWithoutLengthThatIsResetIsNotComplete(t *testing.T) {
	up := startUpstream(t, "u", func(n int, r *received, c net.Conn) bool {
		_, _ = io.WriteString(c, closeHead(r.header.Get("X-Id"))+strings.Repeat("a", 70<<10+n*7<<10))
		time.Sleep(time.Duration(n%4) * time.Millisecond)
		reset(c)
		return false
	})
	b := start(t, up)
	for i := range 80 {
		r := b.caller().call("GET", "/open/", fmt.Sprint(i), "")
		Expect(r.err != nil || r.status == 502).To(BeTrue(), "%d: status %d, %d bytes", i, r.status, len(r.body))
	}
}
