// Package httpserver runs fasthttp on sockets owned by gnet, with optional TLS and with limits
// that keep a slow or malicious peer from affecting others.
package httpserver

import (
	"context"
	"crypto/tls"
	"io"
	"log"
	"net"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"github.com/comfreyladder/comfreyladder/core/fault"
	"github.com/comfreyladder/comfreyladder/instance/gnetconn"
	"github.com/comfreyladder/comfreyladder/instance/httpapi"
	"github.com/comfreyladder/comfreyladder/instance/settings"
	"github.com/comfreyladder/comfreyladder/instance/shutdown"
)

// inboundMargin is how many unread bytes a connection may hold beyond one request of maximum size.
const inboundMargin = 64 << 10

// Config configures a Server.
type Config struct {
	Address    string
	EventLoops int
	Limits     settings.Limits
	// TLS, if set, applies to all connections.
	TLS     *tls.Config
	Handler fasthttp.RequestHandler
}

// Server is an HTTP listener with its handler.
type Server struct {
	cfg            Config
	listener       *gnetconn.Listener
	server         *fasthttp.Server
	closing        atomic.Bool
	activeRequests atomic.Int64
	serveDone      chan struct{}
}

// New returns a server that does not listen yet.
func New(cfg Config) *Server {
	s := &Server{cfg: cfg, serveDone: make(chan struct{})}
	s.server = &fasthttp.Server{
		Handler:                      s.handle,
		ErrorHandler:                 writeReadError,
		Name:                         "comfreyladder",
		ReadBufferSize:               cfg.Limits.MaxHeader,
		MaxRequestBodySize:           cfg.Limits.MaxBody,
		ReadTimeout:                  cfg.Limits.ReadTimeout,
		IdleTimeout:                  cfg.Limits.IdleTimeout,
		ConnState:                    s.connState,
		NoDefaultServerHeader:        true,
		NoDefaultDate:                true,
		DisablePreParseMultipartForm: true,
		// Malformed requests get an error response; a log line for each would
		// let anyone flood the log.
		Logger: log.New(io.Discard, "", 0),
	}
	return s
}

// Start binds the listener and begins to serve. It fails with fault.Unavailable.
func (s *Server) Start(context.Context) error {
	l, err := gnetconn.Listen(s.cfg.Address, gnetconn.Options{
		EventLoops: s.cfg.EventLoops,
		MaxConns:   s.cfg.Limits.MaxConnections,
		MaxInbound: s.cfg.Limits.MaxBody + s.cfg.Limits.MaxHeader + inboundMargin,
	})
	if err != nil {
		return err
	}
	s.listener = l
	go func() {
		defer close(s.serveDone)
		_ = l.Serve(s.serveConn)
	}()
	return nil
}

const (
	// drainTimeout limits how long Stop waits for responses in progress, and
	// drainQuietPeriod is how long there must be none before Stop goes on.
	drainTimeout     = 5 * time.Second
	drainQuietPeriod = 100 * time.Millisecond
)

// Stop closes the listener and all connections. After CloseAfterResponse it first waits for the
// responses in progress.
func (s *Server) Stop(ctx context.Context) error {
	if s.listener == nil {
		return nil
	}
	if s.closing.Load() {
		drainCtx, cancel := context.WithTimeout(ctx, drainTimeout)
		defer cancel()
		// Responses that take longer are cut off by the close.
		_ = shutdown.AwaitQuiet(drainCtx, drainQuietPeriod, func() bool { return s.activeRequests.Load() > 0 })
	}
	err := s.listener.Close(ctx)
	<-s.serveDone
	return err
}

// Address returns the bound address, or nil before Start.
func (s *Server) Address() net.Addr {
	if s.listener == nil {
		return nil
	}
	return s.listener.Addr()
}

// CloseAfterResponse makes every further response close its connection, so that clients reconnect
// elsewhere without losing a request.
func (s *Server) CloseAfterResponse() { s.closing.Store(true) }

// Busy returns the number of connections with a request in progress: from its first byte until the
// last byte of its response was passed to the kernel. The response to a slow reader is in progress
// long after its handler has returned.
func (s *Server) Busy() int64 { return s.activeRequests.Load() }

func (s *Server) serveConn(c net.Conn) {
	limited := &conn{Conn: c, raw: c, writeTimeout: s.cfg.Limits.WriteTimeout}
	if s.cfg.TLS == nil {
		_ = s.server.ServeConn(limited)
		return
	}
	tlsConn := tls.Server(limited, s.cfg.TLS)
	_ = c.SetReadDeadline(time.Now().Add(s.cfg.Limits.ReadTimeout))
	if tlsConn.Handshake() != nil {
		return
	}
	_ = c.SetReadDeadline(time.Time{})
	_ = s.server.ServeConn(&conn{Conn: tlsConn, raw: c})
}

func (s *Server) connState(nc net.Conn, state fasthttp.ConnState) {
	c, ok := nc.(*conn)
	if !ok {
		return
	}
	active := state == fasthttp.StateActive
	if active == c.requestActive {
		return
	}
	c.requestActive = active
	if active {
		s.activeRequests.Add(1)
		return
	}
	s.activeRequests.Add(-1)
}

func (s *Server) handle(ctx *fasthttp.RequestCtx) {
	s.cfg.Handler(ctx)
	if s.closing.Load() {
		ctx.SetConnectionClose()
	}
}

// writeReadError responds to input that could not be read as a request.
func writeReadError(ctx *fasthttp.RequestCtx, err error) {
	f := fault.New(fault.Invalid, "the request could not be read: %v", err)
	var small *fasthttp.ErrSmallBuffer
	if errors.As(err, &small) {
		f = fault.New(fault.TooLarge, "the request's header is too large")
	}
	if errors.Is(err, fasthttp.ErrBodyTooLarge) {
		f = fault.New(fault.TooLarge, "the request's body is too large")
	}
	httpapi.WriteError(ctx, f, "")
	ctx.SetConnectionClose()
}
