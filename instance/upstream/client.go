// Package upstream is the HTTP client towards upstreams. It differs from a
// general client in three ways. It never resends: each call is one attempt on
// one connection, and a failed attempt says what is proved about it (Evidence).
// It compares the ID of each answer with the ID of its request, so that an
// answer that came late or crossed reaches nobody else's caller. And it takes an
// answer for whole only by its end marker or its stated length.
package upstream

import (
	"context"
	"crypto/tls"
	"sync"
	"time"
)

// Target is where a request goes.
type Target struct {
	// Name is the upstream's name; it stands in errors.
	Name string
	// Address is an IP number with a port.
	Address string
}

// Defaults of Config. The time limits are chosen against the service levels: a
// first token is wanted within about 1.4 s and gaps of tens of milliseconds, so
// that seconds of silence mean a lost connection and not a slow engine.
const (
	DefaultDialTimeout = time.Second
	DefaultFirstByte   = 30 * time.Second
	DefaultMaxSilence  = 10 * time.Second
	DefaultMaxIdle     = 15 * time.Second
	DefaultMaxConns    = 512
	DefaultMaxAnswer   = 8 << 20
)

// Config holds the limits of a Client. Zero values take the defaults.
type Config struct {
	// DialTimeout bounds the opening of a connection, TLS included.
	DialTimeout time.Duration
	// FirstByte bounds the time from the first byte sent to the end of the
	// answer's header.
	FirstByte time.Duration
	// MaxSilence bounds the time between two reads that bring bytes.
	MaxSilence time.Duration
	// MaxIdle is the greatest idle age of a pooled connection. Something
	// between the two ends may forget a connection that is idle for long.
	MaxIdle time.Duration
	// MaxConns bounds the connections to one address.
	MaxConns int
	// MaxAnswer bounds the body of one answer or stream, in bytes.
	MaxAnswer int
	// TLS, if set, is used for every upstream.
	TLS *tls.Config
	// InstanceName is sent as User-Agent.
	InstanceName string
}

func (c Config) withDefaults() Config {
	setDefault(&c.DialTimeout, DefaultDialTimeout)
	setDefault(&c.FirstByte, DefaultFirstByte)
	setDefault(&c.MaxSilence, DefaultMaxSilence)
	setDefault(&c.MaxIdle, DefaultMaxIdle)
	setDefault(&c.MaxConns, DefaultMaxConns)
	setDefault(&c.MaxAnswer, DefaultMaxAnswer)
	return c
}

func setDefault[T time.Duration | int](v *T, d T) {
	if *v <= 0 {
		*v = d
	}
}

// maxCancels bounds the cancellations that are on their way at a time. One that
// finds no room is left out: an engine drops a stream that nobody reads.
const maxCancels = 64

// Client sends requests to upstreams. It is safe for concurrent use.
type Client struct {
	cfg     Config
	pool    *pool
	cancels chan struct{}
	base    context.Context
	stop    context.CancelFunc
	wg      sync.WaitGroup
}

// New returns a Client; Close it to end its connections and goroutines.
func New(cfg Config) *Client {
	cfg = cfg.withDefaults()
	c := &Client{cfg: cfg, pool: newPool(cfg), cancels: make(chan struct{}, maxCancels)}
	c.base, c.stop = context.WithCancel(context.Background())
	c.wg.Go(func() { c.pool.reap(c.base) })
	return c
}

// Close waits for cancellations that are on their way, at most until ctx ends,
// then closes the idle connections. Calls in flight are not touched.
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

// cancelLater sends a Cancel without holding up the caller.
func (c *Client) cancelLater(t Target, requestID string) {
	select {
	case c.cancels <- struct{}{}:
	default:
		return
	}
	go func() {
		defer func() { <-c.cancels }()
		ctx, done := context.WithTimeout(c.base, c.cfg.DialTimeout+c.cfg.MaxSilence)
		defer done()
		// A cancellation that fails costs only the engine's own limit on
		// unread streams; there is nobody left to tell.
		_ = c.Cancel(ctx, t, requestID)
	}()
}
