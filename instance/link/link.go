// Package link carries one-way messages and calls between instances. A link is a WebSocket
// connection to the peer listener; each binary frame holds one CBOR-encoded envelope. Each
// instance dials the peers that it sends to; a response returns on the connection that carried the
// request.
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
	// With DefaultHeartbeat and DefaultTimeout, a silent link is replaced within two seconds plus
	// a dial: the accepting side sends a heartbeat every second, so one may be late by another
	// second.
	DefaultHeartbeat = 500 * time.Millisecond
	DefaultTimeout   = 1500 * time.Millisecond
	// DefaultDialTimeout allows for a handshake between regions.
	DefaultDialTimeout = time.Second
	// DefaultMinBackoff and DefaultMaxBackoff bound the delay between dial attempts.
	DefaultMinBackoff = 50 * time.Millisecond
	DefaultMaxBackoff = time.Second
	// DefaultIdleAfter is how long a link that carries only heartbeats stays open.
	DefaultIdleAfter = 30 * time.Second
	// DefaultMaxMessage is large enough for a snapshot of the control state.
	DefaultMaxMessage = 8 << 20
	// DefaultMessageTimeout and the time that its length takes at minMessageRate are allowed for a
	// message that has begun to arrive. The sender has DefaultTimeout to write it; the rest is for what
	// is in the buffers of the system.
	DefaultMessageTimeout = 2 * DefaultTimeout
	// DefaultQueueItems and DefaultQueueBytes limit the send queue of one peer; the first applies
	// to each priority.
	DefaultQueueItems = 4096
	DefaultQueueBytes = 16 << 20
	// DefaultTotalBytes limits the send queues of all peers together, and separately the messages
	// that were received but not handled yet. Both fit into the 64 MB that a daemon has for
	// control traffic.
	DefaultTotalBytes = 24 << 20
)

// minMessageRate is the rate in bytes a second at which a message must arrive at least. The largest ones
// need 11 s with it, between regions as well.
const minMessageRate = 1 << 20

// peerEventLoops is one because links carry only some hundred small messages a second.
const peerEventLoops = 1

// AddressBook resolves the names of instances.
type AddressBook interface {
	// Address returns the "ip:port" of the instance's peer listener.
	Address(instance string) (addr string, ok bool)
}

// Config configures a Service. Zero durations and sizes select the defaults.
type Config struct {
	// Self is this instance's name.
	Self string
	// Listen is the "ip:port" of the peer listener; empty for an instance that only dials.
	Listen string
	// Credential is sent to peers. AcceptedHashes holds the SHA-256 hashes of the credentials
	// accepted from peers: more than one while a credential is being replaced.
	Credential     string
	AcceptedHashes [][sha256.Size]byte
	// AllowUnauthenticated accepts peers without a credential. Anyone who can reach the peer
	// listener can then act as an instance, so it is only for networks that are closed to others.
	AllowUnauthenticated bool
	Book                 AddressBook
	// ServerTLS and ClientTLS enable TLS for accepted and dialled links.
	ServerTLS *tls.Config
	ClientTLS *tls.Config
	Log       zerolog.Logger

	Heartbeat time.Duration
	Timeout   time.Duration
	// MessageTimeout is the time for a message that has begun, beside that for its length.
	MessageTimeout time.Duration
	DialTimeout    time.Duration
	MinBackoff     time.Duration
	MaxBackoff     time.Duration
	IdleAfter      time.Duration
	MaxMessage     int
	QueueItems     int
	QueueBytes     int
	TotalBytes     int
}

func (c *Config) setDefaults() {
	defaults.Set(&c.Heartbeat, DefaultHeartbeat)
	defaults.Set(&c.Timeout, DefaultTimeout)
	defaults.Set(&c.MessageTimeout, DefaultMessageTimeout)
	defaults.Set(&c.DialTimeout, DefaultDialTimeout)
	defaults.Set(&c.MinBackoff, DefaultMinBackoff)
	defaults.Set(&c.MaxBackoff, DefaultMaxBackoff)
	defaults.Set(&c.IdleAfter, DefaultIdleAfter)
	defaults.Set(&c.MaxMessage, DefaultMaxMessage)
	defaults.Set(&c.QueueItems, DefaultQueueItems)
	defaults.Set(&c.QueueBytes, DefaultQueueBytes)
	defaults.Set(&c.TotalBytes, DefaultTotalBytes)
}

// Message is the body of a received message or call.
type Message struct{ body []byte }

// Decode decodes the message into v, a pointer. It fails with fault.Corrupt.
func (m Message) Decode(v any) error { return Decode(m.body, v) }

// Handler handles a message or call from another instance. The result of a one-way message is
// ignored. One-way messages of one peer and one priority are handled in order; calls run
// concurrently. ctx ends with the connection.
type Handler func(ctx context.Context, from string, m Message) (any, error)

// ChannelOption configures a channel, for both sending and receiving.
type ChannelOption func(*channelConfig)

// Lossy makes a full queue drop the channel's oldest message in favour of a new one.
func Lossy() ChannelOption { return func(c *channelConfig) { c.lossy = true } }

// Bulk gives the channel's messages low priority: they are sent after those of all other channels.
func Bulk() ChannelOption { return func(c *channelConfig) { c.bulk = true } }

// Lazy makes the channel's messages wait for the next other message or heartbeat of the link, at
// most Config.Heartbeat, once the link is up. Messages sent to every peer once a second then need
// no TCP segment and no wake-up of their own.
func Lazy() ChannelOption { return func(c *channelConfig) { c.lazy = true } }

type channelConfig struct {
	lossy, bulk, lazy bool
	handler           Handler
}

// Service manages the links of one instance.
type Service struct {
	cfg           Config
	log           zerolog.Logger
	heartbeat     []byte
	nextID        atomic.Uint64
	stats         stats
	sendBudget    budget
	receiveBudget budget

	// streams opens byte streams; nil if this instance serves none.
	streams StreamOpener

	mu       sync.RWMutex
	channels map[string]channelConfig
	peers    map[string]*peer
	ctx      context.Context
	cancel   context.CancelFunc
	running  sync.WaitGroup
	listener *gnetconn.Listener
}

// New returns a service that is not started. It fails with fault.Invalid if the configuration is
// incomplete.
func New(cfg Config) (*Service, error) {
	hasCredentials := cfg.Credential != "" && len(cfg.AcceptedHashes) > 0
	if cfg.Self == "" || cfg.Book == nil || !hasCredentials && !cfg.AllowUnauthenticated {
		return nil, fault.New(fault.Invalid, "links require the name of the instance, an address book, a credential and the hashes of accepted credentials")
	}
	cfg.setDefaults()
	heartbeat, err := Encode(&envelope{Kind: kindHeartbeat})
	if err != nil {
		return nil, err
	}
	s := &Service{cfg: cfg, log: cfg.Log, heartbeat: heartbeat, channels: map[string]channelConfig{}, peers: map[string]*peer{}}
	s.sendBudget.max = int64(cfg.TotalBytes)
	s.receiveBudget.max = int64(cfg.TotalBytes)
	s.ctx, s.cancel = context.WithCancel(context.Background())
	return s, nil
}

// Handle registers a channel; it must be called before Start. An instance that only sends on a
// channel registers it with a nil handler and the same options.
func (s *Service) Handle(name string, h Handler, options ...ChannelOption) {
	c := channelConfig{handler: h}
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

func (s *Service) channel(name string) channelConfig {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.channels[name]
}

// Start binds the peer listener. It fails with fault.Unavailable.
func (s *Service) Start(context.Context) error {
	if s.cfg.AllowUnauthenticated {
		s.log.Warn().Str("event", "links_open").Msg("the settings allow links without a credential")
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
			s.log.Error().Err(err).Msg("peer listener failed")
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

// Stop closes all links and waits for their handlers until ctx ends. Pending calls fail with
// fault.NotRun or fault.OutcomeUnknown.
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
		return fault.Wrap(ctx.Err(), fault.DeadlineExceeded, "links are still running")
	}
}

// peerFor returns the state of a peer and starts its goroutine on first use.
func (s *Service) peerFor(name string) (*peer, error) {
	s.mu.RLock()
	p := s.peers[name]
	s.mu.RUnlock()
	if p != nil && s.ctx.Err() == nil {
		return p, nil
	}
	if _, ok := s.cfg.Book.Address(name); !ok {
		return nil, fault.New(fault.NotFound, "the address of instance %s is unknown", name)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ctx.Err() != nil {
		return nil, fault.New(fault.Draining, "the link service is stopped")
	}
	if p := s.peers[name]; p != nil {
		return p, nil
	}
	ctx, cancel := context.WithCancel(s.ctx)
	p = &peer{service: s, name: name, sendQueue: newQueue(s.cfg.QueueItems, s.cfg.QueueBytes, &s.sendBudget), cancel: cancel, calls: map[uint64]*call{}}
	s.peers[name] = p
	s.running.Go(func() {
		defer cancel()
		p.run(ctx)
		for _, c := range p.sendQueue.close() {
			c.abandon(fault.New(fault.Draining, "the link to %s is stopped", name))
		}
	})
	return p, nil
}

// Forget ends the link to an instance that was removed and drops the messages queued for it.
func (s *Service) Forget(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if p := s.peers[name]; p != nil {
		p.cancel()
		delete(s.peers, name)
	}
}

// Send queues a one-way message without blocking. It is delivered at most once. If the queue is
// full, Send drops the oldest message of a lossy channel and fails with fault.Overloaded for any
// other channel. It fails with fault.NotFound for an instance without an address.
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
		return fault.New(fault.TooLarge, "message on %s: %d bytes exceed the limit of %d", channel, len(data), s.cfg.MaxMessage)
	}
	t := s.channel(channel)
	dropped, err := p.sendQueue.push(&queuedMessage{channel: channel, lossy: t.lossy, bulk: t.bulk, lazy: t.lazy, data: data})
	if dropped {
		s.stats.dropped(channel)
	}
	if err != nil {
		s.stats.countersFor(channel).unsentCount.Add(1)
	}
	return err
}

func (s *Service) newConnection(conn net.Conn, name string, out *queue, handle func(*connection, *envelope)) *connection {
	return &connection{service: s, peer: name, conn: conn, sendQueue: out, handle: handle, stop: make(chan struct{})}
}
