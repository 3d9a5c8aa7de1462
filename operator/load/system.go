package load

import (
	"context"
	"time"

	"github.com/comfreyladder/comfreyladder/core/intent"
	"github.com/comfreyladder/comfreyladder/operator/standin/engine"
)

// System is what an experiment is run against: the router or a baseline. A
// System serves one run.
type System interface {
	// Start begins to serve. It returns the addresses to which the stand-ins
	// announce themselves; none if they need not.
	Start(ctx context.Context) (announce Announce, err error)
	// Attach tells of the engines once they serve; nil when they run elsewhere.
	// It returns when the system is ready for load or ctx is done.
	Attach(ctx context.Context, engines []*engine.Engine) error
	// Serve sends one request, whose planned arrival is given, and returns its
	// one outcome. It is called on a goroutine of its own; when ctx is done the
	// caller has given up.
	Serve(ctx context.Context, r *Request, arrived time.Time) Outcome
	// Stop ends the system.
	Stop(ctx context.Context) error
}

// Explainer is a System that can tell after the run why a request fared as it
// did, one line for each event.
type Explainer interface {
	Explain(rec *Record) []string
}

// Maker makes a System for one run.
type Maker func(x *Experiment, seed uint64) System

// Verdict is what became of a request, as its caller sees it.
type Verdict string

// The verdicts. Each request has exactly one.
const (
	// Complete is a whole answer, verified to be the request's own.
	Complete Verdict = "complete"
	// NotRun is an explicit refusal: the request was not run.
	NotRun Verdict = "not_run"
	// Broken is an explicit failure or a connection that ended early.
	Broken Verdict = "broken"
	// Wrong is an answer with a clean end that is not whole or not its own. The
	// brief allows none.
	Wrong Verdict = "wrong"
	// Expired means that the caller gave up at the deadline of its class.
	Expired Verdict = "expired"
)

// Verdicts lists all verdicts in the order of reports.
var Verdicts = []Verdict{Complete, NotRun, Broken, Wrong, Expired}

// Outcome is what one caller saw. Times count from the planned arrival, so that
// a late sender cannot hide a wait (no coordinated omission).
type Outcome struct {
	Verdict Verdict
	Detail  string
	// ID is the system's own for the request, when its answer told one.
	ID string
	// FirstToken and Total are zero when they did not happen.
	FirstToken time.Duration
	Total      time.Duration
	// Between is the mean time between tokens.
	Between time.Duration
	// Tokens is how many tokens of the answer were received.
	Tokens int
}

// Met reports whether the outcome meets the service level of a class.
func (o *Outcome) Met(c *intent.Class) bool {
	switch {
	case o.Verdict != Complete:
		return false
	case c.FirstToken > 0 && o.FirstToken > c.FirstToken:
		return false
	case c.BetweenTokens > 0 && o.Between > c.BetweenTokens:
		return false
	case c.Total > 0 && o.Total > c.Total:
		return false
	}
	return c.Deadline == 0 || o.Total <= c.Deadline
}
