package consensus

import (
	"path/filepath"

	"github.com/comfreyladder/comfreyladder/core/control"
	"github.com/comfreyladder/comfreyladder/core/fault"
	"github.com/comfreyladder/comfreyladder/core/raft"
	"github.com/comfreyladder/comfreyladder/instance/disk"
	"github.com/comfreyladder/comfreyladder/instance/snap"
	"github.com/comfreyladder/comfreyladder/instance/wal"
)

// record is one record of the write-ahead log; exactly one field is set.
type record struct {
	Hard  *raft.HardState `codec:"h,omitempty"`
	Entry *raft.Entry     `codec:"e,omitempty"`
	// Reset is the index of a received snapshot that replaced all entries.
	Reset uint64 `codec:"r,omitempty"`
}

// storage is a member's durable state.
type storage struct {
	log   *wal.Log
	snaps *snap.Store
	hard  raft.HardState
	snap  raft.Snapshot
	// entries holds the entries that were replayed when the log was opened.
	entries []raft.Entry
	// seqs holds the write-ahead log's sequence number of each entry, beginning with
	// the entry at index first.
	seqs  []uint64
	first uint64
}

func openStorage(fs disk.FS, dir string, id *Identity) (*storage, error) {
	s := &storage{}
	s.hard, s.snap = id.genesis()
	var err error
	if s.snaps, err = snap.Open(fs, filepath.Join(dir, snapDir)); err != nil {
		return nil, err
	}
	if err = s.loadSnapshot(); err != nil {
		return nil, err
	}
	if s.log, err = wal.Open(fs, filepath.Join(dir, walDir), 0, s.replay); err != nil {
		return nil, err
	}
	if err = s.reconcile(); err != nil {
		_ = s.log.Close()
		return nil, err
	}
	return s, nil
}

func (s *storage) loadSnapshot() error {
	index, content, err := s.snaps.Load()
	if err != nil || index == 0 {
		return err
	}
	return control.Unmarshal(content, &s.snap)
}

func (s *storage) replay(seq uint64, payload []byte) error {
	var r record
	if err := control.Unmarshal(payload, &r); err != nil {
		return err
	}
	switch {
	case r.Hard != nil:
		s.hard = *r.Hard
	case r.Entry != nil:
		if err := s.checkGap(r.Entry.Index); err != nil {
			return err
		}
		s.recordSeq(r.Entry.Index, seq)
		s.entries = s.entries[:len(s.seqs)-1]
		s.entries = append(s.entries, *r.Entry)
	default:
		s.entries, s.seqs = nil, nil
	}
	return nil
}

// checkGap checks that an entry follows the replayed ones. A gap is tolerated if the snapshot
// covers it, since an append may have followed a snapshot whose Reset record is missing; the
// entries before the gap are then dropped.
func (s *storage) checkGap(index uint64) error {
	k := len(s.entries)
	if k == 0 || index <= s.entries[k-1].Index+1 {
		return nil
	}
	if index > s.snap.Index+1 {
		return fault.New(fault.Corrupt, "entry %d follows entry %d", index, s.entries[k-1].Index)
	}
	s.entries, s.seqs = nil, nil
	return nil
}

// recordSeq records the sequence number of an entry. It replaces the entry of that index
// and drops all later ones.
func (s *storage) recordSeq(index, seq uint64) {
	if len(s.seqs) == 0 || index <= s.first {
		s.first, s.seqs = index, s.seqs[:0]
	}
	s.seqs = append(s.seqs[:index-s.first], seq)
}

// reconcile reconciles the log with the snapshot. If the member stopped between saving a
// leader's snapshot and writing its Reset record, the log may still hold entries that
// conflict with the snapshot, or end before it. reconcile drops them and writes the record:
// without it, the next start would drop the entries that were appended behind them.
func (s *storage) reconcile() error {
	if len(s.entries) == 0 {
		return nil
	}
	if s.entries[0].Index > s.snap.Index+1 {
		return fault.New(fault.Corrupt, "the log begins with entry %d, but the snapshot ends with %d", s.entries[0].Index, s.snap.Index)
	}
	if s.logMatchesSnapshot() {
		return nil
	}
	s.entries, s.seqs = nil, nil
	return s.append([]record{{Reset: s.snap.Index}})
}

// logMatchesSnapshot reports whether the log holds the snapshot's last entry or begins right
// after it.
func (s *storage) logMatchesSnapshot() bool {
	first := s.entries[0].Index
	if s.snap.Index < first {
		return true
	}
	k := s.snap.Index - first
	return k < uint64(len(s.entries)) && s.entries[k].Term == s.snap.Term
}

// persist makes a Ready durable with one sync of the log, or two when it holds a
// snapshot. The term is written before the snapshot: after a crash between the two,
// a snapshot of a term newer than the stored one would be rejected as corrupt.
func (s *storage) persist(r *raft.Ready) error {
	var records []record
	if r.HardStateChanged {
		records = append(records, record{Hard: &r.HardState})
	}
	if r.Snapshot != nil {
		if err := s.append(records); err != nil {
			return err
		}
		if err := s.saveSnapshot(*r.Snapshot); err != nil {
			return err
		}
		records = []record{{Reset: r.Snapshot.Index}}
		s.seqs = nil
	}
	for i := range r.Entries {
		records = append(records, record{Entry: &r.Entries[i]})
	}
	if err := s.append(records); err != nil {
		return err
	}
	s.hard = r.HardState
	return nil
}

func (s *storage) append(records []record) error {
	if len(records) == 0 {
		return nil
	}
	payloads := make([][]byte, len(records))
	for i := range records {
		b, err := control.Marshal(&records[i])
		if err != nil {
			return err
		}
		payloads[i] = b
	}
	seq, err := s.log.Append(payloads...)
	if err != nil {
		return err
	}
	for i, r := range records {
		if r.Entry != nil {
			s.recordSeq(r.Entry.Index, seq+uint64(i))
		}
	}
	return nil
}

func (s *storage) saveSnapshot(snapshot raft.Snapshot) error {
	b, err := control.Marshal(&snapshot)
	if err != nil {
		return err
	}
	if err := s.snaps.Save(snapshot.Index, b); err != nil {
		return err
	}
	snapshot.Data = nil
	s.snap = snapshot
	return nil
}

// truncate drops the entries before first from the log. It rewrites the term and
// vote beforehand, since their last record may be in the dropped part.
func (s *storage) truncate(first uint64) error {
	if err := s.append([]record{{Hard: &s.hard}}); err != nil {
		return err
	}
	if first <= s.first || len(s.seqs) == 0 {
		return nil
	}
	drop := min(first-s.first, uint64(len(s.seqs)))
	s.seqs = append([]uint64(nil), s.seqs[drop:]...)
	s.first = first
	if len(s.seqs) == 0 {
		return s.log.TruncateHead(s.log.Next() - 1)
	}
	return s.log.TruncateHead(s.seqs[0])
}
