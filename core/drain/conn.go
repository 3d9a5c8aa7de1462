package drain

// Conn is the life of one caller's connection. Its reader tells what comes, its
// answerer what went out; requests may be read while earlier ones are answered.
type Conn struct {
	pending int
	// reading says that a request has begun and is not whole yet, finished that the
	// last answer is out, and gone that the caller has hung up.
	reading, finished, gone bool
}

// Pending counts the requests that were read and are not answered yet.
func (c *Conn) Pending() int { return c.pending }

// idle reports whether nothing is under way: only then may a deadline be set that ends
// the connection, or a drain close it; else it would cut off a request.
func (c *Conn) idle() bool { return c.pending == 0 && !c.reading }

// Begins notes the first byte of a request.
func (c *Conn) Begins() { c.reading = true }

// Takes notes that a request was read, or failed to be; both are answered.
func (c *Conn) Takes() {
	c.reading = false
	c.pending++
}

// Drops notes that a request which was read after the last answer stays unanswered. It
// crossed the end of the connection and has not run.
func (c *Conn) Drops() { c.pending-- }

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

// Sweep reports whether a drain closes the connection now. One with a request under way
// ends with its answer.
func (c *Conn) Sweep() (closes bool) { return c.idle() && !c.finished }
