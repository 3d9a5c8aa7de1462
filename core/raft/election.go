package raft

import "time"

// sticky reports whether the member still holds to a leader that it heard within
// the election timeout. Such a member ignores votes: a member that was cut off
// and comes back cannot depose a healthy leader, and a leader's lease stays good
// until a quorum has been silent for the timeout.
func (n *Node) sticky(now time.Time) bool {
	return n.role == Leader || now.Sub(n.heard) < n.cfg.ElectionTimeout
}

// campaign starts an election: at first a pre-vote, which changes nobody's term,
// so that a member that cannot win does not disturb the group. A transfer skips
// it, since the leader itself asked for the election.
func (n *Node) campaign(now time.Time, transfer bool) {
	kind, term := MsgPreVote, n.term+1
	n.role, n.leader = PreCandidate, 0
	if transfer {
		kind = MsgVote
		n.becomeCandidate()
	}
	n.votes = map[MemberID]bool{n.cfg.ID: true}
	n.resetCampaign(now)
	n.askVotes(kind, term, transfer)
	n.countVotes(now)
}

func (n *Node) becomeCandidate() {
	n.role = Candidate
	n.term++
	n.vote = n.cfg.ID
	n.votes = map[MemberID]bool{n.cfg.ID: true}
}

func (n *Node) askVotes(kind MessageKind, term uint64, transfer bool) {
	for _, id := range n.members().Voters() {
		if id != n.cfg.ID {
			n.send(Message{Kind: kind, To: id, Term: term, Index: n.log.last(), LogTerm: n.log.lastTerm(), Transfer: transfer})
		}
	}
}

func (n *Node) handleVote(now time.Time, m Message) {
	if m.Kind == MsgPreVote {
		grant := m.Term > n.term && !n.sticky(now) && n.log.covered(m.Index, m.LogTerm)
		reply := Message{Kind: MsgPreVoteReply, To: m.From, Reject: !grant}
		if grant {
			reply.Term = m.Term
		}
		n.send(reply)
		return
	}
	free := n.vote == m.From || (n.vote == 0 && n.leader == 0)
	grant := free && n.log.covered(m.Index, m.LogTerm)
	if grant {
		n.vote = m.From
		n.resetCampaign(now)
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
		n.lead(now)
		return
	}
	n.becomeCandidate()
	n.askVotes(MsgVote, n.term, false)
	n.countVotes(now)
}

// lead makes the member the leader of its term. The entry that it appends lets
// it commit: entries of earlier terms commit only along with one of its own.
func (n *Node) lead(now time.Time) {
	n.role, n.leader = Leader, n.cfg.ID
	n.votes = nil
	n.leaseLost = false
	n.uncommitted = n.log.bytes(n.commit+1, n.log.last())
	n.rounds = map[uint64]time.Time{}
	clear(n.progress)
	n.syncProgress(now, n.log.last()+1)
	n.appendEntry(now, Entry{Kind: EntryNoop})
	n.broadcastAppend()
	n.startRound(now)
}

// Transfer hands the leadership to another voter. Proposals are refused until it
// is done or an election timeout has passed.
func (n *Node) Transfer(now time.Time, to MemberID) error {
	if n.role != Leader || !n.members().voter(to) || to == n.cfg.ID {
		return n.notLeader()
	}
	n.transferee = to
	n.transferUntil = now.Add(n.cfg.ElectionTimeout)
	// The order to campaign may arrive late, even after the transfer was given
	// up, and its election overrides stickiness, on which the lease rests.
	n.leaseLost = true
	n.sendTimeoutNow()
	return nil
}

func (n *Node) sendTimeoutNow() {
	if p := n.progress[n.transferee]; p != nil && p.match == n.log.last() {
		n.send(Message{Kind: MsgTimeoutNow, To: n.transferee})
	}
}
