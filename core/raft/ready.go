package raft

import (
	"time"

	"github.com/comfreyladder/comfreyladder/core/fault"
)

// Ready returns the work to be done now; see the Ready type. The caller does it and calls
// Advance before it steps the node again.
func (n *Node) Ready(now time.Time) Ready {
	n.startReadRound(now)
	n.sendCommitUpdates()
	r := Ready{
		HardState: HardState{Term: n.term, Vote: n.vote},
		Snapshot:  n.snapshot,
		Entries:   n.log.slice(n.log.stable+1, n.log.last()),
		Messages:  n.messages,
		Committed: n.log.slice(n.applied+1, n.commit),
		Reads:     n.readyReads,
	}
	r.HardStateChanged = r.HardState != n.persisted
	n.snapshot, n.messages, n.readyReads = nil, nil, nil
	return r
}

// Advance reports that a Ready was processed. More work may be ready afterwards.
func (n *Node) Advance(now time.Time, r Ready) {
	n.persisted = r.HardState
	if k := len(r.Entries); k > 0 {
		n.log.stable = r.Entries[k-1].Index
	}
	if k := len(r.Committed); k > 0 {
		n.applied = r.Committed[k-1].Index
	}
	if n.role == Leader {
		n.advanceCommit()
		n.stepDownIfRemoved(now)
	}
}

// Compact drops the log up to a snapshot at index that the caller has synced, but keeps up
// to tail entries and tailBytes bytes of data before it for followers that lag slightly. It
// returns the first index that is kept.
func (n *Node) Compact(index, tail uint64, tailBytes int) (uint64, error) {
	if index > n.applied {
		return 0, fault.New(fault.Invalid, "snapshot index %d is beyond the applied index %d", index, n.applied)
	}
	upTo := max(index-min(tail, index), n.log.snapIndex)
	for n.log.dataSize(upTo+1, index) > tailBytes {
		upTo++
	}
	if upTo <= n.log.snapIndex {
		return n.log.snapIndex + 1, nil
	}
	members := n.membersAtIndex(upTo)
	n.log.compact(upTo)
	kept := []indexedMembers{{index: upTo, members: members}}
	for _, c := range n.memberships {
		if c.index > upTo {
			kept = append(kept, c)
		}
	}
	n.memberships = kept
	return upTo + 1, nil
}

// SnapshotAt returns the metadata of a snapshot of the state at an applied index.
func (n *Node) SnapshotAt(index uint64) (Snapshot, error) {
	if index > n.applied || index < n.log.snapIndex {
		return Snapshot{}, fault.New(fault.Invalid, "no snapshot at index %d: applied index is %d, log starts after %d", index, n.applied, n.log.snapIndex)
	}
	s := Snapshot{Index: index, Term: n.log.term(index), Timestamp: n.log.snapTimestamp, Members: n.membersAtIndex(index)}
	if e := n.log.slice(index, index); len(e) == 1 {
		s.Timestamp = e[0].Timestamp
	}
	return s, nil
}
