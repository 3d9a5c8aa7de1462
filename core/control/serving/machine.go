// Package serving is the replicated state that instances forward requests by: the
// newest table of routes, and the upstreams that announced themselves. It is a
// sub-machine of core/control.
//
// Upstreams are part of the log since an acknowledged leave must reach every
// instance: what is committed is seen by each confirmed read. Heartbeats that say
// nothing new are not proposed.
package serving

import (
	"slices"
	"strings"
	"time"

	"github.com/comfreyladder/comfreyladder/core/control"
	"github.com/comfreyladder/comfreyladder/core/route"
)

// Name of the sub-machine.
const Name = "serving"

// State is what an upstream is at.
type State uint8

// The states of an upstream's incarnation.
const (
	// Ready upstreams take work.
	Ready State = iota + 1
	// Draining upstreams finish what they have.
	Draining
	// Superseded means that another incarnation announced the same address.
	Superseded
	// Gone incarnations left; that is final.
	Gone
)

// String returns the state's name in logs.
func (s State) String() string {
	return [...]string{"unknown", "ready", "draining", "superseded", "gone"}[min(int(s), 4)]
}

// Upstream is one incarnation of an upstream process.
type Upstream struct {
	ID      string `codec:"i"`
	Service string `codec:"s"`
	Address string `codec:"a"`
	Domain  string `codec:"d"`
	Slots   int    `codec:"n"`
	State   State  `codec:"t"`
	// StartedAt is the Unix millisecond at which the incarnation started, by its own word; zero
	// where it does not say. Sequence orders its heartbeats.
	StartedAt     int64  `codec:"b,omitempty"`
	Sequence uint64 `codec:"q"`
	// FirstIndex is the log index at which the incarnation was first heard of. It tells two
	// incarnations under one ID apart for those who remember anything by the ID.
	FirstIndex uint64 `codec:"g,omitempty"`
	// Silent means that no heartbeat came for a while. It may still serve those
	// that reach it.
	Silent bool `codec:"x"`
	// WarmMS is for how many milliseconds from the announcement on it is slow.
	WarmMS int64 `codec:"w"`
	// Preemptible upstreams may be taken back by whoever lends them. LeavesMS is for how many
	// milliseconds from the announcement on one that drains stays, if it says so.
	Preemptible bool  `codec:"p,omitempty"`
	LeavesMS    int64 `codec:"l,omitempty"`
	// Changed is the log index of the last change, At its time.
	Changed uint64 `codec:"c"`
	At      int64  `codec:"e"`
}

// Usable reports whether the incarnation may get new work.
func (u *Upstream) Usable() bool { return u.State == Ready }

// Put is the command that brings a table.
type Put struct {
	Version uint64 `codec:"v"`
	// Table is the encoded route.Table, Source what the operator sent.
	Table  []byte `codec:"t"`
	Source []byte `codec:"s"`
}

// Command is one of the machine's commands: exactly one field is set.
type Command struct {
	Put      *Put      `codec:"p,omitempty"`
	Announce *Upstream `codec:"a,omitempty"`
	// Leave is the ID of an incarnation that leaves, LeaveBorn when it started if it says so.
	Leave     string `codec:"l,omitempty"`
	LeaveStartedAt int64  `codec:"b,omitempty"`
	// Silent lists incarnations that no member has heard for a while.
	Silent []string `codec:"x,omitempty"`
}

// Limits of the state.
const (
	// endedRetention is for how long ended incarnations are remembered, so that their
	// late heartbeats don't bring them back.
	endedRetention = 10 * time.Minute
	// maxUpstreams bounds the incarnations in the state; the longest ended go first.
	maxUpstreams = 16384
)

// snapshotState is the form of a snapshot.
type snapshotState struct {
	Version   uint64     `codec:"v"`
	Table     []byte     `codec:"t"`
	Source    []byte     `codec:"s"`
	TableAt   uint64     `codec:"x"`
	Pruned    uint64     `codec:"p"`
	Index     uint64     `codec:"n"`
	Upstreams []Upstream `codec:"u"`
}

// Machine is the sub-machine. It is not safe for concurrent use.
type Machine struct {
	s    snapshotState
	byID map[string]*Upstream
	// services are those that the table in force names.
	services map[string]bool
}

// New returns a machine without a table and upstreams.
func New() *Machine { return &Machine{byID: map[string]*Upstream{}} }

// Apply implements control.Machine. The result is empty; a command that does not
// decode changes nothing.
func (m *Machine) Apply(index uint64, at time.Time, data []byte) []byte {
	var c Command
	if control.Unmarshal(data, &c) != nil {
		return nil
	}
	switch {
	case c.Put != nil:
		m.put(index, c.Put)
	case c.Announce != nil:
		m.announce(index, at, c.Announce)
	case c.Leave != "":
		m.leave(index, at, c.Leave, c.LeaveStartedAt)
	default:
		m.markSilent(index, at, c.Silent)
	}
	m.prune(index, at)
	return nil
}

// put takes a table of a higher version. Any other changes nothing, so a resend
// and an older one are harmless, and other content under the same version is
// neither obeyed nor read back.
func (m *Machine) put(index uint64, p *Put) {
	if p.Version <= m.s.Version {
		return
	}
	m.s.Version, m.s.Table, m.s.Source = p.Version, p.Table, p.Source
	m.s.TableAt, m.s.Index = index, index
	m.services = servicesOf(p.Table)
}

// servicesOf returns the names of an encoded table's services; none if it can't be read.
func servicesOf(encoded []byte) map[string]bool {
	var t route.Table
	if control.Unmarshal(encoded, &t) != nil {
		return nil
	}
	names := make(map[string]bool, len(t.Services))
	for i := range t.Services {
		names[t.Services[i].Name] = true
	}
	return names
}

func (m *Machine) announce(index uint64, at time.Time, u *Upstream) {
	known := m.byID[u.ID]
	next := *u
	next.FirstIndex = index
	if known != nil {
		switch compare(known, u) {
		case older:
			return
		case same:
			if known.State == Gone || u.Sequence <= known.Sequence {
				return
			}
			next.FirstIndex, next.StartedAt = known.FirstIndex, max(known.StartedAt, u.StartedAt)
			if known.State == Draining {
				// An incarnation that began to drain does not come back.
				next.State = Draining
			}
		}
	}
	m.claimAddress(index, at, &next)
	m.set(index, at, &next)
}

// claimAddress settles who has the address of an upstream. The other incarnations there
// are superseded, but not gone for good: a late heartbeat of a dead one may have come
// after its successor's first, and the successor's next heartbeat must win the address
// back. Where both say when they started, the later one has the address at once, and an
// upstream of a service that the table does not name takes it from nobody.
func (m *Machine) claimAddress(index uint64, at time.Time, by *Upstream) {
	for id, u := range m.byID {
		if id == by.ID || u.Address != by.Address || (u.State != Ready && u.State != Draining) {
			continue
		}
		if by.StartedAt > 0 && u.StartedAt > by.StartedAt || m.hasService(u.Service) && !m.hasService(by.Service) {
			by.State = Superseded
			continue
		}
		u.State = Superseded
		u.Changed, u.At = index, at.UnixNano()
	}
}

// hasService reports whether the table in force names a service.
func (m *Machine) hasService(service string) bool { return m.services[service] }

// leave ends an incarnation. Where the leave does not say which one under the ID it is
// of, it ends the one that is known: work must not go on to an upstream that left.
func (m *Machine) leave(index uint64, at time.Time, id string, born int64) {
	known := m.byID[id]
	if known == nil || born > 0 && compare(known, &Upstream{StartedAt: born}) == newer {
		// The leave may overtake the announcement; it has to outlive it.
		known = &Upstream{ID: id, StartedAt: born, FirstIndex: index}
	}
	if known.State == Gone || born > 0 && born < known.StartedAt {
		return
	}
	next := *known
	next.State = Gone
	m.set(index, at, &next)
}

func (m *Machine) markSilent(index uint64, at time.Time, ids []string) {
	for _, id := range ids {
		if u := m.byID[id]; u != nil && !u.Silent && u.State != Gone {
			next := *u
			next.Silent = true
			m.set(index, at, &next)
		}
	}
}

func (m *Machine) set(index uint64, at time.Time, u *Upstream) {
	u.Changed, u.At = index, at.UnixNano()
	m.byID[u.ID] = u
	m.s.Index = index
}

func (m *Machine) prune(index uint64, at time.Time) {
	limit := at.Add(-endedRetention).UnixNano()
	for id, u := range m.byID {
		if u.At < limit && (u.Silent || u.State >= Superseded) {
			delete(m.byID, id)
			m.s.Pruned, m.s.Index = index, index
		}
	}
	for len(m.byID) > maxUpstreams {
		delete(m.byID, m.oldest())
		m.s.Pruned, m.s.Index = index, index
	}
}

func (m *Machine) oldest() string {
	best := ""
	for id, u := range m.byID {
		if b := m.byID[best]; b == nil || u.At < b.At || u.At == b.At && id < best {
			best = id
		}
	}
	return best
}

// Snapshot implements control.Machine.
func (m *Machine) Snapshot() ([]byte, error) {
	s := m.s
	s.Upstreams = m.Upstreams()
	return control.Marshal(&s)
}

// Restore implements control.Machine.
func (m *Machine) Restore(snapshot []byte) error {
	var s snapshotState
	if err := control.Unmarshal(snapshot, &s); err != nil {
		return err
	}
	m.byID = make(map[string]*Upstream, len(s.Upstreams))
	for i := range s.Upstreams {
		m.byID[s.Upstreams[i].ID] = &s.Upstreams[i]
	}
	s.Upstreams = nil
	m.s = s
	m.services = servicesOf(s.Table)
	return nil
}

// Upstreams returns all incarnations, by ID.
func (m *Machine) Upstreams() []Upstream {
	list := make([]Upstream, 0, len(m.byID))
	for _, u := range m.byID {
		list = append(list, *u)
	}
	slices.SortFunc(list, func(a, b Upstream) int { return strings.Compare(a.ID, b.ID) })
	return list
}

// Upstream returns one incarnation.
func (m *Machine) Upstream(id string) (Upstream, bool) {
	u := m.byID[id]
	if u == nil {
		return Upstream{}, false
	}
	return *u, true
}

// Source returns the version in force and what the operator sent for it; zero when
// there is none.
func (m *Machine) Source() (uint64, []byte) { return m.s.Version, m.s.Source }

// Index returns the log index of the last change.
func (m *Machine) Index() uint64 { return m.s.Index }

// Changes is what an instance is behind by.
type Changes struct {
	// Index is up to where an instance is that has taken them in.
	Index uint64 `codec:"n"`
	// Full says that the upstreams are all there are, not only changed ones.
	Full bool `codec:"f"`
	// Table is the encoded table if it has changed.
	Version   uint64     `codec:"v"`
	Table     []byte     `codec:"t"`
	Upstreams []Upstream `codec:"u"`
}

// Since returns what has changed after an index.
func (m *Machine) Since(index uint64) Changes {
	c := Changes{Index: m.s.Index, Full: index == 0 || index < m.s.Pruned, Version: m.s.Version}
	if m.s.TableAt > index {
		c.Table = m.s.Table
	}
	for _, u := range m.byID {
		if c.Full || u.Changed > index {
			c.Upstreams = append(c.Upstreams, *u)
		}
	}
	return c
}
