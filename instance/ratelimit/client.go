// Package ratelimit keeps the requests of all instances together within the rates that
// upstreams name (core/ratelimit). Instances tell each other with the loads what upstreams
// named; for what they want to send there they ask the control group, whose leader holds the
// rights. Without a limit nothing is sent and nothing is asked.
package ratelimit

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/comfreyladder/comfreyladder/core/ratelimit"
	"github.com/comfreyladder/comfreyladder/instance/eventlog"
)

// ClientConfig of a Client.
type ClientConfig struct {
	Log *eventlog.Sink
}

// Client is the limits as one instance knows them. It is safe for concurrent use.
type Client struct {
	cfg ClientConfig
	// known says that the book is not empty.
	known atomic.Bool

	mu   sync.Mutex
	book *ratelimit.Book
}

// NewClient returns a client that has not started.
func NewClient(cfg ClientConfig) *Client {
	return &Client{cfg: cfg, book: ratelimit.NewBook()}
}

// Start implements kernel.Service.
func (c *Client) Start(context.Context) error { return nil }

// Stop implements kernel.Service.
func (c *Client) Stop(context.Context) error { return nil }

// Heard notes what an answer of an upstream said of its limit, zero for none, to a request that
// was sent and answered at two times of clock.Now. name is the upstream's in logs.
func (c *Client) Heard(upstream uint64, name string, perSecond float64, sent, heard time.Time) {
	if perSecond <= 0 && !c.known.Load() {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.book.Note(upstream, perSecond, sent, heard) {
		now, _ := c.book.Limit(upstream)
		c.cfg.Log.Event("upstream_limit").Str("upstream", name).Float("per_second", now).Str("told_by", "answer").End()
	}
	c.known.Store(!c.book.Empty())
}
