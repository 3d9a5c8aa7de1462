package tunnel

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"math/rand/v2"
	"net"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/gobwas/ws"
	"github.com/pkg/errors"

	"github.com/comfreyladder/comfreyladder/core/fault"
	"github.com/comfreyladder/comfreyladder/core/reach"
	"github.com/comfreyladder/comfreyladder/instance/link"
)

// Links is the part of instance/link that this service uses.
type Links interface {
	HandleStreams(open link.StreamOpener)
	OpenStream(ctx context.Context, to, target string) (net.Conn, *bufio.Reader, error)
}

// Config configures a Service.
type Config struct {
	Links Links
	// Peers returns the names of other instances through which tunnels may be opened.
	Peers func() []string
	// Allow reports whether this instance serves tunnels to an upstream.
	Allow func(reach.Target) bool
	// Dial opens this instance's own connection to an upstream. It fails with fault.NotRun if this
	// instance can't tell whether the upstream is the cause.
	Dial func(ctx context.Context, t reach.Target) (net.Conn, error)
}

// Service opens tunnels through other instances and serves theirs. It is safe for concurrent use.
type Service struct {
	cfg         Config
	servedCount atomic.Int64

	mu       sync.Mutex
	serving  map[*served]struct{}
	draining bool
	// idle is closed when the last tunnel has ended, if a drain waits for it.
	idle chan struct{}
	// avoid holds until when an instance that could not help is tried last.
	avoid map[string]time.Time
}

// New returns a service and registers its handler.
func New(cfg Config) *Service {
	s := &Service{cfg: cfg, serving: map[*served]struct{}{}, avoid: map[string]time.Time{}}
	cfg.Links.HandleStreams(s.open)
	return s
}

// Start implements kernel.Service.
func (s *Service) Start(context.Context) error { return nil }

// Stop implements kernel.Service. The tunnels end with the links.
func (s *Service) Stop(context.Context) error { return nil }

// Retire rejects new tunnels and asks for the others not to be used again.
func (s *Service) Retire() {
	s.mu.Lock()
	s.draining = true
	list := make([]*served, 0, len(s.serving))
	for v := range s.serving {
		list = append(list, v)
	}
	s.mu.Unlock()
	for _, v := range list {
		_ = v.write(ws.NewPingFrame(nil))
	}
}

// Drain implements kernel.Drainer: it retires the tunnels and waits until they have ended.
func (s *Service) Drain(ctx context.Context) error {
	s.Retire()
	s.mu.Lock()
	if len(s.serving) == 0 {
		s.mu.Unlock()
		return nil
	}
	idle := make(chan struct{})
	s.idle = idle
	s.mu.Unlock()
	select {
	case <-idle:
		return nil
	case <-ctx.Done():
		return fault.Wrap(ctx.Err(), fault.DeadlineExceeded, "tunnels of other instances are still open")
	}
}

// Serving returns how many tunnels this instance serves.
func (s *Service) Serving() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.serving)
}

// Served returns how many tunnels this instance has served so far.
func (s *Service) Served() int64 { return s.servedCount.Load() }

// errNoPeer means that no other instance could help, which says nothing about the upstream.
var errNoPeer = fault.New(fault.NotRun, "no other instance could open a connection")

// Available reports whether other instances are known.
func (s *Service) Available() bool { return len(s.cfg.Peers()) > 0 }

// Dial opens a connection to an upstream through another instance. It fails with fault.NotRun if no
// other instance can help, and with fault.Unavailable if the upstream is the cause; the chain then
// holds syscall.ECONNREFUSED or a timeout, as for a direct connection.
func (s *Service) Dial(ctx context.Context, t reach.Target) (net.Conn, error) {
	peers := s.candidates()
	peers = peers[:min(len(peers), maxTries)]
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	results := make(chan opened, len(peers))
	timer := time.NewTimer(0)
	defer timer.Stop()
	for begun, ended := 0, 0; ended < len(peers); {
		select {
		case <-timer.C:
		case o := <-results:
			if o.err == nil || fault.CodeOf(o.err) == fault.Unavailable {
				s.discard(cancel, results, begun-ended-1)
				return o.conn, o.err
			}
			ended++
		}
		if begun < len(peers) {
			name := peers[begun]
			go func() {
				c, err := s.through(ctx, name, t)
				results <- opened{c, err}
			}()
			begun++
			timer.Reset(tryStagger)
		}
	}
	cancel()
	return nil, errNoPeer
}

// opened is the result of one try to open a tunnel.
type opened struct {
	conn net.Conn
	err  error
}

// discard closes the tunnels of tries that are still running and no longer needed.
func (s *Service) discard(cancel context.CancelFunc, results <-chan opened, running int) {
	cancel()
	go func() {
		for range running {
			if o := <-results; o.conn != nil {
				_ = o.conn.Close()
			}
		}
	}()
}

func (s *Service) through(ctx context.Context, name string, t reach.Target) (net.Conn, error) {
	c, buffered, err := s.cfg.Links.OpenStream(ctx, name, formatTarget(t))
	if err == nil {
		return s.newConn(c, buffered, name), nil
	}
	switch link.RejectedStream(err) {
	case statusRefused:
		return nil, fault.Wrap(os.NewSyscallError("connect", syscall.ECONNREFUSED), fault.Unavailable, "connect to %s through %s", t.Address, name)
	case statusSilent:
		return nil, fault.Wrap(os.ErrDeadlineExceeded, fault.Unavailable, "connect to %s through %s", t.Address, name)
	}
	if errors.Is(ctx.Err(), context.Canceled) {
		return nil, errNoPeer
	}
	s.distrust(name)
	return nil, errNoPeer
}

// distrust lets others be tried before an instance for a while.
func (s *Service) distrust(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.avoid[name] = time.Now().Add(avoidFor)
}

func (s *Service) avoided(name string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Now().Before(s.avoid[name])
}

// candidates returns the other instances in the order in which they are tried: a random one first, so
// that the load is spread, and those that could not help last.
func (s *Service) candidates() []string {
	peers := s.cfg.Peers()
	list := make([]string, 0, len(peers))
	var avoided []string
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, name := range peers {
		if now.Before(s.avoid[name]) {
			avoided = append(avoided, name)
			continue
		}
		delete(s.avoid, name)
		list = append(list, name)
	}
	rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	return append(list, avoided...)
}

const targetSeparator = "@"

func formatTarget(t reach.Target) string { return t.Name + targetSeparator + t.Address }

func parseTarget(text string) (reach.Target, error) {
	i := strings.LastIndex(text, targetSeparator)
	if i < 0 {
		return reach.Target{}, fault.New(fault.Invalid, "%.64q names no upstream", text)
	}
	return reach.Target{Name: text[:i], Address: text[i+1:]}, nil
}

func newBytesReader(b []byte) io.Reader { return bytes.NewReader(bytes.Clone(b)) }
