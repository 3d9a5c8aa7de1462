// Package telemetry counts what the router does: histograms per class, counters
// per organisation, attainment of service levels, goodput and wasted work.
//
// The number of series is bounded by the configuration: labels are taken only
// from classes and organisations of the current intent, and the series of those
// that leave it are dropped.
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

// Cause says why generated tokens reached nobody.
type Cause string

// The causes of wasted work.
const (
	CauseHangUp       Cause = "caller_hung_up"
	CauseDeadline     Cause = "deadline"
	CauseStreamBroken Cause = "stream_broken"
	CauseHedgeLost    Cause = "hedge_lost"
	// CausePreempted means that the engine took the request out before its end.
	CausePreempted Cause = "preempted"
)

// AttemptKind tells first attempts from second ones.
type AttemptKind string

// The kinds of attempts.
const (
	AttemptFirst AttemptKind = "first"
	AttemptRetry AttemptKind = "retry"
	AttemptHedge AttemptKind = "hedge"
)

// HedgeOutcome says what became of a hedge.
type HedgeOutcome string

// The outcomes of hedges.
const (
	HedgeWon    HedgeOutcome = "won"
	HedgeLost   HedgeOutcome = "lost"
	HedgeFailed HedgeOutcome = "failed"
)

// Observation is one finished request.
type Observation struct {
	Organisation string
	Class        *intent.Class
	// Code is the failure's code, empty on success.
	Code string
	// Queue, FirstToken and Total count from the request's arrival; FirstToken
	// is 0 when there was none.
	Queue, FirstToken, Total time.Duration
	Tokens                   int
}

// BetweenTokens returns the mean gap between the tokens of the answer.
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
		within(o.FirstToken, c.FirstToken) &&
		within(o.BetweenTokens(), c.BetweenTokens) &&
		within(o.Total, c.Total)
}

func within(d, target time.Duration) bool { return target == 0 || d <= target }

// Service holds the process's metrics.
type Service struct {
	set   *metrics.Set
	mu    sync.Mutex
	known map[string]bool
}

// New returns a service without observations.
func New() *Service { return &Service{set: metrics.NewSet(), known: map[string]bool{}} }

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
	s.hist("queue_wait_seconds", class).Update(o.Queue.Seconds())
	s.hist("total_seconds", class).Update(o.Total.Seconds())
	if o.FirstToken > 0 {
		s.hist("first_token_seconds", class).Update(o.FirstToken.Seconds())
	}
	if gap := o.BetweenTokens(); gap > 0 {
		s.hist("between_tokens_seconds", class).Update(gap.Seconds())
	}
	s.count(o, class)
}

func (s *Service) count(o *Observation, class string) {
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

// RecordResume counts a stream that broke and was continued.
func (s *Service) RecordResume(class string) {
	s.counter(fmt.Sprintf(`resumed_total{class=%q}`, class)).Inc()
}

// RecordHedge counts the end of a hedge.
func (s *Service) RecordHedge(class string, o HedgeOutcome) {
	s.counter(fmt.Sprintf(`hedges_total{class=%q,outcome=%q}`, class, o)).Inc()
}

// RecordWaste counts an attempt that was of no use, with the tokens that it generated
// and that reached no caller.
func (s *Service) RecordWaste(class string, cause Cause, tokens int) {
	s.counter(fmt.Sprintf(`wasted_attempts_total{class=%q,cause=%q}`, class, cause)).Inc()
	s.counter(fmt.Sprintf(`wasted_tokens_total{class=%q,cause=%q}`, class, cause)).Add(tokens)
}

// RecordRefused counts a request that ended before it had a class, by failure code.
func (s *Service) RecordRefused(code string) {
	s.counter(fmt.Sprintf(`refused_total{code=%q}`, code)).Inc()
}

// RetainOrganisations drops the series of organisations that are not in the document.
func (s *Service) RetainOrganisations(doc *intent.Document) {
	s.mu.Lock()
	defer s.mu.Unlock()
	next := make(map[string]bool, len(doc.Organisations))
	for _, o := range doc.Organisations {
		next[o.Name] = true
	}
	for name := range s.known {
		if !next[name] {
			s.set.UnregisterMetric(fmt.Sprintf(`organisation_requests_total{organisation=%q}`, name))
			s.set.UnregisterMetric(fmt.Sprintf(`organisation_tokens_total{organisation=%q}`, name))
		}
	}
	s.known = next
}

// Write writes all series in the Prometheus text format.
func (s *Service) Write(w io.Writer) {
	s.set.WritePrometheus(w)
	metrics.WriteProcessMetrics(w)
}

func (s *Service) hist(name, class string) *metrics.Histogram {
	return s.set.GetOrCreateHistogram(fmt.Sprintf(`%s{class=%q}`, name, class))
}

func (s *Service) counter(name string) *metrics.Counter { return s.set.GetOrCreateCounter(name) }
