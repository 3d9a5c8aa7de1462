package control

import (
	"context"
	"slices"

	"github.com/comfreyladder/comfreyladder/core/fault"
	"github.com/comfreyladder/comfreyladder/core/intent"
	"github.com/comfreyladder/comfreyladder/core/raft"
	"github.com/comfreyladder/comfreyladder/instance/link"
)

type proposeRequest struct {
	Machine string `codec:"m"`
	Data    []byte `codec:"d"`
}

type proposeAnswer struct {
	Result []byte `codec:"r"`
}

type readAnswer struct {
	Revision uint64 `codec:"r"`
	Document []byte `codec:"d"`
}

// Propose replicates a command for a sub-machine and returns its result. An instance
// without control state sends it to a member. It fails with fault.NotRun when the
// command will certainly never be applied, and with fault.OutcomeUnknown when it may
// be; only after fault.NotRun is another member tried.
func (s *Service) Propose(ctx context.Context, machine string, data []byte) ([]byte, error) {
	if g := s.group.Load(); g != nil {
		result, _, err := g.Propose(ctx, machine, data)
		return result, err
	}
	var a proposeAnswer
	err := s.ask(ctx, channelPropose, proposeRequest{Machine: machine, Data: data}, &a)
	return a.Result, err
}

// ask calls members in turn until one answers or an attempt may have run.
func (s *Service) ask(ctx context.Context, channel string, req, resp any) error {
	var last error = fault.New(fault.NotRun, "no member of the control group is known").WithRetryAfter(joinEvery)
	for _, name := range s.candidates() {
		err := s.cfg.Links.Call(ctx, name, channel, req, resp)
		if err == nil {
			s.leaderHint.Store(&name)
			return nil
		}
		last = err
		if fault.CodeOf(err) != fault.NotRun {
			break
		}
	}
	return last
}

func (s *Service) candidates() []string {
	members := s.cfg.Members()
	hint := s.leaderHint.Load()
	if hint == nil {
		return members
	}
	return append([]string{*hint}, members...)
}

func (s *Service) receivePropose(ctx context.Context, _ string, m link.Message) (any, error) {
	var q proposeRequest
	if err := m.Decode(&q); err != nil {
		return nil, err
	}
	g := s.group.Load()
	if g == nil {
		return nil, fault.New(fault.NotRun, "this instance holds no control state")
	}
	result, _, err := g.Propose(ctx, q.Machine, q.Data)
	if err != nil {
		return nil, err
	}
	return proposeAnswer{Result: result}, nil
}

// latest returns the latest accepted revision by a linearizable read.
func (s *Service) latest(ctx context.Context) (uint64, *intent.Document, error) {
	a, err := s.readLatest(ctx)
	if err != nil {
		return 0, nil, err
	}
	if a.Revision == 0 {
		return 0, nil, fault.New(fault.Unavailable, "the control group has no configuration yet").WithRetryAfter(joinEvery)
	}
	doc, err := Decode(a.Document)
	return a.Revision, doc, err
}

func (s *Service) readLatest(ctx context.Context) (a readAnswer, err error) {
	g := s.group.Load()
	if g == nil {
		err = s.ask(ctx, channelRead, struct{}{}, &a)
		return a, err
	}
	if _, err := g.Read(ctx); err != nil {
		return a, err
	}
	a.Revision, a.Document, err = s.encoded()
	return a, err
}

func (s *Service) receiveRead(ctx context.Context, _ string, _ link.Message) (any, error) {
	if s.group.Load() == nil {
		return nil, fault.New(fault.NotRun, "this instance holds no control state")
	}
	return s.readLatest(ctx)
}

// Leader returns the name of the group's leader, or an empty string if this instance
// knows none. An instance without control state returns the member that answered last.
func (s *Service) Leader() string {
	g := s.group.Load()
	if g == nil {
		if hint := s.leaderHint.Load(); hint != nil {
			return *hint
		}
		return ""
	}
	st := g.Status()
	m, _ := st.Members.Get(st.Leader)
	return m.Name
}

// Role returns "leader", "voter", "learner" or "follows".
func (s *Service) Role() string {
	g := s.group.Load()
	if g == nil {
		return "follows"
	}
	st := g.Status()
	if st.Leader == st.ID {
		return "leader"
	}
	if m, ok := st.Members.Get(st.ID); ok && m.Voter {
		return "voter"
	}
	return "learner"
}

// Members returns the members of the control group as "name role", sorted; nil on an
// instance that holds no control state.
func (s *Service) Members() (list []string) {
	g := s.group.Load()
	if g == nil {
		return nil
	}
	st := g.Status()
	for _, m := range st.Members {
		role := "learner"
		switch {
		case m.ID == st.Leader:
			role = "leader"
		case m.Voter:
			role = "voter"
		}
		list = append(list, m.Name+" "+role)
	}
	slices.Sort(list)
	return list
}

// cluster returns the ID of the cluster that this member belongs to.
func (s *Service) cluster() raft.ClusterID { return s.clusterID }
