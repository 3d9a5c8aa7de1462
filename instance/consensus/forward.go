package consensus

import (
	"time"

	"github.com/comfreyladder/comfreyladder/core/fault"
	"github.com/comfreyladder/comfreyladder/core/raft"
	"github.com/comfreyladder/comfreyladder/instance/clock"
)

// seenWindow is how many numbers of a sender are remembered. Older messages are
// dropped as duplicates.
const seenWindow = 8192

// seenContexts recognises proposals that the network delivers twice.
type seenContexts struct {
	top  uint64
	seen map[uint64]bool
}

// fresh reports whether a number comes for the first time.
func (w *seenContexts) fresh(number uint64) bool {
	if w.seen[number] || number+seenWindow <= w.top {
		return false
	}
	w.seen[number] = true
	w.top = max(w.top, number)
	if len(w.seen) > 2*seenWindow {
		for n := range w.seen {
			if n+seenWindow <= w.top {
				delete(w.seen, n)
			}
		}
	}
	return true
}

// step handles a message from another member.
func (s *Service) step(m raft.Message) error {
	switch m.Kind {
	case raft.MsgPropose:
		if m.Cluster == s.cfg.Identity.Cluster && m.To == s.cfg.Identity.ID {
			s.handleForward(m)
		}
		return nil
	case raft.MsgProposeReply:
		if m.Cluster == s.cfg.Identity.Cluster && m.To == s.cfg.Identity.ID {
			s.handleForwardReply(m)
		}
		return nil
	case raft.MsgSnapshotPart:
		whole, complete := s.parts.add(m)
		if !complete {
			return nil
		}
		m = whole
	}
	return s.node.Step(clock.Now(), m)
}

// handleForward appends another member's proposal if this one leads the term in
// which it was sent, and else says that it did not; that it did, the sender sees
// when the command is applied. A "not run" must stay true
// when the network delivers the proposal again: a doubled message is recognised
// by its number, and one that comes in a later term by its term.
func (s *Service) handleForward(m raft.Message) {
	w := s.seen[m.From]
	if w == nil {
		w = &seenContexts{seen: map[uint64]bool{}}
		s.seen[m.From] = w
	}
	if !w.fresh(m.Context) {
		return
	}
	reply := raft.Message{Kind: raft.MsgProposeReply, Cluster: m.Cluster, From: m.To, To: m.From, Term: m.Term, Context: m.Context, Reject: true}
	if s.node.Leader() == s.cfg.Identity.ID && s.node.Term() == m.Term {
		_, _, err := s.node.Propose(clock.Now(), m.Data)
		if err == nil {
			return
		}
		if fault.CodeOf(err) == fault.Overloaded {
			reply.Hint = uint64(s.cfg.Heartbeat)
		}
	}
	s.cfg.Transport.Send(m.From, reply)
}

func (s *Service) handleForwardReply(m raft.Message) {
	c := s.reads[m.Context]
	if c == nil || c.kind != callPropose || c.finished {
		return
	}
	switch {
	case m.Reject && m.Hint > 0:
		s.finish(c, reply{err: fault.New(fault.Overloaded, "the leader has too much uncommitted").WithRetryAfter(time.Duration(m.Hint))})
	case m.Reject:
		s.retry(c, fault.New(fault.NotRun, "the instance that was asked does not lead").WithRetryAfter(s.cfg.Heartbeat))
	}
}
