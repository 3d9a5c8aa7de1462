package control

import (
	"context"
	"time"

	"github.com/comfreyladder/comfreyladder/core/fault"
	"github.com/comfreyladder/comfreyladder/core/raft"
	"github.com/comfreyladder/comfreyladder/core/raft/founding"
	"github.com/comfreyladder/comfreyladder/instance/clock"
	"github.com/comfreyladder/comfreyladder/instance/consensus"
	"github.com/comfreyladder/comfreyladder/instance/link"
)

const (
	// joinEvery is the time between two tries to join or to tend members.
	joinEvery = 500 * time.Millisecond
	// callTimeout bounds one call to another member.
	callTimeout = 2 * time.Second
)

// transport sends raft messages over links, by the members' names.
type transport struct{ s *Service }

// Send implements consensus.Transport.
func (t transport) Send(to raft.MemberID, m raft.Message) {
	name, ok := (*t.s.names.Load())[to]
	if !ok {
		return
	}
	if err := t.s.cfg.Links.Send(name, channelRaft, m); err != nil {
		t.s.cfg.Log.Debug().Err(err).Str("peer", name).Msg("raft message not sent")
	}
}

// refreshNames takes the members' names from the group's own state, so that an
// address is found for every member, also right after a start.
func (s *Service) refreshNames() {
	g := s.group.Load()
	if g == nil {
		return
	}
	names := map[raft.MemberID]string{}
	for _, m := range g.Status().Members {
		names[m.ID] = m.Name
	}
	s.names.Store(&names)
}

func (s *Service) receiveRaft(_ context.Context, from string, m link.Message) (any, error) {
	g := s.group.Load()
	if g == nil {
		return nil, nil
	}
	var msg raft.Message
	if err := m.Decode(&msg); err != nil {
		return nil, err
	}
	s.learnName(msg.From, from)
	g.Deliver(msg)
	return nil, nil
}

// learnName keeps the sender's name: a learner is spoken to by a leader that is
// not in its state yet.
func (s *Service) learnName(id raft.MemberID, name string) {
	old := *s.names.Load()
	if old[id] == name {
		return
	}
	next := make(map[raft.MemberID]string, len(old)+1)
	for k, v := range old {
		next[k] = v
	}
	next[id] = name
	s.names.Store(&next)
}

// startFounder runs the founding exchange and, once the group is founded, the
// member. It goes on answering: another founder may still wait for the word.
func (s *Service) startFounder(id consensus.Identity) error {
	f, err := consensus.NewFounder(consensus.FounderConfig{
		FS: s.cfg.Disk, Dir: s.cfg.DataFolder, Identity: id, Founders: s.cfg.Founders, Cluster: newClusterID(),
		Send: func(to string, m founding.Message) {
			if err := s.cfg.Links.Send(to, channelFounding, m); err != nil {
				s.cfg.Log.Debug().Err(err).Str("peer", to).Msg("founding message not sent")
			}
		},
	})
	if fault.CodeOf(err) == fault.Conflict {
		return nil // joined later under a founder's name; nothing is left to found
	}
	if err != nil {
		return err
	}
	s.founder.Store(f)
	if err := f.Start(s.ctx); err != nil {
		return err
	}
	if id.Cluster == "" {
		s.running.Go(func() { s.awaitFounding(f, id) })
	}
	return nil
}

// awaitFounding starts the member once the group is founded. A founder whose
// disk was replaced finds the others founded already; it joins instead.
func (s *Service) awaitFounding(f *consensus.Founder, id consensus.Identity) {
	for s.ctx.Err() == nil {
		ctx, cancel := context.WithTimeout(s.ctx, joinEvery)
		founded, err := f.Wait(ctx)
		cancel()
		if err == nil {
			s.run(founded)
			return
		}
		if s.tryJoin(id) {
			return
		}
	}
}

func (s *Service) run(id consensus.Identity) {
	if err := s.startGroup(id); err != nil {
		s.failed(err)
	}
}

// logRole writes a line for each change of this member's role, or of the leader it follows.
func (s *Service) logRole(st raft.Status) {
	leader, _ := st.Members.Get(st.Leader)
	s.cfg.Log.Info().Str("event", "control_role").Str("role", st.Role.String()).Uint64("term", st.Term).Str("leader", leader.Name).
		Int("voters", len(st.Members.Voters())).Uint64("last", st.Last).Uint64("commit", st.Commit).Msg("role in the control group")
}

// logSlowDisk writes a line for a write that kept this member for long: nothing is
// confirmed meanwhile, and a leader may lose its lead.
func (s *Service) logSlowDisk(took time.Duration) {
	s.cfg.Log.Warn().Str("event", "disk_slow").Int64("took", took.Milliseconds()).Msg("a write to the disk kept the control member")
}

func (s *Service) receiveFounding(_ context.Context, _ string, m link.Message) (any, error) {
	f := s.founder.Load()
	if f == nil {
		return nil, nil
	}
	var msg founding.Message
	if err := m.Decode(&msg); err != nil {
		return nil, err
	}
	f.Deliver(msg)
	return nil, nil
}

// joinRequest asks a leader to add a disk as a learner.
type joinRequest struct {
	ID   raft.MemberID `codec:"i"`
	Name string        `codec:"n"`
	// Relayed is set by a member that hands the request to the leader.
	Relayed bool `codec:"y,omitempty"`
}

type joinAnswer struct {
	Cluster raft.ClusterID `codec:"c"`
}

func (s *Service) join(id consensus.Identity) {
	for s.ctx.Err() == nil && !s.tryJoin(id) {
		if !s.pause(joinEvery) {
			return
		}
	}
}

// tryJoin asks the members in turn; the leader among them adds this disk.
func (s *Service) tryJoin(id consensus.Identity) bool {
	for _, name := range s.cfg.Members() {
		ctx, cancel := context.WithTimeout(s.ctx, callTimeout)
		var a joinAnswer
		err := s.cfg.Links.Call(ctx, name, channelJoin, joinRequest{ID: id.ID, Name: id.Name}, &a)
		cancel()
		if err != nil {
			continue
		}
		if err := consensus.Join(s.cfg.Disk, s.cfg.DataFolder, &id, a.Cluster); err != nil {
			s.failed(err)
			return true
		}
		s.run(id)
		return true
	}
	return false
}

// receiveJoin adds a disk as a learner, at the leader. Any other member hands the
// request on: a newcomer knows some members only, of which the leader may be none.
func (s *Service) receiveJoin(ctx context.Context, from string, m link.Message) (any, error) {
	var q joinRequest
	if err := m.Decode(&q); err != nil {
		return nil, err
	}
	g := s.group.Load()
	if g == nil || !q.Relayed && q.Name != from {
		return nil, fault.New(fault.NotRun, "no member of a control group")
	}
	st := g.Status()
	if st.Leader != st.ID {
		return s.relayJoin(ctx, st, q)
	}
	s.learnName(q.ID, q.Name)
	if _, known := st.Members.Get(q.ID); !known {
		if err := g.AddLearner(ctx, q.ID, q.Name); err != nil {
			return nil, err
		}
		s.cfg.Log.Info().Str("event", "member_joins").Str("peer", q.Name).Uint64("member", uint64(q.ID)).Msg("a new disk learns the control state")
	}
	return joinAnswer{Cluster: s.cluster()}, nil
}

func (s *Service) relayJoin(ctx context.Context, st consensus.Status, q joinRequest) (any, error) {
	leader, known := st.Members.Get(st.Leader)
	if q.Relayed || !known {
		return nil, fault.New(fault.NotRun, "not the leader")
	}
	q.Relayed = true
	var a joinAnswer
	err := s.cfg.Links.Call(ctx, leader.Name, channelJoin, q, &a)
	return a, err
}

func (s *Service) pause(d time.Duration) bool { return clock.Sleep(s.ctx, d) }
