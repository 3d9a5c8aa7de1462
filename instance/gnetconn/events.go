package gnetconn

import (
	"errors"
	"io"
	"net"
	"syscall"

	"github.com/panjf2000/gnet/v2"
)

// eventHandler receives gnet's callbacks. Each runs on the event loop of its connection and must
// not block.
type eventHandler struct {
	gnet.BuiltinEventEngine
	listener *Listener
	booted   chan struct{}
}

// OnBoot implements gnet.EventHandler.
func (e *eventHandler) OnBoot(engine gnet.Engine) gnet.Action {
	l := e.listener
	l.engine = engine
	l.addr, l.bootErr = boundAddr(engine)
	close(e.booted)
	return gnet.None
}

func boundAddr(engine gnet.Engine) (net.Addr, error) {
	fd, err := engine.Dup()
	if err != nil {
		return nil, err
	}
	defer func() { _ = syscall.Close(fd) }()
	sa, err := syscall.Getsockname(fd)
	if err != nil {
		return nil, err
	}
	switch a := sa.(type) {
	case *syscall.SockaddrInet4:
		return &net.TCPAddr{IP: append(net.IP(nil), a.Addr[:]...), Port: a.Port}, nil
	case *syscall.SockaddrInet6:
		return &net.TCPAddr{IP: append(net.IP(nil), a.Addr[:]...), Port: a.Port}, nil
	}
	return nil, syscall.EAFNOSUPPORT
}

// OnOpen implements gnet.EventHandler.
func (e *eventHandler) OnOpen(gc gnet.Conn) ([]byte, gnet.Action) {
	l := e.listener
	if l.conns.Add(1) > int64(l.opts.MaxConns) {
		l.conns.Add(-1)
		l.rejectedConns.Add(1)
		return nil, gnet.Close
	}
	// As an option of the listener, it makes gnet report "bad file descriptor"
	// instead of an address in use.
	_ = gc.SetKeepAlivePeriod(keepAlivePeriod)
	c := newConn(l, gc)
	gc.SetContext(c)
	l.handlers.Add(1)
	go l.serve(c)
	return nil, gnet.None
}

// OnTraffic implements gnet.EventHandler.
func (e *eventHandler) OnTraffic(gc gnet.Conn) gnet.Action {
	c, ok := gc.Context().(*Conn)
	if !ok {
		return gnet.Close
	}
	data, err := gc.Next(-1)
	if err != nil {
		return gnet.Close
	}
	if !c.receive(data) {
		e.listener.overflows.Add(1)
		return gnet.Close
	}
	return gnet.None
}

// OnClose implements gnet.EventHandler.
func (e *eventHandler) OnClose(gc gnet.Conn, err error) gnet.Action {
	c, ok := gc.Context().(*Conn)
	if !ok {
		return gnet.None
	}
	if err == nil || errors.Is(err, io.EOF) {
		err = io.EOF
	}
	c.hangUp(err)
	e.listener.conns.Add(-1)
	return gnet.None
}

// discardLogger drops gnet's own log lines: they are not in the daemon's log format, and the
// handler gets the relevant ones as errors of the connection.
type discardLogger struct{}

func (discardLogger) Debugf(string, ...any) {}
func (discardLogger) Infof(string, ...any)  {}
func (discardLogger) Warnf(string, ...any)  {}
func (discardLogger) Errorf(string, ...any) {}
func (discardLogger) Fatalf(string, ...any) {}
