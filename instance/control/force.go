package control

import (
	"context"
	"time"

	"github.com/comfreyladder/comfreyladder/core/fault"
	"github.com/comfreyladder/comfreyladder/core/raft"
	"github.com/comfreyladder/comfreyladder/instance/clock"
	"github.com/comfreyladder/comfreyladder/instance/consensus"
	"github.com/comfreyladder/comfreyladder/instance/link"
)

const (
	// forcePoll is how often the leader looks whether a revision is in force. It
	// reads memory only.
	forcePoll = 2 * time.Millisecond
	// forceHold is how long a question is held before it is answered with "not
	// yet", and forceMargin what the call may take on top.
	forceHold   = time.Second
	forceMargin = time.Second
	// forceRetry is the pause after a question that nobody could answer.
	forceRetry = 20 * time.Millisecond
)

// forceRequest asks the leader whether a revision is in force everywhere. The
// answer is held back for forceHold while it is not.
type forceRequest struct {
	Revision uint64 `codec:"r"`
	// Relayed is set by a member that hands the question to the leader.
	Relayed bool `codec:"y,omitempty"`
}

type forceAnswer struct {
	InForce bool `codec:"f"`
}

// awaitForce waits until every instance acts on the revision or knows that it is
// cut off, which the leader knows from the leases that it gave. Should it not be
// reached, a whole lease is waited out, after which the same holds: the leader
// renews the lease only together with the newest revision. This instance itself
// has to follow in any case, so that an operator's next plan is made on it.
func (s *Service) awaitForce(ctx context.Context, number uint64) {
	ctx, cancel := context.WithTimeout(ctx, s.cfg.Lease)
	defer cancel()
	for ctx.Err() == nil {
		inForce, err := s.askForce(ctx, forceRequest{Revision: number})
		if inForce {
			break
		}
		if err != nil {
			clock.Sleep(ctx, forceRetry)
		}
	}
	for ctx.Err() == nil && !s.cfg.Spread.Acts(number) {
		clock.Sleep(ctx, forcePoll)
	}
}

// askForce has the leader answer, by way of a member if it is not known here.
func (s *Service) askForce(ctx context.Context, q forceRequest) (bool, error) {
	ctx, cancel := context.WithTimeout(ctx, forceHold+forceMargin)
	defer cancel()
	g := s.group.Load()
	var a forceAnswer
	if g == nil {
		err := s.ask(ctx, channelForce, q, &a)
		return a.InForce, err
	}
	st := g.Status()
	if st.Leader == st.ID {
		return s.holdForce(ctx, g, q.Revision)
	}
	if st.Leader == 0 || q.Relayed {
		return false, fault.New(fault.NotRun, "this member does not lead")
	}
	q.Relayed = true
	err := s.cfg.Links.Call(ctx, s.Leader(), channelForce, q, &a)
	return a.InForce, err
}

// holdForce waits until the revision is in force, as the leader sees it.
func (s *Service) holdForce(ctx context.Context, g *consensus.Service, number uint64) (bool, error) {
	ctx, cancel := context.WithTimeout(ctx, forceHold)
	defer cancel()
	for ctx.Err() == nil {
		st := g.Status()
		if st.Leader != st.ID {
			return false, fault.New(fault.NotRun, "this member does not lead any more")
		}
		if s.ledTerm.Load() == st.Term && s.cfg.Spread.InForce(number) {
			return true, nil
		}
		clock.Sleep(ctx, forcePoll)
	}
	return false, nil
}

func (s *Service) receiveForce(ctx context.Context, _ string, m link.Message) (any, error) {
	var q forceRequest
	if err := m.Decode(&q); err != nil {
		return nil, err
	}
	if s.group.Load() == nil {
		return nil, fault.New(fault.NotRun, "this instance holds no control state")
	}
	inForce, err := s.askForce(ctx, q)
	return forceAnswer{InForce: inForce}, err
}

// takeOver makes this instance the root of the tree for a term that it leads. It
// cannot know which leases an earlier leader gave, so a confirm waits them out;
// without that, a confirm could return while a failure domain that the new leader
// never heard of serves by the old revision as if it were the newest. The first
// leader after the founding has no predecessor.
func (s *Service) takeOver(term uint64) {
	if s.ledTerm.Load() == term {
		return
	}
	s.cfg.Spread.TakeOver(s.cfg.Lease, term == raft.FoundingTerm+1)
	s.ledTerm.Store(term)
}
