package raft

import (
	"time"

	"github.com/comfreyladder/comfreyladder/core/fault"
)

// progress is the leader's view of another member's log.
type progress struct {
	// match is the highest index that the member has synced; next is the first index that
	// was not sent yet.
	match, next uint64
	// probe limits the leader to one append at a time until it knows where the logs agree.
	probe bool
	// awaitingReply is set while a probe or a snapshot is in flight.
	awaitingReply bool
	// sentRound is the round in which entries or a snapshot were last sent.
	sentRound uint64
	// ackRound is the highest round that the member has echoed.
	ackRound uint64
	// sentCommit is the highest commit index sent to the member in a heartbeat.
	sentCommit uint64
	lastAck    time.Time
}

// Propose appends a command to the leader's log and returns its index and term. The command
// is committed if an entry with both is returned in Ready.Committed. Propose fails with
// fault.NotRun if this member is not the leader and with fault.Overloaded if too much is
// uncommitted; nothing is appended then.
func (n *Node) Propose(now time.Time, data []byte) (index, term uint64, err error) {
	if n.role != Leader || n.transferee != 0 {
		return 0, 0, n.notLeader()
	}
	if n.log.last()-n.commit >= n.cfg.MaxUncommitted || n.uncommitted+len(data) > n.cfg.MaxUncommittedBytes && n.uncommitted > 0 {
		return 0, 0, fault.New(fault.Overloaded, "too much is uncommitted: %d entries, %d bytes", n.log.last()-n.commit, n.uncommitted).WithRetryAfter(n.cfg.Heartbeat)
	}
	n.uncommitted += len(data)
	index = n.appendEntry(now, Entry{Kind: EntryCommand, Data: data})
	n.broadcastAppend()
	return index, n.term, nil
}

func (n *Node) appendEntry(now time.Time, e Entry) uint64 {
	e.Index, e.Term = n.log.last()+1, n.term
	e.Timestamp = max(now.UnixNano(), n.log.lastTimestamp())
	n.log.entries = append(n.log.entries, e)
	if e.Kind == EntryMembers {
		n.recordMembers(now, e.Index, e.Members)
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

// sendAppends sends the entries that a member lacks, within its flow control window.
func (n *Node) sendAppends(id MemberID) {
	p := n.progress[id]
	for p != nil && !p.awaitingReply && p.next <= n.log.last() && (p.probe || p.next-p.match <= n.cfg.MaxWindow) {
		if p.next <= n.log.snapIndex {
			n.sendSnapshot(id, p)
			return
		}
		high := min(p.next+uint64(n.cfg.MaxBatch)-1, n.log.last())
		high = n.log.limitBytes(p.next, high, n.cfg.MaxBatchBytes)
		entries := n.log.slice(p.next, high)
		n.send(Message{Kind: MsgAppend, To: id, Index: p.next - 1, LogTerm: n.log.term(p.next - 1),
			Entries: entries, Commit: n.commit, Round: n.round})
		p.sentRound = n.round
		if p.probe {
			p.awaitingReply = true
			return
		}
		p.next += uint64(len(entries))
	}
}

// sendSnapshot sends a snapshot to a member whose next entry was compacted. It is sent
// again when no reply came within the rounds of an election timeout.
func (n *Node) sendSnapshot(id MemberID, p *progress) {
	n.send(Message{Kind: MsgSnapshot, To: id, Round: n.round, Snapshot: &Snapshot{
		Index: n.log.snapIndex, Term: n.log.snapTerm, Timestamp: n.log.snapTimestamp, Members: n.membersAtIndex(n.log.snapIndex)}})
	p.probe, p.awaitingReply = true, true
	p.sentRound = n.round
}

// startRound sends the heartbeats of a new round. They carry no log position, so they renew
// the lease regardless of the state of the member's log.
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
	p.sentCommit = min(n.commit, p.match)
	n.send(Message{Kind: MsgHeartbeat, To: id, Round: n.round, Commit: p.sentCommit})
}

// sendCommitUpdates sends new commit indexes to members at once. A member that syncs an
// entry after the quorum did is informed when its own acknowledgement arrives, not a
// heartbeat later, because a proposal that it forwarded waits for it.
func (n *Node) sendCommitUpdates() {
	if n.role != Leader {
		return
	}
	for _, m := range n.members() {
		if p := n.progress[m.ID]; p != nil && min(n.commit, p.match) > p.sentCommit {
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
		n.retransmitLost(p, m.Round)
	} else {
		n.handleAppendReply(p, m)
	}
	n.sendAppends(m.From)
}

// retransmitLost detects lost appends: the member answered a heartbeat that was sent after
// them, but not the appends. Without this, a lost last append would stay lost until the
// next proposal.
func (n *Node) retransmitLost(p *progress, round uint64) {
	if round <= p.sentRound || p.match+1 >= p.next && !p.awaitingReply {
		return
	}
	allowedRounds := uint64(1)
	if p.awaitingReply && p.next <= n.log.snapIndex {
		allowedRounds = uint64(n.cfg.ElectionTimeout / n.cfg.Heartbeat)
	}
	if round <= p.sentRound+allowedRounds {
		return
	}
	p.awaitingReply = false
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
		p.probe, p.awaitingReply = true, false
		return
	}
	if m.Index < p.match {
		return
	}
	p.match = m.Index
	p.next = max(p.next, p.match+1)
	p.probe, p.awaitingReply = false, false
	n.advanceCommit()
	if n.transferee == m.From {
		n.sendTimeoutNow()
	}
}

// advanceCommit commits the entries that a quorum has synced. Only entries of the leader's
// own term count: an older entry on a quorum can still be overwritten by a leader that
// never received it. The leader counts its own log up to the last synced entry.
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
	n.uncommitted = max(0, n.uncommitted-n.log.dataSize(n.commit+1, index))
	n.commit = index
}

// stepDownIfRemoved makes a leader that was removed from the group step down once the
// removal is committed.
func (n *Node) stepDownIfRemoved(now time.Time) {
	last := n.memberships[len(n.memberships)-1]
	if n.role == Leader && last.index <= n.commit && !last.members.voter(n.cfg.ID) {
		n.sendHeartbeats()
		n.becomeFollower(now, n.term, 0)
	}
}
