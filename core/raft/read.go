package raft

import (
	"time"

	"github.com/comfreyladder/comfreyladder/core/fault"
)

// pendingRead is a read request that waits until the leader has confirmed its leadership.
type pendingRead struct {
	context uint64
	from    MemberID
	index   uint64
	// round is the heartbeat round that a quorum has to echo; zero until one is started for
	// this read.
	round uint64
}

// ReadIndex requests a linearizable read. The result is a Read with the same context in a
// later Ready. It never comes if the leader is lost: retry with another context then. It
// fails with fault.NotRun if no leader is known.
func (n *Node) ReadIndex(now time.Time, context uint64) error {
	if n.role == Leader {
		n.addRead(now, n.cfg.ID, context)
		return nil
	}
	if n.leader == 0 {
		return fault.New(fault.NotRun, "no leader is known").WithRetryAfter(n.cfg.Heartbeat)
	}
	n.send(Message{Kind: MsgReadIndex, To: n.leader, Context: context})
	return nil
}

func (n *Node) addRead(now time.Time, from MemberID, context uint64) {
	if n.role != Leader {
		return
	}
	r := pendingRead{context: context, from: from}
	if n.committedInTerm() && n.hasLease(now) {
		r.index = n.commit
		n.answerRead(r)
		return
	}
	n.reads = append(n.reads, r)
}

// committedInTerm reports whether the leader knows of all committed entries, which is so
// once an entry of its own term is committed.
func (n *Node) committedInTerm() bool { return n.log.term(n.commit) == n.term }

// hasLease reports whether no other member can be leader now. A quorum has heard from this
// leader since the start of a recent round, and its members ignore vote requests for an
// election timeout, or for the restart timeout if they have restarted since (see
// hasRecentLeader and New). The lease counts from the time of sending and is shortened to
// tolerate clocks whose rates differ. It keeps a leader that was partitioned or suspended
// from answering reads while another one accepts changes.
func (n *Node) hasLease(now time.Time) bool {
	if n.leaseRevoked {
		return false
	}
	lease := time.Duration(leaseFraction * float64(n.cfg.RestartTimeout))
	return n.members().quorum(func(id MemberID) bool {
		if id == n.cfg.ID {
			return true
		}
		at, known := n.rounds[n.progress[id].ackRound]
		return known && now.Sub(at) < lease
	})
}

// startReadRound starts one heartbeat round for all reads that arrived since the last one.
func (n *Node) startReadRound(now time.Time) {
	if n.role != Leader || !n.committedInTerm() {
		return
	}
	started := false
	for i := range n.reads {
		if n.reads[i].round != 0 {
			continue
		}
		if !started {
			n.startRound(now)
			started = true
		}
		n.reads[i].round, n.reads[i].index = n.round, n.commit
	}
	n.confirmReads()
}

// confirmReads answers the reads whose round was echoed by a quorum.
func (n *Node) confirmReads() {
	acked := quorumValue(n.members(), func(id MemberID) uint64 {
		if id == n.cfg.ID {
			return n.round
		}
		return n.progress[id].ackRound
	})
	for len(n.reads) > 0 && n.reads[0].round != 0 && n.reads[0].round <= acked {
		n.answerRead(n.reads[0])
		n.reads = n.reads[1:]
	}
}

func (n *Node) answerRead(r pendingRead) {
	if r.from == n.cfg.ID {
		n.readyReads = append(n.readyReads, Read{Context: r.context, Index: r.index})
		return
	}
	n.send(Message{Kind: MsgReadIndexReply, To: r.from, Context: r.context, Index: r.index})
}
