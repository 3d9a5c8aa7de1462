package relay

import (
	"bufio"
	"io"
	"net"
	"strconv"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/comfreyladder/comfreyladder/core/fault"
	"github.com/comfreyladder/comfreyladder/instance/clock"
	"github.com/comfreyladder/comfreyladder/instance/http1"
)

// conn is one connection of a caller. One goroutine reads requests, another one
// answers them: the reader stays in a read while a request is under way, and so
// sees at once that the caller hangs up.
type conn struct {
	s        *Service
	nc       net.Conn
	in       *bufio.Reader
	requests chan *request
	// finished is closed when nothing will be answered any more.
	finished chan struct{}
	out      []byte

	mu sync.Mutex
	// current is the request under way, or nil; pending counts it and those that were
	// read and wait; closed says that the connection ends.
	current *request
	pending int
	closed  bool
}

func newConn(s *Service, nc net.Conn) *conn {
	return &conn{
		s: s, nc: nc, in: bufio.NewReaderSize(nc, ioBuffer), requests: make(chan *request), finished: make(chan struct{}),
	}
}

func (c *conn) run() {
	defer c.s.forget(c)
	setUserTimeout(c.nc, writeTimeout)
	go c.answerAll()
	c.readAll()
	<-c.finished
	_ = c.nc.Close()
}

// readAll reads requests until the connection ends.
func (c *conn) readAll() {
	defer close(c.requests)
	_ = c.nc.SetReadDeadline(time.Now().Add(limits(c.s.cfg.State.View()).IdleTimeout))
	for {
		if _, err := c.in.Peek(1); err != nil {
			if isTimeout(err) && c.busy() {
				continue
			}
			c.hangUp()
			return
		}
		r := newRequest()
		last := c.readRequest(r)
		c.take()
		select {
		case c.requests <- r:
		case <-c.finished:
			c.end()
			return
		}
		if last {
			c.linger()
			return
		}
	}
}

// readRequest reads one request; what is wrong with it is kept in it. It reports
// whether nothing more can be read after it.
func (c *conn) readRequest(r *request) bool {
	lim := limits(c.s.cfg.State.View())
	_ = c.nc.SetReadDeadline(time.Now().Add(lim.HeaderTimeout))
	if r.fail = r.head.ReadRequest(c.in, lim.HeaderBytes); r.fail != nil {
		return true
	}
	r.arrived, r.headRead = clock.Now(), true
	if r.head.Framing == http1.NoBody {
		_ = c.nc.SetReadDeadline(time.Time{})
		return r.head.Close
	}
	if r.head.Framing == http1.ByLength && r.head.Length > lim.BodyBytes {
		r.fail = http1.ErrBodyTooLarge
		return true
	}
	if http1.EqualFold(r.head.Get("Expect"), "100-continue") {
		_, _ = c.nc.Write([]byte("HTTP/1.1 100 Continue\r\n\r\n"))
	}
	var body http1.Body
	body.Reset(c.in, &r.head)
	r.body, r.fail = body.ReadAll(r.body[:0], lim.BodyBytes)
	r.arrived = clock.Now()
	_ = c.nc.SetReadDeadline(time.Time{})
	return r.fail != nil || r.head.Close
}

// take books a request that was read.
func (c *conn) take() {
	c.s.inFlight.Add(1)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.pending++
}

// busy reports whether a request is pending, and if so lets the reader wait on. The
// deadline of an idle connection may have been set while a request was being read:
// to take its end for a hang-up would cut off that request.
func (c *conn) busy() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.pending == 0 || c.closed {
		return false
	}
	_ = c.nc.SetReadDeadline(time.Time{})
	return true
}

// linger reads and drops what still comes, until the answers are out and for a
// while beyond.
func (c *conn) linger() {
	_, err := io.Copy(io.Discard, c.in)
	var timeout net.Error
	if err == nil || !errors.As(err, &timeout) || !timeout.Timeout() {
		c.hangUp()
	}
}

// hangUp tells the request under way that its caller is gone. A read that timed out
// is no hang-up; it can only have been for an idle connection.
func (c *conn) hangUp() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	if c.current != nil {
		c.current.abandon()
	}
}

func (c *conn) begin(r *request) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.current = r
	if c.closed {
		r.abandon()
	}
}

func (c *conn) end() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.current = nil
	c.pending--
	c.s.inFlight.Add(-1)
}

// closeIfIdle closes a connection without a request under way.
func (c *conn) closeIfIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.pending == 0 {
		_ = c.nc.SetReadDeadline(time.Now())
	}
}

// answerAll answers the requests in order.
func (c *conn) answerAll() {
	defer close(c.finished)
	for r := range c.requests {
		c.begin(r)
		keep := c.s.serve(c, r)
		c.end()
		if !keep {
			c.finish(r)
			return
		}
		r.release()
		if c.s.ending.Load() {
			c.finish(nil)
			return
		}
		_ = c.nc.SetReadDeadline(time.Now().Add(limits(c.s.cfg.State.View()).IdleTimeout))
	}
}

// finish ends the connection after the last answer. The write side goes first: what
// the caller has not read yet must reach it.
func (c *conn) finish(r *request) {
	if r != nil && r.broken {
		// A part of an answer is out: a reset tells the caller that it isn't whole.
		if tcp, ok := c.nc.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = c.nc.Close()
		return
	}
	if tcp, ok := c.nc.(*net.TCPConn); ok {
		_ = tcp.CloseWrite()
	}
	_ = c.nc.SetReadDeadline(time.Now().Add(lingerTimeout))
}

func (c *conn) write(b []byte) error {
	_ = c.nc.SetWriteDeadline(time.Now().Add(writeTimeout))
	if _, err := c.nc.Write(b); err != nil {
		return fault.Wrap(err, fault.Canceled, "the caller does not take the answer")
	}
	return nil
}

// closing reports whether the connection ends with the answer to r.
func (c *conn) closing(r *request) bool {
	return r.head.Close || r.fail != nil || c.s.draining.Load()
}

// reply sends an answer of this instance's own.
func (c *conn) reply(r *request, status int, reason string, retry time.Duration) bool {
	body := `{"error":` + strconv.Quote(reason) + `}`
	b := c.out[:0]
	b = append(b, "HTTP/1.1 "...)
	b = strconv.AppendInt(b, int64(status), 10)
	b = append(append(b, ' '), statusText(status)...)
	b = append(b, "\r\nContent-Type: application/json\r\nContent-Length: "...)
	b = strconv.AppendInt(b, int64(len(body)), 10)
	if len(r.id) > 0 {
		b = append(append(append(append(b, "\r\n"...), c.s.cfg.Headers.RequestID...), ": "...), r.id...)
	}
	if retry > 0 {
		b = append(b, "\r\nRetry-After: "...)
		b = strconv.AppendFloat(b, retry.Seconds(), 'f', 3, 64)
	}
	closing := c.closing(r)
	if closing {
		b = append(b, "\r\nConnection: close"...)
	}
	b = append(append(b, "\r\n\r\n"...), body...)
	c.out = b
	return c.write(b) == nil && !closing
}

func statusText(status int) string {
	switch status {
	case 400:
		return "Bad Request"
	case 401:
		return "Unauthorized"
	case 404:
		return "Not Found"
	case 408:
		return "Request Timeout"
	case 413:
		return "Content Too Large"
	case 431:
		return "Request Header Fields Too Large"
	case 502:
		return "Bad Gateway"
	case 503:
		return "Service Unavailable"
	case 504:
		return "Gateway Timeout"
	}
	return "Error"
}
