package consensus

import (
	"time"

	"github.com/comfreyladder/comfreyladder/core/fault"
	"github.com/comfreyladder/comfreyladder/core/raft"
	"github.com/comfreyladder/comfreyladder/instance/clock"
)

// seenWindow is the number of most recent contexts remembered per sender. Messages
// with older ones are dropped as duplicates.
const seenWindow = 8192

// contextWindow detects proposals that the network delivered more than once.
type contextWindow struct {
	top  uint64
	seen map[uint64]bool
}

// addIfNew records a number and reports whether it was new.
func (w *contextWindow) addIfNew(number uint64) bool {
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

// step processes a message from another member.
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

// handleForward appends another member's proposal if this member leads the term in
// which it was sent, and otherwise replies that it did not. The sender learns of
// success by applying the command. A "not run" reply must stay true when the network
// delivers the proposal again: a duplicate is detected by its context number, and a
// message that arrives in a later term by its term.
func (s *Service) handleForward(m raft.Message) {
	w := s.seenBySender[m.From]
	if w == nil {
		w = &contextWindow{seen: map[uint64]bool{}}
		s.seenBySender[m.From] = w
	}
	if !w.addIfNew(m.Context) {
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
		s.finish(c, reply{err: fault.New(fault.Overloaded, "the leader has too many uncommitted entries").WithRetryAfter(time.Duration(m.Hint))})
	case m.Reject:
		s.retry(c, fault.New(fault.NotRun, "the instance that received the command is not the leader").WithRetryAfter(s.cfg.Heartbeat))
	}
}
