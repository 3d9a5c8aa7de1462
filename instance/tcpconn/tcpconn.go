// Package tcpconn accepts TCP connections and ends without cutting off what has arrived: a
// listener is closed only when no connection waits in its queue. That matters to a process
// that was frozen while callers went on.
package tcpconn

import (
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
	ready := 0
	err = raw.Control(func(fd uintptr) {
		fds := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN}}
		for {
			n, pollErr := unix.Poll(fds, 0)
			if pollErr != unix.EINTR {
				ready = n
				return
			}
		}
	})
	return err == nil && ready > 0
}

// Conn is a connection of a Listener.
type Conn struct{ *net.TCPConn }
