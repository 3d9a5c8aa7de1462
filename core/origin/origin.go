// Package origin remembers at which service and software version streams began. A stream may go on
// only there: the events of two versions do not fit together.
package origin

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// Origin is where a stream began.
type Origin struct {
	// Service is the upstream's service, Software the version of its software.
	Service, Software string
}

// Key identifies the attempt that began a stream by the hash of its request ID.
type Key uint64

// KeyOf returns the key of a request ID.
func KeyOf(id []byte) Key { return Key(xxhash.Sum64(id)) }

const (
	// lifetime is how long an origin is kept, at least, unless there are too many: longer than
	// callers go on with a stream.
	lifetime = time.Minute
	// MaxLifetime is how long an origin is kept at most.
	MaxLifetime = 2 * lifetime
	// maxKeys bounds the origins of one lifetime.
	maxKeys = 1 << 17
)

// Store holds origins for one to two lifetimes. It is not safe for concurrent use.
type Store struct {
	// recent holds what was added since startedAt, older what was added in the lifetime before.
	recent, older map[Key]*Origin
	startedAt     time.Time
	// shared holds one Origin for all streams that began there.
	shared map[Origin]*Origin
}

// NewStore returns an empty store.
func NewStore() *Store { return &Store{recent: map[Key]*Origin{}, shared: map[Origin]*Origin{}} }

// Add records where a stream began.
func (s *Store) Add(now time.Time, k Key, o Origin) {
	s.rotate(now)
	known := s.shared[o]
	if known == nil {
		known = &o
		s.shared[o] = known
	}
	s.recent[k] = known
}

// Find returns where a stream began, if that is known.
func (s *Store) Find(now time.Time, k Key) (Origin, bool) {
	s.rotate(now)
	if o := s.recent[k]; o != nil {
		return *o, true
	}
	if o := s.older[k]; o != nil {
		return *o, true
	}
	return Origin{}, false
}

// Len returns the number of origins that are kept.
func (s *Store) Len() int { return len(s.recent) + len(s.older) }

// All calls f for each origin that is kept.
func (s *Store) All(now time.Time, f func(Key, Origin)) {
	s.rotate(now)
	for k, o := range s.older {
		f(k, *o)
	}
	for k, o := range s.recent {
		f(k, *o)
	}
}

// rotate drops what is too old or too much.
func (s *Store) rotate(now time.Time) {
	age := now.Sub(s.startedAt)
	if age < lifetime && len(s.recent) < maxKeys {
		return
	}
	s.older = s.recent
	if age >= MaxLifetime {
		s.older = nil
	}
	s.recent, s.startedAt, s.shared = map[Key]*Origin{}, now, map[Origin]*Origin{}
}
