package raft

import (
	"cmp"
	"slices"
	"time"

	"github.com/comfreyladder/comfreyladder/core/fault"
)

// MaxMembers bounds the control group.
const MaxMembers = 11

// Member is one instance of the control group.
type Member struct {
	ID MemberID `codec:"i"`
	// Name is the name of the instance that holds the disk.
	Name string `codec:"n"`
	// Voter is false for a learner, which only follows.
	Voter bool `codec:"v"`
}

// Members is the membership, sorted by ID.
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

// AddLearner proposes a new member that follows without a vote. It returns the
// index of the change, or fault.NotRun, fault.Conflict or fault.Invalid.
func (n *Node) AddLearner(now time.Time, id MemberID, name string) (uint64, error) {
	if err := n.mayChange(); err != nil {
		return 0, err
	}
	if _, known := n.members().Get(id); known || id == 0 {
		return 0, fault.New(fault.Conflict, "member %x is in the group already", id)
	}
	if len(n.members()) >= MaxMembers {
		return 0, fault.New(fault.Invalid, "the group has %d members, which is the limit", MaxMembers)
	}
	return n.change(now, n.members().with(Member{ID: id, Name: name}))
}

// Promote proposes that a learner gets a vote. It fails with fault.NotRun while
// the learner's synced log lacks a committed entry: a newcomer that counts for
// the quorum before it has the log makes the next loss of an instance block the
// group, though the repair was reported done.
func (n *Node) Promote(now time.Time, id MemberID) (uint64, error) {
	if err := n.mayChange(); err != nil {
		return 0, err
	}
	m, known := n.members().Get(id)
	if !known {
		return 0, fault.New(fault.NotFound, "no member %x", id)
	}
	if m.Voter {
		return 0, fault.New(fault.Conflict, "member %x votes already", id)
	}
	p := n.progress[id]
	if p.match < n.commit || now.Sub(p.lastAck) > n.cfg.ElectionTimeout {
		return 0, fault.New(fault.NotRun, "learner %x has synced up to %d of %d", id, p.match, n.commit).WithRetryAfter(n.cfg.ElectionTimeout)
	}
	m.Voter = true
	return n.change(now, n.members().with(m))
}

// Remove proposes that a member leaves. The last voter cannot be removed.
func (n *Node) Remove(now time.Time, id MemberID) (uint64, error) {
	if err := n.mayChange(); err != nil {
		return 0, err
	}
	next := n.members().without(id)
	if len(next) == len(n.members()) {
		return 0, fault.New(fault.NotFound, "no member %x", id)
	}
	if len(next.Voters()) == 0 {
		return 0, fault.New(fault.Invalid, "member %x is the last voter", id)
	}
	return n.change(now, next)
}

// mayChange refuses a change while another is pending: quorums of memberships
// that are two changes apart need not overlap, and two leaders could be elected
// in one term. The same holds for a leader that has not committed in its term
// yet, since an earlier leader's change may still surface.
func (n *Node) mayChange() error {
	if n.role != Leader || n.transferee != 0 {
		return n.notLeader()
	}
	if n.log.term(n.commit) != n.term {
		return fault.New(fault.NotRun, "the new leader has not committed yet").WithRetryAfter(n.cfg.Heartbeat)
	}
	if n.changes[len(n.changes)-1].index > n.commit {
		return fault.New(fault.NotRun, "another change of members is pending").WithRetryAfter(n.cfg.Heartbeat)
	}
	return nil
}

func (n *Node) change(now time.Time, next Members) (uint64, error) {
	index := n.appendEntry(now, Entry{Kind: EntryMembers, Members: next})
	n.broadcastAppend()
	return index, nil
}

// membersAt is a membership and the index of the entry that brought it.
type membersAt struct {
	index   uint64
	members Members
}

// members returns the newest membership in the log, committed or not.
func (n *Node) members() Members { return n.changes[len(n.changes)-1].members }

// noteMembers puts a membership into force as soon as it is in the log.
func (n *Node) noteMembers(now time.Time, index uint64, m Members) {
	n.changes = append(n.changes, membersAt{index: index, members: m})
	n.syncProgress(now, index)
}

// forgetMembers undoes memberships of entries from index on.
func (n *Node) forgetMembers(index uint64) {
	for len(n.changes) > 1 && n.changes[len(n.changes)-1].index >= index {
		n.changes = n.changes[:len(n.changes)-1]
	}
}

// membersFor returns the membership that was in force at index.
func (n *Node) membersFor(index uint64) Members {
	for i := len(n.changes) - 1; i > 0; i-- {
		if n.changes[i].index <= index {
			return n.changes[i].members
		}
	}
	return n.changes[0].members
}

// syncProgress makes the leader track exactly the other members. Newcomers are
// sent the entry next first: one that is in the log already, or a group without
// proposals would leave them without any entry.
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
