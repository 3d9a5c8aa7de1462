package raft_test

import (
	"slices"

	"github.com/comfreyladder/comfreyladder/core/raft"
)

func (s *sim) apply(h *host, r raft.Ready) {
	if r.Snapshot != nil {
		h.state, h.last = digestOf(*r.Snapshot), r.Snapshot.Index
		s.checkState(h, h.last)
	}
	for _, e := range r.Committed {
		if e.Index != h.last+1 {
			s.fail("member %d applies entry %d after entry %d", h.id, e.Index, h.last)
		}
		h.last = e.Index
		if e.Kind == raft.EntryCommand {
			for _, b := range e.Data {
				h.state = h.state*1099511628211 + uint64(b) + 1
			}
		}
		s.checkCommit(h, e)
	}
	for _, rd := range r.Reads {
		if want, ok := s.reads[rd.Context]; ok {
			s.served++
			if rd.Index < want.index {
				s.fail("read %d by member %d sees index %d, but %d was committed before the read began", rd.Context, h.id, rd.Index, want.index)
			}
		}
	}
}

func (s *sim) checkCommit(h *host, e raft.Entry) {
	first, seen := s.commits[e.Index]
	if seen && (first.Term != e.Term || string(first.Data) != string(e.Data)) {
		s.fail("entry %d was committed as %d/%q, member %d has %d/%q", e.Index, first.Term, first.Data, h.id, e.Term, e.Data)
	}
	term := h.node.Status(s.clock(h)).Term
	if !seen {
		s.commits[e.Index], s.seenAt[e.Index] = e, term
		s.top = max(s.top, e.Index)
		if prev, ok := s.commits[e.Index-1]; ok && prev.Timestamp > e.Timestamp {
			s.fail("the timestamp of entry %d decreases", e.Index)
		}
	}
	s.seenAt[e.Index] = min(s.seenAt[e.Index], term)
	s.checkState(h, e.Index)
}

func (s *sim) checkState(h *host, index uint64) {
	if want, ok := s.states[index]; ok && want != h.state {
		s.fail("member %d has a different state at index %d", h.id, index)
	}
	s.states[index] = h.state
}

// checkNewLeader checks election safety and leader completeness.
func (s *sim) checkNewLeader(h *host) {
	st := h.node.Status(s.clock(h))
	if st.Role != raft.Leader || h.role == raft.Leader {
		h.role = st.Role
		return
	}
	h.role = st.Role
	if other, ok := s.leaders[st.Term]; ok && other != h.id {
		s.fail("members %d and %d both lead term %d", other, h.id, st.Term)
	}
	s.leaders[st.Term] = h.id
	for index, e := range s.commits {
		if s.seenAt[index] < st.Term && !h.has(e) {
			s.fail("leader %d of term %d lacks committed entry %d/%d", h.id, st.Term, index, e.Term)
		}
	}
}

func (h *host) has(e raft.Entry) bool {
	if e.Index <= h.disk.snap.Index {
		return true
	}
	return slices.ContainsFunc(h.disk.entries, func(x raft.Entry) bool { return x.Index == e.Index && x.Term == e.Term })
}
