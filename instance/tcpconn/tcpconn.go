// Package tcpconn accepts TCP connections and ends them without cutting off what has
// arrived: a listener is closed only when no connection waits in its queue, and a read
// whose deadline is over still returns the bytes that are there. Both matter to a process
// that was frozen, where deadlines pass while callers go on.
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

// Listener is a TCP listener. One goroutine calls Accept.
type Listener struct {
	tcp     *net.TCPListener
	closing atomic.Bool
}

// Listen binds address, "ip:port". It fails with fault.Unavailable.
func Listen(address string) (*Listener, error) {
	l, err := net.Listen("tcp4", address)
	if err != nil {
		return nil, fault.Wrap(err, fault.Unavailable, "listen on %s", address)
	}
	return &Listener{tcp: l.(*net.TCPListener)}, nil
}

// Addr implements net.Listener.
func (l *Listener) Addr() net.Addr { return l.tcp.Addr() }

// Close implements net.Listener. Connections that wait to be accepted are reset.
func (l *Listener) Close() error { return l.tcp.Close() }

// CloseWhenEmpty lets Accept return the connections that wait already, and then close the
// listener and fail with net.ErrClosed.
func (l *Listener) CloseWhenEmpty() {
	l.closing.Store(true)
	_ = l.tcp.SetDeadline(time.Now())
}

// lastAccept bounds each accept of a listener that is being closed.
const lastAccept = time.Millisecond

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
		_ = l.tcp.SetDeadline(time.Now().Add(lastAccept))
	}
}

// readable reports, without waiting, whether a socket has something to accept or read.
func readable(c syscall.Conn) bool {
	raw, err := c.SyscallConn()
	if err != nil {
		return false
	}
	ready := false
	err = raw.Control(func(fd uintptr) { ready = FDReadable(int(fd)) })
	return err == nil && ready
}

// FDReadable reports, without waiting, whether a socket has something to accept or read.
func FDReadable(fd int) bool {
	fds := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN}}
	for {
		n, err := unix.Poll(fds, 0)
		if !errors.Is(err, unix.EINTR) {
			return n > 0
		}
	}
}

// Conn is a TCP connection whose deadlines hide nothing that has arrived.
type Conn struct{ *net.TCPConn }

// Wrap returns a connection that was dialled as a Conn; one that is not of TCP stays as it
// is.
func Wrap(c net.Conn) net.Conn {
	if tcp, ok := c.(*net.TCPConn); ok {
		return &Conn{TCPConn: tcp}
	}
	return c
}

// Read implements net.Conn. Unlike that of net.TCPConn it returns bytes that have arrived
// also when the deadline is over.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.TCPConn.Read(p)
	if err == nil || !errors.Is(err, os.ErrDeadlineExceeded) {
		return n, err
	}
	if late, lateErr := c.readNow(p); !errors.Is(lateErr, unix.EAGAIN) {
		return late, lateErr
	}
	return n, err
}

// readNow reads without waiting; unix.EAGAIN means that nothing is there.
func (c *Conn) readNow(p []byte) (n int, err error) {
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
