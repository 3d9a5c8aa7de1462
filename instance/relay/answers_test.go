package relay_test

import (
	"fmt"
	"io"
	"net"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// answerLimit is the budget for held responses in bytes.
const answerLimit = 2 << 20

// longAnswer is a response that is held whole if the budget allows it.
var longAnswer = strings.Repeat("a", 500<<10)

// tooLong is a response that is never held whole.
var tooLong = strings.Repeat("a", 600<<10)

// sendLong answers a request with longAnswer, without a copy of it.
func sendLong(c net.Conn, r *received) bool {
	_, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nX-Id: %s\r\nX-Seal: s\r\nContent-Length: %d\r\n\r\n", r.header.Get("X-Id"), len(longAnswer))
	if err == nil {
		_, err = io.WriteString(c, longAnswer)
	}
	return err == nil
}

// pipelined sends several requests at once, whose responses exceed what the kernel buffers.
func (c *caller) pipelined(n int) {
	for i := range n {
		c.send(withLongTimeout(message("GET", "/idem/", fmt.Sprint(i), "")))
	}
}

func heapBytes() uint64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// Guards against a process that is killed for its memory use because many callers read slowly or
// not at all, each of which makes it hold a long response. Once they read, every response is whole.
func TestHeldResponsesAreBounded(t *testing.T) {
	up := startUpstream(t, "u", func(_ int, r *received, c net.Conn) bool { return sendLong(c, r) })
	b := start(t, up)
	b.setTimeouts(time.Minute)
	before := heapBytes()
	const callers, each = 24, 10
	var all []*caller
	for range callers {
		c := b.caller()
		c.pipelined(each)
		all = append(all, c)
	}
	time.Sleep(time.Second)
	// Connections have read buffers, also those of the test.
	Expect(heapBytes() - before).To(BeNumerically("<", answerLimit+callers*100<<10))
	var got atomic.Int64
	var reading sync.WaitGroup
	for _, c := range all {
		reading.Go(func() {
			for range each {
				got.Add(int64(len(c.receive().body)))
			}
		})
	}
	reading.Wait()
	Expect(got.Load()).To(Equal(int64(callers * each * len(longAnswer))))
	var text strings.Builder
	b.set.WritePrometheus(&text)
	Expect(text.String()).To(ContainSubstring("relay_held_bytes{of=\"responses\"} 0\n"))
}

// Guards against cutting off a caller that reads slowly: it makes progress all the time, and needs
// longer for a response than a caller that does not read is waited for.
func TestSlowCallerGetsTheWholeResponse(t *testing.T) {
	up := startUpstream(t, "u", func(_ int, r *received, c net.Conn) bool { return sendLong(c, r) })
	b := start(t, up)
	b.setTimeouts(time.Minute)
	c := b.caller()
	// The kernel announces free space of a large buffer only after seconds at this rate.
	Expect(c.Conn.(*net.TCPConn).SetReadBuffer(64 << 10)).To(Succeed())
	const requests = 16
	c.pipelined(requests)
	const (
		rate  = 50 << 10 // bytes in a second
		steps = 20
	)
	begun := time.Now()
	piece := make([]byte, rate/steps)
	read := 0
	for time.Since(begun) < 8*time.Second {
		n, err := io.ReadFull(c.in, piece)
		Expect(err).NotTo(HaveOccurred())
		read += n
		time.Sleep(time.Second / steps)
	}
	_ = c.SetReadDeadline(time.Now().Add(20 * time.Second))
	rest, _ := io.Copy(io.Discard, io.LimitReader(c.in, int64(requests*len(longAnswer)-read)))
	Expect(read + int(rest)).To(Equal(requests * len(longAnswer)))
}

// Guards against an upstream that sends an event without an end, and against losing a long event:
// it is forwarded as it arrives once it exceeds what may be held, and the stream ends properly.
func TestEventTooLongToHoldIsForwardedAsItArrives(t *testing.T) {
	seen := make(chan struct{})
	long := "id: 1\ndata: " + strings.Repeat("e", 1<<20)
	up := startUpstream(t, "u", func(_ int, r *received, c net.Conn) bool {
		_, _ = io.WriteString(c, streamHead(r)+chunk(long))
		<-seen
		_, err := io.WriteString(c, chunk("\n")+chunk("\n")+chunk(event(2))+"0\r\n\r\n")
		return err == nil
	})
	b := start(t, up)
	b.setTimeouts(time.Minute)
	c := b.caller()
	c.send(withLongTimeout(message("POST", "/stream/", "1", "x")))
	_ = c.SetReadDeadline(time.Now().Add(2 * requestTimeout))
	_, err := c.in.Peek(1)
	Expect(err).NotTo(HaveOccurred(), "nothing arrives before the end of the event")
	close(seen)
	r := c.receive()
	Expect(r.err).NotTo(HaveOccurred())
	Expect(r.body == long+"\n\n"+event(2)).To(BeTrue())
}

// Guards against continuing a stream elsewhere after a part of an event was forwarded, and against
// a regular end of a stream inside such an event: both must look broken.
func TestStreamThatBreaksInsideALongEventIsCut(t *testing.T) {
	for _, end := range []string{"", "0\r\n\r\n"} {
		script := func(_ int, r *received, c net.Conn) bool {
			_, _ = io.WriteString(c, streamHead(r)+chunk(event(1)+"id: 2\ndata: "+strings.Repeat("e", 3<<20))+end)
			return false
		}
		a, b := startUpstream(t, "a", script), startUpstream(t, "b", script)
		// The event is within its limit and exceeds the budget of responses.
		r := startWith(t, 4<<20, a, b).caller().call("POST", "/stream/", "1", "x")
		Expect(r.err).To(HaveOccurred())
		Expect(len(a.requests()) + len(b.requests())).To(Equal(1))
	}
}

// Guards against forwarding a status that promises "not run", without the upstream's proof, because
// the response is too long to be held.
func TestLongResponsePromisesNothingWithoutProof(t *testing.T) {
	up := startUpstream(t, "u", func(_ int, r *received, c net.Conn) bool { return whole(c, r, 503, tooLong) })
	r := start(t, up).caller().call("POST", "/once/", "1", "x")
	Expect(r.err).NotTo(HaveOccurred())
	Expect(r.status).To(Equal(502))
}

// Guards against forwarding a failure of an upstream while another one would serve the request,
// because the response is too long to be held.
func TestLongFailureIsRepeatedElsewhere(t *testing.T) {
	script := func(_ int, r *received, c net.Conn) bool { return whole(c, r, 500, tooLong) }
	failing, other := startUpstream(t, "failing", script), startUpstream(t, "other", echo)
	b := start(t, failing, other)
	for i := 0; len(failing.requests()) == 0; i++ {
		Expect(b.caller().call("GET", "/idem/", fmt.Sprint(i), "").status).To(Equal(200))
	}
}
