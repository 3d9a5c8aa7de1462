package quarantine

import (
	"cmp"
	"slices"
	"time"

	"github.com/comfreyladder/comfreyladder/core/control"
	"github.com/comfreyladder/comfreyladder/core/quarantine"
	"github.com/comfreyladder/comfreyladder/core/wire"
)

// Snapshot implements control.Machine.
func (m *Machine) Snapshot() ([]byte, error) {
	s := snapshotState{Index: m.index, Pruned: m.pruned, At: nanos(m.at), LastTrial: nanos(m.lastTrial), Entries: m.Entries(), Crashes: m.ledger.State(), Successes: m.ledger.Successes(), Suspects: m.suspects, Served: m.ledger.Served(), SuspectedParts: m.suspectedParts}
	return control.Marshal(&s)
}

func nanos(at time.Time) int64 {
	if at.IsZero() {
		return 0
	}
	return at.UnixNano()
}

func fromNanos(n int64) time.Time {
	if n == 0 {
		return time.Time{}
	}
	return time.Unix(0, n).UTC()
}

// Restore implements control.Machine.
func (m *Machine) Restore(snapshot []byte) error {
	var s snapshotState
	if err := control.Unmarshal(snapshot, &s); err != nil {
		return err
	}
	m.index, m.pruned, m.at, m.lastTrial, m.suspects = s.Index, s.Pruned, fromNanos(s.At), fromNanos(s.LastTrial), s.Suspects
	m.suspectedParts = s.SuspectedParts
	m.ledger.Restore(s.Crashes, s.Successes, s.Served)
	m.entries = make(map[quarantine.Fingerprint]*Entry, len(s.Entries))
	for i := range s.Entries {
		e := &s.Entries[i]
		m.entries[e.Fingerprint] = e
		switch {
		case e.Released:
		case len(e.Parts) > 0:
			m.ledger.MarkPartsQuarantined(e.Parts)
		default:
			m.ledger.MarkQuarantined(e.Fingerprint)
		}
	}
	return nil
}

// Entries returns all entries, the least recently changed first.
func (m *Machine) Entries() []Entry {
	list := make([]Entry, 0, len(m.entries))
	for _, e := range m.entries {
		list = append(list, *e)
	}
	slices.SortFunc(list, func(a, b Entry) int {
		return cmp.Or(cmp.Compare(a.Changed, b.Changed), slices.Compare(a.Fingerprint[:], b.Fingerprint[:]))
	})
	return list
}

// Suspects returns the suspected requests, sorted.
func (m *Machine) Suspects() []quarantine.Fingerprint { return m.suspects }

// SuspectedParts returns the suspected parts of prompts, sorted.
func (m *Machine) SuspectedParts() []quarantine.Fingerprint { return m.suspectedParts }

// DescribePart returns the organisation and target of a request with a part, and during how many crashes such
// requests were in flight.
func (m *Machine) DescribePart(part quarantine.Fingerprint) (organisation, target string, crashes int) {
	return m.ledger.DescribeParts([]quarantine.Fingerprint{part})
}

// Describe returns the organisation and target of a request, and during how many crashes it was
// in flight.
func (m *Machine) Describe(f quarantine.Fingerprint) (organisation, target string, crashes int) {
	return m.ledger.Describe(f)
}

// At returns the log's time of the last command.
func (m *Machine) At() time.Time { return m.at }

// NextCommand returns the command to propose at a time of the log, or nil, and whether there are
// crashes that cannot be evaluated yet. It does not change the state.
func (m *Machine) NextCommand(now time.Time) (c *Command, unsettled bool) {
	next := m.judge(now)
	if len(next.Verdict)+len(next.Parts)+len(next.Failed) > 0 {
		next.DecidedAt = nanos(now)
		c = &next
	}
	return c, !m.ledger.Settled(now)
}

// judge returns what to quarantine at a time of the log, and what has failed its trial. While a set of parts is
// to be quarantined, requests wait: it may explain their crashes.
func (m *Machine) judge(now time.Time) (c Command) {
	for _, e := range m.Entries() {
		if e.Trials > 0 && !e.Released && !e.Failed && m.confirms(&e, now) {
			c.Failed = append(c.Failed, e.Fingerprint)
		}
	}
	if c.Parts = m.ledger.PartsToQuarantine(now); c.Parts == nil {
		c.Verdict = m.ledger.ToQuarantine(now)
	}
	return c
}

// confirms reports whether a crash in the latest trial of an entry confirms it.
func (m *Machine) confirms(e *Entry, now time.Time) bool {
	granted := time.Unix(0, e.LastTrial)
	if len(e.Parts) > 0 {
		return m.ledger.ConfirmsParts(e.Parts, granted, now)
	}
	return m.ledger.ConfirmsCrash(e.Fingerprint, granted, now)
}

// EntryStatus is the part of an entry that instances receive.
type EntryStatus struct {
	wire.Array
	Fingerprint quarantine.Fingerprint
	// Released means that the request is no longer quarantined, Trial that a trial may be
	// requested, Final that a trial has failed.
	Released, Trial, Final bool
	// Parts is the set of parts of prompts that is quarantined; none for a request.
	Parts []quarantine.Fingerprint
}

// Changes holds the changes that an instance has not received yet.
type Changes struct {
	// Index is the log index that the instance has reached once it has applied the changes.
	Index uint64 `codec:"n"`
	// Full means that Entries lists all quarantined requests, not only changed entries.
	Full    bool          `codec:"f,omitempty"`
	Entries []EntryStatus `codec:"h,omitempty"`
	// Suspects lists all requests that are suspected now, SuspectedParts all parts of prompts.
	Suspects       []quarantine.Fingerprint `codec:"s,omitempty"`
	SuspectedParts []quarantine.Fingerprint `codec:"p,omitempty"`
}

// Index returns the log index of the last change that instances need to learn of.
func (m *Machine) Index() uint64 { return m.index }

// Since returns the changes after an index, or nil if there are none.
func (m *Machine) Since(index uint64) *Changes {
	if m.index <= index {
		return nil
	}
	c := &Changes{Index: m.index, Full: index < m.pruned, Suspects: m.suspects, SuspectedParts: m.suspectedParts}
	for _, e := range m.Entries() {
		if c.Full && !e.Released || !c.Full && e.Changed > index {
			c.Entries = append(c.Entries, EntryStatus{Fingerprint: e.Fingerprint, Released: e.Released, Trial: e.TrialAllowed(), Final: e.Final(), Parts: e.Parts})
		}
	}
	return c
}
