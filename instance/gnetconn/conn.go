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

// keptBuffer is the largest inbound buffer that an idle connection keeps.
const keptBuffer = 16 << 10

// Conn is a net.Conn whose socket belongs to a gnet event loop. Its methods may
// be called from several goroutines. Errors are those of the net package:
// io.EOF, net.ErrClosed, os.ErrDeadlineExceeded or a system call's error.
type Conn struct {
	listener *Listener
	gc       gnet.Conn
	local    net.Addr
	remote   net.Addr
	hungUp   chan struct{}

	// mu guards the inbound side and the reason why it ended.
	mu        sync.Mutex
	readable  sync.Cond
	in        []byte // received bytes; those before off were read
	off       int
	end       error // set once no more bytes will come
	closed    bool  // closed by this side
	readBy    time.Time
	readTimer *time.Timer

	writing sync.Mutex // held over a whole Write, so that writes don't mix
	// socket guards the file descriptor: gnet closes it after OnClose, which
	// takes this lock. Without it, a late write could reach another connection
	// that got the same number; see writeNow.
	socket  sync.Mutex
	fd      int
	gone    bool
	slow    *os.File // duplicate of fd in the runtime's poller, made on demand
	writeBy time.Time
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
	c.readable.L = &c.mu
	return c
}

// LocalAddr implements net.Conn.
func (c *Conn) LocalAddr() net.Addr { return c.local }

// RemoteAddr implements net.Conn.
func (c *Conn) RemoteAddr() net.Addr { return c.remote }

// HangUp returns a channel that is closed as soon as the event loop sees that
// the peer closed or reset the connection, even while nobody reads, and also
// once this side closed it. A peer that closes only its sending half counts as
// hung up.
func (c *Conn) HangUp() <-chan struct{} { return c.hungUp }

// receive takes bytes over from the event loop; false means that a limit is
// exceeded. gnet cannot stop reading a socket, so that a peer which sends more
// than handlers read would fill the memory; closing its connection holds that
// to MaxInbound each and MaxInboundTotal in all.
func (c *Conn) receive(data []byte) bool {
	l := c.listener
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed || c.end != nil {
		return true
	}
	if len(c.in)-c.off+len(data) > l.opts.MaxInbound {
		return false
	}
	if l.inbound.Add(int64(len(data))) > l.opts.MaxInboundTotal {
		l.inbound.Add(-int64(len(data)))
		return false
	}
	if c.off > 0 && len(c.in)+len(data) > cap(c.in) {
		c.in = c.in[:copy(c.in, c.in[c.off:])]
		c.off = 0
	}
	c.in = append(c.in, data...)
	c.readable.Broadcast()
	return true
}

// Read implements net.Conn. After the peer hung up, it first returns what was
// received before. Bytes that have arrived are returned also when the deadline is over.
func (c *Conn) Read(p []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for {
		switch {
		case c.closed:
			return 0, net.ErrClosed
		case c.off < len(c.in):
			return c.take(p), nil
		case c.end != nil:
			return 0, c.end
		case len(p) == 0:
			return 0, nil
		case c.overdue() && !c.arriving():
			return 0, os.ErrDeadlineExceeded
		}
		c.armReadTimer()
		c.readable.Wait()
	}
}

func (c *Conn) take(p []byte) int {
	n := copy(p, c.in[c.off:])
	c.off += n
	c.listener.inbound.Add(-int64(n))
	if c.off == len(c.in) {
		c.off = 0
		c.in = c.in[:0]
		if cap(c.in) > keptBuffer {
			c.in = nil
		}
	}
	return n
}

// overdue reports whether the read deadline is over; it needs mu.
func (c *Conn) overdue() bool { return !c.readBy.IsZero() && !time.Now().Before(c.readBy) }

// arrivingPoll is how often a read that is overdue looks whether the event loop has taken
// what waits in the socket.
const arrivingPoll = time.Millisecond

// arriving reports whether the socket holds bytes that the event loop has yet to take, as
// after a freeze. It needs mu, which it gives up meanwhile.
func (c *Conn) arriving() bool {
	c.mu.Unlock()
	defer c.mu.Lock()
	c.socket.Lock()
	defer c.socket.Unlock()
	return !c.gone && tcpconn.FDReadable(c.fd)
}

func (c *Conn) armReadTimer() {
	if c.readBy.IsZero() {
		return
	}
	left := max(time.Until(c.readBy), arrivingPoll)
	if c.readTimer == nil {
		c.readTimer = time.AfterFunc(left, c.wakeReaders)
		return
	}
	c.readTimer.Reset(left)
}

func (c *Conn) wakeReaders() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.readable.Broadcast()
}

// hangUp ends the connection for both sides. It runs on the event loop before
// gnet closes the file descriptor.
func (c *Conn) hangUp(reason error) {
	c.mu.Lock()
	if c.end == nil {
		c.end = reason
	}
	c.stopReading()
	c.mu.Unlock()

	c.socket.Lock()
	c.gone = true
	c.closeSlow()
	c.socket.Unlock()
	close(c.hungUp)
}

// stopReading wakes readers for the last time; it needs mu.
func (c *Conn) stopReading() {
	if c.readTimer != nil {
		c.readTimer.Stop()
	}
	if c.closed {
		c.listener.inbound.Add(-int64(len(c.in) - c.off))
		c.in, c.off = nil, 0
	}
	c.readable.Broadcast()
}

// Close implements net.Conn. It does not wait for the event loop, so that it
// may be called anywhere.
func (c *Conn) Close() error {
	c.mu.Lock()
	if c.closed {
		c.mu.Unlock()
		return net.ErrClosed
	}
	c.closed = true
	c.stopReading()
	c.mu.Unlock()

	c.socket.Lock()
	defer c.socket.Unlock()
	if c.gone {
		return nil
	}
	c.gone = true
	c.closeSlow()
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
	c.readBy = t
	c.readable.Broadcast()
	return nil
}

// SetWriteDeadline implements net.Conn.
func (c *Conn) SetWriteDeadline(t time.Time) error {
	c.socket.Lock()
	defer c.socket.Unlock()
	if c.gone {
		return net.ErrClosed
	}
	c.writeBy = t
	if c.slow != nil {
		return c.slow.SetWriteDeadline(t)
	}
	return nil
}

// reason says why a write found the connection closed.
func (c *Conn) reason() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed || c.end == nil {
		return net.ErrClosed
	}
	if errors.Is(c.end, io.EOF) {
		return syscall.EPIPE
	}
	return c.end
}
