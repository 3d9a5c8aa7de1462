// Package tcpconn accepts TCP connections and closes them without losing data that has arrived: a
// listener closes only when no connection waits in its queue, and a read past its deadline still
// returns the bytes that have arrived. Both matter to a process that was frozen, for which
// deadlines pass while callers continue.
package tcpconn

import (
	"io"
	"net"
	"os"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"

	"github.com/comfreyladder/comfreyladder/core/fault"
)

// Listener is a TCP listener. Only one goroutine may call Accept.
type Listener struct {
	tcp     *net.TCPListener
	closing atomic.Bool
}

// Listen binds address ("ip:port"). It fails with fault.Unavailable.
func Listen(address string) (*Listener, error) {
	l, err := net.Listen("tcp4", address)
	if err != nil {
		return nil, fault.Wrap(err, fault.Unavailable, "listen on %s", address)
	}
	return &Listener{tcp: l.(*net.TCPListener)}, nil
}

// Addr implements net.Listener.
func (l *Listener) Addr() net.Addr { return l.tcp.Addr() }

// Close implements net.Listener. Connections that are not accepted yet are reset.
func (l *Listener) Close() error { return l.tcp.Close() }

// CloseWhenEmpty makes Accept return the connections that already wait, then close the listener
// and fail with net.ErrClosed.
func (l *Listener) CloseWhenEmpty() {
	l.closing.Store(true)
	_ = l.tcp.SetDeadline(time.Now())
}

// closingAcceptTimeout limits each accept of a listener that is being closed.
const closingAcceptTimeout = time.Millisecond

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		c, err := l.tcp.AcceptTCP()
		if err == nil {
			return &Conn{TCPConn: c}, nil
		}
		if !l.closing.Load() || !errors.Is(err, os.ErrDeadlineExceeded) {
			return nil, err
		}
		if !readable(l.tcp) {
			_ = l.tcp.Close()
			return nil, net.ErrClosed
		}
		_ = l.tcp.SetDeadline(time.Now().Add(closingAcceptTimeout))
	}
}

// readable reports, without blocking, whether a socket has a connection to accept or bytes to
// read.
func readable(c syscall.Conn) bool {
	raw, err := c.SyscallConn()
	if err != nil {
		return false
	}
	ready := false
	err = raw.Control(func(fd uintptr) { ready = FDReadable(int(fd)) })
	return err == nil && ready
}

// FDReadable reports, without blocking, whether a socket has a connection to accept or bytes to
// read.
func FDReadable(fd int) bool {
	fds := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN}}
	for {
		n, err := unix.Poll(fds, 0)
		if !errors.Is(err, unix.EINTR) {
			return n > 0
		}
	}
}

// Conn is a TCP connection that returns received bytes even after the read deadline.
type Conn struct{ *net.TCPConn }

// Wrap returns a dialled TCP connection as a Conn, and any other connection unchanged.
func Wrap(c net.Conn) net.Conn {
	if tcp, ok := c.(*net.TCPConn); ok {
		return &Conn{TCPConn: tcp}
	}
	return c
}

// SetUserTimeout makes a connection fail if sent bytes are not acknowledged within d. It also bounds
// how long keep-alive probes may go unanswered, whatever their number. Other connections than TCP are
// left as they are.
func SetUserTimeout(c net.Conn, d time.Duration) {
	SetOption(c, unix.TCP_USER_TIMEOUT, int(d.Milliseconds()))
}

// SetOption sets a TCP option of a connection, if it is one.
func SetOption(c net.Conn, option, value int) {
	sc, ok := c.(syscall.Conn)
	if !ok {
		return
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return
	}
	// Without an option a dead connection is only detected later, or a slow one is taken for dead.
	_ = raw.Control(func(fd uintptr) {
		_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, option, value)
	})
}

// Read implements net.Conn. Unlike net.TCPConn, it returns bytes that have arrived even after the
// deadline.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.TCPConn.Read(p)
	if err == nil || !errors.Is(err, os.ErrDeadlineExceeded) {
		return n, err
	}
	if received, receiveErr := c.readNonblocking(p); !errors.Is(receiveErr, unix.EAGAIN) {
		return received, receiveErr
	}
	return n, err
}

// readNonblocking reads without blocking; it fails with unix.EAGAIN if no bytes have arrived.
func (c *Conn) readNonblocking(p []byte) (n int, err error) {
	raw, err := c.SyscallConn()
	if err != nil {
		return 0, err
	}
	var readErr error
	err = raw.Control(func(fd uintptr) {
		for {
			n, readErr = unix.Read(int(fd), p)
			if !errors.Is(readErr, unix.EINTR) {
				return
			}
		}
	})
	switch {
	case err != nil:
		return 0, err
	case readErr != nil:
		return 0, readErr
	case n == 0 && len(p) > 0:
		return 0, io.EOF
	}
	return n, nil
}
