// Package usage counts the requests of each organisation that upstreams have started to run,
// per window of the agreed time, and carries the counts from instances to the replicated
// state (core/control/usage). It does no I/O.
//
// Instances report totals, not differences. The totals of one run of an instance only
// grow, so reports may be duplicated, late, reordered or sent by way of another member: of
// two totals the greater one is correct.
package usage

import (
	"cmp"
	"slices"
	"time"

	"github.com/comfreyladder/comfreyladder/core/wire"
)

// WindowAt returns the number of the window that contains a time. Window n begins n spans
// after the Unix epoch (start of 1970).
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

// Count is the total of one organisation in one window at one instance.
type Count struct {
	wire.Array
	Window       int64
	Organisation string
	Requests     uint64
}

// Report is a report of one run of an instance. The zero Report is empty.
type Report struct {
	wire.Array
	// Instance identifies one run of the instance. A restarted instance counts from zero.
	Instance uint64
	// Current is the window in progress at the instance. Earlier windows are complete with
	// this report and those before it.
	Current int64
	Counts  []Count
}

// Empty reports whether the report has no content.
func (r *Report) Empty() bool { return r.Instance == 0 }

type key struct {
	window       int64
	organisation string
}

// total counts requests, with the revision of its last change.
type total struct {
	requests, revision uint64
}

// RetentionWindows is the number of windows for which an instance keeps its counts. An
// instance that is cut off reports all of them once it is connected again.
const RetentionWindows = 120

// ackedRetentionWindows is the number of windows for which acknowledged counts are kept. The
// member that acknowledged them may be lost before they are committed; another member then gets all.
const ackedRetentionWindows = 6

// Counter counts the requests at one instance. It is not safe for concurrent use.
type Counter struct {
	instance uint64
	span     time.Duration
	totals   map[key]*total
	revision uint64
	// acked is the latest revision that was acknowledged, ackedBy the member that did so, and
	// ackedWindow the window that was in progress in the acknowledged report.
	acked       uint64
	ackedBy     string
	ackedWindow int64
}

// NewCounter returns a Counter. instance identifies this run of the instance and is not zero.
func NewCounter(instance uint64, span time.Duration) *Counter {
	return &Counter{instance: instance, span: span, totals: map[key]*total{}}
}

// Add counts a request that started to run at an agreed time.
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

// Report returns what a member has not acknowledged yet, as of an agreed time, and the
// revision to pass to Acknowledge once the member has received it.
func (c *Counter) Report(now time.Time, member string) (r Report, revision uint64) {
	current := WindowAt(now, c.span)
	c.forget(current)
	since := c.acked
	if member != c.ackedBy {
		since = 0
	}
	if since == c.revision && c.ackedWindow == current && member == c.ackedBy {
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

// Acknowledge records that a member has received a report.
func (c *Counter) Acknowledge(r *Report, revision uint64, member string) {
	if r.Empty() {
		return
	}
	c.acked, c.ackedBy, c.ackedWindow = revision, member, r.Current
}

func (c *Counter) forget(current int64) {
	for k, t := range c.totals {
		if k.window < current-RetentionWindows || k.window < current-ackedRetentionWindows && t.revision <= c.acked {
			delete(c.totals, k)
		}
	}
}

func sortCounts(list []Count) {
	slices.SortFunc(list, func(a, b Count) int {
		return cmp.Or(cmp.Compare(a.Window, b.Window), cmp.Compare(a.Organisation, b.Organisation))
	})
}
