package upstream

import (
	"syscall"
	"time"

	"github.com/pkg/errors"

	"github.com/comfreyladder/comfreyladder/core/fault"
	"github.com/comfreyladder/comfreyladder/instance/clock"
)

// tcpUserTimeout is Linux's option TCP_USER_TIMEOUT, in milliseconds.
const tcpUserTimeout = 0x12

// lingerer is a TCP connection, wrapped or not.
type lingerer interface {
	syscall.Conn
	SetLinger(seconds int) error
}

// limitFlight bounds the flight of a request that must not arrive after notAfter.
// It is called right before the request is written, and returns the time that is left.
//
// It guards against a process that is frozen, or a dial that takes long, after
// the sender checked that it may still send: it would go on where it stopped and
// send an order that a successor's order has replaced. The time is looked at
// again here, and the write has it as its deadline, which Go checks before it
// hands bytes to the kernel. It guards as well against bytes that wait in the
// kernel for a network that is away: the kernel gives the connection up at that
// time by itself, also if this process is frozen, and closing it drops what was
// not sent in place of delivering it later.
//
// What is left is a freeze between that check and the system call that follows
// it, and an upstream that reads its socket late.
func (c *conn) limitFlight() (left time.Duration, err error) {
	left = clock.Until(c.notAfter)
	if left <= 0 {
		return 0, fault.New(fault.DeadlineExceeded, "the time until which this request may be sent is over")
	}
	tcp, ok := c.raw.Conn.(lingerer)
	if !ok {
		return left, nil
	}
	if err := tcp.SetLinger(0); err != nil {
		return 0, err
	}
	sys, err := tcp.SyscallConn()
	if err != nil {
		return 0, err
	}
	var failed error
	err = sys.Control(func(fd uintptr) {
		failed = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(max(left.Milliseconds(), 1)))
	})
	if err == nil && failed != nil {
		err = errors.WithStack(failed)
	}
	return left, err
}

// lingerAgain lets a connection whose answer came whole end in the usual way.
func (c *conn) lingerAgain() {
	if tcp, ok := c.raw.Conn.(lingerer); ok && !c.notAfter.IsZero() {
		_ = tcp.SetLinger(-1)
	}
}
