package relay_test

import (
	"io"
	"net"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

func TestStreamIsPassedOnAsItComes(t *testing.T) {
	up := startUpstream(t, "u", func(_ int, r *received, c net.Conn) bool {
		_, _ = io.WriteString(c, streamHead(r)+chunk(event(1)+event(2)[:4]))
		time.Sleep(100 * time.Millisecond)
		_, err := io.WriteString(c, chunk(event(2)[4:])+"0\r\n\r\n")
		return err == nil
	})
	c := start(t, up).caller()
	r := c.call("POST", "/brief/", "1", "x")
	Expect(r.err).NotTo(HaveOccurred())
	Expect(r.body).To(Equal(event(1) + event(2)))
	Expect(c.call("POST", "/brief/", "2", "x").body).To(Equal(event(1)+event(2)), "the connections stay open")
	Expect(up.hangUps()).To(BeZero())
}

// Guards against losing or duplicating events when an upstream breaks off in the middle of an
// event: a resumable stream continues at another upstream after the last complete event, within the
// same response.
func TestBrokenStreamGoesOnElsewhere(t *testing.T) {
	script := func(_ int, r *received, c net.Conn) bool {
		if r.header.Get("X-Last") == "2" {
			return events(c, r, 2, 4, true) // repeats the event that the caller has
		}
		events(c, r, 1, 2, false)
		_, _ = io.WriteString(c, "9\r\nid: 3\ndat")
		return false
	}
	a, b := startUpstream(t, "a", script), startUpstream(t, "b", script)
	r := start(t, a, b).caller().call("POST", "/stream/", "1", "x")
	Expect(r.err).NotTo(HaveOccurred())
	Expect(r.body).To(Equal(event(1) + event(2) + event(3) + event(4)))
	Expect(a.requests()).To(HaveLen(1))
	Expect(b.requests()).To(HaveLen(1))
}

// Guards against resuming a broken stream at more upstreams than its route allows when each of them
// fails the resumed request: each has run it, and that would add load during a failure.
func TestFailedResumptionsCountAsAttempts(t *testing.T) {
	script := func(_ int, r *received, c net.Conn) bool {
		if r.header.Get("X-Last") != "" {
			return whole(c, r, 500, "no")
		}
		return events(c, r, 1, 2, false)
	}
	var ups []*fakeUpstream
	for _, id := range []string{"a", "b", "c", "d", "e"} {
		ups = append(ups, startUpstream(t, id, script))
	}
	r := start(t, ups...).caller().call("POST", "/stream/", "1", "x")
	Expect(r.err).To(HaveOccurred())
	sent := 0
	for _, u := range ups {
		sent += len(u.requests())
	}
	Expect(sent).To(Equal(2), "the route allows two attempts")
}

// Guards against a stream that must not be resumed and breaks off: its caller must see that it is
// incomplete, and no other upstream may run it.
func TestBrokenStreamThatMayNotGoOnIsCut(t *testing.T) {
	script := func(_ int, r *received, c net.Conn) bool { return events(c, r, 1, 2, false) }
	a, b := startUpstream(t, "a", script), startUpstream(t, "b", script)
	r := start(t, a, b).caller().call("POST", "/brief/", "1", "x")
	Expect(r.err).To(HaveOccurred())
	Expect(len(a.requests()) + len(b.requests())).To(Equal(1))
}

// Guards against a stream that an upstream ends regularly but in the middle of an event: forwarded,
// it would look complete to its caller and lack an event.
func TestStreamThatEndsInsideAnEventIsNotWhole(t *testing.T) {
	up := startUpstream(t, "u", func(_ int, r *received, c net.Conn) bool {
		_, err := io.WriteString(c, streamHead(r)+chunk(event(1)+event(2)[:4])+"0\r\n\r\n")
		return err == nil
	})
	r := start(t, up).caller().call("POST", "/brief/", "1", "x")
	Expect(r.err).To(HaveOccurred())
}

// Guards against a stream that breaks before its first event and is not restarted: one that may be
// repeated starts over with the head of the other upstream, one that may not ends as unknown.
func TestStreamThatBreaksBeforeItsFirstEvent(t *testing.T) {
	script := func(n int, r *received, c net.Conn) bool {
		if r.header.Get("X-Expect") == "a" {
			_, _ = io.WriteString(c, streamHead(r))
			return false
		}
		return events(c, r, 1, 2, true)
	}
	a, b := startUpstream(t, "a", script), startUpstream(t, "b", script)
	relay := start(t, a, b)
	for len(a.requests()) == 0 {
		r := relay.caller().call("POST", "/stream/", "1", "x")
		Expect(r.body).To(Equal(event(1) + event(2)))
	}
}

// Guards against waiting for the deadline when an upstream stops sending in the middle of a stream
// without closing the connection: the stream continues elsewhere.
func TestSilentStreamGoesOnElsewhere(t *testing.T) {
	script := func(_ int, r *received, c net.Conn) bool {
		if r.header.Get("X-Last") != "" {
			return events(c, r, 3, 4, true)
		}
		events(c, r, 1, 2, false)
		time.Sleep(2 * requestTimeout)
		return false
	}
	a, b := startUpstream(t, "a", script), startUpstream(t, "b", script)
	relay := start(t, a, b)
	c := relay.caller()
	c.send("POST /stream/ HTTP/1.1\r\nHost: h\r\nX-Id: 1\r\nX-Key: k\r\nX-Left: 60000\r\nContent-Length: 1\r\n\r\nx")
	r := c.receive()
	Expect(r.body).To(HavePrefix(event(1) + event(2)))
}
