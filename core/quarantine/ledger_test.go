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

func named(name string) quarantine.Fingerprint {
	return quarantine.FingerprintOf("h", "/", "o", []byte(name))
}

func fingerprints(names ...string) (list []quarantine.Fingerprint) {
	for _, n := range names {
		list = append(list, named(n))
	}
	return list
}

// ran returns attempts that had run for a while.
func ran(d time.Duration, names ...string) (list []quarantine.Attempt) {
	for _, f := range fingerprints(names...) {
		list = append(list, quarantine.NewAttempt(f, d, "o", "/"))
	}
	return list
}

// book is a ledger with crashes a second apart.
type book struct {
	*quarantine.Ledger
	now     time.Time
	crashes uint64
}

func newBook() *book {
	return &book{Ledger: quarantine.NewLedger(quarantine.DefaultPolicy), now: epoch}
}

func (b *book) crash(names ...string) {
	b.crashes++
	b.now = b.now.Add(time.Second)
	b.RecordCrash(b.crashes, b.now, ran(0, names...))
}

func (b *book) verdict() []quarantine.Fingerprint { return b.ToQuarantine(b.now.Add(time.Second)) }

// Guards against a request that ends upstreams and is never found.
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

// Guards against bystanders that are quarantined for the crashes of another request.
func TestCrashesThatAnotherRequestExplainsCountForNobodyElse(t *testing.T) {
	g := NewWithT(t)
	b := newBook()
	for range 5 {
		b.crash("culprit", "often")
	}
	b.crash("culprit")
	g.Expect(b.verdict()).To(Equal(fingerprints("culprit")))
	b.MarkQuarantined(named("culprit"))
	g.Expect(b.Suspects(b.now)).To(BeEmpty())
	g.Expect(b.verdict()).To(BeEmpty())
}

// Guards against a choice by lot between two requests that were under way at the same
// crashes: the next crash tells which it was, or that it can't be told.
func TestRequestsThatCannotBeToldApartWaitForOneMoreCrash(t *testing.T) {
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

// Guards against a second request of the kind that hides behind the first one.
func TestTwoRequestsThatCrashUpstreamsAreBothFound(t *testing.T) {
	g := NewWithT(t)
	b := newBook()
	for range 3 {
		b.crash("one")
		b.crash("two")
	}
	g.Expect(b.verdict()).To(ConsistOf(fingerprints("one", "two")))
}

// Guards against a request that is blamed though upstreams run its like to the end.
func TestSuccessClearsARequest(t *testing.T) {
	g := NewWithT(t)
	b := newBook()
	b.crash("status")
	b.crash("status")
	b.RecordSuccess(named("status"), b.now)
	b.crash("status")
	g.Expect(b.verdict()).To(BeEmpty())
	g.Expect(b.Suspects(b.now)).To(BeEmpty())
}

// Guards against a request that comes often and is blamed for crashes of others in which it
// finds no upstream to succeed at; and against one that is never blamed again.
func TestSuccessCountsForAWhile(t *testing.T) {
	g := NewWithT(t)
	b := newBook()
	b.RecordSuccess(named("status"), b.now)
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

// Guards against the loss of many upstreams at the same moment, as with a rack, that is laid
// on the requests that were under way at all of them.
func TestCrashesAtTheSameMomentCountAsOne(t *testing.T) {
	g := NewWithT(t)
	b := newBook()
	for i := range 10 {
		b.RecordCrash(uint64(i+1), epoch.Add(time.Duration(i)*time.Millisecond), ran(time.Second, "status"))
	}
	b.now = epoch.Add(time.Second)
	g.Expect(b.verdict()).To(BeEmpty())
	g.Expect(b.Suspects(b.now)).To(BeEmpty())
}

// Guards against a request that ends upstreams so fast that its crashes look like one.
func TestCrashOfWhatWasSentAfterTheLastOneCounts(t *testing.T) {
	g := NewWithT(t)
	b := newBook()
	for i := range 3 {
		at := epoch.Add(time.Duration(i) * 30 * time.Millisecond)
		b.RecordCrash(uint64(i+1), at, ran(20*time.Millisecond, "culprit"))
	}
	b.now = epoch.Add(time.Second)
	g.Expect(b.verdict()).To(Equal(fingerprints("culprit")))
}

// Guards against one crash that counts as several since several instances tell of it.
func TestOneCrashToldByManyCountsOnce(t *testing.T) {
	g := NewWithT(t)
	b := newBook()
	for i := range 9 {
		b.RecordCrash(7, epoch.Add(time.Duration(i)*time.Second), ran(0, "a", fmt.Sprint(i)))
	}
	b.now = epoch.Add(10 * time.Second)
	g.Expect(b.verdict()).To(BeEmpty())
}

// Guards against a crash that was none: a host that refuses connections for a moment.
func TestCrashOfAnUpstreamThatAnswersIsTakenBack(t *testing.T) {
	g := NewWithT(t)
	b := newBook()
	b.crash("a")
	b.crash("a")
	b.crash("a")
	b.RetractCrash(2)
	g.Expect(b.verdict()).To(BeEmpty())
}

// Guards against a verdict before all instances could tell what they had under way.
func TestCrashIsNotJudgedBeforeItIsSettled(t *testing.T) {
	g := NewWithT(t)
	b := newBook()
	b.crash("beside")
	b.crash("beside")
	b.crash("beside")
	g.Expect(b.ToQuarantine(b.now)).To(BeEmpty())
	g.Expect(b.Settled(b.now)).To(BeFalse())
	b.RecordCrash(1, epoch.Add(time.Second), ran(0, "culprit"))
	b.RecordCrash(2, epoch.Add(2*time.Second), ran(0, "culprit"))
	b.RecordCrash(3, epoch.Add(3*time.Second), ran(0, "culprit"))
	b.crash("culprit")
	g.Expect(b.verdict()).To(Equal(fingerprints("culprit")))
}

// Guards against a single crash that is taken for proof though it came among others.
func TestOnlyAnIsolatedCrashProvesByItself(t *testing.T) {
	g := NewWithT(t)
	b := newBook()
	b.now = epoch.Add(time.Minute)
	b.crash("x", "beside")
	at := b.now
	proves := func() bool { return b.ConfirmsCrash(named("x"), at, at.Add(2*time.Second)) }
	g.Expect(b.ConfirmsCrash(named("x"), at, at.Add(time.Second/2))).To(BeFalse(), "another one may follow")
	g.Expect(proves()).To(BeTrue())
	b.RecordCrash(99, at.Add(300*time.Millisecond), ran(0, "y"))
	g.Expect(proves()).To(BeFalse())
	b.RetractCrash(99)
	b.crash("beside")
	g.Expect(proves()).To(BeFalse(), "the other one is suspected")
}

// Guards against memory that grows with each crash, and against crashes that count for good.
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

// Guards against members that come to different verdicts since instances told them of the
// same crashes in another order.
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
				all = append(all, report{upstream, at, ran(before, names...)})
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
