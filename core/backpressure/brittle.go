package backpressure

import (
	"strconv"
	"strings"
	"sync/atomic"
	"time"
)

const (
	// maxTolerated bounds an accepted number of rejections per second, far beyond any that matters.
	maxTolerated = 1 << 20
	// minRejectionPause and maxRejectionPause bound the pause after a rejection by a brittle upstream.
	minRejectionPause, maxRejectionPause = 100 * time.Millisecond, 5 * time.Second
)

// ParseBrittle returns how many rejections per second an upstream says that it bears. It reports false
// if the value is absent or can't be parsed.
func ParseBrittle(value string) (perSecond int, ok bool) {
	n, err := strconv.Atoi(strings.TrimSpace(value))
	if err != nil || n < 0 {
		return 0, false
	}
	return min(n, maxTolerated), true
}

// RejectionPause returns for how long one of several instances sends nothing to a brittle upstream that
// has rejected a request of it: together they are rejected no more often than the upstream bears, in any
// second and not only in the mean. Pauses of 0.8 s of four instances that were rejected at the same time
// brought eight rejections in a second where five were allowed.
func RejectionPause(perSecond, instances int) time.Duration {
	instances, perSecond = max(1, instances), max(1, perSecond)
	pause := time.Duration(instances) * time.Second / time.Duration(perSecond)
	if each := perSecond / instances; each > 0 {
		pause = time.Second / time.Duration(each)
	}
	return min(maxRejectionPause, max(minRejectionPause, pause))
}

// Brittle holds whether the upstreams of a service say that they are brittle: each fails if it has to
// reject too many requests. Requests then must not rely on their queues. It belongs to the service, as
// an upstream that has failed and is back has not said anything yet. The zero value is not brittle. It
// is safe for concurrent use.
type Brittle struct {
	// heard is when an upstream last said that it is brittle, in nanoseconds of the Unix time; zero if
	// none is.
	heard atomic.Int64
}

// brittleRetention is for how long the others are taken to be brittle after one has said so.
const brittleRetention = time.Second

// Hear records what a response says, which came at a given time to a request sent before. One without
// the announcement ends the time only if its request was sent some time after the last announcement.
func (b *Brittle) Hear(brittle bool, sent, now time.Time) {
	if brittle {
		b.heard.Store(now.UnixNano())
		return
	}
	if heard := b.heard.Load(); heard != 0 && sent.UnixNano() > heard+int64(brittleRetention) {
		b.heard.CompareAndSwap(heard, 0)
	}
}

// Active reports whether the upstreams are brittle.
func (b *Brittle) Active() bool { return b.heard.Load() != 0 }

// Room describes the slots of an upstream as one of several instances knows them.
type Room struct {
	// Slots is how many requests the upstream runs at once, and Instances how many instances send to it.
	Slots, Instances int
	// Own is what this instance has in flight there, and All what all instances have as far as is known.
	Own, All int
	// Tokens is what all instances hold of the Memory of an engine, and Need what the request adds, in
	// tokens; Memory is zero if the upstream is none.
	Tokens, Need, Memory int
	// Unknown is set while the work of other instances there is not known, as it may have begun a moment ago: to each of
	// them the upstream looks empty.
	Unknown bool
	// Lot is uniform in [0,1) over the instances and upstreams, and the same for each pair.
	Lot float64
}

// Free reports whether a request finds room without doubt: if it fits into the memory, and this instance
// is within its share of the slots, or half of them are free even though what is known of the others is
// not new, unless it is unknown. With fewer slots than instances, as many instances as there are slots have a share of one.
func (r Room) Free() bool {
	if r.Memory > 0 && r.Tokens+r.Need > r.Memory {
		return false
	}
	share := r.Slots / max(1, r.Instances)
	if share == 0 && r.Lot*float64(r.Instances) < float64(r.Slots) {
		share = 1
	}
	return r.Own < share || !r.Unknown && 2*r.All < r.Slots
}
