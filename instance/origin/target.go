package origin

import (
	"time"

	"github.com/comfreyladder/comfreyladder/core/origin"
)

// target is a member that is told where the streams of this instance began. It is told of all of them
// first, and again after a failure, or if it has restarted.
type target struct {
	member string
	// incarnation is that of the member's last confirmation, zero before the first and after a failure.
	incarnation uint64
	// all is set if the member may lack any stream of this instance.
	all     bool
	pending map[origin.Origin][]origin.Key
	count   int
	// busy is set while the member is being told. It was told last at toldAt, and is not told before
	// retryAt.
	busy            bool
	toldAt, retryAt time.Time
}

func newTarget(member string) *target {
	return &target{member: member, all: true, pending: map[origin.Origin][]origin.Key{}}
}

func (t *target) add(k origin.Key, at origin.Origin) {
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
	t.all, t.count = true, 0
}

// due reports whether the member is to be told something, or asked whether it has restarted, by an
// instance that remembers some streams.
func (t *target) due(now time.Time, streams int) bool {
	return t.count > 0 || streams > 0 && (t.all || now.Sub(t.toldAt) >= checkInterval)
}

// take returns the next message to the member, and the number of its streams.
func (t *target) take(now time.Time, own *origin.Store) (*Begun, int) {
	t.toldAt = now
	if t.all {
		t.all = false
		own.All(now, func(k origin.Key, at origin.Origin) {
			t.pending[at] = append(t.pending[at], k)
			t.count++
		})
	}
	begun := &Begun{}
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
	return begun, maxTold - left
}

// delivered records the outcome of a message, and reports whether the next one is to follow at once.
func (t *target) delivered(now time.Time, response BegunResponse, err error) bool {
	if err != nil {
		t.tellAll()
		t.incarnation = 0
		t.retryAt = now.Add(retryPause)
		return false
	}
	restarted := t.incarnation != 0 && response.Incarnation != t.incarnation
	t.incarnation = response.Incarnation
	if restarted {
		t.tellAll()
	}
	return restarted || t.count >= maxTold
}
