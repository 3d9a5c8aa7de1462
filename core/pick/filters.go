package pick

// HoldsModel keeps upstreams that hold the request's model.
type HoldsModel struct{}

// Keep implements Filter.
func (HoldsModel) Keep(_ *Request, c *Candidate) bool { return c.Holds }

// NotExcluded drops upstreams at which the request was tried before.
type NotExcluded struct{}

// Keep implements Filter.
func (NotExcluded) Keep(_ *Request, c *Candidate) bool { return !c.Excluded }

// NotDraining drops upstreams that want no new work.
type NotDraining struct{}

// Keep implements Filter.
func (NotDraining) Keep(_ *Request, c *Candidate) bool { return !c.Draining }

// HasRoom drops upstreams without a slot for the request's class.
type HasRoom struct{}

// Keep implements Filter.
func (HasRoom) Keep(_ *Request, c *Candidate) bool { return c.Free > 0 }

// NoStraggler guards against an engine that still answers, only several times
// slower than its peers: requests sent to it miss their level while it looks
// idle, because little is sent to it. It is set aside and gets single
// unprotected requests as probes, so that its recovery is seen.
type NoStraggler struct{}

// Keep implements Filter.
func (NoStraggler) Keep(r *Request, c *Candidate) bool {
	return !c.Aside || (c.ProbeDue && !r.Protected)
}
