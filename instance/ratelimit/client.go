// Package ratelimit keeps the requests of all instances together within the rate limits that upstreams
// announce (core/ratelimit). Instances exchange the announced limits with their load reports. To send
// requests to a limited upstream they request tokens from the control group, whose leader allocates
// them. While no upstream announces a limit, nothing is sent or requested.
package ratelimit

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/comfreyladder/comfreyladder/core/ratelimit"
	"github.com/comfreyladder/comfreyladder/instance/clock"
	"github.com/comfreyladder/comfreyladder/instance/eventlog"
)

// ChannelTokens is the link channel that carries a Request to a member of the control group, and its
// Response.
const ChannelTokens = "ratelimit.rights"

// ChannelWarmUp is the link channel that carries the same messages for permits to send requests to
// cold upstreams.
const ChannelWarmUp = "warmup.permits"

// Request requests tokens: permissions to send requests to upstreams.
type Request struct {
	Demands []ratelimit.Demand `codec:"w"`
	// Forwarded reports that a member forwarded the request to the leader.
	Forwarded bool `codec:"f,omitempty"`
}

// Response holds the granted tokens.
type Response struct {
	Grants []ratelimit.Grant `codec:"g,omitempty"`
}

// Caller is the part of instance/link that a Client uses.
type Caller interface {
	Call(ctx context.Context, to, channel string, req, resp any) error
}

// ClientConfig holds the settings of a Client.
type ClientConfig struct {
	Links Caller
	// Members returns the members of the control group, the preferred one first.
	Members func() []string
	// Forwarders returns the number of instances that forward requests.
	Forwarders func() int
	// UpstreamExists reports whether an upstream is still known.
	UpstreamExists func(upstream uint64) bool
	Log            *eventlog.Sink
	// Channel and Lifetime are those of the tokens; empty and zero mean ChannelTokens and
	// ratelimit.TokenLifetime.
	Channel  string
	Lifetime time.Duration
}

const (
	// requestInterval is the minimum time between two requests of an instance. Each instance adds
	// requestIntervalPerInstance to it, so that all together send the leader some hundred requests a
	// second.
	requestInterval, requestIntervalPerInstance = 50 * time.Millisecond, 2 * time.Millisecond
	// requestTimeout bounds a request: a member that is cut off does not answer.
	requestTimeout = 500 * time.Millisecond
	// localAfter is the time without an answer after which an instance uses its own share of the limits.
	localAfter = time.Second
	// pruneInterval is the time between two removals of upstreams that are gone.
	pruneInterval = 2 * time.Second
)

// Client holds the limits known to one instance and its tokens. It is safe for concurrent use.
type Client struct {
	cfg    ClientConfig
	cancel context.CancelFunc
	done   sync.WaitGroup
	wake   chan struct{}
	// hasLimits reports whether the tracker is not empty.
	hasLimits atomic.Bool

	mu      sync.Mutex
	tracker *ratelimit.Tracker
	tokens  *ratelimit.TokenStore
	// localAllocator allocates this instance's share while no member answers. unansweredSince is when that
	// began, zero while a member answers.
	localAllocator  *ratelimit.Allocator
	unansweredSince time.Time
}

// NewClient returns a client that is not started.
func NewClient(cfg ClientConfig) *Client {
	if cfg.Channel == "" {
		cfg.Channel, cfg.Lifetime = ChannelTokens, ratelimit.TokenLifetime
	}
	return &Client{cfg: cfg, wake: make(chan struct{}, 1), tracker: ratelimit.NewTracker(), tokens: ratelimit.NewTokenStoreFor(cfg.Lifetime)}
}

// Start implements kernel.Service.
func (c *Client) Start(context.Context) error {
	ctx, cancel := context.WithCancel(context.Background())
	c.cancel = cancel
	c.done.Go(func() { c.run(ctx) })
	return nil
}

// Stop implements kernel.Service.
func (c *Client) Stop(context.Context) error {
	if c.cancel != nil {
		c.cancel()
		c.done.Wait()
	}
	return nil
}

// RecordLimit records the limit that an upstream announced in an answer, zero for none. sent and heard
// are the times of clock.Now at which the request was sent and answered. name identifies the upstream
// in logs.
func (c *Client) RecordLimit(upstream uint64, name string, perSecond float64, sent, heard time.Time) {
	if perSecond <= 0 && !c.hasLimits.Load() {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.tracker.Record(upstream, perSecond, sent, heard) {
		now, _ := c.tracker.Limit(upstream)
		c.cfg.Log.Event("upstream_limit").Str("upstream", name).Float("per_second", now).End()
	}
	c.hasLimits.Store(!c.tracker.Empty())
}

// Statements returns the announced limits for other instances, or nil if there are none.
func (c *Client) Statements() []ratelimit.Statement {
	if !c.hasLimits.Load() {
		return nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.tracker.Statements(clock.Now())
}

// Merge merges the limits that were announced to other instances.
func (c *Client) Merge(list []ratelimit.Statement) {
	if len(list) == 0 {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.tracker.Merge(clock.Now(), list)
	c.hasLimits.Store(!c.tracker.Empty())
}

// HasLimits reports whether any upstream announces a limit.
func (c *Client) HasLimits() bool { return c.hasLimits.Load() }

// Limit returns the limit that an upstream announces, if any.
func (c *Client) Limit(upstream uint64) (perSecond float64, limited bool) {
	if !c.hasLimits.Load() {
		return 0, false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.tracker.Limit(upstream)
}

// Available reports whether this instance has a token for a limited upstream.
func (c *Client) Available(upstream uint64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.tokens.Available(clock.Now(), upstream)
}

// Use uses a token for a limited upstream and reports whether there was one. It also requests another
// one, since the next request will mostly go to the same upstream.
func (c *Client) Use(upstream uint64, urgency int) bool {
	_, ok := c.UseUntil(upstream, urgency)
	return ok
}

// UseUntil is Use and returns until when, by clock.Now, the request may be sent.
func (c *Client) UseUntil(upstream uint64, urgency int) (until time.Time, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if until, ok = c.tokens.UseUntil(clock.Now(), upstream); ok {
		c.addDemand(upstream, urgency)
	}
	return until, ok
}

// ReturnUntil returns the token of a request that was not sent, which keeps its expiry time.
func (c *Client) ReturnUntil(upstream uint64, until time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.tokens.Return(upstream, until)
}

// AddDemand records that a request of the given urgency would go to a limited upstream.
func (c *Client) AddDemand(upstream uint64, urgency int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.addDemand(upstream, urgency)
}

// addDemand implements AddDemand. The caller must hold mu.
func (c *Client) addDemand(upstream uint64, urgency int) {
	c.tokens.AddDemand(upstream, urgency)
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// ReturnToken returns the token of a request that was not sent.
func (c *Client) ReturnToken(upstream uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.tokens.Add(clock.Now(), []ratelimit.Grant{{Upstream: upstream, Count: 1}})
}

func (c *Client) run(ctx context.Context) {
	ticker := time.NewTicker(pruneInterval)
	defer ticker.Stop()
	for {
		select {
		case <-c.wake:
			c.requestTokens(ctx)
			clock.Sleep(ctx, requestInterval+requestIntervalPerInstance*time.Duration(c.cfg.Forwarders()))
		case <-ticker.C:
			c.prune()
		case <-ctx.Done():
			return
		}
	}
}

func (c *Client) prune() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.tracker.Prune(clock.Now(), c.cfg.UpstreamExists)
	c.hasLimits.Store(!c.tracker.Empty())
}

// requestTokens sends one request to a member.
func (c *Client) requestTokens(ctx context.Context) {
	c.mu.Lock()
	demands := c.tokens.DrainDemands()
	c.mu.Unlock()
	if len(demands) == 0 {
		return
	}
	requestedAt := clock.Now()
	var a Response
	err := errNoMember
	if members := c.cfg.Members(); len(members) > 0 {
		ctx, cancel := context.WithTimeout(ctx, requestTimeout)
		defer cancel()
		err = c.cfg.Links.Call(ctx, members[0], c.cfg.Channel, &Request{Demands: demands}, &a)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if err != nil {
		a.Grants = c.localTokens(requestedAt, demands)
	} else {
		c.unansweredSince, c.localAllocator = time.Time{}, nil
	}
	c.tokens.Add(requestedAt, a.Grants)
}

// localTokens allocates this instance's share of the limits once no member has answered for localAfter.
// The caller must hold mu.
func (c *Client) localTokens(now time.Time, demands []ratelimit.Demand) []ratelimit.Grant {
	if c.unansweredSince.IsZero() {
		c.unansweredSince = now
	}
	if now.Sub(c.unansweredSince) < localAfter {
		return nil
	}
	if c.localAllocator == nil {
		c.localAllocator = ratelimit.NewAllocator()
	}
	request := &ratelimit.TokenRequest{Demands: demands}
	c.localAllocator.Allocate(clock.Now(), limitShare{c.tracker, float64(max(1, c.cfg.Forwarders()))}, []*ratelimit.TokenRequest{request})
	return request.Grants
}

// limitShare divides the limits of a tracker by the number of instances.
type limitShare struct {
	*ratelimit.Tracker
	instances float64
}

// Limit implements ratelimit.Limits.
func (p limitShare) Limit(upstream uint64) (perSecond float64, limited bool) {
	perSecond, limited = p.Tracker.Limit(upstream)
	return perSecond / p.instances, limited
}
