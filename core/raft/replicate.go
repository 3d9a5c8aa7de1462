package raft

import (
	"time"

	"github.com/comfreyladder/comfreyladder/core/fault"
)

// progress is what the leader knows about another member's log.
type progress struct {
	// match is the highest index that the member has synced; next is the first
	// one that was not sent yet.
	match, next uint64
	// probe limits the leader to one append at a time, until it is known where
	// the logs agree.
	probe bool
	// waiting is set while a probe or a snapshot is under way.
	waiting bool
	// sentRound is the round in which entries or a snapshot were last sent.
	sentRound uint64
	// ackRound is the highest round that the member has echoed.
	ackRound uint64
	// told is the highest commit that the member was told of in a heartbeat.
	told    uint64
	lastAck time.Time
}

// Propose appends a command to the leader's log and returns its index and term;
// the command is committed if an entry with both comes out of a Ready. It fails
// with fault.NotRun on a member that does not lead and with fault.Overloaded
// when too much is uncommitted; nothing was appended then.
func (n *Node) Propose(now time.Time, data []byte) (index, term uint64, err error) {
	if n.role != Leader || n.transferee != 0 {
		return 0, 0, n.notLeader()
	}
	if n.log.last()-n.commit >= n.cfg.MaxUncommitted || n.uncommitted+len(data) > n.cfg.MaxUncommittedBytes && n.uncommitted > 0 {
		return 0, 0, fault.New(fault.Overloaded, "%d entries of %d bytes are uncommitted", n.log.last()-n.commit, n.uncommitted).WithRetryAfter(n.cfg.Heartbeat)
	}
	n.uncommitted += len(data)
	index = n.appendEntry(now, Entry{Kind: EntryCommand, Data: data})
	n.broadcastAppend()
	return index, n.term, nil
}

func (n *Node) appendEntry(now time.Time, e Entry) uint64 {
	e.Index, e.Term = n.log.last()+1, n.term
	e.At = max(now.UnixNano(), n.log.lastAt())
	n.log.entries = append(n.log.entries, e)
	if e.Kind == EntryMembers {
		n.noteMembers(now, e.Index, e.Members)
	}
	return e.Index
}

func (n *Node) broadcastAppend() {
	for _, m := range n.members() {
		if m.ID != n.cfg.ID {
			n.sendAppends(m.ID)
		}
	}
}

// sendAppends sends what a member lacks, as far as its window allows.
func (n *Node) sendAppends(id MemberID) {
	p := n.progress[id]
	for p != nil && !p.waiting && p.next <= n.log.last() && (p.probe || p.next-p.match <= n.cfg.MaxWindow) {
		if p.next <= n.log.snapIndex {
			n.sendSnapshot(id, p)
			return
		}
		high := min(p.next+uint64(n.cfg.MaxBatch)-1, n.log.last())
		high = n.log.within(p.next, high, n.cfg.MaxBatchBytes)
		entries := n.log.slice(p.next, high)
		n.send(Message{Kind: MsgAppend, To: id, Index: p.next - 1, LogTerm: n.log.term(p.next - 1),
			Entries: entries, Commit: n.commit, Round: n.round})
		p.sentRound = n.round
		if p.probe {
			p.waiting = true
			return
		}
		p.next += uint64(len(entries))
	}
}

// sendSnapshot brings a member up to date whose next entry was truncated. It is
// sent again when an election timeout's worth of rounds brought no reply.
func (n *Node) sendSnapshot(id MemberID, p *progress) {
	n.send(Message{Kind: MsgSnapshot, To: id, Round: n.round, Snapshot: &Snapshot{
		Index: n.log.snapIndex, Term: n.log.snapTerm, At: n.log.snapAt, Members: n.membersFor(n.log.snapIndex)}})
	p.probe, p.waiting = true, true
	p.sentRound = n.round
}

// startRound sends heartbeats of a new round. They carry no log position, so
// they keep the lease going whatever the state of the member's log.
func (n *Node) startRound(now time.Time) {
	n.round++
	n.rounds[n.round] = now
	n.heartbeatAt = now.Add(n.cfg.Heartbeat)
	for r, at := range n.rounds {
		if now.Sub(at) > n.cfg.ElectionTimeout {
			delete(n.rounds, r)
		}
	}
	n.sendHeartbeats()
}

func (n *Node) sendHeartbeats() {
	for _, m := range n.members() {
		if p := n.progress[m.ID]; p != nil {
			n.sendHeartbeat(m.ID, p)
		}
	}
}

func (n *Node) sendHeartbeat(id MemberID, p *progress) {
	p.told = min(n.commit, p.match)
	n.send(Message{Kind: MsgHeartbeat, To: id, Round: n.round, Commit: p.told})
}

// tellCommits tells members at once what is newly committed. One that syncs an
// entry after the quorum did is told when its own acknowledgement has come, and
// not a heartbeat later: a proposal that it forwarded waits for it.
func (n *Node) tellCommits() {
	if n.role != Leader {
		return
	}
	for _, m := range n.members() {
		if p := n.progress[m.ID]; p != nil && min(n.commit, p.match) > p.told {
			n.sendHeartbeat(m.ID, p)
		}
	}
}

func (n *Node) handleAck(now time.Time, m Message) {
	p := n.progress[m.From]
	if n.role != Leader || p == nil {
		return
	}
	p.lastAck = now
	p.ackRound = max(p.ackRound, m.Round)
	n.confirmReads()
	if m.Kind == MsgHeartbeatReply {
		n.resendLost(p, m.Round)
	} else {
		n.handleAppendReply(p, m)
	}
	n.sendAppends(m.From)
}

// resendLost notices appends without a reply: a heartbeat that was sent after
// them has been answered, yet they were not. Without it a lost last append would
// stay lost until the next proposal.
func (n *Node) resendLost(p *progress, round uint64) {
	if round <= p.sentRound || p.match+1 >= p.next && !p.waiting {
		return
	}
	patience := uint64(1)
	if p.waiting && p.next <= n.log.snapIndex {
		patience = uint64(n.cfg.ElectionTimeout / n.cfg.Heartbeat)
	}
	if round <= p.sentRound+patience {
		return
	}
	p.waiting = false
	if !p.probe {
		p.next = p.match + 1
	}
}

func (n *Node) handleAppendReply(p *progress, m Message) {
	if m.Reject {
		if m.Index <= p.match || m.Index >= p.next && !p.probe {
			return
		}
		p.next = max(min(m.Index, m.Hint+1), p.match+1)
		p.probe, p.waiting = true, false
		return
	}
	if m.Index < p.match {
		return
	}
	p.match = m.Index
	p.next = max(p.next, p.match+1)
	p.probe, p.waiting = false, false
	n.advanceCommit()
	if n.transferee == m.From {
		n.sendTimeoutNow()
	}
}

// advanceCommit commits what a quorum has synced. Only entries of the leader's
// own term are counted: an older one on a quorum can still be overwritten by a
// leader that never saw it. The leader counts its own log up to what it synced.
func (n *Node) advanceCommit() {
	index := quorumValue(n.members(), func(id MemberID) uint64 {
		if id == n.cfg.ID {
			return n.log.stable
		}
		return n.progress[id].match
	})
	if index <= n.commit || n.log.term(index) != n.term {
		return
	}
	n.uncommitted = max(0, n.uncommitted-n.log.bytes(n.commit+1, index))
	n.commit = index
}

// retireIfRemoved makes a leader that the group has removed step down once its
// removal is committed.
func (n *Node) retireIfRemoved(now time.Time) {
	last := n.changes[len(n.changes)-1]
	if n.role == Leader && last.index <= n.commit && !last.members.voter(n.cfg.ID) {
		n.sendHeartbeats()
		n.follow(now, n.term, 0)
	}
}
