package raft

import (
	"time"

	"github.com/comfreyladder/comfreyladder/core/fault"
)

// Role is the role of a member in its term.
type Role uint8

// The roles of a member.
const (
	Follower Role = iota
	PreCandidate
	Candidate
	Leader
)

func (r Role) String() string {
	return [...]string{"follower", "pre-candidate", "candidate", "leader"}[min(r, Leader)]
}

// Node is one member of the group. It is not safe for concurrent use. All times are passed
// in by its caller and must carry a monotonic clock reading outside tests.
type Node struct {
	cfg    Config
	role   Role
	term   uint64
	vote   MemberID
	leader MemberID
	commit uint64
	// applied is the highest index returned in Ready.Committed.
	applied uint64
	log     memLog
	// memberships holds the membership of the snapshot and those of later log entries.
	memberships []indexedMembers

	// lastLeaderContact is when this member last heard from the current leader, or started.
	lastLeaderContact time.Time
	// electionDeadline is when this member campaigns if it hears from no leader.
	electionDeadline time.Time
	votes            map[MemberID]bool
	// preVoteAt is when a pre-candidate repeats its requests.
	preVoteAt time.Time

	progress    map[MemberID]*progress
	heartbeatAt time.Time
	round       uint64
	rounds      map[uint64]time.Time
	reads       []pendingRead
	// uncommitted is the size of the leader's uncommitted data in bytes.
	uncommitted int

	transferee       MemberID
	transferDeadline time.Time
	// leaseRevoked is set by a transfer, for the rest of the term.
	leaseRevoked bool

	persisted  HardState
	snapshot   *Snapshot
	messages   []Message
	readyReads []Read
	fatalErr   error
}

// New returns a member that resumes from its persisted state. A member without a snapshot
// and entries has no membership: it cannot campaign and waits for a leader to send it the
// log.
func New(now time.Time, cfg Config, hard HardState, snap Snapshot, entries []Entry) (*Node, error) {
	if err := cfg.validate(); err != nil {
		return nil, err
	}
	n := &Node{cfg: cfg, term: hard.Term, vote: hard.Vote, persisted: hard, progress: map[MemberID]*progress{}}
	n.log.reset(&snap)
	n.memberships = []indexedMembers{{index: snap.Index, members: snap.Members}}
	n.commit, n.applied = snap.Index, snap.Index
	for _, e := range entries {
		if e.Index <= snap.Index {
			continue
		}
		if e.Index != n.log.last()+1 || e.Term < n.log.lastTerm() {
			return nil, fault.New(fault.Corrupt, "entry %d of term %d after entry %d of term %d", e.Index, e.Term, n.log.last(), n.log.lastTerm())
		}
		n.log.entries = append(n.log.entries, e)
		if e.Kind == EntryMembers {
			n.recordMembers(now, e.Index, e.Members)
		}
	}
	if n.term < n.log.lastTerm() {
		return nil, fault.New(fault.Corrupt, "the log has term %d, but the persisted term is %d", n.log.lastTerm(), n.term)
	}
	n.log.stable = n.log.last()
	// A restarted member no longer knows whether it acknowledged a heartbeat, on which a
	// leader's lease may rest. Until the restart timeout has passed it assumes that it did;
	// otherwise it could elect another leader while the lease is valid.
	n.resetElectionTimeout(now)
	if !n.beforeFirstElection() {
		n.lastLeaderContact = now.Add(cfg.RestartTimeout - cfg.ElectionTimeout)
		n.setElectionDeadline(now, cfg.RestartTimeout)
	}
	return n, nil
}

// Tick advances the time of the member. Call it several times per heartbeat.
func (n *Node) Tick(now time.Time) {
	if n.role == Leader {
		n.tickLeader(now)
		return
	}
	switch {
	case !now.Before(n.electionDeadline) && n.members().voter(n.cfg.ID):
		n.campaign(now, false)
	case n.role == PreCandidate && !now.Before(n.preVoteAt):
		n.repeatPreVote(now)
	}
}

func (n *Node) tickLeader(now time.Time) {
	if !n.quorumActive(now) {
		n.becomeFollower(now, n.term, 0)
		return
	}
	if n.transferee != 0 && !now.Before(n.transferDeadline) {
		n.transferee = 0
	}
	if !now.Before(n.heartbeatAt) {
		n.startRound(now)
	}
}

// quorumActive implements check-quorum: a leader that is partitioned, in one direction or
// both, steps down so that its clients go elsewhere.
func (n *Node) quorumActive(now time.Time) bool {
	return n.members().quorum(func(id MemberID) bool {
		if id == n.cfg.ID {
			return true
		}
		return now.Sub(n.progress[id].lastAck) < n.cfg.ElectionTimeout
	})
}

// becomeFollower makes the member a follower of the leader in the term.
func (n *Node) becomeFollower(now time.Time, term uint64, leader MemberID) {
	if term > n.term {
		n.term, n.vote = term, 0
	}
	n.role, n.leader = Follower, leader
	n.votes, n.reads, n.rounds = nil, nil, nil
	n.transferee = 0
	clear(n.progress)
	n.resetElectionTimeout(now)
}

func (n *Node) resetElectionTimeout(now time.Time) {
	timeout := n.cfg.ElectionTimeout
	if n.beforeFirstElection() {
		timeout /= foundingElectionDivisor
	}
	n.setElectionDeadline(now, timeout)
}

// setElectionDeadline makes this member campaign after a time without a leader between the
// timeout and twice the timeout.
func (n *Node) setElectionDeadline(now time.Time, timeout time.Duration) {
	jitter := time.Duration(n.cfg.Rand.Int63n(int64(timeout)))
	n.electionDeadline = now.Add(timeout + jitter)
}

// beforeFirstElection reports whether this member knows only the founding term, in which
// nobody leads. It has not acknowledged any leader then, since a newer term is synced
// before any message of that term is acknowledged. So there is no lease to respect and no
// leader to wait for.
func (n *Node) beforeFirstElection() bool { return n.term == FoundingTerm }

// Step handles one message. Messages for another member or cluster are dropped. An error
// means that the member must stop: its log contradicts entries that the group has
// committed.
func (n *Node) Step(now time.Time, m Message) error {
	if n.fatalErr != nil {
		return n.fatalErr
	}
	if m.To != n.cfg.ID || m.Cluster != n.cfg.Cluster || m.From == n.cfg.ID {
		return nil
	}
	switch {
	case m.Term > n.term:
		if !n.handleNewerTerm(now, m) {
			return nil
		}
	case m.Term < n.term:
		n.handleOlderTerm(m)
		return nil
	}
	n.dispatch(now, m)
	return n.fatalErr
}

// handleNewerTerm handles the term of a message with a higher term and reports whether the
// message itself is to be handled.
func (n *Node) handleNewerTerm(now time.Time, m Message) bool {
	switch m.Kind {
	case MsgPreVote:
		return true
	case MsgPreVoteReply:
		if !m.Reject {
			return true
		}
		n.becomeFollower(now, m.Term, 0)
		return false
	case MsgVote:
		if n.hasRecentLeader(now) && !m.Transfer {
			return false
		}
		n.becomeFollower(now, m.Term, 0)
	case MsgAppend, MsgHeartbeat, MsgSnapshot:
		n.becomeFollower(now, m.Term, m.From)
	default:
		n.becomeFollower(now, m.Term, 0)
	}
	return true
}

// handleOlderTerm informs the sender of a message with a lower term about the current term.
func (n *Node) handleOlderTerm(m Message) {
	switch m.Kind {
	case MsgAppend, MsgHeartbeat, MsgSnapshot:
		n.send(Message{Kind: MsgAppendReply, To: m.From, Reject: true})
	case MsgPreVote:
		n.send(Message{Kind: MsgPreVoteReply, To: m.From, Reject: true})
	case MsgVote:
		n.send(Message{Kind: MsgVoteReply, To: m.From, Reject: true})
	}
}

func (n *Node) dispatch(now time.Time, m Message) {
	switch m.Kind {
	case MsgPreVote, MsgVote:
		n.handleVote(now, m)
	case MsgPreVoteReply, MsgVoteReply:
		n.handleVoteReply(now, m)
	case MsgAppend, MsgHeartbeat, MsgSnapshot:
		n.handleLeaderMessage(now, m)
	case MsgAppendReply, MsgHeartbeatReply:
		n.handleAck(now, m)
	case MsgTimeoutNow:
		if n.members().voter(n.cfg.ID) && n.role != Leader {
			n.campaign(now, true)
		}
	case MsgReadIndex:
		n.addRead(now, m.From, m.Context)
	case MsgReadIndexReply:
		n.readyReads = append(n.readyReads, Read{Context: m.Context, Index: m.Index})
	}
}

func (n *Node) send(m Message) {
	m.Cluster, m.From = n.cfg.Cluster, n.cfg.ID
	if m.Term == 0 {
		m.Term = n.term
	}
	n.messages = append(n.messages, m)
}

func (n *Node) notLeader() error {
	if n.transferee != 0 {
		return fault.New(fault.NotRun, "leadership is being transferred").WithRetryAfter(n.cfg.Heartbeat)
	}
	return fault.New(fault.NotRun, "this member is not the leader").WithRetryAfter(n.cfg.Heartbeat)
}

// Status is the state of a member and its group, as the member knows it.
type Status struct {
	ID        MemberID
	Role      Role
	Term      uint64
	Leader    MemberID
	Commit    uint64
	Last      uint64
	Snapshot  uint64
	Members   Members
	Followers []FollowerStatus
}

// FollowerStatus is the state of another member, as the leader knows it.
type FollowerStatus struct {
	ID MemberID
	// Match is the highest index that the member is known to have synced.
	Match uint64
	// Silent is the time since the member was last heard from.
	Silent time.Duration
}

// Status returns a snapshot of the state of this member and, on the leader, the progress of
// the other members.
func (n *Node) Status(now time.Time) Status {
	s := Status{ID: n.cfg.ID, Role: n.role, Term: n.term, Leader: n.leader, Commit: n.commit,
		Last: n.log.last(), Snapshot: n.log.snapIndex, Members: n.members()}
	for _, m := range n.members() {
		if p := n.progress[m.ID]; p != nil {
			s.Followers = append(s.Followers, FollowerStatus{ID: m.ID, Match: p.match, Silent: now.Sub(p.lastAck)})
		}
	}
	return s
}

// Leader returns the leader of the current term, or 0 if it is unknown.
func (n *Node) Leader() MemberID { return n.leader }

// Term returns the highest term that this member has seen; it may have no leader yet.
func (n *Node) Term() uint64 { return n.term }
