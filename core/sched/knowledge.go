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
	engines      map[string]*figures
}

// NewEstimator returns empty knowledge.
func NewEstimator(cfg Config) *Estimator {
	cfg = cfg.withDefaults()
	return &Estimator{
		promptWeight: cfg.PromptWeight,
		lengths:      predict.New(cfg.PriorAnswerTokens, predictEntries),
		engines:      map[string]*figures{},
	}
}

// Retain forgets engines that are not listed.
func (k *Estimator) Retain(list []Upstream) {
	listed := make(map[string]*figures, len(list))
	for i := range list {
		if f := k.engines[list[i].Name]; f != nil {
			listed[list[i].Name] = f
		}
	}
	k.engines = listed
}

func (k *Estimator) engine(name string) *figures {
	f := k.engines[name]
	if f == nil {
		f = &figures{}
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
	engine *figures
	stream stream
}

// Observe begins to learn from a request that was granted now.
func (k *Estimator) Observe(now time.Time, t Ticket, upstream string) *Observation {
	return &Observation{k: k, ticket: t, engine: k.engine(upstream), stream: stream{grantedAt: now}}
}

// Started notes the first token.
func (w *Observation) Started(now time.Time) {
	if w.stream.startedAt.IsZero() {
		w.engine.started(now, &w.stream, w.engine.alpha(now))
	}
}

// Progress notes how many tokens came so far.
func (w *Observation) Progress(now time.Time, tokens int) {
	w.Started(now)
	w.engine.pace(now, &w.stream, tokens, w.engine.alpha(now))
}

// Finish notes the end.
func (w *Observation) Finish(now time.Time, o Outcome) {
	if o.Complete {
		w.k.lengths.Observe(w.ticket.Class, w.ticket.Organisation, o.Tokens)
	}
	if !o.Failed && !o.Unused && !w.stream.startedAt.IsZero() {
		w.engine.finished(now, &w.stream, o, w.k.workOf(&w.ticket, float64(o.Tokens)), w.engine.alpha(now))
	}
}

// figures are what was measured of one engine.
type figures struct {
	// firstToken is in seconds, tokenRate in tokens a second of one stream,
	// slotRate in work a second of one slot; 0 means unknown.
	firstToken, tokenRate, slotRate float64
	samples                         int
	// observed is when the figures were last confirmed.
	observed time.Time
}

// stream holds the times of one grant.
type stream struct {
	grantedAt, startedAt time.Time
	// pacedAt and paced are the time and the count of tokens from which the
	// rate is measured next; a zero time means that none is known.
	pacedAt time.Time
	paced   int
	// restored says that another scheduler gave the grant, so that its times
	// are not known.
	restored bool
}

func (f *figures) started(now time.Time, s *stream, alpha float64) {
	s.startedAt = now
	if s.restored {
		return
	}
	s.pacedAt, s.paced = now, 1
	f.firstToken = smooth(f.firstToken, math.Max(now.Sub(s.grantedAt).Seconds(), 1e-6), alpha)
}

const (
	// leastPaced is how many tokens a measurement of a stream's rate needs; fewer
	// say more about the time that messages take.
	leastPaced = 4
	// paceDrop is the factor by which a measurement must be below the known rate
	// to count as a change of the engine and not as noise; it then weighs
	// paceDropAlpha. All streams of an engine share its steps, so that one of
	// them speaks for all.
	paceDrop      = 2
	paceDropAlpha = 0.6
)

// pace learns the engine's rate from a stream that runs. Waiting for the end of
// the stream is the failure this guards against: an engine that slows down ends
// few streams, so that its slowness would be learned after many seconds, in
// which it gets requests at the rate of a healthy one.
func (f *figures) pace(now time.Time, s *stream, tokens int, alpha float64) {
	more := tokens - s.paced
	if more < leastPaced {
		return
	}
	if took := now.Sub(s.pacedAt).Seconds(); !s.pacedAt.IsZero() && took > 0 {
		rate := float64(more) / took
		if rate*paceDrop < f.tokenRate {
			alpha = max(alpha, paceDropAlpha)
		}
		f.tokenRate = smooth(f.tokenRate, rate, alpha)
		f.observed = now
		f.samples++
	}
	s.pacedAt, s.paced = now, tokens
}

func (f *figures) finished(now time.Time, s *stream, o Outcome, work, alpha float64) {
	f.samples++
	f.pace(now, s, o.Tokens, alpha)
	f.observed = now
	if held := now.Sub(s.grantedAt).Seconds(); o.Complete && !s.restored && held > 0 {
		f.slotRate = smooth(f.slotRate, work/held, alpha)
	}
}

// forget drops what was measured, so that old figures do not set an engine aside
// again before new ones are there.
func (f *figures) forget() {
	f.samples = min(f.samples, 1)
	f.observed = time.Time{}
}

// stale reports whether nothing was learned of the engine for long.
func (f *figures) stale(now time.Time) bool {
	return now.Sub(f.observed) > figureLife
}

// lastRate is the last rate that was measured, or 0 when that was so long ago
// that the engine must be tried again.
func (f *figures) lastRate(now time.Time) float64 {
	if now.Sub(f.observed) > longestAside {
		return 0
	}
	return f.tokenRate
}

// alpha is the weight of the next observation: all of it when the figures are old.
func (f *figures) alpha(now time.Time) float64 {
	if f.stale(now) {
		return 1
	}
	return learnRate
}
