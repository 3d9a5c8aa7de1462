package serving

import (
	"github.com/comfreyladder/comfreyladder/core/control/serving"
	"github.com/comfreyladder/comfreyladder/instance/consensus"
	"github.com/comfreyladder/comfreyladder/instance/link"
)

// fewUpstreams is up to how many changed upstreams an answer is encoded by itself: that
// costs less than keeping it.
const fewUpstreams = 8

// encodedChanges holds encoded changes up to one index, by the index that they go from.
// After a restart of all, every instance asks a member for the whole state at once: encoded
// for each anew, 300 instances and 3,000 upstreams keep the members at work for longer than
// the instances wait, which then ask the next member for the same.
type encodedChanges struct {
	index uint64
	since map[uint64][]byte
}

// Decode decodes the changes if they came in encoded form.
func (a *WatchResponse) Decode() error {
	if len(a.Encoded) == 0 {
		return nil
	}
	return link.Decode(a.Encoded, &a.Changes)
}

// changes puts the changes after an index into an answer.
func (s *Service) changes(g *consensus.Service, since uint64, a *WatchResponse) error {
	var index uint64
	machine(g, func(m *serving.Machine) { index = m.Index() })
	if a.Encoded = s.encodedSince(index, since); a.Encoded != nil {
		return nil
	}
	var c serving.Changes
	machine(g, func(m *serving.Machine) { c = m.Since(since) })
	if len(c.Table) == 0 && len(c.Upstreams) <= fewUpstreams {
		a.Changes = c
		return nil
	}
	encoded, err := link.Encode(&c)
	if err != nil {
		return err
	}
	a.Encoded = encoded
	s.keepEncoded(c.Index, since, encoded)
	return nil
}

func (s *Service) encodedSince(index, since uint64) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.encoded.index != index {
		return nil
	}
	return s.encoded.since[since]
}

func (s *Service) keepEncoded(index, since uint64, encoded []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if index < s.encoded.index {
		return
	}
	if index > s.encoded.index {
		s.encoded = encodedChanges{index, map[uint64][]byte{}}
	}
	s.encoded.since[since] = encoded
}
