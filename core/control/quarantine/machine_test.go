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

// testLog applies commands to a Machine as a log does.
type testLog struct {
	m       *state.Machine
	index   uint64
	at      time.Time
	crashes uint64
}

func newLog() *testLog { return &testLog{m: state.New(), at: time.Unix(1000, 0)} }

func (l *testLog) apply(c state.Command) []byte {
	b, err := control.Marshal(&c)
	if err != nil {
		panic(err)
	}
	l.index++
	return l.m.Apply(l.index, l.at, b)
}

func fingerprintOf(name string) quarantine.Fingerprint {
	return quarantine.FingerprintOf("h", "/", "o", []byte(name))
}

// crash reports a crash one second after the previous one.
func (l *testLog) crash(names ...string) {
	l.at = l.at.Add(time.Second)
	l.crashes++
	c := quarantine.Crash{Upstream: l.crashes}
	for _, n := range names {
		c.UnderWay = append(c.UnderWay, quarantine.NewAttempt(fingerprintOf(n), 20*time.Millisecond, "o", "/"+n))
	}
	l.apply(state.Command{Reports: []quarantine.Report{{Crashes: []quarantine.Crash{c}}}})
}

func (l *testLog) succeed(name string) {
	l.apply(state.Command{Reports: []quarantine.Report{{Succeeded: []quarantine.Success{{Fingerprint: fingerprintOf(name)}}}}})
}

func (l *testLog) decide() {
	if c, _ := l.m.NextCommand(l.at.Add(time.Second + time.Millisecond)); c != nil {
		l.apply(*c)
	}
}

func (l *testLog) trial(name string) bool {
	f := fingerprintOf(name)
	return bytes.Equal(l.apply(state.Command{Trial: &f}), state.Granted)
}

// activeEntries returns the unreleased entries of an instance that has received all changes.
func (l *testLog) activeEntries() map[quarantine.Fingerprint]state.EntryStatus {
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

// logWithQuarantine returns a log with one quarantined request.
func logWithQuarantine() *testLog {
	l := newLog()
	for range 3 {
		l.crash("poison", "other")
	}
	l.crash("poison")
	l.decide()
	return l
}

// Guards against instances that never learn of a quarantine or of its end.
func TestChangesReportQuarantineAndRelease(t *testing.T) {
	g := NewWithT(t)
	l := newLog()
	g.Expect(l.m.Since(0)).To(BeNil(), "no changes before the first crash")
	l.crash("poison")
	g.Expect(l.m.Since(0)).To(BeNil(), "no changes after a single crash")
	l.crash("poison")
	c := l.m.Since(0)
	g.Expect(c.Suspects).To(Equal([]quarantine.Fingerprint{fingerprintOf("poison")}))
	g.Expect(c.Entries).To(BeEmpty())
	l.crash("poison")
	l.decide()
	c = l.m.Since(c.Index)
	g.Expect(c.Suspects).To(BeEmpty())
	g.Expect(c.Entries).To(ConsistOf(state.EntryStatus{Fingerprint: fingerprintOf("poison"), Trial: true}))
	g.Expect(l.m.Entries()[0]).To(HaveField("Target", "/poison"))
	g.Expect(l.m.Entries()[0]).To(HaveField("Crashes", 3))

	f := fingerprintOf("poison")
	g.Expect(l.apply(state.Command{Release: &f})).To(Equal(state.Granted))
	g.Expect(l.m.Since(c.Index).Entries).To(ConsistOf(state.EntryStatus{Fingerprint: f, Released: true}))
	g.Expect(l.apply(state.Command{Release: &f})).To(Equal(state.Refused))
	l.crash("poison")
	l.decide()
	g.Expect(l.activeEntries()).To(BeEmpty(), "a release discards the evidence")
}

// Guards against running a quarantined request repeatedly to check whether it still crashes
// upstreams.
func TestAQuarantinedRequestHasOneTrial(t *testing.T) {
	g := NewWithT(t)
	l := logWithQuarantine()
	g.Expect(l.trial("poison")).To(BeFalse(), "no trial right after the verdict")
	l.at = l.at.Add(state.MinTrialInterval)
	g.Expect(l.trial("other")).To(BeFalse())
	g.Expect(l.activeEntries()[fingerprintOf("poison")].Final).To(BeFalse(), "not final before a trial has failed")
	g.Expect(l.trial("poison")).To(BeTrue())
	g.Expect(l.activeEntries()[fingerprintOf("poison")].Final).To(BeFalse())
	l.crash("poison", "beside")
	l.decide()
	g.Expect(l.activeEntries()[fingerprintOf("poison")].Final).To(BeTrue())
	for range 10 {
		l.at = l.at.Add(time.Minute)
		g.Expect(l.trial("poison")).To(BeFalse())
	}
	g.Expect(l.activeEntries()[fingerprintOf("poison")].Trial).To(BeFalse())
}

// Guards against failing the trial of a harmless request because another request crashed the
// upstream that ran the trial.
func TestATrialBesideAnotherSuspectProvesNothing(t *testing.T) {
	g := NewWithT(t)
	l := logWithQuarantine()
	for range 3 {
		l.crash("second")
	}
	l.decide()
	l.at = l.at.Add(state.MinTrialInterval)
	g.Expect(l.trial("poison")).To(BeTrue())
	l.crash("poison", "second")
	l.decide()
	g.Expect(l.activeEntries()[fingerprintOf("poison")].Final).To(BeFalse())
	l.at = l.at.Add(state.TrialTimeout)
	g.Expect(l.trial("poison")).To(BeTrue(), "a second trial is left")
	l.succeed("poison")
	g.Expect(l.activeEntries()).NotTo(HaveKey(fingerprintOf("poison")))
}

// Guards against a request that stays undecided forever because the outcome of its trial was
// lost with the instance that ran it, and against unlimited trials.
func TestATrialWhoseOutcomeIsLostIsRepeatedOnce(t *testing.T) {
	g := NewWithT(t)
	l := logWithQuarantine()
	l.at = l.at.Add(state.MinTrialInterval)
	g.Expect(l.trial("poison")).To(BeTrue())
	l.at = l.at.Add(state.TrialTimeout / 2)
	g.Expect(l.trial("poison")).To(BeFalse())
	l.at = l.at.Add(state.TrialTimeout / 2)
	g.Expect(l.trial("poison")).To(BeTrue())
	l.at = l.at.Add(time.Hour)
	g.Expect(l.trial("poison")).To(BeFalse())
	l.decide()
	g.Expect(l.activeEntries()[fingerprintOf("poison")].Final).To(BeFalse(), "no trial has failed")
}

// Guards against using up a trial that was not made because no upstream was reachable.
func TestATrialThatWasNotMadeIsGivenBack(t *testing.T) {
	g := NewWithT(t)
	l := logWithQuarantine()
	l.at = l.at.Add(state.MinTrialInterval)
	f := fingerprintOf("poison")
	g.Expect(l.apply(state.Command{CancelTrial: &f})).To(Equal(state.Refused))
	g.Expect(l.trial("poison")).To(BeTrue())
	g.Expect(l.apply(state.Command{CancelTrial: &f})).To(Equal(state.Granted))
	g.Expect(l.trial("poison")).To(BeFalse(), "trials must be MinTrialInterval apart")
	l.at = l.at.Add(state.MinTrialInterval)
	g.Expect(l.trial("poison")).To(BeTrue())
}

// Guards against concurrent trials: a crash could not be attributed to one of the requests.
func TestTrialsOfDifferentRequestsAreApart(t *testing.T) {
	g := NewWithT(t)
	l := newLog()
	for range 3 {
		l.crash("one")
		l.crash("two")
	}
	l.decide()
	l.at = l.at.Add(state.MinTrialInterval)
	g.Expect(l.trial("one")).To(BeTrue())
	g.Expect(l.trial("two")).To(BeFalse())
	l.at = l.at.Add(state.MinTrialInterval)
	g.Expect(l.trial("two")).To(BeTrue())
}

// Guards against a request that stays quarantined although an upstream has completed it.
func TestSuccessEndsAQuarantine(t *testing.T) {
	g := NewWithT(t)
	l := logWithQuarantine()
	l.succeed("poison")
	g.Expect(l.activeEntries()).To(BeEmpty())
}

// Guards against a list that grows without bound with the number of quarantined requests.
func TestTheListIsBounded(t *testing.T) {
	g := NewWithT(t)
	l := newLog()
	f := fingerprintOf("0")
	const most = 1024
	for i := range most + 5 {
		l.apply(state.Command{Verdict: []quarantine.Fingerprint{fingerprintOf(fmt.Sprint(i))}})
		if i == 0 {
			l.apply(state.Command{Release: &f})
		}
	}
	entries := l.m.Entries()
	g.Expect(entries).To(HaveLen(most))
	g.Expect(entries[0].Fingerprint).To(Equal(fingerprintOf("5")), "released entries are dropped first, then the oldest")
	c := l.m.Since(3)
	g.Expect(c.Full).To(BeTrue(), "instances must drop the dropped entries too")
	g.Expect(c.Entries).To(HaveLen(most))
}

// Guards against members whose states diverge after a restart from a snapshot.
func TestASnapshotHoldsTheWholeState(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b := newLog(), newLog()
		names := rapid.SampledFrom([]string{"a", "b", "c"})
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			step := rapid.IntRange(0, 6).Draw(t, "step")
			name := names.Draw(t, "name")
			more := rapid.SliceOfN(names, 0, 2).Draw(t, "beside")
			for _, l := range []*testLog{a, b} {
				f := fingerprintOf(name)
				switch step {
				case 0, 1, 2:
					l.crash(append(more, name)...)
				case 3:
					l.succeed(name)
				case 4:
					l.decide()
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

// Guards against an undecodable command or snapshot that changes the state or stops the member.
func TestUndecodableInputChangesNothing(t *testing.T) {
	g := NewWithT(t)
	m := state.New()
	g.Expect(m.Apply(1, time.Unix(1, 0), []byte{0xff, 0x00})).To(BeNil())
	g.Expect(m.Since(0)).To(BeNil())
	g.Expect(m.Restore([]byte{0xff})).NotTo(Succeed())
}
