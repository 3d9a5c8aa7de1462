package pick

import "time"

// HasModel keeps upstreams that hold the request's model.
type HasModel struct{}

// Keep implements Filter.
func (HasModel) Keep(_ *Request, c *Candidate) bool { return c.HasModel }

// NotExcluded drops upstreams at which the request was tried before.
type NotExcluded struct{}

// Keep implements Filter.
func (NotExcluded) Keep(_ *Request, c *Candidate) bool { return !c.Excluded }

// NotDraining drops upstreams that want no new work.
type NotDraining struct{}

// Keep implements Filter.
func (NotDraining) Keep(_ *Request, c *Candidate) bool { return !c.Draining }

// HasFreeSlot drops upstreams without a slot for the request's class.
type HasFreeSlot struct{}

// Keep implements Filter.
func (HasFreeSlot) Keep(_ *Request, c *Candidate) bool { return c.Free > 0 }

// NoStraggler guards against an engine that still answers, only several times
// slower than its peers: requests sent to it miss their level while it looks
// idle, because little is sent to it. It is set aside and gets single
// unprotected requests as probes, so that its recovery is seen.
type NoStraggler struct{}

// Keep implements Filter.
func (NoStraggler) Keep(r *Request, c *Candidate) bool {
	return !c.Straggler || mayProbe(r, c)
}

// mayProbe reports whether the request may find out whether a straggler has
// recovered: one without a target between tokens, as it would miss that on a
// slow engine, while a down engine costs it only another attempt.
func mayProbe(r *Request, c *Candidate) bool {
	return c.ProbeDue && !r.Protected && (c.Unresponsive || r.TokenInterval == 0)
}

// InTime drops upstreams that are too slow for the request's own level, as far
// as their rate was ever seen: those that are slow, but not slow enough to count as
// stragglers.
type InTime struct{}

// Keep implements Filter.
func (InTime) Keep(r *Request, c *Candidate) bool {
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
	// promptRoom is how many prompt tokens an upstream with paced streams works
	// through at a time, half of a request's own counted, so that one of any length may go: at some 50 microseconds
	// a token about 0.15 s, in which those streams stand still.
	promptRoom = 3072
	// shortPrompt is the length up to which a prompt may always go.
	shortPrompt = 512
)

// SparesPaced guards against long prompts of work without a target between
// tokens that meet on one engine and hold up the streams of those with one. Such
// work waits for another engine, or for the second that the last prompt takes.
type SparesPaced struct{}

// Keep implements Filter.
func (SparesPaced) Keep(r *Request, c *Candidate) bool {
	own := c.PrefillTokens - c.QueuedTokens
	return r.TokenInterval > 0 || !c.HasPacedStreams || own <= shortPrompt || c.QueuedTokens+min(own, promptRoom)/2 < promptRoom
}
