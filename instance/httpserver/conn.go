package httpserver

import (
	"net"
	"time"
)

// conn is the connection of a caller.
type conn struct {
	net.Conn
	// raw is the connection below TLS.
	raw net.Conn
	// writeTimeout limits each write if it is above zero.
	writeTimeout time.Duration
	// requestActive is set while a request is in progress. Only the goroutine that serves the connection
	// uses it.
	requestActive bool
}

// Write implements net.Conn. Each write has its own timeout. With a single one for the whole
// response, as fasthttp sets it, a longer stream would be cut off while its caller reads, and that
// caller would get a truncated response. A caller that does not read is still cut off, at the
// first write for which the send buffer has no space.
func (c *conn) Write(p []byte) (int, error) {
	if c.writeTimeout > 0 {
		if err := c.SetWriteDeadline(time.Now().Add(c.writeTimeout)); err != nil {
			return 0, err
		}
	}
	return c.Conn.Write(p)
}

// HangUp returns the raw connection's channel that signals the end of its peer, or nil if it has
// none.
func (c *conn) HangUp() <-chan struct{} {
	h, ok := c.raw.(interface{ HangUp() <-chan struct{} })
	if !ok {
		return nil
	}
	return h.HangUp()
}
