// Package usage counts the requests of each organisation that upstreams began to run, by
// windows of the agreed time, and carries the counts from instances to the replicated
// state (core/control/usage). It does no I/O.
//
// Instances tell totals, not differences. The totals of one start of one instance only
// grow, so a report may be told twice, late, in another order or by way of another member:
// of two totals the greater one is right.
package usage

import (
	"cmp"
	"slices"
	"time"

	"github.com/comfreyladder/comfreyladder/core/wire"
)

// WindowAt returns the number of the window of a time: window n begins n spans after the
// start of 1970.
func WindowAt(t time.Time, span time.Duration) int64 {
	n := t.UnixNano() / int64(span)
	if t.UnixNano()%int64(span) < 0 {
		n--
	}
	return n
}

// EndOf returns the end of a window.
func EndOf(window int64, span time.Duration) time.Time {
	return time.Unix(0, (window+1)*int64(span)).UTC()
}

// Count is the total of one organisation in one window, as one instance saw it.
type Count struct {
	wire.Array
	Window       int64
	Organisation string
	Requests     uint64
}

// Report is what one start of an instance tells. The zero Report says nothing.
type Report struct {
	wire.Array
	// Instance names one start of the instance: another one counts from zero.
	Instance uint64
	// Current is the window that goes on at the instance: all earlier ones are whole with
	// what it has told so far and tells here.
	Current int64
	Counts  []Count
}

// Empty reports whether the report says nothing.
func (r *Report) Empty() bool { return r.Instance == 0 }

type key struct {
	window       int64
	organisation string
}

// total is one total with the revision in which it changed last.
type total struct {
	requests, revision uint64
}

// maxWindows is for how many windows an instance keeps its counts: one that is cut off
// tells them all when it is back.
const maxWindows = 120

// keptWindows is for how many windows counts are kept that were told: the member that
// heard them may be lost before it passed them on, and another one is told all.
const keptWindows = 6

// Counter counts at one instance. It is not safe for concurrent use.
type Counter struct {
	instance uint64
	span     time.Duration
	totals   map[key]*total
	revision uint64
	// told is the revision up to which toldTo was told, at a window.
	told       uint64
	toldTo     string
	toldWindow int64
}

// NewCounter returns a counter; instance names this start and is not zero.
func NewCounter(instance uint64, span time.Duration) *Counter {
	return &Counter{instance: instance, span: span, totals: map[key]*total{}}
}

// Add counts a request that began to run at an agreed time.
func (c *Counter) Add(at time.Time, organisation string) {
	k := key{WindowAt(at, c.span), organisation}
	t := c.totals[k]
	if t == nil {
		t = &total{}
		c.totals[k] = t
	}
	c.revision++
	t.requests++
	t.revision = c.revision
}

// Report returns what a member has not been told yet, as of an agreed time, and the
// revision to call Told with once it has taken that in.
func (c *Counter) Report(now time.Time, member string) (r Report, revision uint64) {
	current := WindowAt(now, c.span)
	c.forget(current)
	since := c.told
	if member != c.toldTo {
		since = 0
	}
	if since == c.revision && c.toldWindow == current && member == c.toldTo {
		return Report{}, c.revision
	}
	r = Report{Instance: c.instance, Current: current}
	for k, t := range c.totals {
		if t.revision > since {
			r.Counts = append(r.Counts, Count{Window: k.window, Organisation: k.organisation, Requests: t.requests})
		}
	}
	sortCounts(r.Counts)
	return r, c.revision
}

// Acknowledge notes that a member has taken in a report.
func (c *Counter) Acknowledge(r *Report, revision uint64, member string) {
	if r.Empty() {
		return
	}
	c.told, c.toldTo, c.toldWindow = revision, member, r.Current
}

func (c *Counter) forget(current int64) {
	for k, t := range c.totals {
		if k.window < current-maxWindows || k.window < current-keptWindows && t.revision <= c.told {
			delete(c.totals, k)
		}
	}
}

func sortCounts(list []Count) {
	slices.SortFunc(list, func(a, b Count) int {
		return cmp.Or(cmp.Compare(a.Window, b.Window), cmp.Compare(a.Organisation, b.Organisation))
	})
}
