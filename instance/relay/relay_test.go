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

// Guards against reused buffers that give a request without a body the body of an earlier one: the
// upstream would run a request that nobody sent, and one caller's data would reach another caller.
func TestReusedBuffersDoNotLeakBody(t *testing.T) {
	up := startUpstream(t, "u", echo)
	c := start(t, up).caller()
	Expect(c.call("POST", "/idem/a", "1", "secret").body).To(Equal("POST secret"))
	for i := range 5 {
		Expect(c.call("GET", "/idem/a", fmt.Sprint(2+i), "").body).To(Equal("GET "))
	}
}

func TestRequestIsForwardedAsItCame(t *testing.T) {
	up := startUpstream(t, "u", echo)
	c := start(t, up).caller()
	c.send("POST /idem/a%20b?q=1 HTTP/1.1\r\nHost: h\r\nX-Id: 7\r\nX-Key: k\r\nX-Org: forged\r\nX-Expect: forged\r\nX-Hold: forged\r\n" +
		"X-Left: 1000\r\nConnection: X-Id, X-Hop\r\nX-Hop: 1\r\nX-Other: o\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n")
	r := c.receive()
	Expect(r.status).To(Equal(200))
	Expect(r.header.Get("X-Seal")).To(Equal("s"))
	got := up.requests()[0]
	Expect(got.target).To(Equal("/idem/a%20b?q=1"))
	Expect(got.body).To(Equal("abc"))
	Expect(got.header["X-Org"]).To(Equal([]string{"org"}))
	Expect(got.header["X-Expect"]).To(Equal([]string{"u"}))
	Expect(got.header.Get("X-Id")).To(Equal("7"), "a caller cannot remove its ID by listing it in Connection")
	Expect(got.header).NotTo(HaveKey("X-Key"))
	Expect(got.header).NotTo(HaveKey("X-Hold"))
	Expect(got.header).NotTo(HaveKey("X-Hop"))
	Expect(got.header.Get("X-Other")).To(Equal("o"))
	Expect(got.header.Get("X-Left")).To(MatchRegexp(`^9\d\d$`))
}

func TestRefusalsSayWhy(t *testing.T) {
	up := startUpstream(t, "u", echo)
	b := start(t, up)
	Expect(b.caller().call("GET", "/none/", "1", "").status).To(Equal(404))
	c := b.caller()
	c.send("GET /idem/ HTTP/1.1\r\nHost: h\r\nX-Key: wrong\r\n\r\n")
	Expect(c.receive().status).To(Equal(401))
	c.send("GET /open/ HTTP/1.1\r\nHost: h\r\nX-Id: 1\r\n\r\n")
	Expect(c.receive().status).To(Equal(200), "the connection stays open after a refusal, and an anonymous route needs no key")
	c.send("GET /idem/ HTTP/1.1\r\nHost: h\r\nHost: i\r\n\r\n")
	Expect(c.receive().status).To(Equal(400))
	c = b.caller()
	c.send("GET /idem/ HTTP/1.1\r\nHost: h\r\nX-A: " + strings.Repeat("a", 4000) + "\r\n\r\n")
	Expect(c.receive().status).To(Equal(431))
	c = b.caller()
	c.send("POST /idem/ HTTP/1.1\r\nHost: h\r\nContent-Length: 99999999\r\n\r\n")
	Expect(c.receive().status).To(Equal(413))
	c = b.caller()
	c.send("GET /idem/ HTTP/1.1\r\nHo")
	Expect(c.receive().status).To(Equal(408))
	Expect(up.requests()).To(HaveLen(1))
}

// Guards against refusing requests before the first configuration. After all processes were killed,
// the balancer sends callers to instances without one for most of a second; if told to come back
// later, they are late. The request must be served as soon as there is a configuration. An instance
// that gets none must refuse immediately once the startup time is over.
func TestRequestBeforeTheFirstConfigurationIsServedWhenItComes(t *testing.T) {
	b := start(t, startUpstream(t, "u", echo))
	table := routes()
	b.use(nil)
	c := b.caller()
	begun := time.Now()
	time.AfterFunc(300*time.Millisecond, func() { b.use(table) })
	c.send(message("GET", "/idem/", "1", ""))
	Expect(c.receive().status).To(Equal(200))
	Expect(time.Since(begun)).To(BeNumerically("~", 300*time.Millisecond, 250*time.Millisecond))

	b.use(nil)
	time.Sleep(time.Until(begun.Add(1600 * time.Millisecond)))
	asked := time.Now()
	r := b.caller().call("GET", "/idem/", "2", "")
	Expect(r.status).To(Equal(503))
	Expect(r.header.Get("Retry-After")).NotTo(BeEmpty())
	Expect(time.Since(asked)).To(BeNumerically("<", 200*time.Millisecond))
}

// Guards against refusing requests before the first confirmation. After all processes were killed,
// an instance has the configuration again, but for some tenths of a second the control group has no
// leader that could confirm it. Callers that were told that keys cannot be verified came back after
// a second; the request must be served as soon as the configuration is confirmed.
func TestRequestBeforeTheFirstConfirmationIsServedWhenItComes(t *testing.T) {
	b := start(t, startUpstream(t, "u", echo))
	b.state.setLease(0)
	b.state.setAge(time.Hour)
	c := b.caller()
	begun := time.Now()
	time.AfterFunc(300*time.Millisecond, func() { b.state.setLease(time.Minute) })
	c.send(message("GET", "/idem/", "1", ""))
	Expect(c.receive().status).To(Equal(200))
	Expect(time.Since(begun)).To(BeNumerically("~", 300*time.Millisecond, 250*time.Millisecond))
}

// Guards against accepting a key that was revoked while the instance has lost the control group.
// Once the lease has expired, no request with a key may run; anonymous ones continue.
func TestNoKeyIsAcceptedWithoutLease(t *testing.T) {
	up := startUpstream(t, "u", echo)
	b := start(t, up)
	b.state.setLease(0)
	r := b.caller().call("GET", "/idem/", "1", "")
	Expect(r.status).To(Equal(503))
	Expect(r.took).To(BeNumerically("<", 200*time.Millisecond))
	Expect(r.header.Get("Retry-After")).NotTo(BeEmpty())
	Expect(b.service.Ready()).To(BeFalse())
	c := b.caller()
	c.send("GET /open/ HTTP/1.1\r\nHost: h\r\nX-Id: 1\r\n\r\n")
	Expect(c.receive().status).To(Equal(200))
	Expect(up.requests()).To(HaveLen(1))
}

// Guards against denying a request by a view that may be outdated: a newer one may have the route or
// the key, and a caller that is told 401 or 404 does not come back.
func TestNothingIsDeniedWithoutLease(t *testing.T) {
	b := start(t, startUpstream(t, "u", echo))
	unknownKey := strings.Replace(message("GET", "/idem/", "1", ""), "X-Key: k", "X-Key: other", 1)
	for _, text := range []string{message("GET", "/other/", "1", ""), unknownKey} {
		for lease, status := range map[time.Duration][]int{time.Minute: {401, 404}, 0: {503}} {
			b.state.setLease(lease)
			c := b.caller()
			c.send(text)
			r := c.receive()
			Expect(r.status).To(BeElementOf(status))
			Expect(r.header.Get("Retry-After") != "").To(Equal(lease == 0))
		}
	}
}

// Guards against sending a request after the lease has expired: a key is revoked while the instance
// is suspended between admitting a request and sending it.
func TestLeaseIsCheckedBeforeSending(t *testing.T) {
	up := startUpstream(t, "u", echo)
	b := start(t, up)
	b.state.endLeaseAfter(1)
	Expect(b.caller().call("GET", "/idem/", "1", "").status).To(Equal(503))
	Expect(up.requests()).To(BeEmpty())
}

// Guards against repeating a request that must not be repeated and whose response was lost: the
// caller is told that the outcome is unknown, and no other upstream gets the request.
func TestLostAnswerOfANonIdempotentRequestIsUnknown(t *testing.T) {
	lose := func(int, *received, net.Conn) bool { return false }
	a, b := startUpstream(t, "a", lose), startUpstream(t, "b", lose)
	r := start(t, a, b).caller().call("POST", "/once/", "1", "x")
	Expect(r.status).To(Equal(502))
	Expect(len(a.requests()) + len(b.requests())).To(Equal(1))
}

// Guards against sending a request to a second upstream without proof that the first one did not
// run it. If no upstream runs it, the caller is told so and when to retry.
func TestProofOfNotRunAllowsAnotherUpstream(t *testing.T) {
	refuse := func(_ int, r *received, c net.Conn) bool { return notRun(c, r) }
	a, b := startUpstream(t, "a", refuse), startUpstream(t, "b", refuse)
	r := start(t, a, b).caller().call("POST", "/once/", "1", "x")
	Expect(r.status).To(Equal(503))
	Expect(r.header.Get("Retry-After")).NotTo(BeEmpty())
	Expect(len(a.requests()) + len(b.requests())).To(Equal(2))
}

// Guards against failing an idempotent request that another upstream can answer.
func TestIdempotentRequestIsRepeatedElsewhere(t *testing.T) {
	for name, fail := range map[string]func(int, *received, net.Conn) bool{
		"lost":      func(int, *received, net.Conn) bool { return false },
		"failed":    func(_ int, r *received, c net.Conn) bool { return whole(c, r, 500, "no") },
		"cut short": func(_ int, r *received, c net.Conn) bool { return cutShort(c, r) },
		"garbage":   func(_ int, _ *received, c net.Conn) bool { _, _ = io.WriteString(c, "garbage\r\n\r\n"); return true },
		"other ID": func(_ int, r *received, c net.Conn) bool {
			r.header.Set("X-Id", "other")
			whole(c, r, 200, "theirs")
			return false
		},
		"no seal": func(_ int, r *received, c net.Conn) bool {
			_, _ = fmt.Fprintf(c, "HTTP/1.1 200 X\r\nX-Id: %s\r\nContent-Length: 2\r\n\r\nno", r.header.Get("X-Id"))
			return true
		},
	} {
		t.Run(name, func(t *testing.T) {
			a, b := startUpstream(t, "a", fail), startUpstream(t, "b", echo)
			relay := start(t, a, b)
			c := relay.caller()
			for i := 0; i < 6 || i < 100 && len(a.requests()) == 0; i++ {
				r := c.call("GET", "/idem/", fmt.Sprint(i), "")
				Expect(r.status).To(Equal(200))
				Expect(r.body).To(Equal("GET "))
			}
			Expect(a.requests()).NotTo(BeEmpty())
		})
	}
}

func cutShort(c net.Conn, r *received) bool {
	_, _ = fmt.Fprintf(c, "HTTP/1.1 200 X\r\nX-Id: %s\r\nX-Seal: s\r\nContent-Length: 9\r\n\r\nabc", r.header.Get("X-Id"))
	return false
}

// Guards against a late second response to an earlier request that arrives in place of the next
// response: it must be discarded, and the next caller gets its own.
func TestLateExtraResponseIsDiscarded(t *testing.T) {
	up := startUpstream(t, "u", func(n int, r *received, c net.Conn) bool {
		if n == 2 {
			_, _ = fmt.Fprint(c, "HTTP/1.1 200 X\r\nX-Id: 1\r\nX-Seal: s\r\nContent-Length: 5\r\n\r\nextra")
		}
		return whole(c, r, 200, "own"+r.header.Get("X-Id"))
	})
	c := start(t, up).caller()
	Expect(c.call("POST", "/once/", "1", "x").body).To(Equal("own1"))
	Expect(c.call("POST", "/once/", "2", "x").body).To(Equal("own2"))
}

// Guards against an upstream that keeps working for a caller who has hung up.
func TestHangUpReachesTheUpstream(t *testing.T) {
	up := startUpstream(t, "u", func(_ int, _ *received, c net.Conn) bool {
		_ = c.SetReadDeadline(time.Now().Add(requestTimeout))
		_, _ = c.Read(make([]byte, 1))
		return true
	})
	c := start(t, up).caller()
	c.send(message("POST", "/once/", "1", "x"))
	Eventually(up.requests).Should(HaveLen(1))
	_ = c.Close()
	Eventually(up.hangUps).WithTimeout(300 * time.Millisecond).Should(Equal(1))
}

// Guards against a hanging upstream: the caller gets the final response at the timeout.
func TestFinalAnswerComesAtTheTimeout(t *testing.T) {
	up := startUpstream(t, "u", func(int, *received, net.Conn) bool { time.Sleep(2 * requestTimeout); return false })
	r := start(t, up).caller().call("POST", "/once/", "1", "x")
	Expect(r.status).To(Equal(504))
	Expect(r.took).To(BeNumerically("~", 1500*time.Millisecond, 150*time.Millisecond))
}

// Guards against a response without a length whose connection is reset on the way: a part must not
// pass for the whole response.
func TestUnframedAnswerThatIsResetIsNotWhole(t *testing.T) {
	up := startUpstream(t, "u", func(n int, r *received, c net.Conn) bool {
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 X\r\nX-Id: %s\r\nX-Seal: s\r\n\r\nabc", r.header.Get("X-Id"))
		if n == 1 {
			time.Sleep(20 * time.Millisecond)
			_ = c.(*net.TCPConn).SetLinger(0)
		}
		return false
	})
	b := start(t, up)
	Expect(b.caller().call("POST", "/once/", "1", "x").status).To(Equal(502))
	r := b.caller().call("POST", "/once/", "2", "x")
	Expect(r.status).To(Equal(200))
	Expect(r.body).To(Equal("abc"))
}

// Guards against reusing the connection of an upstream that responded to a long request before it
// had read it. The rest of that body is still due, so no other request may follow.
func TestConnectionOfAnEarlyAnswerIsNotUsedAgain(t *testing.T) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	accepted := make(chan net.Conn, 4)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			_ = c.(*net.TCPConn).SetReadBuffer(4096)
			accepted <- c
			buf := make([]byte, 400)
			_, _ = c.Read(buf)
			_, _ = io.WriteString(c, "HTTP/1.1 413 X\r\nX-Id: 1\r\nX-Seal: s\r\nContent-Length: 0\r\n\r\n")
		}
	}()
	up := &fakeUpstream{id: "u", listener: l}
	c := start(t, up).caller()
	Expect(c.call("POST", "/once/", "1", strings.Repeat("b", 12<<20)).status).To(Equal(413))
	c.send(message("POST", "/once/", "1", "x"))
	Eventually(accepted).Should(HaveLen(2))
}

// Guards against failing requests because one upstream cannot be reached: nothing was sent, so
// another one gets the request, whatever its kind.
func TestUnreachableUpstreamIsPassedOver(t *testing.T) {
	dead := startGone(t, "a")
	alive := startUpstream(t, "b", echo)
	b := start(t, dead, alive)
	for i := range 8 {
		Expect(b.caller().call("POST", "/once/", fmt.Sprint(i), "x").status).To(Equal(200))
	}
	Expect(alive.requests()).To(HaveLen(8))
}

// Guards against forwarding a status that promises "not run" from an upstream that may have run a
// request which must not be repeated.
func TestStatusThatPromisesNotRunNeedsProof(t *testing.T) {
	for _, status := range []int{408, 429, 503} {
		t.Run(fmt.Sprint(status), func(t *testing.T) {
			up := startUpstream(t, "u", func(_ int, r *received, c net.Conn) bool { return whole(c, r, status, "no") })
			b := start(t, up)
			Expect(b.caller().call("POST", "/once/", "1", "x").status).To(Equal(502))
			Expect(b.caller().call("POST", "/brief/", "2", "x").status).To(Equal(502))
			Expect(b.caller().call("GET", "/idem/", "3", "").status).To(Equal(status))
			Expect(up.requests()).To(HaveLen(3))
		})
	}
}
