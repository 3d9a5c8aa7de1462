// Package quarantine holds the replicated list of requests that are not sent to upstreams
// because they crash every upstream that runs them, with the evidence from core/quarantine. It
// is one of the state machines of core/control.
//
// The evidence is part of the log, so that it accumulates whichever members and instances
// observed a crash, and so that neither a verdict nor its evidence is lost when processes end.
// A request that was forgotten would crash as many upstreams again.
package quarantine

import (
	"cmp"
	"slices"
	"time"

	"github.com/comfreyladder/comfreyladder/core/control"
	"github.com/comfreyladder/comfreyladder/core/quarantine"
)

// Name is the name of the state machine.
const Name = "quarantine"

const (
	// MaxTrials is how often a quarantined request may be run to check whether it still
	// crashes its upstream: once, and a second time if the first outcome was lost or is
	// inconclusive.
	MaxTrials = 2
	// MinTrialInterval is the minimum time between a verdict and a trial, and between the trials
	// of any requests. With two trials at a time, a crash could not be attributed to one.
	MinTrialInterval = time.Second
	// TrialTimeout is how long a trial may go without an outcome before it may be repeated.
	TrialTimeout = 5 * time.Second
	// maxEntries bounds the list. Released entries are dropped first, then the oldest.
	maxEntries = 1024
)

// Entry is a request that is, or was, quarantined, or a set of parts of prompts. Requests whose prompts
// have all parts of a set are quarantined.
type Entry struct {
	// Fingerprint is that of the request, or the key of the set as of its quarantine.
	Fingerprint quarantine.Fingerprint `codec:"f"`
	// Parts is the set, sorted; none for a request. Those that are served since leave it.
	Parts        []quarantine.Fingerprint `codec:"p,omitempty"`
	Organisation string                   `codec:"o"`
	Target       string                   `codec:"t"`
	// Crashes is the number of crashes during which the request was in flight, as of its
	// quarantine.
	Crashes int `codec:"n"`
	// Since is the log's time of the quarantine, in nanoseconds since the Unix epoch.
	Since int64 `codec:"s"`
	// Trials counts the trials since then. LastTrial is when the latest one was granted, by
	// the same clock. Failed means that an upstream crashed during a trial.
	Trials    int   `codec:"r"`
	LastTrial int64 `codec:"l"`
	Failed    bool  `codec:"d"`
	// Released marks an entry that is no longer quarantined. It is kept for a while so that
	// all instances learn of the release.
	Released bool `codec:"x"`
	// Changed is the log index of the last change.
	Changed uint64 `codec:"c"`
}

// TrialAllowed reports whether the entry has a trial left, regardless of time.
func (e *Entry) TrialAllowed() bool { return !e.Released && !e.Failed && e.Trials < MaxTrials }

// Final reports whether a failed trial has confirmed that the request crashes upstreams.
func (e *Entry) Final() bool { return !e.Released && e.Failed }

// Command is a command of the state machine. One field is set, or one or more of Verdict, Parts and Failed.
type Command struct {
	// Reports are crash reports of instances.
	Reports []quarantine.Report `codec:"r,omitempty"`
	// Verdict lists requests to quarantine, Failed those whose trial has failed.
	Verdict []quarantine.Fingerprint `codec:"v,omitempty"`
	Failed  []quarantine.Fingerprint `codec:"f,omitempty"`
	// Parts is a set of parts of prompts to quarantine.
	Parts []quarantine.Fingerprint `codec:"p,omitempty"`
	// DecidedAt is the log's time as of which Verdict, Parts and Failed were decided, in nanoseconds
	// since the Unix epoch. Zero means that they apply whatever the evidence is by now.
	DecidedAt int64 `codec:"d,omitempty"`
	// Trial requests a trial of a quarantined request. CancelTrial returns a granted trial
	// that was not made.
	Trial       *quarantine.Fingerprint `codec:"t,omitempty"`
	CancelTrial *quarantine.Fingerprint `codec:"b,omitempty"`
	// Release ends the quarantine of a request.
	Release *quarantine.Fingerprint `codec:"x,omitempty"`
}

// Results of Trial, CancelTrial and Release commands.
var (
	// Granted means that the command was carried out.
	Granted = []byte{1}
	// Refused means that the command changed no entry.
	Refused = []byte{0}
)

// snapshotState is the encoded form of a snapshot.
type snapshotState struct {
	Index     uint64                    `codec:"n"`
	Pruned    uint64                    `codec:"p"`
	At        int64                     `codec:"a"`
	LastTrial int64                     `codec:"l"`
	Entries   []Entry                   `codec:"e"`
	Crashes   []quarantine.CrashState   `codec:"c"`
	Successes []quarantine.SuccessState `codec:"x"`
	Suspects  []quarantine.Fingerprint  `codec:"s"`
	Served    []quarantine.SuccessState `codec:"v,omitempty"`
	// SuspectedParts are the suspected parts of prompts.
	SuspectedParts []quarantine.Fingerprint `codec:"u,omitempty"`
}

// Machine is the replicated state machine. It is not safe for concurrent use.
type Machine struct {
	ledger  *quarantine.Ledger
	entries map[quarantine.Fingerprint]*Entry
	// index is the log index of the last change that instances need to learn of, pruned that
	// of the last change that dropped entries.
	index, pruned uint64
	at            time.Time
	lastTrial     time.Time
	// suspects and suspectedParts are the suspected requests and parts of prompts, each sorted.
	suspects, suspectedParts []quarantine.Fingerprint
}

// New returns a Machine without crashes and entries.
func New() *Machine {
	return &Machine{ledger: quarantine.NewLedger(quarantine.DefaultPolicy), entries: map[quarantine.Fingerprint]*Entry{}}
}

// Apply implements control.Machine. A command that cannot be decoded changes nothing.
func (m *Machine) Apply(index uint64, at time.Time, data []byte) []byte {
	var c Command
	if control.Unmarshal(data, &c) != nil {
		return nil
	}
	m.at = at
	result := Granted
	switch {
	case c.Trial != nil:
		result = m.trial(index, at, *c.Trial)
	case c.CancelTrial != nil:
		result = m.cancelTrial(index, *c.CancelTrial)
	case c.Release != nil:
		result = m.release(index, *c.Release)
	case len(c.Verdict)+len(c.Parts)+len(c.Failed) > 0:
		m.dropRefuted(&c)
		m.quarantineParts(index, at, c.Parts)
		m.quarantine(index, at, c.Verdict)
		m.markFailed(index, c.Failed)
	default:
		m.applyReports(index, at, c.Reports)
	}
	m.updateSuspects(index)
	m.prune(index)
	return result
}

func (m *Machine) applyReports(index uint64, at time.Time, reports []quarantine.Report) {
	for i := range reports {
		m.ledger.ApplyReport(at, &reports[i])
		for _, s := range reports[i].Succeeded {
			m.release(index, s.Fingerprint)
		}
		for _, s := range reports[i].Served {
			m.removeServed(index, at, s.Fingerprint)
		}
	}
}

// removeServed removes a part that was served from the quarantined sets, unless it is suspected all the
// same, and releases those that are empty then.
func (m *Machine) removeServed(index uint64, at time.Time, part quarantine.Fingerprint) {
	if m.ledger.CrashesOfPart(part, at) >= quarantine.DefaultPolicy.SuspectThreshold {
		return
	}
	for _, listed := range m.Entries() {
		e := m.entries[listed.Fingerprint]
		i := slices.Index(e.Parts, part)
		if i < 0 || e.Released {
			continue
		}
		if len(e.Parts) == 1 {
			m.release(index, e.Fingerprint)
			continue
		}
		m.ledger.ReleaseParts(quarantine.KeyOf(e.Parts))
		e.Parts = slices.Delete(slices.Clone(e.Parts), i, i+1)
		m.ledger.MarkPartsQuarantined(e.Parts)
		e.Changed, m.index = index, index
	}
}

// dropRefuted removes the requests from a verdict for which the evidence no longer stands: the
// member that decided may not have applied a release or a success that comes before it.
func (m *Machine) dropRefuted(c *Command) {
	if c.DecidedAt == 0 {
		return
	}
	now := m.judge(fromNanos(c.DecidedAt))
	c.Verdict = intersect(c.Verdict, now.Verdict)
	c.Failed = intersect(c.Failed, now.Failed)
	if !slices.Equal(c.Parts, now.Parts) {
		c.Parts = nil
	}
}

// intersect returns the elements of a that are in b.
func intersect(a, b []quarantine.Fingerprint) []quarantine.Fingerprint {
	return slices.DeleteFunc(a, func(f quarantine.Fingerprint) bool { return !slices.Contains(b, f) })
}

func (m *Machine) markFailed(index uint64, list []quarantine.Fingerprint) {
	for _, f := range list {
		if e := m.entries[f]; e != nil && !e.Released && !e.Failed {
			e.Failed, e.Changed, m.index = true, index, index
		}
	}
}

func (m *Machine) quarantine(index uint64, at time.Time, verdict []quarantine.Fingerprint) {
	for _, f := range verdict {
		if e := m.entries[f]; e != nil && !e.Released {
			continue
		}
		e := &Entry{Fingerprint: f, Since: at.UnixNano(), Changed: index}
		e.Organisation, e.Target, e.Crashes = m.ledger.Describe(f)
		m.entries[f], m.index = e, index
		m.ledger.MarkQuarantined(f)
	}
}

// quarantineParts quarantines a set of parts. Requests that it explains are released, and larger sets that
// contain it.
func (m *Machine) quarantineParts(index uint64, at time.Time, set []quarantine.Fingerprint) {
	if len(set) == 0 {
		return
	}
	e := &Entry{Fingerprint: quarantine.KeyOf(set), Parts: set, Since: at.UnixNano(), Changed: index}
	e.Organisation, e.Target, e.Crashes = m.ledger.DescribeParts(set)
	m.ledger.MarkPartsQuarantined(set)
	for _, listed := range m.Entries() {
		if old := m.entries[listed.Fingerprint]; !old.Released && !old.Failed && m.isCovered(old, set, at) {
			m.supersede(index, old)
		}
	}
	m.entries[e.Fingerprint], m.index = e, index
}

// isCovered reports whether an entry is not needed beside a set of parts.
func (m *Machine) isCovered(e *Entry, set []quarantine.Fingerprint, at time.Time) bool {
	if len(e.Parts) == 0 {
		return m.ledger.IsExplained(e.Fingerprint, at)
	}
	return len(e.Parts) > len(set) && len(intersect(slices.Clone(set), e.Parts)) == len(set)
}

// supersede ends an entry without a judgement on its evidence.
func (m *Machine) supersede(index uint64, e *Entry) {
	if len(e.Parts) > 0 {
		m.ledger.ReleaseParts(quarantine.KeyOf(e.Parts))
	} else {
		m.ledger.Release(e.Fingerprint)
	}
	e.Released, e.Changed, m.index = true, index, index
}

func (m *Machine) trial(index uint64, at time.Time, f quarantine.Fingerprint) []byte {
	e := m.entries[f]
	if e == nil || !e.TrialAllowed() || at.Sub(time.Unix(0, e.Since)) < MinTrialInterval || at.Sub(m.lastTrial) < MinTrialInterval {
		return Refused
	}
	if e.Trials > 0 && at.Sub(time.Unix(0, e.LastTrial)) < TrialTimeout {
		return Refused
	}
	e.Trials++
	e.LastTrial, e.Changed, m.index, m.lastTrial = at.UnixNano(), index, index, at
	return Granted
}

func (m *Machine) cancelTrial(index uint64, f quarantine.Fingerprint) []byte {
	e := m.entries[f]
	if e == nil || e.Released || e.Failed || e.Trials == 0 {
		return Refused
	}
	e.Trials--
	e.LastTrial, e.Changed, m.index = 0, index, index
	return Granted
}

func (m *Machine) release(index uint64, f quarantine.Fingerprint) []byte {
	e := m.entries[f]
	if e == nil || e.Released {
		return Refused
	}
	for _, part := range e.Parts {
		m.ledger.RecordServed(part, m.at)
	}
	m.supersede(index, e)
	return Granted
}

// updateSuspects recomputes the suspected requests and parts, and records a change.
func (m *Machine) updateSuspects(index uint64) {
	requests, parts := m.ledger.Suspects(m.at), m.ledger.SuspectedParts(m.at)
	if !slices.Equal(requests, m.suspects) || !slices.Equal(parts, m.suspectedParts) {
		m.suspects, m.suspectedParts, m.index = requests, parts, index
	}
}

func (m *Machine) prune(index uint64) {
	for len(m.entries) > maxEntries {
		f := m.nextToDrop()
		if e := m.entries[f]; !e.Released {
			m.supersede(index, e)
		}
		delete(m.entries, f)
		m.pruned, m.index = index, index
	}
}

// nextToDrop returns the entry to drop next.
func (m *Machine) nextToDrop() quarantine.Fingerprint {
	var best *Entry
	for _, e := range m.entries {
		if best == nil || compareForDrop(e, best) < 0 {
			best = e
		}
	}
	return best.Fingerprint
}

// compareForDrop orders entries by which is dropped first.
func compareForDrop(a, b *Entry) int {
	if a.Released != b.Released {
		if a.Released {
			return -1
		}
		return 1
	}
	return cmp.Or(cmp.Compare(a.Changed, b.Changed), slices.Compare(a.Fingerprint[:], b.Fingerprint[:]))
}
