// Package link carries messages and calls between instances. A link is one
// WebSocket connection on the peer listener; each binary frame is one
// CBOR-encoded envelope. Each instance dials the peers it sends to; answers come
// back on the connection that carried the request.
package link

import (
	"context"
	"crypto/sha256"
	"crypto/tls"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/comfreyladder/comfreyladder/core/defaults"
	"github.com/comfreyladder/comfreyladder/core/fault"
	"github.com/comfreyladder/comfreyladder/instance/gnetconn"
)

// Defaults of Config.
const (
	// DefaultHeartbeat and DefaultTimeout let a link that fell silent be
	// replaced in two seconds and a dial: the other side's heartbeats come
	// every second, so that one may be late by as much again.
	DefaultHeartbeat = 500 * time.Millisecond
	DefaultTimeout   = 1500 * time.Millisecond
	// DefaultDialTimeout leaves room for a handshake between regions.
	DefaultDialTimeout = time.Second
	// DefaultMinBackoff and DefaultMaxBackoff bound the pause between dials.
	DefaultMinBackoff = 50 * time.Millisecond
	DefaultMaxBackoff = time.Second
	// DefaultIdleAfter ends links that carry only heartbeats.
	DefaultIdleAfter = 30 * time.Second
	// DefaultMaxMessage holds a snapshot of the control state.
	DefaultMaxMessage = 8 << 20
	// DefaultQueueItems and DefaultQueueBytes bound what waits for one peer;
	// the first counts for each priority.
	DefaultQueueItems = 4096
	DefaultQueueBytes = 16 << 20
	// DefaultTotalBytes bounds what waits for all peers together, and as much
	// again what was received and not handled yet: within the 64 MB that a
	// daemon has for control.
	DefaultTotalBytes = 24 << 20
)

// peerEventLoops is one, as links carry some hundred small messages a second.
const peerEventLoops = 1

// AddressBook knows where instances listen for links.
type AddressBook interface {
	// Address returns the "ip:port" of the instance's peer listener.
	Address(instance string) (addr string, ok bool)
}

// Config of a Service. Durations and sizes that are zero mean the defaults.
type Config struct {
	// Self is this instance's name.
	Self string
	// Listen is the "ip:port" of the peer listener; empty for an instance that only
	// dials.
	Listen string
	// Credential is sent to peers; Accept holds the SHA-256 hashes of those
	// that are accepted from peers, several while one is being replaced.
	Credential string
	Accept     [][sha256.Size]byte
	// Open accepts peers without a credential. Whoever reaches the peer listener
	// can then act as an instance: only for networks that keep others out.
	Open bool
	Book AddressBook
	// ServerTLS and ClientTLS switch TLS on for each direction.
	ServerTLS *tls.Config
	ClientTLS *tls.Config
	Log       zerolog.Logger

	Heartbeat   time.Duration
	Timeout     time.Duration
	DialTimeout time.Duration
	MinBackoff  time.Duration
	MaxBackoff  time.Duration
	IdleAfter   time.Duration
	MaxMessage  int
	QueueItems  int
	QueueBytes  int
	TotalBytes  int
}

func (c *Config) fill() {
	defaults.Set(&c.Heartbeat, DefaultHeartbeat)
	defaults.Set(&c.Timeout, DefaultTimeout)
	defaults.Set(&c.DialTimeout, DefaultDialTimeout)
	defaults.Set(&c.MinBackoff, DefaultMinBackoff)
	defaults.Set(&c.MaxBackoff, DefaultMaxBackoff)
	defaults.Set(&c.IdleAfter, DefaultIdleAfter)
	defaults.Set(&c.MaxMessage, DefaultMaxMessage)
	defaults.Set(&c.QueueItems, DefaultQueueItems)
	defaults.Set(&c.QueueBytes, DefaultQueueBytes)
	defaults.Set(&c.TotalBytes, DefaultTotalBytes)
}

// Message is what a handler receives.
type Message struct{ body []byte }

// Decode reads the message into v, a pointer; it fails with fault.Corrupt.
func (m Message) Decode(v any) error { return Decode(m.body, v) }

// Handler answers a message from another instance. For one-way messages the
// result is ignored. One-way messages of one peer and priority come in order;
// calls run side by side. ctx ends with the connection.
type Handler func(ctx context.Context, from string, m Message) (any, error)

// ChannelOption states a trait of a channel, for sending and receiving alike.
type ChannelOption func(*channel)

// Lossy lets a full queue drop the channel's oldest message for a new one.
func Lossy() ChannelOption { return func(c *channel) { c.lossy = true } }

// Bulk sends the channel's messages after those of all channels that are not.
func Bulk() ChannelOption { return func(c *channel) { c.bulk = true } }

// Lazy lets the channel's messages wait for the next message or heartbeat of the
// link, for Config.Heartbeat at most. What is sent to each peer once a second
// then needs no segment, and wakes no process, of its own.
func Lazy() ChannelOption { return func(c *channel) { c.lazy = true } }

type channel struct {
	lossy, bulk, lazy bool
	handler           Handler
}

// Service holds the links of one instance.
type Service struct {
	cfg       Config
	log       zerolog.Logger
	heartbeat []byte
	nextID    atomic.Uint64
	stats     stats
	queued    budget
	received  budget

	mu       sync.RWMutex
	channels map[string]channel
	peers    map[string]*peer
	ctx      context.Context
	cancel   context.CancelFunc
	running  sync.WaitGroup
	listener *gnetconn.Listener
}

// New returns a service that is not started. It fails with fault.Invalid when
// the configuration is incomplete.
func New(cfg Config) (*Service, error) {
	secured := cfg.Credential != "" && len(cfg.Accept) > 0
	if cfg.Self == "" || cfg.Book == nil || !secured && !cfg.Open {
		return nil, fault.New(fault.Invalid, "links need the instance's name, an address book, a credential and accepted hashes")
	}
	cfg.fill()
	beat, err := Encode(&envelope{Kind: kindHeartbeat})
	if err != nil {
		return nil, err
	}
	s := &Service{cfg: cfg, log: cfg.Log, heartbeat: beat, channels: map[string]channel{}, peers: map[string]*peer{}}
	s.queued.max = int64(cfg.TotalBytes)
	s.received.max = int64(cfg.TotalBytes)
	s.ctx, s.cancel = context.WithCancel(context.Background())
	return s, nil
}

// Handle registers a channel. Register before Start; instances that only send
// on a channel register it with a nil handler to state its traits.
func (s *Service) Handle(name string, h Handler, options ...ChannelOption) {
	c := channel{handler: h}
	for _, o := range options {
		o(&c)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.channels[name] = c
}

func (s *Service) handler(name string) Handler {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.channels[name].handler
}

func (s *Service) traits(name string) channel {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.channels[name]
}

// Start binds the peer listener. It fails with fault.Unavailable.
func (s *Service) Start(context.Context) error {
	if s.cfg.Open {
		s.log.Warn().Str("event", "links_open").Msg("links are accepted without a credential, as the settings say")
	}
	if s.cfg.Listen == "" {
		return nil
	}
	l, err := gnetconn.Listen(s.cfg.Listen, gnetconn.Options{
		EventLoops:      peerEventLoops,
		MaxInbound:      s.cfg.MaxMessage + bufferSize,
		MaxInboundTotal: int64(s.cfg.TotalBytes),
	})
	if err != nil {
		return err
	}
	s.listener = l
	s.running.Go(func() {
		if err := l.Serve(func(c net.Conn) { s.accept(s.ctx, c) }); err != nil {
			s.log.Error().Err(err).Msg("peer listener ended")
		}
	})
	return nil
}

// Addr returns the bound address of the peer listener; nil before Start.
func (s *Service) Addr() net.Addr {
	if s.listener == nil {
		return nil
	}
	return s.listener.Addr()
}

// Stop closes all links and waits for their handlers, until ctx ends. Calls
// that wait end with fault.NotRun or fault.OutcomeUnknown.
func (s *Service) Stop(ctx context.Context) error {
	s.mu.Lock()
	s.cancel()
	s.mu.Unlock()
	var err error
	if s.listener != nil {
		err = s.listener.Close(ctx)
	}
	done := make(chan struct{})
	go func() {
		s.running.Wait()
		close(done)
	}()
	select {
	case <-done:
		return err
	case <-ctx.Done():
		return fault.Wrap(ctx.Err(), fault.DeadlineExceeded, "links still run")
	}
}

// peerFor returns the peer's state and starts its goroutine at first use.
func (s *Service) peerFor(name string) (*peer, error) {
	s.mu.RLock()
	p := s.peers[name]
	s.mu.RUnlock()
	if p != nil && s.ctx.Err() == nil {
		return p, nil
	}
	if _, ok := s.cfg.Book.Address(name); !ok {
		return nil, fault.New(fault.NotFound, "instance %s: no address is known", name)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ctx.Err() != nil {
		return nil, fault.New(fault.Draining, "links are stopped")
	}
	if p := s.peers[name]; p != nil {
		return p, nil
	}
	ctx, cancel := context.WithCancel(s.ctx)
	p = &peer{s: s, name: name, out: newQueue(s.cfg.QueueItems, s.cfg.QueueBytes, &s.queued), cancel: cancel, calls: map[uint64]*call{}}
	s.peers[name] = p
	s.running.Go(func() {
		defer cancel()
		p.run(ctx)
		for _, c := range p.out.close() {
			c.abandon(fault.New(fault.Draining, "links to %s are stopped", name))
		}
	})
	return p, nil
}

// Forget ends the link to an instance that is gone for good and drops what
// waits for it.
func (s *Service) Forget(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if p := s.peers[name]; p != nil {
		p.cancel()
		delete(s.peers, name)
	}
}

// Send queues a one-way message without blocking. It arrives at most once, or
// never. A full queue drops the oldest message of a lossy channel and is
// fault.Overloaded otherwise; an instance without address is fault.NotFound.
func (s *Service) Send(to, channel string, msg any) error {
	body, err := Encode(msg)
	if err != nil {
		return err
	}
	p, err := s.peerFor(to)
	if err != nil {
		return err
	}
	data, err := Encode(&envelope{Kind: kindMessage, Channel: channel, Body: body})
	if err != nil {
		return err
	}
	if len(data) > s.cfg.MaxMessage {
		return fault.New(fault.TooLarge, "message on %s: %d bytes, at most %d are allowed", channel, len(data), s.cfg.MaxMessage)
	}
	t := s.traits(channel)
	dropped, err := p.out.push(&item{channel: channel, lossy: t.lossy, bulk: t.bulk, lazy: t.lazy, data: data})
	if dropped {
		s.stats.dropped(channel)
	}
	if err != nil {
		s.stats.of(channel).unsentCount.Add(1)
	}
	return err
}

func (s *Service) newWire(conn net.Conn, name string, out *queue, handle func(*wire, *envelope)) *wire {
	return &wire{s: s, peer: name, conn: conn, out: out, handle: handle, stop: make(chan struct{})}
}
