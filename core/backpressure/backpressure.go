// Package backpressure tracks what one upstream asks of this instance in its responses: to send it
// nothing for a time, or nothing more because it is leaving. It does no I/O; the time is passed in.
package backpressure

import (
	"math"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"
)

// statusUnavailable is the status of a response whose Retry-After applies to the upstream as a
// whole. Other statuses, such as 429, may concern a single caller.
const statusUnavailable = 503

// maxPause bounds an accepted pause, far beyond any that an upstream has a use for.
const maxPause = 24 * time.Hour

// Ask is what one response asks of this instance. The zero value asks for nothing.
type Ask struct {
	// Pause is for how long nothing may be sent.
	Pause time.Duration
	// Leaving means that no new work may be sent any more.
	Leaving bool
}

// Parse returns what a response asks for, given its status and the values of its Retry-After field
// and of the field that announces a leave; each is empty if absent. Values that cannot be parsed ask
// for nothing. Dates are relative to wallNow, the time of day.
func Parse(status int, retryAfter, leaving string, wallNow time.Time) Ask {
	a := Ask{}
	a.Leaving, _ = strconv.ParseBool(strings.TrimSpace(leaving))
	if status == statusUnavailable {
		a.Pause = parsePause(strings.TrimSpace(retryAfter), wallNow)
	}
	return a
}

// parsePause parses a number of seconds, which may have a fraction, or a date.
func parsePause(value string, wallNow time.Time) time.Duration {
	if value == "" {
		return 0
	}
	if seconds, err := strconv.ParseFloat(value, 64); err == nil {
		if !(seconds > 0) {
			return 0
		}
		return time.Duration(min(seconds, maxPause.Seconds()) * float64(time.Second))
	}
	if at, err := http.ParseTime(value); err == nil {
		return min(max(0, at.Sub(wallNow)), maxPause)
	}
	return 0
}

// Gate is closed while an upstream wants nothing from this instance. It never opens before the end
// of any pause that was asked for, and never at all once a leave was announced. The zero value is
// open. It is safe for concurrent use.
type Gate struct {
	// pausedUntil is in nanoseconds of the Unix time; zero if there is no pause.
	pausedUntil atomic.Int64
	leaving     atomic.Bool
}

// Apply records what a response received at a given time asks for, and reports whether the gate
// stays closed for longer than before.
func (g *Gate) Apply(a Ask, now time.Time) bool {
	closed := g.leaving.Load()
	longer := a.Pause > 0 && g.pauseUntil(now.Add(a.Pause).UnixNano())
	if a.Leaving && !g.leaving.Swap(true) {
		return true
	}
	return longer && !closed
}

func (g *Gate) pauseUntil(at int64) bool {
	for {
		old := g.pausedUntil.Load()
		if at <= old {
			return false
		}
		if g.pausedUntil.CompareAndSwap(old, at) {
			return true
		}
	}
}

// InheritPause applies the pause of the previous incarnation at the same address, which its successor
// may have asked for before it was known. A leave ends with its incarnation.
func (g *Gate) InheritPause(previous *Gate) { g.pauseUntil(previous.pausedUntil.Load()) }

// Leaving reports whether the upstream has announced that it leaves.
func (g *Gate) Leaving() bool { return g.leaving.Load() }

// Closed reports whether the upstream wants no new work now. It reads the clock only during a pause.
func (g *Gate) Closed(now func() time.Time) bool {
	return g.Leaving() || g.pausedUntil.Load() != 0 && g.PauseLeft(now()) > 0
}

// Left returns how long the gate remains closed, zero if it is open and Forever after a leave.
func (g *Gate) Left(now time.Time) time.Duration {
	if g.Leaving() {
		return Forever
	}
	return g.PauseLeft(now)
}

// Forever is longer than any pause.
const Forever = time.Duration(math.MaxInt64)

// PauseLeft returns how long the pause that was asked for still lasts, whether the upstream is
// leaving or not.
func (g *Gate) PauseLeft(now time.Time) time.Duration {
	until := g.pausedUntil.Load()
	if until == 0 {
		return 0
	}
	if left := until - now.UnixNano(); left > 0 {
		return time.Duration(left)
	}
	// The pause is over: later checks need no clock.
	g.pausedUntil.CompareAndSwap(until, 0)
	return 0
}
