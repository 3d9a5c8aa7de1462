package pick

import "time"

// HasModel keeps upstreams that have loaded the request's model.
type HasModel struct{}

// Keep implements Filter.
func (HasModel) Keep(_ *Request, c *Candidate) bool { return c.HasModel }

// NotExcluded drops upstreams at which the request was tried before.
type NotExcluded struct{}

// Keep implements Filter.
func (NotExcluded) Keep(_ *Request, c *Candidate) bool { return !c.Excluded }

// NotDraining drops upstreams that accept no new work.
type NotDraining struct{}

// Keep implements Filter.
func (NotDraining) Keep(_ *Request, c *Candidate) bool { return !c.Draining }

// HasFreeSlot drops upstreams without a free slot for the request's class.
type HasFreeSlot struct{}

// Keep implements Filter.
func (HasFreeSlot) Keep(_ *Request, c *Candidate) bool { return c.Free > 0 }

// NotStraggler drops engines that still answer, but several times slower than their peers. Requests
// sent to a straggler miss their latency targets, while it appears idle because it gets little work.
// It receives single unprotected requests as probes, so that its recovery is noticed.
type NotStraggler struct{}

// Keep implements Filter.
func (NotStraggler) Keep(r *Request, c *Candidate) bool {
	return !c.Straggler || mayProbe(r, c)
}

// mayProbe reports whether the request may probe a straggler for recovery. A request with a target
// between tokens would miss it on a slow engine, so it may probe only an unresponsive engine, where
// it loses just one attempt.
func mayProbe(r *Request, c *Candidate) bool {
	return c.ProbeDue && !r.Protected && (c.Unresponsive || r.TokenInterval == 0)
}

// MeetsTarget drops upstreams whose last known rate is too low for the request's own targets. These
// are slow, but not slow enough to count as stragglers.
type MeetsTarget struct{}

// Keep implements Filter.
func (MeetsTarget) Keep(r *Request, c *Candidate) bool {
	if c.LastRate <= 0 || mayProbe(r, c) {
		return true
	}
	gap := time.Duration(float64(time.Second) / c.LastRate)
	if r.TokenInterval > 0 && gap > r.TokenInterval {
		return false
	}
	return r.Remaining <= 0 || time.Duration(r.Tokens*float64(gap)) < r.Remaining
}

const (
	// maxPacedPrefill is the number of prompt tokens that an upstream with paced streams prefills at
	// a time. Half of a request's own tokens count, so that prompts of any length are eligible. At
	// about 50 microseconds per token this is 0.15 s, during which the paced streams stall.
	maxPacedPrefill = 3072
	// maxShortPrompt is the prompt length up to which a request is always eligible.
	maxShortPrompt = 512
)

// SparesPacedStreams prevents long prompts of requests without a target between tokens from
// accumulating on one engine and stalling its paced streams. Such requests wait for another engine,
// or for the second or so that the previous prefill takes.
type SparesPacedStreams struct{}

// Keep implements Filter.
func (SparesPacedStreams) Keep(r *Request, c *Candidate) bool {
	own := c.PrefillTokens - c.QueuedTokens
	return r.TokenInterval > 0 || !c.HasPacedStreams || own <= maxShortPrompt || c.QueuedTokens+min(own, maxPacedPrefill)/2 < maxPacedPrefill
}
