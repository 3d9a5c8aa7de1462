package relay_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// Guards against a drain that drops requests while callers keep sending: each gets its response,
// the connection ends with it, and the instance reports immediately that it is not ready.
func TestDrainServesWhatStillComes(t *testing.T) {
	up := startUpstream(t, "u", func(_ int, r *received, c net.Conn) bool {
		time.Sleep(100 * time.Millisecond)
		return whole(c, r, 200, "done")
	})
	b := start(t, up)
	kept, idle := b.caller(), b.caller()
	Expect(kept.call("GET", "/idem/", "1", "").status).To(Equal(200))
	drained := make(chan error, 1)
	go func() { drained <- b.service.Drain(context.Background()) }()
	Eventually(b.service.Ready).Should(BeFalse())
	r := kept.call("GET", "/idem/", "2", "")
	Expect(r.status).To(Equal(200))
	Expect(r.closes).To(BeTrue())
	Expect(b.caller().call("GET", "/idem/", "3", "").status).To(Equal(200))
	Expect(<-drained).To(Succeed())
	_, err := idle.in.ReadByte()
	Expect(err).To(MatchError(io.EOF), "an idle connection is closed regularly")
}

// Guards against requests lost at the end of a drain, when idle connections are closed while their
// callers start to send. A request that was read must be answered; one that crosses the close may
// be sent again elsewhere, so no part of it may have run.
func TestRequestThatCrossesTheEndOfADrainIsAnsweredOrNotRun(t *testing.T) {
	up := startUpstream(t, "u", func(_ int, r *received, c net.Conn) bool {
		time.Sleep(5 * time.Millisecond)
		return whole(c, r, 200, "done")
	})
	b := start(t, up)
	const callers = 40
	answered := make(chan bool, callers)
	for i := range callers {
		c := b.caller()
		go func() {
			time.Sleep(190*time.Millisecond + time.Duration(i)*500*time.Microsecond)
			_, _ = io.WriteString(c, message("POST", "/once/", fmt.Sprint(i), "x"))
			answered <- c.receive().status == 200
		}()
	}
	Expect(b.service.Drain(context.Background())).To(Succeed())
	_ = b.service.Stop(context.Background())
	got := 0
	for range callers {
		if <-answered {
			got++
		}
	}
	Expect(got).To(Equal(len(up.requests())))
}

// Guards against closing a new connection as idle: a caller connects while the balancer still sends
// callers here, and its first request arrives just after that period, as on a busy machine. Without
// a response the caller cannot know whether to retry.
func TestFirstRequestOfANewConnectionIsServedAtTheEndOfADrain(t *testing.T) {
	up := startUpstream(t, "u", echo)
	b := start(t, up)
	drained := make(chan error, 1)
	go func() { drained <- b.service.Drain(context.Background()) }()
	Eventually(b.service.Ready).Should(BeFalse())
	c := b.caller()
	time.Sleep(450 * time.Millisecond)
	r := c.call("POST", "/once/x", "a", "first")
	Expect(r.err).NotTo(HaveOccurred())
	Expect(r.status).To(Equal(200))
	Expect(r.closes).To(BeTrue())
	Expect(<-drained).To(Succeed())
}

// Guards against a stream that arrives at the end of a drain, as happens when too few other
// instances are ready, and is cut off when the process exits. It is refused immediately as not run;
// short requests are still served.
func TestStreamAtTheEndOfADrainIsRefused(t *testing.T) {
	up := startUpstream(t, "u", func(_ int, r *received, c net.Conn) bool {
		if r.header.Get("X-Id") == "long" {
			time.Sleep(time.Second)
		}
		return whole(c, r, 200, "done")
	})
	b := start(t, up)
	long := b.caller()
	long.send(message("POST", "/idem/", "long", "x"))
	Eventually(up.requests).Should(HaveLen(1))
	go func() { _ = b.service.Drain(context.Background()) }()
	time.Sleep(400 * time.Millisecond)
	r := b.caller().call("POST", "/stream/", "1", "x")
	Expect(r.status).To(Equal(503))
	Expect(r.closes).To(BeTrue())
	Expect(b.caller().call("GET", "/idem/", "2", "").status).To(Equal(200))
	Expect(long.receive().status).To(Equal(200))
	Expect(up.requests()).To(HaveLen(2))
}

// Guards against accepting a short request in the last moment of a drain that one long response
// prolongs to its timeout. It would be cut off when the process exits and must be refused.
func TestRequestInTheLastMomentOfADrainIsRefused(t *testing.T) {
	up := startUpstream(t, "u", func(_ int, r *received, c net.Conn) bool {
		time.Sleep(1700 * time.Millisecond)
		return whole(c, r, 200, "done")
	})
	b := start(t, up)
	long := b.caller()
	long.send(message("POST", "/once/", "long", "x"))
	Eventually(up.requests).Should(HaveLen(1))
	go func() { _ = b.service.Drain(context.Background()) }()
	time.Sleep(time.Second)
	r := b.caller().call("GET", "/idem/", "2", "")
	Expect(r.status).To(Equal(503))
	Expect(r.took).To(BeNumerically("<", 200*time.Millisecond))
	Expect(up.requests()).To(HaveLen(1))
}

// Guards against a drain that resets a connection on which a request has begun.
func TestRequestThatIsNotWholeAtTheEndOfADrainIsServedOrNotRun(t *testing.T) {
	up := startUpstream(t, "u", echo)
	b := start(t, up)
	b.setTimeouts(5 * time.Second)
	whole, half := b.caller(), b.caller()
	text := strings.Replace(message("POST", "/idem/", "1", "body"), "X-Left: 1500", "X-Left: 400", 1)
	whole.send(text[:len(text)-2])
	half.send(text[:20])
	drained := make(chan error, 1)
	go func() {
		drained <- b.service.Drain(context.Background())
		_ = b.service.Stop(context.Background())
	}()
	time.Sleep(1400 * time.Millisecond)
	whole.send(text[len(text)-2:])
	r := whole.receive()
	Expect(r.err).NotTo(HaveOccurred())
	Expect(r.status).To(Equal(200))
	Expect(r.closes).To(BeTrue())
	r = half.receive()
	Expect(r.err).NotTo(HaveOccurred())
	Expect(r.status).To(Equal(503))
	Expect(r.header.Get("Retry-After")).NotTo(BeEmpty())
	Expect(r.closes).To(BeTrue())
	Expect(<-drained).To(Succeed())
	Expect(up.requests()).To(HaveLen(1))
}
