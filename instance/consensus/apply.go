package consensus

import (
	"time"

	"github.com/comfreyladder/comfreyladder/core/control"
	"github.com/comfreyladder/comfreyladder/core/fault"
	"github.com/comfreyladder/comfreyladder/core/raft"
)

// apply applies the committed entries and completes the calls that wait for them.
func (s *Service) apply(r *raft.Ready) error {
	if r.Snapshot != nil {
		if err := s.install(r.Snapshot); err != nil {
			return err
		}
	}
	for i := range r.Committed {
		if err := s.applyEntry(&r.Committed[i]); err != nil {
			return err
		}
	}
	for _, rd := range r.Reads {
		if c := s.reads[rd.Context]; c != nil {
			s.forgetRead(c)
			s.readyReads = append(s.readyReads, readyRead{index: rd.Index, call: c})
		}
	}
	s.finishReads()
	return nil
}

func (s *Service) install(snapshot *raft.Snapshot) error {
	s.mu.Lock()
	err := s.restore(snapshot)
	s.applied = snapshot.Index
	s.mu.Unlock()
	if err != nil {
		return err
	}
	s.appliedTerm = snapshot.Term
	for _, c := range s.waiting {
		if c.appended {
			s.finish(c, reply{err: outcomeUnknown("a snapshot replaced the log, which may contain the command")})
		}
	}
	s.notify(snapshot.Index, control.Entry{Index: snapshot.Index, At: time.Unix(0, snapshot.Timestamp).UTC()})
	return nil
}

func (s *Service) applyEntry(e *raft.Entry) error {
	s.mu.Lock()
	var command control.Entry
	var result []byte
	var err error
	if e.Kind == raft.EntryCommand {
		command, result, err = s.cfg.Mux.Apply(e.Index, e.Timestamp, e.Data)
	} else {
		s.cfg.Mux.Skip(e.Index)
	}
	s.applied = e.Index
	s.appliedBytes += len(e.Data)
	s.mu.Unlock()
	if err != nil {
		return err
	}
	if c := s.proposals[command.Request]; c != nil && e.Kind == raft.EntryCommand {
		s.finish(c, reply{result: result, index: e.Index})
	}
	s.resolveCalls(e)
	if e.Kind == raft.EntryCommand {
		s.notify(e.Index, command)
	}
	return nil
}

// resolveCalls fails the proposals of earlier terms when an entry of a later term is
// applied, and completes the membership change at the entry's index. A command is
// appended in one term only, by that term's leader, and terms never decrease along
// the log: a command of an earlier term that has not been applied by now never will
// be. A truncation of the local log would not prove that, since the entry may be on
// another member's disk and be committed by a later leader.
func (s *Service) resolveCalls(e *raft.Entry) {
	if e.Term > s.appliedTerm {
		s.appliedTerm = e.Term
		for _, c := range s.waiting {
			if c.appended && c.term < e.Term {
				s.retry(c, fault.New(fault.NotRun, "the leader changed before the command was committed").WithRetryAfter(s.cfg.Heartbeat))
			}
		}
	}
	if c := s.changes[e.Index]; c != nil && c.term == e.Term {
		s.finish(c, reply{index: e.Index})
	}
}

func (s *Service) notify(index uint64, e control.Entry) {
	for _, f := range s.watchers {
		f(index, e)
	}
}

func (s *Service) finishReads() {
	kept := s.readyReads[:0]
	for _, d := range s.readyReads {
		if d.index > s.applied {
			kept = append(kept, d)
			continue
		}
		s.finish(d.call, reply{index: s.applied})
	}
	s.readyReads = kept
}
