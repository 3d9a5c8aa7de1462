package relay

import (
	"bufio"
	"bytes"
	"context"
	"net"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"github.com/comfreyladder/comfreyladder/core/fault"
	"github.com/comfreyladder/comfreyladder/instance/http1"
	"github.com/comfreyladder/comfreyladder/instance/tcpconn"
)

// upstreamConn is one connection to an upstream. It carries one request at a time.
type upstreamConn struct {
	nc net.Conn
	in *bufio.Reader
	// until is when the upstream may close it for idleness.
	until time.Time
	used  bool
}

// pool holds the idle connections to one upstream, the latest used ones last.
type pool struct {
	address string
	mu      sync.Mutex
	idle    []*upstreamConn
	closed  bool
}

const (
	// defaultIdle is for how long an idle connection is kept if the upstream does not
	// say, and idleMargin how much earlier than it says a connection is given up: a
	// request must not cross the upstream's close.
	defaultIdle = 4 * time.Second
	idleMargin  = 800 * time.Millisecond
	minIdle     = 200 * time.Millisecond
)

// take returns an idle connection that is still sound, or nil.
func (p *pool) take(now time.Time) *upstreamConn {
	for {
		c := p.pop(now)
		if c == nil {
			return nil
		}
		if c.sound() {
			c.used = true
			return c
		}
		_ = c.nc.Close()
	}
}

func (p *pool) pop(now time.Time) *upstreamConn {
	p.mu.Lock()
	defer p.mu.Unlock()
	for len(p.idle) > 0 {
		c := p.idle[len(p.idle)-1]
		p.idle = p.idle[:len(p.idle)-1]
		if now.Before(c.until) {
			return c
		}
		_ = c.nc.Close()
	}
	return nil
}

// put keeps a connection whose answer came whole. head is the answer's head.
func (p *pool) put(c *upstreamConn, head *http1.Head, now time.Time) {
	keep := keepAlive(head)
	if head.Close || c.in.Buffered() > 0 || keep < minIdle {
		// Bytes after an answer belong to no request.
		_ = c.nc.Close()
		return
	}
	c.until = now.Add(keep)
	p.keep(c)
}

// putUnused keeps a connection that has carried nothing yet.
func (p *pool) putUnused(c *upstreamConn, now time.Time) {
	c.until = now.Add(defaultIdle)
	p.keep(c)
}

func (p *pool) keep(c *upstreamConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		_ = c.nc.Close()
		return
	}
	p.idle = append(p.idle, c)
}

func keepAlive(head *http1.Head) time.Duration {
	v := head.Get("Keep-Alive")
	for len(v) > 0 {
		var item []byte
		item, v, _ = bytes.Cut(v, []byte{','})
		name, value, ok := bytes.Cut(bytes.TrimSpace(item), []byte{'='})
		if ok && http1.EqualFold(name, "timeout") {
			if n, ok := http1.ParseUint(value); ok {
				return time.Duration(n)*time.Second - idleMargin
			}
		}
	}
	return defaultIdle
}

// closeIdle closes the connections that are idle for too long.
func (p *pool) closeIdle(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	kept := p.idle[:0]
	for _, c := range p.idle {
		if now.IsZero() || !now.Before(c.until) {
			_ = c.nc.Close()
			continue
		}
		kept = append(kept, c)
	}
	p.idle = kept
}

func (p *pool) close() {
	p.mu.Lock()
	p.closed = true
	p.mu.Unlock()
	p.closeIdle(time.Time{})
}

// sound looks, without waiting, whether an idle connection was closed or holds bytes
// that nobody asked for. A request that may not be repeated must not be sent on a
// connection that the upstream has closed: whether it ran could not be told.
func (c *upstreamConn) sound() bool {
	raw, ok := c.nc.(syscall.Conn)
	if !ok {
		return true
	}
	rc, err := raw.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	var one [1]byte
	err = rc.Read(func(fd uintptr) bool {
		_, _, e := unix.Recvfrom(int(fd), one[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		quiet = e == unix.EAGAIN
		return true
	})
	return err == nil && quiet
}

var dialer = net.Dialer{KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: 2 * time.Second, Interval: time.Second, Count: 2}}

// dial makes a new connection.
func (p *pool) dial(ctx context.Context) (*upstreamConn, error) {
	nc, err := dialer.DialContext(ctx, "tcp4", p.address)
	if err != nil {
		return nil, fault.Wrap(err, fault.Unavailable, "connect to %s", p.address)
	}
	setUserTimeout(nc, userTimeout)
	nc = tcpconn.Wrap(nc)
	return &upstreamConn{nc: nc, in: bufio.NewReaderSize(nc, ioBuffer)}, nil
}

// setUserTimeout lets a connection fail whose bytes are not acknowledged in time.
func setUserTimeout(nc net.Conn, d time.Duration) {
	raw, ok := nc.(syscall.Conn)
	if !ok {
		return
	}
	rc, err := raw.SyscallConn()
	if err != nil {
		return
	}
	// Without the option the connection is only found out later.
	_ = rc.Control(func(fd uintptr) {
		_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(d.Milliseconds()))
	})
}
