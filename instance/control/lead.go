package control

import (
	"context"
	"time"

	"github.com/comfreyladder/comfreyladder/core/raft"
	"github.com/comfreyladder/comfreyladder/core/raft/roster"
	"github.com/comfreyladder/comfreyladder/instance/consensus"
)

// renewEvery is how often the leader renews the configuration lease; several
// fit into the shortest lease, one second, together with the tree's steps.
const renewEvery = 250 * time.Millisecond

// leadLoop does the leader's chores while this member leads.
func (s *Service) leadLoop() {
	tended := time.Time{}
	leaderlessSince := time.Time{}
	for s.pause(renewEvery) {
		s.refreshNames()
		g := s.group.Load()
		st := g.Status()
		if st.Leader != st.ID {
			leaderlessSince = s.rejoin(g, leaderlessSince)
			continue
		}
		if s.cfg.Spread != nil {
			s.takeOver(st.Term)
			s.renew(g)
			s.found(g)
		}
		if time.Since(tended) >= joinEvery {
			tended = time.Now()
			s.tend(g, st)
		}
	}
}

// renew extends the configuration lease after a quorum confirmed this leader. A
// leader that was cut off in silence gets no confirmation, so it cannot keep an
// old configuration alive beside its successor's.
func (s *Service) renew(g *consensus.Service) {
	at := time.Now()
	ctx, cancel := context.WithTimeout(s.ctx, renewEvery)
	defer cancel()
	if _, err := g.Read(ctx); err != nil {
		return
	}
	number, data, err := s.encoded()
	if err != nil || number == 0 {
		return
	}
	// The revision goes out before the lease that calls it the newest.
	_ = s.cfg.Spread.Publish(number, data)
	s.cfg.Spread.Renew(at, s.cfg.Lease)
}

// tend gives a learner that has synced everything a vote, and removes the member
// that it replaces: the one with the same name, whose disk is gone for good.
func (s *Service) tend(g *consensus.Service, st consensus.Status) {
	ctx, cancel := context.WithTimeout(s.ctx, callTimeout)
	defer cancel()
	if s.cfg.MendMembers {
		s.mend(ctx, g, &st.Status)
		return
	}
	for _, m := range st.Members {
		if !m.Voter {
			if err := g.Promote(ctx, m.ID); err == nil {
				s.cfg.Log.Info().Str("peer", m.Name).Msg("the new disk has synced and votes")
			}
			return
		}
	}
	if old, ok := replaced(st); ok {
		if err := g.Remove(ctx, old); err == nil {
			s.cfg.Log.Info().Uint64("member", uint64(old)).Msg("the replaced disk is no member any more")
		}
	}
}

// mend makes the next change by which the group gets whole again, if any.
func (s *Service) mend(ctx context.Context, g *consensus.Service, st *raft.Status) {
	change := roster.Next(st)
	m, _ := st.Members.Get(change.ID)
	var err error
	switch change.Action {
	case roster.Promote:
		err = g.Promote(ctx, change.ID)
	case roster.Remove:
		err = g.Remove(ctx, change.ID)
	default:
		return
	}
	s.cfg.Log.Info().Err(err).Str("event", "member_change").Str("peer", m.Name).Uint64("member", uint64(m.ID)).
		Bool("votes", change.Action == roster.Promote).Uint64("term", st.Term).Msg("control group mends its membership")
}

// replaced returns a silent member that shares its name with one that is heard.
func replaced(st consensus.Status) (raft.MemberID, bool) {
	silent := map[raft.MemberID]time.Duration{}
	for _, f := range st.Followers {
		silent[f.ID] = f.Silent
	}
	for _, a := range st.Members {
		for _, b := range st.Members {
			if a.ID != b.ID && a.Name == b.Name && a.ID != st.ID && silent[a.ID] > silent[b.ID] {
				return a.ID, true
			}
		}
	}
	return 0, false
}
