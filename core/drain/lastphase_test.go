package drain_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/comfreyladder/comfreyladder/core/drain"
)

const interval = 50 * time.Millisecond

func newLastPhase() (*drain.Schedule, *drain.LastPhase) {
	s := drain.NewSchedule(begun, 2500*time.Millisecond, 7*time.Second)
	return &s, drain.NewLastPhase(&s, interval)
}

// next ticks once and returns the next step.
func next(f *drain.LastPhase, now time.Time, w drain.Work) drain.Step {
	f.Tick(now)
	return f.Next(now, w)
}

// Guards against counting the time of a freeze as time in which clients could be served.
func TestTimeInWhichTheProcessDidNotRunIsNotCounted(t *testing.T) {
	RegisterTestingT(t)
	r := drain.NewRunTime(interval)
	Expect(r.Tick(at(0))).To(BeZero())
	Expect(r.Tick(at(40))).To(Equal(40 * time.Millisecond))
	Expect(r.Tick(at(5000))).To(Equal(90 * time.Millisecond))
}

// Guards against ending a drain at the first tick after a freeze.
func TestQuietBeginsAnewAfterAFreeze(t *testing.T) {
	RegisterTestingT(t)
	q := drain.NewQuietPeriod(300*time.Millisecond, 10*time.Millisecond)
	for ms := 0; ms < 290; ms += 10 {
		Expect(q.Tick(at(ms), false)).To(BeFalse(), "%d ms", ms)
	}
	Expect(q.Tick(at(2000), false)).To(BeFalse())
	Expect(q.Tick(at(2010), true)).To(BeFalse())
	for ms := 2020; ms < 2310; ms += 10 {
		Expect(q.Tick(at(ms), false)).To(BeFalse(), "%d ms", ms)
	}
	Expect(q.Tick(at(2310), false)).To(BeTrue())
}

// Guards against ending a drain before the connections queued at the listener are served.
func TestADrainEndsAfterItsListener(t *testing.T) {
	RegisterTestingT(t)
	_, f := newLastPhase()
	Expect(next(f, at(3000), drain.Work{Listening: true})).To(Equal(drain.CloseListener))
	Expect(next(f, at(3050), drain.Work{Listening: true})).To(Equal(drain.Wait))
	Expect(next(f, at(3100), drain.Work{Open: 1, All: 1})).To(Equal(drain.Wait))
	Expect(next(f, at(3150), drain.Work{InFlight: 1, Open: 1, All: 1})).To(Equal(drain.Wait))
	Expect(next(f, at(3200), drain.Work{})).To(Equal(drain.End))
}

// Guards against closing the listener while clients have no other instance to go to, and
// against never closing it.
func TestAListenerClosesWhenNothingIsUnderWay(t *testing.T) {
	RegisterTestingT(t)
	_, f := newLastPhase()
	busy := drain.Work{Listening: true, InFlight: 1, Open: 1, All: 1}
	for ms := 2500; ms < 6700; ms += 50 {
		Expect(next(f, at(ms), busy)).To(Equal(drain.Wait), "%d ms", ms)
	}
	Expect(next(f, at(6700), busy)).To(Equal(drain.CloseListener))

	_, f = newLastPhase()
	idle := drain.Work{Listening: true, Open: 1, All: 1}
	for ms := 2500; ms < 3500; ms += 50 {
		Expect(next(f, at(ms), idle)).To(Equal(drain.Wait), "%d ms", ms)
	}
	Expect(next(f, at(3500), idle)).To(Equal(drain.CloseListener))
}

// Guards against a process that resumes after its deadline and resets the connections
// that were opened meanwhile.
func TestDrainThatResumesAfterItsDeadlineStillAnswers(t *testing.T) {
	RegisterTestingT(t)
	_, f := newLastPhase()
	Expect(next(f, at(2500), drain.Work{Listening: true, Open: 1, All: 1})).To(Equal(drain.Wait))
	Expect(next(f, at(9000), drain.Work{Listening: true, Open: 1, All: 1})).To(Equal(drain.CloseListener))
	busy := drain.Work{InFlight: 10, Open: 10, All: 10}
	for ms := 9050; ms < 9300; ms += 50 {
		Expect(next(f, at(ms), busy)).To(Equal(drain.Wait), "%d ms", ms)
	}
	Expect(next(f, at(9300), busy)).To(Equal(drain.GiveUp))
}

// Guards against closing an unused connection by elapsed time instead of the run time in
// which its request could have been read.
func TestUnusedConnectionIsClosedByRunTime(t *testing.T) {
	RegisterTestingT(t)
	var c drain.Conn
	Expect(c.Sweep(100 * time.Millisecond)).To(Equal(drain.CloseLater))
	Expect(c.Sweep(590 * time.Millisecond)).To(Equal(drain.CloseLater))
	Expect(c.Sweep(600 * time.Millisecond)).To(Equal(drain.CloseNow))
	c.BeginRequest()
	Expect(c.Sweep(700 * time.Millisecond)).To(Equal(drain.KeepOpen))
}
