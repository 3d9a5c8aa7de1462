package relay_test

import (
	"fmt"
	"net"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// brittleAnswer answers as an upstream that bears a number of rejections per second.
func brittleAnswer(c net.Conn, r *received, status int, tolerated int, more string) bool {
	_, err := fmt.Fprintf(c, "HTTP/1.1 %d X\r\nX-Id: %s\r\nX-Seal: s\r\nX-Brittle: %d\r\n%sContent-Length: 0\r\n\r\n", status, r.header.Get("X-Id"), tolerated, more)
	return err == nil
}

// Guards against an instance that sends on to a brittle upstream which has just rejected a request.
func TestRejectionByABrittleUpstreamIsFollowedByAPause(t *testing.T) {
	var reject atomic.Bool
	up := startUpstream(t, "a", func(_ int, r *received, c net.Conn) bool {
		if reject.Load() {
			return brittleAnswer(c, r, 503, 2, "X-Not-Run: 1\r\n")
		}
		return brittleAnswer(c, r, 200, 2, "")
	})
	b := start(t, up)
	c := b.caller()
	Expect(c.call("POST", "/once/x", "r1", "x").status).To(Equal(200))
	reject.Store(true)
	for i := range 8 {
		a := c.call("POST", "/once/x", fmt.Sprint("s", i), "x")
		Expect(a.status).To(Equal(503))
		Expect(a.header.Get("Retry-After")).NotTo(BeEmpty())
	}
	Expect(len(up.requests())).To(BeNumerically("<=", 3))
	reject.Store(false)
	time.Sleep(600 * time.Millisecond)
	Expect(c.call("POST", "/once/x", "r2", "x").status).To(Equal(200))
}

// Guards against requests in the queue of a brittle upstream, which may have to reject them.
func TestBrittleUpstreamGetsNoMoreThanItsSlots(t *testing.T) {
	var running, most atomic.Int64
	up := startUpstream(t, "a", func(_ int, r *received, c net.Conn) bool {
		n := running.Add(1)
		defer running.Add(-1)
		for m := most.Load(); n > m && !most.CompareAndSwap(m, n); m = most.Load() {
		}
		time.Sleep(100 * time.Millisecond)
		return brittleAnswer(c, r, 200, 2, "")
	})
	b := start(t, up)
	Expect(b.caller().call("POST", "/once/x", "r1", "x").status).To(Equal(200))
	answers := make(chan int, 20)
	for i := range 20 {
		go func() { answers <- b.caller().call("POST", "/once/x", fmt.Sprint("s", i), "x").status }()
	}
	served := 0
	for range 20 {
		if <-answers == 200 {
			served++
		}
	}
	// The upstream has eight slots.
	Expect(most.Load()).To(BeNumerically("<=", 8))
	Expect(served).To(BeNumerically(">=", 8))
}
