// Package upstream is the HTTP client for upstreams. It differs from a general client in
// three ways. It never resends: each call is one attempt on one connection, and a failed
// attempt states what is proved about it (Evidence). It compares the ID of each answer with
// the ID of its request, so that a late or mixed-up answer does not reach another caller.
// It treats an answer as complete only by its end marker or its stated length.
package upstream

import (
	"context"
	"crypto/tls"
	"sync"
	"time"

	"github.com/comfreyladder/comfreyladder/core/reach"
	"github.com/comfreyladder/comfreyladder/instance/sse"
	"github.com/comfreyladder/comfreyladder/instance/uplink"
)

// Target is the destination of a request.
type Target struct {
	// Name is the name of the upstream, used in errors.
	Name string
	// Address is an IP address with a port.
	Address string
}

// tunnelled returns the target as other instances know it.
func (t Target) tunnelled() reach.Target { return reach.Target(t) }

// Default values of Config. The timeouts follow from the service levels: the first token is
// expected within about 1.4 s and later tokens at intervals of tens of milliseconds, so that
// seconds without data indicate a lost connection and not a slow engine.
const (
	DefaultDialTimeout = time.Second
	DefaultFirstByte   = 30 * time.Second
	DefaultReadTimeout = 10 * time.Second
	DefaultMaxIdle     = 15 * time.Second
	DefaultMaxConns    = 512
	DefaultMaxAnswer   = 8 << 20
	DefaultMaxEvent    = sse.DefaultMaxEvent
)

// Config holds the limits of a Client. Zero values select the defaults.
type Config struct {
	// DialTimeout bounds the opening of a connection, including TLS.
	DialTimeout time.Duration
	// FirstByte bounds the time from the first byte sent to the end of the answer's
	// header.
	FirstByte time.Duration
	// ReadTimeout bounds the time without progress: that between two reads that return data of a body,
	// or between two events of a stream.
	ReadTimeout time.Duration
	// MaxIdle is the maximum idle time of a pooled connection. A device on the network path
	// may drop the state of a connection that is idle for long.
	MaxIdle time.Duration
	// MaxConns bounds the connections to one address.
	MaxConns int
	// MaxAnswer bounds the body of one answer or stream, in bytes.
	MaxAnswer int
	// MaxEvent bounds one event of a stream with the comments before it, in bytes. A stream that exceeds
	// it is broken.
	MaxEvent int
	// TLS, if set, is used for every upstream.
	TLS *tls.Config
	// InstanceName is sent as User-Agent.
	InstanceName string
	// Incarnation returns the current incarnation of an upstream, if it is known: what an earlier one
	// asked for does not bind it. Nil if incarnations are not distinguished.
	Incarnation func(upstream string) (uint64, bool)
	// Trusted reports whether requests may be sent to an upstream. It is asked right before each one is
	// written. Nil if to all.
	Trusted func(upstream string) bool
	// OnLost is called at once when a connection to an upstream has failed during a request, an idle one was
	// found closed by it or unusable, or a new one was refused (refused is set): another process may run at its
	// address. It is called before a request is sent over another connection. Nil if that does not matter.
	OnLost func(upstream string, refused bool)
	// Links opens the connections, through another instance while the links of this one are cut. Nil if
	// all are direct.
	Links *uplink.Service
	// Instances returns how many instances send to the upstreams; nil stands for one.
	Instances func() int
	// IgnoreAsks disables the gates: what answers ask for is left to the caller.
	IgnoreAsks bool
}

func (c Config) instances() int {
	if c.Instances == nil {
		return 1
	}
	return c.Instances()
}

// lost reports the loss of a connection, or one that was refused.
func (c Config) lost(upstream string, refused bool) {
	if c.OnLost != nil {
		c.OnLost(upstream, refused)
	}
}

func (c Config) withDefaults() Config {
	setDefault(&c.DialTimeout, DefaultDialTimeout)
	setDefault(&c.FirstByte, DefaultFirstByte)
	setDefault(&c.ReadTimeout, DefaultReadTimeout)
	setDefault(&c.MaxIdle, DefaultMaxIdle)
	setDefault(&c.MaxConns, DefaultMaxConns)
	setDefault(&c.MaxAnswer, DefaultMaxAnswer)
	setDefault(&c.MaxEvent, DefaultMaxEvent)
	return c
}

func setDefault[T time.Duration | int](v *T, d T) {
	if *v <= 0 {
		*v = d
	}
}

// maxCancels bounds the concurrent cancellations. Further ones are not sent: an engine drops
// a stream that nobody reads.
const maxCancels = 64

// Client sends requests to upstreams. It is safe for concurrent use.
type Client struct {
	cfg     Config
	pool    *pool
	gates   *gates
	cancels chan struct{}
	base    context.Context
	stop    context.CancelFunc
	wg      sync.WaitGroup
}

// New returns a Client. Close ends its connections and goroutines.
func New(cfg Config) *Client {
	cfg = cfg.withDefaults()
	c := &Client{cfg: cfg, pool: newPool(cfg), gates: newGates(cfg.Incarnation), cancels: make(chan struct{}, maxCancels)}
	c.base, c.stop = context.WithCancel(context.Background())
	c.wg.Go(func() { c.pool.reap(c.base) })
	return c
}

// Close waits for running cancellations, at most until ctx ends, and closes the idle
// connections. Calls in flight are not affected.
func (c *Client) Close(ctx context.Context) error {
	for range maxCancels {
		select {
		case c.cancels <- struct{}{}:
		case <-ctx.Done():
		}
	}
	c.stop()
	c.wg.Wait()
	c.pool.close()
	return nil
}

// cancelLater sends a Cancel without blocking the caller.
func (c *Client) cancelLater(t Target, requestID string) {
	select {
	case c.cancels <- struct{}{}:
	default:
		return
	}
	go func() {
		defer func() { <-c.cancels }()
		ctx, done := context.WithTimeout(c.base, c.cfg.DialTimeout+c.cfg.ReadTimeout)
		defer done()
		// If the cancellation fails, the engine ends the stream by its own limit on unread
		// streams. There is no caller left to report the error to.
		_ = c.Cancel(ctx, t, requestID)
	}()
}
