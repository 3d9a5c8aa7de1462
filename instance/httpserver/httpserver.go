// Package httpserver runs fasthttp on sockets that gnet owns, with TLS by
// settings and with limits that keep a slow or malicious peer from harming
// others.
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

// inboundMargin is what a connection may hold unread beyond one largest request.
const inboundMargin = 64 << 10

// Config describes one listener.
type Config struct {
	Address    string
	EventLoops int
	Limits     settings.Limits
	// TLS, if set, is used for all connections.
	TLS     *tls.Config
	Handler fasthttp.RequestHandler
}

// Server is one listener with its handler.
type Server struct {
	cfg      Config
	listener *gnetconn.Listener
	server   *fasthttp.Server
	closing  atomic.Bool
	busy     atomic.Int64
	served   chan struct{}
}

// New returns a server that does not listen yet.
func New(cfg Config) *Server {
	s := &Server{cfg: cfg, served: make(chan struct{})}
	s.server = &fasthttp.Server{
		Handler:                      s.handle,
		ErrorHandler:                 badRequest,
		Name:                         "comfreyladder",
		ReadBufferSize:               cfg.Limits.MaxHeader,
		MaxRequestBodySize:           cfg.Limits.MaxBody,
		ReadTimeout:                  cfg.Limits.ReadTimeout,
		IdleTimeout:                  cfg.Limits.IdleTimeout,
		ConnState:                    s.connState,
		NoDefaultServerHeader:        true,
		NoDefaultDate:                true,
		DisablePreParseMultipartForm: true,
		// Malformed requests are answered and counted; a line for each would
		// let anybody flood the log.
		Logger: log.New(io.Discard, "", 0),
	}
	return s
}

// Start listens and serves.
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
		defer close(s.served)
		_ = l.Serve(s.serveConn)
	}()
	return nil
}

const (
	// lastAnswers bounds the wait of a stop for answers that are on their way, and lastQuiet
	// is for how long none may be.
	lastAnswers = 5 * time.Second
	lastQuiet   = 100 * time.Millisecond
)

// Stop closes the listener and all connections. After CloseAfterAnswer it first waits for
// the answers that are on their way.
func (s *Server) Stop(ctx context.Context) error {
	if s.listener == nil {
		return nil
	}
	if s.closing.Load() {
		last, cancel := context.WithTimeout(ctx, lastAnswers)
		defer cancel()
		// What takes longer is cut off by the close.
		_ = shutdown.AwaitQuiet(last, lastQuiet, func() bool { return s.busy.Load() > 0 })
	}
	err := s.listener.Close(ctx)
	<-s.served
	return err
}

// Address returns the bound address, or nil before Start.
func (s *Server) Address() net.Addr {
	if s.listener == nil {
		return nil
	}
	return s.listener.Addr()
}

// CloseAfterAnswer makes every further answer end its connection, so that
// clients move elsewhere without losing a request.
func (s *Server) CloseAfterAnswer() { s.closing.Store(true) }

// Busy returns how many connections have a request on its way: from its first
// byte on until the last byte of its answer was handed to the system. A slow
// reader's answer is on its way long after its handler has returned.
func (s *Server) Busy() int64 { return s.busy.Load() }

func (s *Server) serveConn(c net.Conn) {
	limited := &conn{Conn: c, raw: c, writeTimeout: s.cfg.Limits.WriteTimeout}
	if s.cfg.TLS == nil {
		_ = s.server.ServeConn(limited)
		return
	}
	secure := tls.Server(limited, s.cfg.TLS)
	_ = c.SetReadDeadline(time.Now().Add(s.cfg.Limits.ReadTimeout))
	if secure.Handshake() != nil {
		return
	}
	_ = c.SetReadDeadline(time.Time{})
	_ = s.server.ServeConn(&conn{Conn: secure, raw: c})
}

func (s *Server) connState(nc net.Conn, state fasthttp.ConnState) {
	c, ok := nc.(*conn)
	if !ok {
		return
	}
	active := state == fasthttp.StateActive
	if active == c.active {
		return
	}
	c.active = active
	if active {
		s.busy.Add(1)
		return
	}
	s.busy.Add(-1)
}

func (s *Server) handle(ctx *fasthttp.RequestCtx) {
	s.cfg.Handler(ctx)
	if s.closing.Load() {
		ctx.SetConnectionClose()
	}
}

// badRequest answers what could not be read as a request.
func badRequest(ctx *fasthttp.RequestCtx, err error) {
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
