package upstream

import (
	"bufio"
	"context"
	"crypto/tls"
	"net"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/valyala/fasthttp"
)

// readBuffer bounds the header of an answer as well, in bytes.
const readBuffer = 8 << 10

// conn is one connection, used by one attempt at a time.
type conn struct {
	raw     *countedConn
	rw      net.Conn // raw, or TLS over it
	br      *bufio.Reader
	bw      *bufio.Writer
	pool    *pool
	address string

	idleSince time.Time
	// reused says that the connection has carried a request before this one,
	// which was sent at the time sentAt.
	reused  bool
	sentAt  time.Time
	dropped atomic.Bool

	// until bounds all reads; silence bounds the wait of each single one.
	until   time.Time
	silence time.Duration
	// notAfter is Call.NotAfter; see limitFlight.
	notAfter time.Time
}

// countedConn counts the bytes that the operating system took for sending: the
// proof that none of a request left.
type countedConn struct {
	net.Conn
	sent atomic.Int64
}

func (c *countedConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.sent.Add(int64(n))
	return n, err
}

func newConn(raw net.Conn, p *pool, address string) *conn {
	counted := &countedConn{Conn: raw}
	c := &conn{raw: counted, rw: counted, pool: p, address: address}
	c.br = bufio.NewReaderSize(c, readBuffer)
	return c
}

func (c *conn) startTLS(ctx context.Context, cfg *tls.Config, limit time.Duration) error {
	ctx, done := context.WithTimeout(ctx, limit)
	defer done()
	if cfg.ServerName == "" && !cfg.InsecureSkipVerify {
		cfg = cfg.Clone()
		cfg.ServerName, _, _ = net.SplitHostPort(c.address)
	}
	secure := tls.Client(c.raw, cfg)
	if err := secure.HandshakeContext(ctx); err != nil {
		return err
	}
	c.rw = secure
	return nil
}

// Read implements io.Reader for the buffered reader, under the read limits.
func (c *conn) Read(b []byte) (int, error) {
	limit := c.until
	if c.silence > 0 {
		quiet := time.Now().Add(c.silence)
		if limit.IsZero() || quiet.Before(limit) {
			limit = quiet
		}
	}
	if err := c.rw.SetReadDeadline(limit); err != nil {
		return 0, err
	}
	return c.rw.Read(b)
}

// send writes the request and reports whether any byte of it left.
func (c *conn) send(req *fasthttp.Request, limit time.Duration) (left bool, err error) {
	before := c.raw.sent.Load()
	c.sentAt = time.Now()
	until := c.sentAt.Add(limit)
	if !c.notAfter.IsZero() {
		left, err := c.limitFlight()
		if err != nil {
			return false, err
		}
		if end := time.Now().Add(left); end.Before(until) {
			until = end
		}
	}
	if err = c.rw.SetWriteDeadline(until); err != nil {
		return false, err
	}
	if c.bw == nil {
		c.bw = bufio.NewWriter(c.rw)
	}
	if err = req.Write(c.bw); err == nil {
		err = c.bw.Flush()
	}
	return c.raw.sent.Load() != before, err
}

// quiet reports whether an idle connection is still open and has brought no
// bytes. Bytes on an idle connection are a late answer to somebody's earlier
// request; the next request must not read them.
func (c *conn) quiet() bool {
	if c.br.Buffered() > 0 {
		return false
	}
	sc, ok := c.raw.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	rc, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = rc.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		quiet = err == syscall.EAGAIN
		return true
	})
	return err == nil && quiet
}

// keep gives the connection back for another request. The read limit of the last
// one must not stay: quiet would take the connection for broken once it passed.
func (c *conn) keep() {
	c.until, c.silence = time.Time{}, 0
	_ = c.rw.SetReadDeadline(time.Time{})
	c.pool.put(c)
}

// drop closes the connection for good.
func (c *conn) drop() {
	if c.dropped.Swap(true) {
		return
	}
	_ = c.raw.Close()
	c.pool.release(c.address)
}
