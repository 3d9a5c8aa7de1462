// Package relay forwards callers' requests to upstreams as the serving state says:
// it reads a request, finds its route and organisation, chooses an upstream, sends
// the request, and carries the answer back, byte for byte.
//
// What it promises: an answer is the caller's own and whole, or it does not look
// whole; a request that must not be repeated reaches one upstream once; and "not
// run" is said only with proof.
package relay

import (
	"time"

	"github.com/comfreyladder/comfreyladder/core/route"
	"github.com/comfreyladder/comfreyladder/instance/eventlog"
	"github.com/comfreyladder/comfreyladder/instance/follow"
)

// Headers are the names of the header fields that this instance reads or sets.
type Headers struct {
	// RequestID identifies one attempt of a caller; answers repeat it.
	RequestID string
	// Deadline is how many milliseconds the caller, or this instance, will wait.
	Deadline string
	// Key is the caller's key, Organisation the name that upstreams get in place of it.
	Key          string
	Organisation string
	// ExpectInstance names the incarnation that may run the request.
	ExpectInstance string
	// Urgency is the rank at the upstream, from 0 (first) to 9.
	Urgency string
	// NotRun, in an answer, proves that the upstream did not run the request, and
	// Seal that the answer is the upstream's.
	NotRun, Seal string
	// LastEvent is the ID of the last event that the caller of a stream has.
	LastEvent string
	// Parts lists the parts of a prompt, Tokens their number and the longest answer.
	Parts, Tokens string
	// Limit, in an answer, is how many requests a second the upstream takes from all
	// instances together, as a decimal number.
	Limit string
	// FetchFrom names the upstream from which another one takes over what it has read.
	FetchFrom string
	// Reserved fields are this system's to set: callers' ones are dropped.
	Reserved []string
	// EndToEnd fields are forwarded even if a caller lists them in Connection.
	EndToEnd []string
}

// State is the serving state as this instance follows it.
type State interface {
	View() *follow.View
	// Lease is for how long the view may still be acted on.
	Lease() time.Duration
	// Age is how long ago the view was confirmed.
	Age() time.Duration
}

// Budget bounds the repeats of all instances together.
type Budget struct {
	Ratio  float64
	Window time.Duration
	Slack  float64
}

// Config of a Service.
type Config struct {
	// Listen is the callers' "ip:port".
	Listen  string
	Domain  string
	Headers Headers
	State   State
	// FailClosed refuses requests with a key once the lease has run out.
	FailClosed bool
	Budget     Budget
	// Announce is for how long an instance that drains goes on as before, so that
	// the balancer sees that it isn't ready; DrainTimeout bounds the whole drain.
	Announce, DrainTimeout time.Duration
	// BodyBytes bounds the request bodies that are held at the same time; zero means no
	// bound.
	BodyBytes int64
	// Began, if set, is told of each request of an organisation that began to run, once, and
	// how long ago.
	Began func(organisation string, ago time.Duration)
	// Quarantine keeps requests from upstreams that crash them; nil for none.
	Quarantine Quarantine
	// Limits keeps to the limits that upstreams name; nil where they name none.
	Limits Limits
	Log    *eventlog.Sink
}

const (
	// deadlineMargin is taken off the time that is left, so that the final answer is
	// on its way when the time is over.
	deadlineMargin = 25 * time.Millisecond
	// dialTimeout bounds a connect to an upstream: one that is dark answers nothing.
	dialTimeout = 400 * time.Millisecond
	// lingerTimeout is for how long what a caller still sends is read and dropped
	// after a final answer; closing with unread bytes would reset the connection and
	// the answer could be lost.
	lingerTimeout = 500 * time.Millisecond
	// writeTimeout bounds a write to a caller that does not read.
	writeTimeout = 5 * time.Second
	// maxAnswerHead bounds the head of an upstream's answer.
	maxAnswerHead = 64 << 10
	// maxBuffered bounds a plain answer that is held until it is whole; a longer one
	// is passed on as it comes.
	maxBuffered = 512 << 10
	// ioBuffer is the size of a connection's read buffer.
	ioBuffer = 4 << 10
	// userTimeout ends a connection whose bytes are not acknowledged: one that fell
	// silent for good shows in no other way.
	userTimeout = 1500 * time.Millisecond
)

// limits returns the limits in force.
func limits(v *follow.View) route.Limits {
	if v.Routes == nil {
		return route.DefaultLimits
	}
	return v.Routes.Table.Limits
}
