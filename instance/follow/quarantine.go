package follow

import (
	"maps"

	state "github.com/comfreyladder/comfreyladder/core/control/quarantine"
	"github.com/comfreyladder/comfreyladder/core/quarantine"
)

// Quarantine is a snapshot of the quarantined and suspected requests. It is immutable; a nil
// Quarantine is empty.
type Quarantine struct {
	// Index is the log index of the list.
	Index    uint64
	held     map[quarantine.Fingerprint]state.EntryStatus
	suspects map[quarantine.Fingerprint]bool
}

// NewQuarantine returns a list of quarantined and suspected requests.
func NewQuarantine(index uint64, held []state.EntryStatus, suspects []quarantine.Fingerprint) *Quarantine {
	return (*Quarantine)(nil).merge(&state.Changes{Index: index, Entries: held, Suspects: suspects})
}

// Empty reports whether no request is quarantined or suspected.
func (q *Quarantine) Empty() bool { return q == nil || len(q.held)+len(q.suspects) == 0 }

// Held returns the entry of a quarantined request.
func (q *Quarantine) Held(f quarantine.Fingerprint) (h state.EntryStatus, held bool) {
	if q == nil {
		return h, false
	}
	h, held = q.held[f]
	return h, held
}

// All returns the fingerprints of all quarantined and suspected requests.
func (q *Quarantine) All() (list []quarantine.Fingerprint) {
	if q == nil {
		return nil
	}
	for f := range q.held {
		list = append(list, f)
	}
	for f := range q.suspects {
		list = append(list, f)
	}
	return list
}

// Suspects reports whether a request is suspected of crashing upstreams.
func (q *Quarantine) Suspects(f quarantine.Fingerprint) bool { return q != nil && q.suspects[f] }

func (q *Quarantine) index() uint64 {
	if q == nil {
		return 0
	}
	return q.Index
}

// merge returns the list with the changes applied.
func (q *Quarantine) merge(c *state.Changes) *Quarantine {
	if c == nil || c.Index <= q.index() {
		return q
	}
	next := &Quarantine{Index: c.Index, held: map[quarantine.Fingerprint]state.EntryStatus{}, suspects: map[quarantine.Fingerprint]bool{}}
	if q != nil && !c.Full {
		next.held = maps.Clone(q.held)
	}
	for _, h := range c.Entries {
		if h.Released {
			delete(next.held, h.Fingerprint)
			continue
		}
		next.held[h.Fingerprint] = h
	}
	for _, f := range c.Suspects {
		next.suspects[f] = true
	}
	return next
}
