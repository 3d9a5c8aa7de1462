package roles

import (
	"context"
	"io"
	"log"
	"net"

	"github.com/valyala/fasthttp"

	"github.com/comfreyladder/comfreyladder/core/fault"
)

// maxCall bounds the body of a call: a table of some thousand routes.
const maxCall = 16 << 20

// listener is one HTTP listener with its handler.
type listener struct {
	address string
	server  *fasthttp.Server
	bound   net.Listener
}

func newListener(address string, h fasthttp.RequestHandler) *listener {
	return &listener{address: address, server: &fasthttp.Server{
		Handler: h, MaxRequestBodySize: maxCall, NoDefaultServerHeader: true, NoDefaultDate: true, Logger: log.New(io.Discard, "", 0),
	}}
}

// Start implements kernel.Service.
func (l *listener) Start(context.Context) error {
	bound, err := net.Listen("tcp4", l.address)
	if err != nil {
		return fault.Wrap(err, fault.Unavailable, "listen on %s", l.address)
	}
	l.bound = bound
	go func() { _ = l.server.Serve(bound) }()
	return nil
}

// Stop implements kernel.Service.
func (l *listener) Stop(context.Context) error {
	if l.bound == nil {
		return nil
	}
	return l.bound.Close()
}
