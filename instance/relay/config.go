// Package relay forwards callers' requests to upstreams according to the serving state: it reads a
// request, finds its route and organisation, chooses an upstream, sends the request, and returns
// the response byte for byte.
//
// Guarantees: a caller receives the complete response to its own request, or a response that is
// recognisably incomplete; a request that must not be repeated reaches at most one upstream, and that
// one once; "not run" is reported only with proof.
package relay

import (
	"context"
	"net"
	"time"

	"github.com/comfreyladder/comfreyladder/core/route"
	"github.com/comfreyladder/comfreyladder/instance/eventlog"
	"github.com/comfreyladder/comfreyladder/instance/follow"
	"github.com/comfreyladder/comfreyladder/instance/uplink"
)

// Headers are the names of the header fields that this instance reads or sets.
type Headers struct {
	// RequestID identifies one attempt of a caller; responses repeat it.
	RequestID string
	// Deadline is how long the caller, or this instance, will wait, in milliseconds.
	Deadline string
	// Key is the caller's API key, and Organisation the name that upstreams receive instead of it.
	Key          string
	Organisation string
	// ExpectInstance names the incarnation that may run the request.
	ExpectInstance string
	// Urgency is the priority at the upstream, from 0 (first) to 9.
	Urgency string
	// NotRun, in a response, proves that the upstream did not run the request. Seal proves that the
	// response was made by the upstream.
	NotRun, Seal string
	// LastEvent is the ID of the last event that the caller of a stream has received.
	LastEvent string
	// Resumes is the request ID of the caller's attempt that brought the first event of the stream that
	// a request goes on with.
	Resumes string
	// PromptSegments lists the segments of a prompt. TokenCounts holds the prompt's token count and
	// the maximum length of the answer.
	PromptSegments, TokenCounts string
	// Limit, in a response, is how many requests per second the upstream accepts from all instances
	// together, as a decimal number.
	Limit string
	// Leaving, in a response, is "1" if the upstream is leaving and wants no new requests.
	Leaving string
	// Brittle, in a response, is how many rejections per second the upstream bears. One that must
	// reject more fails.
	Brittle string
	// WarmUp, in the answer of a health path, is how long the upstream stays cold, in milliseconds.
	WarmUp string
	// FetchFrom names the upstream from which another one can fetch a cached prompt.
	FetchFrom string
	// Reserved fields are set by this system only: those that callers send are dropped.
	Reserved []string
	// EndToEnd fields are forwarded even if a caller lists them in Connection.
	EndToEnd []string
}

// State is the serving state as this instance follows it.
type State interface {
	// View is the newest view. It has a table only once a quorum has confirmed one.
	View() *follow.View
	// LeaseOf is how much longer a view may be acted on. What was decided by a view must not rest on
	// the lease of another one.
	LeaseOf(v *follow.View) time.Duration
	// Age is the time since the newest view was last confirmed.
	Age() time.Duration
}

// Budget bounds the repeated requests of all instances together.
type Budget struct {
	Ratio  float64
	Window time.Duration
	Slack  float64
	// CountedSince is since when all repeats of this instance are known, by clock.Now: the start of the
	// service if it is zero.
	CountedSince time.Time
}

// Config configures a Service.
type Config struct {
	// Listen is the address for callers, as "ip:port".
	Listen  string
	Domain  string
	Headers Headers
	State   State
	// FailClosed refuses requests with a key once the lease has expired.
	FailClosed bool
	Budget     Budget
	// Announce is how long a draining instance keeps serving as before, so that the balancer
	// notices that it is not ready. DrainTimeout bounds the whole drain.
	Announce, DrainTimeout time.Duration
	// BodyBytes bounds the total size of request bodies held at the same time, AnswerBytes that of
	// responses that their callers have not read yet; zero means no bound.
	BodyBytes, AnswerBytes int64
	// EventBytes bounds one event of a stream, with the comments before it; zero selects
	// sse.DefaultMaxEvent. A stream that exceeds it counts as broken.
	EventBytes int
	// OnRequestBegun, if set, is called once for each request of an organisation that began to run,
	// with the time since it began.
	OnRequestBegun func(organisation string, ago time.Duration)
	// Quarantine keeps requests away from upstreams that they crash; nil disables it.
	Quarantine Quarantine
	// Limits enforces the rate limits that upstreams announce; nil if they announce none.
	Limits Limits
	// Permits are the permits of this instance to send requests to cold upstreams; nil if there is no
	// warm-up limit.
	Permits Permits
	// Origins tells where streams of other instances began; nil if streams go on anywhere.
	Origins Origins
	// Tunnels opens connections through other instances while this one is cut off from all upstreams;
	// nil if there are none.
	Tunnels uplink.Tunnels
	// OnDrain, if set, is called when a drain begins.
	OnDrain func()
	// Dial opens a connection to the upstream at an address; nil selects TCP with keep-alive probes.
	Dial func(ctx context.Context, address string) (net.Conn, error)
	// OnLoadChange, if set, is called when the load of an engine has changed and the other
	// instances should know soon. It must not block.
	OnLoadChange func()
	// Slots grants slots of plain services; nil if nobody does.
	Slots Slots
	// ShedOverload leaves new connections unread while this instance has too little CPU time.
	ShedOverload bool
	Log          *eventlog.Sink
}

const (
	// deadlineMargin is subtracted from the remaining time, so that the final response is on its
	// way before the deadline.
	deadlineMargin = 25 * time.Millisecond
	// dialTimeout bounds a connect to an upstream: an unreachable host does not answer at all.
	dialTimeout = 400 * time.Millisecond
	// lingerTimeout is how long further input from a caller is read and discarded after a final
	// response. Closing with unread bytes would reset the connection and could lose the response.
	lingerTimeout = 500 * time.Millisecond
	// writeTimeout bounds the write of maxWriteBytes to a caller, which may not read at all.
	writeTimeout  = 5 * time.Second
	maxWriteBytes = 16 << 10
	// maxUnsentBytes bounds what the kernel holds of the responses of a caller that reads slowly.
	maxUnsentBytes = 64 << 10
	// maxAnswerHeadBytes bounds the head of an upstream's response.
	maxAnswerHeadBytes = 64 << 10
	// maxBufferedBody bounds a non-streaming response that is buffered until it is complete. A
	// longer one, or one over the budget, is forwarded as it arrives.
	maxBufferedBody = 512 << 10
	// ioBufferSize is the size of a connection's read buffer.
	ioBufferSize = 4 << 10
)

// limits returns the limits in force.
func limits(v *follow.View) route.Limits {
	if v.Routes == nil {
		return route.DefaultLimits
	}
	return v.Routes.Table.Limits
}
