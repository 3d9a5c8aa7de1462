// Package pick chooses an upstream for one request in three steps: filters drop candidates, scorers
// rate the remaining ones in [0,1], and a picker takes one. The package is deterministic: randomness
// is passed in.
package pick

import (
	"math/rand"
	"time"
)

// Candidate is the known state of one upstream at the time of a choice.
type Candidate struct {
	Name string
	// HasModel says that the upstream has loaded the request's model.
	HasModel bool
	// Excluded says that the request was tried there before.
	Excluded bool
	Draining bool
	// Slots is the number of requests that the upstream runs concurrently, InFlight the estimated
	// number that it runs now, and Free the number of remaining slots open to the request's class.
	Slots, InFlight, Free int
	// Unstarted is the number of requests sent there that have no first token yet.
	Unstarted int
	// CachedShare is the share of the prompt, in [0,1], that the upstream's prefix cache is believed
	// to hold.
	CachedShare float64
	// PrefillTokens is the number of prompt tokens that the upstream has to prefill: uncached tokens
	// of recently sent requests and of this one.
	PrefillTokens float64
	// QueuedTokens is the part of PrefillTokens from requests sent before.
	QueuedTokens float64
	// HasPacedStreams says that requests with a target between tokens run there.
	HasPacedStreams bool
	// FirstToken is the smoothed time to the first token; 0 if unknown.
	FirstToken time.Duration
	// TokenRate is the smoothed rate of one stream in tokens per second; 0 if unknown.
	TokenRate float64
	// LastRate is the last measured rate, also after it has become too old for TokenRate; 0 if
	// unknown.
	LastRate float64
	// Straggler says that the upstream is much slower than its peers. ProbeDue says that one request
	// may be sent to it to check whether it recovered.
	Straggler, ProbeDue bool
	// Unresponsive says that it counts as a straggler because no output arrived from it.
	Unresponsive bool
}

// Request holds the properties of a request that affect the choice.
type Request struct {
	// Protected requests are not used to probe stragglers.
	Protected bool
	// TokenInterval is the target time between tokens; 0 if there is none.
	TokenInterval time.Duration
	// Tokens is the expected length of the answer, and Remaining the time left until its completion
	// target; 0 if there is none.
	Tokens    float64
	Remaining time.Duration
	// MayWait says that the request can still wait for a candidate that passes the preferred
	// filters.
	MayWait bool
}

// Summary aggregates all candidates, for scores relative to the others.
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

// Picker chooses one of the eligible candidates by their scores, of which there is at least one. It
// returns a position in the slice.
type Picker interface {
	Pick(scores []float64, rnd *rand.Rand) int
}

// Weighted is a scorer with its weight in the mean score.
type Weighted struct {
	Scorer Scorer
	Weight float64
}

// Chain combines filters, scorers and a picker. It reuses its buffers and must not be used
// concurrently.
type Chain struct {
	// Required filters always apply.
	Required []Filter
	// Preferred filters are dropped, the last first, while they would leave no candidate, unless the
	// request may wait.
	Preferred []Filter
	Scorers   []Weighted
	Picker    Picker

	eligible []int
	scores   []float64
}

// Choice is the result of a Chain.
type Choice struct {
	// Index is the position of the chosen candidate in the slice given to Pick.
	Index int
	// Eligible is the number of candidates that passed the filters.
	Eligible int
	// Score is the chosen candidate's weighted mean score, in [0,1].
	Score float64
}

// Default returns the chain that the scheduler uses. Load, expected wait and prefill have the
// highest weights because they affect every request.
func Default(p Picker) *Chain {
	return &Chain{
		Required:  []Filter{HasModel{}, NotExcluded{}, NotDraining{}, HasFreeSlot{}, SparesPacedStreams{}},
		Preferred: []Filter{NotStraggler{}, MeetsTarget{}},
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

// Pick chooses among the candidates; ok is false if the filters leave none.
func (h *Chain) Pick(r *Request, candidates []Candidate, rnd *rand.Rand) (choice Choice, ok bool) {
	h.filter(r, candidates)
	if len(h.eligible) == 0 {
		return Choice{}, false
	}
	if i := probe(r, candidates, h.eligible); i >= 0 {
		return Choice{Index: i, Eligible: len(h.eligible)}, true
	}
	d := Summarise(candidates)
	h.scores = h.scores[:0]
	for _, i := range h.eligible {
		h.scores = append(h.scores, h.score(r, &d, &candidates[i]))
	}
	at := h.Picker.Pick(h.scores, rnd)
	return Choice{Index: h.eligible[at], Eligible: len(h.eligible), Score: h.scores[at]}, true
}

// probe returns an eligible straggler that is due for a probe, or -1. By its scores a straggler
// would never be chosen, and its recovery would go unnoticed.
func probe(r *Request, candidates []Candidate, kept []int) int {
	for _, i := range kept {
		if c := &candidates[i]; c.Straggler && mayProbe(r, c) {
			return i
		}
	}
	return -1
}

func (h *Chain) filter(r *Request, candidates []Candidate) {
	h.eligible = h.eligible[:0]
	for i := range candidates {
		if passesAll(h.Required, r, &candidates[i]) {
			h.eligible = append(h.eligible, i)
		}
	}
	for n := len(h.Preferred); n > 0; n-- {
		if h.applyPreferred(h.Preferred[:n], r, candidates) || r.MayWait {
			return
		}
	}
}

// applyPreferred drops the candidates that fail the filters and reports whether any pass. If none
// pass and the request may not wait, all stay eligible.
func (h *Chain) applyPreferred(filters []Filter, r *Request, candidates []Candidate) bool {
	kept := 0
	for at, i := range h.eligible {
		if passesAll(filters, r, &candidates[i]) {
			h.eligible[kept], h.eligible[at] = i, h.eligible[kept]
			kept++
		}
	}
	if kept > 0 || r.MayWait {
		h.eligible = h.eligible[:kept]
	}
	return kept > 0
}

func passesAll(filters []Filter, r *Request, c *Candidate) bool {
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
