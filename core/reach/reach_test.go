package reach

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

var start = time.Unix(1000, 0)

// Guards against an instance that takes the end of upstreams for the loss of its own links.
func TestOnlyWhatAnotherInstanceReachesShowsACut(t *testing.T) {
	RegisterTestingT(t)
	for _, c := range []struct {
		name    string
		result  Result
		byOther bool
		cutOff  bool
	}{
		{"nothing failed", Result{Reached: 1}, false, false},
		{"some upstreams are gone", Result{Reached: 1, Failed: 4}, true, false},
		{"all upstreams are gone, or all instances are cut off", Result{Failed: 5}, false, false},
		{"another instance reaches them", Result{Failed: 5}, true, true},
		{"there is only one upstream", Result{Failed: 1}, true, true},
		{"there are no upstreams", Result{}, true, false},
	} {
		m := &Monitor{}
		m.Checked(start, c.result)
		if c.byOther {
			Expect(m.ReachedByOther()).To(Equal(c.cutOff), c.name)
		}
		Expect(m.CutOff()).To(Equal(c.cutOff), c.name)
		Expect(m.Doubtful()).To(Equal(c.result.Unreached()), c.name)
	}
}

// Guards against a cut that is forgotten because the other instances do not answer for a moment, and
// against one that outlives the links' return.
func TestOnlyAnUpstreamThatIsReachedEndsACut(t *testing.T) {
	RegisterTestingT(t)
	m := &Monitor{}
	m.Checked(start, Result{Failed: 5})
	m.ReachedByOther()
	Expect(m.Checked(start, Result{Failed: 5})).To(BeFalse())
	Expect(m.CutOff()).To(BeTrue())
	Expect(m.Checked(start, Result{Reached: 1, Failed: 1})).To(BeTrue())
	Expect(m.CutOff()).To(BeFalse())
	Expect(m.ReachedByOther()).To(BeFalse(), "an answer through another instance that comes late")
}

// Guards against connections that hang unnoticed, as requests on them wait without an error.
func TestSilenceOfAllConnectionsCallsForACheck(t *testing.T) {
	RegisterTestingT(t)
	m := &Monitor{}
	silence := func(after time.Duration) time.Duration {
		left, awaited := m.SilenceLeft(start.Add(after))
		Expect(awaited).To(BeTrue())
		return left
	}
	m.Await(start)
	Expect(silence(0)).To(Equal(Quiet))
	m.Await(start.Add(Quiet / 2))
	Expect(silence(Quiet)).To(BeZero(), "a second request does not begin the silence anew")
	m.Heard(start.Add(Quiet))
	Expect(silence(Quiet)).To(Equal(Quiet))
}

// Guards against checks again and again while a single response takes long.
func TestChecksForSilenceBecomeRare(t *testing.T) {
	RegisterTestingT(t)
	m := &Monitor{}
	m.Await(start)
	checks, now := 0, start
	for now.Before(start.Add(20 * time.Second)) {
		left, _ := m.SilenceLeft(now)
		if left > 0 {
			now = now.Add(left)
			continue
		}
		checks++
		m.Checked(now, Result{Reached: 1})
	}
	Expect(checks).To(BeNumerically("<=", 7))
	m.Heard(now)
	left, _ := m.SilenceLeft(now)
	Expect(left).To(Equal(Quiet))
}

// Guards against a check in an instance that awaits nothing.
func TestNoCheckWithoutRequests(t *testing.T) {
	RegisterTestingT(t)
	m := &Monitor{}
	_, awaited := m.SilenceLeft(start)
	Expect(awaited).To(BeFalse())
	m.Await(start)
	m.Done()
	_, awaited = m.SilenceLeft(start.Add(time.Hour))
	Expect(awaited).To(BeFalse())
}

// Guards against one check for each of a burst of failures.
func TestResultOfACheckHoldsForABurst(t *testing.T) {
	RegisterTestingT(t)
	m := &Monitor{}
	_, fresh := m.Fresh(start)
	Expect(fresh).To(BeFalse())
	m.Checked(start, Result{Reached: 1})
	_, fresh = m.Fresh(start.Add(Freshness / 2))
	Expect(fresh).To(BeTrue())
	_, fresh = m.Fresh(start.Add(Freshness))
	Expect(fresh).To(BeFalse())
}

// Guards against a check for each request that is lost, and against none while all are.
func TestRequestsLostInARowCallForACheck(t *testing.T) {
	RegisterTestingT(t)
	m := &Monitor{}
	Expect(m.Lost("a")).To(BeFalse())
	Expect(m.Lost("b")).To(BeFalse())
	Expect(m.Lost("a")).To(BeTrue(), "several upstreams")
	m.Checked(start, Result{Reached: 1})
	for range manyLost - 1 {
		Expect(m.Lost("a")).To(BeFalse(), "a single upstream")
	}
	Expect(m.Lost("a")).To(BeTrue())
	m.Prove(start)
	Expect(m.Lost("a")).To(BeFalse(), "after an answer")
	Expect(m.Lost("b")).To(BeFalse())
}

// Guards against doubt that outlasts an answer, and against a cut that an answer from before it ends.
func TestAnAnswerEndsDoubtAndNoCut(t *testing.T) {
	RegisterTestingT(t)
	m := &Monitor{}
	m.Checked(start, Result{Failed: 3})
	Expect(m.Doubtful()).To(BeTrue())
	m.Prove(start)
	Expect(m.Doubtful()).To(BeFalse())
	m.Checked(start, Result{Failed: 3})
	Expect(m.ReachedByOther()).To(BeTrue())
	m.Prove(start)
	Expect(m.CutOff()).To(BeTrue())
}

// Guards against checks while answers on new connections prove the links, and against proof by one that was
// opened before a cut.
func TestAnswerOnANewerConnectionIsProof(t *testing.T) {
	RegisterTestingT(t)
	m := &Monitor{}
	Expect(m.Proved(start)).To(BeFalse())
	m.Prove(start)
	Expect(m.Proved(start.Add(-1))).To(BeTrue())
	Expect(m.Proved(start)).To(BeFalse())
	m.Checked(start, Result{Failed: 3})
	m.ReachedByOther()
	Expect(m.Proved(start.Add(-1))).To(BeFalse(), "cut off")
}

// Guards against an instance that takes the wait for an answer for one.
func TestAwaitingIsNoAnswer(t *testing.T) {
	RegisterTestingT(t)
	m := &Monitor{}
	m.Await(start)
	Expect(m.HeardWithin(start, Quiet)).To(BeFalse())
	m.Heard(start)
	Expect(m.HeardWithin(start.Add(Quiet/2), Quiet)).To(BeTrue())
	Expect(m.HeardWithin(start.Add(Quiet), Quiet)).To(BeFalse())
}

// Guards against an instance that learns of others only after its check has asked for them in vain.
func TestInstanceIsInDoubtWhileItsCheckAsksOthers(t *testing.T) {
	RegisterTestingT(t)
	m := &Monitor{}
	Expect(m.Doubtful()).To(BeFalse())
	m.Ask()
	Expect(m.Doubtful()).To(BeTrue())
	m.Checked(start, Result{Reached: 1})
	Expect(m.Doubtful()).To(BeFalse())
}

// Guards against checks that strain an upstream further, and against a result that is held on to though
// nothing answered, or for longer than it may be.
func TestStrainedUpstreamIsSparedForASpan(t *testing.T) {
	RegisterTestingT(t)
	m := &Monitor{}
	Expect(m.Spares(start, 4, 3)).To(BeFalse())
	for _, c := range []struct {
		strained             bool
		instances, upstreams int
		want                 time.Duration
	}{{false, 4, 8, time.Second / 2}, {false, 40, 1, 40 * time.Second}, {true, 4, 8, 8 * time.Second}, {true, 40, 1, 80 * time.Second}} {
		m.Checked(start, Result{Reached: 1, Failed: 2, Strained: c.strained})
		m.Heard(start.Add(c.want - 1))
		Expect(m.Spares(start.Add(c.want-1), c.instances, c.upstreams)).To(BeTrue(), "%+v", c)
		Expect(m.Spares(start.Add(c.want), c.instances, c.upstreams)).To(BeFalse(), "%+v", c)
	}
	m.Checked(start, Result{Failed: 3})
	Expect(m.Spares(start, 4, 3)).To(BeFalse())
	m.Checked(start, Result{Reached: 1})
	m.Heard(start.Add(-unheard))
	Expect(m.Spares(start.Add(maxUnheardSpan-1), 40, 1)).To(BeTrue())
	Expect(m.Spares(start.Add(maxUnheardSpan), 40, 1)).To(BeFalse(), "nothing was heard meanwhile")
}
