package raft

import (
	"time"

	"github.com/comfreyladder/comfreyladder/core/fault"
)

// handleLeaderMessage handles an append, a snapshot or a heartbeat of the current term.
func (n *Node) handleLeaderMessage(now time.Time, m Message) {
	if n.role == Leader {
		n.fatalErr = fault.New(fault.Internal, "member %x also claims to lead term %d", m.From, n.term)
		return
	}
	if n.role != Follower || n.leader != m.From {
		n.becomeFollower(now, n.term, m.From)
	}
	n.lastLeaderContact = now
	n.resetElectionTimeout(now)
	switch m.Kind {
	case MsgAppend:
		n.handleAppend(now, m)
	case MsgSnapshot:
		n.handleSnapshot(m)
	default:
		n.commitTo(m.Commit)
		n.send(Message{Kind: MsgHeartbeatReply, To: m.From, Round: m.Round})
	}
}

func (n *Node) handleAppend(now time.Time, m Message) {
	reply := Message{Kind: MsgAppendReply, To: m.From, Round: m.Round}
	if m.Index < n.commit {
		m = skipCommitted(m, n.commit, n.log.term(n.commit))
	}
	if !n.log.has(m.Index, m.LogTerm) {
		reply.Reject, reply.Index = true, m.Index
		reply.Hint = n.conflictHint(m.Index)
		n.send(reply)
		return
	}
	n.merge(now, m.Entries)
	if n.fatalErr != nil {
		return
	}
	reply.Index = m.Index + uint64(len(m.Entries))
	n.commitTo(min(m.Commit, reply.Index))
	n.send(reply)
}

// skipCommitted drops the entries of an append that are committed here. They cannot differ,
// and the entry before them may have been compacted.
func skipCommitted(m Message, commit, term uint64) Message {
	skip := min(commit-m.Index, uint64(len(m.Entries)))
	m.Entries = m.Entries[skip:]
	m.Index, m.LogTerm = commit, term
	return m
}

// conflictHint returns the highest index at which this log may match the leader's.
func (n *Node) conflictHint(index uint64) uint64 {
	if index > n.log.last() {
		return n.log.last()
	}
	term := n.log.term(index)
	for index > n.commit && n.log.term(index) == term {
		index--
	}
	return index
}

// merge appends entries. Entries that match the log are kept along with all after them: a
// delayed append must not truncate entries that were acknowledged since.
func (n *Node) merge(now time.Time, entries []Entry) {
	for _, e := range entries {
		if e.Index <= n.log.last() {
			if n.log.term(e.Index) == e.Term {
				continue
			}
			if e.Index <= n.commit {
				n.fatalErr = fault.New(fault.Internal, "entry %d is committed with term %d, but the leader sent it with term %d", e.Index, n.log.term(e.Index), e.Term)
				return
			}
			n.log.truncateFrom(e.Index)
			n.rollbackMembers(e.Index)
		}
		n.log.entries = append(n.log.entries, e)
		if e.Kind == EntryMembers {
			n.recordMembers(now, e.Index, e.Members)
		}
	}
}

func (n *Node) commitTo(index uint64) {
	n.commit = max(n.commit, min(index, n.log.last()))
}

// handleSnapshot installs a leader's snapshot. If the log contains the snapshot's last
// entry, only the commit index moves: dropping the entries after it would lose acknowledged
// ones.
func (n *Node) handleSnapshot(m Message) {
	s := m.Snapshot
	if s == nil {
		return
	}
	if s.Index > n.commit && n.log.has(s.Index, s.Term) {
		n.commitTo(s.Index)
	}
	if s.Index > n.commit {
		n.log.reset(s)
		n.memberships = []indexedMembers{{index: s.Index, members: s.Members}}
		n.commit, n.applied = s.Index, s.Index
		n.snapshot = s
	}
	n.send(Message{Kind: MsgAppendReply, To: m.From, Round: m.Round, Index: n.commit})
}
