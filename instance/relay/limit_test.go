package relay_test

import (
	"fmt"
	"net"
	"strconv"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/comfreyladder/comfreyladder/core/ratelimit"
	"github.com/comfreyladder/comfreyladder/instance/serving"
)

// fakeLimits holds limits and tokens that a test sets.
type fakeLimits struct {
	mu     sync.Mutex
	heard  []float64
	limits map[uint64]float64
	tokens map[uint64]int
	wants  map[uint64]int
	// returned counts tokens that were given back.
	returned int
	told     []ratelimit.Statement
}

func (l *fakeLimits) RecordLimit(_ uint64, _ string, perSecond float64, sent, heard time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !heard.Before(sent) {
		l.heard = append(l.heard, perSecond)
	}
}

func (l *fakeLimits) HasLimits() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.limits) > 0
}

func (l *fakeLimits) Limit(upstream uint64) (float64, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	perSecond, limited := l.limits[upstream]
	return perSecond, limited
}

func (l *fakeLimits) Available(upstream uint64) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.tokens[upstream] > 0
}

func (l *fakeLimits) Use(upstream uint64, _ int) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.tokens[upstream]--
	return l.tokens[upstream] >= 0
}

func (l *fakeLimits) ReturnToken(upstream uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.tokens[upstream]++
	l.returned++
}

func (l *fakeLimits) AddDemand(upstream uint64, _ int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.wants == nil {
		l.wants = map[uint64]int{}
	}
	l.wants[upstream]++
}

func (l *fakeLimits) Statements() []ratelimit.Statement {
	return []ratelimit.Statement{{Upstream: 1, PerSecond: 2}}
}

func (l *fakeLimits) Merge(list []ratelimit.Statement) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.told = append(l.told, list...)
}

func (l *fakeLimits) list() []float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]float64(nil), l.heard...)
}

// limit gives an upstream a limit of 2 requests per second and tokens.
func (l *fakeLimits) limit(u *fakeUpstream, tokens int) { l.limitTo(u, 2, tokens) }

func (l *fakeLimits) limitTo(u *fakeUpstream, perSecond float64, tokens int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.limits == nil {
		l.limits, l.tokens = map[uint64]float64{}, map[uint64]int{}
	}
	l.limits[u.begun()], l.tokens[u.begun()] = perSecond, tokens
}

func (l *fakeLimits) wanted(u *fakeUpstream) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.wants[u.begun()]
}

// limited answers with the given text as limit.
func limited(c net.Conn, r *received, status int, limit string) bool {
	_, err := fmt.Fprintf(c, "HTTP/1.1 %d X\r\nX-Id: %s\r\nX-Seal: s\r\nX-Limit: %s\r\nContent-Length: 2\r\n\r\nok", status, r.header.Get("X-Id"), limit)
	return err == nil
}

// Guards against missing an announced limit, and against accepting one that was not announced.
func TestLimitIsReadFromEachAnswer(t *testing.T) {
	said := []string{"2.5", "-1", "many", "NaN", "1e300", "0", ""}
	a := startUpstream(t, "a", func(n int, r *received, c net.Conn) bool {
		if n <= len(said) {
			return limited(c, r, 200, said[n-1])
		}
		return echo(n, r, c)
	})
	b := start(t, a)
	c := b.caller()
	for i := range len(said) + 1 {
		r := c.call("POST", "/idem/x", fmt.Sprint("r", i), "x")
		Expect(r.status).To(Equal(200))
	}
	Expect(b.limits.list()).To(Equal([]float64{2.5, 0.05, 0, 0}), "an unparsable limit is ignored, one below the minimum is raised to it, and a response without one ends it")
}

// Guards against sending requests to an upstream at its limit while another one has free capacity.
func TestUpstreamAtItsLimitIsPassedOver(t *testing.T) {
	a, z := startUpstream(t, "a", echo), startUpstream(t, "z", echo)
	b := start(t, a, z)
	b.limits.limit(a, 2)
	c := b.caller()
	for i := range 20 {
		Expect(c.call("POST", "/idem/x", fmt.Sprint("r", i), "x").status).To(Equal(200))
	}
	Expect(len(a.requests())).To(BeNumerically("<=", 2))
	Expect(b.limits.wanted(a)).To(BeNumerically(">", 0), "a token is requested")
	Expect(b.limits.wanted(z)).To(BeZero())
}

// Guards against refusing requests immediately although a token is on its way, and against refusals
// without a retry time.
func TestRequestWaitsForTokenAndGetsRetryTime(t *testing.T) {
	a := startUpstream(t, "a", echo)
	b := start(t, a)
	table := routes()
	for i := range table.Routes {
		table.Routes[i].Target = 2 * time.Second
	}
	b.use(table)
	b.limits.limit(a, 0)
	time.AfterFunc(100*time.Millisecond, func() { b.limits.limit(a, 1) })
	begun := time.Now()
	Expect(b.caller().call("POST", "/idem/x", "r1", "x").status).To(Equal(200))
	Expect(time.Since(begun)).To(BeNumerically(">=", 90*time.Millisecond))
	r := b.caller().call("POST", "/idem/x", "r2", "x")
	Expect(r.status).To(Equal(503))
	Expect(r.body).To(ContainSubstring("limits"))
	after, err := strconv.ParseFloat(r.header.Get("Retry-After"), 64)
	Expect(err).NotTo(HaveOccurred())
	Expect(after).To(BeNumerically("~", 0.5, 0.35), "one request waits, and the upstream accepts two a second")
	Expect(a.requests()).To(HaveLen(1))
}

// Guards against losing a token when the connection could not be made.
func TestTokenOfUnsentRequestIsReturned(t *testing.T) {
	a := startGone(t, "a")
	b := start(t, a)
	b.limits.limit(a, 1)
	Expect(b.caller().call("POST", "/idem/x", "r1", "x").status).To(Equal(503))
	b.limits.mu.Lock()
	defer b.limits.mu.Unlock()
	Expect(b.limits.returned).To(Equal(1))
}

// Guards against an instance that does not report limits to others, or ignores theirs.
func TestLimitsAreExchangedWithLoads(t *testing.T) {
	a := startUpstream(t, "a", echo)
	b := start(t, a)
	Expect(b.service.Report().Limits).To(BeEmpty(), "without a limit nothing is reported")
	b.limits.limit(a, 0)
	r := b.service.Report()
	Expect(r.Limits).To(HaveLen(1))
	Expect(r.Busy).To(BeTrue())
	b.service.TakeReport(&serving.Report{Limits: r.Limits})
	b.limits.mu.Lock()
	defer b.limits.mu.Unlock()
	Expect(b.limits.told).To(Equal(r.Limits))
}

// Guards against reporting a request as not run although a first upstream may have run it and no
// other one had capacity for the second attempt.
func TestRefusalAfterUnknownOutcomeIsNotReportedAsNotRun(t *testing.T) {
	a := startUpstream(t, "a", func(int, *received, net.Conn) bool { return false })
	z := startUpstream(t, "z", echo)
	b := start(t, a, z)
	b.limits.limit(z, 0)
	r := b.caller().call("POST", "/idem/x", "r1", "x")
	Expect(a.requests()).To(HaveLen(1))
	Expect(r.status).To(Equal(502))
	Expect(r.body).To(ContainSubstring("may have run"))
}
