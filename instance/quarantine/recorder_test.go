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

func named(name string) corequarantine.Fingerprint {
	return corequarantine.FingerprintOf("h", "/", "o", []byte(name))
}

func underWay(names ...string) (list []corequarantine.Attempt) {
	for _, n := range names {
		list = append(list, corequarantine.NewAttempt(named(n), 20*time.Millisecond, "o", "/"+n))
	}
	return list
}

// members are fake members of a control group.
type members struct {
	mu      sync.Mutex
	names   []string
	down    map[string]bool
	reports []corequarantine.Report
	asked   []string
}

func (m *members) Call(_ context.Context, to, channel string, req, resp any) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.asked = append(m.asked, to)
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

func (m *members) told() []corequarantine.Report {
	m.mu.Lock()
	defer m.mu.Unlock()
	return append([]corequarantine.Report(nil), m.reports...)
}

func (m *members) set(f func()) {
	m.mu.Lock()
	defer m.mu.Unlock()
	f()
}

func record(t *testing.T, m *members, alone bool) *quarantine.Recorder {
	RegisterTestingT(t)
	r := quarantine.NewRecorder(quarantine.RecorderConfig{Links: m, Members: m.list, CutOff: func() bool { return alone }})
	Expect(r.Start(context.Background())).To(Succeed())
	t.Cleanup(func() { _ = r.Stop(context.Background()) })
	return r
}

// Guards against a crash that the control group hears of late, or without its age.
func TestCrashIsReportedAtOnceWithItsAge(t *testing.T) {
	m := &members{names: []string{"a"}}
	r := record(t, m, false)
	r.Crashed(7, clock.Now().Add(-time.Second), underWay("x"))
	Eventually(m.told, 100*time.Millisecond, time.Millisecond).Should(HaveLen(1))
	c := m.told()[0].Crashes[0]
	Expect(c.Upstream).To(Equal(uint64(7)))
	Expect(c.AgeMS).To(BeNumerically("~", 1000, 100))
	Expect(c.UnderWay).To(Equal(underWay("x")))
	Consistently(m.told, 300*time.Millisecond).Should(HaveLen(1), "and nothing without a crash")
}

// Guards against reports that are lost with the member that was asked first.
func TestReportGoesToAnotherMemberUntilOneTakesIt(t *testing.T) {
	m := &members{names: []string{"a", "b"}, down: map[string]bool{"a": true, "b": true}}
	r := record(t, m, false)
	r.Crashed(1, clock.Now(), underWay("x"))
	Eventually(func() int { m.mu.Lock(); defer m.mu.Unlock(); return len(m.asked) }, time.Second).Should(BeNumerically(">", 2))
	r.Update(follow.NewQuarantine(1, nil, []corequarantine.Fingerprint{named("y")}))
	r.Succeeded(named("y"))
	m.set(func() { m.down = map[string]bool{"a": true} })
	Eventually(m.told, time.Second).Should(HaveLen(1))
	Expect(m.told()[0].Crashes[0].AgeMS).To(BeNumerically(">=", 100), "the age grows while it waits")
	Expect(m.told()[0].Succeeded).To(HaveLen(1))
	Expect(m.told()[0].Succeeded[0].Fingerprint).To(Equal(named("y")))
}

// Guards against memory that grows with crashes while no member can be reached.
func TestUnsentReportsAreBounded(t *testing.T) {
	m := &members{}
	r := record(t, m, false)
	var all []corequarantine.Fingerprint
	for i := range 1000 {
		all = append(all, named(fmt.Sprint("done ", i)))
	}
	r.Update(follow.NewQuarantine(1, nil, all))
	for i := range 1000 {
		r.Crashed(uint64(i+1), clock.Now(), underWay(fmt.Sprint(i)))
		r.Succeeded(named(fmt.Sprint("done ", i)))
		r.Alive(uint64(i + 1))
	}
	m.set(func() { m.names = []string{"a"} })
	crashes, successes, alive := 0, 0, 0
	Eventually(func() int {
		crashes, successes, alive = 0, 0, 0
		for _, report := range m.told() {
			Expect(len(report.Crashes)).To(BeNumerically("<=", 32))
			crashes, successes, alive = crashes+len(report.Crashes), successes+len(report.Succeeded), alive+len(report.Alive)
		}
		return crashes
	}, 2*time.Second).Should(Equal(256))
	Expect(successes).To(Equal(256))
	Expect(alive).To(Equal(256))
}

// Guards against a request that is blamed though it has succeeded lately: here, before anybody
// suspected it.
func TestRecentSuccessesAreToldOfSuspects(t *testing.T) {
	m := &members{names: []string{"a"}}
	r := record(t, m, false)
	Expect(r.Watching()).To(BeFalse())
	r.Watch()
	Expect(r.Watching()).To(BeTrue())
	r.Succeeded(named("status"))
	Consistently(m.told, 50*time.Millisecond).Should(BeEmpty(), "nobody suspects it")
	r.Crashed(1, clock.Now(), underWay("status", "poison"))
	Eventually(m.told, time.Second).Should(HaveLen(1))
	Expect(m.told()[0].Crashes[0].UnderWay).To(Equal(underWay("poison")))
	r.Crashed(2, clock.Now(), underWay("status"))
	r.Update(follow.NewQuarantine(1, nil, []corequarantine.Fingerprint{named("status")}))
	Eventually(m.told, time.Second).Should(HaveLen(2))
	Expect(m.told()[1].Crashes).To(BeEmpty())
	Expect(m.told()[1].Succeeded).To(HaveLen(1))
	Expect(m.told()[1].Succeeded[0].Fingerprint).To(Equal(named("status")))
}

// Guards against memory that grows with each request that succeeds.
func TestRecentSuccessesAreBounded(t *testing.T) {
	m := &members{names: []string{"a"}}
	r := record(t, m, false)
	const many = 20_000
	for i := range many {
		r.Succeeded(named(fmt.Sprint(i)))
	}
	r.Update(follow.NewQuarantine(1, nil, []corequarantine.Fingerprint{named("0"), named(fmt.Sprint(many - 1))}))
	Eventually(m.told, time.Second).Should(HaveLen(1))
	Expect(m.told()[0].Succeeded).To(HaveLen(1), "the oldest is forgotten")
	Expect(m.told()[0].Succeeded[0].Fingerprint).To(Equal(named(fmt.Sprint(many - 1))))
}

// Guards against an instance that sends a request on without end while it is cut off from the
// control group.
func TestInstanceThatIsAloneGoesByWhatItSaw(t *testing.T) {
	for _, alone := range []bool{true, false} {
		r := record(t, &members{}, alone)
		Expect(r.Idle()).To(BeTrue())
		for i := range 4 {
			Expect(r.Holds(named("poison"))).To(BeFalse())
			r.Crashed(uint64(i+1), clock.Now().Add(time.Duration(i-5)*time.Second), underWay("poison", fmt.Sprint(i)))
			if i == 1 {
				Expect(r.Suspects(named("poison"))).To(BeTrue())
			}
		}
		Expect(r.Holds(named("poison"))).To(Equal(alone), "with a control group, that decides")
		Expect(r.Suspects(named("0"))).To(BeFalse())
		r.Succeeded(named("poison"))
		Expect(r.Holds(named("poison"))).To(BeFalse())
		Expect(r.Idle()).To(BeTrue())
	}
}

func TestTrialIsAskedOfAMember(t *testing.T) {
	m := &members{names: []string{"a"}}
	r := record(t, m, false)
	Expect(r.Trial(context.Background(), named("x"))).To(BeTrue())
	m.set(func() { m.down = map[string]bool{"a": true} })
	Expect(r.Trial(context.Background(), named("x"))).To(BeFalse())
	m.set(func() { m.names = nil })
	Expect(r.Trial(context.Background(), named("x"))).To(BeFalse())
}
