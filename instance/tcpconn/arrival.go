package tcpconn

import (
	"net"
	"os"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"

	"github.com/comfreyladder/comfreyladder/core/fault"
)

// SinceArrival returns the time since bytes last arrived on a connection, or since it was opened if none
// have, whether or not the process has accepted the connection. The kernel's resolution is some
// milliseconds. ok is false if nc is no TCP connection.
func SinceArrival(nc net.Conn) (delay time.Duration, ok bool) {
	raw := rawConn(nc)
	if raw == nil {
		return 0, false
	}
	err := raw.Control(func(fd uintptr) { delay, ok = sinceArrival(int(fd)) })
	return delay, err == nil && ok
}

func sinceArrival(fd int) (time.Duration, bool) {
	info, err := unix.GetsockoptTCPInfo(fd, unix.IPPROTO_TCP, unix.TCP_INFO)
	if err != nil {
		return 0, false
	}
	return time.Duration(info.Last_data_recv) * time.Millisecond, true
}

// AwaitArrival waits until bytes have arrived or the connection has ended, without reading any, and
// returns how long before that was. It fails at the read deadline, and if nc is no TCP connection.
func AwaitArrival(nc net.Conn) (delay time.Duration, err error) {
	raw := rawConn(nc)
	if raw == nil {
		return 0, fault.New(fault.Invalid, "no TCP connection")
	}
	known := false
	err = raw.Read(func(fd uintptr) bool {
		var one [1]byte
		if _, e := peek(int(fd), one[:]); errors.Is(e, unix.EAGAIN) {
			return false
		}
		delay, known = sinceArrival(int(fd))
		return true
	})
	if err == nil && !known {
		err = fault.New(fault.Unavailable, "no time of arrival")
	}
	return delay, err
}

// PeekArrived copies the bytes that have arrived and were not read yet to p, without reading them.
func PeekArrived(nc net.Conn, p []byte) (n int) {
	raw := rawConn(nc)
	if raw == nil {
		return 0
	}
	if err := raw.Control(func(fd uintptr) { n, _ = peek(int(fd), p) }); err != nil {
		return 0
	}
	return max(0, n)
}

func peek(fd int, p []byte) (n int, err error) {
	for {
		n, _, err = unix.Recvfrom(fd, p, unix.MSG_PEEK|unix.MSG_DONTWAIT)
		if !errors.Is(err, unix.EINTR) {
			return n, err
		}
	}
}

func rawConn(nc net.Conn) syscall.RawConn {
	sc, ok := nc.(syscall.Conn)
	if !ok {
		return nil
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return nil
	}
	return raw
}

// Reset closes a connection such that its peer learns that nothing was read.
func Reset(nc net.Conn) {
	if tcp, ok := nc.(interface{ SetLinger(seconds int) error }); ok {
		_ = tcp.SetLinger(0)
	}
	_ = nc.Close()
}

// Pending is a connection that is being accepted.
type Pending struct{ fd int }

// SinceArrival is SinceArrival of the connection.
func (p Pending) SinceArrival() (delay time.Duration, ok bool) { return sinceArrival(p.fd) }

// PeekArrived is PeekArrived of the connection.
func (p Pending) PeekArrived(b []byte) int {
	n, _ := peek(p.fd, b)
	return max(0, n)
}

// Answer reads n bytes and writes a response. It reports whether the whole response was written.
func (p Pending) Answer(n int, response []byte) bool {
	if read, err := unix.Read(p.fd, make([]byte, n)); err != nil || read != n {
		return false
	}
	written, err := unix.Write(p.fd, response)
	return err == nil && written == len(response)
}

// Verdict is what becomes of a connection that is being accepted.
type Verdict int

// Values of Verdict: Keep accepts the connection, Close closes it after an answer, and RefuseUnread resets it.
const (
	Keep Verdict = iota
	Close
	RefuseUnread
)

// AcceptUnless is Accept, but ends waiting connections as judge tells. That takes less CPU time than an
// accept by way of net.
func (l *Listener) AcceptUnless(judge func(Pending) Verdict) (net.Conn, error) {
	raw, err := l.tcp.SyscallConn()
	if err != nil {
		return nil, err
	}
	accepted := -1
	var acceptErr error
	err = raw.Control(func(listener uintptr) { accepted, acceptErr = acceptUnless(int(listener), judge) })
	switch {
	case err != nil:
		return nil, err
	case errors.Is(acceptErr, unix.EAGAIN):
		return l.Accept()
	case acceptErr != nil:
		return nil, acceptErr
	}
	f := os.NewFile(uintptr(accepted), "")
	defer func() { _ = f.Close() }()
	c, err := net.FileConn(f)
	if err != nil {
		return nil, err
	}
	return Wrap(c), nil
}

func acceptUnless(listener int, judge func(Pending) Verdict) (int, error) {
	for {
		fd, _, err := unix.Accept4(listener, unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC)
		if errors.Is(err, unix.EINTR) || errors.Is(err, unix.ECONNABORTED) {
			continue
		}
		if err != nil {
			return -1, err
		}
		switch judge(Pending{fd}) {
		case Keep:
			return fd, nil
		case RefuseUnread:
			_ = unix.SetsockoptLinger(fd, unix.SOL_SOCKET, unix.SO_LINGER, &unix.Linger{Onoff: 1})
		}
		_ = unix.Close(fd)
	}
}
