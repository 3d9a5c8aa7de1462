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

// readBuffer also bounds the size of an answer's header, in bytes.
const readBuffer = 8 << 10

// conn is one connection, used by one attempt at a time.
type conn struct {
	raw     *countedConn
	rw      net.Conn // raw, or TLS over it
	br      *bufio.Reader
	bw      *bufio.Writer
	pool    *pool
	address string

	idleSince, openedAt time.Time
	// reused means that the connection has carried an earlier request. sentAt is when the
	// latest request was sent.
	reused  bool
	sentAt  time.Time
	dropped atomic.Bool
	// detour is set if the connection leads through another instance, awaiting while an answer is
	// awaited on a direct one.
	detour   bool
	awaiting atomic.Bool
	// proven is set once something has come over the connection.
	proven atomic.Bool

	// readDeadline bounds all reads, readTimeout the time without progress: each single read, or all
	// reads since progressAt if that is set.
	readDeadline time.Time
	readTimeout  time.Duration
	progressAt   time.Time
	// notAfter is Call.NotAfter; see limitDelivery.
	notAfter time.Time
}

// countedConn counts the bytes accepted by the operating system for sending, which proves
// whether any part of a request left the process.
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
	c := &conn{raw: counted, rw: counted, pool: p, address: address, openedAt: time.Now()}
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

// Read implements io.Reader for the buffered reader and applies the read limits.
func (c *conn) Read(b []byte) (int, error) {
	limit := c.readDeadline
	if c.readTimeout > 0 {
		from := c.progressAt
		if from.IsZero() {
			from = time.Now()
		}
		next := from.Add(c.readTimeout)
		if limit.IsZero() || next.Before(limit) {
			limit = next
		}
	}
	if err := c.rw.SetReadDeadline(limit); err != nil {
		return 0, err
	}
	n, err := c.rw.Read(b)
	if n > 0 {
		c.heard()
	}
	return n, err
}

// progress records that the answer made progress: what arrives until the next call is no progress.
func (c *conn) progress() { c.progressAt = time.Now() }

// roll sets whether all bytes that arrive from now on are progress, or none.
func (c *conn) roll(all bool) {
	c.progressAt = time.Time{}
	if !all {
		c.progress()
	}
}

// heard records that some of an answer arrived.
func (c *conn) heard() {
	first := !c.proven.Load()
	if first {
		c.proven.Store(true)
	}
	if !c.awaiting.Load() {
		return
	}
	c.pool.cfg.Links.Heard()
	if first {
		c.pool.cfg.Links.Proven(c.openedAt)
	}
}

// await records that an answer is awaited, and stopAwaiting that it no longer is.
func (c *conn) await() {
	if c.pool.cfg.Links != nil && !c.detour && !c.awaiting.Swap(true) {
		c.pool.cfg.Links.Await()
	}
}

func (c *conn) stopAwaiting() {
	if c.awaiting.Swap(false) {
		c.pool.cfg.Links.Done()
	}
}

// send writes the request and reports whether any byte of it was sent.
func (c *conn) send(req *fasthttp.Request, limit time.Duration) (sent bool, err error) {
	before := c.raw.sent.Load()
	c.sentAt = time.Now()
	c.await()
	until := c.sentAt.Add(limit)
	if !c.notAfter.IsZero() {
		left, err := c.limitDelivery()
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

// reusable reports whether an idle connection is still open and has received no data. Data on
// an idle connection is a late answer to an earlier request, which the next request must not
// read.
func (c *conn) reusable() bool {
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
	reusable := false
	err = rc.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		reusable = err == syscall.EAGAIN
		return true
	})
	return err == nil && reusable
}

// keep returns the connection to the pool. It clears the read deadline of the last request;
// otherwise reusable would treat the connection as broken once the deadline had passed.
func (c *conn) keep() {
	c.stopAwaiting()
	c.readDeadline, c.readTimeout, c.progressAt = time.Time{}, 0, time.Time{}
	_ = c.rw.SetReadDeadline(time.Time{})
	c.pool.put(c)
}

// restore returns a connection that has carried nothing since it was taken.
func (c *conn) restore() {
	if c.reused && !c.detour {
		c.keep()
		return
	}
	c.drop()
}

// drop closes the connection.
func (c *conn) drop() {
	if c.dropped.Swap(true) {
		return
	}
	c.stopAwaiting()
	_ = c.raw.Close()
	c.pool.release(c.address)
}
