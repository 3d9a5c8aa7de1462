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
	// inForcePollInterval is the interval at which the leader checks whether a revision is in
	// force. A check reads memory only.
	inForcePollInterval = 2 * time.Millisecond
	// inForceMaxWait is how long a request is held before it is answered with "not yet",
	// and inForceCallMargin how long the call may take in addition.
	inForceMaxWait    = time.Second
	inForceCallMargin = time.Second
	// inForceRetryPause is the pause after a failed request.
	inForceRetryPause = 20 * time.Millisecond
)

// inForceRequest asks the leader whether a revision is in force everywhere. While it is
// not, the leader holds the request for up to inForceMaxWait.
type inForceRequest struct {
	Revision uint64 `codec:"r"`
	// Relayed is set by a member that forwards the request to the leader.
	Relayed bool `codec:"y,omitempty"`
}

type inForceAnswer struct {
	InForce bool `codec:"f"`
}

// awaitInForce waits until every instance has applied the revision or knows that it is
// cut off, which the leader derives from the leases that it granted. If the leader
// cannot be reached, awaitInForce waits for a whole lease, after which the same holds:
// the leader renews the lease only together with the newest revision. Within that time
// it also waits until this instance has applied the revision, so that an operator's
// next plan is based on it.
func (s *Service) awaitInForce(ctx context.Context, number uint64) {
	ctx, cancel := context.WithTimeout(ctx, s.cfg.Lease)
	defer cancel()
	for ctx.Err() == nil {
		inForce, err := s.askInForce(ctx, inForceRequest{Revision: number})
		if inForce {
			break
		}
		if err != nil {
			clock.Sleep(ctx, inForceRetryPause)
		}
	}
	for ctx.Err() == nil && !s.cfg.Spread.HasApplied(number) {
		clock.Sleep(ctx, inForcePollInterval)
	}
}

// askInForce asks the leader, through a member if this instance holds no control state.
func (s *Service) askInForce(ctx context.Context, q inForceRequest) (bool, error) {
	ctx, cancel := context.WithTimeout(ctx, inForceMaxWait+inForceCallMargin)
	defer cancel()
	g := s.group.Load()
	var a inForceAnswer
	if g == nil {
		err := s.ask(ctx, channelInForce, q, &a)
		return a.InForce, err
	}
	st := g.Status()
	if st.Leader == st.ID {
		return s.awaitInForceOnLeader(ctx, g, q.Revision)
	}
	if st.Leader == 0 || q.Relayed {
		return false, fault.New(fault.NotRun, "this member is not the leader")
	}
	q.Relayed = true
	err := s.cfg.Links.Call(ctx, s.Leader(), channelInForce, q, &a)
	return a.InForce, err
}

// awaitInForceOnLeader waits on the leader until the revision is in force, for up to inForceMaxWait.
func (s *Service) awaitInForceOnLeader(ctx context.Context, g *consensus.Service, number uint64) (bool, error) {
	ctx, cancel := context.WithTimeout(ctx, inForceMaxWait)
	defer cancel()
	for ctx.Err() == nil {
		st := g.Status()
		if st.Leader != st.ID {
			return false, fault.New(fault.NotRun, "this member is no longer the leader")
		}
		if s.ledTerm.Load() == st.Term && s.cfg.Spread.InForce(number) {
			return true, nil
		}
		clock.Sleep(ctx, inForcePollInterval)
	}
	return false, nil
}

func (s *Service) receiveInForce(ctx context.Context, _ string, m link.Message) (any, error) {
	var q inForceRequest
	if err := m.Decode(&q); err != nil {
		return nil, err
	}
	if s.group.Load() == nil {
		return nil, fault.New(fault.NotRun, "this instance holds no control state")
	}
	inForce, err := s.askInForce(ctx, q)
	return inForceAnswer{InForce: inForce}, err
}

// becomeTreeRoot makes this instance the root of the distribution tree for a term that it
// leads. It does not know which leases an earlier leader granted, so a confirm waits
// until they have expired; otherwise a confirm could return while a failure domain
// unknown to the new leader still serves the old revision as the newest. The first
// leader after the founding has no predecessor.
func (s *Service) becomeTreeRoot(term uint64) {
	if s.ledTerm.Load() == term {
		return
	}
	s.cfg.Spread.BecomeRoot(s.cfg.Lease, term == raft.FoundingTerm+1)
	s.ledTerm.Store(term)
}
