package quarantine_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/comfreyladder/comfreyladder/core/quarantine"
)

var epoch = time.Unix(1_000_000, 0)

func fingerprintOf(name string) quarantine.Fingerprint {
	return quarantine.FingerprintOf("h", "/", "o", []byte(name))
}

func fingerprints(names ...string) (list []quarantine.Fingerprint) {
	for _, n := range names {
		list = append(list, fingerprintOf(n))
	}
	return list
}

// attemptsAfter returns attempts that had run for a duration.
func attemptsAfter(d time.Duration, names ...string) (list []quarantine.Attempt) {
	for _, f := range fingerprints(names...) {
		list = append(list, quarantine.NewAttempt(f, d, "o", "/"))
	}
	return list
}

// testLedger is a ledger whose crashes are a second apart.
type testLedger struct {
	*quarantine.Ledger
	now     time.Time
	crashes uint64
}

func newBook() *testLedger {
	return &testLedger{Ledger: quarantine.NewLedger(quarantine.DefaultPolicy), now: epoch}
}

func (b *testLedger) crash(names ...string) {
	b.crashes++
	b.now = b.now.Add(time.Second)
	b.RecordCrash(b.crashes, b.now, attemptsAfter(0, names...))
}

func (b *testLedger) verdict() []quarantine.Fingerprint {
	return b.ToQuarantine(b.now.Add(time.Second))
}

// Guards against a request that crashes upstreams and is never found.
func TestRequestUnderWayAtEachCrashIsFound(t *testing.T) {
	g := NewWithT(t)
	b := newBook()
	b.crash("culprit", "a")
	b.crash("culprit", "b")
	g.Expect(b.verdict()).To(BeEmpty())
	g.Expect(b.Suspects(b.now)).To(Equal(fingerprints("culprit")))
	b.crash("culprit", "a", "c")
	g.Expect(b.verdict()).To(Equal(fingerprints("culprit")))
}

// Guards against quarantining harmless requests for the crashes caused by another one.
func TestExplainedCrashesDoNotCountForOtherRequests(t *testing.T) {
	g := NewWithT(t)
	b := newBook()
	for range 5 {
		b.crash("culprit", "often")
	}
	b.crash("culprit")
	g.Expect(b.verdict()).To(Equal(fingerprints("culprit")))
	b.MarkQuarantined(fingerprintOf("culprit"))
	g.Expect(b.Suspects(b.now)).To(BeEmpty())
	g.Expect(b.verdict()).To(BeEmpty())
}

// Guards against an arbitrary choice between two requests that were in flight at the same
// crashes. The next crash shows which one caused them, or that they cannot be told apart.
func TestIndistinguishableRequestsNeedOneMoreCrash(t *testing.T) {
	g := NewWithT(t)
	b := newBook()
	for range 3 {
		b.crash("culprit", "beside")
	}
	g.Expect(b.verdict()).To(BeEmpty())
	b.crash("culprit")
	g.Expect(b.verdict()).To(Equal(fingerprints("culprit")))

	b = newBook()
	for range 4 {
		b.crash("culprit", "beside")
	}
	g.Expect(b.verdict()).To(ConsistOf(fingerprints("culprit", "beside")))
}

// Guards against a second crashing request that is masked by the first one.
func TestTwoRequestsThatCrashUpstreamsAreBothFound(t *testing.T) {
	g := NewWithT(t)
	b := newBook()
	for range 3 {
		b.crash("one")
		b.crash("two")
	}
	g.Expect(b.verdict()).To(ConsistOf(fingerprints("one", "two")))
}

// Guards against quarantining a request although upstreams complete requests with the same
// fingerprint.
func TestSuccessClearsARequest(t *testing.T) {
	g := NewWithT(t)
	b := newBook()
	b.crash("status")
	b.crash("status")
	b.RecordSuccess(fingerprintOf("status"), b.now)
	b.crash("status")
	g.Expect(b.verdict()).To(BeEmpty())
	g.Expect(b.Suspects(b.now)).To(BeEmpty())
}

// Guards against quarantining a frequent request for crashes that others cause, during which it
// finds no upstream to succeed at. Also guards against a success that counts forever.
func TestSuccessCountsForAWhile(t *testing.T) {
	g := NewWithT(t)
	b := newBook()
	b.RecordSuccess(fingerprintOf("status"), b.now)
	for range 4 {
		b.crash("status")
	}
	g.Expect(b.verdict()).To(BeEmpty())
	b.now = b.now.Add(quarantine.DefaultPolicy.ExonerationPeriod)
	for range 3 {
		b.crash("status")
	}
	g.Expect(b.verdict()).To(Equal(fingerprints("status")))
}

// Guards against attributing the loss of many upstreams at the same moment, such as that of a
// rack, to the requests that were in flight at all of them.
func TestCrashesAtTheSameMomentCountAsOne(t *testing.T) {
	g := NewWithT(t)
	b := newBook()
	for i := range 10 {
		b.RecordCrash(uint64(i+1), epoch.Add(time.Duration(i)*time.Millisecond), attemptsAfter(time.Second, "status"))
	}
	b.now = epoch.Add(time.Second)
	g.Expect(b.verdict()).To(BeEmpty())
	g.Expect(b.Suspects(b.now)).To(BeEmpty())
}

// Guards against a request that crashes upstreams so fast that its crashes count as one.
func TestCrashOfRequestSentAfterTheLastCrashCounts(t *testing.T) {
	g := NewWithT(t)
	b := newBook()
	for i := range 3 {
		at := epoch.Add(time.Duration(i) * 30 * time.Millisecond)
		b.RecordCrash(uint64(i+1), at, attemptsAfter(20*time.Millisecond, "culprit"))
	}
	b.now = epoch.Add(time.Second)
	g.Expect(b.verdict()).To(Equal(fingerprints("culprit")))
}

// Guards against counting a crash several times because several instances report it.
func TestCrashReportedByManyCountsOnce(t *testing.T) {
	g := NewWithT(t)
	b := newBook()
	for i := range 9 {
		b.RecordCrash(7, epoch.Add(time.Duration(i)*time.Second), attemptsAfter(0, "a", fmt.Sprint(i)))
	}
	b.now = epoch.Add(10 * time.Second)
	g.Expect(b.verdict()).To(BeEmpty())
}

// Guards against counting a false crash: a host that refuses connections for a moment.
func TestCrashOfAnsweringUpstreamIsRetracted(t *testing.T) {
	g := NewWithT(t)
	b := newBook()
	b.crash("a")
	b.crash("a")
	b.crash("a")
	b.RetractCrash(2)
	g.Expect(b.verdict()).To(BeEmpty())
}

// Guards against a verdict before all instances could report their requests in flight.
func TestCrashIsNotJudgedBeforeItIsSettled(t *testing.T) {
	g := NewWithT(t)
	b := newBook()
	b.crash("beside")
	b.crash("beside")
	b.crash("beside")
	g.Expect(b.ToQuarantine(b.now)).To(BeEmpty())
	g.Expect(b.Settled(b.now)).To(BeFalse())
	b.RecordCrash(1, epoch.Add(time.Second), attemptsAfter(0, "culprit"))
	b.RecordCrash(2, epoch.Add(2*time.Second), attemptsAfter(0, "culprit"))
	b.RecordCrash(3, epoch.Add(3*time.Second), attemptsAfter(0, "culprit"))
	b.crash("culprit")
	g.Expect(b.verdict()).To(Equal(fingerprints("culprit")))
}

// Guards against taking a single crash as proof although others happened around it.
func TestOnlyAnIsolatedCrashProvesByItself(t *testing.T) {
	g := NewWithT(t)
	b := newBook()
	b.now = epoch.Add(time.Minute)
	b.crash("x", "beside")
	at := b.now
	proves := func() bool { return b.ConfirmsCrash(fingerprintOf("x"), at, at.Add(2*time.Second)) }
	g.Expect(b.ConfirmsCrash(fingerprintOf("x"), at, at.Add(time.Second/2))).To(BeFalse(), "another crash may follow")
	g.Expect(proves()).To(BeTrue())
	b.RecordCrash(99, at.Add(300*time.Millisecond), attemptsAfter(0, "y"))
	g.Expect(proves()).To(BeFalse())
	b.RetractCrash(99)
	b.crash("beside")
	g.Expect(proves()).To(BeFalse(), "the other request is suspected")
}

// Guards against memory that grows with each crash, and against crashes that count forever.
func TestCrashesAreForgotten(t *testing.T) {
	g := NewWithT(t)
	b := newBook()
	b.crash("a")
	b.crash("a")
	b.now = b.now.Add(quarantine.DefaultPolicy.CrashRetention)
	b.crash("a")
	b.Forget(b.now)
	g.Expect(b.verdict()).To(BeEmpty())
	for range 3 * quarantine.DefaultPolicy.MaxCrashes {
		b.crash("a")
		b.Forget(b.now)
	}
	g.Expect(b.verdict()).To(Equal(fingerprints("a")))
}

// Guards against members that reach different verdicts because instances reported the same
// crashes to them in a different order.
func TestVerdictDoesNotDependOnTheOrderOfReports(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		type report struct {
			upstream uint64
			at       time.Time
			under    []quarantine.Attempt
		}
		var all []report
		for upstream := range uint64(rapid.IntRange(1, 8).Draw(t, "crashes")) {
			at := epoch.Add(time.Duration(rapid.IntRange(0, 2000).Draw(t, "at")) * time.Millisecond)
			for range rapid.IntRange(1, 3).Draw(t, "instances") {
				names := rapid.SliceOfN(rapid.SampledFrom([]string{"a", "b", "c", "d"}), 1, 3).Draw(t, "under way")
				before := time.Duration(rapid.IntRange(0, 500).Draw(t, "sent before")) * time.Millisecond
				all = append(all, report{upstream, at, attemptsAfter(before, names...)})
			}
		}
		judge := func(list []report) []quarantine.Fingerprint {
			l := quarantine.NewLedger(quarantine.DefaultPolicy)
			for _, r := range list {
				l.RecordCrash(r.upstream, r.at, r.under)
			}
			return l.ToQuarantine(epoch.Add(time.Minute))
		}
		want := judge(all)
		rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0))
		rng.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
		if got := judge(append(all, all[0])); !slices.Equal(got, want) {
			t.Fatalf("%v and %v", want, got)
		}
	})
}
