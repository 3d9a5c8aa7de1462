// Package serving holds the replicated state by which instances forward requests: the
// latest routing table and the upstreams that have announced themselves. It is one of
// the state machines of core/control.
//
// Upstreams are part of the log because an acknowledged leave must reach every
// instance: each confirmed read sees what has been committed. Heartbeats that change
// nothing are not proposed.
package serving

import (
	"math"
	"time"

	"github.com/comfreyladder/comfreyladder/core/control"
	"github.com/comfreyladder/comfreyladder/core/route"
)

// Name is the name of the state machine.
const Name = "serving"

// State is the state of an incarnation of an upstream.
type State uint8

// States of an incarnation.
const (
	// Ready upstreams accept work.
	Ready State = iota + 1
	// Draining upstreams finish their requests and get no new ones.
	Draining
	// Superseded means that another incarnation announced the same address.
	Superseded
	// Gone means that the incarnation has left. This state is final.
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
	// StartedAt is when the incarnation started, in Unix milliseconds, as it reports itself, or
	// zero if it does not. Sequence orders its heartbeats.
	StartedAt int64  `codec:"b,omitempty"`
	Sequence  uint64 `codec:"q"`
	// FirstIndex is the log index at which the incarnation was first recorded. Code that keeps
	// data by upstream ID uses it to tell incarnations with the same ID apart.
	FirstIndex uint64 `codec:"g,omitempty"`
	// Silent means that no heartbeat has arrived for a while. The upstream may still
	// serve instances that can reach it.
	Silent bool `codec:"x"`
	// Software is the version of the software that the incarnation runs; empty if it is unknown.
	Software string `codec:"v,omitempty"`
	// WarmMS is how long after the announcement the upstream stays cold, in milliseconds. See
	// ChangesWarmUp.
	WarmMS int64 `codec:"w"`
	// Preemptible upstreams may be reclaimed by their provider. LeavesMS is how long after
	// the announcement a draining upstream stays, in milliseconds, if it says so.
	Preemptible bool  `codec:"p,omitempty"`
	LeavesMS    int64 `codec:"l,omitempty"`
	// Changed is the log index of the last change, At its time in nanoseconds since the
	// Unix epoch.
	Changed uint64 `codec:"c"`
	At      int64  `codec:"e"`
}

// Usable reports whether the incarnation may get new work.
func (u *Upstream) Usable() bool { return u.State == Ready }

// Put is the command that installs a routing table.
type Put struct {
	Version uint64 `codec:"v"`
	// Table is the encoded route.Table, Source what the operator sent.
	Table  []byte `codec:"t"`
	Source []byte `codec:"s"`
}

// Command is a command of the state machine. Exactly one of Put, Announce, Leave and
// Silent is set.
type Command struct {
	Put      *Put      `codec:"p,omitempty"`
	Announce *Upstream `codec:"a,omitempty"`
	// Leave is the ID of an incarnation that leaves, LeaveStartedAt its start if it reports it.
	Leave          string `codec:"l,omitempty"`
	LeaveStartedAt int64  `codec:"b,omitempty"`
	// Silent lists incarnations from which no member has received a heartbeat for a while.
	Silent []string `codec:"x,omitempty"`
}

// Limits of the state.
const (
	// endedRetention is how long ended incarnations are kept, so that a late heartbeat does not
	// make them usable again.
	endedRetention = 10 * time.Minute
	// maxEnded bounds the ended incarnations in the state. Those whose last change is the oldest
	// are dropped first.
	maxEnded = 16384
	// MaxUpstreams bounds the incarnations that have not ended. Further ones are not recorded:
	// dropping one that serves would take its work away.
	MaxUpstreams = 65536
)

// snapshotState is the encoded form of a snapshot.
type snapshotState struct {
	Version   uint64     `codec:"v"`
	Table     []byte     `codec:"t"`
	Source    []byte     `codec:"s"`
	TableAt   uint64     `codec:"x"`
	Pruned    uint64     `codec:"p"`
	Index     uint64     `codec:"n"`
	Upstreams []Upstream `codec:"u"`
}

// Machine is the replicated state machine. It is not safe for concurrent use.
type Machine struct {
	s         snapshotState
	upstreams index
	removals  removalLog
	// services holds the warm-up rates of the services in the current table by name, zero for none.
	services map[string]float64
}

// New returns a Machine without a table and upstreams.
func New() *Machine { return &Machine{upstreams: newIndex(nil)} }

// Apply implements control.Machine. The result is empty. A command that cannot be
// decoded changes nothing.
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

// put installs a table with a higher version. Any other table changes nothing, so
// resends and older tables are harmless, and different content under the same version
// is neither used nor returned by Source.
func (m *Machine) put(index uint64, p *Put) {
	if p.Version <= m.s.Version {
		return
	}
	m.s.Version, m.s.Table, m.s.Source = p.Version, p.Table, p.Source
	m.s.TableAt, m.s.Index = index, index
	m.services = servicesOf(p.Table)
}

// servicesOf returns the warm-up rates of an encoded table's services by name, or nil if it cannot be
// decoded.
func servicesOf(encoded []byte) map[string]float64 {
	var t route.Table
	if control.Unmarshal(encoded, &t) != nil {
		return nil
	}
	rates := make(map[string]float64, len(t.Services))
	for i := range t.Services {
		rates[t.Services[i].Name] = t.Services[i].WarmUpPerSecond
	}
	return rates
}

func (m *Machine) announce(index uint64, at time.Time, u *Upstream) {
	known := m.upstreams.get(u.ID)
	if known == nil && m.upstreams.live() >= MaxUpstreams {
		return
	}
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
				// A draining incarnation does not become ready again.
				next.State = Draining
			}
		}
	}
	m.claimAddress(index, at, &next)
	m.set(index, at, next)
}

// claimAddress decides which incarnation owns the address of by. The other one with this
// address becomes Superseded, which is not final: a late heartbeat of a dead incarnation
// may arrive after its successor's first one, and the successor's next heartbeat must
// regain the address. If both report when they started, the later one owns the address
// at once. An upstream of a service that the table does not contain cannot take the
// address from one whose service it contains.
func (m *Machine) claimAddress(index uint64, at time.Time, by *Upstream) {
	u := m.upstreams.owner(by.Address)
	if u == nil || u.ID == by.ID {
		return
	}
	if by.StartedAt > 0 && u.StartedAt > by.StartedAt || m.hasService(u.Service) && !m.hasService(by.Service) {
		by.State = Superseded
		return
	}
	next := *u
	next.State = Superseded
	m.set(index, at, next)
}

// hasService reports whether the current table contains a service.
func (m *Machine) hasService(service string) bool {
	_, ok := m.services[service]
	return ok
}

// leave ends an incarnation. A leave without a start ends the known incarnation with this
// ID, since an upstream that left must not get work.
func (m *Machine) leave(index uint64, at time.Time, id string, startedAt int64) {
	known := m.upstreams.get(id)
	if known == nil || startedAt > 0 && compare(known, &Upstream{StartedAt: startedAt}) == newer {
		// The leave may arrive before the announcement, which must not undo it.
		known = &Upstream{ID: id, StartedAt: startedAt, FirstIndex: index}
	}
	if known.State == Gone || startedAt > 0 && startedAt < known.StartedAt {
		return
	}
	next := *known
	next.State = Gone
	m.set(index, at, next)
}

func (m *Machine) markSilent(index uint64, at time.Time, ids []string) {
	for _, id := range ids {
		if u := m.upstreams.get(id); u != nil && !u.Silent && u.State != Gone {
			next := *u
			next.Silent = true
			m.set(index, at, next)
		}
	}
}

func (m *Machine) set(index uint64, at time.Time, u Upstream) {
	u.Changed, u.At = index, at.UnixNano()
	m.upstreams.put(u)
	m.s.Index = index
}

// prune drops the ended incarnations that are old or too many.
func (m *Machine) prune(index uint64, at time.Time) {
	limit := at.Add(-endedRetention).UnixNano()
	for {
		u := m.upstreams.oldestEnded()
		if u == nil || u.At >= limit && m.upstreams.ended() <= maxEnded {
			return
		}
		m.removals.add(index, u)
		m.upstreams.remove(u.ID)
		m.s.Pruned, m.s.Index = index, index
	}
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
	m.upstreams = newIndex(s.Upstreams)
	m.removals = removalLog{from: s.Pruned}
	s.Upstreams = nil
	m.s = s
	m.services = servicesOf(s.Table)
	return nil
}

// Upstreams returns the latest incarnation of every upstream, sorted by ID.
func (m *Machine) Upstreams() []Upstream { return m.upstreams.sorted() }

// Each calls f for the latest incarnation of every upstream, which f must not change or keep.
func (m *Machine) Each(f func(*Upstream)) {
	for _, e := range m.upstreams.byID {
		f(&e.upstream)
	}
}

// Upstream returns the latest incarnation with an ID.
func (m *Machine) Upstream(id string) (Upstream, bool) {
	u := m.upstreams.get(id)
	if u == nil {
		return Upstream{}, false
	}
	return *u, true
}

// Source returns the version of the current table and the operator's input for it. The
// version is zero if there is no table.
func (m *Machine) Source() (uint64, []byte) { return m.s.Version, m.s.Source }

// Index returns the log index of the last change.
func (m *Machine) Index() uint64 { return m.s.Index }

// Changes holds the changes that an instance has not received yet. Upstreams in the state Gone
// are to be dropped.
type Changes struct {
	// Index is the log index that the instance has reached once it has applied the changes.
	Index uint64 `codec:"n"`
	// Full means that Upstreams lists all upstreams, not only changed ones.
	Full bool `codec:"f"`
	// Table is the encoded table, if it has changed.
	Version   uint64     `codec:"v"`
	Table     []byte     `codec:"t"`
	Upstreams []Upstream `codec:"u"`
	// More means that further changes are in the next page, see Page.
	More bool `codec:"m,omitempty"`
	// Began is, if More is set, the log index at which a reader of the whole state began with it.
	Began uint64 `codec:"b,omitempty"`
}

// Exceeds reports whether more than limit incarnations changed after an index.
func (m *Machine) Exceeds(index uint64, limit int) bool {
	return m.s.Index > index+uint64(limit) && m.upstreams.exceeds(index, limit)
}

// Since returns the changes after an index. Its cost depends on the number of changes, except
// for a reader that needs the whole state.
func (m *Machine) Since(index uint64) Changes { return m.Page(index, 0, math.MaxInt) }

// Page is Since for at most some limit of upstreams, more only if they changed together: a reader
// far behind gets the state in parts that fit into its time limits, in the order of the changes. A
// page stays right for a reader at its index after later changes, which are in later pages. began is
// Began of the page before: a reader of the whole state has nothing that was dropped before it began,
// so it needs not begin again when removals of that time are not remembered. It is zero for a reader
// without a page before.
func (m *Machine) Page(index, began uint64, limit int) Changes {
	c := Changes{Index: m.s.Index, Full: index == 0 || max(index, began) < m.removals.from, Version: m.s.Version}
	from := index
	if c.Full {
		from, began = 0, m.s.Index
	}
	if c.Upstreams, c.More = m.upstreams.changedSince(from, limit); c.More {
		c.Index, c.Began = c.Upstreams[len(c.Upstreams)-1].Changed, began
	}
	if m.s.TableAt > from && m.s.TableAt <= c.Index {
		c.Table = m.s.Table
	}
	if !c.Full {
		m.removals.between(index, c.Index, func(id string) {
			if m.upstreams.get(id) == nil {
				c.Upstreams = append(c.Upstreams, Upstream{ID: id, State: Gone})
			}
		})
	}
	return c
}
