package quarantine_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/comfreyladder/comfreyladder/core/fault"
	corequarantine "github.com/comfreyladder/comfreyladder/core/quarantine"
	"github.com/comfreyladder/comfreyladder/instance/clock"
	"github.com/comfreyladder/comfreyladder/instance/follow"
	"github.com/comfreyladder/comfreyladder/instance/quarantine"
)

func fingerprintOf(name string) corequarantine.Fingerprint {
	return corequarantine.FingerprintOf("h", "/", "o", []byte(name))
}

func underWay(names ...string) (list []corequarantine.Attempt) {
	for _, n := range names {
		list = append(list, corequarantine.NewAttempt(fingerprintOf(n), 20*time.Millisecond, "o", "/"+n))
	}
	return list
}

// members is a fake control group.
type members struct {
	mu      sync.Mutex
	names   []string
	down    map[string]bool
	reports []corequarantine.Report
	called  []string
}

func (m *members) Call(_ context.Context, to, channel string, req, resp any) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.called = append(m.called, to)
	if m.down[to] {
		return fault.New(fault.Unavailable, "down")
	}
	switch channel {
	case quarantine.ChannelReport:
		m.reports = append(m.reports, *req.(*corequarantine.Report))
	case quarantine.ChannelTrial:
		resp.(*quarantine.TrialResponse).Granted = !req.(*quarantine.TrialRequest).Cancel
	}
	return nil
}

func (m *members) list() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.names
}

func (m *members) received() []corequarantine.Report {
	m.mu.Lock()
	defer m.mu.Unlock()
	return append([]corequarantine.Report(nil), m.reports...)
}

func (m *members) set(f func()) {
	m.mu.Lock()
	defer m.mu.Unlock()
	f()
}

func startRecorder(t *testing.T, m *members, alone bool) *quarantine.Recorder {
	RegisterTestingT(t)
	r := quarantine.NewRecorder(quarantine.RecorderConfig{Links: m, Members: m.list, CutOff: func() bool { return alone }})
	Expect(r.Start(context.Background())).To(Succeed())
	t.Cleanup(func() { _ = r.Stop(context.Background()) })
	return r
}

// Guards against a crash that is reported late, or without its age.
func TestCrashIsReportedImmediatelyWithItsAge(t *testing.T) {
	m := &members{names: []string{"a"}}
	r := startRecorder(t, m, false)
	r.RecordCrash(7, clock.Now().Add(-time.Second), underWay("x"))
	Eventually(m.received, 100*time.Millisecond, time.Millisecond).Should(HaveLen(1))
	c := m.received()[0].Crashes[0]
	Expect(c.Upstream).To(Equal(uint64(7)))
	Expect(c.AgeMS).To(BeNumerically("~", 1000, 100))
	Expect(c.UnderWay).To(Equal(underWay("x")))
	Consistently(m.received, 300*time.Millisecond).Should(HaveLen(1), "nothing is sent without a crash")
}

// Guards against reports that are lost because the first member failed.
func TestReportIsRetriedAtOtherMembers(t *testing.T) {
	m := &members{names: []string{"a", "b"}, down: map[string]bool{"a": true, "b": true}}
	r := startRecorder(t, m, false)
	r.RecordCrash(1, clock.Now(), underWay("x"))
	Eventually(func() int { m.mu.Lock(); defer m.mu.Unlock(); return len(m.called) }, time.Second).Should(BeNumerically(">", 2))
	r.Update(follow.NewQuarantine(1, nil, []corequarantine.Fingerprint{fingerprintOf("y")}))
	r.RecordSuccess(fingerprintOf("y"))
	m.set(func() { m.down = map[string]bool{"a": true} })
	Eventually(m.received, time.Second).Should(HaveLen(1))
	Expect(m.received()[0].Crashes[0].AgeMS).To(BeNumerically(">=", 100), "the age grows while it waits")
	Expect(m.received()[0].Succeeded).To(HaveLen(1))
	Expect(m.received()[0].Succeeded[0].Fingerprint).To(Equal(fingerprintOf("y")))
}

// Guards against memory use that grows with each crash while no member can be reached.
func TestUnsentReportsAreBounded(t *testing.T) {
	m := &members{}
	r := startRecorder(t, m, false)
	var all []corequarantine.Fingerprint
	for i := range 1000 {
		all = append(all, fingerprintOf(fmt.Sprint("done ", i)))
	}
	r.Update(follow.NewQuarantine(1, nil, all))
	for i := range 1000 {
		r.RecordCrash(uint64(i+1), clock.Now(), underWay(fmt.Sprint(i)))
		r.RecordSuccess(fingerprintOf(fmt.Sprint("done ", i)))
		r.RetractCrash(uint64(i + 1))
	}
	m.set(func() { m.names = []string{"a"} })
	crashes, successes, alive := 0, 0, 0
	Eventually(func() int {
		crashes, successes, alive = 0, 0, 0
		for _, report := range m.received() {
			Expect(len(report.Crashes)).To(BeNumerically("<=", 32))
			crashes, successes, alive = crashes+len(report.Crashes), successes+len(report.Succeeded), alive+len(report.Alive)
		}
		return crashes
	}, 2*time.Second).Should(Equal(256))
	Expect(successes).To(Equal(256))
	Expect(alive).To(Equal(256))
}

// Guards against quarantining a request that succeeded recently, in this case before it was suspected.
func TestRecentSuccessesOfSuspectsAreReported(t *testing.T) {
	m := &members{names: []string{"a"}}
	r := startRecorder(t, m, false)
	Expect(r.TracksLarge()).To(BeFalse())
	r.TrackLarge()
	Expect(r.TracksLarge()).To(BeTrue())
	r.RecordSuccess(fingerprintOf("status"))
	Consistently(m.received, 50*time.Millisecond).Should(BeEmpty(), "it is not suspected")
	r.RecordCrash(1, clock.Now(), underWay("status", "poison"))
	Eventually(m.received, time.Second).Should(HaveLen(1))
	Expect(m.received()[0].Crashes[0].UnderWay).To(Equal(underWay("poison")))
	r.RecordCrash(2, clock.Now(), underWay("status"))
	r.Update(follow.NewQuarantine(1, nil, []corequarantine.Fingerprint{fingerprintOf("status")}))
	Eventually(m.received, time.Second).Should(HaveLen(2))
	Expect(m.received()[1].Crashes).To(BeEmpty())
	Expect(m.received()[1].Succeeded).To(HaveLen(1))
	Expect(m.received()[1].Succeeded[0].Fingerprint).To(Equal(fingerprintOf("status")))
}

// Guards against memory use that grows with each request that succeeds.
func TestRecentSuccessesAreBounded(t *testing.T) {
	m := &members{names: []string{"a"}}
	r := startRecorder(t, m, false)
	const many = 20_000
	for i := range many {
		r.RecordSuccess(fingerprintOf(fmt.Sprint(i)))
	}
	r.Update(follow.NewQuarantine(1, nil, []corequarantine.Fingerprint{fingerprintOf("0"), fingerprintOf(fmt.Sprint(many - 1))}))
	Eventually(m.received, time.Second).Should(HaveLen(1))
	Expect(m.received()[0].Succeeded).To(HaveLen(1), "the oldest is dropped")
	Expect(m.received()[0].Succeeded[0].Fingerprint).To(Equal(fingerprintOf(fmt.Sprint(many - 1))))
}

// Guards against an instance that keeps sending a crashing request while it is cut off from the control
// group.
func TestInstanceThatIsCutOffUsesItsOwnLedger(t *testing.T) {
	for _, alone := range []bool{true, false} {
		r := startRecorder(t, &members{}, alone)
		Expect(r.Idle()).To(BeTrue())
		for i := range 4 {
			Expect(r.Blocks(fingerprintOf("poison"))).To(BeFalse())
			r.RecordCrash(uint64(i+1), clock.Now().Add(time.Duration(i-5)*time.Second), underWay("poison", fmt.Sprint(i)))
			if i == 1 {
				Expect(r.Suspects(fingerprintOf("poison"))).To(BeTrue())
			}
		}
		Expect(r.Blocks(fingerprintOf("poison"))).To(Equal(alone), "the control group decides while it can be reached")
		Expect(r.Suspects(fingerprintOf("0"))).To(BeFalse())
		r.RecordSuccess(fingerprintOf("poison"))
		Expect(r.Blocks(fingerprintOf("poison"))).To(BeFalse())
		Expect(r.Idle()).To(BeTrue())
	}
}

func TestTrialIsRequestedFromMember(t *testing.T) {
	m := &members{names: []string{"a"}}
	r := startRecorder(t, m, false)
	Expect(r.Trial(context.Background(), fingerprintOf("x"))).To(BeTrue())
	m.set(func() { m.down = map[string]bool{"a": true} })
	Expect(r.Trial(context.Background(), fingerprintOf("x"))).To(BeFalse())
	m.set(func() { m.names = nil })
	Expect(r.Trial(context.Background(), fingerprintOf("x"))).To(BeFalse())
}
