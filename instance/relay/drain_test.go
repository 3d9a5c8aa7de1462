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

// An instance drains while callers go on: each gets its answer, the connection ends
// with it, and the balancer sees at once that the instance isn't ready.
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
	Expect(err).To(MatchError(io.EOF), "an idle connection ends in order")
}

// Idle connections are closed at the end of a drain while their callers go on to
// send. A request that was read must be answered; one that crosses the close may be
// sent again elsewhere, and nothing of it may have run.
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

// A caller connects while the balancer still sends callers here, and its request comes a
// moment after the end of that time, as on a machine that is busy. It had no answer and
// could not know whether to send again: its connection was closed as an idle one.
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

// A stream arrives at the end of a drain, as happens when too few other instances
// are ready. It would be cut off when the process ends: the caller is told at once
// that it did not run. Short requests are still served.
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

// One long answer keeps a draining process alive to the end of its time, and a short
// request comes in the last moment. It must be told to go elsewhere: taken, it would
// be cut off when the process ends.
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
	b.patient(5 * time.Second)
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
