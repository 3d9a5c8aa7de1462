package reach

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// Guards against an instance that takes made connections for answers, and against one that takes the
// silence of upstreams for the loss of its own links.
func TestOnlyAnAnswerThatAnotherInstanceGetsShowsACut(t *testing.T) {
	RegisterTestingT(t)
	for _, c := range []struct {
		name    string
		outcome Outcome
		// byOther is when another instance got an answer, answered when this one did, since the begin;
		// zero means never.
		byOther, answered time.Duration
		want              Verdict
	}{
		{"nobody gets an answer", Pending, 0, 0, Undecided},
		{"no connection, here or elsewhere", Unconnected, 0, 0, Undecided},
		{"no connection but elsewhere", Unconnected, Patience, 0, CutOff},
		{"silence but elsewhere", Pending, Patience, 0, CutOff},
		{"upstreams stood still: all answers come at once", Pending, 4 * time.Second, 4*time.Second + Grace/2, Sound},
		{"an answer here alone", Pending, 0, time.Second, Sound},
	} {
		check := &Check{}
		i := check.Begin(start, false)
		if c.outcome != Pending {
			check.Ended(i, c.outcome, start.Add(c.byOther))
		}
		if c.byOther > 0 {
			check.AnsweredOther(i, start.Add(c.byOther))
		}
		now := start.Add(c.byOther + Grace)
		if c.answered > 0 {
			v, _ := check.Verdict(start.Add(c.answered - time.Millisecond))
			Expect(v).To(Equal(Undecided), c.name)
			check.Ended(i, Answered, start)
		}
		v, _ := check.Verdict(now)
		Expect(v).To(Equal(c.want), c.name)
	}
}

// Guards against an instance that waits without end for an answer that another one got.
func TestGraceEndsByItself(t *testing.T) {
	RegisterTestingT(t)
	check := &Check{}
	i := check.Begin(start, false)
	_, left := check.Verdict(start)
	Expect(left).To(BeZero(), "no other instance was asked")
	check.AnsweredOther(i, start.Add(Patience))
	v, left := check.Verdict(start.Add(Patience))
	Expect(v).To(Equal(Undecided))
	Expect(left).To(Equal(Grace))
	check.AnsweredOther(i, start.Add(Patience+Grace/2))
	v, _ = check.Verdict(start.Add(Patience + Grace))
	Expect(v).To(Equal(CutOff), "a second answer elsewhere prolongs nothing")
}

// Guards against a cut that is found because a brittle upstream drops some connections, and against one
// that is not found as it drops all.
func TestConnectionsThatAreLostAreTriedAgain(t *testing.T) {
	RegisterTestingT(t)
	check := &Check{}
	i := check.Begin(start, false)
	check.Ended(i, Lost, start)
	Expect(check.Retry(i, start)).To(BeFalse(), "before another instance got an answer")
	check.AnsweredOther(i, start)
	for range maxRetries {
		Expect(check.Retry(i, start)).To(BeTrue())
		v, left := check.Verdict(start)
		Expect(v).To(Equal(Undecided))
		Expect(left).To(Equal(Grace))
		check.Ended(i, Lost, start)
	}
	Expect(check.Retry(i, start)).To(BeFalse())
	v, _ := check.Verdict(start)
	Expect(v).To(Equal(CutOff))
	Expect(check.Result()).To(Equal(Result{Failed: 1}))
}

// Guards against a cut that is found though any upstream has answered.
func TestOneAnswerIsEnough(t *testing.T) {
	RegisterTestingT(t)
	check := &Check{}
	lost, sound := check.Begin(start, false), check.Begin(start, false)
	check.Ended(lost, Unconnected, start)
	check.AnsweredOther(lost, start)
	check.Ended(sound, Answered, start)
	v, _ := check.Verdict(start)
	Expect(v).To(Equal(Sound))
	Expect(check.Open()).To(BeZero())
	Expect(check.Result()).To(Equal(Result{Reached: 1, Failed: 1}))
}

// Guards against an instance that waits for a slow answer elsewhere though it can connect to no upstream,
// and against one that blames its links since one upstream started again.
func TestConnectElsewhereIsProofOnlyIfNoneSucceedsHere(t *testing.T) {
	RegisterTestingT(t)
	check := &Check{}
	first, second := check.Begin(start, false), check.Begin(start, false)
	check.Ended(first, Unconnected, start)
	check.AcceptedOther(first, start)
	v, _ := check.Verdict(start)
	Expect(v).To(Equal(Undecided), "the second upstream may answer")
	check.AnsweredOther(first, start)
	Expect(check.Retry(first, start)).To(BeTrue())
	check.Ended(first, Unconnected, start)
	check.Ended(second, Unconnected, start)
	v, _ = check.Verdict(start)
	Expect(v).To(Equal(CutOff))
}

// Guards against a result that spares upstreams checks though one that is not short of room has answered,
// or none has.
func TestResultIsStrainedIfStrainedUpstreamsAloneAnswered(t *testing.T) {
	RegisterTestingT(t)
	check := &Check{}
	ended, strained := check.Begin(start, false), check.Begin(start, true)
	check.Ended(ended, Unconnected, start)
	Expect(check.Result().Strained).To(BeFalse())
	check.Ended(strained, Answered, start)
	Expect(check.Result()).To(Equal(Result{Reached: 1, Failed: 1, Strained: true}))
	check.Ended(ended, Answered, start)
	Expect(check.Result().Strained).To(BeFalse())
}

// Guards against instances that call themselves cut off because upstreams come back between a refused connect
// here and the success of another instance, however short that time is; and against a cut that is not found as
// a refusal is never taken for one.
func TestQuickRefusalCountsOnceTriedAgain(t *testing.T) {
	RegisterTestingT(t)
	check := &Check{}
	i := check.Begin(start, false)
	check.Ended(i, Unconnected, start.Add(time.Millisecond))
	later := start.Add(2 * time.Millisecond)
	check.AcceptedOther(i, later)
	v, _ := check.Verdict(later)
	Expect(v).To(Equal(Undecided))
	Expect(check.Retry(i, later)).To(BeTrue())
	check.Ended(i, Unconnected, later.Add(time.Millisecond))
	v, _ = check.Verdict(later.Add(time.Millisecond))
	Expect(v).To(Equal(CutOff))
}

// Guards against a cut that is found, or sought any further, since nothing was sent to an upstream without
// room.
func TestWithheldRequestProvesNothing(t *testing.T) {
	RegisterTestingT(t)
	check := &Check{}
	gone, full := check.Begin(start, false), check.Begin(start, true)
	check.Ended(gone, Unconnected, start)
	Expect(check.Futile()).To(BeFalse())
	check.Ended(full, Withheld, start)
	check.AnsweredOther(full, start)
	Expect(check.Retry(full, start)).To(BeFalse())
	v, _ := check.Verdict(start.Add(2 * Grace))
	Expect(v).To(Equal(Undecided))
	Expect(check.Futile()).To(BeTrue())
	Expect(check.Result()).To(Equal(Result{Failed: 1, Withheld: 1, Strained: true}))
}

// Guards against instances that call themselves cut off because all upstreams had ended and one has started
// again, where another instance connects first.
func TestUpstreamThatHasStartedSinceIsTriedAgain(t *testing.T) {
	RegisterTestingT(t)
	check := &Check{}
	i, other := check.Begin(start, false), check.Begin(start, false)
	check.Ended(i, Unconnected, start)
	check.Ended(other, Unconnected, start)
	later := start.Add(2 * Grace)
	check.AcceptedOther(i, later)
	v, _ := check.Verdict(later)
	Expect(v).To(Equal(Undecided))
	Expect(check.Retry(i, later)).To(BeTrue())
	check.Ended(i, Unconnected, later)
	v, _ = check.Verdict(later)
	Expect(v).To(Equal(CutOff), "it could not connect now either")
	Expect(check.Retry(other, later)).To(BeFalse(), "nobody could connect there")
	check.Ended(i, Answered, later)
	v, _ = check.Verdict(later)
	Expect(v).To(Equal(Sound))
}
