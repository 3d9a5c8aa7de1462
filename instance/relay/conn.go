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

// conn is one connection of a caller. One goroutine reads requests, another one
// answers them: the reader stays in a read while a request is under way, and so
// sees at once that the caller hangs up.
type conn struct {
	s        *Service
	nc       net.Conn
	in       *bufio.Reader
	requests chan *request
	accepted time.Time
	// finished is closed when nothing will be answered any more.
	finished chan struct{}
	out      []byte

	mu sync.Mutex
	// life decides when the connection ends. Read deadlines are set under the same lock,
	// so that none of an idle connection is left when a request comes.
	life drain.Conn
	// current is the request that is being answered, or nil.
	current *request
}

func newConn(s *Service, nc net.Conn) *conn {
	return &conn{
		s: s, nc: nc, in: bufio.NewReaderSize(nc, ioBuffer), requests: make(chan *request), finished: make(chan struct{}),
		accepted: time.Now(),
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
	c.awaitRequest()
	for {
		if _, err := c.in.Peek(1); err != nil {
			c.noteEnd(err)
			c.hangUp()
			return
		}
		r := newRequest()
		c.beginRead()
		last := c.readRequest(r)
		c.take()
		select {
		case c.requests <- r:
		case <-c.finished:
			c.s.bodies.release(r)
			c.drop()
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
	if r.fail = r.head.ReadRequest(c.in, lim.HeaderBytes); r.fail != nil {
		return true
	}
	r.arrived, r.headRead = clock.Now(), true
	if r.head.Framing == http1.NoBody {
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
	r.body = r.body[:0]
	r.fail = c.s.bodies.readBody(r, &body, lim.BodyBytes)
	r.arrived = clock.Now()
	return r.fail != nil || r.head.Close
}

// awaitRequest gives the caller the time of an idle connection; it needs mu, but for
// the first request.
func (c *conn) awaitRequest() {
	_ = c.nc.SetReadDeadline(time.Now().Add(limits(c.s.cfg.State.View()).IdleTimeout))
}

// beginRead gives the caller the time that a request may take to come.
func (c *conn) beginRead() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.life.BeginRequest()
	_ = c.nc.SetReadDeadline(time.Now().Add(limits(c.s.cfg.State.View()).HeaderTimeout))
}

// take books a request that was read. The reader waits on without a deadline, to see
// whether the caller hangs up.
func (c *conn) take() {
	c.s.inFlight.Add(1)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.life.RequestRead()
	_ = c.nc.SetReadDeadline(time.Time{})
}

// drop ends a request that came after the last answer.
func (c *conn) drop() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.life.DropRequest()
	c.s.inFlight.Add(-1)
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

// hangUp tells the request under way that its caller is gone.
func (c *conn) hangUp() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.life.HangUp()
	if c.current != nil {
		c.current.abandon()
	}
}

func (c *conn) begin(r *request) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.current = r
	if c.life.Gone() {
		r.abandon()
	}
}

// answered books an answer, and reports whether the connection goes on.
func (c *conn) answered(keep bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.current = nil
	c.s.inFlight.Add(-1)
	switch c.life.Answered(c.s.phase(), keep) {
	case drain.Finish:
		return false
	case drain.Await:
		c.awaitRequest()
	}
	return true
}

// open reports whether an answer may still go out.
func (c *conn) open() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.life.Open()
}

// sweep ends a connection in the last phase of a drain if nothing is under way on it, and
// at its last call the reading of a request that is not whole. What has arrived is still
// read: see tcpconn.Conn.
func (c *conn) sweep(ran time.Duration, lastCall bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.life.Sweep(ran) == drain.CloseNow || lastCall && c.life.Reading() {
		_ = c.nc.SetReadDeadline(time.Now())
	}
}

// noteEnd writes a line for a connection that a drain ends without an answer.
func (c *conn) noteEnd(err error) {
	if c.s.phase() == drain.Serving || !isTimeout(err) {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.life.Open() {
		c.logEnd("drain")
	}
}

// cut closes the connection, whatever is under way on it.
func (c *conn) cut() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.life.Open() {
		c.logEnd("stop")
	}
	_ = c.nc.Close()
}

// logEnd needs mu.
func (c *conn) logEnd(why string) {
	c.s.cfg.Log.Event("connection_ended").Str("why", why).Str("state", c.life.State()).Int("pending", int64(c.life.Pending())).
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

// finish ends the connection after the last answer. The write side goes first: what
// the caller has not read yet must reach it.
func (c *conn) finish(r *request) {
	if r.broken {
		// A part of an answer is out: a reset tells the caller that it isn't whole.
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

func (c *conn) write(b []byte) error {
	_ = c.nc.SetWriteDeadline(time.Now().Add(writeTimeout))
	if _, err := c.nc.Write(b); err != nil {
		return fault.Wrap(err, fault.Canceled, "the caller does not take the answer")
	}
	return nil
}

// closing reports whether the connection ends with the answer to r.
func (c *conn) closing(r *request) bool {
	return r.head.Close || r.fail != nil || c.s.phase() != drain.Serving
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
