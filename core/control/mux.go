package control

import (
	"slices"
	"time"

	"github.com/comfreyladder/comfreyladder/core/fault"
)

// Mux dispatches commands to state machines by name. It is not safe for concurrent use.
type Mux struct {
	machines map[string]Machine
	index    uint64
	at       int64
}

// NewMux returns a Mux for the given state machines.
func NewMux(machines map[string]Machine) *Mux { return &Mux{machines: machines} }

// Has reports whether a state machine is registered under the name.
func (m *Mux) Has(name string) bool { return m.machines[name] != nil }

// Machine returns the state machine registered under the name, or nil.
func (m *Mux) Machine(name string) Machine { return m.machines[name] }

// Index returns the log index of the last entry that was applied or skipped.
func (m *Mux) Index() uint64 { return m.index }

// Skip advances the index past a log entry that carries no command.
func (m *Mux) Skip(index uint64) { m.index = index }

// Apply executes one entry. at is in nanoseconds since the Unix epoch. After an
// error this member must stop: the entry could not be decoded (fault.Corrupt) or
// is for a state machine that only a newer version has (fault.Internal). Skipping
// it would make this member's state diverge from the group's, which is noticed
// much later or never.
func (m *Mux) Apply(index uint64, at int64, payload []byte) (Entry, []byte, error) {
	e := Entry{Index: index, At: time.Unix(0, max(at, m.at)).UTC()}
	if err := Unmarshal(payload, &e.Command); err != nil {
		return e, nil, err
	}
	machine := m.machines[e.Machine]
	if machine == nil {
		return e, nil, fault.New(fault.Internal, "log entry %d is for the unknown state machine %q; this instance runs an older version than its group", index, e.Machine)
	}
	m.index, m.at = index, max(at, m.at)
	return e, machine.Apply(index, e.At, e.Data), nil
}

// muxSnapshot is the encoded form of a snapshot.
type muxSnapshot struct {
	Index    uint64            `codec:"i"`
	At       int64             `codec:"a"`
	Machines []machineSnapshot `codec:"m"`
}

type machineSnapshot struct {
	Name  string `codec:"n"`
	State []byte `codec:"s"`
}

// Snapshot returns the encoded state of all state machines.
func (m *Mux) Snapshot() ([]byte, error) {
	s := muxSnapshot{Index: m.index, At: m.at}
	for _, name := range m.sortedNames() {
		b, err := m.machines[name].Snapshot()
		if err != nil {
			return nil, fault.Wrap(err, fault.Internal, "snapshot of %q", name)
		}
		s.Machines = append(s.Machines, machineSnapshot{Name: name, State: b})
	}
	return Marshal(&s)
}

// Restore replaces the state of all state machines. After an error the state is
// undefined and the member must stop. A state machine that is missing from the
// snapshot, which an older version may have taken, keeps its state.
func (m *Mux) Restore(snapshot []byte) error {
	var s muxSnapshot
	if err := Unmarshal(snapshot, &s); err != nil {
		return err
	}
	for _, part := range s.Machines {
		machine := m.machines[part.Name]
		if machine == nil {
			return fault.New(fault.Internal, "the snapshot contains the unknown state machine %q; this instance runs an older version than its group", part.Name)
		}
		if err := machine.Restore(part.State); err != nil {
			return fault.Wrap(err, fault.Corrupt, "restore %q", part.Name)
		}
	}
	m.index, m.at = s.Index, s.At
	return nil
}

func (m *Mux) sortedNames() []string {
	var names []string
	for name := range m.machines {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}
