package relay

import (
	"bufio"
	"io"
	"net"
	"strconv"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/comfreyladder/comfreyladder/core/drain"
	"github.com/comfreyladder/comfreyladder/core/fault"
	"github.com/comfreyladder/comfreyladder/instance/clock"
	"github.com/comfreyladder/comfreyladder/instance/http1"
	"github.com/comfreyladder/comfreyladder/instance/tcpconn"
)

// conn is one connection of a caller. One goroutine reads requests and another one answers them:
// the reader keeps reading while a request is in flight and so detects immediately that the caller
// hangs up.
type conn struct {
	s        *Service
	nc       net.Conn
	in       *bufio.Reader
	requests chan *request
	accepted time.Time
	// finished is closed when no further request will be answered.
	finished chan struct{}
	out      []byte
	// rejectsNext is set if the next request is rejected because of an overload. It is used by the reader
	// before the first request, and by the writer from then on.
	rejectsNext bool

	mu sync.Mutex
	// lifecycle decides when the connection ends. Read deadlines are set under the same lock, so
	// that the deadline of an idle connection cannot outlive the arrival of a request.
	lifecycle drain.Conn
	// current is the request that is being answered, or nil.
	current *request
}

func newConn(s *Service, nc net.Conn) *conn {
	return &conn{
		s: s, nc: nc, in: bufio.NewReaderSize(nc, ioBufferSize), requests: make(chan *request), finished: make(chan struct{}),
		accepted: time.Now(),
	}
}

func (c *conn) run() {
	defer c.s.removeConn(c)
	tcpconn.SetUserTimeout(c.nc, writeTimeout)
	setUnsentLimit(c.nc, maxUnsentBytes)
	c.awaitRequest()
	if c.leftUnread() {
		return
	}
	go c.answerAll()
	c.readAll()
	<-c.finished
	_ = c.nc.Close()
}

// readAll reads requests until the connection ends.
func (c *conn) readAll() {
	defer close(c.requests)
	for {
		if _, err := c.in.Peek(1); err != nil {
			c.logDrainEnd(err)
			c.hangUp()
			return
		}
		r := newRequest()
		c.beginRead()
		last := c.readRequest(r)
		c.requestRead()
		select {
		case c.requests <- r:
		case <-c.finished:
			c.s.bodies.release(r)
			c.dropRequest()
			return
		}
		if last {
			c.linger()
			return
		}
	}
}

// readRequest reads one request and stores a read error in it. It reports whether nothing more can
// be read after it.
func (c *conn) readRequest(r *request) bool {
	lim := limits(c.s.cfg.State.View())
	if r.readErr = r.head.ReadRequest(c.in, lim.HeaderBytes); r.readErr != nil {
		return true
	}
	r.arrived, r.headRead = clock.Now(), true
	if r.head.Framing == http1.NoBody {
		return r.head.Close
	}
	if r.head.Framing == http1.ByLength && r.head.Length > lim.BodyBytes {
		r.readErr = http1.ErrBodyTooLarge
		return true
	}
	if http1.EqualFold(r.head.Get("Expect"), "100-continue") {
		_, _ = c.nc.Write([]byte("HTTP/1.1 100 Continue\r\n\r\n"))
	}
	var body http1.Body
	body.Reset(c.in, &r.head)
	r.body = r.body[:0]
	r.readErr = c.s.bodies.readBody(r, &body, lim.BodyBytes)
	r.arrived = clock.Now()
	return r.readErr != nil || r.head.Close
}

// awaitRequest sets the read deadline of an idle connection. The caller holds mu, except before the
// first request.
func (c *conn) awaitRequest() {
	_ = c.nc.SetReadDeadline(time.Now().Add(limits(c.s.cfg.State.View()).IdleTimeout))
}

// beginRead sets the read deadline for a whole request.
func (c *conn) beginRead() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lifecycle.BeginRequest()
	_ = c.nc.SetReadDeadline(time.Now().Add(limits(c.s.cfg.State.View()).HeaderTimeout))
}

// requestRead records that a request was read. The reader keeps waiting without a deadline, to
// detect that the caller hangs up.
func (c *conn) requestRead() {
	c.s.inFlight.Add(1)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lifecycle.RequestRead()
	_ = c.nc.SetReadDeadline(time.Time{})
}

// dropRequest ends a request that was read after the last response.
func (c *conn) dropRequest() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lifecycle.DropRequest()
	c.s.inFlight.Add(-1)
}

// linger reads and discards further input until the responses are sent and for lingerTimeout after
// that.
func (c *conn) linger() {
	_, err := io.Copy(io.Discard, c.in)
	var timeout net.Error
	if err == nil || !errors.As(err, &timeout) || !timeout.Timeout() {
		c.hangUp()
	}
}

// hangUp informs the current request that its caller is gone.
func (c *conn) hangUp() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lifecycle.HangUp()
	if c.current != nil {
		c.current.abandon()
	}
}

func (c *conn) begin(r *request) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.current = r
	if c.lifecycle.Gone() {
		r.abandon()
	}
}

// answered records a response and reports whether the connection stays open.
func (c *conn) answered(keep bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.current = nil
	c.s.inFlight.Add(-1)
	switch c.lifecycle.Answered(c.s.phase(), keep) {
	case drain.Finish:
		return false
	case drain.Await:
		c.awaitRequest()
	}
	return true
}

// open reports whether a response may still be sent.
func (c *conn) open() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.lifecycle.Open()
}

// sweep closes a connection without requests in flight in the last phase of a drain. With lastCall
// it also stops reading an incomplete request. Data that has already arrived is still read: see
// tcpconn.Conn.
func (c *conn) sweep(ran time.Duration, lastCall bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.lifecycle.Sweep(ran) == drain.CloseNow || lastCall && c.lifecycle.Reading() {
		_ = c.nc.SetReadDeadline(time.Now())
	}
}

// logDrainEnd logs a connection that a drain closes without a response.
func (c *conn) logDrainEnd(err error) {
	if c.s.phase() == drain.Serving || !isTimeout(err) {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.lifecycle.Open() {
		c.logEnd("drain")
	}
}

// abort closes the connection regardless of requests in flight.
func (c *conn) abort() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.lifecycle.Open() {
		c.logEnd("stop")
	}
	_ = c.nc.Close()
}

// logEnd logs the end of the connection. The caller holds mu.
func (c *conn) logEnd(why string) {
	c.s.cfg.Log.Event("connection_ended").Str("why", why).Str("state", c.lifecycle.State()).Int("pending", int64(c.lifecycle.Pending())).
		MS("age", time.Since(c.accepted)).Str("from", c.nc.RemoteAddr().String()).End()
}

// answerAll answers the requests in order.
func (c *conn) answerAll() {
	defer close(c.finished)
	for r := range c.requests {
		c.begin(r)
		keep := c.s.serve(c, r)
		c.s.bodies.release(r)
		if !c.answered(keep) {
			c.finish(r)
			return
		}
		r.release()
	}
}

// finish ends the connection after the last response. The write side is closed first, so that data
// which the caller has not read yet still reaches it.
func (c *conn) finish(r *request) {
	if r.broken {
		// A part of a response was sent: a reset tells the caller that it is incomplete.
		if tcp, ok := c.nc.(*tcpconn.Conn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = c.nc.Close()
		return
	}
	if tcp, ok := c.nc.(*tcpconn.Conn); ok {
		_ = tcp.CloseWrite()
	}
	_ = c.nc.SetReadDeadline(time.Now().Add(lingerTimeout))
}

// write writes in pieces, each within writeTimeout: a caller that reads slowly gets the whole
// response.
func (c *conn) write(b []byte) error {
	for len(b) > 0 {
		n := min(len(b), maxWriteBytes)
		_ = c.nc.SetWriteDeadline(time.Now().Add(writeTimeout))
		if _, err := c.nc.Write(b[:n]); err != nil {
			return fault.Wrap(err, fault.Canceled, "write the response to the caller")
		}
		b = b[n:]
	}
	return nil
}

// closing reports whether the connection ends with the response to r.
func (c *conn) closing(r *request) bool {
	return r.head.Close || r.readErr != nil || c.s.phase() != drain.Serving
}

// reply sends a response that this instance generates itself.
func (c *conn) reply(r *request, status int, reason string, retry time.Duration) bool {
	closing := c.closing(r)
	c.out = c.s.appendRefusal(c.out[:0], r.id, &refusal{status, reason, retry}, closing)
	return c.write(c.out) == nil && !closing
}

// appendRefusal appends a response that this instance generates itself to b. id is that of the request, and
// closing says that the connection ends with the response.
func (s *Service) appendRefusal(b, id []byte, v *refusal, closing bool) []byte {
	body := `{"error":` + strconv.Quote(v.reason) + `}`
	b = append(b, "HTTP/1.1 "...)
	b = strconv.AppendInt(b, int64(v.status), 10)
	b = append(append(b, ' '), statusText(v.status)...)
	b = append(b, "\r\nContent-Type: application/json\r\nContent-Length: "...)
	b = strconv.AppendInt(b, int64(len(body)), 10)
	if len(id) > 0 {
		b = append(append(append(append(b, "\r\n"...), s.cfg.Headers.RequestID...), ": "...), id...)
	}
	if v.retry > 0 {
		b = append(b, "\r\nRetry-After: "...)
		b = strconv.AppendFloat(b, v.retry.Seconds(), 'f', 3, 64)
	}
	if closing {
		b = append(b, "\r\nConnection: close"...)
	}
	return append(append(b, "\r\n\r\n"...), body...)
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
