package drain

import "time"

// Conn is the life of one caller's connection. Its reader tells what comes, its
// answerer what went out; requests may be read while earlier ones are answered.
type Conn struct {
	pending int
	// used says that a request has come on it.
	used bool
	// reading says that a request has begun and is not whole yet, finished that the
	// last answer is out, and gone that the caller has hung up.
	reading, finished, gone bool
	// swept says that the end of a drain found it unused, at sweptAt of the run time.
	swept   bool
	sweptAt time.Duration
}

// Pending counts the requests that were read and are not answered yet.
func (c *Conn) Pending() int { return c.pending }

// Open reports whether an answer may still go out.
func (c *Conn) Open() bool { return !c.finished && !c.gone }

// Reading reports whether a request has begun and is not whole yet.
func (c *Conn) Reading() bool { return c.reading }

// State returns what the connection does, for logs.
func (c *Conn) State() string {
	switch {
	case c.reading:
		return "reading"
	case c.pending > 0:
		return "answering"
	case !c.used:
		return "silent"
	}
	return "idle"
}

// idle reports whether nothing is under way: only then may a deadline be set that ends
// the connection, or a drain close it; else it would cut off a request.
func (c *Conn) idle() bool { return c.pending == 0 && !c.reading }

// BeginRequest notes the first byte of a request.
func (c *Conn) BeginRequest() { c.reading, c.used = true, true }

// RequestRead notes that a request was read, or failed to be; both are answered.
func (c *Conn) RequestRead() {
	c.reading = false
	c.pending++
}

// DropRequest notes that a request which was read after the last answer stays unanswered. It
// crossed the end of the connection and has not run.
func (c *Conn) DropRequest() { c.pending-- }

// HangUp notes that nothing more will come: the caller has closed the connection, or
// the deadline of an idle connection has passed. What is pending has nobody who waits.
func (c *Conn) HangUp() { c.gone = true }

// Gone reports whether the caller is gone.
func (c *Conn) Gone() bool { return c.gone }

// Next is what follows an answer.
type Next int

// What may follow.
const (
	// Finish ends the connection: nothing more is answered.
	Finish Next = iota
	// Await gives the caller the time of an idle connection for the next request.
	Await
	// GoOn leaves the connection as it is: another request is there already.
	GoOn
)

// Answered notes that an answer is out; keep says that it has not ended the connection.
// At the end of a drain any answer does: its head may have gone out before the drain
// began, without saying so.
func (c *Conn) Answered(p Phase, keep bool) Next {
	c.pending--
	switch {
	case !keep || p == Ending:
		c.finished = true
		return Finish
	case c.idle():
		return Await
	}
	return GoOn
}

// Closing is when a drain closes a connection.
type Closing int

// When a connection is closed.
const (
	// WithAnswer leaves it open: what is under way on it ends it.
	WithAnswer Closing = iota
	// Now closes it.
	Now
	// Soon gives its caller a moment more. Whoever has just connected is about to send a
	// request, which a close that crosses it would leave without an answer.
	Soon
)

// firstRequest is for how long a drain that is about to end waits for the first request
// of a connection, in time that the process has run.
const firstRequest = 500 * time.Millisecond

// Sweep returns when a drain that is about to end closes the connection. ran is for how
// long the process has run since that phase began. What has arrived is read before a
// connection is closed; the caller of Sweep sees to that.
func (c *Conn) Sweep(ran time.Duration) Closing {
	switch {
	case !c.idle() || c.finished:
		return WithAnswer
	case c.used:
		return Now
	case !c.swept:
		c.swept, c.sweptAt = true, ran
	}
	if ran-c.sweptAt < firstRequest {
		return Soon
	}
	return Now
}
