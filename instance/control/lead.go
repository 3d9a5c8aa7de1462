package control

import (
	"context"
	"time"

	"github.com/comfreyladder/comfreyladder/core/raft"
	"github.com/comfreyladder/comfreyladder/core/raft/roster"
	"github.com/comfreyladder/comfreyladder/instance/clock"
	"github.com/comfreyladder/comfreyladder/instance/consensus"
)

// renewEvery is the interval at which the leader renews the configuration lease. Several
// intervals fit into the shortest lease, one second, together with the delay of the
// distribution tree.
const renewEvery = 250 * time.Millisecond

// leadLoop performs the leader's periodic tasks while this member leads: it renews the
// configuration lease, proposes the founding intent and maintains the membership. While
// it does not lead, it calls rejoin.
func (s *Service) leadLoop() {
	leaderlessSince := time.Time{}
	for s.sleep(renewEvery) {
		s.refreshNames()
		g := s.group.Load()
		st := g.Status()
		if st.Leader != st.ID {
			leaderlessSince = s.rejoin(g, leaderlessSince)
			s.reportDomain(st)
			continue
		}
		if s.cfg.Spread != nil {
			s.becomeTreeRoot(st.Term)
			s.renew(g)
			s.proposeFoundingIntent(g)
		}
		s.recordOwnDomain(g, st)
		s.maintainMembers(g)
	}
}

// lacksDomain reports whether the group has recorded another failure domain for this member or
// none, as for founders and for members that joined under an older version.
func (s *Service) lacksDomain(st consensus.Status) bool {
	m, known := st.Members.Get(st.ID)
	return s.cfg.RepairMembers && known && m.Domain != s.cfg.Domain
}

// reportDomain tells the leader the failure domain of this member if the group lacks it.
func (s *Service) reportDomain(st consensus.Status) {
	leader, known := st.Members.Get(st.Leader)
	if !known || !s.lacksDomain(st) {
		return
	}
	ctx, cancel := context.WithTimeout(s.ctx, callTimeout)
	defer cancel()
	q := joinRequest{ID: st.ID, Name: s.cfg.Name, Domain: s.cfg.Domain}
	if err := s.cfg.Links.Call(ctx, leader.Name, channelJoin, q, &joinAnswer{}); err != nil {
		s.cfg.Log.Debug().Err(err).Str("peer", leader.Name).Msg("failure domain not reported yet")
	}
}

// recordOwnDomain records the failure domain of the leader itself.
func (s *Service) recordOwnDomain(g *consensus.Service, st consensus.Status) {
	if !s.lacksDomain(st) {
		return
	}
	if err := s.admitMember(s.ctx, g, &joinRequest{ID: st.ID, Name: s.cfg.Name, Domain: s.cfg.Domain}); err != nil {
		s.cfg.Log.Debug().Err(err).Msg("failure domain not recorded yet")
	}
}

// renew extends the configuration lease after a quorum confirmed this leader. A leader
// that is partitioned gets no confirmation, so it cannot extend the lease of an old
// configuration beside its successor.
func (s *Service) renew(g *consensus.Service) {
	at := clock.Now()
	ctx, cancel := context.WithTimeout(s.ctx, renewEvery)
	defer cancel()
	if _, err := g.Read(ctx); err != nil {
		return
	}
	number, data, err := s.encoded()
	if err != nil || number == 0 {
		return
	}
	// Publish the revision before the lease that states that it is the newest. If it is not what is in
	// effect here, the quorum has not confirmed that.
	if err := s.cfg.Spread.Publish(number, data); err != nil {
		s.notePublishFailure(number, err)
		return
	}
	s.cfg.Spread.Renew(at, s.cfg.Lease)
}

// notePublishFailure logs, once for each revision, that the leader grants no leases.
func (s *Service) notePublishFailure(number uint64, err error) {
	if s.unpublished == number {
		return
	}
	s.unpublished = number
	s.cfg.Log.Error().Err(err).Str("event", "lease_not_renewed").Uint64("revision", number).
		Msg("the newest revision of the control group conflicts with what this instance had applied")
}

// maintainMembers restores the membership of the group. Without automatic repair, it removes a
// member whose disk was replaced by another one of the same name, and promotes learners that
// have caught up.
func (s *Service) maintainMembers(g *consensus.Service) {
	s.maintaining.Lock()
	defer s.maintaining.Unlock()
	ctx, cancel := context.WithTimeout(s.ctx, callTimeout)
	defer cancel()
	if s.cfg.RepairMembers {
		s.repairMembership(ctx, g)
		return
	}
	st := g.Status()
	if old := roster.ReplacedDisk(&st.Status); old != 0 {
		if err := g.Remove(ctx, old); err == nil {
			s.cfg.Log.Info().Uint64("member", uint64(old)).Msg("replaced member removed")
		}
		return
	}
	for _, m := range st.Members {
		if !m.Voter {
			if err := g.Promote(ctx, m.ID); err == nil {
				s.cfg.Log.Info().Str("peer", m.Name).Msg("learner has caught up and was promoted to voter")
			}
			return
		}
	}
}

// maxRepairs limits the membership changes in a row.
const maxRepairs = 8

// repairMembership performs the membership changes that restore the group, if any; see
// core/raft/roster. Between two of them the group may bear no loss, so they follow one
// another at once.
func (s *Service) repairMembership(ctx context.Context, g *consensus.Service) {
	for range maxRepairs {
		st := g.Status()
		if st.Leader != st.ID {
			return
		}
		policy := roster.Policy{Faults: s.cfg.Faults, Leaving: s.leaving.members(clock.Now())}
		change := policy.Next(&st.Status)
		if change.Action == roster.None {
			return
		}
		if err := s.changeMembership(ctx, g, &st.Status, change); err != nil && !clock.Sleep(ctx, admitRetryPause) {
			return
		}
	}
}

// changeMembership performs and logs one membership change.
func (s *Service) changeMembership(ctx context.Context, g *consensus.Service, st *raft.Status, change roster.Change) error {
	m, _ := st.Members.Get(change.ID)
	var err error
	switch change.Action {
	case roster.Promote:
		err = g.Promote(ctx, change.ID)
	case roster.Demote:
		err = g.Demote(ctx, change.ID)
	case roster.Remove:
		err = g.Remove(ctx, change.ID)
	}
	s.cfg.Log.Info().Err(err).Str("event", "member_change").Str("peer", m.Name).Uint64("member", uint64(m.ID)).
		Bool("votes", change.Action == roster.Promote).Bool("removed", change.Action == roster.Remove).
		Int("voters", len(st.Members.Voters())).Uint64("term", st.Term).Msg("automatic membership change in the control group")
	return err
}
