package gnetconn

import (
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"github.com/panjf2000/gnet/v2"

	"github.com/comfreyladder/comfreyladder/instance/tcpconn"
)

// maxIdleBuffer is the capacity of the largest inbound buffer that is kept once it is empty.
const maxIdleBuffer = 16 << 10

// Conn is a net.Conn whose socket belongs to a gnet event loop. Its methods are safe for
// concurrent use. Errors are those of package net: io.EOF, net.ErrClosed, os.ErrDeadlineExceeded
// or the error of a system call.
type Conn struct {
	listener *Listener
	gc       gnet.Conn
	local    net.Addr
	remote   net.Addr
	hungUp   chan struct{}

	// mu guards the inbound side and the error that ended it.
	mu           sync.Mutex
	readCond     sync.Cond
	buf          []byte // received bytes, of which those before off were read
	off          int
	readErr      error // set once no more bytes can arrive
	closed       bool  // closed by this side
	readDeadline time.Time
	readTimer    *time.Timer

	writeMu sync.Mutex // held for a whole Write, so that concurrent writes don't interleave
	// fdMu guards the file descriptor. gnet closes it after OnClose, which takes this lock:
	// without it, a late write could reach another connection that was given the same descriptor;
	// see writeNonblocking.
	fdMu          sync.Mutex
	fd            int
	fdClosed      bool
	pollFile      *os.File // duplicate of fd in the runtime's poller, created on demand
	writeDeadline time.Time
}

func newConn(l *Listener, gc gnet.Conn) *Conn {
	c := &Conn{
		listener: l,
		gc:       gc,
		fd:       gc.Fd(),
		local:    gc.LocalAddr(),
		remote:   gc.RemoteAddr(),
		hungUp:   make(chan struct{}),
	}
	c.readCond.L = &c.mu
	return c
}

// LocalAddr implements net.Conn.
func (c *Conn) LocalAddr() net.Addr { return c.local }

// RemoteAddr implements net.Conn.
func (c *Conn) RemoteAddr() net.Addr { return c.remote }

// HangUp returns a channel that is closed as soon as the event loop sees that the peer closed or
// reset the connection, even while no goroutine reads, and also after Close. A peer that shuts
// down only its sending side counts as hung up.
func (c *Conn) HangUp() <-chan struct{} { return c.hungUp }

// receive appends bytes read by the event loop to the inbound buffer; false means that a limit is
// exceeded. gnet cannot stop reading a socket, so a peer that sends faster than the handler reads
// would use memory without limit. Closing its connection bounds that to MaxInbound per connection
// and MaxInboundTotal in total.
func (c *Conn) receive(data []byte) bool {
	l := c.listener
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed || c.readErr != nil {
		return true
	}
	if len(c.buf)-c.off+len(data) > l.opts.MaxInbound {
		return false
	}
	if l.inbound.Add(int64(len(data))) > l.opts.MaxInboundTotal {
		l.inbound.Add(-int64(len(data)))
		return false
	}
	if c.off > 0 && len(c.buf)+len(data) > cap(c.buf) {
		c.buf = c.buf[:copy(c.buf, c.buf[c.off:])]
		c.off = 0
	}
	c.buf = append(c.buf, data...)
	c.readCond.Broadcast()
	return true
}

// Read implements net.Conn. After the peer closed the connection, it first returns the bytes
// received before. Bytes that have arrived are returned even after the deadline.
func (c *Conn) Read(p []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for {
		switch {
		case c.closed:
			return 0, net.ErrClosed
		case c.off < len(c.buf):
			return c.consume(p), nil
		case c.readErr != nil:
			return 0, c.readErr
		case len(p) == 0:
			return 0, nil
		case c.readDeadlinePassed() && !c.socketReadable():
			return 0, os.ErrDeadlineExceeded
		}
		c.startReadTimer()
		c.readCond.Wait()
	}
}

func (c *Conn) consume(p []byte) int {
	n := copy(p, c.buf[c.off:])
	c.off += n
	c.listener.inbound.Add(-int64(n))
	if c.off == len(c.buf) {
		c.off = 0
		c.buf = c.buf[:0]
		if cap(c.buf) > maxIdleBuffer {
			c.buf = nil
		}
	}
	return n
}

// readDeadlinePassed reports whether the read deadline has passed; the caller holds mu.
func (c *Conn) readDeadlinePassed() bool {
	return !c.readDeadline.IsZero() && !time.Now().Before(c.readDeadline)
}

// socketPollInterval is how often a read past its deadline checks whether the event loop has taken
// the bytes that wait in the socket.
const socketPollInterval = time.Millisecond

// socketReadable reports whether the socket holds bytes that the event loop has not taken yet, as
// after a freeze of the process. The caller holds mu, which is released meanwhile.
func (c *Conn) socketReadable() bool {
	c.mu.Unlock()
	defer c.mu.Lock()
	c.fdMu.Lock()
	defer c.fdMu.Unlock()
	return !c.fdClosed && tcpconn.FDReadable(c.fd)
}

func (c *Conn) startReadTimer() {
	if c.readDeadline.IsZero() {
		return
	}
	left := max(time.Until(c.readDeadline), socketPollInterval)
	if c.readTimer == nil {
		c.readTimer = time.AfterFunc(left, c.wakeReaders)
		return
	}
	c.readTimer.Reset(left)
}

func (c *Conn) wakeReaders() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.readCond.Broadcast()
}

// hangUp ends the connection in both directions. It runs on the event loop before gnet closes the
// file descriptor.
func (c *Conn) hangUp(reason error) {
	c.mu.Lock()
	if c.readErr == nil {
		c.readErr = reason
	}
	c.endReads()
	c.mu.Unlock()

	c.fdMu.Lock()
	c.fdClosed = true
	c.closePollFile()
	c.fdMu.Unlock()
	close(c.hungUp)
}

// endReads wakes all blocked readers, and after Close discards the inbound buffer; the caller
// holds mu.
func (c *Conn) endReads() {
	if c.readTimer != nil {
		c.readTimer.Stop()
	}
	if c.closed {
		c.listener.inbound.Add(-int64(len(c.buf) - c.off))
		c.buf, c.off = nil, 0
	}
	c.readCond.Broadcast()
}

// Close implements net.Conn. It does not wait for the event loop, so it can be called from any
// goroutine.
func (c *Conn) Close() error {
	c.mu.Lock()
	if c.closed {
		c.mu.Unlock()
		return net.ErrClosed
	}
	c.closed = true
	c.endReads()
	c.mu.Unlock()

	c.fdMu.Lock()
	defer c.fdMu.Unlock()
	if c.fdClosed {
		return nil
	}
	c.fdClosed = true
	c.closePollFile()
	return c.gc.Close()
}

// SetDeadline implements net.Conn.
func (c *Conn) SetDeadline(t time.Time) error {
	if err := c.SetReadDeadline(t); err != nil {
		return err
	}
	return c.SetWriteDeadline(t)
}

// SetReadDeadline implements net.Conn.
func (c *Conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return net.ErrClosed
	}
	c.readDeadline = t
	c.readCond.Broadcast()
	return nil
}

// SetWriteDeadline implements net.Conn.
func (c *Conn) SetWriteDeadline(t time.Time) error {
	c.fdMu.Lock()
	defer c.fdMu.Unlock()
	if c.fdClosed {
		return net.ErrClosed
	}
	c.writeDeadline = t
	if c.pollFile != nil {
		return c.pollFile.SetWriteDeadline(t)
	}
	return nil
}

// writeError returns the error of a write to a connection that is closed.
func (c *Conn) writeError() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed || c.readErr == nil {
		return net.ErrClosed
	}
	if errors.Is(c.readErr, io.EOF) {
		return syscall.EPIPE
	}
	return c.readErr
}
