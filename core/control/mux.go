package control

import (
	"slices"
	"time"

	"github.com/comfreyladder/comfreyladder/core/fault"
)

// Mux hands commands to sub-machines by name. It is not safe for concurrent use.
type Mux struct {
	machines map[string]Machine
	index    uint64
	at       int64
}

// NewMux returns a Mux over the given sub-machines.
func NewMux(machines map[string]Machine) *Mux { return &Mux{machines: machines} }

// Has reports whether there is a sub-machine of that name.
func (m *Mux) Has(name string) bool { return m.machines[name] != nil }

// Machine returns the sub-machine of that name, or nil.
func (m *Mux) Machine(name string) Machine { return m.machines[name] }

// Index returns the log index of the last entry that was applied.
func (m *Mux) Index() uint64 { return m.index }

// Skip notes an entry of the log that carries no command.
func (m *Mux) Skip(index uint64) { m.index = index }

// Apply carries out one entry. at is in nanoseconds since the Unix epoch. An
// error means that this member must stop: an entry that it cannot decode
// (fault.Corrupt), or one for a sub-machine that only a newer version has
// (fault.Internal). To pass over it would leave this member with another state
// than the group's, which shows much later or never.
func (m *Mux) Apply(index uint64, at int64, payload []byte) (Entry, []byte, error) {
	e := Entry{Index: index, At: time.Unix(0, max(at, m.at)).UTC()}
	if err := Unmarshal(payload, &e.Command); err != nil {
		return e, nil, err
	}
	machine := m.machines[e.Machine]
	if machine == nil {
		return e, nil, fault.New(fault.Internal, "entry %d is for the unknown machine %q; this instance is older than its group", index, e.Machine)
	}
	m.index, m.at = index, max(at, m.at)
	return e, machine.Apply(index, e.At, e.Data), nil
}

// state is the form of a snapshot.
type state struct {
	Index    uint64         `codec:"i"`
	At       int64          `codec:"a"`
	Machines []machineState `codec:"m"`
}

type machineState struct {
	Name  string `codec:"n"`
	State []byte `codec:"s"`
}

// Snapshot returns the state of all sub-machines.
func (m *Mux) Snapshot() ([]byte, error) {
	s := state{Index: m.index, At: m.at}
	for _, name := range m.names() {
		b, err := m.machines[name].Snapshot()
		if err != nil {
			return nil, fault.Wrap(err, fault.Internal, "snapshot of %q", name)
		}
		s.Machines = append(s.Machines, machineState{Name: name, State: b})
	}
	return Marshal(&s)
}

// Restore replaces the state of all sub-machines. After a failure the state is
// undefined and the member must stop. A sub-machine that the snapshot does not
// have, since it was taken by an older version, keeps its state.
func (m *Mux) Restore(snapshot []byte) error {
	var s state
	if err := Unmarshal(snapshot, &s); err != nil {
		return err
	}
	for _, part := range s.Machines {
		machine := m.machines[part.Name]
		if machine == nil {
			return fault.New(fault.Internal, "the snapshot has the unknown machine %q; this instance is older than its group", part.Name)
		}
		if err := machine.Restore(part.State); err != nil {
			return fault.Wrap(err, fault.Corrupt, "restore %q", part.Name)
		}
	}
	m.index, m.at = s.Index, s.At
	return nil
}

func (m *Mux) names() []string {
	var names []string
	for name := range m.machines {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}
