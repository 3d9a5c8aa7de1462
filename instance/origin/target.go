package origin

import (
	"time"

	"github.com/comfreyladder/comfreyladder/core/origin"
)

// target is a member that is told where the streams of this instance began: of all of them first, and
// again if it turns out to lack some, as it has restarted or messages were lost.
type target struct {
	member string
	// all is set if the member may lack any stream of this instance. first is set from then until the
	// next message.
	all, first bool
	pending    map[origin.Origin][]origin.Key
	count      int
	urgent     bool
	// number is that of the last message, checkedNumber its value at the last check.
	number, checkedNumber uint64
	checking              bool
	checkedAt             time.Time
	// retellAt is the earliest time to tell all again, retellPause the pause after that.
	retellAt    time.Time
	retellPause time.Duration
}

func newTarget(member string) *target {
	return &target{member: member, all: true, first: true, pending: map[origin.Origin][]origin.Key{}, retellPause: minRetellPause}
}

func (t *target) add(k origin.Key, at origin.Origin, urgent bool) {
	t.urgent = t.urgent || urgent
	switch {
	case t.all:
		return
	case t.count >= maxPending:
		t.tellAll()
		return
	}
	t.pending[at] = append(t.pending[at], k)
	t.count++
}

// tellAll drops what is pending: it is told with all the rest.
func (t *target) tellAll() {
	clear(t.pending)
	t.all, t.first, t.count = true, true, 0
}

// take returns the next message to the member, or nil.
func (t *target) take(now time.Time, own *origin.Store) *Begun {
	if t.all {
		t.all = false
		own.All(now, func(k origin.Key, at origin.Origin) {
			t.pending[at] = append(t.pending[at], k)
			t.count++
		})
	}
	if t.count == 0 {
		return nil
	}
	t.number++
	begun := &Begun{Number: t.number, First: t.first, Urgent: t.urgent}
	t.first, t.urgent = false, false
	left := maxTold
	for at, streams := range t.pending {
		n := min(left, len(streams))
		if n == 0 {
			break
		}
		begun.Groups = append(begun.Groups, Group{at.Service, at.Software, streams[:n:n]})
		t.pending[at] = streams[n:]
		if n == len(streams) {
			delete(t.pending, at)
		}
		left -= n
	}
	t.count -= maxTold - left
	return begun
}

// beginCheck reports whether the member is to be checked now, and which messages it should have received:
// those that were sent before the last check.
func (t *target) beginCheck(now time.Time) (expected uint64, due bool) {
	if t.checking || t.number == 0 || now.Sub(t.checkedAt) < checkInterval {
		return 0, false
	}
	expected = t.checkedNumber
	t.checking, t.checkedAt, t.checkedNumber = true, now, t.number
	return expected, true
}

// endCheck records the result of a check, and reports whether all is told again.
func (t *target) endCheck(now time.Time, answered, complete bool) bool {
	t.checking = false
	switch {
	case !answered:
		return false
	case complete:
		t.retellPause = minRetellPause
		return false
	case now.Before(t.retellAt):
		return false
	}
	t.tellAll()
	t.retellAt = now.Add(t.retellPause)
	t.retellPause = min(2*t.retellPause, maxRetellPause)
	return true
}
