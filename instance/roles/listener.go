package roles

import (
	"context"
	"io"
	"log"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/comfreyladder/comfreyladder/core/drain"
	"github.com/comfreyladder/comfreyladder/instance/clock"
	"github.com/comfreyladder/comfreyladder/instance/shutdown"
	"github.com/comfreyladder/comfreyladder/instance/tcpconn"
)

// maxBodyBytes limits the body of a call, of which the largest is a table of some thousand
// routes.
const maxBodyBytes = 16 << 20

const (
	// callQuietPeriod is the time without a call or a connection after which the callers of a
	// control listener are considered gone.
	callQuietPeriod = 300 * time.Millisecond
	// callDrainTimeout limits the drain of a control listener whose callers have left. It is
	// longer than most calls.
	callDrainTimeout = 2 * time.Second
	// stopTimeout limits the drain of a listener whose calls are answered immediately.
	stopTimeout = 500 * time.Millisecond
)

// listener is an HTTP listener with its handler and a graceful shutdown: each response closes
// its connection, requests that have arrived are answered, and only then the listener is closed.
type listener struct {
	address string
	server  *fasthttp.Server
	bound   *tcpconn.Listener
	// listening is true while connections may still be accepted, draining once responses
	// close their connections.
	listening, draining atomic.Bool
	// activity counts state changes of connections.
	activity  atomic.Int64
	drainOnce sync.Once

	mu    sync.Mutex
	conns map[net.Conn]*drain.Conn
}

func newListener(address string, h fasthttp.RequestHandler) *listener {
	l := &listener{address: address, conns: map[net.Conn]*drain.Conn{}}
	l.server = &fasthttp.Server{
		Handler: l.closeAfterResponse(h), ConnState: l.trackConn, MaxRequestBodySize: maxBodyBytes, NoDefaultServerHeader: true, NoDefaultDate: true,
		Logger: log.New(io.Discard, "", 0),
	}
	return l
}

// closeAfterResponse makes responses close their connections once the listener drains.
func (l *listener) closeAfterResponse(h fasthttp.RequestHandler) fasthttp.RequestHandler {
	return func(ctx *fasthttp.RequestCtx) {
		h(ctx)
		if l.draining.Load() {
			ctx.SetConnectionClose()
		}
	}
}

// Start implements kernel.Service.
func (l *listener) Start(context.Context) error {
	bound, err := tcpconn.Listen(l.address)
	if err != nil {
		return err
	}
	l.bound = bound
	l.listening.Store(true)
	go func() {
		_ = l.server.Serve(bound)
		l.listening.Store(false)
	}()
	return nil
}

// trackConn records the state of a connection. A call counts as being read from its first byte
// until its response, because the server reports no state between them.
func (l *listener) trackConn(c net.Conn, state fasthttp.ConnState) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.activity.Add(1)
	switch state {
	case fasthttp.StateNew:
		l.conns[c] = &drain.Conn{}
	case fasthttp.StateActive:
		l.conns[c].BeginRequest()
		if l.draining.Load() {
			// A concurrent Sweep may just have set a read deadline in the past.
			_ = c.SetReadDeadline(time.Now().Add(callDrainTimeout))
		}
	case fasthttp.StateIdle:
		l.conns[c].RequestRead()
		l.conns[c].Answered(drain.Serving, true)
	case fasthttp.StateClosed, fasthttp.StateHijacked:
		delete(l.conns, c)
	}
}

// drain drains the listener; only the first call has an effect.
func (l *listener) drain(ctx context.Context, limit time.Duration) (err error) {
	l.drainOnce.Do(func() {
		l.draining.Store(true)
		schedule := drain.NewSchedule(clock.Now(), 0, limit)
		err = shutdown.Run(ctx, &schedule, l)
	})
	return err
}

// awaitCallersLeave waits until callers have switched to other instances, for at most
// memberListAge, the age of the list by which they choose. Meanwhile each response closes its
// connection.
func (l *listener) awaitCallersLeave(ctx context.Context, memberListAge time.Duration) {
	l.draining.Store(true)
	ctx, cancel := context.WithTimeout(ctx, memberListAge)
	defer cancel()
	seen := l.activity.Load()
	// Callers that have not left by then find the listener closed.
	_ = shutdown.AwaitQuiet(ctx, callQuietPeriod, func() bool {
		before := seen
		seen = l.activity.Load()
		return seen != before
	})
}

// Stop implements kernel.Service.
func (l *listener) Stop(ctx context.Context) error {
	if l.bound == nil {
		return nil
	}
	err := l.drain(ctx, stopTimeout)
	_ = l.bound.Close()
	return err
}

// CloseListener implements shutdown.Server.
func (l *listener) CloseListener() { l.bound.CloseWhenEmpty() }

// Sweep implements shutdown.Server.
func (l *listener) Sweep(ran time.Duration, rejectIncomplete bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c, state := range l.conns {
		if state.Sweep(ran) == drain.CloseNow || rejectIncomplete && state.Reading() {
			_ = c.SetReadDeadline(time.Now())
		}
	}
}

// Work implements shutdown.Server.
func (l *listener) Work() drain.Work {
	l.mu.Lock()
	defer l.mu.Unlock()
	w := drain.Work{Listening: l.listening.Load(), All: len(l.conns), Open: len(l.conns)}
	for _, state := range l.conns {
		if state.Reading() {
			w.InFlight++
		}
	}
	return w
}

// controlListener is a listener for control calls, which must be answered before the services
// behind it hand over and stop.
type controlListener struct {
	*listener
	// memberListAge is the maximum age of the list by which callers choose an instance.
	memberListAge time.Duration
}

// Drain implements kernel.Drainer.
func (l controlListener) Drain(ctx context.Context) error {
	l.awaitCallersLeave(ctx, l.memberListAge)
	return l.drain(ctx, callDrainTimeout)
}
