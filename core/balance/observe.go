package balance

import (
	"math"
	"time"
)

// With 200 instances before 80 engines, an instance gets one answer of an engine in ten
// seconds: by its own answers it finds a slow or failing one after all its callers have
// paid for it. So instances tell each other what they observe, as counts and sums, which
// add up whoever saw what, and each goes by the total.

// observedFor is the time constant of observations: long enough that an engine with some
// answers a second is told from its peers, short enough that one that recovers is tried
// again after some seconds.
const observedFor = 3 * time.Second

// Observed is what answers of an upstream have shown, in sums that decay with observedFor.
type Observed struct {
	// Answers counts ended attempts, Failures those of them that failed.
	Answers, Failures float64
	// Predicted and Took are sums of times to the first event, in milliseconds.
	Predicted, Took float64
}

// Add adds what others observed.
func (o *Observed) Add(other Observed) {
	o.Answers += other.Answers
	o.Failures += other.Failures
	o.Predicted += other.Predicted
	o.Took += other.Took
}

// Subtract takes off what one instance observed. A sum that was made before its latest
// report may lack something of it, so nothing falls below zero.
func (o *Observed) Subtract(part Observed) {
	o.Answers = max(0, o.Answers-part.Answers)
	o.Failures = max(0, o.Failures-part.Failures)
	o.Predicted = max(0, o.Predicted-part.Predicted)
	o.Took = max(0, o.Took-part.Took)
}

// Observer sums up what one instance observes of an upstream. It is not safe for
// concurrent use.
type Observer struct {
	sums Observed
	at   time.Time
}

// Sums returns what was observed, as of now.
func (s *Observer) Sums(now time.Time) Observed {
	if s.at.IsZero() {
		return Observed{}
	}
	f := math.Exp(-now.Sub(s.at).Seconds() / observedFor.Seconds())
	o := s.sums
	return Observed{Answers: f * o.Answers, Failures: f * o.Failures, Predicted: f * o.Predicted, Took: f * o.Took}
}

func (s *Observer) add(now time.Time, o Observed) {
	s.sums, s.at = s.Sums(now), now
	s.sums.Add(o)
}

// mostSlowness bounds what a single answer can show, leastSlowness what all can.
const leastSlowness, mostSlowness = 0.7, 8.0

// FirstEvent takes in a first event that was predicted to take a time and took another,
// both in milliseconds.
func (s *Observer) FirstEvent(now time.Time, predicted, took float64) {
	if predicted <= 0 {
		return
	}
	s.add(now, Observed{Predicted: predicted, Took: min(took, mostSlowness*predicted)})
}

// hardFailure is how many failures one counts as that shows that the process is gone or
// can't be reached.
const hardFailure = 4

// Succeeded takes in an attempt that got its answer.
func (s *Observer) Succeeded(now time.Time) { s.add(now, Observed{Answers: 1}) }

// Failed takes in an attempt that failed, by the upstream's fault or the request's own.
func (s *Observer) Failed(now time.Time) { s.add(now, Observed{Answers: 1, Failures: 1}) }

// FailedHard takes in an attempt that found the upstream gone.
func (s *Observer) FailedHard(now time.Time) {
	s.add(now, Observed{Answers: hardFailure, Failures: hardFailure})
}

const (
	// priorMS is how much of its peers' times, in milliseconds, an upstream's own times are
	// mixed with, and priorAnswers how many of their answers: a few answers prove little.
	priorMS      = 400.0
	priorAnswers = 6.0
)

// ScorePeers sets the Slowness and the Errors of all upstreams of a service from what was
// observed of each. Slowness is relative to the peers: in a burst all take longer than
// predicted, which tells nothing about one of them.
func ScorePeers(list []Upstream, observed []Observed) {
	var all Observed
	for i := range observed {
		all.Add(observed[i])
	}
	errors := all.Failures / max(1, all.Answers)
	for i := range list {
		o := &observed[i]
		peers := (all.Took - o.Took + priorMS) / (all.Predicted - o.Predicted + priorMS)
		slowness := (o.Took/peers + priorMS) / (o.Predicted + priorMS)
		list[i].Slowness = min(mostSlowness, max(leastSlowness, slowness))
		list[i].Errors = (o.Failures + priorAnswers*errors) / (o.Answers + priorAnswers)
	}
}
