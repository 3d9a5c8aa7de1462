package upstream

import (
	"syscall"
	"time"

	"github.com/pkg/errors"

	"github.com/comfreyladder/comfreyladder/core/fault"
	"github.com/comfreyladder/comfreyladder/instance/clock"
)

// tcpUserTimeout is the Linux socket option TCP_USER_TIMEOUT, in milliseconds.
const tcpUserTimeout = 0x12

// lingerer is a TCP connection, possibly wrapped.
type lingerer interface {
	syscall.Conn
	SetLinger(seconds int) error
}

// limitDelivery prevents a request from reaching the upstream after notAfter. It is called
// immediately before the request is written, and returns the remaining time.
//
// It guards against a process that is paused, or a slow dial, after the sender has checked
// that it may still send: the process would resume there and send an order that an order of
// its successor has replaced. The time is therefore checked again here and set as the write
// deadline, which Go checks before it passes data to the kernel. It also guards against data
// that waits in the kernel while the network is unavailable: the kernel aborts the
// connection at that time, even if this process is paused, and closing it discards unsent
// data instead of delivering it later.
//
// Two cases remain: a pause between that check and the following system call, and an
// upstream that reads its socket late.
func (c *conn) limitDelivery() (left time.Duration, err error) {
	left = clock.Until(c.notAfter)
	if left <= 0 {
		return 0, fault.New(fault.DeadlineExceeded, "the time limit for sending this request has passed")
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

// restoreLinger restores the normal close behaviour of a connection after a complete answer.
func (c *conn) restoreLinger() {
	if tcp, ok := c.raw.Conn.(lingerer); ok && !c.notAfter.IsZero() {
		_ = tcp.SetLinger(-1)
	}
}
