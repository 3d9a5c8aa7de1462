// Package uplink opens the connections of an instance to upstreams: directly, or through another
// instance while the links of this one are cut. It checks by itself whether they are, so that a
// failed connection is blamed on an upstream only if it is the upstream's.
package uplink

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/comfreyladder/comfreyladder/core/fault"
	"github.com/comfreyladder/comfreyladder/core/reach"
)

// Tunnels opens connections through other instances.
type Tunnels interface {
	Available() bool
	Dial(ctx context.Context, t reach.Target) (net.Conn, error)
}

// Candidate is an upstream that a check may ask. HealthPath is the path that it answers a GET of
// without doing a caller's work, empty if there is none.
type Candidate struct {
	reach.Target
	HealthPath string
	// Strained is set if the upstream is short of room: it is asked last, and seldom.
	Strained bool
	// Admit reports before each request whether the upstream takes one now, and counts it. It is nil if the
	// upstream has room.
	Admit func() bool
}

func (c *Candidate) admits() bool { return c.Admit == nil || c.Admit() }

// Change tells that this instance lost or regained its links, and what the check found.
type Change struct {
	CutOff bool
	Found  reach.Result
}

// Config configures a Service.
type Config struct {
	// Direct opens a direct connection, within Timeout.
	Direct  func(ctx context.Context, address string) (net.Conn, error)
	Timeout time.Duration
	// Tunnels is nil if there are no other instances.
	Tunnels Tunnels
	// Sample returns up to n different random upstreams, of as many failure domains as possible, at most
	// one of them strained and that the last.
	Sample func(n int) []Candidate
	// OnChange is called after each change, and OnUnreached after a check that reached no upstream
	// though this instance was not known to be cut off. Both may be nil.
	OnChange    func(Change)
	OnUnreached func(reach.Result)
	// OnCheck is called at the start of each check with its reason, Instances returns how many instances check the same
	// upstreams, and Upstreams how many these are. All may be nil.
	OnCheck              func(reason string)
	Instances, Upstreams func() int
	// OnHealthField is called with the value of the field HealthField of the answer of a health path
	// that has one. It is nil if no field matters.
	HealthField   string
	OnHealthField func(t reach.Target, value string)
}

// Conn is a connection to an upstream. Detour is set if it leads through another instance.
type Conn struct {
	net.Conn
	Detour bool
}

// Service opens connections and checks the links. It is safe for concurrent use.
type Service struct {
	cfg     Config
	monitor reach.Monitor
	ctx     context.Context
	cancel  context.CancelFunc
	running sync.WaitGroup
	// watching is set while a goroutine watches for silence or for the links' return.
	watching atomic.Bool

	mu      sync.Mutex
	stopped bool
	// check is the running check, nil if there is none.
	check *check
}

// New returns a service. Stop ends its work.
func New(cfg Config) *Service {
	if cfg.OnChange == nil {
		cfg.OnChange = func(Change) {}
	}
	if cfg.OnUnreached == nil {
		cfg.OnUnreached = func(reach.Result) {}
	}
	if cfg.OnCheck == nil {
		cfg.OnCheck = func(string) {}
	}
	if cfg.Instances == nil {
		cfg.Instances = func() int { return 1 }
	}
	if cfg.Upstreams == nil {
		cfg.Upstreams = func() int { return checkSize }
	}
	s := &Service{cfg: cfg}
	s.ctx, s.cancel = context.WithCancel(context.Background())
	return s
}

// Stop ends the background work.
func (s *Service) Stop() {
	s.mu.Lock()
	s.stopped = true
	s.mu.Unlock()
	s.cancel()
	s.running.Wait()
}

// CutOff reports whether this instance is cut off from all upstreams while others reach them.
func (s *Service) CutOff() bool { return s.monitor.CutOff() }

// Doubtful reports whether this instance is cut off or may be.
func (s *Service) Doubtful() bool { return s.monitor.Doubtful() }

// Dial opens a connection to an upstream. An error with fault.NotRun says nothing about the upstream.
func (s *Service) Dial(ctx context.Context, t reach.Target) (Conn, error) {
	if s.CutOff() {
		return s.detour(ctx, t, nil)
	}
	begun := time.Now()
	c, err := s.Direct(ctx, t)
	switch {
	case err == nil:
		return Conn{Conn: c}, nil
	case ctx.Err() != nil:
		return Conn{}, fault.Wrap(err, fault.NotRun, "the request ended before the connection was open")
	case s.connects(ctx, begun) || !s.tunnels():
		return Conn{}, err
	}
	return s.detour(ctx, t, err)
}

// Suspect checks the links after a direct connection was lost, and reports whether they are, or may be,
// the cause.
func (s *Service) Suspect(ctx context.Context) bool {
	if s.CutOff() || !s.tunnels() {
		return s.CutOff()
	}
	ctx, cancel := context.WithTimeout(ctx, suspectTimeout)
	defer cancel()
	return s.checkLinks(ctx, suspected).Unreached()
}

// Lost records that a request was lost on a new direct connection before any answer came.
func (s *Service) Lost(t reach.Target) {
	if !s.CutOff() && s.monitor.Lost(t.Name) {
		s.startCheck(requestsLost)
	}
}

// Proven records that an answer came on a new direct connection, which was opened at a given time.
func (s *Service) Proven(opened time.Time) { s.monitor.Prove(opened) }

// Direct opens a direct connection.
func (s *Service) Direct(ctx context.Context, t reach.Target) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, s.cfg.Timeout)
	defer cancel()
	c, err := s.cfg.Direct(ctx, t.Address)
	if err != nil {
		return nil, fault.Wrap(err, fault.Unavailable, "connect to %s", t.Address)
	}
	return c, nil
}

// DirectChecked is Direct for another instance: it fails with fault.NotRun if the links of this one
// may be the cause, or have not been proved by an answer of late.
func (s *Service) DirectChecked(ctx context.Context, t reach.Target) (net.Conn, error) {
	if s.CutOff() || !s.provesLinks(ctx) {
		return nil, errCutOff
	}
	begun := time.Now()
	c, err := s.Direct(ctx, t)
	if err != nil && !s.connects(ctx, begun) {
		return nil, errCutOff
	}
	if err != nil {
		return nil, err
	}
	return &carried{Conn: c, links: s}, nil
}

// provesLinks reports whether the links of this instance are known to be sound. The wait for an answer of
// busy upstreams is spared another instance's request if one came not long ago.
func (s *Service) provesLinks(ctx context.Context) bool {
	now := time.Now()
	switch {
	case s.monitor.HeardWithin(now, reach.Quiet):
		return true
	case s.monitor.HeardWithin(now, proofHolds):
		s.startCheck(tunnelNeedsProof)
		return true
	}
	return !s.checkLinks(ctx, tunnelNeedsProof).Unreached()
}

// carried is a direct connection that this instance opened for another one. Its answers prove the links.
type carried struct {
	net.Conn
	links *Service
}

// Read implements net.Conn.
func (c *carried) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 {
		c.links.Heard()
	}
	return n, err
}

var errCutOff = fault.New(fault.NotRun, "this instance reaches no upstream")

func (s *Service) tunnels() bool { return s.cfg.Tunnels != nil && s.cfg.Tunnels.Available() }

// detour opens a connection through another instance. If none can help, direct is the error of the
// direct connection, or nil if that was not tried yet.
func (s *Service) detour(ctx context.Context, t reach.Target, direct error) (Conn, error) {
	if s.tunnels() {
		c, err := s.cfg.Tunnels.Dial(ctx, t)
		if err == nil {
			return Conn{c, true}, nil
		}
		if fault.CodeOf(err) != fault.NotRun {
			return Conn{}, err
		}
		if direct != nil || ctx.Err() != nil {
			return Conn{}, fault.Wrap(direct, fault.NotRun, "neither this instance nor another one reaches %s", t.Address)
		}
	}
	c, err := s.Direct(ctx, t)
	if err != nil {
		err = fault.Wrap(err, fault.NotRun, "this instance is cut off")
	}
	return Conn{Conn: c}, err
}

// Await records that a response is awaited on a direct connection, Heard that some of one arrived,
// and Done that it is no longer awaited.
func (s *Service) Await() {
	s.monitor.Await(time.Now())
	s.watch(reach.Quiet)
}

// Heard records that something arrived on a direct connection.
func (s *Service) Heard() { s.monitor.Heard(time.Now()) }

// Done is the opposite of Await.
func (s *Service) Done() { s.monitor.Done() }

// watch makes sure that silence, and the return of the links, are noticed, first after a time.
func (s *Service) watch(first time.Duration) {
	if s.watching.Load() || s.watching.Swap(true) {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stopped {
		return
	}
	s.running.Go(func() { s.watchLinks(first) })
}

func (s *Service) watchLinks(first time.Duration) {
	timer := time.NewTimer(first)
	defer timer.Stop()
	for {
		select {
		case <-timer.C:
		case <-s.ctx.Done():
			return
		}
		left, awaited := s.monitor.SilenceLeft(time.Now())
		switch {
		case s.CutOff():
			s.recheck()
			timer.Reset(reach.Recheck)
		case !awaited:
			if s.endWatch() {
				return
			}
			timer.Reset(reach.Quiet)
		case left > 0:
			timer.Reset(left)
		default:
			s.checkLinks(s.ctx, silence)
			timer.Reset(reach.Freshness)
		}
	}
}

// endWatch ends the watch unless something has begun to need it meanwhile.
func (s *Service) endWatch() bool {
	s.watching.Store(false)
	_, awaited := s.monitor.SilenceLeft(time.Now())
	return !awaited && !s.CutOff() || s.watching.Swap(true)
}
