package control

import (
	"context"
	"time"

	"github.com/comfreyladder/comfreyladder/core/raft"
	"github.com/comfreyladder/comfreyladder/instance/consensus"
)

// renewEvery is how often the leader renews the configuration lease; several
// fit into the shortest lease, one second, together with the tree's steps.
const renewEvery = 250 * time.Millisecond

// leadLoop does the leader's chores while this member leads.
func (s *Service) leadLoop() {
	tended := time.Time{}
	for s.pause(renewEvery) {
		s.refreshNames()
		g := s.group.Load()
		st := g.Status()
		if st.Leader != st.ID {
			continue
		}
		s.takeOver(st.Term)
		s.renew(g)
		s.found(g)
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
