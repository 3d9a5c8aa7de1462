package relay_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
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

// startUploads returns an upstream whose connections are served by answer, which gets the head of a request
// with its body unread.
func startUploads(t *testing.T, id string, answer func(c net.Conn, body io.Reader, id string)) *fakeUpstream {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = c.Close() }()
				req, err := http.ReadRequest(bufio.NewReaderSize(c, 512))
				if err == nil {
					answer(c, req.Body, req.Header.Get("X-Id"))
				}
			}()
		}
	}()
	return &fakeUpstream{id: id, listener: l}
}

// upload is the body of a request that does not fit into the buffers of a connection.
var upload = strings.Repeat("u", 4<<20)

// uploads sends requests with long bodies, some at the same time, and returns the responses.
func (b *relayTest) uploads(path string, n int) (replies []reply) {
	var mu sync.Mutex
	var all sync.WaitGroup
	for from := range uploadCallers {
		all.Go(func() {
			for i := from; i < n; i += uploadCallers {
				r := b.caller().call("POST", path, fmt.Sprint("u", i), upload)
				mu.Lock()
				replies = append(replies, r)
				mu.Unlock()
			}
		})
	}
	all.Wait()
	return replies
}

// uploadCallers is how many long bodies the budget of bodyLimit bears at the same time.
const uploadCallers = 4

// Guards against a response without a length that is taken for complete when its upstream reset the
// connection while the request was still being sent: the kernel may report the reset to the writer only.
func TestResponseThatIsResetDuringTheUploadIsNotComplete(t *testing.T) {
	const part, requests = 64 << 10, 200
	for _, path := range []string{"/once/", "/stream/"} {
		t.Run(path, func(t *testing.T) {
			up := startUploads(t, "u", func(c net.Conn, body io.Reader, id string) {
				_, _ = io.WriteString(c, closeHead(id)+strings.Repeat(event(1), part/len(event(1))))
				_, _ = io.CopyN(io.Discard, body, int64(len(upload)/2))
				reset(c)
			})
			complete := 0
			b := start(t, up)
			for _, r := range b.uploads(path, requests) {
				if r.err == nil && r.status == 200 {
					complete++
				}
			}
			Expect(complete).To(BeZero(), "of %d", requests)
		})
	}
}

// Guards against a complete response that is dropped because its upstream closed the connection in order
// while the request was still being sent.
func TestResponseThatEndsDuringTheUploadIsForwarded(t *testing.T) {
	const requests = 40
	answer := strings.Repeat("a", 100<<10)
	up := startUploads(t, "u", func(c net.Conn, body io.Reader, id string) {
		_, _ = io.WriteString(c, closeHead(id)+answer)
		_ = c.(*net.TCPConn).CloseWrite()
		_, _ = io.Copy(io.Discard, body)
	})
	b := start(t, up)
	for _, r := range b.uploads("/once/", requests) {
		Expect(r.err).NotTo(HaveOccurred())
		Expect(r.status).To(Equal(200))
		Expect(r.body == answer).To(BeTrue())
	}
}
