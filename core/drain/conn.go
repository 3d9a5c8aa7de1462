package drain

import "time"

// Conn tracks the state of one client connection. Its reader reports requests, its writer
// reports responses; requests may be read while earlier ones are answered.
type Conn struct {
	pending int
	// hasRequest says that at least one request has begun on the connection.
	hasRequest bool
	// reading says that a request has begun and is not complete, finished that the last
	// response was sent, and gone that HangUp was called.
	reading, finished, gone bool
	// sweepStarted says that a sweep has found the connection unused; sweepStartedAt is
	// the run time of the first such sweep.
	sweepStarted   bool
	sweepStartedAt time.Duration
}

// Pending returns the number of requests that were read and not answered yet.
func (c *Conn) Pending() int { return c.pending }

// Open reports whether a response may still be sent.
func (c *Conn) Open() bool { return !c.finished && !c.gone }

// Reading reports whether a request has begun and is not complete.
func (c *Conn) Reading() bool { return c.reading }

// State returns a short description of the connection's state for logs.
func (c *Conn) State() string {
	switch {
	case c.reading:
		return "reading"
	case c.pending > 0:
		return "answering"
	case !c.hasRequest:
		return "silent"
	}
	return "idle"
}

// idle reports whether no request is being read or answered. Only then may a read
// deadline be set that ends the connection, or a drain close it; otherwise a request
// would be cut off.
func (c *Conn) idle() bool { return c.pending == 0 && !c.reading }

// BeginRequest records the first byte of a request.
func (c *Conn) BeginRequest() { c.reading, c.hasRequest = true, true }

// RequestRead records that reading a request has ended, with success or not. Both are
// answered.
func (c *Conn) RequestRead() {
	c.reading = false
	c.pending++
}

// DropRequest records that a request that was read after the last response is not
// answered. It arrived while the connection was being closed and has not run.
func (c *Conn) DropRequest() { c.pending-- }

// HangUp records that no further request can come: the client has closed the connection,
// or its idle timeout has passed. No client waits for the pending requests any more.
func (c *Conn) HangUp() { c.gone = true }

// Gone reports whether HangUp was called.
func (c *Conn) Gone() bool { return c.gone }

// Next says how a connection goes on after a response.
type Next int

// Values of Next.
const (
	// Finish ends the connection: no further request is answered.
	Finish Next = iota
	// Await starts the idle timeout for the next request.
	Await
	// Continue leaves the connection as it is: another request is already being read or
	// answered.
	Continue
)

// Answered records that a response was sent; keep says that the response has not ended
// the connection. In the Ending phase every response ends its connection, even one whose
// header does not say so because it was sent before the drain began.
func (c *Conn) Answered(p Phase, keep bool) Next {
	c.pending--
	switch {
	case !keep || p == Ending:
		c.finished = true
		return Finish
	case c.idle():
		return Await
	}
	return Continue
}

// CloseDecision says when a drain closes a connection.
type CloseDecision int

// Values of CloseDecision.
const (
	// KeepOpen leaves the connection open until its pending work ends it.
	KeepOpen CloseDecision = iota
	// CloseNow closes the connection at once.
	CloseNow
	// CloseLater leaves a new connection open for a moment. Its client is likely to send
	// a request soon, and closing the connection while the request is in transit would
	// leave it unanswered.
	CloseLater
)

// firstRequestGrace is how long, in run time, a drain in its last phase waits for the
// first request on a connection.
const firstRequestGrace = 500 * time.Millisecond

// Sweep returns when a drain in its last phase closes the connection. ran is how long the
// process has run since the phase began. The caller must read all data that has arrived
// before it closes a connection.
func (c *Conn) Sweep(ran time.Duration) CloseDecision {
	switch {
	case !c.idle() || c.finished:
		return KeepOpen
	case c.hasRequest:
		return CloseNow
	case !c.sweepStarted:
		c.sweepStarted, c.sweepStartedAt = true, ran
	}
	if ran-c.sweepStartedAt < firstRequestGrace {
		return CloseLater
	}
	return CloseNow
}
