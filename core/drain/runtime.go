package drain

import "time"

// RunTime measures for how long a process has run, which is less than the time that has
// passed if it was frozen meanwhile. It is looked at at a steady pace: of a longer pause
// between two looks only the usual one counts. The zero RunTime is not usable.
type RunTime struct {
	pause time.Duration
	last  time.Time
	ran   time.Duration
}

// NewRunTime returns a RunTime that is looked at every pause.
func NewRunTime(pause time.Duration) *RunTime { return &RunTime{pause: pause} }

// Tick returns for how long the process has run since the first look.
func (r *RunTime) Tick(now time.Time) time.Duration {
	if !r.last.IsZero() {
		r.ran += min(now.Sub(r.last), r.pause)
	}
	r.last = now
	return r.ran
}

// Quiet decides when a drain is over that can't tell which requests are still to come:
// after a span without work in which the process ran. After a freeze the span begins
// anew, as what has come meanwhile is not seen at the first look.
type Quiet struct {
	span, frozen time.Duration
	last, since  time.Time
}

// lateLooks is how many usual pauses between two looks show a freeze.
const lateLooks = 10

// NewQuiet returns a Quiet for a span; it is looked at every pause.
func NewQuiet(span, pause time.Duration) *Quiet { return &Quiet{span: span, frozen: lateLooks * pause} }

// Tick notes whether there is work, and reports whether the span is over.
func (q *Quiet) Tick(now time.Time, busy bool) bool {
	if busy || q.last.IsZero() || now.Sub(q.last) > q.frozen {
		q.since = now
	}
	q.last = now
	return now.Sub(q.since) >= q.span
}
