package raft

import (
	"cmp"
	"slices"
	"time"

	"github.com/comfreyladder/comfreyladder/core/fault"
)

const (
	// MaxVoters limits the voters of a control group: each change waits for a majority of them.
	MaxVoters = 11
	// MaxMembers limits all members of a control group: the leader sends each entry to each.
	MaxMembers = 128
)

// Member is one member of the control group.
type Member struct {
	ID MemberID `codec:"i"`
	// Name is the name of the instance that holds the disk.
	Name string `codec:"n"`
	// Voter is false for a learner, which receives the log but does not vote.
	Voter bool `codec:"v"`
	// Domain is the failure domain of the instance; empty if it is not known.
	Domain string `codec:"d,omitempty"`
}

// Members is a membership, sorted by ID.
type Members []Member

// Get returns the member with the given ID.
func (m Members) Get(id MemberID) (Member, bool) {
	i := slices.IndexFunc(m, func(x Member) bool { return x.ID == id })
	if i < 0 {
		return Member{}, false
	}
	return m[i], true
}

// Voters returns the IDs of the voting members.
func (m Members) Voters() []MemberID {
	var out []MemberID
	for _, x := range m {
		if x.Voter {
			out = append(out, x.ID)
		}
	}
	return out
}

func (m Members) voter(id MemberID) bool {
	x, ok := m.Get(id)
	return ok && x.Voter
}

func (m Members) with(x Member) Members {
	out := m.without(x.ID)
	out = append(out, x)
	slices.SortFunc(out, func(a, b Member) int { return cmp.Compare(a.ID, b.ID) })
	return out
}

func (m Members) without(id MemberID) Members {
	return slices.DeleteFunc(slices.Clone(m), func(x Member) bool { return x.ID == id })
}

// quorumValue returns the greatest value that a quorum of voters has reached.
func quorumValue[T cmp.Ordered](m Members, value func(MemberID) T) T {
	var zero T
	voters := m.Voters()
	if len(voters) == 0 {
		return zero
	}
	values := make([]T, len(voters))
	for i, id := range voters {
		values[i] = value(id)
	}
	slices.Sort(values)
	return values[(len(values)-1)/2]
}

// quorum reports whether a quorum of voters satisfies ok.
func (m Members) quorum(ok func(MemberID) bool) bool {
	voters := m.Voters()
	count := 0
	for _, id := range voters {
		if ok(id) {
			count++
		}
	}
	return len(voters) > 0 && count > len(voters)/2
}

// AddLearner proposes a new non-voting member. It returns the index of the change, or
// fault.NotRun, fault.Conflict or fault.Invalid.
func (n *Node) AddLearner(now time.Time, id MemberID, name, domain string) (uint64, error) {
	if err := n.checkChangeAllowed(); err != nil {
		return 0, err
	}
	if _, known := n.members().Get(id); known || id == 0 {
		return 0, fault.New(fault.Conflict, "member %x is already in the group", id)
	}
	if len(n.members()) >= MaxMembers {
		return 0, fault.New(fault.Invalid, "the group already has the maximum of %d members", MaxMembers)
	}
	return n.proposeMembers(now, n.members().with(Member{ID: id, Name: name, Domain: domain}))
}

// Promote proposes to make a learner a voter. It fails with fault.NotRun while the
// learner's synced log lacks a committed entry: if the learner counted towards the quorum
// before it had the log, the loss of one more instance would block the group although the
// repair was reported as done.
func (n *Node) Promote(now time.Time, id MemberID) (uint64, error) {
	if err := n.checkChangeAllowed(); err != nil {
		return 0, err
	}
	m, known := n.members().Get(id)
	if !known {
		return 0, fault.New(fault.NotFound, "no member %x", id)
	}
	if m.Voter {
		return 0, fault.New(fault.Conflict, "member %x is already a voter", id)
	}
	p := n.progress[id]
	if p.match < n.commit || now.Sub(p.lastAck) > n.cfg.ElectionTimeout {
		return 0, fault.New(fault.NotRun, "learner %x has synced the log up to %d of %d", id, p.match, n.commit).WithRetryAfter(n.cfg.ElectionTimeout)
	}
	if len(n.members().Voters()) >= MaxVoters {
		return 0, fault.New(fault.Invalid, "the group already has the maximum of %d voters", MaxVoters)
	}
	m.Voter = true
	return n.proposeMembers(now, n.members().with(m))
}

// Demote proposes to make a voter a learner. The last voter cannot be demoted.
func (n *Node) Demote(now time.Time, id MemberID) (uint64, error) {
	if err := n.checkChangeAllowed(); err != nil {
		return 0, err
	}
	m, known := n.members().Get(id)
	if !known {
		return 0, fault.New(fault.NotFound, "no member %x", id)
	}
	if !m.Voter {
		return 0, fault.New(fault.Conflict, "member %x is already a learner", id)
	}
	if len(n.members().Voters()) == 1 {
		return 0, fault.New(fault.Invalid, "member %x is the last voter", id)
	}
	m.Voter = false
	return n.proposeMembers(now, n.members().with(m))
}

// SetDomain proposes to record the failure domain of a member. It fails with fault.Conflict if
// it is recorded already.
func (n *Node) SetDomain(now time.Time, id MemberID, domain string) (uint64, error) {
	if err := n.checkChangeAllowed(); err != nil {
		return 0, err
	}
	m, known := n.members().Get(id)
	if !known {
		return 0, fault.New(fault.NotFound, "no member %x", id)
	}
	if m.Domain == domain {
		return 0, fault.New(fault.Conflict, "the failure domain of member %x is already recorded", id)
	}
	m.Domain = domain
	return n.proposeMembers(now, n.members().with(m))
}

// Remove proposes to remove a member. The last voter cannot be removed.
func (n *Node) Remove(now time.Time, id MemberID) (uint64, error) {
	if err := n.checkChangeAllowed(); err != nil {
		return 0, err
	}
	next := n.members().without(id)
	if len(next) == len(n.members()) {
		return 0, fault.New(fault.NotFound, "no member %x", id)
	}
	if len(next.Voters()) == 0 {
		return 0, fault.New(fault.Invalid, "member %x is the last voter", id)
	}
	return n.proposeMembers(now, next)
}

// checkChangeAllowed rejects a change while another one is pending. Quorums of memberships
// that are two changes apart need not overlap, so two leaders could be elected in one term.
// It also rejects a change while the leader has not committed an entry in its term, since a
// change by an earlier leader may still take effect.
func (n *Node) checkChangeAllowed() error {
	if n.role != Leader || n.transferee != 0 {
		return n.notLeader()
	}
	if n.log.term(n.commit) != n.term {
		return fault.New(fault.NotRun, "the new leader has not committed an entry in its term yet").WithRetryAfter(n.cfg.Heartbeat)
	}
	if n.memberships[len(n.memberships)-1].index > n.commit {
		return fault.New(fault.NotRun, "another membership change is pending").WithRetryAfter(n.cfg.Heartbeat)
	}
	return nil
}

func (n *Node) proposeMembers(now time.Time, next Members) (uint64, error) {
	index := n.appendEntry(now, Entry{Kind: EntryMembers, Members: next})
	n.broadcastAppend()
	return index, nil
}

// indexedMembers is a membership and the index of the entry that introduced it.
type indexedMembers struct {
	index   uint64
	members Members
}

// members returns the latest membership in the log, committed or not.
func (n *Node) members() Members { return n.memberships[len(n.memberships)-1].members }

// recordMembers makes a membership effective as soon as it is in the log.
func (n *Node) recordMembers(now time.Time, index uint64, m Members) {
	n.memberships = append(n.memberships, indexedMembers{index: index, members: m})
	n.syncProgress(now, index)
}

// rollbackMembers undoes the memberships of entries from index on.
func (n *Node) rollbackMembers(index uint64) {
	for len(n.memberships) > 1 && n.memberships[len(n.memberships)-1].index >= index {
		n.memberships = n.memberships[:len(n.memberships)-1]
	}
}

// membersAtIndex returns the membership in effect at index.
func (n *Node) membersAtIndex(index uint64) Members {
	for i := len(n.memberships) - 1; i > 0; i-- {
		if n.memberships[i].index <= index {
			return n.memberships[i].members
		}
	}
	return n.memberships[0].members
}

// syncProgress makes the leader track exactly the other members. Replication to new members
// starts at the entry next, which must be in the log already or be appended at once:
// otherwise a new member would receive no entry in a group without proposals.
func (n *Node) syncProgress(now time.Time, next uint64) {
	if n.role != Leader {
		return
	}
	for id := range n.progress {
		if _, ok := n.members().Get(id); !ok {
			delete(n.progress, id)
		}
	}
	for _, m := range n.members() {
		if m.ID != n.cfg.ID && n.progress[m.ID] == nil {
			n.progress[m.ID] = &progress{next: next, probe: true, lastAck: now}
		}
	}
}
