// Package overload decides which new connections an instance leaves unread because it has too little CPU
// time for their requests. It does no I/O and reads no clock: times are arguments.
//
// The measure is the lag of the process: the time between the arrival of bytes, of a new connection's first
// request or of an upstream's response, and the moment when the process gets to them. It contains every
// wait for CPU time, in the queue of the listener and in the process, and no wait for a caller or an
// upstream. If the mean lag of some intervals in a row is high, the instance is overloaded. Meanwhile a new
// connection is left unread if its own lag or the present lag of the process is over a limit, so that
// requests in progress are completed first. The lag falls as soon as these are fewer, so the share that is
// left unread follows the load without a parameter.
package overload

import "time"

const (
	// Target is the mean lag of an interval above which too much waits. A process that has used its CPU
	// quota stands still until the period of 100 ms ends; that alone causes a mean of some 30 ms.
	Target = 60 * time.Millisecond
	// Interval is the time over which the mean is taken: some periods of a CPU quota.
	Interval = 200 * time.Millisecond
	// beginAfter and endAfter are how many intervals in a row with a high or a low lag begin and end an
	// overload.
	beginAfter, endAfter = 2, 4
	// Limit is the lag above which connections are left unread during an overload. A CPU quota alone causes
	// up to 90 ms.
	Limit = 100 * time.Millisecond
	// lagWeight is the weight of one observation in the present lag.
	lagWeight = 1.0 / 8
	// urgentFactor is the factor of the limit for the most urgent requests.
	urgentFactor = 4
	// Grace is the time after a start or a suspension in which no overload begins: what has gathered
	// meanwhile is served.
	Grace = 2 * time.Second
	// minSuspension is the shortest time between two ticks that may be a suspension, and maxSuspendedCPU
	// the CPU time used within it as a share of it. A process that lacks CPU time has late ticks as well,
	// but uses its quota, of a seventh of a core or more.
	minSuspension   = 300 * time.Millisecond
	maxSuspendedCPU = 0.05
)

// Change is a change of the state.
type Change int

// Values of Change.
const (
	// None is no change.
	None Change = iota
	// Began and Ended tell that an overload began or ended.
	Began
	Ended
)

// Controller holds the state of an instance. It is not safe for concurrent use.
type Controller struct {
	// graceUntil is the end of the grace after a start or a suspension.
	graceUntil time.Time
	// intervalEnd is the end of the current interval, and sum the sum of its count observations.
	intervalEnd time.Time
	sum         time.Duration
	count       int
	// lag is the present lag, mean that of the last interval.
	lag, mean time.Duration
	// high and low count the latest intervals in a row with a high or a low mean.
	high, low  int
	overloaded bool
	// tickedAt is the time of the latest tick, and cpuAtTick the CPU time used then.
	tickedAt  time.Time
	cpuAtTick time.Duration
}

// New returns the state of an instance that starts.
func New(now time.Time, cpu time.Duration) *Controller {
	return &Controller{graceUntil: now.Add(Grace), intervalEnd: now.Add(Interval), tickedAt: now, cpuAtTick: cpu}
}

// Overloaded reports whether the instance is overloaded.
func (c *Controller) Overloaded() bool { return c.overloaded }

// Tick has to be called several times in each interval with the CPU time that the process has used. It
// returns how the state has changed, and whether the process was suspended.
func (c *Controller) Tick(now time.Time, cpu time.Duration) (change Change, suspended bool) {
	gap, used := now.Sub(c.tickedAt), cpu-c.cpuAtTick
	c.tickedAt, c.cpuAtTick = now, cpu
	if suspended = gap >= minSuspension && float64(used) < maxSuspendedCPU*float64(gap); suspended {
		c.graceUntil, c.high = now.Add(Grace), 0
		c.beginInterval(now)
	}
	if now.Before(c.intervalEnd) {
		return None, suspended
	}
	if c.mean = c.sum / time.Duration(max(1, c.count)); c.count == 0 {
		c.lag = 0
	}
	c.beginInterval(now)
	return c.judge(now), suspended
}

func (c *Controller) beginInterval(now time.Time) {
	c.intervalEnd, c.sum, c.count = now.Add(Interval), 0, 0
}

// judge counts an interval that has ended.
func (c *Controller) judge(now time.Time) Change {
	if c.mean > Target {
		c.high, c.low = c.high+1, 0
	} else {
		c.high, c.low = 0, c.low+1
	}
	switch {
	case !c.overloaded && c.high >= beginAfter && !now.Before(c.graceUntil):
		c.overloaded = true
		return Began
	case c.overloaded && c.low >= endAfter:
		c.overloaded = false
		return Ended
	}
	return None
}

// Observe records the lag of some bytes.
func (c *Controller) Observe(lag time.Duration) {
	c.sum += lag
	c.count++
	c.lag += time.Duration(lagWeight * float64(lag-c.lag))
}

// Mean returns the mean lag of the last interval.
func (c *Controller) Mean() time.Duration { return c.mean }

// Sheds reports whether a connection with a lag of its own is left unread. rank is that of its request,
// from 0 for the most urgent ones to 1 for the least urgent ones.
func (c *Controller) Sheds(lag time.Duration, rank float64) bool {
	return c.overloaded && float64(max(lag, c.lag)) > float64(Limit)*(1+(urgentFactor-1)*(1-rank))
}
