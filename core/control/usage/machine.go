// Package usage is the sub-machine that holds what instances counted (core/usage), closes
// windows, and remembers which reports were settled with the one who takes them. It is a
// sub-machine of core/control.
//
// The content of a report is what the counts are when the window's close is applied. So it
// is the same for every holder of the duty, whoever dies after sending it: a second report
// of a window with other counts would bill an organisation twice or wrongly.
package usage

import (
	"cmp"
	"slices"
	"time"

	"github.com/comfreyladder/comfreyladder/core/control"
	"github.com/comfreyladder/comfreyladder/core/usage"
)

// Name of the sub-machine.
const Name = "usage"

// Outcome is what became of a report.
type Outcome string

// The outcomes of a report.
const (
	// Open reports are still to be acknowledged.
	Open Outcome = ""
	// Acknowledged reports were taken.
	Acknowledged Outcome = "acknowledged"
	// Refused reports were called faulty; to send them again can't help.
	Refused Outcome = "refused"
)

// Total is what one organisation used in a window.
type Total struct {
	Organisation string `codec:"o"`
	Requests     uint64 `codec:"n"`
}

// Closed is a window whose report is agreed on.
type Closed struct {
	Window int64   `codec:"w"`
	Totals []Total `codec:"t"`
	// Instances told counts of the window, that it was over, or something of the window before;
	// Missing of them had not told all of it when it was closed.
	Instances int `codec:"i"`
	Missing   int `codec:"m"`
	// Late is how many requests were told after that. They are in no report.
	Late    uint64  `codec:"l"`
	Outcome Outcome `codec:"s"`
	// At is when it was closed and SettledAt when it was settled, by the log's time, in
	// nanoseconds since the Unix epoch.
	At        int64 `codec:"a"`
	SettledAt int64 `codec:"b"`
}

// Settle says what became of a window's report.
type Settle struct {
	Window  int64   `codec:"w"`
	Outcome Outcome `codec:"s"`
}

// Command is one of the machine's commands: exactly one field is set.
type Command struct {
	// Counts are reports of instances, as one member gathered them.
	Counts []usage.Report `codec:"c,omitempty"`
	// Close ends a window. Only the next one in order can be closed, and only once.
	Close  *int64  `codec:"x,omitempty"`
	Settle *Settle `codec:"s,omitempty"`
}

const (
	// keepSettled is how many settled windows are remembered, for operators.
	keepSettled = 64
	// maxOpen bounds the windows that wait to be acknowledged: those of three hours at five
	// seconds each. The oldest go first.
	maxOpen = 2160
	// keepCounts is for how many windows after its close a window's counts are kept by
	// instance, to tell how much came late.
	keepCounts = 3
	// keepInstances is after how many windows without a word an instance is forgotten.
	keepInstances = 24
)

// instance is what one start of an instance has told.
type instance struct {
	ID uint64 `codec:"i"`
	// Current is the window that went on there when it told last.
	Current int64 `codec:"c"`
}

// cell is one total in a snapshot.
type cell struct {
	Instance     uint64 `codec:"i"`
	Window       int64  `codec:"w"`
	Organisation string `codec:"o"`
	Requests     uint64 `codec:"n"`
}

// state is the form of a snapshot.
type state struct {
	Begun     bool       `codec:"b"`
	Next      int64      `codec:"n"`
	Instances []instance `codec:"i"`
	Cells     []cell     `codec:"c"`
	Closed    []Closed   `codec:"x"`
}

type cellKey struct {
	instance     uint64
	organisation string
}

// Machine is the sub-machine. It is not safe for concurrent use.
type Machine struct {
	begun     bool
	next      int64
	instances map[uint64]int64
	windows   map[int64]map[cellKey]uint64
	closed    []Closed
}

// New returns a machine that has heard nothing.
func New() *Machine {
	return &Machine{instances: map[uint64]int64{}, windows: map[int64]map[cellKey]uint64{}}
}

// Apply implements control.Machine. The result is empty; a command that does not decode
// changes nothing.
func (m *Machine) Apply(_ uint64, at time.Time, data []byte) []byte {
	var c Command
	if control.Unmarshal(data, &c) != nil {
		return nil
	}
	switch {
	case c.Close != nil:
		m.close(*c.Close, at)
	case c.Settle != nil:
		m.settle(c.Settle, at)
	default:
		for i := range c.Counts {
			m.count(&c.Counts[i])
		}
	}
	return nil
}

func (m *Machine) count(r *usage.Report) {
	if r.Empty() {
		return
	}
	if !m.begun {
		// Nobody counted before this: the window that goes on is the first one.
		m.begun, m.next = true, r.Current
	}
	m.instances[r.Instance] = max(m.instances[r.Instance], r.Current)
	for _, n := range r.Counts {
		k := cellKey{r.Instance, n.Organisation}
		w := m.windows[n.Window]
		if n.Window < m.next && w == nil {
			continue
		}
		if w == nil {
			w = map[cellKey]uint64{}
			m.windows[n.Window] = w
		}
		if n.Requests <= w[k] {
			continue
		}
		if n.Window < m.next {
			m.late(n.Window, n.Requests-w[k])
		}
		w[k] = n.Requests
	}
}

// late notes requests of a window that is closed.
func (m *Machine) late(window int64, requests uint64) {
	for i := range m.closed {
		if m.closed[i].Window == window {
			m.closed[i].Late += requests
		}
	}
}

func (m *Machine) close(window int64, at time.Time) {
	if !m.begun || window != m.next {
		return
	}
	instances, missing := m.told(window)
	m.closed = append(m.closed, Closed{
		Window: window, Totals: m.totals(window), Instances: instances, Missing: missing, At: at.UnixNano(),
	})
	m.next++
	if m.windows[window] == nil {
		m.windows[window] = map[cellKey]uint64{}
	}
	m.prune()
}

func (m *Machine) totals(window int64) []Total {
	sum := map[string]uint64{}
	for k, n := range m.windows[window] {
		sum[k.organisation] += n
	}
	list := make([]Total, 0, len(sum))
	for organisation, n := range sum {
		list = append(list, Total{organisation, n})
	}
	slices.SortFunc(list, func(a, b Total) int { return cmp.Compare(a.Organisation, b.Organisation) })
	return list
}

// awaited is for how many windows an instance is waited for that tells nothing any more: it
// may be cut off for some seconds, and come back with what it counted meanwhile. One that has
// ended is waited for as long.
const awaited = 1

// told returns how many instances told anything during a window or since, or lately before, and
// how many of them may still tell something of it.
func (m *Machine) told(window int64) (instances, missing int) {
	for _, current := range m.instances {
		if current < window-awaited {
			continue
		}
		instances++
		if current <= window {
			missing++
		}
	}
	return instances, missing
}

func (m *Machine) settle(s *Settle, at time.Time) {
	for i := range m.closed {
		c := &m.closed[i]
		if c.Window == s.Window && c.Outcome == Open {
			c.Outcome, c.SettledAt = s.Outcome, at.UnixNano()
		}
	}
	m.prune()
}

// prune bounds the state.
func (m *Machine) prune() {
	for window := range m.windows {
		if window < m.next-keepCounts {
			delete(m.windows, window)
		}
	}
	for id, current := range m.instances {
		if current < m.next-keepInstances {
			delete(m.instances, id)
		}
	}
	settled, open := 0, 0
	for i := len(m.closed) - 1; i >= 0; i-- {
		kind, limit := &settled, keepSettled
		if m.closed[i].Outcome == Open {
			kind, limit = &open, maxOpen
		}
		if *kind++; *kind > limit {
			m.closed = slices.Delete(m.closed, i, i+1)
		}
	}
}

// Next returns the window to be closed next; false while nobody has counted.
func (m *Machine) Next() (int64, bool) { return m.next, m.begun }

// Complete reports whether every instance that told anything during a window, or the one
// before, has told all of it.
func (m *Machine) Complete(window int64) bool {
	instances, missing := m.told(window)
	return instances > 0 && missing == 0
}

// Open returns the closed windows whose reports are to be acknowledged, the oldest first.
func (m *Machine) Open() (list []Closed) {
	for i := range m.closed {
		if m.closed[i].Outcome == Open {
			list = append(list, m.closed[i])
		}
	}
	return list
}

// Closed returns the closed windows that are remembered, the oldest first.
func (m *Machine) Closed() []Closed { return slices.Clone(m.closed) }

// Snapshot implements control.Machine.
func (m *Machine) Snapshot() ([]byte, error) {
	s := state{Begun: m.begun, Next: m.next, Closed: m.closed}
	for id, current := range m.instances {
		s.Instances = append(s.Instances, instance{id, current})
	}
	slices.SortFunc(s.Instances, func(a, b instance) int { return cmp.Compare(a.ID, b.ID) })
	for window, cells := range m.windows {
		for k, n := range cells {
			s.Cells = append(s.Cells, cell{k.instance, window, k.organisation, n})
		}
		if len(cells) == 0 {
			// A closed window without counts is still one of which more may come late.
			s.Cells = append(s.Cells, cell{Window: window})
		}
	}
	slices.SortFunc(s.Cells, func(a, b cell) int {
		return cmp.Or(cmp.Compare(a.Window, b.Window), cmp.Compare(a.Instance, b.Instance), cmp.Compare(a.Organisation, b.Organisation))
	})
	return control.Marshal(&s)
}

// Restore implements control.Machine.
func (m *Machine) Restore(snapshot []byte) error {
	var s state
	if err := control.Unmarshal(snapshot, &s); err != nil {
		return err
	}
	*m = *New()
	m.begun, m.next, m.closed = s.Begun, s.Next, s.Closed
	for _, i := range s.Instances {
		m.instances[i.ID] = i.Current
	}
	for _, c := range s.Cells {
		if m.windows[c.Window] == nil {
			m.windows[c.Window] = map[cellKey]uint64{}
		}
		if c.Instance != 0 {
			m.windows[c.Window][cellKey{c.Instance, c.Organisation}] = c.Requests
		}
	}
	return nil
}
