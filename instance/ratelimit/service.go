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

// Links is what a Service needs of instance/link.
type Links interface {
	Caller
	Handle(channel string, h link.Handler, options ...link.ChannelOption)
}

// Config of a Service.
type Config struct {
	// Replica returns the member of the control group that runs here, or nil.
	Replica func() *consensus.Service
	Links   Links
	// Limits tells the limits as this member knows them.
	Limits ratelimit.Limits
}

const (
	// holdFor is for how long a question waits for the first right, and serveEvery the time
	// between two looks whether there are some.
	holdFor    = 150 * time.Millisecond
	serveEvery = 20 * time.Millisecond
	// leaderTimeout bounds a question that is passed on to the leader.
	leaderTimeout = 350 * time.Millisecond
)

// Service hands out rights at the leader of the control group; other members pass questions on
// to it. It is safe for concurrent use.
type Service struct {
	cfg Config

	mu sync.Mutex
	// holder is that of a term, which this member has led since.
	holder *ratelimit.Allocator
	term   uint64
	since  time.Time
	// waiting are the questions that have got nothing yet.
	waiting []*ratelimit.TokenRequest
}

// New returns a service; it registers its channel.
func New(cfg Config) *Service {
	s := &Service{cfg: cfg}
	cfg.Links.Handle(ChannelTokens, s.answer)
	return s
}

// Start implements kernel.Service.
func (s *Service) Start(context.Context) error { return nil }

// Stop implements kernel.Service.
func (s *Service) Stop(context.Context) error { return nil }

func (s *Service) answer(ctx context.Context, _ string, msg link.Message) (any, error) {
	var q Request
	if err := msg.Decode(&q); err != nil {
		return nil, err
	}
	g := s.cfg.Replica()
	if g == nil {
		return nil, errNoMember
	}
	st := g.Status()
	if st.Role == raft.Leader {
		return s.serve(ctx, &st, &q), nil
	}
	leader := slices.IndexFunc(st.Members, func(m raft.Member) bool { return m.ID == st.Leader })
	if leader < 0 || q.Forwarded {
		return nil, errNoLeader
	}
	q.Forwarded = true
	ctx, cancel := context.WithTimeout(ctx, leaderTimeout)
	defer cancel()
	var a Response
	return &a, s.cfg.Links.Call(ctx, st.Members[leader].Name, ChannelTokens, &q, &a)
}

var errNoLeader = fault.New(fault.Unavailable, "the control group has no leader that is known here").WithRetryAfter(time.Second)

// serve holds a question until it gets a first right, or for holdFor.
func (s *Service) serve(ctx context.Context, st *consensus.Status, q *Request) *Response {
	a := &ratelimit.TokenRequest{Demands: q.Demands}
	s.enter(st, a)
	until := clock.Now().Add(holdFor)
	for !s.handOut(a, !clock.Now().Before(until)) {
		if !clock.Sleep(ctx, serveEvery) {
			s.handOut(a, true)
			break
		}
	}
	return &Response{Grants: a.Grants}
}

// enter puts a question among those that wait. What a leader before this one handed out may
// still be used for a while: nothing is handed out until that is over.
func (s *Service) enter(st *consensus.Status, a *ratelimit.TokenRequest) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.holder == nil || s.term != st.Term {
		s.holder, s.term, s.since = ratelimit.NewAllocator(), st.Term, clock.Now()
	}
	s.waiting = append(s.waiting, a)
}

// handOut serves all that wait. Once one of them has got something, or waits no longer, it
// gets nothing more and handOut returns true.
func (s *Service) handOut(a *ratelimit.TokenRequest, ends bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := clock.Now()
	if now.Sub(s.since) >= ratelimit.TokenLifetime {
		s.holder.Allocate(now, s.cfg.Limits, s.waiting)
	}
	if !ends && len(a.Grants) == 0 {
		return false
	}
	s.waiting = slices.DeleteFunc(s.waiting, func(other *ratelimit.TokenRequest) bool { return other == a })
	return true
}
