package deployed_test

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

const (
	// soundRequests are sent before an upstream that was well begins to send what has no end.
	soundRequests = 60
	// checkedSpan is for how long requests are sent while health checks get answers without end, of which none
	// may take longer than mostCheckSpan.
	checkedSpan, mostCheckSpan = 3 * time.Second, time.Second
	// mostUnchecked is how many requests may end unserved meanwhile.
	mostUnchecked = 2
	// floodedConns is how many connections to one edge are held or flooded at once, leastFlooded how many of
	// them at least.
	floodedConns, leastFlooded = 500, 300
)

// putNonIdempotent puts a configuration whose route is of calls that are sent once.
func (e *endlessSite) putNonIdempotent(version, timeoutMS int) {
	table := strings.Replace(desired(version, "k"), `"idempotent","timeout-ms":1500`, fmt.Sprintf(`"non_idempotent","timeout-ms":%d`, timeoutMS), 1)
	e.within(patience, func() bool {
		status, _ := call("PUT", "http://"+e.cores[0].at(portControl)+"/config", table)
		return status == http.StatusOK
	}, "the route of calls that are sent once")
	time.Sleep(time.Second)
}

// keepConnections lets all upstreams keep their connections open after answers that end.
func (e *endlessSite) keepConnections() {
	for _, u := range e.ups {
		u.keeps = true
	}
}

// askPlain sends a plain request, and checks what the caller is told by what the upstreams have counted.
func (e *endlessSite) askPlain(i, mostRuns int) (a answer) {
	id := fmt.Sprintf("case%d", attempts.Add(1))
	status, body := call(http.MethodPost, "http://"+e.edges[i%len(e.edges)].at(portFrontend)+"/a/x", "x", "Host", "h.example", "Attempt-Id", id, "Key", "k", "Deadline-Ms", "1500")
	runs := e.runs(id)
	switch a.served = status == http.StatusOK; {
	case runs > mostRuns:
		a.wrong = fmt.Sprintf("%s ran %d times", id, runs)
	case a.served && body != wholeAnswer:
		a.wrong = "an answer that is not whole was told as whole"
	case status == http.StatusServiceUnavailable && runs > 0:
		a.wrong = "what ran was told as not run"
	}
	return a
}

// Guards against a call that must not be repeated and is, as its answer has no end, or that is told as not run.
// The upstream was well a moment before and its connections are open, so a failure could look like that of an
// old connection, on which nothing was sent.
func TestEndlessAnswersToCallsThatAreSentOnce(t *testing.T) {
	e := newEndlessSite(t, 4, false)
	e.putNonIdempotent(2, 1500)
	e.keepConnections()
	e.after = soundRequests
	ask := func(i int) answer { return e.askPlain(i, 1) }
	// One in four calls after the change goes to that upstream, unless it is avoided.
	const sick = (endlessRequests - soundRequests) / 4
	e.play(t, expected{endlessInterim, 1, time.Second, sick}, ask)
	e.play(t, expected{floodedHeader, 1, time.Second, sick}, ask)
	// Held until the time limit of the route.
	e.play(t, expected{drippedExtension, 1, 2 * time.Second, sick}, ask)
	// The answer is whole without its trailers.
	e.play(t, expected{drippedTrailers, 1, time.Second, 2}, ask)
	e.play(t, expected{endlessInterim, 4, time.Second, endlessRequests}, ask)
}

// Guards against an upstream that was well a moment before: what is known of it and its open connections must
// not let it hold requests, and those are served elsewhere.
func TestEndlessAnswersOfAnUpstreamThatWasWell(t *testing.T) {
	e := newEndlessSite(t, 4, false)
	e.keepConnections()
	e.after = soundRequests
	ask := func(i int) answer { return e.askPlain(i, 2) }
	e.play(t, expected{endlessInterim, 1, time.Second, 2}, ask)
	e.play(t, expected{floodedHeaders, 1, time.Second, 2}, ask)
	e.play(t, expected{drippedExtension, 1, 1300 * time.Millisecond, 2}, ask)
	e.play(t, expected{drippedTrailers, 1, time.Second, 2}, ask)
}

// checkedCase is what came of requests while health checks got answers without end.
type checkedCase struct {
	checks, sent, served int64
	longest              time.Duration
	most                 int64
}

// playChecks sends requests while health checks get answers without end. Another upstream ends meanwhile: a
// connect to it fails, which calls for a check of the others.
func (e *endlessSite) playChecks(how endless, name string) (c checkedCase) {
	ending := e.handled(name, answerDone, e.cores...)
	time.Sleep(time.Second)
	for _, u := range e.ups {
		u.health.Store(how)
	}
	var all sync.WaitGroup
	var served atomic.Int64
	crash := time.AfterFunc(checkedSpan/3, ending.crash)
	defer crash.Stop()
	for begun := time.Now(); time.Since(begun) < checkedSpan; c.sent++ {
		edge := e.edges[c.sent%int64(len(e.edges))]
		all.Go(func() {
			status, _ := call(http.MethodPost, "http://"+edge.at(portFrontend)+"/a/x", "x",
				"Host", "h.example", "Attempt-Id", fmt.Sprintf("checked%d", attempts.Add(1)), "Key", "k", "Deadline-Ms", "1500")
			if status == http.StatusOK {
				served.Add(1)
			}
		})
		time.Sleep(endlessPause)
	}
	all.Wait()
	time.Sleep(mostCheckSpan)
	c.served = served.Load()
	for _, u := range e.ups {
		n, span, bytes := u.take()
		c.checks, c.longest, c.most = c.checks+int64(n), max(c.longest, span), max(c.most, bytes)
		u.health.Store(endlessNone)
	}
	e.awaitBudget()
	return c
}

// Guards against health checks whose answers have no end: they must end early, and neither keep requests from
// upstreams that serve them nor let an instance call its links cut. A case is played again if requests were
// refused while the machine or its disk hung, as they are without the control group.
func TestEndlessAnswersToHealthChecksAlone(t *testing.T) {
	e := newEndlessSite(t, 4, false)
	for _, how := range []endless{endlessInterim, floodedGarbage, drippedExtension} {
		t.Run(string(how), func(t *testing.T) {
			g := NewWithT(t)
			var c checkedCase
			for play := range 3 {
				begun := time.Now()
				c = e.playChecks(how, fmt.Sprintf("ending-%d", attempts.Add(1)))
				hung := e.watch.hung(begun.Add(-hangSpan), time.Now())
				t.Logf("play %d: %d checks, longest %s, most bytes %d, %d of %d served, hung %t", play, c.checks, c.longest, c.most, c.served, c.sent, hung)
				if !hung || c.sent-c.served <= mostUnchecked {
					break
				}
				e.awaitReady()
			}
			g.Expect(c.checks).To(BeNumerically(">", 0), "the failure was played")
			g.Expect(c.longest).To(BeNumerically("<", mostCheckSpan))
			g.Expect(c.most).To(BeNumerically("<", mostEndlessBytes))
			g.Expect(c.sent - c.served).To(BeNumerically("<=", mostUnchecked))
			for _, edge := range e.edges {
				g.Expect(edge.log()).NotTo(ContainSubstring("cut_off=true"), edge.name)
			}
		})
	}
}

// Guards against an instance that is killed for its memory use, because many heads that are each within their
// limit do not end, many answers are held by bytes that are no progress, or many send without a pause at once.
// Each case has an instance of its own, as the most memory that it has used is what counts.
func TestManyEndlessAnswersAreHeldInBounds(t *testing.T) {
	e := newEndlessSite(t, 12, false)
	for _, u := range e.ups {
		u.span = holdFor
	}
	e.putNonIdempotent(2, 15_000)
	for n, how := range []endless{heldHead, endlessInterim} {
		t.Run(string(how), func(t *testing.T) { e.holdMany(t, e.edges[n], how) })
	}
}

// holdMany opens many connections to an edge whose answers have no end, and checks its memory use.
func (e *endlessSite) holdMany(t *testing.T, edge *node, how endless) {
	g := NewWithT(t)
	for _, u := range e.ups {
		u.how.Store(how)
		u.take()
	}
	c := &http.Client{Timeout: holdFor, Transport: &http.Transport{DisableKeepAlives: true}}
	before, begun := edge.peakMB(), time.Now()
	var all sync.WaitGroup
	var whole, refused atomic.Int64
	for range floodedConns {
		all.Go(func() {
			for time.Since(begun) < holdWithin {
				id := fmt.Sprintf("many%d", attempts.Add(1))
				status, _ := callWith(c, http.MethodPost, "http://"+edge.at(portFrontend)+"/a/x", "x", "Host", "h.example", "Attempt-Id", id, "Key", "k", "Deadline-Ms", "12000")
				if status == http.StatusOK {
					whole.Add(1)
				}
				if status != http.StatusServiceUnavailable && status != http.StatusTooManyRequests {
					return
				}
				refused.Add(1)
				time.Sleep(holdRetry)
			}
		})
	}
	all.Wait()
	time.Sleep(time.Second)
	after, total, most := edge.peakMB(), 0, int64(0)
	for _, u := range e.ups {
		n, _, bytes := u.take()
		total, most = total+n, max(most, bytes)
	}
	t.Logf("%d begun, %d open at once at all instances, %d refused, most bytes %d, at most %d MB, %d MB before", total, e.open.peak(), refused.Load(), most, after, before)
	g.Expect(total).To(BeNumerically(">=", leastFlooded), "the failure was played")
	g.Expect(whole.Load()).To(BeZero(), "no answer is whole")
	g.Expect(most).To(BeNumerically("<", mostEndlessBytes))
	g.Expect(after).To(BeNumerically("<", edgeMB))
	e.awaitBudget()
}

// Guards against an instance that is killed for its memory use as it keeps what upstreams send without end in a body
// or in a head, of answers that are passed on and of others.
func TestManyEndlessBodiesAreHeldInBounds(t *testing.T) {
	kinds := []endless{floodedBody, floodedOpenBody, floodedRejection, floodedFailure, floodedLate, floodedHeader, floodedGarbage}
	e := newEndlessGroup(t, len(kinds), 12, false)
	for _, u := range e.ups {
		u.span = holdFor
	}
	e.putNonIdempotent(2, 15_000)
	for n, how := range kinds {
		t.Run(string(how), func(t *testing.T) { e.floodMany(t, e.edges[n], how) })
	}
}

// floodedFor is for how long the callers of endless bodies read.
const floodedFor = 2 * time.Second

// floodMany sends many requests at once to an edge whose answers have no end, reads what comes for a while, and
// checks the edge's memory use.
func (e *endlessSite) floodMany(t *testing.T, edge *node, how endless) {
	g := NewWithT(t)
	for _, u := range e.ups {
		u.how.Store(how)
		u.take()
	}
	c := &http.Client{Timeout: floodedFor, Transport: &http.Transport{DisableKeepAlives: true}}
	before, process := edge.peakMB(), edge.process
	reachedBefore, begun := e.reached(), time.Now()
	// A busy machine needs longer until as many answers have begun.
	goesOn := func() bool {
		ran := time.Since(begun)
		return ran < floodedFor || ran < holdWithin && e.reached()-reachedBefore < leastFlooded
	}
	var all sync.WaitGroup
	for range floodedConns {
		all.Go(func() {
			for ; goesOn(); time.Sleep(holdRetry) {
				_, _ = edge.openStreamAt(c, "/a/x")
			}
		})
	}
	all.Wait()
	after, total := edge.peakMB(), e.reached()-reachedBefore
	for _, u := range e.ups {
		u.how.Store(endlessNone)
	}
	t.Logf("%s: %d begun, %d open at once at all instances, at most %d MB, %d MB before", how, total, e.open.peak(), after, before)
	g.Expect(total).To(BeNumerically(">=", leastFlooded), "the failure was played")
	g.Expect(after).To(BeNumerically("<", edgeMB))
	g.Expect(edge.process).To(BeIdenticalTo(process))
	g.Expect(edge.exited).NotTo(BeClosed())
	g.Eventually(func() int { return edge.ask("k") }, patience, poll).Should(Equal(http.StatusOK), "others are served")
}

// reached returns how many attempts have reached the upstreams.
func (e *endlessSite) reached() (n int) {
	for _, u := range e.ups {
		u.mu.Lock()
		n += len(u.ran)
		u.mu.Unlock()
	}
	return n
}
