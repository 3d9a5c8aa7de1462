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

// fakeQuarantine notes what it is told, and grants trials.
type fakeQuarantine struct {
	mu        sync.Mutex
	crashed   map[uint64][]quarantine.Attempt
	watching  bool
	succeeded []quarantine.Fingerprint
	alive     []uint64
	suspects  map[quarantine.Fingerprint]bool
	trials    int
	returned  int
}

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

// told returns the result of a look at what was told.
func told[T any](q *fakeQuarantine, look func() T) func() T {
	return func() T {
		q.mu.Lock()
		defer q.mu.Unlock()
		return look()
	}
}

// quarantine puts a list in the view.
func (b *bed) quarantine(held []listed.EntryStatus, suspects ...quarantine.Fingerprint) {
	b.state.mu.Lock()
	defer b.state.mu.Unlock()
	v := *b.state.view
	v.Quarantine = follow.NewQuarantine(1, held, suspects)
	b.state.view = &v
}

func contentOf(path, body string) quarantine.Fingerprint {
	return quarantine.FingerprintOf("h", path, "org", []byte(body))
}

// Guards against a crash of which the others never hear what was under way.
func TestWhatWasUnderWayAtACrashIsTold(t *testing.T) {
	a := startCrashing(t, "a")
	b := start(t, a)
	Expect(b.caller().call("POST", "/once/x", "r1", "poison").status).To(Equal(502))
	underWay := func() []quarantine.Attempt { return b.list.crashed[a.begun()] }
	Eventually(told(b.list, underWay), limit).Should(HaveLen(1))
	at := told(b.list, underWay)()[0]
	Expect(at.Fingerprint).To(Equal(contentOf("/once/x", "poison")))
	Expect(at.Organisation).To(Equal("org"))
	Expect(at.Target).To(Equal("/once/x"))
}

// Guards against a quarantined request that reaches an upstream, and against callers that
// send it again since they are not told that it is final.
func TestQuarantinedRequestIsRefusedForGood(t *testing.T) {
	a := startUpstream(t, "a", echo)
	b := start(t, a)
	b.quarantine([]listed.EntryStatus{{Fingerprint: contentOf("/idem/x", "poison"), Trial: true}})
	c := b.caller()
	r := c.call("POST", "/idem/x", "r0", "poison")
	Expect(r.status).To(Equal(503), "it may be innocent")
	Expect(r.header.Get("Retry-After")).To(Equal("1.000"))
	b.quarantine([]listed.EntryStatus{{Fingerprint: contentOf("/idem/x", "poison"), Final: true}})
	r = c.call("POST", "/idem/x", "r1", "poison")
	Expect(r.status).To(Equal(400))
	Expect(r.body).To(ContainSubstring("do not send it again"))
	Expect(r.header.Get("Retry-After")).To(BeEmpty())
	Expect(a.requests()).To(BeEmpty())
	Expect(c.call("POST", "/idem/x", "r2", "other").status).To(Equal(200), "another content is another request")
	Expect(c.call("POST", "/once/x", "r3", "poison").status).To(Equal(200), "so is another path")
}

// Guards against a retry of a suspected request, which ends a second upstream.
func TestSuspectedRequestIsNotSentToASecondUpstream(t *testing.T) {
	for name, suspect := range map[string]func(*bed, quarantine.Fingerprint){
		"by all": func(b *bed, f quarantine.Fingerprint) { b.quarantine(nil, f) },
		"by this instance": func(b *bed, f quarantine.Fingerprint) {
			b.list.suspects = map[quarantine.Fingerprint]bool{f: true}
		},
	} {
		t.Run(name, func(t *testing.T) {
			a, z := startCrashing(t, "a"), startCrashing(t, "z")
			b := start(t, a, z)
			suspect(b, contentOf("/idem/x", "poison"))
			Expect(b.caller().call("POST", "/idem/x", "r1", "poison").status).To(Equal(502))
			Expect(len(a.requests()) + len(z.requests())).To(Equal(1))
		})
	}
}

// Guards against a stream that goes on at a second upstream, and ends that as well.
func TestSuspectedStreamIsNotResumed(t *testing.T) {
	breaks := func(_ int, r *received, c net.Conn) bool { return events(c, r, 1, 2, false) }
	a, z := startUpstream(t, "a", breaks), startUpstream(t, "z", breaks)
	b := start(t, a, z)
	b.quarantine(nil, contentOf("/stream/x", "poison"))
	Expect(b.caller().call("POST", "/stream/x", "r1", "poison").err).To(HaveOccurred())
	Expect(len(a.requests()) + len(z.requests())).To(Equal(1))
}

// Guards against an innocent request that is suspected, or stays quarantined, though it was run
// to its end; and against hashing large requests on days without a lost connection.
func TestSuccessesAreNoted(t *testing.T) {
	a := startUpstream(t, "a", func(n int, r *received, c net.Conn) bool { return n != 3 && echo(n, r, c) })
	b := start(t, a)
	succeeded := told(b.list, func() []quarantine.Fingerprint { return b.list.succeeded })
	large := strings.Repeat("x", 32<<10)
	Expect(b.caller().call("POST", "/idem/x", "r1", "x").status).To(Equal(200))
	Expect(b.caller().call("POST", "/idem/x", "r2", large).status).To(Equal(200))
	Expect(succeeded()).To(Equal([]quarantine.Fingerprint{contentOf("/idem/x", "x")}))
	Expect(b.caller().call("POST", "/once/x", "r3", "y").status).To(Equal(502))
	Expect(b.caller().call("POST", "/idem/x", "r4", large).status).To(Equal(200))
	Expect(succeeded()).To(Equal([]quarantine.Fingerprint{contentOf("/idem/x", "x"), contentOf("/idem/x", large)}))
}

// Guards against a trial that is made twice, or repeated elsewhere.
func TestTrialIsMadeOnceAtOneUpstream(t *testing.T) {
	a, z := startCrashing(t, "a"), startCrashing(t, "z")
	b := start(t, a, z)
	b.list.trials = 1
	b.quarantine([]listed.EntryStatus{{Fingerprint: contentOf("/idem/x", "poison"), Trial: true}})
	Expect(b.caller().call("POST", "/idem/x", "r1", "poison").status).To(Equal(502))
	Expect(b.caller().call("POST", "/idem/x", "r2", "poison").status).To(Equal(503))
	Expect(len(a.requests()) + len(z.requests())).To(Equal(1))
	Consistently(told(b.list, func() int { return b.list.returned }), 200*time.Millisecond).Should(BeZero())
}

// Guards against a trial that arrives at a second upstream since the first one rejected it.
func TestRejectedTrialGoesNowhereElse(t *testing.T) {
	rejects := func(_ int, r *received, c net.Conn) bool { return notRun(c, r) }
	a, z := startUpstream(t, "a", rejects), startUpstream(t, "z", rejects)
	b := start(t, a, z)
	b.list.trials = 1
	b.quarantine([]listed.EntryStatus{{Fingerprint: contentOf("/idem/x", "poison"), Trial: true}})
	Expect(b.caller().call("POST", "/idem/x", "r1", "poison").status).To(Equal(503))
	Expect(len(a.requests()) + len(z.requests())).To(Equal(1))
}

// Guards against a trial that is lost since no upstream could be reached.
func TestTrialThatReachesNoUpstreamIsGivenBack(t *testing.T) {
	a := startUpstream(t, "a", echo)
	_ = a.listener.Close()
	b := start(t, a)
	b.list.trials = 1
	b.quarantine([]listed.EntryStatus{{Fingerprint: contentOf("/idem/x", "poison"), Trial: true}})
	Expect(b.caller().call("POST", "/idem/x", "r1", "poison").status).To(Equal(503))
	Eventually(told(b.list, func() int { return b.list.returned })).Should(Equal(1))
}

// Guards against requests that are blamed for the crash of an upstream that only refused
// connections for a moment.
func TestUpstreamThatAnswersAgainHasNotCrashed(t *testing.T) {
	a := startCrashing(t, "a")
	b := start(t, a)
	Expect(b.caller().call("POST", "/once/x", "r1", "x").status).To(Equal(502))
	Eventually(told(b.list, func() int { return len(b.list.crashed) }), limit).Should(Equal(1))
	l, err := net.Listen("tcp4", a.listener.Addr().String())
	Expect(err).NotTo(HaveOccurred())
	t.Cleanup(func() { _ = l.Close() })
	go a.accept(l)
	Eventually(func() int { return b.caller().call("POST", "/once/x", "r2", "y").status }, limit).Should(Equal(200))
	Expect(told(b.list, func() []uint64 { return b.list.alive })()).To(Equal([]uint64{a.begun()}))
}

// Guards against a request that is sent though it was quarantined while it waited for room.
func TestRequestThatIsQuarantinedWhileItWaitsIsNotSent(t *testing.T) {
	a := startUpstream(t, "a", echo)
	b := start(t, a)
	table := routes()
	table.Routes[0].Target = 2 * time.Second
	b.use(table)
	b.limits.limit(a, 0)
	time.AfterFunc(50*time.Millisecond, func() { b.quarantine([]listed.EntryStatus{{Fingerprint: contentOf("/idem/x", "poison"), Final: true}}) })
	time.AfterFunc(100*time.Millisecond, func() { b.limits.limit(a, 1) })
	Expect(b.caller().call("POST", "/idem/x", "r1", "poison").status).To(Equal(400))
	Expect(a.requests()).To(BeEmpty())
}
