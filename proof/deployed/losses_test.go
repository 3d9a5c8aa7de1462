package deployed_test

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// catchUp is how long a machine counts as lost after it is back, or has started for the first time.
const catchUp = 4 * time.Second

var (
	lossesSeed  = flag.Int64("losses.seed", 1, "first seed of the drawn losses")
	lossesSeeds = flag.Int64("losses.seeds", 1, "number of seeds of the drawn losses")
	lossesSpan  = flag.Duration("losses.span", 45*time.Second, "span in which losses begin")
)

// coreGroup is three cores that are lost and replaced.
type coreGroup struct {
	*site
	live    []*node
	added   int
	version int
	rng     *rand.Rand
	steps   []string
}

func newCoreGroup(t *testing.T, seed int64) *coreGroup {
	s := &coreGroup{site: watchedSite(t), rng: rand.New(rand.NewPCG(uint64(seed), 81))}
	for range 3 {
		s.addCore()
	}
	s.refreshSeeds()
	for _, n := range s.live {
		n.start(true)
	}
	s.within(patience, func() bool { return s.change() }, "the first configuration")
	return s
}

func (s *coreGroup) addCore() *node {
	s.added++
	n := s.add(fmt.Sprint("core-", s.added), s.added, true)
	s.live = append(s.live, n)
	return n
}

// refreshSeeds makes later settings name three cores that are in use.
func (s *coreGroup) refreshSeeds() {
	s.seeds = nil
	for _, n := range s.live[:3] {
		s.seeds = append(s.seeds, n.at(portControl))
	}
}

// change sends the next version to each core in turn, until one acknowledges it.
func (s *coreGroup) change() bool {
	for _, n := range s.live {
		if n.put(s.version+1, "k") == 200 {
			s.version++
			return true
		}
	}
	return false
}

// leads reports whether the last line about the role of a core's member says that it leads.
func (n *node) leads() bool {
	leads := false
	for line := range strings.Lines(n.log()) {
		if strings.Contains(line, "event=control_role") || strings.Contains(line, "event=control_restored") {
			leads = strings.Contains(line, "role=leader")
		}
	}
	return leads
}

// victim returns the core that leads, or one that does not.
func (s *coreGroup) victim(leads bool) *node {
	list := slices.DeleteFunc(slices.Clone(s.live), func(n *node) bool { return n.leads() != leads })
	if len(list) == 0 {
		list = s.live
	}
	return list[s.rng.IntN(len(list))]
}

func (s *coreGroup) upTo(d time.Duration) time.Duration { return time.Duration(s.rng.Int64N(int64(d))) }

// start starts a core on the disk that it has, with settings that name cores that are in use.
func (s *coreGroup) start(n *node) time.Time {
	s.refreshSeeds()
	n.start(false)
	return time.Now()
}

// retire takes a core out of use for good.
func (s *coreGroup) retire(n *node, planned bool) {
	if planned {
		n.signal(syscall.SIGTERM)
		<-n.exited
	}
	n.kill()
	s.live = slices.DeleteFunc(s.live, func(x *node) bool { return x == n })
}

// successor starts a core on a new machine, and returns when.
func (s *coreGroup) successor() time.Time { return s.start(s.addCore()) }

// awaitBack plays changes until a core that came at the given time does not count as lost any more.
func (s *coreGroup) awaitBack(back time.Time) {
	for time.Since(back) < catchUp-800*time.Millisecond {
		s.change()
		time.Sleep(100 * time.Millisecond)
	}
	time.Sleep(time.Until(back.Add(catchUp + 20*time.Millisecond)))
}

// coreLosses are the ways to lose a core. Each returns once it does not count as lost any more.
var coreLosses = []struct {
	name string
	play func(s *coreGroup, n *node)
}{
	{"disk", func(s *coreGroup, n *node) {
		n.kill()
		n.wipe()
		time.Sleep(s.upTo(time.Second))
		s.awaitBack(s.start(n))
	}},
	{"kill", func(s *coreGroup, n *node) {
		n.kill()
		time.Sleep(s.upTo(2 * time.Second))
		s.awaitBack(s.start(n))
	}},
	{"freeze", func(s *coreGroup, n *node) {
		n.signal(syscall.SIGSTOP)
		time.Sleep(s.upTo(3 * time.Second))
		n.signal(syscall.SIGCONT)
		s.awaitBack(time.Now())
	}},
	{"replaced", func(s *coreGroup, n *node) {
		s.retire(n, false)
		time.Sleep(s.upTo(time.Second))
		// The settings of the successor name the core that is gone.
		s.seeds = []string{n.at(portControl), s.live[0].at(portControl), s.live[1].at(portControl)}
		s.addCore().start(false)
		s.awaitBack(time.Now())
	}},
	{"replaced as planned", func(s *coreGroup, n *node) {
		back := s.successor()
		time.Sleep(s.upTo(catchUp))
		s.retire(n, true)
		s.awaitBack(back)
	}},
	{"two replaced as planned, prepared at once", func(s *coreGroup, n *node) {
		s.successor()
		back := s.successor()
		s.awaitBack(back)
		s.retire(n, true)
		time.Sleep(s.upTo(catchUp))
		s.retire(s.live[0], true)
		time.Sleep(s.upTo(catchUp))
	}},
}

func (s *coreGroup) play(i int, leads bool) {
	n := s.victim(leads)
	s.steps = append(s.steps, fmt.Sprintf("%s %s: %s, leads %v", time.Now().Format("15:04:05.000"), n.name, coreLosses[i].name, n.leads()))
	coreLosses[i].play(s, n)
}

// check expects that the group accepts a change, and that each core tells the newest one.
func (s *coreGroup) check() {
	s.t.Helper()
	s.within(patience, s.change, "a change after %s\n", strings.Join(s.steps, "\n"))
	for _, n := range s.live {
		s.g.Eventually(func() string { _, body := n.get(); return body }, patience, poll).Should(Equal(desired(s.version, "k")), n.name)
	}
}

// Guards against a control group without a leader for good after two disks were lost one after the other, the second
// as soon as the first machine did not count as lost any more.
func TestDisksLostOneAfterTheOther(t *testing.T) {
	t.Parallel()
	s := newCoreGroup(t, 0)
	for range 3 {
		s.play(0, true)
	}
	s.check()
}

// Guards against a control group that keeps the votes of machines that were replaced as planned, with their successors
// prepared at once, and bears no loss any more.
func TestDiskLostAfterTwoPlannedReplacements(t *testing.T) {
	t.Parallel()
	s := newCoreGroup(t, 0)
	s.play(5, true)
	s.play(0, true)
	s.check()
}

// Guards against a control group that does not bear the next loss: one core is lost at a time, in ways, and at moments,
// that the seed draws.
func TestCoresLostOneAfterTheOther(t *testing.T) {
	t.Parallel()
	for seed := *lossesSeed; seed < *lossesSeed+*lossesSeeds; seed++ {
		t.Run(fmt.Sprint("seed=", seed), func(t *testing.T) {
			s := newCoreGroup(t, seed)
			for end := time.Now().Add(*lossesSpan); time.Now().Before(end); {
				s.play(s.rng.IntN(len(coreLosses)), s.rng.IntN(2) == 0)
			}
			t.Log(strings.Join(s.steps, "\n"))
			s.check()
		})
	}
}
