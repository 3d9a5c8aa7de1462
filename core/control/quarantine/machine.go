// Package quarantine is the replicated list of requests that are kept from upstreams since
// they crash each one that runs them, with the evidence of core/quarantine. It is a
// sub-machine of core/control.
//
// Evidence is part of the log, so that it adds up whichever members and instances saw a crash,
// and that neither a verdict nor what led to it is lost with processes: a request that was
// forgotten would end as many upstreams again.
package quarantine

import (
	"cmp"
	"slices"
	"time"

	"github.com/comfreyladder/comfreyladder/core/control"
	"github.com/comfreyladder/comfreyladder/core/quarantine"
)

// Name of the sub-machine.
const Name = "quarantine"

const (
	// MaxTrials is how often a quarantined request may be run to see whether it still crashes
	// its upstream: once, and once more if the outcome of that was lost or proves nothing.
	MaxTrials = 2
	// MinTrialInterval is the least time from a verdict to a trial, and from one trial to the next
	// one of any request: of two at a time a crash would not tell which caused it.
	MinTrialInterval = time.Second
	// TrialTimeout is after what time without an outcome a trial may be repeated.
	TrialTimeout = 5 * time.Second
	// maxEntries bounds the list. Those that were released go first, then the oldest.
	maxEntries = 1024
)

// Entry is a request that is, or was, quarantined.
type Entry struct {
	Fingerprint  quarantine.Fingerprint `codec:"f"`
	Organisation string                 `codec:"o"`
	Target       string                 `codec:"t"`
	// Crashes is at how many crashes it was under way when it was quarantined.
	Crashes int `codec:"n"`
	// Since is when it was quarantined, by the log's time, in nanoseconds since the Unix epoch.
	Since int64 `codec:"s"`
	// Trials counts the runs since, LastTrial is when the latest one was granted, by the log's
	// time, and Failed says that its upstream has crashed under it.
	Trials    int   `codec:"r"`
	LastTrial int64 `codec:"l"`
	Failed    bool  `codec:"d"`
	// Released entries are kept for a while so that all instances hear of it.
	Released bool `codec:"x"`
	// Changed is the log index of the last change.
	Changed uint64 `codec:"c"`
}

// TrialAllowed reports whether the entry has a trial left.
func (e *Entry) TrialAllowed() bool { return !e.Released && !e.Failed && e.Trials < MaxTrials }

// Final reports whether it is proved, as far as it can be, that the request crashes upstreams.
func (e *Entry) Final() bool { return !e.Released && e.Failed }

// Command is one of the machine's commands: one field is set, or Verdict and Failed.
type Command struct {
	// Reports are what instances told.
	Reports []quarantine.Report `codec:"r,omitempty"`
	// Verdict lists requests to quarantine, Failed those that have failed their trial.
	Verdict []quarantine.Fingerprint `codec:"v,omitempty"`
	Failed  []quarantine.Fingerprint `codec:"f,omitempty"`
	// Trial asks for a trial of a request, Return gives back one that was not made.
	Trial       *quarantine.Fingerprint `codec:"t,omitempty"`
	CancelTrial *quarantine.Fingerprint `codec:"b,omitempty"`
	// Release ends the quarantine of a request.
	Release *quarantine.Fingerprint `codec:"x,omitempty"`
}

// The results of commands that ask for something.
var (
	// Granted says that a trial is granted, or that a request is released.
	Granted = []byte{1}
	// Refused says that it isn't.
	Refused = []byte{0}
)

// snapshotState is the form of a snapshot.
type snapshotState struct {
	Index     uint64                    `codec:"n"`
	Pruned    uint64                    `codec:"p"`
	At        int64                     `codec:"a"`
	LastTrial int64                     `codec:"l"`
	Entries   []Entry                   `codec:"e"`
	Crashes   []quarantine.CrashState   `codec:"c"`
	Successes []quarantine.SuccessState `codec:"x"`
	Suspects  []quarantine.Fingerprint  `codec:"s"`
}

// Machine is the sub-machine. It is not safe for concurrent use.
type Machine struct {
	ledger  *quarantine.Ledger
	entries map[quarantine.Fingerprint]*Entry
	// index is that of the last change that instances need to hear of, pruned that of the
	// last one that dropped entries.
	index, pruned uint64
	at            time.Time
	lastTrial     time.Time
	suspects      []quarantine.Fingerprint
}

// New returns a machine that knows of no crash.
func New() *Machine {
	return &Machine{ledger: quarantine.NewLedger(quarantine.DefaultPolicy), entries: map[quarantine.Fingerprint]*Entry{}}
}

// Apply implements control.Machine. A command that does not decode changes nothing.
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
	case len(c.Verdict)+len(c.Failed) > 0:
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
		m.ledger.Take(at, &reports[i])
		for _, s := range reports[i].Succeeded {
			m.release(index, s.Fingerprint)
		}
	}
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
		m.ledger.Quarantine(f)
	}
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
	m.ledger.Release(f)
	e.Released, e.Changed, m.index = true, index, index
	return Granted
}

// updateSuspects notes whether other requests are suspected now.
func (m *Machine) updateSuspects(index uint64) {
	list := m.ledger.Suspects(m.at)
	if !slices.Equal(list, m.suspects) {
		m.suspects, m.index = list, index
	}
}

func (m *Machine) prune(index uint64) {
	for len(m.entries) > maxEntries {
		f := m.nextToDrop()
		if !m.entries[f].Released {
			m.ledger.Release(f)
		}
		delete(m.entries, f)
		m.pruned, m.index = index, index
	}
}

// nextToDrop returns the entry that is dropped nextToDrop.
func (m *Machine) nextToDrop() quarantine.Fingerprint {
	var best *Entry
	for _, e := range m.entries {
		if best == nil || compareForDrop(e, best) < 0 {
			best = e
		}
	}
	return best.Fingerprint
}

// compareForDrop tells which of two entries is dropped first.
func compareForDrop(a, b *Entry) int {
	if a.Released != b.Released {
		if a.Released {
			return -1
		}
		return 1
	}
	return cmp.Or(cmp.Compare(a.Changed, b.Changed), slices.Compare(a.Fingerprint[:], b.Fingerprint[:]))
}
