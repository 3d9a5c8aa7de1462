package relay_test

import (
	"fmt"
	"net"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// An organisation is billed for a request that begins at one upstream, breaks off and goes
// on at another one. It asked once.
func TestARequestThatGoesOnElsewhereIsCountedOnce(t *testing.T) {
	breaks := func(n int, r *received, c net.Conn) bool { return events(c, r, 1, 3, false) }
	goesOn := func(n int, r *received, c net.Conn) bool {
		if r.header.Get("X-Last") == "" {
			return events(c, r, 1, 3, false)
		}
		return events(c, r, 4, 5, true)
	}
	b := start(t, startUpstream(t, "u", goesOn), startUpstream(t, "v", goesOn))
	Expect(b.caller().call("POST", "/stream/x", "a", "").err).NotTo(HaveOccurred())
	Expect(b.counted()).To(Equal(int64(1)))
	broken := start(t, startUpstream(t, "u", breaks))
	Expect(broken.caller().call("POST", "/stream/x", "a", "").err).To(HaveOccurred())
	Expect(broken.counted()).To(Equal(int64(1)), "it began, though nobody could end it")
}

// An idempotent request fails at one upstream and is repeated at another one.
func TestARepeatedRequestIsCountedOnce(t *testing.T) {
	fails := func(_ int, r *received, c net.Conn) bool { return whole(c, r, 500, "") }
	b := start(t, startUpstream(t, "u", fails), startUpstream(t, "v", fails))
	Expect(b.caller().call("GET", "/idem/x", "a", "").status).To(Equal(500))
	Expect(b.counted()).To(Equal(int64(1)))
}

// What did not run is not billed: an upstream that refused it, or a stream that broke before
// its first event.
func TestWhatDidNotRunIsNotCounted(t *testing.T) {
	refuses := func(_ int, r *received, c net.Conn) bool { return notRun(c, r) }
	b := start(t, startUpstream(t, "u", refuses))
	Expect(b.caller().call("POST", "/once/x", "a", "").status).To(Equal(503))
	Expect(b.counted()).To(BeZero())
	var crashes *fakeUpstream
	crash := func(int, *received, net.Conn) bool { _ = crashes.listener.Close(); return false }
	crashes = startUpstream(t, "u", crash)
	b = start(t, crashes)
	b.caller().call("POST", "/brief/x", "a", "")
	Consistently(b.counted, 500*time.Millisecond).Should(BeZero())
}

// A stream's upstream crashes before its first event, and another one runs it.
func TestAStreamThatBeginsElsewhereIsCountedOnce(t *testing.T) {
	ups := make([]*fakeUpstream, 2)
	var first atomic.Bool
	script := func(i int) func(int, *received, net.Conn) bool {
		return func(_ int, r *received, c net.Conn) bool {
			if !first.Swap(true) {
				_ = ups[i].listener.Close()
				return false
			}
			return events(c, r, 1, 2, true)
		}
	}
	for i := range ups {
		ups[i] = startUpstream(t, fmt.Sprint("u", i), script(i))
	}
	b := start(t, ups...)
	Expect(b.caller().call("POST", "/stream/x", "a", "").err).NotTo(HaveOccurred())
	Consistently(b.counted, 500*time.Millisecond).Should(Equal(int64(1)))
}

// The answer of a stream is lost before its first event, and the upstream is there as before.
// It has run the request, as far as can be told.
func TestAStreamWhoseAnswerIsLostIsCounted(t *testing.T) {
	lost := func(int, *received, net.Conn) bool { return false }
	b := start(t, startUpstream(t, "u", lost))
	b.caller().call("POST", "/brief/x", "a", "")
	Eventually(b.counted, 2*time.Second).Should(Equal(int64(1)))
	Consistently(b.counted, 300*time.Millisecond).Should(Equal(int64(1)))
}

// The answer of a request that may not be repeated is lost. It has run as far as anybody can
// tell, and is billed.
func TestAnUnknownOutcomeIsCounted(t *testing.T) {
	lost := func(int, *received, net.Conn) bool { return false }
	b := start(t, startUpstream(t, "u", lost))
	Expect(b.caller().call("POST", "/once/x", "a", "").status).To(Equal(502))
	Expect(b.counted()).To(Equal(int64(1)))
}

// An upstream takes a request and is silent; the loss shows much later, in the next window.
// The organisation is billed in the window in which the request began to run.
func TestALateLossIsCountedWhenTheRequestBegan(t *testing.T) {
	const silence = 700 * time.Millisecond
	silent := func(int, *received, net.Conn) bool { time.Sleep(silence); return false }
	for _, path := range []string{"/brief/x", "/once/x"} {
		b := start(t, startUpstream(t, "u", silent))
		b.caller().call("POST", path, "a", "")
		Eventually(b.counted, 2*time.Second).Should(Equal(int64(1)))
		Expect(time.Duration(b.ago.Load())).To(BeNumerically("~", silence, 450*time.Millisecond), path)
	}
}

// Answers are lost, and callers leave who wait for what will not come. Their requests ran, and
// are billed.
func TestACallerWhoLeavesALostAnswerIsCounted(t *testing.T) {
	silent := func(_ int, r *received, _ net.Conn) bool { time.Sleep(3 * time.Second); return false }
	for _, path := range []string{"/brief/x", "/once/x"} {
		b := start(t, startUpstream(t, "u", silent))
		c := b.caller()
		c.send(message("POST", path, "a", ""))
		time.Sleep(500 * time.Millisecond)
		_ = c.Close()
		Eventually(b.counted, 2*time.Second).Should(Equal(int64(1)), path)
		Consistently(b.counted, 300*time.Millisecond).Should(Equal(int64(1)), path)
	}
}
