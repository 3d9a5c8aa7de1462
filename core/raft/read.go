package raft

import (
	"time"

	"github.com/comfreyladder/comfreyladder/core/fault"
)

// pendingRead waits until the leader has proved that it still leads.
type pendingRead struct {
	context uint64
	from    MemberID
	index   uint64
	// round is the round that has to be echoed by a quorum; zero before one
	// was started for it.
	round uint64
}

// ReadIndex asks for a linearizable read. The answer comes as a Read with the
// same context in some Ready, or never, when the leader is lost: ask again then,
// under another context. It fails with fault.NotRun when no leader is known.
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

// committedInTerm reports whether the leader knows all that is committed: it
// does once an entry of its own term is, not before.
func (n *Node) committedInTerm() bool { return n.log.term(n.commit) == n.term }

// hasLease reports whether nobody else can lead now. A quorum has heard this
// leader since the start of a recent round, and such members ignore votes for
// an election timeout, or for the restart timeout if they have started anew since
// (see sticky and New). The lease is counted from the sending, and
// shortened for clocks that differ in rate. It guards against a leader that was
// cut off or frozen and still answers reads while another one accepts changes.
func (n *Node) hasLease(now time.Time) bool {
	if n.leaseLost {
		return false
	}
	lease := time.Duration(leaseShare * float64(n.cfg.RestartTimeout))
	return n.members().quorum(func(id MemberID) bool {
		if id == n.cfg.ID {
			return true
		}
		at, known := n.rounds[n.progress[id].ackRound]
		return known && now.Sub(at) < lease
	})
}

// startReads begins one round for all reads that came since the last one.
func (n *Node) startReads(now time.Time) {
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

// confirmReads answers the reads whose round a quorum has echoed.
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
		n.due = append(n.due, Read{Context: r.context, Index: r.index})
		return
	}
	n.send(Message{Kind: MsgReadIndexReply, To: r.from, Context: r.context, Index: r.index})
}
