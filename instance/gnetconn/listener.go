// Package gnetconn serves net.Conn connections on gnet: gnet's event loops own, accept and read
// the sockets, and each connection is passed to a goroutine as a net.Conn, which fasthttp,
// crypto/tls and gobwas/ws can use.
//
// The event loop detects at once that a peer has closed the connection, even while no goroutine
// reads; see Conn.HangUp. Writes go directly from the caller's goroutine to the socket and block
// while the peer does not read, so nothing is buffered outbound in user space and no response has
// to wake an event loop.
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
	// DefaultEventLoops is low because an event loop only reads and copies, and more of them did
	// not help: in BenchmarkHTTP with 64 connections, on 12 shared cores, the medians of four runs
	// were 0.89 and 0.98 of the throughput of a plain listener with two event loops, and 0.94 and
	// 0.82 with four.
	DefaultEventLoops = 2
	// DefaultMaxConns stays below the usual limit of file descriptors, as a connection whose peer
	// reads slowly uses two.
	DefaultMaxConns = 16_384
	// DefaultMaxInbound is enough for a body of 8 MiB with its headers.
	DefaultMaxInbound = 8<<20 + 64<<10
	// DefaultMaxInboundTotal limits the memory that all peers together can make a process use for
	// bytes that handlers have not read.
	DefaultMaxInboundTotal = 256 << 20
)

// Options configures a Listener. Zero values select the defaults.
type Options struct {
	// EventLoops is the number of gnet event loops.
	EventLoops int
	// MaxConns is the maximum number of open connections; further ones are closed when they are
	// accepted.
	MaxConns int
	// MaxInbound is how many received bytes a connection may hold that its handler has not read; a
	// connection that exceeds it is closed.
	MaxInbound int
	// MaxInboundTotal is the same limit over all connections of the listener.
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

	serving       chan struct{} // closed when handler is set
	closing       chan struct{} // closed by Close
	stopped       chan struct{} // closed when the event loops have ended
	serveOnce     sync.Once
	closeOnce     sync.Once
	handlers      sync.WaitGroup
	conns         atomic.Int64
	inbound       atomic.Int64
	overflows     atomic.Uint64
	rejectedConns atomic.Uint64
	runErr        error
	bootErr       error
}

// Listen binds addr ("ip:port"; port 0 selects a free port) and starts the event loops.
// Connections accepted before Serve is called wait for it. It fails with fault.Unavailable if the
// address cannot be bound.
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
		return nil, fault.Wrap(l.runErr, fault.Unavailable, "listen on %s", addr)
	}
	if l.bootErr != nil {
		_ = l.Close(context.Background())
		return nil, fault.Wrap(l.bootErr, fault.Unavailable, "read the address bound for %s", addr)
	}
	return l, nil
}

func (l *Listener) run(addr string, booted chan struct{}) {
	defer close(l.stopped)
	l.runErr = gnet.Run(&eventHandler{listener: l, booted: booted}, "tcp://"+addr,
		gnet.WithNumEventLoop(l.opts.EventLoops),
		gnet.WithLoadBalancing(gnet.LeastConnections),
		gnet.WithReuseAddr(true),
		gnet.WithTCPNoDelay(gnet.TCPNoDelay),
		gnet.WithLogger(discardLogger{}),
		gnet.WithLogLevel(logging.ErrorLevel),
	)
}

// keepAlivePeriod is the TCP keep-alive period. It detects peers that vanished without FIN on
// connections without heartbeats, such as those of callers.
const keepAlivePeriod = 30 * time.Second

// Addr returns the bound address.
func (l *Listener) Addr() net.Addr { return l.addr }

// Conns returns the number of open connections.
func (l *Listener) Conns() int64 { return l.conns.Load() }

// Inbound returns the number of received bytes that handlers have not read.
func (l *Listener) Inbound() int64 { return l.inbound.Load() }

// Overflows returns how many connections were closed because they exceeded MaxInbound or
// MaxInboundTotal.
func (l *Listener) Overflows() uint64 { return l.overflows.Load() }

// RejectedConns returns how many connections were closed because of MaxConns.
func (l *Listener) RejectedConns() uint64 { return l.rejectedConns.Load() }

// Serve runs handler in a goroutine for each connection and returns after Close. A connection is
// closed when its handler returns. Only the first call sets the handler.
func (l *Listener) Serve(handler func(net.Conn)) error {
	l.serveOnce.Do(func() {
		l.handler = handler
		close(l.serving)
	})
	<-l.stopped
	if l.runErr != nil {
		return fault.Wrap(l.runErr, fault.Internal, "event loops on %s failed", l.addr)
	}
	return nil
}

// Close closes the listener and all connections, and waits until the handlers have returned. It
// fails with fault.DeadlineExceeded if ctx ends first. A server that lets requests in flight
// finish has to drain them before it calls Close.
func (l *Listener) Close(ctx context.Context) error {
	l.closeOnce.Do(func() { close(l.closing) })
	// With a live context, Stop also waits for the event loops, and checks only every half
	// second whether they have ended. With a cancelled one, it only tells them to end.
	canceled, cancel := context.WithCancel(context.Background())
	cancel()
	_ = l.engine.Stop(canceled)
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
		return fault.Wrap(ctx.Err(), fault.DeadlineExceeded, "handlers on %s are still running", l.addr)
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
