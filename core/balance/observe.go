package balance

import (
	"math"
	"time"
)

// With 200 instances and 80 engines, an instance gets one answer from a given engine in ten seconds.
// From its own answers alone it would detect a slow or failing engine only after all its callers had
// been delayed. Instances therefore exchange their observations as counts and sums, which can be
// added regardless of origin, and each acts on the totals.

// observationWindow is the time constant of the decay of observations: long enough to distinguish an
// engine with some answers per second from its peers, short enough that a recovered one is tried
// again after a few seconds.
const observationWindow = 3 * time.Second

// Observed holds the observed results of an upstream as sums that decay with observationWindow.
type Observed struct {
	// Answers counts finished attempts, and Failures the failed ones among them.
	Answers, Failures float64
	// Predicted and Took are sums of predicted and actual times to the first event, in milliseconds.
	Predicted, Took float64
}

// Add adds the observations of another instance.
func (o *Observed) Add(other Observed) {
	o.Answers += other.Answers
	o.Failures += other.Failures
	o.Predicted += other.Predicted
	o.Took += other.Took
}

// Subtract removes the observations of one instance from a sum. The sum may predate part of that
// instance's latest report, so no value falls below zero.
func (o *Observed) Subtract(part Observed) {
	o.Answers = max(0, o.Answers-part.Answers)
	o.Failures = max(0, o.Failures-part.Failures)
	o.Predicted = max(0, o.Predicted-part.Predicted)
	o.Took = max(0, o.Took-part.Took)
}

// Observer accumulates one instance's observations of an upstream. It is not safe for concurrent
// use.
type Observer struct {
	sums Observed
	at   time.Time
}

// Sums returns the observations, decayed to the given time.
func (s *Observer) Sums(now time.Time) Observed {
	if s.at.IsZero() {
		return Observed{}
	}
	f := math.Exp(-now.Sub(s.at).Seconds() / observationWindow.Seconds())
	o := s.sums
	return Observed{Answers: f * o.Answers, Failures: f * o.Failures, Predicted: f * o.Predicted, Took: f * o.Took}
}

func (s *Observer) add(now time.Time, o Observed) {
	s.sums, s.at = s.Sums(now), now
	s.sums.Add(o)
}

// minSlowness and maxSlowness bound Upstream.Slowness. maxSlowness also bounds how much a single
// answer adds to the sums.
const minSlowness, maxSlowness = 0.7, 8.0

// FirstEvent records the predicted and actual times to a first event, in milliseconds.
func (s *Observer) FirstEvent(now time.Time, predicted, took float64) {
	if predicted <= 0 {
		return
	}
	s.add(now, Observed{Predicted: predicted, Took: min(took, maxSlowness*predicted)})
}

// hardFailureWeight is the number of ordinary failures that equal one that shows the process to be
// gone, unreachable or unwilling to take requests.
const hardFailureWeight = 4

// Succeeded records a successful attempt.
func (s *Observer) Succeeded(now time.Time) { s.add(now, Observed{Answers: 1}) }

// Failed records a failed attempt, whether the upstream or the request caused it.
func (s *Observer) Failed(now time.Time) { s.add(now, Observed{Answers: 1, Failures: 1}) }

// FailedHard records an attempt that the upstream did not take: it is gone, or it rejects requests.
func (s *Observer) FailedHard(now time.Time) {
	s.add(now, Observed{Answers: hardFailureWeight, Failures: hardFailureWeight})
}

const (
	// priorTimeMS and priorAnswers are the amounts of the peers' time, in milliseconds, and of the
	// peers' answers that are mixed into an upstream's own, because a few answers are weak evidence.
	priorTimeMS  = 400.0
	priorAnswers = 6.0
)

// SumObserved adds up observations.
func SumObserved(observed []Observed) (all Observed) {
	for i := range observed {
		all.Add(observed[i])
	}
	return all
}

// ErrorShare returns the share of the answers that failed.
func (o *Observed) ErrorShare() float64 { return o.Failures / max(1, o.Answers) }

// ScorePeers sets the Slowness and Errors of a service's upstreams from the observations of each
// and of all upstreams of the service together. Slowness is relative to the peers: in a burst all
// upstreams exceed the prediction, which does not make any one of them slow.
func ScorePeers(list []Upstream, observed []Observed, all Observed) {
	errors := all.ErrorShare()
	for i := range list {
		o := &observed[i]
		peers := (all.Took - o.Took + priorTimeMS) / (all.Predicted - o.Predicted + priorTimeMS)
		slowness := (o.Took/peers + priorTimeMS) / (o.Predicted + priorTimeMS)
		list[i].Slowness = min(maxSlowness, max(minSlowness, slowness))
		list[i].Errors = (o.Failures + priorAnswers*errors) / (o.Answers + priorAnswers)
	}
}
