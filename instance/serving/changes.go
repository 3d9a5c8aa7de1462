package serving

import (
	"github.com/comfreyladder/comfreyladder/core/control/serving"
	"github.com/comfreyladder/comfreyladder/instance/consensus"
	"github.com/comfreyladder/comfreyladder/instance/link"
)

// maxUncachedUpstreams is the number of changed upstreams up to which a response is encoded
// on its own, which costs less than caching it.
const maxUncachedUpstreams = 8

// encodedChanges caches encoded changes up to one index, by the index that they start from.
// After a restart of all instances, each of them asks a member for the whole state at once.
// With one encoding per request, 300 instances and 3,000 upstreams keep the members busy for
// longer than the instances wait, which then ask the next member for the same.
type encodedChanges struct {
	index uint64
	since map[uint64][]byte
}

// Decode decodes Encoded into Changes if it is set.
func (a *WatchResponse) Decode() error {
	if len(a.Encoded) == 0 {
		return nil
	}
	return link.Decode(a.Encoded, &a.Changes)
}

// changes sets the changes after an index in a response.
func (s *Service) changes(g *consensus.Service, since uint64, a *WatchResponse) error {
	var index uint64
	viewServing(g, func(m *serving.Machine) { index = m.Index() })
	if a.Encoded = s.encodedSince(index, since); a.Encoded != nil {
		return nil
	}
	var c serving.Changes
	viewServing(g, func(m *serving.Machine) { c = m.Since(since) })
	if len(c.Table) == 0 && len(c.Upstreams) <= maxUncachedUpstreams {
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
