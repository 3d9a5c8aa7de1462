package roster_test

import (
	"flag"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/comfreyladder/comfreyladder/core/raft"
)

// catchUp is how long a machine counts as lost after it is back, or has started for the first time.
const catchUp = 4 * time.Second

var (
	lossDepth = flag.Int("losses.depth", 2, "number of losses of each order that is played")
	lossSeeds = flag.Int("losses.seeds", 40, "number of long orders that are drawn")
)

// loss is a way to lose a machine. It returns once the machine counts as back.
type loss struct {
	name string
	play func(w *world, victim *machine)
}

var losses = []loss{
	{"disk", func(w *world, v *machine) { w.loseDisk(v); w.runFor(catchUp) }},
	{"disk twice", func(w *world, v *machine) {
		w.loseDisk(v)
		w.runFor(w.upTo(catchUp))
		w.loseDisk(v)
		w.runFor(catchUp)
	}},
	{"kill", func(w *world, v *machine) {
		w.kill(v)
		w.runFor(w.upTo(3 * time.Second))
		w.boot(v)
		w.runFor(catchUp)
	}},
	{"freeze", func(w *world, v *machine) {
		v.lostAt, v.frozenUntil = w.now, w.now.Add(w.upTo(5*time.Second))
		w.runFor(v.frozenUntil.Sub(w.now))
		w.runFor(catchUp)
	}},
	{"cut", func(w *world, v *machine) {
		v.lostAt, v.mutedUntil = w.now, w.now.Add(w.upTo(6*time.Second))
		v.deafUntil = v.mutedUntil
		w.runFor(v.mutedUntil.Sub(w.now))
		w.runFor(catchUp)
	}},
	{"muted", func(w *world, v *machine) {
		v.lostAt, v.mutedUntil = w.now, w.now.Add(w.upTo(6*time.Second))
		w.runFor(v.mutedUntil.Sub(w.now))
		w.runFor(catchUp)
	}},
	{"deaf", func(w *world, v *machine) {
		v.lostAt, v.deafUntil = w.now, w.now.Add(w.upTo(6*time.Second))
		w.runFor(v.deafUntil.Sub(w.now))
		w.runFor(catchUp)
	}},
	{"split", func(w *world, _ *machine) {
		for _, i := range w.rnd.Perm(len(w.machines))[:len(w.machines)/2] {
			w.machines[i].side = 1
		}
		for _, m := range w.machines {
			m.lostAt = w.now
		}
		w.runFor(w.upTo(6 * time.Second))
		for _, m := range w.machines {
			m.side = 0
		}
		w.runFor(catchUp)
	}},
	{"all killed", func(w *world, _ *machine) {
		var killed []*machine
		for _, m := range w.machines {
			if !m.down {
				killed = append(killed, m)
				w.kill(m)
			}
		}
		for _, m := range killed {
			w.runFor(w.upTo(time.Second))
			w.boot(m)
		}
		w.runFor(catchUp)
	}},
	{"replaced", func(w *world, v *machine) {
		w.kill(v)
		w.runFor(w.upTo(3 * time.Second))
		n := w.add(v.domain)
		w.boot(n)
		w.runFor(catchUp)
	}},
	{"replaced as planned", func(w *world, v *machine) {
		n := w.add(v.domain)
		w.boot(n)
		started := w.now
		w.runFor(w.upTo(2 * catchUp))
		w.leave(v)
		w.runFor(started.Add(catchUp).Sub(w.now))
	}},
	{"two replaced as planned, prepared at once", func(w *world, v *machine) {
		for range 2 {
			w.boot(w.add(fmt.Sprint("d", w.rnd.Intn(3))))
		}
		w.runFor(catchUp + w.upTo(catchUp))
		w.leave(v)
		if next := w.victim(w.rnd.Intn(2) == 0); next != nil {
			w.leave(next)
		}
	}},
	{"two replaced, prepared at once", func(w *world, v *machine) {
		for range 2 {
			w.boot(w.add(fmt.Sprint("d", w.rnd.Intn(3))))
		}
		w.runFor(catchUp + w.upTo(catchUp))
		for _, lost := range []*machine{v, nil} {
			if lost == nil {
				lost = w.victim(w.rnd.Intn(2) == 0)
			}
			if lost != nil {
				w.kill(lost)
			}
			w.runFor(catchUp)
		}
	}},
}

func (w *world) kill(m *machine) { m.node, m.down, m.lostAt = nil, true, w.now }

func (w *world) loseDisk(m *machine) {
	w.kill(m)
	w.runFor(worldTick + w.upTo(time.Second))
	w.emptyDisk(m)
	w.boot(m)
}

// leave stops a machine for good as planned: it gives up its leadership and tells the leader.
func (w *world) leave(m *machine) {
	for end := w.now.Add(2 * time.Second); w.now.Before(end) && m.node != nil && m.node.Leader() == m.disk.id; w.step() {
		st := m.node.Status(w.now)
		var to raft.FollowerStatus
		for _, f := range st.Followers {
			if x, _ := st.Members.Get(f.ID); x.Voter && (to.ID == 0 || f.Match > to.Match || f.Match == to.Match && f.Silent < to.Silent) {
				to = f
			}
		}
		_ = m.node.Transfer(w.now, to.ID)
		w.drain(m)
	}
	w.runUntil(leaveTimeout, func() bool {
		l := w.leader()
		if l == nil || l == m {
			return false
		}
		if _, told := l.leaving[m.disk.id]; !told {
			l.leaving[m.disk.id] = w.now.Add(2 * time.Second)
		}
		if l.inARow == 0 {
			l.maintainAt = w.now
		}
		x, _ := w.membership(l.node.Status(w.now).Commit).Get(m.disk.id)
		return !x.Voter && l.inARow == 0
	})
	w.kill(m)
	w.note("%s has left", m.name)
}

// victim returns the machine that leads, or another one whose member votes. It returns nil if there is none.
func (w *world) victim(leads bool) *machine {
	l := w.leader()
	if l == nil || leads {
		return l
	}
	var others []*machine
	for _, id := range l.node.Status(w.now).Members.Voters() {
		if m := w.find(w.names[id]); m != l && m.disk.id == id && w.running(m) {
			others = append(others, m)
		}
	}
	if len(others) == 0 {
		return nil
	}
	return others[w.rnd.Intn(len(others))]
}

// choice is a loss of the leader or of another voter.
type choice struct {
	loss  int
	leads bool
}

func (c choice) String() string {
	if c.leads {
		return losses[c.loss].name + " (leader)"
	}
	return losses[c.loss].name
}

// play plays losses one after the other, each as soon as the machine before does not count as lost any more.
// It returns why the group did not bear them, or nothing.
func play(w *world, order []choice) string {
	if !w.runUntil(10*time.Second, w.bears) {
		return w.describe("the group is not founded")
	}
	for _, c := range order {
		v := w.victim(c.leads)
		if v == nil {
			return w.describe(fmt.Sprint("nobody leads before: ", c))
		}
		w.note("%v: %s", c, v.name)
		losses[c.loss].play(w, v)
		if len(w.violations) > 0 || !w.bears() {
			return w.describe(fmt.Sprint("the next loss is not borne after: ", c))
		}
	}
	if !w.commits(10 * time.Second) {
		return w.describe("nothing is committed in the end")
	}
	return ""
}

func (w *world) describe(why string) string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s\n%s\n%s\n", why, strings.Join(w.violations, "\n"), strings.Join(w.trace, "\n"))
	for _, m := range w.machines {
		fmt.Fprintf(&b, "%s: disk %d, down %v", m.name, m.disk.id, m.down)
		if m.node != nil {
			fmt.Fprintf(&b, ", %+v", m.node.Status(w.now))
		}
		b.WriteString("\n")
	}
	return b.String()
}

// orders returns all orders of the given number of losses.
func orders(depth int) [][]choice {
	if depth == 0 {
		return [][]choice{nil}
	}
	var out [][]choice
	for _, head := range orders(depth - 1) {
		for i := range losses {
			for _, leads := range []bool{true, false} {
				out = append(out, append(append([]choice(nil), head...), choice{i, leads}))
			}
		}
	}
	return out
}

// playAll plays orders beside each other.
func playAll(t *testing.T, count int, one func(i int) (string, []choice)) {
	const workers = 4
	var running sync.WaitGroup
	var mu sync.Mutex
	failed := 0
	for worker := range workers {
		running.Go(func() {
			for i := worker; i < count; i += workers {
				why, order := one(i)
				if why == "" {
					continue
				}
				mu.Lock()
				if failed++; failed <= 3 {
					t.Errorf("order %d %v: %s", i, order, why)
				}
				mu.Unlock()
			}
		})
	}
	running.Wait()
	t.Logf("%d orders, %d not borne", count, failed)
}

// Guards against a group that does not bear the next loss by the time at which the last machine counts as back: one
// machine is lost at a time, in each order of the ways to lose one, the leader or another.
func TestEachLossIsBorneAfterTheLast(t *testing.T) {
	all := orders(*lossDepth)
	playAll(t, len(all), func(i int) (string, []choice) {
		return play(newWorld(int64(i), 3, 3, 1), all[i]), all[i]
	})
}

// Guards against damage that adds up over many losses.
func TestManyLossesAreBorne(t *testing.T) {
	playAll(t, *lossSeeds, func(i int) (string, []choice) {
		w := newWorld(int64(1000+i), 3+i%3, 3, 1)
		order := drawOrder(w)
		return play(w, order), order
	})
}

// Guards against a large group that no longer bears the loss of two members after the loss of one.
func TestLossesInLargeGroups(t *testing.T) {
	playAll(t, *lossSeeds, func(i int) (string, []choice) {
		w := newWorld(int64(2000+i), 5+i%5, 3+i%2, 2)
		order := drawOrder(w)
		return play(w, order), order
	})
}

func drawOrder(w *world) (order []choice) {
	for range 12 {
		order = append(order, choice{w.rnd.Intn(len(losses)), w.rnd.Intn(2) == 0})
	}
	return order
}
