package usage_test

import (
	"fmt"
	"strings"
	"testing"

	"github.com/comfreyladder/comfreyladder/core/control"
	"github.com/comfreyladder/comfreyladder/core/control/usage"
	core "github.com/comfreyladder/comfreyladder/core/usage"
)

// Bounds of the exploration: the number of steps, and how often each kind may occur.
const (
	modelSteps   = 10
	modelReports = 2
	modelCloses  = 2
	modelSends   = 2
	modelMoves   = 1 // restores of a member from another one's snapshot
)

// member is the replica of one member. It has applied a prefix of the log, and may have been
// restored from another member's snapshot.
type member struct {
	applied  int
	snapshot string
}

// machine returns the member's state machine in its current state.
func (m *member) machine() *usage.Machine {
	machine := usage.New()
	if err := machine.Restore([]byte(m.snapshot)); err != nil {
		panic(err)
	}
	return machine
}

func (m *member) keep(machine *usage.Machine) {
	snapshot, err := machine.Snapshot()
	if err != nil {
		panic(err)
	}
	m.snapshot = string(snapshot)
}

// differs separates different contents that were reported for the same window.
const differs = " and then "

// reports is a state of the model: two members that both believe that they hold the duty, one
// after the other or at the same time, and the reports that the provider was sent.
type reports struct {
	log                                []usage.Command
	members                            [2]member
	sent                               map[int64]string
	countReports, closes, sends, moves int
}

func (r *reports) clone() *reports {
	next := *r
	next.log = append([]usage.Command(nil), r.log...)
	next.sent = map[int64]string{}
	for window, content := range r.sent {
		next.sent[window] = content
	}
	return &next
}

func (r *reports) key() string {
	key := fmt.Sprint(r.countReports, r.closes, r.sends, r.moves, r.sent)
	for i := range r.log {
		b, _ := control.Marshal(&r.log[i])
		key += string(b) + "|"
	}
	for i := range r.members {
		key += fmt.Sprint(r.members[i].applied) + r.members[i].snapshot
	}
	return key
}

// next returns all possible successor states.
func (r *reports) next() (list []*reports) {
	step := func(do func(n *reports) bool) {
		if n := r.clone(); do(n) {
			list = append(list, n)
		}
	}
	for instance := range uint64(2) {
		step(func(n *reports) bool {
			n.countReports++
			n.log = append(n.log, usage.Command{Counts: []core.Report{{
				Instance: 1 + instance, Current: 10 + int64(n.closes), Counts: []core.Count{count(10, "o", uint64(n.countReports)), count(11, "o", uint64(n.countReports))},
			}}})
			return n.countReports <= modelReports
		})
	}
	for i := range r.members {
		step(func(n *reports) bool { return n.members[i].apply(n.log) })
		step(func(n *reports) bool { return n.close(i) })
		step(func(n *reports) bool { return n.send(i, true) })
		step(func(n *reports) bool { return n.send(i, false) })
		step(func(n *reports) bool { return n.restoreFromOther(i) })
	}
	return list
}

// apply applies the rest of the log.
func (m *member) apply(log []usage.Command) bool {
	if m.applied == len(log) {
		return false
	}
	machine := m.machine()
	for _, c := range log[m.applied:] {
		apply(machine, c)
	}
	m.keep(machine)
	m.applied = len(log)
	return true
}

// close proposes to close the window that a member, which may lag, considers the next one.
func (r *reports) close(i int) bool {
	window, begun := r.members[i].machine().Next()
	r.closes++
	r.log = append(r.log, usage.Command{Close: &window})
	return begun && r.closes <= modelCloses
}

// send sends the oldest open report. Its answer is lost unless answered is set.
func (r *reports) send(i int, answered bool) bool {
	open := r.members[i].machine().Open()
	r.sends++
	if len(open) == 0 || r.sends > modelSends {
		return false
	}
	content := fmt.Sprint(open[0].Totals)
	if before, ok := r.sent[open[0].Window]; ok && before != content {
		content = before + differs + content
	}
	r.sent[open[0].Window] = content
	if answered {
		r.log = append(r.log, usage.Command{Settle: &usage.Settle{Window: open[0].Window, Outcome: usage.Acknowledged}})
	}
	return true
}

// restoreFromOther lets a lagging member continue from the other one's snapshot.
func (r *reports) restoreFromOther(i int) bool {
	other := r.members[1-i]
	r.moves++
	if r.moves > modelMoves || other.applied <= r.members[i].applied {
		return false
	}
	r.members[i] = other
	return true
}

// Guards against two reports of one window with different contents, in every interleaving of
// counts, closes, sends and answers, whichever member sends them, however far it lags, and also
// after it was restored from a snapshot.
func TestReportContentIsTheSameInEveryInterleaving(t *testing.T) {
	first := &reports{sent: map[int64]string{}}
	for i := range first.members {
		first.members[i].keep(usage.New())
	}
	seen := map[string]bool{}
	level := []*reports{first}
	for range modelSteps {
		var following []*reports
		for _, r := range level {
			for _, n := range r.next() {
				key := n.key()
				if seen[key] {
					continue
				}
				seen[key] = true
				for window, content := range n.sent {
					if strings.Contains(content, differs) {
						t.Fatalf("window %d was reported as %s, after the log %v", window, content, n.log)
					}
				}
				following = append(following, n)
			}
		}
		level = following
	}
	t.Logf("%d states", len(seen))
	if len(seen) < 5_000 {
		t.Fatalf("only %d states were seen", len(seen))
	}
}
