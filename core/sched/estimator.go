package sched

import (
	"math"
	"time"

	"github.com/comfreyladder/comfreyladder/core/predict"
)

// Estimator holds measurements of engines and answer lengths. It outlives a Scheduler:
// an instance that does not schedule learns from its own requests (Observe), so that it
// knows slow engines and typical lengths when it becomes the scheduler. It is not safe
// for concurrent use.
type Estimator struct {
	promptWeight float64
	lengths      *predict.Predictor
	engines      map[string]*engineStats
}

// NewEstimator returns an Estimator without measurements.
func NewEstimator(cfg Config) *Estimator {
	cfg = cfg.withDefaults()
	return &Estimator{
		promptWeight: cfg.PromptWeight,
		lengths:      predict.New(cfg.PriorAnswerTokens, maxOrganisationHistograms),
		engines:      map[string]*engineStats{},
	}
}

// Retain removes the measurements of engines that are not listed.
func (k *Estimator) Retain(list []Upstream) {
	listed := make(map[string]*engineStats, len(list))
	for i := range list {
		if f := k.engines[list[i].Name]; f != nil {
			listed[list[i].Name] = f
		}
	}
	k.engines = listed
}

func (k *Estimator) engine(name string) *engineStats {
	f := k.engines[name]
	if f == nil {
		f = &engineStats{}
		k.engines[name] = f
	}
	return f
}

// workOf returns the work of a request: the generated tokens, the weighted prompt
// tokens and 1 for the request itself.
func (k *Estimator) workOf(t *Ticket, tokens float64) float64 {
	return tokens + k.promptWeight*float64(t.PromptTokens) + 1
}

// Observation measures one granted request where no Scheduler does.
type Observation struct {
	k      *Estimator
	ticket Ticket
	engine *engineStats
	stream streamTiming
}

// Observe starts measuring a request that was granted now.
func (k *Estimator) Observe(now time.Time, t Ticket, upstream string) *Observation {
	return &Observation{k: k, ticket: t, engine: k.engine(upstream), stream: streamTiming{grantedAt: now}}
}

// Started records the first token.
func (w *Observation) Started(now time.Time) {
	if w.stream.startedAt.IsZero() {
		w.engine.recordFirstToken(now, &w.stream, w.engine.alpha(now))
	}
}

// Progress records the number of tokens received so far.
func (w *Observation) Progress(now time.Time, tokens int) {
	w.Started(now)
	w.engine.recordProgress(now, &w.stream, tokens, w.engine.alpha(now))
}

// Finish records the end of the request.
func (w *Observation) Finish(now time.Time, o Outcome) {
	if o.Complete {
		w.k.lengths.Observe(w.ticket.Class, w.ticket.Organisation, o.Tokens)
	}
	if !o.Failed && !o.Unused && !w.stream.startedAt.IsZero() {
		w.engine.recordFinish(now, &w.stream, o, w.k.workOf(&w.ticket, float64(o.Tokens)), w.engine.alpha(now))
	}
}

// engineStats holds the measurements of one engine.
type engineStats struct {
	// firstToken is in seconds, tokenRate in tokens a second of one stream, slotRate in
	// work a second of one slot; 0 means unknown.
	firstToken, tokenRate, slotRate float64
	samples                         int
	// observed is when the engine was last seen to generate tokens or to finish a
	// request.
	observed time.Time
}

// streamTiming holds the times of one grant.
type streamTiming struct {
	grantedAt, startedAt time.Time
	// measuredAt and measuredTokens are the time and the token count from which the
	// rate is measured next; a zero time means that none is known.
	measuredAt     time.Time
	measuredTokens int
	// restored is set if another scheduler issued the grant, so that its times are not
	// known.
	restored bool
}

func (f *engineStats) recordFirstToken(now time.Time, s *streamTiming, alpha float64) {
	s.startedAt = now
	if s.restored {
		return
	}
	s.measuredAt, s.measuredTokens = now, 1
	f.firstToken = smooth(f.firstToken, math.Max(now.Sub(s.grantedAt).Seconds(), 1e-6), alpha)
}

const (
	// minMeasuredTokens is the number of tokens needed to measure a stream's rate. With
	// fewer, the time that messages take dominates.
	minMeasuredTokens = 4
	// rateDropFactor is the factor by which a measured rate must be below the known one
	// to count as a change of the engine and not as noise; the measurement is then
	// weighted with rateDropAlpha. All streams of an engine share its steps, so that a
	// single stream is representative.
	rateDropFactor = 2
	rateDropAlpha  = 0.6
)

// recordProgress measures the engine's token rate from a running stream. Measuring only
// when a stream ends would be too late: an engine that slows down finishes few streams,
// so that its slowness would be noticed after many seconds, in which it would get
// requests at the rate of a healthy engine.
func (f *engineStats) recordProgress(now time.Time, s *streamTiming, tokens int, alpha float64) {
	more := tokens - s.measuredTokens
	if more < minMeasuredTokens {
		return
	}
	if elapsed := now.Sub(s.measuredAt).Seconds(); !s.measuredAt.IsZero() && elapsed > 0 {
		rate := float64(more) / elapsed
		if rate*rateDropFactor < f.tokenRate {
			alpha = max(alpha, rateDropAlpha)
		}
		f.tokenRate = smooth(f.tokenRate, rate, alpha)
		f.observed = now
		f.samples++
	}
	s.measuredAt, s.measuredTokens = now, tokens
}

func (f *engineStats) recordFinish(now time.Time, s *streamTiming, o Outcome, work, alpha float64) {
	f.samples++
	f.recordProgress(now, s, o.Tokens, alpha)
	f.observed = now
	if held := now.Sub(s.grantedAt).Seconds(); o.Complete && !s.restored && held > 0 {
		f.slotRate = smooth(f.slotRate, work/held, alpha)
	}
}

// invalidate marks the measurements as stale, so that old ones do not eject an engine
// again before there are new ones.
func (f *engineStats) invalidate() {
	f.samples = min(f.samples, 1)
	f.observed = time.Time{}
}

// stale reports whether the measurements are older than maxMeasurementAge.
func (f *engineStats) stale(now time.Time) bool {
	return now.Sub(f.observed) > maxMeasurementAge
}

// lastTokenRate returns the last measured token rate, or 0 if it is so old that the
// engine must be tried again.
func (f *engineStats) lastTokenRate(now time.Time) float64 {
	if now.Sub(f.observed) > maxEjectionTime {
		return 0
	}
	return f.tokenRate
}

// alpha returns the smoothing weight of the next measurement, which replaces stale
// measurements altogether.
func (f *engineStats) alpha(now time.Time) float64 {
	if f.stale(now) {
		return 1
	}
	return defaultAlpha
}
