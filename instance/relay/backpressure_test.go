package relay_test

import (
	"fmt"
	"net"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	controlstate "github.com/comfreyladder/comfreyladder/core/control/serving"
	"github.com/comfreyladder/comfreyladder/instance/follow"
	"github.com/comfreyladder/comfreyladder/instance/serving"
)

const (
	// pause is for how long an upstream of these tests asks to be sent nothing, and shortPause the same
	// where the end of the pause is awaited.
	pause, shortPause = 10 * time.Second, 800 * time.Millisecond
	// unchanged is for how long something must stay as it is.
	unchanged = 400 * time.Millisecond
)

// asksForPause turns a request away and asks for a pause.
func asksForPause(c net.Conn, r *received) bool { return asksFor(c, r, pause) }

func asksForShortPause(c net.Conn, r *received) bool { return asksFor(c, r, shortPause) }

func asksFor(c net.Conn, r *received, d time.Duration) bool {
	_, err := fmt.Fprintf(c, "HTTP/1.1 503 X\r\nX-Id: %s\r\nX-Not-Run: 1\r\nRetry-After: %v\r\nContent-Length: 0\r\n\r\n", r.header.Get("X-Id"), d.Seconds())
	return err == nil
}

// asksForPauseUnproved fails a request with 503, without proof that it did not run, and asks for a pause.
func asksForPauseUnproved(c net.Conn, r *received) bool {
	_, err := fmt.Fprintf(c, "HTTP/1.1 503 X\r\nX-Id: %s\r\nX-Seal: s\r\nRetry-After: %v\r\nContent-Length: 0\r\n\r\n", r.header.Get("X-Id"), pause.Seconds())
	return err == nil
}

// leaves answers a request and says that the upstream leaves.
func leaves(c net.Conn, r *received) bool {
	_, err := fmt.Fprintf(c, "HTTP/1.1 200 X\r\nX-Id: %s\r\nX-Seal: s\r\nX-Leaving: 1\r\nContent-Length: 2\r\n\r\nok", r.header.Get("X-Id"))
	return err == nil
}

// asks are the ways in which an upstream asks for no requests.
var asks = map[string]func(net.Conn, *received) bool{"pause": asksForPause, "unproved pause": asksForPauseUnproved, "leave": leaves}

// startAsking runs an upstream that asks for no requests in its first answer and echoes any further
// request.
func startAsking(t *testing.T, ask func(net.Conn, *received) bool) *fakeUpstream {
	return startUpstream(t, "asks", func(n int, r *received, c net.Conn) bool {
		if n == 1 {
			return ask(c, r)
		}
		return echo(n, r, c)
	})
}

// awaitAsk sends requests until the upstream has asked for none.
func (b *relayTest) awaitAsk(u *fakeUpstream) {
	for i := 0; len(u.requests()) == 0; i++ {
		b.caller().call("GET", "/idem/", "ask"+strconv.Itoa(i), "")
	}
}

// eachAsk runs a test with an upstream that asks for no requests in each of the ways.
func eachAsk(t *testing.T, f func(t *testing.T, asking *fakeUpstream)) {
	for name, ask := range asks {
		t.Run(name, func(t *testing.T) { f(t, startAsking(t, ask)) })
	}
}

// Guards against new requests at an upstream that wants none, on old and new connections.
func TestUpstreamThatWantsNothingGetsNoFirstTry(t *testing.T) {
	eachAsk(t, func(t *testing.T, asking *fakeUpstream) {
		b := start(t, asking, startUpstream(t, "other", echo))
		b.awaitAsk(asking)
		var all sync.WaitGroup
		for i := range 20 {
			all.Go(func() {
				c := b.caller()
				for k := range 3 {
					Expect(c.call("GET", "/idem/", fmt.Sprint(i, "-", k), "").status).To(Equal(200))
				}
			})
		}
		all.Wait()
		Expect(asking.requests()).To(HaveLen(1))
	})
}

// Guards against an upstream that stays unused after its pause.
func TestUpstreamIsUsedAgainAfterItsPause(t *testing.T) {
	asking := startAsking(t, asksForShortPause)
	b := start(t, asking)
	b.awaitAsk(asking)
	Eventually(func() int { return b.caller().call("GET", "/idem/", "again", "").status }, requestTimeout, 20*time.Millisecond).Should(Equal(200))
	Expect(asking.requests()).To(HaveLen(2))
}

// Guards against repeating a failed request at an upstream that wants nothing.
func TestUpstreamThatWantsNothingGetsNoRepeat(t *testing.T) {
	eachAsk(t, func(t *testing.T, asking *fakeUpstream) {
		lose := func(int, *received, net.Conn) bool { return false }
		other := startUpstream(t, "other", lose)
		b := start(t, asking, other)
		b.awaitAsk(asking)
		before := len(other.requests())
		Expect(b.caller().call("GET", "/idem/", "1", "").status).To(Equal(502))
		Expect(other.requests()).To(HaveLen(before + 1))
		Expect(asking.requests()).To(HaveLen(1))
	})
}

// Guards against resuming a broken stream at an upstream that wants nothing.
func TestUpstreamThatWantsNothingGetsNoResumedStream(t *testing.T) {
	eachAsk(t, func(t *testing.T, asking *fakeUpstream) {
		other := startUpstream(t, "other", func(_ int, r *received, c net.Conn) bool { return events(c, r, 1, 2, false) })
		b := start(t, asking, other)
		b.awaitAsk(asking)
		r := b.caller().call("POST", "/stream/", "1", "x")
		Expect(r.err).To(HaveOccurred())
		Expect(r.body).To(Equal(event(1) + event(2)))
		Expect(asking.requests()).To(HaveLen(1))
	})
}

// Guards against an upstream that rejects all requests, without asking for anything, and attracts the
// next ones since it has nothing in flight.
func TestUpstreamThatRejectsAttractsNoFurtherRequests(t *testing.T) {
	busy := func(n int, r *received, c net.Conn) bool {
		time.Sleep(20 * time.Millisecond)
		return echo(n, r, c)
	}
	rejecting := startUpstream(t, "rejects", func(_ int, r *received, c net.Conn) bool { return notRun(c, r) })
	b := start(t, rejecting, startUpstream(t, "a", busy), startUpstream(t, "b", busy), startUpstream(t, "c", busy))
	const callers, each = 8, 25
	var all sync.WaitGroup
	for i := range callers {
		all.Go(func() {
			c := b.caller()
			for k := range each {
				c.call("GET", "/idem/", fmt.Sprint(i, "-", k), "")
			}
		})
	}
	all.Wait()
	Expect(len(rejecting.requests())).To(BeNumerically("<", callers*each/8), "half of an equal share")
}

// Guards against using an upstream that wants nothing as a last resort when no other is usable, and
// against a caller who is told to come back too early or much too late.
func TestUpstreamThatWantsNothingIsNoLastResort(t *testing.T) {
	eachAsk(t, func(t *testing.T, asking *fakeUpstream) {
		b := start(t, asking, startGone(t, "gone"))
		b.awaitAsk(asking)
		for i := range 5 {
			r := b.caller().call("GET", "/idem/", fmt.Sprint(i), "")
			Expect(r.status).To(Equal(503))
			Expect(r.took).To(BeNumerically("<", time.Second), "what is given up gets its answer at once")
			seconds, err := strconv.ParseFloat(r.header.Get("Retry-After"), 64)
			Expect(err).NotTo(HaveOccurred())
			Expect(seconds).To(BeNumerically("<=", 1.5*pause.Seconds()))
		}
		Expect(asking.requests()).To(HaveLen(1))
	})
}

// Guards against a request that was assigned to an upstream before that asked for none, and is sent
// afterwards.
func TestRequestThatWaitsWhileItsUpstreamAsksForNothingIsNotSent(t *testing.T) {
	eachAsk(t, func(t *testing.T, asking *fakeUpstream) {
		b := start(t, asking)
		// The lease is checked when a request is admitted and again before it is sent.
		held, asked := make(chan struct{}), make(chan struct{})
		b.state.onLeaseCheck(2, func() {
			close(held)
			<-asked
		})
		waiting := make(chan reply, 1)
		go func() { waiting <- b.caller().call("GET", "/idem/", "waits", "") }()
		<-held
		b.awaitAsk(asking)
		close(asked)
		Expect((<-waiting).status).To(Equal(503))
		Expect(asking.requests()).To(HaveLen(1))
	})
}

// Guards against requests in a pause that an upstream asked for when it had just started again under
// its ID, before this instance knew of its start; and against one that counts as leaving since then.
func TestPauseOutlivesTheNewsOfARestart(t *testing.T) {
	eachAsk(t, func(t *testing.T, asking *fakeUpstream) {
		b := start(t, asking)
		b.awaitAsk(asking)
		b.restarted("asks")
		status := b.caller().call("GET", "/idem/", "after", "").status
		if strings.HasSuffix(t.Name(), "/leave") {
			Expect(status).To(Equal(200))
			return
		}
		Expect(status).To(Equal(503))
		Expect(asking.requests()).To(HaveLen(1))
	})
}

// restarted shows an upstream as a new incarnation at the same address.
func (b *relayTest) restarted(id string) {
	b.state.mu.Lock()
	v := *b.state.view
	u := *v.Upstreams.Get(id)
	u.FirstIndex++
	v.Upstreams = follow.NewUpstreams(&u)
	v.Index++
	b.state.view = &v
	b.state.mu.Unlock()
	b.service.Update(&v)
}

// Guards against treating the end of an upstream that said that it leaves as a crash.
func TestEndOfALeavingUpstreamIsNoCrash(t *testing.T) {
	b, up, lose := startLosing(t, leaves)
	lose()
	Expect(up.requests()).To(HaveLen(2))
	b.replace("asks", controlstate.Superseded)
	Consistently(b.log.String, unchanged).ShouldNot(ContainSubstring(crashLine))
}

// Guards against probing an upstream that wants nothing when a connection to it is lost.
func TestUpstreamThatWantsNothingIsNotProbed(t *testing.T) {
	for name, ask := range asks {
		t.Run(name, func(t *testing.T) {
			_, up, lose := startLosing(t, ask)
			lose()
			Consistently(up.connections, unchanged).Should(Equal(2))
		})
	}
}

// startLosing runs a relay whose only upstream asks for no requests while it runs one. The returned
// function breaks the connection of that one.
func startLosing(t *testing.T, ask func(net.Conn, *received) bool) (*relayTest, *fakeUpstream, func()) {
	broken := make(chan struct{})
	up := startUpstream(t, "asks", func(n int, r *received, c net.Conn) bool {
		if n == 1 {
			<-broken
			return false
		}
		return ask(c, r)
	})
	b := start(t, up)
	lost := make(chan reply, 1)
	go func() { lost <- b.caller().call("POST", "/once/", "lost", "x") }()
	Eventually(up.requests).Should(HaveLen(1))
	b.caller().call("POST", "/once/", "ask", "x")
	Expect(up.requests()).To(HaveLen(2))
	return b, up, func() {
		close(broken)
		Expect((<-lost).status).To(Equal(502))
	}
}

// Guards against an answer that is held back for a repeat, although the only other upstream takes
// none: the caller would get an error of this instance in its place.
func TestFailureIsDeliveredIfTheOtherUpstreamWantsNothing(t *testing.T) {
	eachAsk(t, func(t *testing.T, asking *fakeUpstream) {
		failing := startUpstream(t, "failing", func(n int, r *received, c net.Conn) bool {
			if r.header.Get("X-Id") == "fails" {
				return whole(c, r, 500, "why it failed")
			}
			return echo(n, r, c)
		})
		b := start(t, asking, failing)
		b.awaitAsk(asking)
		r := b.caller().call("GET", "/idem/", "fails", "")
		Expect(r.status).To(Equal(500))
		Expect(r.body).To(Equal("why it failed"))
		Expect(asking.requests()).To(HaveLen(1))
	})
}

// Guards against admitting what two engines can prefill while one of them takes no requests. It has a
// rate limit, by which an engine counts as able although it is passed over at the moment.
func TestUpstreamThatWantsNothingAddsNoCapacity(t *testing.T) {
	eachAsk(t, func(t *testing.T, asking *fakeUpstream) {
		b := start(t, asking, startUpstream(t, "other", echo))
		b.engines()
		b.awaitAsk(asking)
		b.limits.limitTo(asking, 1000, 1)
		const asked = 70_000 // tokens within the window of the admission control: 1.2 engines
		const requests = 20  // need another half
		report := &serving.Report{Work: serving.Work{Routes: []serving.RouteLoad{{
			Service: "s", Route: "last", Tokens: asked, UncachedTokens: asked, Requests: 100_000, Recent: asked, RecentCached: asked, Rank: 100, PerMS: 5000,
		}}}}
		c, served := b.caller(), 0
		for i := range requests {
			b.service.TakeReport(report)
			c.send(prompt("last", fmt.Sprint(i)))
			if c.receive().status == 200 {
				served++
			}
		}
		Expect(served).To(BeNumerically("<", requests))
		Expect(asking.requests()).To(HaveLen(1))
	})
}
