package raft

import "time"

// hasRecentLeader reports whether this member leads or has heard from a leader within the
// election timeout. Such a member ignores vote requests: a member that rejoins after a
// partition cannot depose a healthy leader, and a lease stays valid until a quorum has not
// heard from the leader for the timeout.
func (n *Node) hasRecentLeader(now time.Time) bool {
	return n.role == Leader || now.Sub(n.lastLeaderContact) < n.cfg.ElectionTimeout
}

// campaign starts an election with a pre-vote, which changes no terms, so a member that
// cannot win does not disrupt the group. A leadership transfer skips the pre-vote, since
// the leader itself asked for the election.
func (n *Node) campaign(now time.Time, transfer bool) {
	kind, term := MsgPreVote, n.term+1
	n.role, n.leader = PreCandidate, 0
	if transfer {
		kind = MsgVote
		n.becomeCandidate()
	}
	n.votes = map[MemberID]bool{n.cfg.ID: true}
	n.resetElectionTimeout(now)
	n.schedulePreVote(now)
	n.requestVotes(kind, term, transfer)
	n.countVotes(now)
}

// repeatPreVote asks again the members that have not granted a pre-vote. After a restart of all
// members, the first requests find some not reachable yet, and others that respect a lease for a
// moment longer; waiting for an election timeout would leave the group without a leader for as
// long. Pre-votes change no state, so repeating them disrupts nothing.
func (n *Node) repeatPreVote(now time.Time) {
	n.schedulePreVote(now)
	n.requestVotes(MsgPreVote, n.term+1, false)
}

// schedulePreVote sets the time of the next requests, at random so that candidates don't collide.
func (n *Node) schedulePreVote(now time.Time) {
	half := int64(n.cfg.Heartbeat) / 2
	n.preVoteAt = now.Add(time.Duration(half + n.cfg.Rand.Int63n(half)))
}

func (n *Node) becomeCandidate() {
	n.role = Candidate
	n.term++
	n.vote = n.cfg.ID
	n.votes = map[MemberID]bool{n.cfg.ID: true}
}

func (n *Node) requestVotes(kind MessageKind, term uint64, transfer bool) {
	for _, id := range n.members().Voters() {
		if id != n.cfg.ID && !n.votes[id] {
			n.send(Message{Kind: kind, To: id, Term: term, Index: n.log.last(), LogTerm: n.log.lastTerm(), Transfer: transfer})
		}
	}
}

func (n *Node) handleVote(now time.Time, m Message) {
	if m.Kind == MsgPreVote {
		grant := m.Term > n.term && !n.hasRecentLeader(now) && n.log.isUpToDate(m.Index, m.LogTerm)
		reply := Message{Kind: MsgPreVoteReply, To: m.From, Reject: !grant}
		if grant {
			reply.Term = m.Term
		}
		n.send(reply)
		return
	}
	canVote := n.vote == m.From || (n.vote == 0 && n.leader == 0)
	grant := canVote && n.log.isUpToDate(m.Index, m.LogTerm)
	if grant {
		n.vote = m.From
		n.resetElectionTimeout(now)
	}
	n.send(Message{Kind: MsgVoteReply, To: m.From, Reject: !grant})
}

func (n *Node) handleVoteReply(now time.Time, m Message) {
	pre := m.Kind == MsgPreVoteReply
	if pre && (n.role != PreCandidate || (!m.Reject && m.Term != n.term+1)) {
		return
	}
	if !pre && n.role != Candidate {
		return
	}
	if !m.Reject {
		n.votes[m.From] = true
		n.countVotes(now)
	}
}

func (n *Node) countVotes(now time.Time) {
	if !n.members().quorum(func(id MemberID) bool { return n.votes[id] }) {
		return
	}
	if n.role == Candidate {
		n.becomeLeader(now)
		return
	}
	n.becomeCandidate()
	n.requestVotes(MsgVote, n.term, false)
	n.countVotes(now)
}

// becomeLeader makes the member the leader of its term. It appends a no-op entry because
// entries of earlier terms can be committed only together with one of its own term.
func (n *Node) becomeLeader(now time.Time) {
	n.role, n.leader = Leader, n.cfg.ID
	n.votes = nil
	n.leaseRevoked = false
	n.uncommitted = n.log.dataSize(n.commit+1, n.log.last())
	n.rounds = map[uint64]time.Time{}
	clear(n.progress)
	n.syncProgress(now, n.log.last()+1)
	n.appendEntry(now, Entry{Kind: EntryNoop})
	n.broadcastAppend()
	n.startRound(now)
}

// Transfer transfers the leadership to another voter. Proposals are rejected until the
// transfer is complete or an election timeout has passed.
func (n *Node) Transfer(now time.Time, to MemberID) error {
	if n.role != Leader || !n.members().voter(to) || to == n.cfg.ID {
		return n.notLeader()
	}
	n.transferee = to
	n.transferDeadline = now.Add(n.cfg.ElectionTimeout)
	// MsgTimeoutNow may arrive late, even after the transfer has timed out. The election
	// that it starts overrides hasRecentLeader, on which the lease rests.
	n.leaseRevoked = true
	n.sendTimeoutNow()
	return nil
}

func (n *Node) sendTimeoutNow() {
	if p := n.progress[n.transferee]; p != nil && p.match == n.log.last() {
		n.send(Message{Kind: MsgTimeoutNow, To: n.transferee})
	}
}
