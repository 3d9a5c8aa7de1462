package upstream

import (
	"context"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"github.com/comfreyladder/comfreyladder/core/fault"
	"github.com/comfreyladder/comfreyladder/instance/tcpconn"
	"github.com/comfreyladder/comfreyladder/instance/uplink"
)

// pool keeps idle connections by address and counts the open ones.
type pool struct {
	cfg Config

	mu     sync.Mutex
	closed bool
	hosts  map[string]*host
}

type host struct {
	open int
	idle []*conn // in order of last use
}

func newPool(cfg Config) *pool {
	return &pool{cfg: cfg, hosts: map[string]*host{}}
}

// get returns a usable pooled connection or dials one; with fresh it always dials, and with direct it
// uses no other instance. If it fails, no byte of a request was sent.
func (p *pool) get(ctx context.Context, t Target, fresh, direct bool) (*conn, *AttemptError) {
	if err := ctx.Err(); err != nil {
		return nil, notSent(t, err, "the request ended before it was sent")
	}
	if !fresh {
		if c := p.takeIdle(t); c != nil {
			return c, nil
		}
	}
	if !p.reserve(t.Address) {
		return nil, notSent(t, fault.New(fault.Overloaded, "%d connections are open", p.cfg.MaxConns), "no connection is free")
	}
	c, err := p.dial(ctx, t, direct)
	if err != nil {
		p.release(t.Address)
		if errors.Is(err, syscall.ECONNREFUSED) {
			p.cfg.lost(t.Name, true)
		}
		failed := notSent(t, err, "connection failed")
		failed.Partitioned = p.cfg.Links != nil && fault.CodeOf(err) == fault.NotRun
		return nil, failed
	}
	return c, nil
}

// connect opens a connection; detour is set if it leads through another instance.
func (p *pool) connect(ctx context.Context, t Target, direct bool) (c uplink.Conn, err error) {
	switch {
	case p.cfg.Links == nil:
		ctx, cancel := context.WithTimeout(ctx, p.cfg.DialTimeout)
		defer cancel()
		c.Conn, err = tcpconn.Dial(ctx, "tcp", t.Address)
	case direct:
		c.Conn, err = p.cfg.Links.Direct(ctx, t.tunnelled())
	default:
		c, err = p.cfg.Links.Dial(ctx, t.tunnelled())
	}
	return c, err
}

func (p *pool) dial(ctx context.Context, t Target, direct bool) (*conn, error) {
	raw, err := p.connect(ctx, t, direct)
	if err != nil {
		return nil, err
	}
	c := newConn(raw.Conn, p, t.Address)
	c.detour = raw.Detour
	if p.cfg.TLS == nil {
		return c, nil
	}
	if err := c.startTLS(ctx, p.cfg.TLS, p.cfg.DialTimeout); err != nil {
		_ = raw.Close()
		return nil, err
	}
	return c, nil
}

// takeIdle returns the most recently used idle connection. It closes those that have been
// idle too long, were closed by the upstream, or hold unexpected data.
func (p *pool) takeIdle(t Target) *conn {
	for {
		c := p.popIdle(t.Address)
		if c == nil {
			return nil
		}
		usable := time.Since(c.idleSince) < p.cfg.MaxIdle && !p.cutOff()
		if usable && c.reusable() {
			c.reused = true
			return c
		}
		c.drop()
		if usable {
			p.cfg.lost(t.Name, false)
		}
	}
}

// cutOff reports whether the idle connections, which are all direct, lead nowhere.
func (p *pool) cutOff() bool { return p.cfg.Links != nil && p.cfg.Links.CutOff() }

func (p *pool) popIdle(address string) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	h := p.hosts[address]
	if h == nil || len(h.idle) == 0 {
		return nil
	}
	last := len(h.idle) - 1
	c := h.idle[last]
	h.idle[last] = nil
	h.idle = h.idle[:last]
	return c
}

// reserve counts one more open connection. At the limit it closes the connection that has
// been idle longest, or returns false if all are in use.
func (p *pool) reserve(address string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	h := p.hosts[address]
	if h == nil {
		h = &host{}
		p.hosts[address] = h
	}
	if h.open < p.cfg.MaxConns {
		h.open++
		return true
	}
	if len(h.idle) == 0 {
		return false
	}
	oldest := h.idle[0]
	h.idle = h.idle[1:]
	_ = oldest.raw.Close()
	return true
}

func (p *pool) release(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	h := p.hosts[address]
	if h == nil {
		return
	}
	h.open--
	if h.open <= 0 && len(h.idle) == 0 {
		delete(p.hosts, address)
	}
}

func (p *pool) put(c *conn) {
	c.idleSince = time.Now()
	p.mu.Lock()
	h := p.hosts[c.address]
	keep := !p.closed && h != nil
	if keep {
		h.idle = append(h.idle, c)
	}
	p.mu.Unlock()
	if !keep {
		c.drop()
	}
}

// reap closes connections that have been idle too long, until ctx ends.
func (p *pool) reap(ctx context.Context) {
	tick := time.NewTicker(p.cfg.MaxIdle)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-tick.C:
			for _, c := range p.expired(now) {
				c.drop()
			}
		}
	}
}

func (p *pool) expired(now time.Time) []*conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	var out []*conn
	for _, h := range p.hosts {
		for len(h.idle) > 0 && now.Sub(h.idle[0].idleSince) >= p.cfg.MaxIdle {
			out = append(out, h.idle[0])
			h.idle = h.idle[1:]
		}
	}
	return out
}

// closeIdleBefore closes the idle connections to an address that have not been used since the
// given time. It is called after a connection timed out: whatever dropped that connection's
// state has probably dropped that of others of its age as well, and each of them would cost
// another request its timeout.
func (p *pool) closeIdleBefore(address string, since time.Time) {
	p.mu.Lock()
	var old []*conn
	if h := p.hosts[address]; h != nil {
		for len(h.idle) > 0 && h.idle[0].idleSince.Before(since) {
			old = append(old, h.idle[0])
			h.idle = h.idle[1:]
		}
	}
	p.mu.Unlock()
	for _, c := range old {
		c.drop()
	}
}

func (p *pool) close() {
	p.mu.Lock()
	p.closed = true
	var all []*conn
	for _, h := range p.hosts {
		all = append(all, h.idle...)
		h.idle = nil
	}
	p.mu.Unlock()
	for _, c := range all {
		c.drop()
	}
}
