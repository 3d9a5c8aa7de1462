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

// dripInterval is the time between two bytes of what an upstream sends byte by byte.
const dripInterval = 20 * time.Millisecond

// flood writes a text and then another one until the connection is closed, and returns how many bytes
// it wrote.
func flood(c net.Conn, first, again string, pause time.Duration) (sent int) {
	_, _ = io.WriteString(c, first)
	for begun := time.Now(); time.Since(begun) < 2*requestTimeout; time.Sleep(pause) {
		n, err := io.WriteString(c, again)
		if sent += n; err != nil {
			break
		}
	}
	return sent
}

// answerHead is the head of a response in chunks that is no stream.
func answerHead(r *received) string {
	return "HTTP/1.1 200 OK\r\nX-Id: " + r.header.Get("X-Id") + "\r\nX-Seal: s\r\nTransfer-Encoding: chunked\r\n\r\n"
}

// Guards against an upstream that sends heads, or lines of chunks, without end: the request is repeated
// elsewhere if it may run again, and otherwise its outcome is unknown. Its caller is told early.
func TestHeadsWithoutEndAreCutOff(t *testing.T) {
	late := "HTTP/1.1 200 OK\r\nX-Id: other\r\nX-Seal: s\r\nContent-Length: 4\r\n\r\nlate"
	for _, c := range []struct {
		of, first, again string
		pause            time.Duration
	}{
		{of: "interim", again: "HTTP/1.1 103 X\r\nLink: a\r\n\r\n"}, {of: "head", again: "HTTP/1.1 103 X\r\nLink: " + strings.Repeat("a", 16<<10) + "\r\n\r\n"},
		{of: "interim", again: late}, {of: "head", again: "\r\n"}, {of: "head", again: "HTTP/1.1 200 OK\r\nA: " + strings.Repeat("a", 100<<10)},
		{first: "chunk", again: ";"}, {of: "chunk", first: "chunk", again: ";", pause: dripInterval},
	} {
		t.Run(fmt.Sprintf("%.20q", c.first+c.again), func(t *testing.T) {
			sent := make(chan int, 2)
			sick := startUpstream(t, "sick", func(_ int, r *received, nc net.Conn) bool {
				first := c.first
				if first != "" {
					first = answerHead(r) + "5"
				}
				sent <- flood(nc, first, c.again, c.pause)
				return false
			})
			b := start(t, sick)
			r := b.caller().call("POST", "/once/", "1", "x")
			if c.pause == 0 {
				Expect(r.took).To(BeNumerically("<", time.Second))
				Expect(r.status).To(Equal(502), "the outcome is unknown")
				Expect(<-sent).To(BeNumerically("<", 12<<20))
			}
			Expect(r.status).NotTo(Or(Equal(503), Equal(200)))
			Expect(sick.requests()).To(HaveLen(1))
			well := startUpstream(t, "well", echo)
			b = start(t, sick, well)
			for n := len(sick.requests()); len(sick.requests()) == n; {
				r = b.caller().call("GET", "/idem/", "2", "")
				Expect(r.status).To(Equal(200))
				Expect(r.took).To(BeNumerically("<", 1300*time.Millisecond))
			}
			if c.of != "" {
				Eventually(b.log.String, time.Second).Should(ContainSubstring("answer_without_end"))
				Eventually(b.log.String, time.Second).Should(ContainSubstring(c.of))
			}
			Expect(b.log.String()).NotTo(ContainSubstring("Link"))
		})
	}
}

// Guards against a whole body that is held back or lost because its trailers do not end, and against a
// connection that is used again in the middle of them.
func TestBodyIsWholeBeforeItsTrailers(t *testing.T) {
	for _, path := range []string{"/once/", "/brief/"} {
		for _, pause := range []time.Duration{0, dripInterval} {
			up := startUpstream(t, "u", func(_ int, r *received, c net.Conn) bool {
				flood(c, answerHead(r)+chunk(event(1))+"0\r\n", "T: u\r\n", pause)
				return false
			})
			b := start(t, up)
			c := b.caller()
			for i := range 2 {
				r := c.call("POST", path, fmt.Sprint(i), "x")
				Expect(r.err).NotTo(HaveOccurred())
				Expect(r.body).To(Equal(event(1)))
				Expect(r.took).To(BeNumerically("<", time.Second))
			}
			Expect(up.connections()).To(Equal(2))
			Eventually(b.log.String, time.Second).Should(ContainSubstring("answer_without_end"))
		}
	}
}

// Guards against a stream that is held because an event, a line, comments or empty lines do not end: it
// goes on elsewhere, or breaks off, and is not told as whole.
func TestEventsWithoutEndAreCutOff(t *testing.T) {
	for _, again := range []string{"data: x\n", strings.Repeat("x", 4000), ": c\n\n" + strings.Repeat("\n", 1000), "\r\n"} {
		for _, path := range []string{"/stream/", "/brief/"} {
			sent := make(chan int, 4)
			script := func(_ int, r *received, c net.Conn) bool {
				if r.header.Get("X-Last") != "" {
					return events(c, r, 2, 4, true)
				}
				sent <- flood(c, streamHead(r)+chunk(event(1)), chunk(again), 0)
				return false
			}
			a, b := startUpstream(t, "a", script), startUpstream(t, "b", script)
			relay := startWith(t, 100<<10, a, b)
			r := relay.caller().call("POST", path, "1", "x")
			Expect(r.took).To(BeNumerically("<", time.Second))
			Expect(<-sent).To(BeNumerically("<", 12<<20))
			Expect(r.body).To(HavePrefix(event(1)))
			if path == "/brief/" {
				Expect(r.err).To(HaveOccurred())
				continue
			}
			Expect(r.err).NotTo(HaveOccurred())
			Expect(r.body).To(HaveSuffix(event(2) + event(3) + event(4)))
			Expect(len(a.requests()) + len(b.requests())).To(Equal(2))
			Eventually(relay.log.String, time.Second).Should(ContainSubstring(`answer_without_end`))
		}
	}
}

// Guards against bytes of an event that does not end, which look like progress.
func TestStreamWithoutProgressGoesOnElsewhere(t *testing.T) {
	script := func(_ int, r *received, c net.Conn) bool {
		if r.header.Get("X-Last") != "" {
			return events(c, r, 2, 4, true)
		}
		flood(c, streamHead(r)+chunk(event(1)), chunk("x"), dripInterval)
		return false
	}
	a, b := startUpstream(t, "a", script), startUpstream(t, "b", script)
	relay := start(t, a, b)
	relay.setTimeouts(3 * requestTimeout)
	c := relay.caller()
	c.send(withLongTimeout(message("POST", "/stream/", "1", "x")))
	r := c.receive()
	Expect(r.err).NotTo(HaveOccurred())
	Expect(r.body).To(Equal(event(1) + event(2) + event(3) + event(4)))
	Expect(r.took).To(BeNumerically("<", 3*time.Second))
}
