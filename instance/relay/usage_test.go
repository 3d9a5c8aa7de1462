package relay_test

import (
	"fmt"
	"net"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// Guards against billing an organisation twice for a request that begins at one upstream, breaks
// off and is resumed at another one.
func TestResumedRequestIsCountedOnce(t *testing.T) {
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
	Expect(broken.counted()).To(Equal(int64(1)), "it began, although no upstream could complete it")
}

// Guards against billing twice for an idempotent request that fails at one upstream and is repeated
// at another one.
func TestRepeatedRequestIsCountedOnce(t *testing.T) {
	fails := func(_ int, r *received, c net.Conn) bool { return whole(c, r, 500, "") }
	b := start(t, startUpstream(t, "u", fails), startUpstream(t, "v", fails))
	Expect(b.caller().call("GET", "/idem/x", "a", "").status).To(Equal(500))
	Expect(b.counted()).To(Equal(int64(1)))
}

// Guards against billing requests that did not run: an upstream refused it, or a stream broke
// before its first event.
func TestRequestThatDidNotRunIsNotCounted(t *testing.T) {
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

// Guards against billing twice for a stream whose upstream crashes before its first event and that
// another one runs.
func TestStreamRestartedElsewhereIsCountedOnce(t *testing.T) {
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

// Guards against not billing a stream whose response is lost before its first event while its
// upstream stays alive: it probably ran.
func TestStreamWithLostResponseIsCounted(t *testing.T) {
	lost := func(int, *received, net.Conn) bool { return false }
	b := start(t, startUpstream(t, "u", lost))
	b.caller().call("POST", "/brief/x", "a", "")
	Eventually(b.counted, 2*time.Second).Should(Equal(int64(1)))
	Consistently(b.counted, 300*time.Millisecond).Should(Equal(int64(1)))
}

// Guards against not billing a request that must not be repeated and whose response is lost: it may
// have run.
func TestUnknownOutcomeIsCounted(t *testing.T) {
	lost := func(int, *received, net.Conn) bool { return false }
	b := start(t, startUpstream(t, "u", lost))
	Expect(b.caller().call("POST", "/once/x", "a", "").status).To(Equal(502))
	Expect(b.counted()).To(Equal(int64(1)))
}

// Guards against billing a request in the window in which its loss is detected: the upstream stops
// answering, and the loss shows much later, in the next window. The request counts in the window in
// which it began to run.
func TestLateLossIsCountedWhenRequestBegan(t *testing.T) {
	const silence = 700 * time.Millisecond
	silent := func(int, *received, net.Conn) bool { time.Sleep(silence); return false }
	for _, path := range []string{"/brief/x", "/once/x"} {
		b := start(t, startUpstream(t, "u", silent))
		b.caller().call("POST", path, "a", "")
		Eventually(b.counted, 2*time.Second).Should(Equal(int64(1)))
		Expect(time.Duration(b.ago.Load())).To(BeNumerically("~", silence, 450*time.Millisecond), path)
	}
}

// Guards against not billing requests whose response was lost and whose callers hang up while they
// wait for it.
func TestCallerWhoHangsUpAfterLostResponseIsCounted(t *testing.T) {
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
