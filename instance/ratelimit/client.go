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
	"github.com/comfreyladder/comfreyladder/instance/clock"
	"github.com/comfreyladder/comfreyladder/instance/eventlog"
)

// ChannelTokens carries a Question to a member of the control group, and an Answer.
const ChannelTokens = "ratelimit.rights"

// Request asks for the right to send requests to upstreams.
type Request struct {
	Demands []ratelimit.Demand `codec:"w"`
	// Forwarded says that a member asks the leader.
	Forwarded bool `codec:"f,omitempty"`
}

// Response is what was granted.
type Response struct {
	Grants []ratelimit.Grant `codec:"g,omitempty"`
}

// Caller is what this package needs of instance/link to ask.
type Caller interface {
	Call(ctx context.Context, to, channel string, req, resp any) error
}

// ClientConfig of a Client.
type ClientConfig struct {
	Links Caller
	// Members returns the members of the control group, the one to ask first at the front.
	Members func() []string
	// Forwarders returns how many instances forward requests.
	Forwarders func() int
	// UpstreamExists reports whether an upstream is still known.
	UpstreamExists func(upstream uint64) bool
	Log            *eventlog.Sink
}

const (
	// askEvery is the least time between two questions of an instance, and askEach what each
	// instance adds to it, so that all together ask the leader some hundred times a second.
	askEvery, askEach = 50 * time.Millisecond, 2 * time.Millisecond
	// askTimeout bounds a question: a member that is cut off answers nothing.
	askTimeout = 500 * time.Millisecond
	// aloneAfter is after what time without an answer an instance goes by its part alone.
	aloneAfter = time.Second
	// forgetEvery is the time between two looks for upstreams that are gone.
	forgetEvery = 2 * time.Second
)

// Client is the limits as one instance knows them, and its rights. It is safe for concurrent
// use.
type Client struct {
	cfg    ClientConfig
	cancel context.CancelFunc
	done   sync.WaitGroup
	wake   chan struct{}
	// known says that the book is not empty.
	known atomic.Bool

	mu     sync.Mutex
	book   *ratelimit.Tracker
	wallet *ratelimit.TokenStore
	// alone hands out this instance's part while no member answers; unanswered is since when
	// that is, zero while one does.
	alone      *ratelimit.Allocator
	unanswered time.Time
}

// NewClient returns a client that has not started.
func NewClient(cfg ClientConfig) *Client {
	return &Client{cfg: cfg, wake: make(chan struct{}, 1), book: ratelimit.NewTracker(), wallet: ratelimit.NewTokenStore()}
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

// RecordLimit notes what an answer of an upstream said of its limit, zero for none, to a request that
// was sent and answered at two times of clock.Now. name is the upstream's in logs.
func (c *Client) RecordLimit(upstream uint64, name string, perSecond float64, sent, heard time.Time) {
	if perSecond <= 0 && !c.known.Load() {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.book.Record(upstream, perSecond, sent, heard) {
		now, _ := c.book.Limit(upstream)
		c.cfg.Log.Event("upstream_limit").Str("upstream", name).Float("per_second", now).End()
	}
	c.known.Store(!c.book.Empty())
}

// Statements returns what upstreams named, for other instances; nil for nothing.
func (c *Client) Statements() []ratelimit.Statement {
	if !c.known.Load() {
		return nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.book.Statements(clock.Now())
}

// Merge takes in what others were told.
func (c *Client) Merge(list []ratelimit.Statement) {
	if len(list) == 0 {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.book.Merge(clock.Now(), list)
	c.known.Store(!c.book.Empty())
}

// HasLimits reports whether any upstream names a limit.
func (c *Client) HasLimits() bool { return c.known.Load() }

// Limit returns the limit that an upstream names, if it does.
func (c *Client) Limit(upstream uint64) (perSecond float64, limited bool) {
	if !c.known.Load() {
		return 0, false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.book.Limit(upstream)
}

// Available reports whether this instance may send a request to a limited upstream now.
func (c *Client) Available(upstream uint64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.wallet.Available(clock.Now(), upstream)
}

// Use uses the right to send a request to a limited upstream, and reports whether there was
// one. It asks for another: what comes next would mostly go there as well.
func (c *Client) Use(upstream uint64, urgency int) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.wallet.Use(clock.Now(), upstream) {
		return false
	}
	c.want(upstream, urgency)
	return true
}

// AddDemand notes that a request of an urgency would go to a limited upstream.
func (c *Client) AddDemand(upstream uint64, urgency int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.want(upstream, urgency)
}

// want needs mu.
func (c *Client) want(upstream uint64, urgency int) {
	c.wallet.AddDemand(upstream, urgency)
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// ReturnToken gives back the right to send a request that did not leave.
func (c *Client) ReturnToken(upstream uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.wallet.Add(clock.Now(), []ratelimit.Grant{{Upstream: upstream, Count: 1}})
}

func (c *Client) run(ctx context.Context) {
	ticker := time.NewTicker(forgetEvery)
	defer ticker.Stop()
	for {
		select {
		case <-c.wake:
			c.ask(ctx)
			clock.Sleep(ctx, askEvery+askEach*time.Duration(c.cfg.Forwarders()))
		case <-ticker.C:
			c.forget()
		case <-ctx.Done():
			return
		}
	}
}

func (c *Client) forget() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.book.Prune(clock.Now(), c.cfg.UpstreamExists)
	c.known.Store(!c.book.Empty())
}

// ask puts one question to a member.
func (c *Client) ask(ctx context.Context) {
	c.mu.Lock()
	wants := c.wallet.DrainDemands()
	c.mu.Unlock()
	if len(wants) == 0 {
		return
	}
	asked := clock.Now()
	var a Response
	err := errNoMember
	if members := c.cfg.Members(); len(members) > 0 {
		ctx, cancel := context.WithTimeout(ctx, askTimeout)
		defer cancel()
		err = c.cfg.Links.Call(ctx, members[0], ChannelTokens, &Request{Demands: wants}, &a)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if err != nil {
		a.Grants = c.ownPart(asked, wants)
	} else {
		c.unanswered, c.alone = time.Time{}, nil
	}
	c.wallet.Add(asked, a.Grants)
}

// ownPart returns what this instance may send by itself: its part of what upstreams take, once
// no member has answered for a while. It needs mu.
func (c *Client) ownPart(now time.Time, wants []ratelimit.Demand) []ratelimit.Grant {
	if c.unanswered.IsZero() {
		c.unanswered = now
	}
	if now.Sub(c.unanswered) < aloneAfter {
		return nil
	}
	if c.alone == nil {
		c.alone = ratelimit.NewAllocator()
	}
	own := &ratelimit.TokenRequest{Demands: wants}
	c.alone.Allocate(clock.Now(), part{c.book, float64(max(1, c.cfg.Forwarders()))}, []*ratelimit.TokenRequest{own})
	return own.Grants
}

// part is a part of the limits of a book.
type part struct {
	*ratelimit.Tracker
	of float64
}

// Limit implements ratelimit.Limits.
func (p part) Limit(upstream uint64) (perSecond float64, limited bool) {
	perSecond, limited = p.Tracker.Limit(upstream)
	return perSecond / p.of, limited
}
