package serving

import (
	"bytes"
	"compress/flate"
	"io"
	"sync"
	"time"

	"github.com/comfreyladder/comfreyladder/core/control/serving"
	"github.com/comfreyladder/comfreyladder/core/fault"
	"github.com/comfreyladder/comfreyladder/instance/clock"
	"github.com/comfreyladder/comfreyladder/instance/consensus"
	"github.com/comfreyladder/comfreyladder/instance/link"
)

const (
	// maxUncachedUpstreams is the number of changed upstreams up to which a response is encoded
	// on its own, which costs less than caching it.
	maxUncachedUpstreams = 8
	// pageUpstreams is the number of upstreams in one response to an instance that lacks many. Its
	// transfer takes a fraction of a response's time limit on a link of some Mbit/s.
	pageUpstreams = 1000
	// maxPageAge is how long a page of a longer state is sent again as it is. What changes meanwhile
	// is in later pages.
	maxPageAge = time.Second
	// maxCachedPages bounds the cached pages.
	maxCachedPages = 64
	// minCompressed is the size from which an encoding is compressed, in bytes, and maxInflated
	// bounds what it may take when decompressed.
	minCompressed = 2 << 10
	maxInflated   = 64 << 20
)

// encodedChanges caches encoded changes up to one index, by the index that they start from.
// After a restart of all instances, each of them asks a member for the whole state at once.
// With one encoding per request, 300 instances and 3,000 upstreams keep the members busy for
// longer than the instances wait, which then ask the next member for the same.
type encodedChanges struct {
	index uint64
	since map[changesKey]encodedPage
	// pages caches the pages of longer states, which stay valid when the state changes.
	pages map[changesKey]encodedPage
}

// changesKey is the index that changes start from, where the instance began to read the whole state,
// and whether it takes pages and compressed encodings.
type changesKey struct {
	since, began uint64
	compact      bool
}

// encodedPage is an encoding of Changes that was made at a time of clock.Now.
type encodedPage struct {
	data     []byte
	deflated bool
	more     bool
	at       time.Time
}

func (p encodedPage) set(a *WatchResponse) {
	a.Encoded, a.Deflated, a.More = p.data, p.deflated, p.more
}

// Decode decodes Encoded into Changes if it is set.
func (a *WatchResponse) Decode() error {
	if len(a.Encoded) == 0 {
		return nil
	}
	encoded := a.Encoded
	if a.Deflated {
		var err error
		if encoded, err = inflate(encoded); err != nil {
			return err
		}
	}
	return link.Decode(encoded, &a.Changes)
}

// changes sets the changes that an instance lacks in a response.
func (s *Service) changes(g *consensus.Service, q *WatchRequest, a *WatchResponse) error {
	key := changesKey{q.Index, q.Began, q.Compact}
	var index uint64
	viewServing(g, func(m *serving.Machine) { index = m.Index() })
	if p, ok := s.cachedChanges(index, key); ok {
		p.set(a)
		return nil
	}
	var c serving.Changes
	viewServing(g, func(m *serving.Machine) {
		if q.Compact {
			c = m.Page(q.Index, q.Began, pageUpstreams)
		} else {
			c = m.Since(q.Index)
		}
	})
	if a.More = c.More; len(c.Table) == 0 && len(c.Upstreams) <= maxUncachedUpstreams {
		a.Changes = c
		return nil
	}
	p, err := encodePage(&c, q.Compact)
	if err != nil {
		return err
	}
	p.set(a)
	s.cacheChanges(index, key, p)
	return nil
}

func encodePage(c *serving.Changes, compact bool) (encodedPage, error) {
	p := encodedPage{more: c.More, at: clock.Now()}
	var err error
	if p.data, err = link.Encode(c); err != nil {
		return p, err
	}
	if compact && len(p.data) >= minCompressed {
		p.data, p.deflated = deflate(p.data), true
	}
	return p, nil
}

func (s *Service) cachedChanges(index uint64, key changesKey) (encodedPage, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if p, ok := s.encoded.pages[key]; ok && clock.Since(p.at) < maxPageAge {
		return p, true
	}
	if s.encoded.index != index {
		return encodedPage{}, false
	}
	p, ok := s.encoded.since[key]
	return p, ok
}

func (s *Service) cacheChanges(index uint64, key changesKey, p encodedPage) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e := &s.encoded
	if p.more {
		if e.pages == nil || len(e.pages) >= maxCachedPages {
			e.pages = map[changesKey]encodedPage{}
		}
		e.pages[key] = p
		return
	}
	if index < e.index {
		return
	}
	if index > e.index {
		e.index, e.since = index, map[changesKey]encodedPage{}
	}
	e.since[key] = p
}

// deflaters holds writers for deflate, which take most of a megabyte each.
var deflaters = sync.Pool{New: func() any {
	w, _ := flate.NewWriter(io.Discard, flate.BestSpeed)
	return w
}}

// deflate compresses data: addresses and names of upstreams have much in common.
func deflate(data []byte) []byte {
	var out bytes.Buffer
	w := deflaters.Get().(*flate.Writer)
	defer deflaters.Put(w)
	w.Reset(&out)
	// A write to a bytes.Buffer does not fail.
	_, _ = w.Write(data)
	_ = w.Close()
	return out.Bytes()
}

// inflate is the opposite of deflate. It fails with fault.Corrupt.
func inflate(data []byte) ([]byte, error) {
	r := flate.NewReader(bytes.NewReader(data))
	out, err := io.ReadAll(io.LimitReader(r, maxInflated+1))
	if err != nil {
		return nil, fault.Wrap(err, fault.Corrupt, "decompress changes")
	}
	if len(out) > maxInflated {
		return nil, fault.New(fault.Corrupt, "changes take more than %d bytes when decompressed", maxInflated)
	}
	return out, nil
}
