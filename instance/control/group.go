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
	// joinEvery is the interval of attempts to join.
	joinEvery = 500 * time.Millisecond
	// joinHedge is how long a joining instance waits for one member before it asks the next
	// one as well.
	joinHedge = 300 * time.Millisecond
	// callTimeout bounds one call to another member.
	callTimeout = 2 * time.Second
)

// transport sends raft messages over links, which address members by name.
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

// refreshNames takes the members' names from the group's own state, so that every
// member can be addressed, also right after a start.
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

// learnName records the sender's name: a learner receives messages from a leader that
// is not in its state yet.
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

// startFounder runs the founding protocol and, once the group is founded, the member.
// The founder keeps running, since other founders may still need its answers.
func (s *Service) startFounder(id consensus.Identity) error {
	f, err := consensus.NewFounder(consensus.FounderConfig{
		FS: s.cfg.Disk, Dir: s.cfg.DataFolder, Identity: id, Founders: s.cfg.Founders, Cluster: newClusterID(), OnSlowDisk: s.logSlowDisk,
		Send: func(to string, m founding.Message) {
			if err := s.cfg.Links.Send(to, channelFounding, m); err != nil {
				s.cfg.Log.Debug().Err(err).Str("peer", to).Msg("founding message not sent")
			}
		},
	})
	if fault.CodeOf(err) == fault.Conflict {
		return nil // the disk joined an existing group under a founder's name
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

// awaitFounding starts the member once the group is founded. A founder whose disk was
// replaced may find the group founded already, and joins it instead.
func (s *Service) awaitFounding(f *consensus.Founder, id consensus.Identity) {
	for s.ctx.Err() == nil {
		ctx, cancel := context.WithTimeout(s.ctx, joinEvery)
		founded, err := f.Wait(ctx)
		cancel()
		if err == nil {
			s.startOrFail(founded)
			return
		}
		if s.tryJoin(id) {
			return
		}
	}
}

func (s *Service) startOrFail(id consensus.Identity) {
	if err := s.startGroup(id); err != nil {
		s.memberFailed(err)
	}
}

// logRole logs a change of this member's role or of its leader.
func (s *Service) logRole(st raft.Status) {
	leader, _ := st.Members.Get(st.Leader)
	s.cfg.Log.Info().Str("event", "control_role").Str("role", st.Role.String()).Uint64("term", st.Term).Str("leader", leader.Name).
		Int("voters", len(st.Members.Voters())).Uint64("last", st.Last).Uint64("commit", st.Commit).Msg("control group role or leader changed")
}

// logRestored logs from where this member starts: it applies the entries after its snapshot only
// once a leader has confirmed that they are committed.
func (s *Service) logRestored(st consensus.Status) {
	s.cfg.Log.Info().Str("event", "control_restored").Uint64("term", st.Term).Uint64("snapshot", st.Snapshot).Uint64("last", st.Last).
		Msg("control state restored")
}

// logSlowDisk logs a slow write, during which this member confirms nothing and may lose
// the leadership.
func (s *Service) logSlowDisk(took time.Duration) {
	s.cfg.Log.Warn().Str("event", "disk_slow").Int64("took", took.Milliseconds()).Msg("slow disk write in the control member")
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
	// Domain is the failure domain of the instance.
	Domain string `codec:"d,omitempty"`
	// Relayed is set by a member that forwards the request to the leader.
	Relayed bool `codec:"y,omitempty"`
}

type joinAnswer struct {
	Cluster raft.ClusterID `codec:"c"`
}

func (s *Service) join(id consensus.Identity) {
	for s.ctx.Err() == nil && !s.tryJoin(id) {
		if !s.sleep(joinEvery) {
			return
		}
	}
}

// tryJoin asks the members to add this disk, and starts the member when one of them has done
// so.
func (s *Service) tryJoin(id consensus.Identity) bool {
	cluster, ok := s.askToJoin(id)
	if !ok {
		return false
	}
	if err := consensus.Join(s.cfg.Disk, s.cfg.DataFolder, &id, cluster); err != nil {
		s.memberFailed(err)
		return true
	}
	s.startOrFail(id)
	return true
}

// askToJoin asks one member after the other to add this disk, until one has done so. It asks
// the next one without the answer of the last when that takes long: a member that is cut off
// does not answer, and until this disk has joined, the group may bear no other loss.
func (s *Service) askToJoin(id consensus.Identity) (raft.ClusterID, bool) {
	ctx, cancel := context.WithTimeout(s.ctx, callTimeout)
	defer cancel()
	q := joinRequest{ID: id.ID, Name: id.Name, Domain: s.cfg.Domain}
	names := s.cfg.Members()
	answers := make(chan *joinAnswer, len(names))
	pending := 0
	for i, name := range names {
		go func() {
			a := &joinAnswer{}
			if err := s.cfg.Links.Call(ctx, name, channelJoin, q, a); err != nil {
				a = nil
			}
			answers <- a
		}()
		pending++
		wait := joinHedge
		if i == len(names)-1 {
			wait = callTimeout
		}
		if a := awaitJoin(answers, &pending, wait); a != nil {
			return a.Cluster, true
		}
	}
	return "", false
}

// awaitJoin waits for an answer that is not nil, until none is pending or the time has passed.
func awaitJoin(answers <-chan *joinAnswer, pending *int, wait time.Duration) *joinAnswer {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for *pending > 0 {
		select {
		case a := <-answers:
			*pending--
			if a != nil {
				return a
			}
		case <-timer.C:
			return nil
		}
	}
	return nil
}

// receiveJoin adds a disk as a learner, on the leader. Any other member forwards the
// request: a joining instance may know only some members, without the leader.
func (s *Service) receiveJoin(ctx context.Context, from string, m link.Message) (any, error) {
	var q joinRequest
	if err := m.Decode(&q); err != nil {
		return nil, err
	}
	g := s.group.Load()
	if g == nil || !q.Relayed && q.Name != from {
		return nil, fault.New(fault.NotRun, "this instance is not a member of a control group, or the request is not from the joining instance")
	}
	st := g.Status()
	if st.Leader != st.ID {
		return s.relayJoin(ctx, st, q)
	}
	s.learnName(q.ID, q.Name)
	if err := s.admitMember(ctx, g, &q); err != nil {
		return nil, err
	}
	return joinAnswer{Cluster: s.cluster()}, nil
}

const (
	// admitTimeout bounds the time for which a joining instance waits for other membership
	// changes, and admitRetryPause is the pause between two attempts.
	admitTimeout    = callTimeout / 2
	admitRetryPause = 5 * time.Millisecond
)

// admitMember adds a disk as a learner, or records its failure domain if it is a member already.
// Only one membership change at a time may be pending: when many instances start at once, each
// waits here for those before it.
func (s *Service) admitMember(ctx context.Context, g *consensus.Service, q *joinRequest) error {
	ctx, cancel := context.WithTimeout(ctx, admitTimeout)
	defer cancel()
	for {
		members := g.Status().Members
		m, known := members.Get(q.ID)
		var err error
		switch {
		case !known && !s.cfg.RepairMembers && len(members) >= raft.MaxVoters:
			// Without automatic repair, each member becomes a voter.
			return fault.New(fault.Invalid, "the group already has the maximum of %d voters", raft.MaxVoters)
		case !known:
			err = g.AddLearner(ctx, q.ID, q.Name, q.Domain)
		case q.Domain != "" && q.Domain != m.Domain:
			err = g.SetDomain(ctx, q.ID, q.Domain)
		default:
			return nil
		}
		switch {
		case err == nil && !known:
			s.cfg.Log.Info().Str("event", "member_joins").Str("peer", q.Name).Str("domain", q.Domain).Uint64("member", uint64(q.ID)).Msg("new disk added as a learner")
			return nil
		case err == nil, fault.CodeOf(err) == fault.Conflict:
			return nil
		case fault.CodeOf(err) != fault.NotRun || !clock.Sleep(ctx, admitRetryPause):
			return err
		}
	}
}

func (s *Service) relayJoin(ctx context.Context, st consensus.Status, q joinRequest) (any, error) {
	leader, known := st.Members.Get(st.Leader)
	if q.Relayed || !known {
		return nil, fault.New(fault.NotRun, "this member is not the leader")
	}
	q.Relayed = true
	var a joinAnswer
	err := s.cfg.Links.Call(ctx, leader.Name, channelJoin, q, &a)
	return a, err
}

func (s *Service) sleep(d time.Duration) bool { return clock.Sleep(s.ctx, d) }
