package consensus

import (
	"github.com/comfreyladder/comfreyladder/core/control"
	"github.com/comfreyladder/comfreyladder/core/raft"
)

// maxSnapshotSize limits the snapshot size that a message may announce, in bytes.
const maxSnapshotSize = 1 << 30

// sendSnapshot sends the newest stored snapshot in parts. It may cover a higher index
// than the one in m. If a part is lost, the node requests the whole snapshot again.
func (s *Service) sendSnapshot(m raft.Message) error {
	index, content, err := s.store.snaps.Load()
	if err != nil {
		return err
	}
	if index != 0 {
		m.Snapshot = &raft.Snapshot{}
		if err := control.Unmarshal(content, m.Snapshot); err != nil {
			return err
		}
	}
	data := m.Snapshot.Data
	meta := *m.Snapshot
	meta.Data = nil
	m.Kind, m.Snapshot, m.Hint = raft.MsgSnapshotPart, &meta, uint64(len(data))
	for offset := 0; offset == 0 || offset < len(data); offset += snapshotPartLen {
		m.Index, m.Data = uint64(offset), data[offset:min(offset+snapshotPartLen, len(data))]
		s.cfg.Transport.Send(m.To, m)
	}
	return nil
}

// snapshotAssembler reassembles one snapshot. Parts may be delayed, duplicated and reordered; a
// part of another sender, term or snapshot discards those received so far.
type snapshotAssembler struct {
	first     raft.Message
	data      []byte
	received  map[uint64]bool
	remaining int
}

// add stores a part and returns the complete message once all parts have arrived.
func (p *snapshotAssembler) add(m raft.Message) (raft.Message, bool) {
	if m.Snapshot == nil || m.Hint > maxSnapshotSize || m.Index+uint64(len(m.Data)) > m.Hint {
		return m, false
	}
	if !p.sameSnapshot(m) {
		*p = snapshotAssembler{first: m, data: make([]byte, m.Hint), received: map[uint64]bool{}, remaining: int(m.Hint)}
	}
	if p.received[m.Index] {
		return m, false
	}
	p.received[m.Index] = true
	copy(p.data[m.Index:], m.Data)
	p.remaining -= len(m.Data)
	if p.remaining > 0 {
		return m, false
	}
	snapshot := *m.Snapshot
	snapshot.Data = p.data
	m.Kind, m.Snapshot, m.Index, m.Hint, m.Data = raft.MsgSnapshot, &snapshot, 0, 0, nil
	*p = snapshotAssembler{}
	return m, true
}

func (p *snapshotAssembler) sameSnapshot(m raft.Message) bool {
	return p.received != nil && p.first.From == m.From && p.first.Term == m.Term && p.first.Cluster == m.Cluster && p.first.To == m.To &&
		p.first.Hint == m.Hint && p.first.Snapshot.Index == m.Snapshot.Index && p.first.Snapshot.Term == m.Snapshot.Term
}
