package serving_test

import (
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/comfreyladder/comfreyladder/instance/consensus"
)

type consensusService = consensus.Service

func without(names []string, name string) (rest []string) {
	return slices.DeleteFunc(slices.Clone(names), func(n string) bool { return n == name })
}

// Operators see changes vanish, or a process that ends again and again: the disk of one
// member, then of all, refuses writes for a while. A member that can't write stops to
// vote and to acknowledge; its process stays, and it is a member again afterwards.
func TestRefusingDisksAreWaitedOut(t *testing.T) {
	t.Parallel()
	g := newGroup(t, 3)
	for i, name := range g.names {
		version := uint64(2 + i)
		g.nodes[name].refuse(true)
		g.acknowledge(version, without(g.names, name)...)
		g.nodes[name].refuse(false)
		g.Eventually(func() uint64 { return g.read(name) }).Should(Equal(version))
	}
	for _, n := range g.nodes {
		n.refuse(true)
	}
	for _, name := range g.names {
		g.Expect(g.put(9, name)).To(BeFalse(), "nobody can keep it")
	}
	for _, n := range g.nodes {
		n.refuse(false)
	}
	g.acknowledge(10, g.names...)
	for _, n := range g.nodes {
		g.Eventually(func() uint64 { return g.read(n.name) }).Should(Equal(uint64(10)))
		g.Expect(n.fatal).To(BeEmpty(), "no process ends for its disk")
	}
}

// Guards against calls that hang for as long as a disk does: their callers are told at the
// deadline that nobody knows, and go elsewhere.
func TestAHangingDiskKeepsNoCallWaiting(t *testing.T) {
	t.Parallel()
	g := newGroup(t, 3)
	g.acknowledge(2, g.names...)
	for _, name := range g.names {
		release := make(chan struct{})
		g.nodes[name].disk.SetSyncFails(func(string) error { <-release; return nil })
		answered := make(chan bool, 2)
		go func() { answered <- g.put(9, name) }()
		go func() { answered <- g.put(9, name) }()
		for range cap(answered) {
			g.Eventually(answered, 2*changeFor).Should(Receive(BeFalse()))
		}
		close(release)
		g.nodes[name].disk.SetSyncFails(nil)
		g.Eventually(func() bool { return g.put(9, name) }).Should(BeTrue())
	}
}

// Operators on the two sides of a split each see their change acknowledged, and one of
// them is gone afterwards. Only a side with a quorum may acknowledge or call what it
// has the newest, wherever the leader was; all that was acknowledged is there in the end.
func TestHalvesOfASplitDoNotBothAcknowledge(t *testing.T) {
	t.Parallel()
	g := newGroup(t, 4)
	version := uint64(1)
	splits := [][]string{{"m0", "m1"}, {"m0", "m2"}, {"m0", "m3"}}
	for _, left := range splits {
		right := slices.DeleteFunc(slices.Clone(g.names), func(n string) bool { return slices.Contains(left, n) })
		newest := version
		g.split(left, right)
		acknowledged := map[int][]uint64{}
		for range 2 {
			for side, names := range [][]string{left, right} {
				for _, name := range names {
					version++
					if g.put(version, name) {
						acknowledged[side] = append(acknowledged[side], version)
						newest = version
					}
				}
			}
			for _, name := range g.names {
				if got := g.read(name); got != 0 {
					g.Expect(got).To(BeNumerically(">=", newest), "%s reads an older version than was acknowledged", name)
				}
			}
		}
		g.Expect(len(acknowledged)).To(BeNumerically("<=", 1), "both sides acknowledged: %v", acknowledged)
		g.split()
		for _, name := range g.names {
			g.Eventually(func() uint64 { return g.read(name) }).Should(BeNumerically(">=", newest))
		}
	}
}

// An acknowledged change is gone after one disk was lost while all others lost power,
// right after the acknowledgement: it had been written, not synced, at a majority, or
// the empty disk voted for an old state. The lost disk is once that of the member that
// acknowledged, once that of another one.
func TestAcknowledgedSurvivesALostDiskBesideAPowerLoss(t *testing.T) {
	t.Parallel()
	g := newGroup(t, 3)
	version := uint64(1)
	rounds := []struct{ lost, at string }{{"m0", "m0"}, {"m1", "m2"}, {"m2", "m2"}, {"m0", "m1"}}
	for _, round := range rounds {
		version++
		g.acknowledge(version, round.at)
		for _, n := range g.nodes {
			n.stop()
			n.disk.Crash(0)
		}
		g.nodes[round.lost].loseDisk()
		for _, n := range g.nodes {
			n.start(false)
		}
		for _, name := range without(g.names, round.lost) {
			g.Eventually(func() uint64 { return g.read(name) }).Should(Equal(version))
		}
		g.Eventually(func() uint64 { return g.read(round.lost) }).Should(Equal(version), "the empty disk joins again")
		g.Eventually(g.whole).WithPolling(50*time.Millisecond).Should(BeTrue(), "three members vote again")
	}
}

// whole reports whether the group has its three voters and nobody else.
func (g *group) whole() bool {
	for _, n := range g.nodes {
		r := n.control.Replica()
		if r == nil {
			return false
		}
		members := r.Status().Members
		voters := 0
		for _, m := range members {
			if m.Voter {
				voters++
			}
		}
		if len(members) != 3 || voters != 3 {
			return false
		}
	}
	return true
}
