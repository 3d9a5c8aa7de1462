package control

import (
	"context"
	"strconv"
	"time"

	"github.com/comfreyladder/comfreyladder/core/claim"
	corecontrol "github.com/comfreyladder/comfreyladder/core/control"
	"github.com/comfreyladder/comfreyladder/core/fault"
	"github.com/comfreyladder/comfreyladder/core/raft"
	"github.com/comfreyladder/comfreyladder/instance/admin"
	"github.com/comfreyladder/comfreyladder/instance/consensus"
	"github.com/comfreyladder/comfreyladder/instance/link"
	"github.com/comfreyladder/comfreyladder/instance/plain"
)

const (
	// maxUnknowns limits one list of calls with an unknown outcome.
	maxUnknowns = 1000
	// minRemovalSilence is the silence after which an operator may remove a member;
	// removing a live member would only weaken the group.
	minRemovalSilence = 10 * time.Second
)

// Unknowns implements admin.Claims.
func (s *Service) Unknowns(ctx context.Context) (list []claim.KeyedClaim, err error) {
	g := s.group.Load()
	if g == nil {
		err = s.ask(ctx, channelUnknowns, struct{}{}, &list)
		return list, err
	}
	if _, err := g.Read(ctx); err != nil {
		return nil, err
	}
	g.View(func(_ uint64, m *corecontrol.Mux) {
		list = m.Machine(plain.MachineName).(*claim.Machine).Unknowns(time.Now(), maxUnknowns)
	})
	return list, nil
}

func (s *Service) receiveUnknowns(ctx context.Context, _ string, _ link.Message) (any, error) {
	if s.group.Load() == nil {
		return nil, fault.New(fault.NotRun, "this instance holds no control state")
	}
	return s.Unknowns(ctx)
}

// Resolve implements admin.Claims. It reads the attempt first, so that the operator's
// resolution applies to the attempt with the unknown outcome, and to no later one.
func (s *Service) Resolve(ctx context.Context, operator string, key claim.Key, as claim.Outcome) error {
	ledger := plain.ProposeFunc(s.Propose)
	r, err := ledger.Submit(ctx, &claim.Command{Op: claim.OpRead, Key: key})
	if err != nil {
		return err
	}
	if r.Verdict == claim.Absent {
		return fault.New(fault.NotFound, "no call with key %q is claimed", key.Idempotency)
	}
	if r.Verdict != claim.OutcomeUnknown || r.View == nil {
		return fault.New(fault.Conflict, "the outcome of this call is not unknown: %s", r.Verdict)
	}
	c := &claim.Command{Op: claim.OpResolve, Key: key, Attempt: r.View.Attempt, Outcome: as, By: "operator " + operator}
	if status := resolvedStatus[as]; status != 0 {
		c.Receipt = &claim.Receipt{Status: status, Truncated: true}
	}
	if r, err = ledger.Submit(ctx, c); err != nil {
		return err
	}
	if r.Verdict != claim.Recorded {
		return fault.New(fault.Conflict, "the call was not resolved: %s", r.Verdict)
	}
	return nil
}

// resolvedStatus is the HTTP status with which a repeated request is answered after an
// operator resolved the call, since the service's own answer is not known.
var resolvedStatus = map[claim.Outcome]int{claim.Done: 200, claim.Rejected: 409}

type groupRequest struct {
	// Remove is the member to remove; zero for none.
	Remove  raft.MemberID `codec:"r"`
	Relayed bool          `codec:"y,omitempty"`
}

// Group implements admin.Group. It returns the members as seen by the leader.
func (s *Service) Group(ctx context.Context) ([]admin.Member, error) {
	return s.askGroup(ctx, groupRequest{})
}

// RemoveMember implements admin.Group. It refuses to remove a member that was heard
// from recently.
func (s *Service) RemoveMember(ctx context.Context, id string) ([]admin.Member, error) {
	n, err := strconv.ParseUint(id, 16, 64)
	if err != nil || n == 0 {
		return nil, fault.New(fault.Invalid, "member %q: the hexadecimal ID from the list of members is required", id)
	}
	return s.askGroup(ctx, groupRequest{Remove: raft.MemberID(n)})
}

func (s *Service) askGroup(ctx context.Context, q groupRequest) (list []admin.Member, err error) {
	g := s.group.Load()
	if g == nil {
		err = s.ask(ctx, channelGroup, q, &list)
		return list, err
	}
	st := g.Status()
	switch {
	case st.Leader == st.ID:
		return s.answerGroup(ctx, g, q)
	case st.Leader == 0 || q.Relayed:
		return nil, fault.New(fault.NotRun, "no leader is known").WithRetryAfter(joinEvery)
	}
	q.Relayed = true
	err = s.cfg.Links.Call(ctx, s.Leader(), channelGroup, q, &list)
	return list, err
}

func (s *Service) receiveGroup(ctx context.Context, _ string, m link.Message) (any, error) {
	var q groupRequest
	if err := m.Decode(&q); err != nil {
		return nil, err
	}
	if s.group.Load() == nil {
		return nil, fault.New(fault.NotRun, "this instance holds no control state")
	}
	return s.askGroup(ctx, q)
}

// answerGroup processes a group request on the leader.
func (s *Service) answerGroup(ctx context.Context, g *consensus.Service, q groupRequest) ([]admin.Member, error) {
	if q.Remove != 0 {
		if err := checkRemovable(g.Status(), q.Remove); err != nil {
			return nil, err
		}
		if err := g.Remove(ctx, q.Remove); err != nil {
			return nil, err
		}
		s.cfg.Log.Warn().Str("member", formatMember(q.Remove)).Msg("an operator removed a control member")
	}
	st := g.Status()
	silent := silenceByMember(st)
	var list []admin.Member
	for _, m := range st.Members {
		list = append(list, admin.Member{
			ID: formatMember(m.ID), Name: m.Name, Voter: m.Voter, Leader: m.ID == st.Leader, SilentMS: silent[m.ID].Milliseconds(),
		})
	}
	return list, nil
}

// checkRemovable guards against the accidental removal of a live member: with one live member
// less, the next loss of a disk can cost the quorum.
func checkRemovable(st consensus.Status, id raft.MemberID) error {
	m, known := st.Members.Get(id)
	if !known {
		return fault.New(fault.NotFound, "no member %s", formatMember(id))
	}
	if silent := silenceByMember(st)[id]; id == st.ID || silent < minRemovalSilence {
		return fault.New(fault.Conflict, "member %s of %s was heard %s ago; only one that is silent for %s may be removed",
			formatMember(id), m.Name, silent.Round(time.Millisecond), minRemovalSilence)
	}
	return nil
}

func silenceByMember(st consensus.Status) map[raft.MemberID]time.Duration {
	silent := map[raft.MemberID]time.Duration{}
	for _, f := range st.Followers {
		silent[f.ID] = f.Silent
	}
	return silent
}

func formatMember(id raft.MemberID) string { return strconv.FormatUint(uint64(id), 16) }
