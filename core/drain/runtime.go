package drain

import "time"

// RunTime measures how long a process has run, which is less than the elapsed time if the
// process was frozen in between. Tick must be called at a steady interval: of a longer
// gap between two ticks only one interval counts. The zero RunTime is not usable.
type RunTime struct {
	interval time.Duration
	lastTick time.Time
	total    time.Duration
}

// NewRunTime returns a RunTime whose Tick is called once per interval.
func NewRunTime(interval time.Duration) *RunTime { return &RunTime{interval: interval} }

// Tick returns how long the process has run since the first tick.
func (r *RunTime) Tick(now time.Time) time.Duration {
	if !r.lastTick.IsZero() {
		r.total += min(now.Sub(r.lastTick), r.interval)
	}
	r.lastTick = now
	return r.total
}

// QuietPeriod decides when a drain is over if the requests still to come are unknown: after a
// period without work in which the process ran. After a freeze the period starts again,
// because requests that arrived meanwhile are not seen at the first tick.
type QuietPeriod struct {
	period, freezeThreshold time.Duration
	lastTick, quietSince    time.Time
}

// freezeFactor is the number of intervals between two ticks that indicates a freeze.
const freezeFactor = 10

// NewQuietPeriod returns a QuietPeriod of the given length; Tick is to be called once per
// interval.
func NewQuietPeriod(period, interval time.Duration) *QuietPeriod {
	return &QuietPeriod{period: period, freezeThreshold: freezeFactor * interval}
}

// Tick records whether there is work and reports whether the period without work is over.
func (q *QuietPeriod) Tick(now time.Time, busy bool) bool {
	if busy || q.lastTick.IsZero() || now.Sub(q.lastTick) > q.freezeThreshold {
		q.quietSince = now
	}
	q.lastTick = now
	return now.Sub(q.quietSince) >= q.period
}
