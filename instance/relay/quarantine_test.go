package relay_test

import (
	"context"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	listed "github.com/comfreyladder/comfreyladder/core/control/quarantine"
	"github.com/comfreyladder/comfreyladder/core/quarantine"
	"github.com/comfreyladder/comfreyladder/instance/follow"
)

// fakeQuarantine records its calls and grants trials.
type fakeQuarantine struct {
	mu        sync.Mutex
	crashed   map[uint64][]quarantine.Attempt
	watching  bool
	succeeded []quarantine.Fingerprint
	alive     []uint64
	suspects  map[quarantine.Fingerprint]bool
	trials    int
	returned  int
	served    []quarantine.Fingerprint
}

func (q *fakeQuarantine) RecordServed(parts []quarantine.Fingerprint, _ time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.served = append(q.served, parts...)
}

func (q *fakeQuarantine) SuspectsParts(prompt []quarantine.Fingerprint) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, part := range prompt {
		if q.suspects[part] {
			return true
		}
	}
	return false
}

func (q *fakeQuarantine) BlocksParts([]quarantine.Fingerprint) bool { return false }

func (q *fakeQuarantine) RecordCrash(upstream uint64, _ time.Time, underWay []quarantine.Attempt) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.crashed == nil {
		q.crashed = map[uint64][]quarantine.Attempt{}
	}
	q.crashed[upstream] = append(q.crashed[upstream], underWay...)
}

func (q *fakeQuarantine) RecordSuccess(f quarantine.Fingerprint) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.succeeded = append(q.succeeded, f)
}

func (q *fakeQuarantine) TrackLarge() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.watching = true
}

func (q *fakeQuarantine) TracksLarge() bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.watching
}

func (q *fakeQuarantine) RetractCrash(upstream uint64) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.alive = append(q.alive, upstream)
}

func (q *fakeQuarantine) Idle() bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return len(q.suspects) == 0
}

func (q *fakeQuarantine) Suspects(f quarantine.Fingerprint) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.suspects[f]
}

func (q *fakeQuarantine) Blocks(quarantine.Fingerprint) bool { return false }

func (q *fakeQuarantine) Trial(context.Context, quarantine.Fingerprint) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.trials--
	return q.trials >= 0
}

func (q *fakeQuarantine) CancelTrial(context.Context, quarantine.Fingerprint) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.returned++
}

// locked returns a function that calls read while the quarantine is locked.
func locked[T any](q *fakeQuarantine, read func() T) func() T {
	return func() T {
		q.mu.Lock()
		defer q.mu.Unlock()
		return read()
	}
}

// quarantine puts a list into the view.
func (b *relayTest) quarantine(held []listed.EntryStatus, suspects ...quarantine.Fingerprint) {
	b.state.mu.Lock()
	defer b.state.mu.Unlock()
	v := *b.state.view
	v.Quarantine = follow.NewQuarantine(1, held, suspects)
	b.state.view = &v
}

func fingerprintOf(path, body string) quarantine.Fingerprint {
	return quarantine.FingerprintOf("h", path, "org", []byte(body))
}

// Guards against a crash whose requests in flight are not reported to other instances.
func TestCrashReportHoldsRequestsInFlight(t *testing.T) {
	a := startCrashing(t, "a")
	b := start(t, a)
	Expect(b.caller().call("POST", "/once/x", "r1", "poison").status).To(Equal(502))
	underWay := func() []quarantine.Attempt { return b.fakeList.crashed[a.begun()] }
	Eventually(locked(b.fakeList, underWay), requestTimeout).Should(HaveLen(1))
	at := locked(b.fakeList, underWay)()[0]
	Expect(at.Fingerprint).To(Equal(fingerprintOf("/once/x", "poison")))
	Expect(at.Organisation).To(Equal("org"))
	Expect(at.Target).To(Equal("/once/x"))
}

// Guards against sending a quarantined request to an upstream, and against callers that send it
// again because they are not told that the refusal is final.
func TestQuarantinedRequestIsRefusedForGood(t *testing.T) {
	a := startUpstream(t, "a", echo)
	b := start(t, a)
	b.quarantine([]listed.EntryStatus{{Fingerprint: fingerprintOf("/idem/x", "poison"), Trial: true}})
	c := b.caller()
	r := c.call("POST", "/idem/x", "r0", "poison")
	Expect(r.status).To(Equal(503), "it may be innocent")
	Expect(r.header.Get("Retry-After")).To(Equal("1.000"))
	b.quarantine([]listed.EntryStatus{{Fingerprint: fingerprintOf("/idem/x", "poison"), Final: true}})
	r = c.call("POST", "/idem/x", "r1", "poison")
	Expect(r.status).To(Equal(400))
	Expect(r.body).To(ContainSubstring("do not send it again"))
	Expect(r.header.Get("Retry-After")).To(BeEmpty())
	Expect(a.requests()).To(BeEmpty())
	Expect(c.call("POST", "/idem/x", "r2", "other").status).To(Equal(200), "another content is another request")
	Expect(c.call("POST", "/once/x", "r3", "poison").status).To(Equal(200), "so is another path")
}

// Guards against retrying a suspected request, which crashes a second upstream.
func TestSuspectedRequestIsNotSentToASecondUpstream(t *testing.T) {
	for name, suspect := range map[string]func(*relayTest, quarantine.Fingerprint){
		"by all": func(b *relayTest, f quarantine.Fingerprint) { b.quarantine(nil, f) },
		"by this instance": func(b *relayTest, f quarantine.Fingerprint) {
			b.fakeList.suspects = map[quarantine.Fingerprint]bool{f: true}
		},
	} {
		t.Run(name, func(t *testing.T) {
			a, z := startCrashing(t, "a"), startCrashing(t, "z")
			b := start(t, a, z)
			suspect(b, fingerprintOf("/idem/x", "poison"))
			Expect(b.caller().call("POST", "/idem/x", "r1", "poison").status).To(Equal(502))
			Expect(len(a.requests()) + len(z.requests())).To(Equal(1))
		})
	}
}

// Guards against resuming a suspected stream at a second upstream, which crashes as well.
func TestSuspectedStreamIsNotResumed(t *testing.T) {
	breaks := func(_ int, r *received, c net.Conn) bool { return events(c, r, 1, 2, false) }
	a, z := startUpstream(t, "a", breaks), startUpstream(t, "z", breaks)
	b := start(t, a, z)
	b.quarantine(nil, fingerprintOf("/stream/x", "poison"))
	Expect(b.caller().call("POST", "/stream/x", "r1", "poison").err).To(HaveOccurred())
	Expect(len(a.requests()) + len(z.requests())).To(Equal(1))
}

// Guards against an innocent request that is suspected, or stays quarantined, although it
// completed; and against hashing large requests while no connection was lost.
func TestSuccessesAreNoted(t *testing.T) {
	a := startUpstream(t, "a", func(n int, r *received, c net.Conn) bool { return n != 3 && echo(n, r, c) })
	b := start(t, a)
	succeeded := locked(b.fakeList, func() []quarantine.Fingerprint { return b.fakeList.succeeded })
	large := strings.Repeat("x", 32<<10)
	Expect(b.caller().call("POST", "/idem/x", "r1", "x").status).To(Equal(200))
	Expect(b.caller().call("POST", "/idem/x", "r2", large).status).To(Equal(200))
	Expect(succeeded()).To(Equal([]quarantine.Fingerprint{fingerprintOf("/idem/x", "x")}))
	Expect(b.caller().call("POST", "/once/x", "r3", "y").status).To(Equal(502))
	Expect(b.caller().call("POST", "/idem/x", "r4", large).status).To(Equal(200))
	Expect(succeeded()).To(Equal([]quarantine.Fingerprint{fingerprintOf("/idem/x", "x"), fingerprintOf("/idem/x", large)}))
}

// Guards against a trial that runs twice or is repeated elsewhere.
func TestTrialRunsOnceAtOneUpstream(t *testing.T) {
	a, z := startCrashing(t, "a"), startCrashing(t, "z")
	b := start(t, a, z)
	b.fakeList.trials = 1
	b.quarantine([]listed.EntryStatus{{Fingerprint: fingerprintOf("/idem/x", "poison"), Trial: true}})
	Expect(b.caller().call("POST", "/idem/x", "r1", "poison").status).To(Equal(502))
	Expect(b.caller().call("POST", "/idem/x", "r2", "poison").status).To(Equal(503))
	Expect(len(a.requests()) + len(z.requests())).To(Equal(1))
	Consistently(locked(b.fakeList, func() int { return b.fakeList.returned }), 200*time.Millisecond).Should(BeZero())
}

// Guards against a trial that is sent to a second upstream because the first one rejected it.
func TestRejectedTrialGoesNowhereElse(t *testing.T) {
	rejects := func(_ int, r *received, c net.Conn) bool { return notRun(c, r) }
	a, z := startUpstream(t, "a", rejects), startUpstream(t, "z", rejects)
	b := start(t, a, z)
	b.fakeList.trials = 1
	b.quarantine([]listed.EntryStatus{{Fingerprint: fingerprintOf("/idem/x", "poison"), Trial: true}})
	Expect(b.caller().call("POST", "/idem/x", "r1", "poison").status).To(Equal(503))
	Expect(len(a.requests()) + len(z.requests())).To(Equal(1))
}

// Guards against losing a trial because no upstream could be reached.
func TestTrialThatReachesNoUpstreamIsGivenBack(t *testing.T) {
	a := startGone(t, "a")
	b := start(t, a)
	b.fakeList.trials = 1
	b.quarantine([]listed.EntryStatus{{Fingerprint: fingerprintOf("/idem/x", "poison"), Trial: true}})
	Expect(b.caller().call("POST", "/idem/x", "r1", "poison").status).To(Equal(503))
	Eventually(locked(b.fakeList, func() int { return b.fakeList.returned })).Should(Equal(1))
}

// Guards against blaming requests for the crash of an upstream that only refused connections for a
// moment.
func TestUpstreamThatAnswersAgainHasNotCrashed(t *testing.T) {
	a := startCrashing(t, "a")
	b := start(t, a)
	Expect(b.caller().call("POST", "/once/x", "r1", "x").status).To(Equal(502))
	Eventually(locked(b.fakeList, func() int { return len(b.fakeList.crashed) }), requestTimeout).Should(Equal(1))
	l, err := net.Listen("tcp4", a.listener.Addr().String())
	Expect(err).NotTo(HaveOccurred())
	t.Cleanup(func() { _ = l.Close() })
	go a.accept(l)
	Eventually(func() int { return b.caller().call("POST", "/once/x", "r2", "y").status }, requestTimeout).Should(Equal(200))
	Expect(locked(b.fakeList, func() []uint64 { return b.fakeList.alive })()).To(Equal([]uint64{a.begun()}))
}

// Guards against sending a request that was quarantined while it waited for capacity.
func TestRequestThatIsQuarantinedWhileItWaitsIsNotSent(t *testing.T) {
	a := startUpstream(t, "a", echo)
	b := start(t, a)
	table := routes()
	table.Routes[0].Target = 2 * time.Second
	b.use(table)
	b.limits.limit(a, 0)
	time.AfterFunc(50*time.Millisecond, func() {
		b.quarantine([]listed.EntryStatus{{Fingerprint: fingerprintOf("/idem/x", "poison"), Final: true}})
	})
	time.AfterFunc(100*time.Millisecond, func() { b.limits.limit(a, 1) })
	Expect(b.caller().call("POST", "/idem/x", "r1", "poison").status).To(Equal(400))
	Expect(a.requests()).To(BeEmpty())
}
