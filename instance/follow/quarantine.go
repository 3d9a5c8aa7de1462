package follow

import (
	"maps"
	"slices"

	state "github.com/comfreyladder/comfreyladder/core/control/quarantine"
	"github.com/comfreyladder/comfreyladder/core/quarantine"
)

// Quarantine is a snapshot of the quarantined and suspected requests and parts of prompts. It is immutable; a
// nil Quarantine is empty.
type Quarantine struct {
	// Index is the log index of the list.
	Index    uint64
	held     map[quarantine.Fingerprint]state.EntryStatus
	suspects map[quarantine.Fingerprint]bool
	// sets holds the entries of held that are sets of parts.
	sets           []state.EntryStatus
	suspectedParts map[quarantine.Fingerprint]bool
}

// NewQuarantine returns a list of quarantined and suspected requests.
func NewQuarantine(index uint64, held []state.EntryStatus, suspects []quarantine.Fingerprint) *Quarantine {
	return (*Quarantine)(nil).Merge(&state.Changes{Index: index, Entries: held, Suspects: suspects})
}

// Empty reports whether nothing is quarantined or suspected.
func (q *Quarantine) Empty() bool {
	return q == nil || len(q.held)+len(q.suspects)+len(q.suspectedParts) == 0
}

// Judgement is what the list says of a request.
type Judgement struct {
	// Held is set if the request, or a set of parts of its prompt, is quarantined, Final if an entry has
	// failed its trial.
	Held, Final bool
	// Trial is the entry of which the request may be the trial, if HasTrial is set.
	Trial    quarantine.Fingerprint
	HasTrial bool
}

// Judge returns what the list says of a request whose prompt has the given parts.
func (q *Quarantine) Judge(f quarantine.Fingerprint, prompt []quarantine.Fingerprint) (j Judgement) {
	if q == nil {
		return j
	}
	entries := 0
	note := func(h *state.EntryStatus) {
		entries++
		j.Held, j.Final = true, j.Final || h.Final
		j.Trial, j.HasTrial = h.Fingerprint, h.Trial
	}
	if h, held := q.held[f]; held {
		note(&h)
	}
	for i := range q.sets {
		if quarantine.ContainsAll(prompt, q.sets[i].Parts) {
			note(&q.sets[i])
		}
	}
	// A crash in the trial of a request with several entries would not tell which one is the cause.
	j.HasTrial = j.HasTrial && entries == 1
	return j
}

// SuspectsPart reports whether a part of prompts is suspected of crashing upstreams.
func (q *Quarantine) SuspectsPart(part quarantine.Fingerprint) bool {
	return q != nil && q.suspectedParts[part]
}

// KnowsPart reports whether a part of prompts is suspected or in a quarantined set.
func (q *Quarantine) KnowsPart(part quarantine.Fingerprint) bool {
	if q == nil {
		return false
	}
	return q.suspectedParts[part] || slices.ContainsFunc(q.sets, func(h state.EntryStatus) bool { return slices.Contains(h.Parts, part) })
}

// KnownParts returns all parts of prompts that are suspected or in a quarantined set.
func (q *Quarantine) KnownParts() (list []quarantine.Fingerprint) {
	if q == nil {
		return nil
	}
	for i := range q.sets {
		list = append(list, q.sets[i].Parts...)
	}
	for part := range q.suspectedParts {
		list = append(list, part)
	}
	return list
}

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

// LogIndex returns the log index of the list, zero for none.
func (q *Quarantine) LogIndex() uint64 {
	if q == nil {
		return 0
	}
	return q.Index
}

// Merge returns the list with the changes applied.
func (q *Quarantine) Merge(c *state.Changes) *Quarantine {
	if c == nil || c.Index <= q.LogIndex() {
		return q
	}
	next := &Quarantine{
		Index: c.Index, held: map[quarantine.Fingerprint]state.EntryStatus{}, suspects: toSet(c.Suspects), suspectedParts: toSet(c.SuspectedParts),
	}
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
	for _, h := range next.held {
		if len(h.Parts) > 0 {
			next.sets = append(next.sets, h)
		}
	}
	return next
}

func toSet(list []quarantine.Fingerprint) map[quarantine.Fingerprint]bool {
	set := make(map[quarantine.Fingerprint]bool, len(list))
	for _, f := range list {
		set[f] = true
	}
	return set
}
