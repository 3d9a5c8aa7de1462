package consensus

import (
	"github.com/comfreyladder/comfreyladder/core/control"
	"github.com/comfreyladder/comfreyladder/core/raft"
)

// maxSnapshot bounds what a message may say about a snapshot's size.
const maxSnapshot = 1 << 30

// sendSnapshot sends the newest snapshot in parts. It may reach further than the
// node asked for. If a part is lost, the node asks for all of it again.
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
	for offset := 0; offset == 0 || offset < len(data); offset += partLen {
		m.Index, m.Data = uint64(offset), data[offset:min(offset+partLen, len(data))]
		s.cfg.Transport.Send(m.To, m)
	}
	return nil
}

// parts puts one snapshot together again. Parts may come late, twice and in any
// order; those of another sender, term or snapshot begin anew.
type parts struct {
	of   raft.Message
	data []byte
	got  map[uint64]bool
	left int
}

// add takes a part and returns the whole message once it is complete.
func (p *parts) add(m raft.Message) (raft.Message, bool) {
	if m.Snapshot == nil || m.Hint > maxSnapshot || m.Index+uint64(len(m.Data)) > m.Hint {
		return m, false
	}
	if !p.belongs(m) {
		*p = parts{of: m, data: make([]byte, m.Hint), got: map[uint64]bool{}, left: int(m.Hint)}
	}
	if p.got[m.Index] {
		return m, false
	}
	p.got[m.Index] = true
	copy(p.data[m.Index:], m.Data)
	p.left -= len(m.Data)
	if p.left > 0 {
		return m, false
	}
	snapshot := *m.Snapshot
	snapshot.Data = p.data
	m.Kind, m.Snapshot, m.Index, m.Hint, m.Data = raft.MsgSnapshot, &snapshot, 0, 0, nil
	*p = parts{}
	return m, true
}

func (p *parts) belongs(m raft.Message) bool {
	return p.got != nil && p.of.From == m.From && p.of.Term == m.Term && p.of.Cluster == m.Cluster && p.of.To == m.To &&
		p.of.Hint == m.Hint && p.of.Snapshot.Index == m.Snapshot.Index && p.of.Snapshot.Term == m.Snapshot.Term
}
