package raft

import (
	"time"

	"github.com/comfreyladder/comfreyladder/core/fault"
)

// Role is what a member does in its term.
type Role uint8

// The roles of a member.
const (
	Follower Role = iota
	PreCandidate
	Candidate
	Leader
)

// String returns the role's name in logs.
func (r Role) String() string {
	return [...]string{"follower", "pre-candidate", "candidate", "leader"}[min(r, Leader)]
}

// Node is one member. It is not safe for concurrent use. All its times come from
// its caller and must carry a monotonic clock reading outside tests.
type Node struct {
	cfg    Config
	role   Role
	term   uint64
	vote   MemberID
	leader MemberID
	commit uint64
	// applied is the highest index handed out in Ready.Committed.
	applied uint64
	log     memLog
	// changes lists the membership of the snapshot and those of later entries.
	changes []membersAt

	// heard is when the current leader was last heard, or the start.
	heard time.Time
	// campaignAt is when silence makes this member campaign.
	campaignAt time.Time
	votes      map[MemberID]bool

	progress    map[MemberID]*progress
	heartbeatAt time.Time
	round       uint64
	rounds      map[uint64]time.Time
	reads       []pendingRead
	// uncommitted is the size of the leader's uncommitted data.
	uncommitted int

	transferee    MemberID
	transferUntil time.Time
	// leaseLost is set for the rest of the term by a transfer.
	leaseLost bool

	saved    HardState
	snapshot *Snapshot
	messages []Message
	due      []Read
	failed   error
}

// New returns a member that goes on from what it persisted. A member without a
// snapshot and entries has no membership: it cannot campaign, and waits for a
// leader to send it the log.
func New(now time.Time, cfg Config, hard HardState, snap Snapshot, entries []Entry) (*Node, error) {
	if err := cfg.validate(); err != nil {
		return nil, err
	}
	n := &Node{cfg: cfg, term: hard.Term, vote: hard.Vote, saved: hard, progress: map[MemberID]*progress{}}
	n.log.reset(&snap)
	n.changes = []membersAt{{index: snap.Index, members: snap.Members}}
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
			n.noteMembers(now, e.Index, e.Members)
		}
	}
	if n.term < n.log.lastTerm() {
		return nil, fault.New(fault.Corrupt, "the log has term %d, but the member knows only term %d", n.log.lastTerm(), n.term)
	}
	n.log.stable = n.log.last()
	// A restarted member has forgotten whether it acknowledged a heartbeat, on
	// which a leader's lease rests. Until the restart timeout has passed it
	// acts as if it had, or it could elect another leader within the lease.
	n.resetCampaign(now)
	if !n.unled() {
		n.heard = now.Add(cfg.RestartTimeout - cfg.ElectionTimeout)
		n.drawCampaign(now, cfg.RestartTimeout)
	}
	return n, nil
}

// Tick lets time pass. Call it several times per heartbeat.
func (n *Node) Tick(now time.Time) {
	if n.role == Leader {
		n.tickLeader(now)
		return
	}
	if !now.Before(n.campaignAt) && n.members().voter(n.cfg.ID) {
		n.campaign(now, false)
	}
}

func (n *Node) tickLeader(now time.Time) {
	if !n.hearsQuorum(now) {
		n.follow(now, n.term, 0)
		return
	}
	if n.transferee != 0 && !now.Before(n.transferUntil) {
		n.transferee = 0
	}
	if !now.Before(n.heartbeatAt) {
		n.startRound(now)
	}
}

// hearsQuorum is check-quorum: a leader that is cut off in silence, in one
// direction or both, steps down, so that its clients go elsewhere.
func (n *Node) hearsQuorum(now time.Time) bool {
	return n.members().quorum(func(id MemberID) bool {
		if id == n.cfg.ID {
			return true
		}
		return now.Sub(n.progress[id].lastAck) < n.cfg.ElectionTimeout
	})
}

// follow makes the member a follower in a term.
func (n *Node) follow(now time.Time, term uint64, leader MemberID) {
	if term > n.term {
		n.term, n.vote = term, 0
	}
	n.role, n.leader = Follower, leader
	n.votes, n.reads, n.rounds = nil, nil, nil
	n.transferee = 0
	clear(n.progress)
	n.resetCampaign(now)
}

func (n *Node) resetCampaign(now time.Time) {
	timeout := n.cfg.ElectionTimeout
	if n.unled() {
		timeout /= foundingHaste
	}
	n.drawCampaign(now, timeout)
}

// drawCampaign lets this member campaign after a silence between a timeout and twice it.
func (n *Node) drawCampaign(now time.Time, timeout time.Duration) {
	spread := time.Duration(n.cfg.Rand.Int63n(int64(timeout)))
	n.campaignAt = now.Add(timeout + spread)
}

// unled reports whether this member knows no term but that of the founding, in
// which nobody leads. It has acknowledged no leader then, since a newer term is
// synced before anything of that term is acknowledged: there is no lease to
// respect and no leader to wait for.
func (n *Node) unled() bool { return n.term == FoundingTerm }

// Step handles one message. Messages for another member or cluster are dropped.
// An error means that the member must stop: its log contradicts what the group
// has committed.
func (n *Node) Step(now time.Time, m Message) error {
	if n.failed != nil {
		return n.failed
	}
	if m.To != n.cfg.ID || m.Cluster != n.cfg.Cluster || m.From == n.cfg.ID {
		return nil
	}
	switch {
	case m.Term > n.term:
		if !n.stepNewer(now, m) {
			return nil
		}
	case m.Term < n.term:
		n.stepOlder(m)
		return nil
	}
	n.dispatch(now, m)
	return n.failed
}

// stepNewer handles the term of a message from a newer term and reports whether
// the message itself is to be handled.
func (n *Node) stepNewer(now time.Time, m Message) bool {
	switch m.Kind {
	case MsgPreVote:
		return true
	case MsgPreVoteReply:
		if !m.Reject {
			return true
		}
		n.follow(now, m.Term, 0)
		return false
	case MsgVote:
		if n.sticky(now) && !m.Transfer {
			return false
		}
		n.follow(now, m.Term, 0)
	case MsgAppend, MsgHeartbeat, MsgSnapshot:
		n.follow(now, m.Term, m.From)
	default:
		n.follow(now, m.Term, 0)
	}
	return true
}

// stepOlder tells the sender of an older term about the newer one.
func (n *Node) stepOlder(m Message) {
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
		n.handleLeader(now, m)
	case MsgAppendReply, MsgHeartbeatReply:
		n.handleAck(now, m)
	case MsgTimeoutNow:
		if n.members().voter(n.cfg.ID) && n.role != Leader {
			n.campaign(now, true)
		}
	case MsgReadIndex:
		n.addRead(now, m.From, m.Context)
	case MsgReadIndexReply:
		n.due = append(n.due, Read{Context: m.Context, Index: m.Index})
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
	return fault.New(fault.NotRun, "this member does not lead").WithRetryAfter(n.cfg.Heartbeat)
}

// Status is what a member knows about itself and its group.
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

// FollowerStatus is what a leader knows about another member.
type FollowerStatus struct {
	ID MemberID
	// Match is the highest index that the member has synced.
	Match uint64
	// Silent is how long ago the member was last heard.
	Silent time.Duration
}

// Status returns the member's state at the given time.
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

// Leader returns the leader of the current term, or 0 when none is known.
func (n *Node) Leader() MemberID { return n.leader }

// Term returns the current term.
func (n *Node) Term() uint64 { return n.term }
