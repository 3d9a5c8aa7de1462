package claim_test

import (
	"bytes"
	"fmt"
	"runtime"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/comfreyladder/comfreyladder/core/claim"
)

const (
	timeout   = 10 * time.Second
	retention = 10 * time.Minute
)

var start = time.Date(2026, 3, 1, 8, 0, 0, 0, time.UTC)

var testLimits = claim.Limits{Bytes: 1 << 20, OrganisationBytes: 1 << 19, ReceiptBytes: 1000}

func key(k string) claim.Key {
	return claim.Key{Organisation: "neihu-dishes", Service: "booking", Idempotency: k}
}

func claimOf(k, attempt, body string) *claim.Command {
	return &claim.Command{Op: claim.OpClaim, Key: key(k), Attempt: attempt, Request: "r-" + attempt, Instance: "i1",
		Digest: claim.Digest("POST", "/book", []byte(body)), Timeout: timeout, Retention: retention}
}

func receiptOf(k, attempt, body string) *claim.Command {
	return &claim.Command{Op: claim.OpReceipt, Key: key(k), Attempt: attempt, Outcome: claim.Done,
		Receipt: &claim.Receipt{Status: 201, Body: []byte(body)}}
}

func op(o claim.Op, k, attempt string) *claim.Command {
	return &claim.Command{Op: o, Key: key(k), Attempt: attempt}
}

func apply(t *testing.T, m *claim.Machine, at time.Time, c *claim.Command) claim.Result {
	t.Helper()
	b, err := claim.Encode(c)
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	var r claim.Result
	NewWithT(t).Expect(claim.Decode(m.Apply(0, at, b), &r)).To(Succeed())
	return r
}

func TestResendGetsTheReceipt(t *testing.T) {
	g, m := NewWithT(t), claim.New(testLimits)
	g.Expect(apply(t, m, start, claimOf("k", "a", "x")).Verdict).To(Equal(claim.Granted))
	g.Expect(apply(t, m, start, claimOf("k", "a", "x")).Verdict).To(Equal(claim.Granted))
	g.Expect(apply(t, m, start, claimOf("k", "b", "x")).Verdict).To(Equal(claim.InProgress))
	g.Expect(apply(t, m, start, claimOf("k", "c", "other")).Verdict).To(Equal(claim.KeyReused))
	g.Expect(apply(t, m, start, receiptOf("k", "b", "forged")).Verdict).To(Equal(claim.Stale))
	g.Expect(apply(t, m, start, receiptOf("k", "a", "ok")).Verdict).To(Equal(claim.Recorded))
	r := apply(t, m, start, claimOf("k", "b", "x"))
	g.Expect(r.Verdict).To(Equal(claim.Settled))
	g.Expect(string(r.View.Receipt.Body)).To(Equal("ok"))
	g.Expect(apply(t, m, start, claimOf("k", "c", "other")).Verdict).To(Equal(claim.KeyReused))
}

// An instance fails after the claim and before the receipt, and the client resends at
// another instance. Whether the call ran cannot be known, so the client is told that, and
// nothing is sent again.
func TestClaimOfADeadInstanceIsUnknown(t *testing.T) {
	g, m := NewWithT(t), claim.New(testLimits)
	apply(t, m, start, claimOf("k", "a", "x"))
	for _, after := range []time.Duration{timeout + 2*time.Second, time.Minute, retention - 1} {
		r := apply(t, m, start.Add(after), claimOf("k", "b", "x"))
		g.Expect(r.Verdict).To(Equal(claim.OutcomeUnknown))
		g.Expect(r.View.Request).To(Equal("r-a"))
	}
	g.Expect(m.Unknowns(start.Add(retention-1), 10)).To(HaveLen(1))
	g.Expect(apply(t, m, start.Add(retention-1), receiptOf("k", "a", "late")).Verdict).To(Equal(claim.Recorded))
	g.Expect(apply(t, m, start.Add(retention-1), claimOf("k", "b", "x")).Verdict).To(Equal(claim.Settled))
}

func TestReleaseAndResolve(t *testing.T) {
	g, m := NewWithT(t), claim.New(testLimits)
	apply(t, m, start, claimOf("k", "a", "x"))
	g.Expect(apply(t, m, start, op(claim.OpRelease, "k", "b")).Verdict).To(Equal(claim.Stale))
	g.Expect(apply(t, m, start, op(claim.OpRelease, "k", "a")).Verdict).To(Equal(claim.Recorded))
	g.Expect(apply(t, m, start, claimOf("k", "b", "x")).Verdict).To(Equal(claim.Granted))
	g.Expect(apply(t, m, start, op(claim.OpUnknown, "k", "b")).Verdict).To(Equal(claim.Recorded))
	g.Expect(apply(t, m, start, op(claim.OpRelease, "k", "b")).Verdict).To(Equal(claim.Stale))
	g.Expect(apply(t, m, start, claimOf("k", "c", "x")).Verdict).To(Equal(claim.OutcomeUnknown))
	done := receiptOf("k", "b", "found")
	done.Op, done.By = claim.OpResolve, "query"
	g.Expect(apply(t, m, start, done).Verdict).To(Equal(claim.Recorded))
	r := apply(t, m, start, claimOf("k", "c", "x"))
	g.Expect(r.Verdict).To(Equal(claim.Settled))
	g.Expect(r.View.ResolvedBy).To(Equal("query"))
	g.Expect(apply(t, m, start, done).Verdict).To(Equal(claim.Stale))
}

// A client resends just after the retention, when the receipt is gone. If the key were
// gone too, the call would run twice.
func TestResendAtTheEdgeOfRetentionIsRefused(t *testing.T) {
	g, m := NewWithT(t), claim.New(testLimits)
	apply(t, m, start, claimOf("k", "a", "x"))
	apply(t, m, start, receiptOf("k", "a", "ok"))
	g.Expect(apply(t, m, start.Add(retention-1), claimOf("k", "b", "x")).Verdict).To(Equal(claim.Settled))
	for _, after := range []time.Duration{retention, 2*retention - 1} {
		g.Expect(apply(t, m, start.Add(after), claimOf("k", "b", "x")).Verdict).To(Equal(claim.Expired))
	}
	g.Expect(apply(t, m, start.Add(2*retention), claimOf("k", "b", "x")).Verdict).To(Equal(claim.Granted))
}

func uuid7(at time.Time) string {
	h := fmt.Sprintf("%012x", at.UnixMilli())
	return h[:8] + "-" + h[8:] + "-7abc-8def-0123456789ab"
}

// A key with a timestamp is never granted twice, however late the resend, even if the
// service's retention was raised or lowered in between or the client's clock is wrong.
func TestKeyThatTellsItsAgeNeverRunsTwice(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := claim.New(testLimits)
		draw := func(name string, of ...time.Duration) time.Duration { return rapid.SampledFrom(of).Draw(t, name) }
		k := uuid7(start.Add(draw("skew", -time.Hour, -time.Minute, 0, 9*time.Second, 4*time.Minute, 6*time.Minute, time.Hour)))
		granted, at := 0, start
		for i := range rapid.IntRange(1, 8).Draw(t, "sends") {
			c := claimOf(k, fmt.Sprint("a", i), "x")
			c.Retention = draw("retention", 2*timeout, retention, time.Hour)
			if m.Step(at, c).Verdict == claim.Granted {
				granted++
			}
			at = at.Add(draw("wait", 0, 2*timeout, 4*timeout, retention, 2*retention, time.Hour, 2*time.Hour))
		}
		if granted > 1 {
			t.Fatalf("granted %d times", granted)
		}
	})
}

func TestFullRefusesNewClaimsAndForgetsNone(t *testing.T) {
	g := NewWithT(t)
	m := claim.New(claim.Limits{Bytes: 20_000, OrganisationBytes: 10_000, ReceiptBytes: 1000})
	n := 0
	for n < 100 && apply(t, m, start, claimOf(fmt.Sprint("k", n), "a", "x")).Verdict == claim.Granted {
		n++
	}
	g.Expect(n).To(BeNumerically(">", 5))
	g.Expect(apply(t, m, start, claimOf("more", "a", "x")).Verdict).To(Equal(claim.Full))
	other := claimOf("k", "a", "x")
	other.Key.Organisation = "banqiao-dishes"
	g.Expect(apply(t, m, start, other).Verdict).To(Equal(claim.Granted))
	g.Expect(apply(t, m, start, receiptOf("k0", "a", string(make([]byte, 900)))).Verdict).To(Equal(claim.Recorded))
	r := apply(t, m, start, claimOf("k0", "b", "x"))
	g.Expect(r.Verdict).To(Equal(claim.Settled))
	g.Expect(r.View.Receipt).To(Equal(&claim.Receipt{Status: 201, Truncated: true}))
}

func TestMalformedCommandsChangeNothing(t *testing.T) {
	g, m := NewWithT(t), claim.New(testLimits)
	var r claim.Result
	g.Expect(claim.Decode(m.Apply(0, start, []byte("junk")), &r)).To(Succeed())
	g.Expect(r.Verdict).To(Equal(claim.Malformed))
	short := claimOf("k", "a", "x")
	short.Digest = short.Digest[:8]
	g.Expect(apply(t, m, start, short).Verdict).To(Equal(claim.Malformed))
	g.Expect(m.Stats(start)).To(Equal(claim.Stats{}))
	g.Expect(m.Restore([]byte("junk"))).NotTo(Succeed())
}

// randomCommand draws a command on one of three keys.
func randomCommand(t *rapid.T, i int) *claim.Command {
	k := rapid.SampledFrom([]string{"k0", "k1", "k2"}).Draw(t, "key")
	attempt := fmt.Sprint("a", rapid.IntRange(0, i).Draw(t, "attempt"))
	switch rapid.IntRange(0, 5).Draw(t, "op") {
	case 0, 1, 2:
		return claimOf(k, fmt.Sprint("a", i), rapid.SampledFrom([]string{"x", "x", "y"}).Draw(t, "body"))
	case 3:
		return receiptOf(k, attempt, "answer of "+attempt)
	case 4:
		return op(claim.OpRelease, k, attempt)
	}
	return op(claim.OpUnknown, k, attempt)
}

// Two members apply the same log, and one may be restored from a snapshot after any
// command. Their results must be byte-identical, and no key may be granted while an
// attempt that was not released may have run.
func TestMembersAgreeAcrossSnapshots(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b := claim.New(testLimits), claim.New(testLimits)
		at := start
		holder := map[claim.Key]time.Time{}
		for i := range rapid.IntRange(1, 40).Draw(t, "n") {
			at = at.Add(time.Duration(rapid.Int64Range(0, int64(3*time.Minute)).Draw(t, "dt")))
			c := randomCommand(t, i)
			data, _ := claim.Encode(c)
			ra, rb := a.Apply(uint64(i), at, data), b.Apply(uint64(i), at, data)
			if !bytes.Equal(ra, rb) {
				t.Fatalf("results differ: %s", c.Op)
			}
			var r claim.Result
			_ = claim.Decode(ra, &r)
			since, held := holder[c.Key]
			if c.Op == claim.OpClaim && r.Verdict == claim.Granted {
				if held && at.Before(since.Add(2*retention)) {
					t.Fatalf("%v granted again after %v", c.Key, at.Sub(since))
				}
				holder[c.Key] = at
			}
			if c.Op == claim.OpRelease && r.Verdict == claim.Recorded {
				delete(holder, c.Key)
			}
			sa, _ := a.Snapshot()
			fresh := claim.New(testLimits)
			if err := fresh.Restore(sa); err != nil {
				t.Fatal(err)
			}
			sb, _ := fresh.Snapshot()
			if !bytes.Equal(sa, sb) || a.Stats(at) != fresh.Stats(at) {
				t.Fatal("the restored state differs")
			}
			if rapid.Bool().Draw(t, "restore") {
				b = fresh
			}
		}
	})
}

// The accounted size must not be below the heap that a claim takes, or the limit in bytes
// would not limit the memory.
func TestBytesPerClaim(t *testing.T) {
	const n = 20_000
	m := claim.New(claim.Limits{Bytes: 1 << 30, OrganisationBytes: 1 << 30, ReceiptBytes: 1000})
	before := heapBytes()
	for i := range n {
		k := fmt.Sprintf("key-%08d-0123456789abcdef01234567", i)
		apply(t, m, start, claimOf(k, "attempt-"+k, "x"))
		apply(t, m, start, receiptOf(k, "attempt-"+k, "booked under number 123456"))
	}
	used := float64(heapBytes()-before) / n
	accounted := float64(m.Stats(start).Bytes) / n
	t.Logf("a settled claim takes %.0f bytes of heap, %.0f accounted", used, accounted)
	if used > accounted {
		t.Errorf("%.0f bytes of heap are more than the %.0f accounted", used, accounted)
	}
	runtime.KeepAlive(m)
}

func heapBytes() uint64 {
	runtime.GC()
	var s runtime.MemStats
	runtime.ReadMemStats(&s)
	return s.HeapAlloc
}

// BenchmarkClaimAndReceipt measures the cost of one call on each voter: applying two log
// entries, their size, and the size of a snapshot.
func BenchmarkClaimAndReceipt(b *testing.B) {
	m := claim.New(claim.Limits{Bytes: 1 << 40, OrganisationBytes: 1 << 40, ReceiptBytes: 1000})
	logged := 0
	for i := range b.N {
		k := fmt.Sprintf("key-%08d-0123456789abcdef01234567", i)
		for _, c := range []*claim.Command{claimOf(k, k, "x"), receiptOf(k, k, "booked under number 123456")} {
			data, _ := claim.Encode(c)
			logged += len(data)
			m.Apply(0, start, data)
		}
	}
	s, _ := m.Snapshot()
	b.ReportMetric(float64(logged)/float64(b.N), "log-B/call")
	b.ReportMetric(float64(len(s))/float64(b.N), "snapshot-B/call")
}
