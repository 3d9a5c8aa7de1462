package raft

import (
	"time"

	"github.com/comfreyladder/comfreyladder/core/fault"
)

// handleLeader handles what a leader of this term sends.
func (n *Node) handleLeader(now time.Time, m Message) {
	if n.role == Leader {
		n.failed = fault.New(fault.Internal, "member %x leads term %d as well", m.From, n.term)
		return
	}
	if n.role != Follower || n.leader != m.From {
		n.follow(now, n.term, m.From)
	}
	n.heard = now
	n.resetCampaign(now)
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
	if n.failed != nil {
		return
	}
	reply.Index = m.Index + uint64(len(m.Entries))
	n.commitTo(min(m.Commit, reply.Index))
	n.send(reply)
}

// skipCommitted drops the entries of an append that are committed here: they
// cannot differ, and their predecessor may have been truncated.
func skipCommitted(m Message, commit, term uint64) Message {
	skip := min(commit-m.Index, uint64(len(m.Entries)))
	m.Entries = m.Entries[skip:]
	m.Index, m.LogTerm = commit, term
	return m
}

// conflictHint returns the last index that may match the leader's log.
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

// merge appends entries. Those that are there already are kept, even if more
// follow: a late append must not cut off entries that were acknowledged since.
func (n *Node) merge(now time.Time, entries []Entry) {
	for _, e := range entries {
		if e.Index <= n.log.last() {
			if n.log.term(e.Index) == e.Term {
				continue
			}
			if e.Index <= n.commit {
				n.failed = fault.New(fault.Internal, "entry %d is committed with term %d, the leader has term %d", e.Index, n.log.term(e.Index), e.Term)
				return
			}
			n.log.cut(e.Index)
			n.forgetMembers(e.Index)
		}
		n.log.entries = append(n.log.entries, e)
		if e.Kind == EntryMembers {
			n.noteMembers(now, e.Index, e.Members)
		}
	}
}

func (n *Node) commitTo(index uint64) {
	n.commit = max(n.commit, min(index, n.log.last()))
}

// handleSnapshot takes over a leader's snapshot. If the log holds the entry that
// the snapshot ends with, the log is right and goes on beyond it, and only the
// commit moves: to drop the rest would forget entries that were acknowledged.
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
		n.changes = []membersAt{{index: s.Index, members: s.Members}}
		n.commit, n.applied = s.Index, s.Index
		n.snapshot = s
	}
	n.send(Message{Kind: MsgAppendReply, To: m.From, Round: m.Round, Index: n.commit})
}
