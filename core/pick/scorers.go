package pick

import (
	"slices"
	"time"
)

// affinityHeadroom is how far above the domain's mean load an upstream may be
// and still attract requests by its prefix cache; 1.25 is the usual bound of
// consistent hashing with bounded loads.
const affinityHeadroom = 1.25

// LeastLoad prefers upstreams with many free slots.
type LeastLoad struct{}

// Score implements Scorer.
func (LeastLoad) Score(_ *Request, _ *Summary, c *Candidate) float64 {
	return clamp(1 - load(c))
}

// ShortWait prefers upstreams that are expected to give the first token early:
// the observed time to the first token, once for each request that is still
// before its own. An unknown upstream counts as the median.
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

// PrefixAffinity prefers upstreams whose cache holds a prefix of the prompt, as
// long as their load stays near the mean: without that bound one popular prefix
// would pile all its requests on one upstream while others idle.
type PrefixAffinity struct{}

// Score implements Scorer.
func (PrefixAffinity) Score(_ *Request, d *Summary, c *Candidate) float64 {
	bound := d.MeanLoad * affinityHeadroom
	oneMore := float64(c.InFlight+1) / float64(max(c.Slots, 1))
	if c.InFlight > 0 && oneMore > bound {
		return 0
	}
	return clamp(c.CachedShare)
}

// TokenRate prefers upstreams that generate fast; one at the median or unknown
// scores one half.
type TokenRate struct{}

// Score implements Scorer.
func (TokenRate) Score(_ *Request, d *Summary, c *Candidate) float64 {
	if d.MedianTokenRate <= 0 || c.TokenRate <= 0 {
		return 0.5
	}
	return c.TokenRate / (c.TokenRate + d.MedianTokenRate)
}

// heavyPrefill is how many prompt tokens slow an engine's running streams so
// much that any other engine is better: at some 50 microseconds a token, they
// take 0.4 s out of streams that last for two or three.
const heavyPrefill = 8192

// LeastPrefill prefers upstreams with few prompt tokens to work through. It
// guards against long prompts that meet on one engine: each step that works on
// a prompt is longer for all streams there, which then miss their target
// between tokens although the engine has free slots.
type LeastPrefill struct{}

// Score implements Scorer.
func (LeastPrefill) Score(_ *Request, _ *Summary, c *Candidate) float64 {
	return clamp(1 - c.PrefillTokens/heavyPrefill)
}

// Summarise works out what scores are relative to.
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

// Median returns the lower median of v, which it reorders, or 0 for none.
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
