package ratelimit

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/comfreyladder/comfreyladder/core/fault"
	"github.com/comfreyladder/comfreyladder/core/raft"
	"github.com/comfreyladder/comfreyladder/core/ratelimit"
	"github.com/comfreyladder/comfreyladder/instance/clock"
	"github.com/comfreyladder/comfreyladder/instance/consensus"
	"github.com/comfreyladder/comfreyladder/instance/link"
)

var errNoMember error = fault.New(fault.Unavailable, "no member of the control group is known").WithRetryAfter(time.Second)

// Links is the part of instance/link that a Service uses.
type Links interface {
	Caller
	Handle(channel string, h link.Handler, options ...link.ChannelOption)
}

// Config holds the settings of a Service.
type Config struct {
	// Replica returns the control group member that runs on this instance, or nil.
	Replica func() *consensus.Service
	Links   Links
	// Limits returns the limits as known to this member.
	Limits ratelimit.Limits
	// Channel is the channel of the requests; empty means ChannelTokens.
	Channel string
}

const (
	// maxWait is how long a request waits for its first token. allocateInterval is the time between two
	// allocations.
	maxWait          = 150 * time.Millisecond
	allocateInterval = 20 * time.Millisecond
	// leaderTimeout bounds a request that is forwarded to the leader.
	leaderTimeout = 350 * time.Millisecond
	// successorWait is the time for which a new leader allocates nothing. The last confirmation
	// of its predecessor is older than its election, but may have served requests that came up to
	// maxConfirmationAge later.
	successorWait = ratelimit.TokenLifetime + maxConfirmationAge
)

// Service allocates tokens on the leader of the control group; other members forward requests to it. It
// is safe for concurrent use.
type Service struct {
	cfg        Config
	leadership *leadership

	mu sync.Mutex
	// allocator is the allocator of a term, in which this member has led since leaderSince.
	allocator   *ratelimit.Allocator
	term        uint64
	leaderSince time.Time
	// waiting are the requests without a token so far.
	waiting []*ratelimit.TokenRequest
}

// New returns a service and registers its channel.
func New(cfg Config) *Service {
	if cfg.Channel == "" {
		cfg.Channel = ChannelTokens
	}
	s := &Service{cfg: cfg, leadership: newLeadership()}
	cfg.Links.Handle(cfg.Channel, s.handle)
	return s
}

// Start implements kernel.Service.
func (s *Service) Start(context.Context) error { return nil }

// Stop implements kernel.Service.
func (s *Service) Stop(context.Context) error { return nil }

func (s *Service) handle(ctx context.Context, _ string, msg link.Message) (any, error) {
	var q Request
	if err := msg.Decode(&q); err != nil {
		return nil, err
	}
	return s.Ask(ctx, &q)
}

// Ask serves a request of this instance itself or of another one. It returns no tokens with an error.
func (s *Service) Ask(ctx context.Context, q *Request) (*Response, error) {
	g := s.cfg.Replica()
	if g == nil {
		return nil, errNoMember
	}
	st := g.Status()
	if st.Role == raft.Leader {
		if err := s.leadership.confirm(ctx, g, st.Term); err != nil {
			return nil, err
		}
		return s.serve(ctx, &st, q), nil
	}
	leader := slices.IndexFunc(st.Members, func(m raft.Member) bool { return m.ID == st.Leader })
	if leader < 0 || q.Forwarded {
		return nil, errNoLeader
	}
	q.Forwarded = true
	ctx, cancel := context.WithTimeout(ctx, leaderTimeout)
	defer cancel()
	var a Response
	return &a, s.cfg.Links.Call(ctx, st.Members[leader].Name, s.cfg.Channel, q, &a)
}

var errNoLeader = fault.New(fault.Unavailable, "this member knows no leader of the control group").WithRetryAfter(time.Second)

// serve holds a request until it gets its first tokens, or for maxWait.
func (s *Service) serve(ctx context.Context, st *consensus.Status, q *Request) *Response {
	a := &ratelimit.TokenRequest{Demands: q.Demands}
	s.enqueue(st, a)
	until := clock.Now().Add(maxWait)
	for !s.allocate(a, !clock.Now().Before(until)) {
		if !clock.Sleep(ctx, allocateInterval) {
			s.allocate(a, true)
			break
		}
	}
	return &Response{Grants: a.Grants}
}

// enqueue adds a request to those that wait. Tokens of the previous leader may still be in use for
// successorWait: allocate grants nothing before that time is over.
func (s *Service) enqueue(st *consensus.Status, a *ratelimit.TokenRequest) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.allocator == nil || s.term != st.Term {
		s.allocator, s.term, s.leaderSince = ratelimit.NewAllocator(), st.Term, clock.Now()
	}
	s.waiting = append(s.waiting, a)
}

// allocate allocates tokens to all requests that wait. Once the given request has tokens or has timed
// out, it is removed from them and allocate returns true.
func (s *Service) allocate(a *ratelimit.TokenRequest, timedOut bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := clock.Now()
	if now.Sub(s.leaderSince) >= successorWait {
		s.allocator.Allocate(now, s.cfg.Limits, s.waiting)
	}
	if !timedOut && len(a.Grants) == 0 {
		return false
	}
	s.waiting = slices.DeleteFunc(s.waiting, func(other *ratelimit.TokenRequest) bool { return other == a })
	return true
}
