// Package usage is the replicated state machine that holds the request counts of instances
// (core/usage), closes windows, and records which reports have been settled with their
// receiver. It is one of the state machines of core/control.
//
// The content of a report is fixed when the close of its window is applied. So it is the same
// for every holder of the duty, even if one dies after sending it. A second report of a
// window with different counts would bill an organisation twice or wrongly.
package usage

import (
	"cmp"
	"slices"
	"time"

	"github.com/comfreyladder/comfreyladder/core/control"
	"github.com/comfreyladder/comfreyladder/core/usage"
)

// Name is the name of the state machine.
const Name = "usage"

// Outcome is the outcome of a report.
type Outcome string

// Outcomes of a report.
const (
	// Open reports have not been acknowledged or refused yet.
	Open Outcome = ""
	// Acknowledged reports were accepted by the receiver.
	Acknowledged Outcome = "acknowledged"
	// Refused reports were rejected as invalid, so a resend cannot succeed.
	Refused Outcome = "refused"
)

// Total is the number of requests of an organisation in a window.
type Total struct {
	Organisation string `codec:"o"`
	Requests     uint64 `codec:"n"`
}

// Closed is a closed window, whose report is fixed.
type Closed struct {
	Window int64   `codec:"w"`
	Totals []Total `codec:"t"`
	// Instances is how many instances had sent a report during this window, during the one
	// before, or later. Missing of them had not yet reported all of their counts for the
	// window when it was closed.
	Instances int `codec:"i"`
	Missing   int `codec:"m"`
	// Late is how many requests were reported after the close. They are in no report.
	Late    uint64  `codec:"l"`
	Outcome Outcome `codec:"s"`
	// At is when the window was closed and SettledAt when its report was settled, by the
	// log's time, in nanoseconds since the Unix epoch.
	At        int64 `codec:"a"`
	SettledAt int64 `codec:"b"`
}

// Settle is the command that records the outcome of a window's report.
type Settle struct {
	Window  int64   `codec:"w"`
	Outcome Outcome `codec:"s"`
}

// Command is a command of the state machine. Exactly one field is set.
type Command struct {
	// Counts are reports of instances, as collected by one member.
	Counts []usage.Report `codec:"c,omitempty"`
	// Close closes a window. Windows can only be closed in order, and only once. The first
	// close may name any window from the earliest one with counts on.
	Close  *int64  `codec:"x,omitempty"`
	Settle *Settle `codec:"s,omitempty"`
}

const (
	// maxSettled is how many settled windows are kept for operators to inspect.
	maxSettled = 64
	// maxOpen bounds the windows whose reports are open: three hours of windows of five
	// seconds. The oldest are dropped first.
	maxOpen = 2160
	// countRetentionWindows is the number of windows after its close for which a window's counts
	// are kept per instance, to determine how many requests were reported late.
	countRetentionWindows = 3
	// instanceRetentionWindows is the number of windows without a report after which an instance
	// is dropped.
	instanceRetentionWindows = 24
)

// instance is one run of an instance in a snapshot.
type instance struct {
	ID uint64 `codec:"i"`
	// Current is the window in progress at the instance as of its latest report.
	Current int64 `codec:"c"`
}

// cell is the count of one organisation at one run of an instance in a snapshot.
type cell struct {
	Instance     uint64 `codec:"i"`
	Window       int64  `codec:"w"`
	Organisation string `codec:"o"`
	Requests     uint64 `codec:"n"`
}

// snapshotState is the encoded form of a snapshot.
type snapshotState struct {
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

// Machine is the replicated state machine. It is not safe for concurrent use.
type Machine struct {
	started   bool
	next      int64
	instances map[uint64]int64
	windows   map[int64]map[cellKey]uint64
	closed    []Closed
}

// New returns a Machine without counts.
func New() *Machine {
	return &Machine{instances: map[uint64]int64{}, windows: map[int64]map[cellKey]uint64{}}
}

// Apply implements control.Machine. The result is empty. A command that cannot be decoded
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
	m.moveFirst(r)
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
			m.addLate(n.Window, n.Requests-w[k])
		}
		w[k] = n.Requests
	}
}

// moveFirst makes the earliest window of any report the first one to close. A report may be
// committed after the end of a window whose requests it counts, and after the reports of
// instances that began later. Once a window is closed, earlier ones cannot be closed any more.
func (m *Machine) moveFirst(r *usage.Report) {
	if len(m.closed) > 0 {
		return
	}
	if !m.started {
		m.started, m.next = true, r.Current
	}
	m.next = min(m.next, r.Current)
	for i := range r.Counts {
		m.next = min(m.next, r.Counts[i].Window)
	}
}

// addLate adds to the late requests of a closed window.
func (m *Machine) addLate(window int64, requests uint64) {
	for i := range m.closed {
		if m.closed[i].Window == window {
			m.closed[i].Late += requests
		}
	}
}

func (m *Machine) close(window int64, at time.Time) {
	first := len(m.closed) == 0 && window > m.next
	if !m.started || window != m.next && !first {
		return
	}
	m.next = window
	instances, missing := m.participants(window)
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

// graceWindows is the number of windows for which the close waits for an instance that has
// stopped reporting. It may be cut off for some seconds and then report what it has counted
// meanwhile. An instance that has ended is waited for just as long.
const graceWindows = 1

// participants returns how many instances reported during a window, later, or at most
// graceWindows before it, and how many of them may still report counts of the window.
func (m *Machine) participants(window int64) (instances, missing int) {
	for _, current := range m.instances {
		if current < window-graceWindows {
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

// prune drops old counts, instances and closed windows.
func (m *Machine) prune() {
	for window := range m.windows {
		if window < m.next-countRetentionWindows {
			delete(m.windows, window)
		}
	}
	for id, current := range m.instances {
		if current < m.next-instanceRetentionWindows {
			delete(m.instances, id)
		}
	}
	settled, open := 0, 0
	for i := len(m.closed) - 1; i >= 0; i-- {
		kind, limit := &settled, maxSettled
		if m.closed[i].Outcome == Open {
			kind, limit = &open, maxOpen
		}
		if *kind++; *kind > limit {
			m.closed = slices.Delete(m.closed, i, i+1)
		}
	}
}

// Next returns the next window to close, or false before the first report.
func (m *Machine) Next() (int64, bool) { return m.next, m.started }

// Complete reports whether every instance that reported during a window, the one before, or
// later has reported all of its counts for the window.
func (m *Machine) Complete(window int64) bool {
	instances, missing := m.participants(window)
	return instances > 0 && missing == 0
}

// Open returns the closed windows whose reports are open, the oldest first.
func (m *Machine) Open() (list []Closed) {
	for i := range m.closed {
		if m.closed[i].Outcome == Open {
			list = append(list, m.closed[i])
		}
	}
	return list
}

// Closed returns the closed windows that are kept, the oldest first.
func (m *Machine) Closed() []Closed { return slices.Clone(m.closed) }

// Snapshot implements control.Machine.
func (m *Machine) Snapshot() ([]byte, error) {
	s := snapshotState{Begun: m.started, Next: m.next, Closed: m.closed}
	for id, current := range m.instances {
		s.Instances = append(s.Instances, instance{id, current})
	}
	slices.SortFunc(s.Instances, func(a, b instance) int { return cmp.Compare(a.ID, b.ID) })
	for window, cells := range m.windows {
		for k, n := range cells {
			s.Cells = append(s.Cells, cell{k.instance, window, k.organisation, n})
		}
		if len(cells) == 0 {
			// Late counts may still arrive for a closed window without counts.
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
	var s snapshotState
	if err := control.Unmarshal(snapshot, &s); err != nil {
		return err
	}
	*m = *New()
	m.started, m.next, m.closed = s.Begun, s.Next, s.Closed
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
