package relay_test

import (
	"fmt"
	"io"
	"net"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"golang.org/x/sys/unix"
)

// silence is for how long an upstream's host answers nothing, not even probes: "a second or so" with
// half of that to spare.
const silence = 1500 * time.Millisecond

// mute drops all that arrives on a connection for a time, as if its host stood still.
func mute(t *testing.T, c net.Conn, span time.Duration) {
	t.Helper()
	raw, err := c.(*net.TCPConn).SyscallConn()
	if err != nil {
		t.Error(err)
		return
	}
	drop := unix.SockFilter{Code: unix.BPF_RET | unix.BPF_K}
	set := func(f func(fd int) error) {
		if err := raw.Control(func(fd uintptr) { err = f(int(fd)) }); err != nil {
			t.Error(err)
		}
	}
	set(func(fd int) error {
		return unix.SetsockoptSockFprog(fd, unix.SOL_SOCKET, unix.SO_ATTACH_FILTER, &unix.SockFprog{Len: 1, Filter: &drop})
	})
	begun := time.Now()
	time.Sleep(span)
	set(func(fd int) error { return unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_DETACH_FILTER, 0) })
	if lasted := time.Since(begun); lasted > span+100*time.Millisecond {
		t.Logf("silent for %s, %s wanted", lasted, span)
	}
}

// Guards against a stream that is cut off because its upstream does not answer keep-alive probes for a
// second, whenever that second begins.
func TestStreamOutlivesASilentSecond(t *testing.T) {
	up := startUpstream(t, "a", func(_ int, r *received, c net.Conn) bool {
		begin, _ := time.ParseDuration(r.body)
		events(c, r, 1, 1, false)
		time.Sleep(begin)
		mute(t, c, silence)
		time.Sleep(2*time.Second - begin)
		_, err := io.WriteString(c, chunk(event(2))+"0\r\n\r\n")
		return err == nil
	})
	b := start(t, up)
	b.setTimeouts(4 * requestTimeout)
	begins := []string{"0s", "500ms", "900ms", "1400ms", "1900ms"}
	answers := make([]reply, len(begins))
	var all sync.WaitGroup
	for i, begin := range begins {
		c := b.caller()
		all.Go(func() {
			c.send(fmt.Sprintf("POST /brief/x HTTP/1.1\r\nHost: h\r\nX-Id: r%d\r\nX-Key: k\r\nX-Left: 8000\r\nContent-Length: %d\r\n\r\n%s", i, len(begin), begin))
			answers[i] = c.receive()
		})
	}
	all.Wait()
	for i, a := range answers {
		Expect(a.err).NotTo(HaveOccurred(), "silent from %s on", begins[i])
		Expect(a.body).To(Equal(event(1)+event(2)), "silent from %s on", begins[i])
	}
}

// Guards against a request whose outcome becomes unknown because its upstream acknowledges nothing for a
// second.
func TestRequestOutlivesASilentSecond(t *testing.T) {
	up := startUpstream(t, "a", func(n int, r *received, c net.Conn) bool {
		if n == 1 {
			whole(c, r, 200, "first")
			mute(t, c, silence+200*time.Millisecond)
			return true
		}
		return whole(c, r, 200, "second")
	})
	b := start(t, up)
	b.setTimeouts(4 * requestTimeout)
	c := b.caller()
	Expect(c.call("POST", "/once/x", "r1", "x").status).To(Equal(200))
	time.Sleep(100 * time.Millisecond)
	c.send("POST /once/x HTTP/1.1\r\nHost: h\r\nX-Id: r2\r\nX-Key: k\r\nX-Left: 8000\r\nContent-Length: 1\r\n\r\nx")
	Expect(c.receive().body).To(Equal("second"))
}
