// Package telemetry collects the router's metrics: histograms per class, counters per
// organisation, attainment of service levels, goodput and wasted work.
//
// The configuration limits the number of series: labels come only from classes and organisations
// of the current intent, and the series of removed organisations are dropped.
package telemetry

import (
	"context"
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/comfreyladder/comfreyladder/core/intent"
)

// Cause is the reason why generated tokens did not reach the caller.
type Cause string

// The causes of wasted work.
const (
	CauseHangUp       Cause = "caller_hung_up"
	CauseDeadline     Cause = "deadline"
	CauseStreamBroken Cause = "stream_broken"
	CauseHedgeLost    Cause = "hedge_lost"
	// CausePreempted means that the engine preempted the request before it was complete.
	CausePreempted Cause = "preempted"
)

// AttemptKind distinguishes first attempts from retries and hedges.
type AttemptKind string

// The kinds of attempts.
const (
	AttemptFirst AttemptKind = "first"
	AttemptRetry AttemptKind = "retry"
	AttemptHedge AttemptKind = "hedge"
)

// HedgeOutcome is the result of a hedge.
type HedgeOutcome string

// The outcomes of hedges.
const (
	HedgeWon    HedgeOutcome = "won"
	HedgeLost   HedgeOutcome = "lost"
	HedgeFailed HedgeOutcome = "failed"
)

// Observation describes a finished request.
type Observation struct {
	Organisation string
	Class        *intent.Class
	// Code is the error code, empty on success.
	Code string
	// Queue, FirstToken and Total are measured from the request's arrival; FirstToken is 0 if
	// there was no token.
	Queue, FirstToken, Total time.Duration
	Tokens                   int
}

// BetweenTokens returns the mean interval between the tokens of the answer, or 0 for fewer than
// two tokens.
func (o *Observation) BetweenTokens() time.Duration {
	if o.Tokens < 2 {
		return 0
	}
	return (o.Total - o.FirstToken) / time.Duration(o.Tokens-1)
}

// Attained reports whether the request met all targets of its class.
func (o *Observation) Attained() bool {
	c := o.Class
	return o.Code == "" &&
		meetsTarget(o.FirstToken, c.FirstToken) &&
		meetsTarget(o.BetweenTokens(), c.BetweenTokens) &&
		meetsTarget(o.Total, c.Total)
}

func meetsTarget(d, target time.Duration) bool { return target == 0 || d <= target }

// Service holds the process's metrics.
type Service struct {
	set           *metrics.Set
	mu            sync.Mutex
	organisations map[string]bool
}

// New returns a service without observations.
func New() *Service { return &Service{set: metrics.NewSet(), organisations: map[string]bool{}} }

// Start implements kernel.Service.
func (s *Service) Start(context.Context) error { return nil }

// Stop implements kernel.Service.
func (s *Service) Stop(context.Context) error {
	s.set.UnregisterAllMetrics()
	return nil
}

// Set returns the set in which other services register their own metrics.
func (s *Service) Set() *metrics.Set { return s.set }

// Observe records a finished request.
func (s *Service) Observe(o *Observation) {
	class := o.Class.Name
	s.histogram("queue_wait_seconds", class).Update(o.Queue.Seconds())
	s.histogram("total_seconds", class).Update(o.Total.Seconds())
	if o.FirstToken > 0 {
		s.histogram("first_token_seconds", class).Update(o.FirstToken.Seconds())
	}
	if interval := o.BetweenTokens(); interval > 0 {
		s.histogram("between_tokens_seconds", class).Update(interval.Seconds())
	}
	s.countRequest(o, class)
}

func (s *Service) countRequest(o *Observation, class string) {
	s.counter(fmt.Sprintf(`requests_total{class=%q,code=%q}`, class, o.Code)).Inc()
	org := fmt.Sprintf(`organisation=%q`, o.Organisation)
	s.counter(`organisation_requests_total{` + org + `}`).Inc()
	s.counter(`organisation_tokens_total{` + org + `}`).Add(o.Tokens)
	if o.Attained() {
		s.counter(fmt.Sprintf(`attained_total{class=%q}`, class)).Inc()
		s.counter(fmt.Sprintf(`goodput_tokens_total{class=%q}`, class)).Add(o.Tokens)
		return
	}
	s.counter(fmt.Sprintf(`missed_total{class=%q}`, class)).Inc()
}

// RecordAttempt counts a request that was granted an upstream.
func (s *Service) RecordAttempt(class string, kind AttemptKind) {
	s.counter(fmt.Sprintf(`attempts_total{class=%q,kind=%q}`, class, kind)).Inc()
}

// RecordResume counts a stream that was resumed after it broke.
func (s *Service) RecordResume(class string) {
	s.counter(fmt.Sprintf(`resumed_total{class=%q}`, class)).Inc()
}

// RecordHedge counts a finished hedge by its outcome.
func (s *Service) RecordHedge(class string, o HedgeOutcome) {
	s.counter(fmt.Sprintf(`hedges_total{class=%q,outcome=%q}`, class, o)).Inc()
}

// RecordWaste counts an attempt whose work was wasted, and the tokens that it generated but that
// did not reach the caller.
func (s *Service) RecordWaste(class string, cause Cause, tokens int) {
	s.counter(fmt.Sprintf(`wasted_attempts_total{class=%q,cause=%q}`, class, cause)).Inc()
	s.counter(fmt.Sprintf(`wasted_tokens_total{class=%q,cause=%q}`, class, cause)).Add(tokens)
}

// RecordRefused counts a request that failed before its class was known, by error code.
func (s *Service) RecordRefused(code string) {
	s.counter(fmt.Sprintf(`refused_total{code=%q}`, code)).Inc()
}

// RetainOrganisations drops the series of organisations that are no longer in the document.
func (s *Service) RetainOrganisations(doc *intent.Document) {
	s.mu.Lock()
	defer s.mu.Unlock()
	next := make(map[string]bool, len(doc.Organisations))
	for _, o := range doc.Organisations {
		next[o.Name] = true
	}
	for name := range s.organisations {
		if !next[name] {
			s.set.UnregisterMetric(fmt.Sprintf(`organisation_requests_total{organisation=%q}`, name))
			s.set.UnregisterMetric(fmt.Sprintf(`organisation_tokens_total{organisation=%q}`, name))
		}
	}
	s.organisations = next
}

// Write writes all series in the Prometheus text format.
func (s *Service) Write(w io.Writer) {
	s.set.WritePrometheus(w)
	metrics.WriteProcessMetrics(w)
}

func (s *Service) histogram(name, class string) *metrics.Histogram {
	return s.set.GetOrCreateHistogram(fmt.Sprintf(`%s{class=%q}`, name, class))
}

func (s *Service) counter(name string) *metrics.Counter { return s.set.GetOrCreateCounter(name) }
