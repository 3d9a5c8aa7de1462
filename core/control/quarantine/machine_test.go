package quarantine_test

import (
	"bytes"
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/comfreyladder/comfreyladder/core/control"
	state "github.com/comfreyladder/comfreyladder/core/control/quarantine"
	"github.com/comfreyladder/comfreyladder/core/quarantine"
)

type log struct {
	m       *state.Machine
	index   uint64
	at      time.Time
	crashes uint64
}

func newLog() *log { return &log{m: state.New(), at: time.Unix(1000, 0)} }

func (l *log) apply(c state.Command) []byte {
	b, err := control.Marshal(&c)
	if err != nil {
		panic(err)
	}
	l.index++
	return l.m.Apply(l.index, l.at, b)
}

func named(name string) quarantine.Fingerprint {
	return quarantine.FingerprintOf("h", "/", "o", []byte(name))
}

// crash tells of a crash a second after the last one.
func (l *log) crash(names ...string) {
	l.at = l.at.Add(time.Second)
	l.crashes++
	c := quarantine.Crash{Upstream: l.crashes}
	for _, n := range names {
		c.UnderWay = append(c.UnderWay, quarantine.NewAttempt(named(n), 20*time.Millisecond, "o", "/"+n))
	}
	l.apply(state.Command{Reports: []quarantine.Report{{Crashes: []quarantine.Crash{c}}}})
}

func (l *log) succeed(name string) {
	l.apply(state.Command{Reports: []quarantine.Report{{Succeeded: []quarantine.Success{{Fingerprint: named(name)}}}}})
}

func (l *log) judge() {
	if c, _ := l.m.NextCommand(l.at.Add(time.Second + time.Millisecond)); c != nil {
		l.apply(*c)
	}
}

func (l *log) trial(name string) bool {
	f := named(name)
	return bytes.Equal(l.apply(state.Command{Trial: &f}), state.Granted)
}

// held returns what an instance holds that hears of all changes.
func (l *log) held() map[quarantine.Fingerprint]state.EntryStatus {
	held := map[quarantine.Fingerprint]state.EntryStatus{}
	if c := l.m.Since(0); c != nil {
		for _, h := range c.Entries {
			if !h.Released {
				held[h.Fingerprint] = h
			}
		}
	}
	return held
}

// poisoned is a log with one quarantined request.
func poisoned() *log {
	l := newLog()
	for range 3 {
		l.crash("poison", "other")
	}
	l.crash("poison")
	l.judge()
	return l
}

// Guards against instances that never hear of a quarantine, or of its end.
func TestInstancesHearOfAQuarantineAndItsEnd(t *testing.T) {
	g := NewWithT(t)
	l := newLog()
	g.Expect(l.m.Since(0)).To(BeNil(), "without a crash nothing is told")
	l.crash("poison")
	g.Expect(l.m.Since(0)).To(BeNil(), "nor with one")
	l.crash("poison")
	c := l.m.Since(0)
	g.Expect(c.Suspects).To(Equal([]quarantine.Fingerprint{named("poison")}))
	g.Expect(c.Entries).To(BeEmpty())
	l.crash("poison")
	l.judge()
	c = l.m.Since(c.Index)
	g.Expect(c.Suspects).To(BeEmpty())
	g.Expect(c.Entries).To(ConsistOf(state.EntryStatus{Fingerprint: named("poison"), Trial: true}))
	g.Expect(l.m.Entries()[0]).To(HaveField("Target", "/poison"))
	g.Expect(l.m.Entries()[0]).To(HaveField("Crashes", 3))

	f := named("poison")
	g.Expect(l.apply(state.Command{Release: &f})).To(Equal(state.Granted))
	g.Expect(l.m.Since(c.Index).Entries).To(ConsistOf(state.EntryStatus{Fingerprint: f, Released: true}))
	g.Expect(l.apply(state.Command{Release: &f})).To(Equal(state.Refused))
	l.crash("poison")
	l.judge()
	g.Expect(l.held()).To(BeEmpty(), "what was known against it is forgotten")
}

// Guards against a quarantined request that is run again and again to see whether it has
// changed.
func TestAQuarantinedRequestHasOneTrial(t *testing.T) {
	g := NewWithT(t)
	l := poisoned()
	g.Expect(l.trial("poison")).To(BeFalse(), "not at once")
	l.at = l.at.Add(state.MinTrialInterval)
	g.Expect(l.trial("other")).To(BeFalse())
	g.Expect(l.held()[named("poison")].Final).To(BeFalse(), "as long as it may be innocent")
	g.Expect(l.trial("poison")).To(BeTrue())
	g.Expect(l.held()[named("poison")].Final).To(BeFalse())
	l.crash("poison", "beside")
	l.judge()
	g.Expect(l.held()[named("poison")].Final).To(BeTrue())
	for range 10 {
		l.at = l.at.Add(time.Minute)
		g.Expect(l.trial("poison")).To(BeFalse())
	}
	g.Expect(l.held()[named("poison")].Trial).To(BeFalse())
}

// Guards against an innocent request that fails its trial since another one has ended the
// upstream at which it was made.
func TestATrialBesideAnotherSuspectProvesNothing(t *testing.T) {
	g := NewWithT(t)
	l := poisoned()
	for range 3 {
		l.crash("second")
	}
	l.judge()
	l.at = l.at.Add(state.MinTrialInterval)
	g.Expect(l.trial("poison")).To(BeTrue())
	l.crash("poison", "second")
	l.judge()
	g.Expect(l.held()[named("poison")].Final).To(BeFalse())
	l.at = l.at.Add(state.TrialTimeout)
	g.Expect(l.trial("poison")).To(BeTrue(), "it has one more")
	l.succeed("poison")
	g.Expect(l.held()).NotTo(HaveKey(named("poison")))
}

// Guards against a request that stays undecided for good since the outcome of its trial was
// lost with the instance that made it, and against trial after trial.
func TestATrialWhoseOutcomeIsLostIsRepeatedOnce(t *testing.T) {
	g := NewWithT(t)
	l := poisoned()
	l.at = l.at.Add(state.MinTrialInterval)
	g.Expect(l.trial("poison")).To(BeTrue())
	l.at = l.at.Add(state.TrialTimeout / 2)
	g.Expect(l.trial("poison")).To(BeFalse())
	l.at = l.at.Add(state.TrialTimeout / 2)
	g.Expect(l.trial("poison")).To(BeTrue())
	l.at = l.at.Add(time.Hour)
	g.Expect(l.trial("poison")).To(BeFalse())
	l.judge()
	g.Expect(l.held()[named("poison")].Final).To(BeFalse(), "nothing is proved")
}

// Guards against a trial that is lost since no upstream could be reached for it.
func TestATrialThatWasNotMadeIsGivenBack(t *testing.T) {
	g := NewWithT(t)
	l := poisoned()
	l.at = l.at.Add(state.MinTrialInterval)
	f := named("poison")
	g.Expect(l.apply(state.Command{CancelTrial: &f})).To(Equal(state.Refused))
	g.Expect(l.trial("poison")).To(BeTrue())
	g.Expect(l.apply(state.Command{CancelTrial: &f})).To(Equal(state.Granted))
	g.Expect(l.trial("poison")).To(BeFalse(), "two trials are apart")
	l.at = l.at.Add(state.MinTrialInterval)
	g.Expect(l.trial("poison")).To(BeTrue())
}

// Guards against two trials at a time: a crash would not tell which request caused it.
func TestTrialsOfDifferentRequestsAreApart(t *testing.T) {
	g := NewWithT(t)
	l := newLog()
	for range 3 {
		l.crash("one")
		l.crash("two")
	}
	l.judge()
	l.at = l.at.Add(state.MinTrialInterval)
	g.Expect(l.trial("one")).To(BeTrue())
	g.Expect(l.trial("two")).To(BeFalse())
	l.at = l.at.Add(state.MinTrialInterval)
	g.Expect(l.trial("two")).To(BeTrue())
}

// Guards against an innocent request that stays quarantined though an upstream has run it.
func TestSuccessEndsAQuarantine(t *testing.T) {
	g := NewWithT(t)
	l := poisoned()
	l.succeed("poison")
	g.Expect(l.held()).To(BeEmpty())
}

// Guards against a list that grows with each request of the kind.
func TestTheListIsBounded(t *testing.T) {
	g := NewWithT(t)
	l := newLog()
	f := named("0")
	const most = 1024
	for i := range most + 5 {
		l.apply(state.Command{Verdict: []quarantine.Fingerprint{named(fmt.Sprint(i))}})
		if i == 0 {
			l.apply(state.Command{Release: &f})
		}
	}
	entries := l.m.Entries()
	g.Expect(entries).To(HaveLen(most))
	g.Expect(entries[0].Fingerprint).To(Equal(named("5")), "what was released goes first, then the oldest")
	c := l.m.Since(3)
	g.Expect(c.Full).To(BeTrue(), "what was dropped must be dropped by instances too")
	g.Expect(c.Entries).To(HaveLen(most))
}

// Guards against members whose states differ after a restart from a snapshot.
func TestASnapshotHoldsTheWholeState(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b := newLog(), newLog()
		names := rapid.SampledFrom([]string{"a", "b", "c"})
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			step := rapid.IntRange(0, 6).Draw(t, "step")
			name := names.Draw(t, "name")
			more := rapid.SliceOfN(names, 0, 2).Draw(t, "beside")
			for _, l := range []*log{a, b} {
				f := named(name)
				switch step {
				case 0, 1, 2:
					l.crash(append(more, name)...)
				case 3:
					l.succeed(name)
				case 4:
					l.judge()
				case 5:
					l.trial(name)
				case 6:
					l.apply(state.Command{Release: &f})
				}
			}
			snapshot, err := b.m.Snapshot()
			if err != nil {
				t.Fatal(err)
			}
			b.m = state.New()
			if err := b.m.Restore(snapshot); err != nil {
				t.Fatal(err)
			}
			if want, _ := a.m.Snapshot(); !bytes.Equal(want, snapshot) {
				t.Fatalf("%x and %x", want, snapshot)
			}
		}
	})
}

// Guards against a command of no sense that changes the state or ends the member.
func TestWhatDoesNotDecodeChangesNothing(t *testing.T) {
	g := NewWithT(t)
	m := state.New()
	g.Expect(m.Apply(1, time.Unix(1, 0), []byte{0xff, 0x00})).To(BeNil())
	g.Expect(m.Since(0)).To(BeNil())
	g.Expect(m.Restore([]byte{0xff})).NotTo(Succeed())
}
