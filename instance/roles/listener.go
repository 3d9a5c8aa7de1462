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

// maxCall bounds the body of a call: a table of some thousand routes.
const maxCall = 16 << 20

const (
	// quietCalls is for how long no call and no connection may come until a listener of
	// calls counts as left by its callers.
	quietCalls = 300 * time.Millisecond
	// drainCalls bounds the drain of a listener that its callers have left: longer than
	// most calls.
	drainCalls = 2 * time.Second
	// stopLimit bounds the end of a listener whose calls take no time.
	stopLimit = 500 * time.Millisecond
)

// listener is one HTTP listener with its handler. It ends in order: each answer ends its
// connection, what has arrived is answered, and only then the listener is closed.
type listener struct {
	address string
	server  *fasthttp.Server
	bound   *tcpconn.Listener
	// listening says that connections may still be accepted, draining that answers end
	// their connections.
	listening, draining atomic.Bool
	// begun counts what happens on connections.
	begun atomic.Int64
	ended sync.Once

	mu    sync.Mutex
	conns map[net.Conn]*drain.Conn
}

func newListener(address string, h fasthttp.RequestHandler) *listener {
	l := &listener{address: address, conns: map[net.Conn]*drain.Conn{}}
	l.server = &fasthttp.Server{
		Handler: l.closing(h), ConnState: l.track, MaxRequestBodySize: maxCall, NoDefaultServerHeader: true, NoDefaultDate: true,
		Logger: log.New(io.Discard, "", 0),
	}
	return l
}

// closing lets answers end their connections once the listener drains.
func (l *listener) closing(h fasthttp.RequestHandler) fasthttp.RequestHandler {
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

// track follows the life of a connection. A call counts as read with its first byte, as
// the server tells no more.
func (l *listener) track(c net.Conn, state fasthttp.ConnState) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.begun.Add(1)
	switch state {
	case fasthttp.StateNew:
		l.conns[c] = &drain.Conn{}
	case fasthttp.StateActive:
		l.conns[c].BeginRequest()
		if l.draining.Load() {
			// A sweep may have ended the reading right before.
			_ = c.SetReadDeadline(time.Now().Add(drainCalls))
		}
	case fasthttp.StateIdle:
		l.conns[c].RequestRead()
		l.conns[c].Answered(drain.Serving, true)
	case fasthttp.StateClosed, fasthttp.StateHijacked:
		delete(l.conns, c)
	}
}

// end drains the listener, once.
func (l *listener) end(ctx context.Context, limit time.Duration) (err error) {
	l.ended.Do(func() {
		l.draining.Store(true)
		course := drain.NewSchedule(clock.Now(), 0, limit)
		err = shutdown.Run(ctx, &course, l)
	})
	return err
}

// awaitLeave waits until callers have left, who choose by a list that is up to lag old:
// each answer ends its connection meanwhile.
func (l *listener) awaitLeave(ctx context.Context, lag time.Duration) {
	l.draining.Store(true)
	ctx, cancel := context.WithTimeout(ctx, lag)
	defer cancel()
	seen := l.begun.Load()
	// Callers that do not leave in that time are refused by a closed listener.
	_ = shutdown.AwaitQuiet(ctx, quietCalls, func() bool {
		before := seen
		seen = l.begun.Load()
		return seen != before
	})
}

// Stop implements kernel.Service.
func (l *listener) Stop(ctx context.Context) error {
	if l.bound == nil {
		return nil
	}
	err := l.end(ctx, stopLimit)
	_ = l.bound.Close()
	return err
}

// CloseListener implements shutdown.Server.
func (l *listener) CloseListener() { l.bound.CloseWhenEmpty() }

// Sweep implements shutdown.Server.
func (l *listener) Sweep(ran time.Duration, lastCall bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c, life := range l.conns {
		if life.Sweep(ran) == drain.CloseNow || lastCall && life.Reading() {
			_ = c.SetReadDeadline(time.Now())
		}
	}
}

// Work implements shutdown.Server.
func (l *listener) Work() drain.Work {
	l.mu.Lock()
	defer l.mu.Unlock()
	w := drain.Work{Listening: l.listening.Load(), All: len(l.conns), Open: len(l.conns)}
	for _, life := range l.conns {
		if life.Reading() {
			w.InFlight++
		}
	}
	return w
}

// callsListener is a listener of calls that must be answered before the services behind
// it hand over and stop.
type callsListener struct {
	*listener
	// lag is how old the list may be by which callers choose an instance.
	lag time.Duration
}

// Drain implements kernel.Drainer.
func (l callsListener) Drain(ctx context.Context) error {
	l.awaitLeave(ctx, l.lag)
	return l.end(ctx, drainCalls)
}
