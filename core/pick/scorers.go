package pick

import (
	"slices"
	"time"
)

// affinityLoadFactor bounds the load, relative to the mean, up to which an upstream attracts
// requests by its prefix cache; 1.25 is the usual bound of consistent hashing with bounded loads.
const affinityLoadFactor = 1.25

// LeastLoad prefers upstreams with a low share of occupied slots.
type LeastLoad struct{}

// Score implements Scorer.
func (LeastLoad) Score(_ *Request, _ *Summary, c *Candidate) float64 {
	return clamp(1 - load(c))
}

// ShortWait prefers upstreams with a low expected time to the first token: the observed time
// multiplied by the number of requests that have no first token yet, this one included. An unknown
// upstream counts as the median.
type ShortWait struct{}

// Score implements Scorer.
func (ShortWait) Score(_ *Request, d *Summary, c *Candidate) float64 {
	if d.MedianFirstToken <= 0 {
		return 1 / float64(1+c.Unstarted)
	}
	first := c.FirstToken
	if first <= 0 {
		first = d.MedianFirstToken
	}
	wait := float64(first) * float64(1+c.Unstarted)
	median := float64(d.MedianFirstToken)
	return median / (median + wait)
}

// PrefixAffinity prefers upstreams that have a prefix of the prompt cached, as long as their load is
// near the mean. Without that bound, one popular prefix would send all its requests to one upstream
// while others idle.
type PrefixAffinity struct{}

// Score implements Scorer.
func (PrefixAffinity) Score(_ *Request, d *Summary, c *Candidate) float64 {
	bound := d.MeanLoad * affinityLoadFactor
	loadWithRequest := float64(c.InFlight+1) / float64(max(c.Slots, 1))
	if c.InFlight > 0 && loadWithRequest > bound {
		return 0
	}
	return clamp(c.CachedShare)
}

// TokenRate prefers upstreams that generate fast; one at the median or with an unknown rate scores
// one half.
type TokenRate struct{}

// Score implements Scorer.
func (TokenRate) Score(_ *Request, d *Summary, c *Candidate) float64 {
	if d.MedianTokenRate <= 0 || c.TokenRate <= 0 {
		return 0.5
	}
	return c.TokenRate / (c.TokenRate + d.MedianTokenRate)
}

// maxScoredPrefill is the number of queued prompt tokens at which an engine gets the lowest score.
// At about 50 microseconds per token, they stall its streams, which last two or three seconds, for
// 0.4 s.
const maxScoredPrefill = 8192

// LeastPrefill prefers upstreams with few prompt tokens to prefill. It prevents long prompts from
// meeting on one engine: each step with prefill takes longer for all its streams, which then miss
// their target between tokens although the engine has free slots.
type LeastPrefill struct{}

// Score implements Scorer.
func (LeastPrefill) Score(_ *Request, _ *Summary, c *Candidate) float64 {
	return clamp(1 - c.PrefillTokens/maxScoredPrefill)
}

// Summarise aggregates the candidates that have loaded the model.
func Summarise(candidates []Candidate) Summary {
	var firsts []time.Duration
	var rates []float64
	sum, n := 0.0, 0
	for i := range candidates {
		c := &candidates[i]
		if !c.HasModel {
			continue
		}
		n++
		sum += load(c)
		if c.FirstToken > 0 {
			firsts = append(firsts, c.FirstToken)
		}
		if c.TokenRate > 0 {
			rates = append(rates, c.TokenRate)
		}
	}
	d := Summary{MedianFirstToken: Median(firsts), MedianTokenRate: Median(rates)}
	if n > 0 {
		d.MeanLoad = sum / float64(n)
	}
	return d
}

// Median returns the lower median of v, which it reorders, or 0 if v is empty.
func Median[T time.Duration | float64](v []T) T {
	if len(v) == 0 {
		return 0
	}
	slices.Sort(v)
	return v[(len(v)-1)/2]
}

func load(c *Candidate) float64 {
	return float64(c.InFlight) / float64(max(c.Slots, 1))
}

func clamp(v float64) float64 { return min(max(v, 0), 1) }
