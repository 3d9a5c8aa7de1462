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

	"github.com/comfreyladder/comfreyladder/core/balance"
	"github.com/comfreyladder/comfreyladder/core/reach"
	"github.com/comfreyladder/comfreyladder/instance/http1"
	"github.com/comfreyladder/comfreyladder/instance/tcpconn"
	"github.com/comfreyladder/comfreyladder/instance/uplink"
)

// upstreamConn is one connection to an upstream. It carries one request at a time.
type upstreamConn struct {
	nc net.Conn
	// in reads from arrivals, which reads from nc.
	in       *bufio.Reader
	arrivals *arrivals
	// openedAt is when the connection was opened.
	openedAt time.Time
	// expiresAt is when the upstream may close the connection as idle.
	expiresAt time.Time
	used      bool
	// proven is set once an answer has come over the connection.
	proven bool
	// detour is set if the connection leads through another instance.
	detour bool
}

// pool holds the idle connections to one upstream, the most recently used ones last.
type pool struct {
	target reach.Target
	links  *uplink.Service
	mu     sync.Mutex
	idle   []*upstreamConn
	closed bool
	// dialledAt is when a connection was last opened.
	dialledAt time.Time
}

const (
	// defaultKeepAlive is how long an idle connection is kept if the upstream announces no timeout.
	// idleMargin is how much earlier than announced a connection is closed, so that no request
	// crosses the upstream's close.
	defaultKeepAlive = 4 * time.Second
	idleMargin       = 800 * time.Millisecond
	minKeepAlive     = 200 * time.Millisecond
)

// take returns a usable idle connection, or nil. closed is set if the upstream closed one earlier than
// expected, which its process may have done by ending.
func (p *pool) take(now time.Time) (taken *upstreamConn, closed bool) {
	for {
		c := p.pop(now)
		if c == nil {
			return nil, closed
		}
		usable := c.isUsable()
		if c.detour == p.links.CutOff() && usable {
			c.used = true
			return c, closed
		}
		closed = closed || !usable && !c.detour
		_ = c.nc.Close()
	}
}

func (p *pool) pop(now time.Time) *upstreamConn {
	p.mu.Lock()
	defer p.mu.Unlock()
	for len(p.idle) > 0 {
		c := p.idle[len(p.idle)-1]
		p.idle = p.idle[:len(p.idle)-1]
		if now.Before(c.expiresAt) {
			return c
		}
		_ = c.nc.Close()
	}
	return nil
}

// connected reports whether there is an idle connection, and whether none was opened for
// balance.ReconnectInterval.
func (p *pool) connected(now time.Time) (idle, reconnectDue bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.idle) > 0, now.Sub(p.dialledAt) >= balance.ReconnectInterval
}

// put returns a connection to the pool after a complete response, whose head is given.
func (p *pool) put(c *upstreamConn, head *http1.Head, now time.Time) {
	keep := keepAlive(head)
	if head.Close || c.in.Buffered() > 0 || keep < minKeepAlive {
		// Bytes after a response belong to no request.
		_ = c.nc.Close()
		return
	}
	c.expiresAt = now.Add(keep)
	p.addIdle(c)
}

// putUnused adds a connection that has not carried a request yet.
func (p *pool) putUnused(c *upstreamConn, now time.Time) {
	c.expiresAt = now.Add(defaultKeepAlive)
	p.addIdle(c)
}

func (p *pool) addIdle(c *upstreamConn) {
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
	return defaultKeepAlive
}

// closeIdle closes expired idle connections, or all of them if now is zero, and returns how many are
// left.
func (p *pool) closeIdle(now time.Time) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	kept := p.idle[:0]
	for _, c := range p.idle {
		if now.IsZero() || !now.Before(c.expiresAt) || c.detour != p.links.CutOff() || c.detour && !c.isUsable() {
			_ = c.nc.Close()
			continue
		}
		kept = append(kept, c)
	}
	p.idle = kept
	return len(kept)
}

func (p *pool) close() {
	p.mu.Lock()
	p.closed = true
	p.mu.Unlock()
	p.closeIdle(time.Time{})
}

// reusable is a connection through another instance, which may ask for it not to be used again.
type reusable interface{ Reusable() bool }

// isUsable checks without blocking whether an idle connection was closed or holds unexpected bytes.
// A request that must not be repeated must not be sent on a connection that the upstream has
// closed: its outcome would be unknown.
func (c *upstreamConn) isUsable() bool {
	if t, ok := c.nc.(reusable); ok && !t.Reusable() {
		return false
	}
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

// dialTCP is the default of Config.Dial.
func dialTCP(ctx context.Context, address string) (net.Conn, error) {
	return tcpconn.Dial(ctx, "tcp4", address)
}

// dial opens a new connection. An error with fault.NotRun says nothing about the upstream.
func (p *pool) dial(ctx context.Context) (*upstreamConn, error) {
	p.mu.Lock()
	p.dialledAt = time.Now()
	p.mu.Unlock()
	c, err := p.links.Dial(ctx, p.target)
	if err != nil {
		return nil, err
	}
	return newUpstreamConn(c), nil
}

func newUpstreamConn(c uplink.Conn) *upstreamConn {
	from := &arrivals{nc: c.Conn}
	return &upstreamConn{nc: c.Conn, in: bufio.NewReaderSize(from, ioBufferSize), arrivals: from, detour: c.Detour, openedAt: time.Now()}
}

// setUnsentLimit bounds how many unsent bytes of a connection the kernel holds. A write to a peer
// that reads slowly then makes progress with every such part, instead of with every third of a send
// buffer, which may hold megabytes.
func setUnsentLimit(nc net.Conn, bytes int) { tcpconn.SetOption(nc, unix.TCP_NOTSENT_LOWAT, bytes) }
