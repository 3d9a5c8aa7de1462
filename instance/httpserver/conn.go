package httpserver

import (
	"net"
	"time"
)

// conn is one caller's connection.
type conn struct {
	net.Conn
	// raw is the connection below TLS.
	raw net.Conn
	// writeTimeout, if above zero, bounds each single write.
	writeTimeout time.Duration
	// active says that a request is on its way; only the goroutine that serves
	// the connection uses it.
	active bool
}

// Write implements net.Conn. Each write has a time limit of its own: with one for
// the whole answer, as fasthttp sets it, a stream that runs longer is cut though
// its caller reads, and that caller sees a part of its answer. A caller that
// doesn't read is still cut off, by the first write that finds no room.
func (c *conn) Write(p []byte) (int, error) {
	if c.writeTimeout > 0 {
		if err := c.SetWriteDeadline(time.Now().Add(c.writeTimeout)); err != nil {
			return 0, err
		}
	}
	return c.Conn.Write(p)
}

// HangUp returns the raw connection's notice that its peer is gone, or nil when
// it gives none.
func (c *conn) HangUp() <-chan struct{} {
	h, ok := c.raw.(interface{ HangUp() <-chan struct{} })
	if !ok {
		return nil
	}
	return h.HangUp()
}
