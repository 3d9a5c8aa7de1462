package gnetconn

import (
	"errors"
	"io"
	"net"
	"syscall"

	"github.com/panjf2000/gnet/v2"
)

// events receives gnet's callbacks, each on the connection's event loop, where
// nothing may block.
type events struct {
	gnet.BuiltinEventEngine
	listener *Listener
	booted   chan struct{}
}

// OnBoot implements gnet.EventHandler.
func (e *events) OnBoot(engine gnet.Engine) gnet.Action {
	l := e.listener
	l.engine = engine
	l.addr, l.bootFailure = boundAddr(engine)
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
func (e *events) OnOpen(gc gnet.Conn) ([]byte, gnet.Action) {
	l := e.listener
	if l.conns.Add(1) > int64(l.opts.MaxConns) {
		l.conns.Add(-1)
		l.turnedAway.Add(1)
		return nil, gnet.Close
	}
	// Not as an option of the listener: gnet then reports "bad file descriptor"
	// in place of an address that is in use.
	_ = gc.SetKeepAlivePeriod(keepAlive)
	c := newConn(l, gc)
	gc.SetContext(c)
	l.handlers.Add(1)
	go l.serve(c)
	return nil, gnet.None
}

// OnTraffic implements gnet.EventHandler.
func (e *events) OnTraffic(gc gnet.Conn) gnet.Action {
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
func (e *events) OnClose(gc gnet.Conn, err error) gnet.Action {
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

// quiet drops gnet's own log lines: they are not in the daemon's log format,
// and what matters in them reaches the handler as a connection's error.
type quiet struct{}

func (quiet) Debugf(string, ...any) {}
func (quiet) Infof(string, ...any)  {}
func (quiet) Warnf(string, ...any)  {}
func (quiet) Errorf(string, ...any) {}
func (quiet) Fatalf(string, ...any) {}
