// Package gnetconn joins gnet with libraries that want a net.Conn: gnet's event
// loops own, accept and read the sockets, and each connection is handed to a
// goroutine as a net.Conn, on which fasthttp, crypto/tls and gobwas/ws run.
//
// The event loop sees a peer hang up at once, also while nobody reads; see
// Conn.HangUp. Writes go from the caller's goroutine straight to the socket and
// block while the peer does not read, so that nothing is buffered outbound in
// user space and no event loop is woken for an answer.
package gnetconn

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/panjf2000/gnet/v2"
	"github.com/panjf2000/gnet/v2/pkg/logging"

	"github.com/comfreyladder/comfreyladder/core/fault"
)

// Defaults of Options.
const (
	// DefaultEventLoops is few, as an event loop only reads and copies; more
	// of them brought nothing: medians of four runs of BenchmarkHTTP with 64
	// connections, on 12 cores that others used too, were 0.89 and 0.98 of a
	// plain listener with two event loops, and 0.94 and 0.82 with four.
	DefaultEventLoops = 2
	// DefaultMaxConns stays below the usual limit of file descriptors, as a
	// connection with a slow reader takes two.
	DefaultMaxConns = 16_384
	// DefaultMaxInbound holds one body of 8 MiB with its headers.
	DefaultMaxInbound = 8<<20 + 64<<10
	// DefaultMaxInboundTotal bounds the memory that all peers together can
	// make a process hold before handlers read it.
	DefaultMaxInboundTotal = 256 << 20
)

// Options of a Listener. Zero values mean the defaults above.
type Options struct {
	// EventLoops is the number of gnet event loops.
	EventLoops int
	// MaxConns is the number of connections served at once; one above it is
	// closed as it is accepted.
	MaxConns int
	// MaxInbound is how many bytes one connection may hold that its handler
	// has not read; a connection that exceeds it is closed.
	MaxInbound int
	// MaxInboundTotal is the same bound over all connections of the listener.
	MaxInboundTotal int64
}

func (o Options) withDefaults() Options {
	if o.EventLoops <= 0 {
		o.EventLoops = DefaultEventLoops
	}
	if o.MaxConns <= 0 {
		o.MaxConns = DefaultMaxConns
	}
	if o.MaxInbound <= 0 {
		o.MaxInbound = DefaultMaxInbound
	}
	if o.MaxInboundTotal <= 0 {
		o.MaxInboundTotal = DefaultMaxInboundTotal
	}
	return o
}

// Listener accepts connections on one address.
type Listener struct {
	opts    Options
	engine  gnet.Engine
	addr    net.Addr
	handler func(net.Conn)

	serving     chan struct{} // closed once handler is set
	closing     chan struct{} // closed by Close
	stopped     chan struct{} // closed when the event loops have ended
	serveOnce   sync.Once
	closeOnce   sync.Once
	handlers    sync.WaitGroup
	conns       atomic.Int64
	inbound     atomic.Int64
	overflows   atomic.Uint64
	turnedAway  atomic.Uint64
	runFailure  error
	bootFailure error
}

// Listen binds addr ("ip:port"; port 0 picks a free one) and starts the event
// loops. Connections that arrive before Serve wait for it. It fails with
// fault.Unavailable when the address cannot be bound.
func Listen(addr string, opts Options) (*Listener, error) {
	l := &Listener{
		opts:    opts.withDefaults(),
		serving: make(chan struct{}),
		closing: make(chan struct{}),
		stopped: make(chan struct{}),
	}
	booted := make(chan struct{})
	go l.run(addr, booted)
	select {
	case <-booted:
	case <-l.stopped:
		return nil, fault.Wrap(l.runFailure, fault.Unavailable, "listen on %s", addr)
	}
	if l.bootFailure != nil {
		_ = l.Close(context.Background())
		return nil, fault.Wrap(l.bootFailure, fault.Unavailable, "read the address bound for %s", addr)
	}
	return l, nil
}

func (l *Listener) run(addr string, booted chan struct{}) {
	defer close(l.stopped)
	l.runFailure = gnet.Run(&events{listener: l, booted: booted}, "tcp://"+addr,
		gnet.WithNumEventLoop(l.opts.EventLoops),
		gnet.WithLoadBalancing(gnet.LeastConnections),
		gnet.WithReuseAddr(true),
		gnet.WithTCPNoDelay(gnet.TCPNoDelay),
		gnet.WithLogger(quiet{}),
		gnet.WithLogLevel(logging.ErrorLevel),
	)
}

// keepAlive finds peers that vanished without FIN on links that carry no
// heartbeats of their own, such as callers' connections.
const keepAlive = 30 * time.Second

// Addr returns the bound address.
func (l *Listener) Addr() net.Addr { return l.addr }

// Conns returns how many connections are open.
func (l *Listener) Conns() int64 { return l.conns.Load() }

// Inbound returns how many received bytes wait for handlers.
func (l *Listener) Inbound() int64 { return l.inbound.Load() }

// Overflows returns how many connections were closed because they exceeded
// MaxInbound or MaxInboundTotal.
func (l *Listener) Overflows() uint64 { return l.overflows.Load() }

// TurnedAway returns how many connections were closed because of MaxConns.
func (l *Listener) TurnedAway() uint64 { return l.turnedAway.Load() }

// Serve runs handler in a goroutine for each connection and returns after
// Close. A connection is closed when its handler returns. Only the first call
// sets the handler.
func (l *Listener) Serve(handler func(net.Conn)) error {
	l.serveOnce.Do(func() {
		l.handler = handler
		close(l.serving)
	})
	<-l.stopped
	if l.runFailure != nil {
		return fault.Wrap(l.runFailure, fault.Internal, "event loops on %s ended", l.addr)
	}
	return nil
}

// Close closes the listener and all connections, and waits until the handlers
// have returned or ctx ends, which is fault.DeadlineExceeded. To let requests
// in flight finish, the server on top drains them first.
func (l *Listener) Close(ctx context.Context) error {
	l.closeOnce.Do(func() { close(l.closing) })
	// Stop would look only every half second whether the loops have ended;
	// with an ended context it just tells them to.
	ended, end := context.WithCancel(context.Background())
	end()
	_ = l.engine.Stop(ended)
	done := make(chan struct{})
	go func() {
		<-l.stopped
		l.handlers.Wait()
		close(done)
	}()
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return fault.Wrap(ctx.Err(), fault.DeadlineExceeded, "handlers on %s still run", l.addr)
	}
}

func (l *Listener) serve(c *Conn) {
	defer l.handlers.Done()
	defer func() { _ = c.Close() }()
	select {
	case <-l.serving:
		l.handler(c)
	case <-l.closing:
	}
}
