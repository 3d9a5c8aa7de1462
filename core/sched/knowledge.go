package sched

import (
	"math"
	"time"

	"github.com/comfreyladder/comfreyladder/core/predict"
)

// Estimator is what was learned of engines and of the lengths of answers. It
// outlives a Scheduler: an instance that follows learns from its own requests
// (Watch), so that it knows slow engines and usual lengths when the role of the
// scheduler moves to it. It is not safe for concurrent use.
type Estimator struct {
	promptWeight float64
	lengths      *predict.Predictor
	engines      map[string]*engineStats
}

// NewEstimator returns empty knowledge.
func NewEstimator(cfg Config) *Estimator {
	cfg = cfg.withDefaults()
	return &Estimator{
		promptWeight: cfg.PromptWeight,
		lengths:      predict.New(cfg.PriorAnswerTokens, maxOrganisationHistograms),
		engines:      map[string]*engineStats{},
	}
}

// Retain forgets engines that are not listed.
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

// workOf weighs a request's prompt and generated tokens.
func (k *Estimator) workOf(t *Ticket, tokens float64) float64 {
	return tokens + k.promptWeight*float64(t.PromptTokens) + 1
}

// Observation learns from one granted request where no Scheduler does.
type Observation struct {
	k      *Estimator
	ticket Ticket
	engine *engineStats
	stream streamTiming
}

// Observe begins to learn from a request that was granted now.
func (k *Estimator) Observe(now time.Time, t Ticket, upstream string) *Observation {
	return &Observation{k: k, ticket: t, engine: k.engine(upstream), stream: streamTiming{grantedAt: now}}
}

// Started notes the first token.
func (w *Observation) Started(now time.Time) {
	if w.stream.startedAt.IsZero() {
		w.engine.recordFirstToken(now, &w.stream, w.engine.alpha(now))
	}
}

// Progress notes how many tokens came so far.
func (w *Observation) Progress(now time.Time, tokens int) {
	w.Started(now)
	w.engine.recordProgress(now, &w.stream, tokens, w.engine.alpha(now))
}

// Finish notes the end.
func (w *Observation) Finish(now time.Time, o Outcome) {
	if o.Complete {
		w.k.lengths.Observe(w.ticket.Class, w.ticket.Organisation, o.Tokens)
	}
	if !o.Failed && !o.Unused && !w.stream.startedAt.IsZero() {
		w.engine.recordFinish(now, &w.stream, o, w.k.workOf(&w.ticket, float64(o.Tokens)), w.engine.alpha(now))
	}
}

// engineStats are what was measured of one engine.
type engineStats struct {
	// firstToken is in seconds, tokenRate in tokens a second of one stream,
	// slotRate in work a second of one slot; 0 means unknown.
	firstToken, tokenRate, slotRate float64
	samples                         int
	// observed is when the figures were last confirmed.
	observed time.Time
}

// streamTiming holds the times of one grant.
type streamTiming struct {
	grantedAt, startedAt time.Time
	// measuredAt and paced are the time and the count of tokens from which the
	// rate is measured next; a zero time means that none is known.
	measuredAt     time.Time
	measuredTokens int
	// restored says that another scheduler gave the grant, so that its times
	// are not known.
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
	// minMeasuredTokens is how many tokens a measurement of a stream's rate needs; fewer
	// say more about the time that messages take.
	minMeasuredTokens = 4
	// rateDropFactor is the factor by which a measurement must be below the known rate
	// to count as a change of the engine and not as noise; it then weighs
	// paceDropAlpha. All streams of an engine share its steps, so that one of
	// them speaks for all.
	rateDropFactor = 2
	rateDropAlpha  = 0.6
)

// recordProgress learns the engine's rate from a stream that runs. Waiting for the end of
// the stream is the failure this guards against: an engine that slows down ends
// few streams, so that its slowness would be learned after many seconds, in
// which it gets requests at the rate of a healthy one.
func (f *engineStats) recordProgress(now time.Time, s *streamTiming, tokens int, alpha float64) {
	more := tokens - s.measuredTokens
	if more < minMeasuredTokens {
		return
	}
	if took := now.Sub(s.measuredAt).Seconds(); !s.measuredAt.IsZero() && took > 0 {
		rate := float64(more) / took
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

// invalidate drops what was measured, so that old figures do not set an engine aside
// again before new ones are there.
func (f *engineStats) invalidate() {
	f.samples = min(f.samples, 1)
	f.observed = time.Time{}
}

// stale reports whether nothing was learned of the engine for long.
func (f *engineStats) stale(now time.Time) bool {
	return now.Sub(f.observed) > maxMeasurementAge
}

// lastTokenRate is the last rate that was measured, or 0 when that was so long ago
// that the engine must be tried again.
func (f *engineStats) lastTokenRate(now time.Time) float64 {
	if now.Sub(f.observed) > maxEjectionTime {
		return 0
	}
	return f.tokenRate
}

// alpha is the weight of the next observation: all of it when the figures are old.
func (f *engineStats) alpha(now time.Time) float64 {
	if f.stale(now) {
		return 1
	}
	return defaultAlpha
}
