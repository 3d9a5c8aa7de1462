// Package host carries the stand-ins of upstreams: an HTTP server whose
// connections can be cut at once, and the beats by which an upstream announces
// itself. It makes experiments and failure tests possible without real engines.
package host

import (
	"bytes"
	"context"
	"net"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/comfreyladder/comfreyladder/core/announce"
	"github.com/comfreyladder/comfreyladder/core/fault"
)

const (
	// DefaultListen is a free port on the loopback interface.
	DefaultListen = "127.0.0.1:0"
	maxBody       = 32 << 20
)

// Config says where a stand-in listens and to whom it announces itself.
type Config struct {
	// Listen is an IP number with a port; empty means DefaultListen.
	Listen string
	// Announce lists addresses of instances; beats go round-robin over them,
	// as behind a balancer. Empty means that nothing is announced.
	Announce []string
	// Credential is sent as bearer token with each beat.
	Credential string
	// Interval is the time between beats; zero means one second.
	Interval time.Duration
	// Incarnation orders the starts of one upstream; zero means the clock.
	Incarnation uint64
}

// Host is the server of one stand-in. Its methods may be called from any
// goroutine; Start is called once.
type Host struct {
	config  Config
	handler fasthttp.RequestHandler
	beat    func() announce.Heartbeat

	mu       sync.Mutex
	listener net.Listener
	conns    map[net.Conn]struct{}
	crashed  bool
	mute     bool

	server   *fasthttp.Server
	sequence uint64
	next     int
	beats    chan struct{}
	group    sync.WaitGroup
}

// New returns a host that serves handler and announces what beat returns; host
// fills in address, incarnation, sequence and lifetime.
func New(c Config, handler fasthttp.RequestHandler, beat func() announce.Heartbeat) *Host {
	if c.Listen == "" {
		c.Listen = DefaultListen
	}
	if c.Interval == 0 {
		c.Interval = time.Second
	}
	if c.Incarnation == 0 {
		c.Incarnation = uint64(time.Now().UnixNano())
	}
	return &Host{config: c, handler: handler, beat: beat, conns: map[net.Conn]struct{}{}, beats: make(chan struct{})}
}

// Start listens, serves and begins to announce. It fails with Unavailable when
// the address cannot be had.
func (h *Host) Start(ctx context.Context) error {
	var lc net.ListenConfig
	l, err := lc.Listen(ctx, "tcp", h.config.Listen)
	if err != nil {
		return fault.Wrap(err, fault.Unavailable, "listen on %s", h.config.Listen)
	}
	h.mu.Lock()
	h.listener = l
	h.mu.Unlock()
	h.server = &fasthttp.Server{
		Handler:               h.handler,
		MaxRequestBodySize:    maxBody,
		NoDefaultServerHeader: true,
		NoDefaultDate:         true,
		CloseOnShutdown:       true,
		Logger:                quiet{},
	}
	h.group.Add(2)
	go func() {
		defer h.group.Done()
		_ = h.server.Serve(&trackedListener{Listener: l, host: h})
	}()
	go func() {
		defer h.group.Done()
		h.announceLoop()
	}()
	return nil
}

// Address returns the IP number and port on which the host listens, or the
// empty string before Start.
func (h *Host) Address() string {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.listener == nil {
		return ""
	}
	return h.listener.Addr().String()
}

// SetMute stops or resumes the beats while the server goes on.
func (h *Host) SetMute(mute bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.mute = mute
}

// Stop says that the upstream leaves, lets requests in flight end until ctx is
// done, and then closes all connections. It may be called after Crash.
func (h *Host) Stop(ctx context.Context) error {
	if h.server == nil {
		return nil
	}
	if h.endBeats() {
		h.leave()
	}
	err := h.server.ShutdownWithContext(ctx)
	h.closeAll()
	h.group.Wait()
	if err != nil && ctx.Err() != nil {
		return fault.Wrap(err, fault.DeadlineExceeded, "requests in flight were cut off")
	}
	return nil
}

// Crash closes everything at once, without a leave.
func (h *Host) Crash() {
	h.endBeats()
	h.closeAll()
}

// endBeats ends the announcements and reports whether they were still going.
func (h *Host) endBeats() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.crashed {
		return false
	}
	h.crashed = true
	close(h.beats)
	return true
}

func (h *Host) closeAll() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.listener != nil {
		_ = h.listener.Close()
	}
	for c := range h.conns {
		_ = c.Close()
	}
}

// quiet drops fasthttp's own lines: cut connections are what stand-ins are for.
type quiet struct{}

// Printf implements fasthttp.Logger.
func (quiet) Printf(string, ...any) {}

// trackedListener remembers its connections, so that a crash can cut them.
type trackedListener struct {
	net.Listener
	host *Host
}

// Accept implements net.Listener.
func (l *trackedListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	t := &trackedConn{Conn: c, host: l.host}
	l.host.mu.Lock()
	l.host.conns[t] = struct{}{}
	l.host.mu.Unlock()
	return t, nil
}

type trackedConn struct {
	net.Conn
	host *Host
	once sync.Once
}

// Cut ends the connection of an answer that it is written to at exactly that point: all before it
// has been sent, nothing after it will be. Closing the connection from a handler would
// race with the server, which sends what the handler wrote some time later; a reader
// would then miss events that the stand-in counts as sent.
const Cut = ": cut here\n\n"

// Write implements net.Conn.
func (c *trackedConn) Write(p []byte) (int, error) {
	i := bytes.Index(p, []byte(Cut))
	if i < 0 {
		return c.Conn.Write(p)
	}
	n, err := c.Conn.Write(p[:i])
	if err == nil {
		err = fault.New(fault.Unavailable, "the connection is cut")
	}
	_ = c.Close()
	return n, err
}

// Close implements net.Conn.
func (c *trackedConn) Close() error {
	err := c.Conn.Close()
	c.once.Do(func() { go c.forget() })
	return err
}

func (c *trackedConn) forget() {
	c.host.mu.Lock()
	delete(c.host.conns, c)
	c.host.mu.Unlock()
}
