package warmup

import "time"

// MaxCold bounds for how long an upstream counts as cold by one statement. A larger value is an error
// of the sender.
const MaxCold = time.Hour

// Cold is what an instance knows of how long an incarnation of an upstream stays cold. The zero value
// is a warm upstream. It is not safe for concurrent use.
type Cold struct {
	reported, presumed time.Time
	// ended is set once a process has ended at its address.
	ended bool
	// doubted is when a connection was lost, and doubtedUntil for how long that counts at most.
	doubted, doubtedUntil time.Time
	// sequence is that of the latest report; applied is set once there was one.
	sequence uint64
	applied  bool
}

// settleTime is how long after a lost connection the replicated state shows a process that has started
// again at once: it reports itself as soon as it runs.
const settleTime = 500 * time.Millisecond

// Report applies the time that a liveness report with a sequence number states, in milliseconds from
// now. The report may have been made earlier, so the upstream counts as cold for longer rather than
// for shorter. A report that was applied before changes nothing: the replicated state repeats it with
// each other change, and Report returns false.
func (c *Cold) Report(now time.Time, sequence uint64, leftMS int64) (changed bool) {
	if c.applied && c.sequence == sequence {
		return false
	}
	left := min(max(0, leftMS), MaxCold.Milliseconds())
	c.applied, c.sequence, c.reported = true, sequence, now.Add(time.Duration(left)*time.Millisecond)
	return true
}

// Presume records that the upstream is cold for a time. A report does not revoke this.
func (c *Cold) Presume(now time.Time, left time.Duration) {
	if until := now.Add(min(left, MaxCold)); until.After(c.presumed) {
		c.presumed = until
	}
}

// Ended records that nothing listens at the address of the upstream: whichever process answers next has
// just started and is cold for a time. That may be long after, but then it is silent before.
func (c *Cold) Ended(now time.Time, left time.Duration) {
	c.ended = true
	c.Presume(now, left)
}

// Doubt records that a connection was lost, so that another process may run at the address. If so, the
// state shows that soon, provided that this instance is in contact; if not, the upstream counts as cold
// for a time.
func (c *Cold) Doubt(now time.Time, left time.Duration) {
	c.doubted, c.doubtedUntil = now, now.Add(min(left, MaxCold)+settleTime)
}

// Is reports whether the upstream counts as cold. silent is set if it sends no liveness reports, and
// confirmed returns when the state was last confirmed.
func (c *Cold) Is(now time.Time, silent bool, confirmed func() time.Time) bool {
	if c.Left(now) > 0 || c.ended && silent {
		return true
	}
	return now.Before(c.doubtedUntil) && confirmed().Before(c.doubted.Add(settleTime))
}

// Settled reports whether the upstream is warm as long as it sends liveness reports.
func (c *Cold) Settled(now time.Time) bool {
	return c.Left(now) == 0 && !now.Before(c.doubtedUntil)
}

// Left returns how much longer the upstream counts as cold, zero if it is warm.
func (c *Cold) Left(now time.Time) time.Duration {
	return max(0, c.reported.Sub(now), c.presumed.Sub(now))
}
