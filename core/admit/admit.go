// Package admit decides which requests of a route are admitted while its demand exceeds the
// capacity, and when a rejected one is to be sent again. It does no I/O.
//
// A caller's retry reaches another instance under another ID; only its content is the same. So each
// content has a fixed position on a circle, around which a window travels with the time of day, once in
// a period. A request is admitted while its position is in the window. All instances decide alike
// without messages, and a rejected request is told when the front of the window reaches it.
package admit

import (
	"encoding/binary"
	"math"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// periodFactor is the period of a window in objectives, and minPeriod the shortest one: the
	// narrowest window must stay at a position for longer than clocks are apart.
	periodFactor = 2
	minPeriod    = 2 * time.Second
	// maxWaitShare is the longest useful wait as a share of the objective, which is counted from the
	// first try: the rest is for the queue, of up to 0.35 as well, and the prefill of the retry.
	maxWaitShare = 0.35
	// clockTolerance is how far the clocks of two instances may be apart. A retry is asked for that
	// much later, so that it does not arrive before the window of an instance whose clock is slow.
	clockTolerance = 50 * time.Millisecond
	// turnLength is how long a position is due in its turn: a retry that arrives late, or at an instance
	// whose clock is fast, is still in it.
	turnLength = 3 * clockTolerance
)

// Position is the place of a request's content on the circle.
type Position uint64

// PositionOf returns the position of a request by its organisation and the parts of its content. Identical
// requests have the same position at every instance.
func PositionOf(organisation string, parts ...[]byte) Position {
	var d xxhash.Digest
	d.Reset()
	var length [8]byte
	binary.BigEndian.PutUint64(length[:], uint64(len(organisation)))
	_, _ = d.Write(length[:])
	_, _ = d.WriteString(organisation)
	for _, part := range parts {
		// The lengths make the boundaries between the parts unambiguous.
		binary.BigEndian.PutUint64(length[:], uint64(len(part)))
		_, _ = d.Write(length[:])
		_, _ = d.Write(part)
	}
	return Position(d.Sum64())
}

// inWindow and inTurn are the position as shares of the two circles, which are independent.
func (p Position) inWindow() float64 { return float64(p>>32) / (1 << 32) }
func (p Position) inTurn() float64   { return float64(p&math.MaxUint32) / (1 << 32) }

// ahead returns for how long a position lies ahead of a front that travels around the circle once in a
// period.
func ahead(now time.Time, position float64, period time.Duration) time.Duration {
	front := float64(now.UnixNano()%int64(period)) / float64(period)
	d := position - front
	if d < 0 {
		d++
	}
	return time.Duration(d * float64(period))
}

// Window is the window of a route.
type Window struct {
	// period is the time of one lap, and useful the longest wait after which a retry can still be
	// answered within the objective.
	period, useful time.Duration
}

// For returns the window of a route with the given objective.
func For(objective time.Duration) Window {
	return Window{
		period: max(minPeriod, periodFactor*objective),
		useful: max(turnLength, time.Duration(maxWaitShare*float64(objective))),
	}
}

// Decision is the decision on one request.
type Decision struct {
	Admitted bool
	// Retry is when a rejected request is to be sent again, and Promised is set if that is soon enough
	// to be answered within the objective.
	Retry    time.Duration
	Promised bool
	// Width is the share of new requests that is admitted.
	Width float64
}

// Decide decides on a request at a position. share is the share of all requests, new ones and retries,
// for which there is capacity. As all retries are admitted, new requests get less than that.
func (w Window) Decide(now time.Time, p Position, share float64) Decision {
	if share >= 1 {
		return Decision{Admitted: true, Width: 1}
	}
	promised := w.promised(share)
	// For each new request there are promised retries, so share is of 1+promised.
	d := Decision{Width: max(share*(1+promised)-promised, float64(turnLength)/float64(w.period))}
	wait := ahead(now, p.inWindow(), w.period)
	behind, width := w.period-wait, time.Duration(d.Width*float64(w.period))
	// A request that was in the window and rejected for its upstream's queue has its turn later.
	if behind < width || behind < width+w.useful+clockTolerance && w.inTurn(now, p) {
		d.Admitted = true
		return d
	}
	d.Promised = wait <= time.Duration(promised*float64(w.period))
	if !d.Promised {
		// There is no room for it in this lap: by the time at which the window passes, its retry would
		// be late and take the place of one that is in time.
		wait += w.period
	}
	d.Retry = wait + clockTolerance
	return d
}

// promised returns how many retries are promised for each new request. A deep shortage rarely ends within the
// objective, so that a retry only takes the place of a new request, which has more time left.
func (w Window) promised(share float64) float64 {
	return float64(w.useful) / float64(w.period) * share * share
}

// A request may also be rejected because too much waits before it at the upstream that suits it. Then there is
// no share to admit; its retries are spread instead: each position has its turn once in the longest
// useful wait.

// NextTurn returns when a request that was rejected for its upstream's queue is to be sent again: in its
// next turn after the queue is expected to be within the limit.
func (w Window) NextTurn(now time.Time, p Position, excess time.Duration) time.Duration {
	wait := ahead(now, p.inTurn(), w.useful)
	if wait < excess {
		wait += (excess - wait + w.useful - 1) / w.useful * w.useful
	}
	return wait + clockTolerance
}

// inTurn reports whether a position has its turn. With a short objective most positions have theirs at any time, which
// no longer tells retries from new requests: then no position has.
func (w Window) inTurn(now time.Time, p Position) bool {
	return w.useful >= 2*turnLength && w.useful-ahead(now, p.inTurn(), w.useful) < turnLength
}

// MayBeRetry reports whether a request may be a retry that comes when it was asked for. Such requests may find
// somewhat more in the queue than others, or new requests would take the room for which the retry waited.
func (w Window) MayBeRetry(now time.Time, p Position) bool {
	return w.inTurn(now, p) || w.period-ahead(now, p.inWindow(), w.period) < turnLength
}
