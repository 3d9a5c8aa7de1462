// Package pick chooses an upstream for one request. The choice is a chain of
// small parts: filters drop candidates, scorers rate what is left in [0,1], and
// a picker takes one. The package is pure: randomness is passed in.
package pick

import (
	"math/rand"
	"time"
)

// Candidate is what is known about one upstream at the moment of a choice.
type Candidate struct {
	Name string
	// HasModel says that the upstream holds the request's model.
	HasModel bool
	// Excluded says that the request was tried there before.
	Excluded bool
	Draining bool
	// Slots is how many requests the upstream runs side by side; InFlight how
	// many it runs by the best estimate; Free how many of the rest are open to
	// the request's class.
	Slots, InFlight, Free int
	// Unstarted counts requests that were sent and have no first token yet.
	Unstarted int
	// CachedShare is the share of the prompt, in [0,1], that the upstream's prefix
	// cache is believed to hold.
	CachedShare float64
	// PrefillTokens is how many prompt tokens the upstream has to work through: those
	// that were sent of late and are not cached, with the request's own.
	PrefillTokens float64
	// QueuedTokens is the part of Prefill that was sent before.
	QueuedTokens float64
	// HasPacedStreams says that requests with a target between tokens run there.
	HasPacedStreams bool
	// FirstToken is the smoothed time to the first token; 0 means unknown.
	FirstToken time.Duration
	// TokenRate is the smoothed rate of one stream in tokens a second; 0 means
	// unknown.
	TokenRate float64
	// LastRate is the last known rate even if it has grown old; 0 means unknown.
	LastRate float64
	// Straggler says that the upstream is a straggler; ProbeDue that one request
	// may be sent to it to see whether it recovered.
	Straggler, ProbeDue bool
	// Unresponsive says that it is aside because nothing came from it.
	Unresponsive bool
}

// Request is what the choice depends on besides the candidates.
type Request struct {
	// Protected requests are not used to probe stragglers.
	Protected bool
	// TokenInterval is the wanted time between tokens; 0 means none.
	TokenInterval time.Duration
	// Tokens is the expected length of the answer, and Left the time to the
	// target for its end; 0 means none.
	Tokens float64
	Remaining   time.Duration
	// MayWait says that the request can still wait for a candidate that the
	// preferred filters keep.
	MayWait bool
}

// Summary sums up all candidates, for scores relative to the others.
type Summary struct {
	MedianFirstToken time.Duration
	MedianTokenRate  float64
	// MeanLoad is the mean of InFlight/Slots.
	MeanLoad float64
}

// Filter drops candidates.
type Filter interface {
	Keep(r *Request, c *Candidate) bool
}

// Scorer rates a candidate from 0 (worst) to 1 (best).
type Scorer interface {
	Score(r *Request, d *Summary, c *Candidate) float64
}

// Picker takes one of the kept candidates; both slices have equal lengths above
// zero. It returns a position in them.
type Picker interface {
	Pick(scores []float64, rnd *rand.Rand) int
}

// Weighted is a scorer with its weight in the sum of scores.
type Weighted struct {
	Scorer Scorer
	Weight float64
}

// Chain is a whole choice. It reuses its buffers, so that it must be used by
// one goroutine at a time.
type Chain struct {
	// Required filters always hold.
	Required []Filter
	// Preferred filters are dropped, the last first, for a choice in which they
	// would leave no candidate, unless the request is patient.
	Preferred []Filter
	Scorers   []Weighted
	Picker    Picker

	kept   []int
	scores []float64
}

// Choice is the result of a Chain.
type Choice struct {
	// Index is the position of the chosen candidate in the slice given to Pick.
	Index int
	// Eligible is how many candidates passed the filters.
	Eligible int
	// Score is the chosen candidate's weighted mean score, in [0,1].
	Score float64
}

// Default returns the chain that the scheduler uses. The weights come from the
// package's reasoning, not from a measurement: load and expected wait count
// most, because they apply to each request.
func Default(p Picker) *Chain {
	return &Chain{
		Required:  []Filter{HasModel{}, NotExcluded{}, NotDraining{}, HasFreeSlot{}, SparesPaced{}},
		Preferred: []Filter{NoStraggler{}, InTime{}},
		Scorers: []Weighted{
			{Scorer: LeastLoad{}, Weight: 2},
			{Scorer: ShortWait{}, Weight: 2},
			{Scorer: PrefixAffinity{}, Weight: 1.5},
			{Scorer: LeastPrefill{}, Weight: 2},
			{Scorer: TokenRate{}, Weight: 1},
		},
		Picker: p,
	}
}

// Pick chooses among the candidates; ok is false when a required filter leaves
// none.
func (h *Chain) Pick(r *Request, candidates []Candidate, rnd *rand.Rand) (choice Choice, ok bool) {
	h.filter(r, candidates)
	if len(h.kept) == 0 {
		return Choice{}, false
	}
	if i := probe(r, candidates, h.kept); i >= 0 {
		return Choice{Index: i, Eligible: len(h.kept)}, true
	}
	d := Summarise(candidates)
	h.scores = h.scores[:0]
	for _, i := range h.kept {
		h.scores = append(h.scores, h.score(r, &d, &candidates[i]))
	}
	at := h.Picker.Pick(h.scores, rnd)
	return Choice{Index: h.kept[at], Eligible: len(h.kept), Score: h.scores[at]}, true
}

// probe returns a kept straggler that is due for a probe, or -1. By its scores
// it would never be chosen, and its recovery never seen.
func probe(r *Request, candidates []Candidate, kept []int) int {
	for _, i := range kept {
		if c := &candidates[i]; c.Straggler && mayProbe(r, c) {
			return i
		}
	}
	return -1
}

func (h *Chain) filter(r *Request, candidates []Candidate) {
	h.kept = h.kept[:0]
	for i := range candidates {
		if keeps(h.Required, r, &candidates[i]) {
			h.kept = append(h.kept, i)
		}
	}
	for n := len(h.Preferred); n > 0; n-- {
		if h.prefer(h.Preferred[:n], r, candidates) || r.MayWait {
			return
		}
	}
}

// prefer keeps only what the filters keep and reports whether that is anything;
// if not and the request isn't patient, all stay.
func (h *Chain) prefer(filters []Filter, r *Request, candidates []Candidate) bool {
	kept := 0
	for at, i := range h.kept {
		if keeps(filters, r, &candidates[i]) {
			h.kept[kept], h.kept[at] = i, h.kept[kept]
			kept++
		}
	}
	if kept > 0 || r.MayWait {
		h.kept = h.kept[:kept]
	}
	return kept > 0
}

func keeps(filters []Filter, r *Request, c *Candidate) bool {
	for _, f := range filters {
		if !f.Keep(r, c) {
			return false
		}
	}
	return true
}

func (h *Chain) score(r *Request, d *Summary, c *Candidate) float64 {
	sum, weights := 0.0, 0.0
	for _, s := range h.Scorers {
		sum += s.Weight * s.Scorer.Score(r, d, c)
		weights += s.Weight
	}
	if weights == 0 {
		return 0
	}
	return sum / weights
}
