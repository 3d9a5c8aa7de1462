package serving_test

import (
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/comfreyladder/comfreyladder/core/raft/roster"
	"github.com/comfreyladder/comfreyladder/instance/consensus"
)

type consensusService = consensus.Service

func without(names []string, name string) (rest []string) {
	return slices.DeleteFunc(slices.Clone(names), func(n string) bool { return n == name })
}

// Guards against lost changes and processes that end repeatedly: the disk of one member, then
// of all, refuses writes for a while. A member that cannot write must stop voting and
// acknowledging, keep its process, and become a member again afterwards.
func TestMembersRecoverFromWriteErrors(t *testing.T) {
	t.Parallel()
	g := newGroup(t, 3)
	for i, name := range g.names {
		version := uint64(2 + i)
		g.instances[name].refuse(true)
		g.acknowledge(version, without(g.names, name)...)
		g.instances[name].refuse(false)
		g.Eventually(func() uint64 { return g.read(name) }).Should(Equal(version))
	}
	for _, n := range g.instances {
		n.refuse(true)
	}
	for _, name := range g.names {
		g.Expect(g.put(9, name)).To(BeFalse(), "no member can store it")
	}
	for _, n := range g.instances {
		n.refuse(false)
	}
	g.acknowledge(10, g.names...)
	for _, n := range g.instances {
		g.Eventually(func() uint64 { return g.read(n.name) }).Should(Equal(uint64(10)))
		g.Expect(n.fatal).To(BeEmpty(), "no process ends because of its disk")
	}
}

// Guards against calls that hang for as long as a disk does: their callers must be told at
// the deadline that the outcome is unknown, so that they try another member.
func TestHangingDiskDoesNotBlockCalls(t *testing.T) {
	t.Parallel()
	g := newGroup(t, 3)
	g.acknowledge(2, g.names...)
	for _, name := range g.names {
		release := make(chan struct{})
		g.instances[name].disk.SetSyncFails(func(string) error { <-release; return nil })
		answered := make(chan bool, 2)
		go func() { answered <- g.put(9, name) }()
		go func() { answered <- g.put(9, name) }()
		for range cap(answered) {
			g.Eventually(answered, 2*changeTimeout).Should(Receive(BeFalse()))
		}
		close(release)
		g.instances[name].disk.SetSyncFails(nil)
		g.Eventually(func() bool { return g.put(9, name) }).Should(BeTrue())
	}
}

// Guards against changes that are acknowledged on both sides of a partition, so that one of
// them is lost afterwards. Only a side with a quorum may acknowledge a change or report its
// state as the newest, wherever the leader was; all acknowledged changes are there in the end.
func TestOnlyOneSideOfPartitionAcknowledges(t *testing.T) {
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

// Guards against the loss of an acknowledged change when, right after the acknowledgement, one
// disk is lost while all others lose power: either a majority had written the change without
// syncing it, or the empty disk voted for an old state. The lost disk is once that of the
// member that acknowledged, once that of another one.
func TestAcknowledgedSurvivesDiskLossAndPowerLoss(t *testing.T) {
	t.Parallel()
	g := newGroup(t, 3)
	version := uint64(1)
	rounds := []struct{ lost, at string }{{"m0", "m0"}, {"m1", "m2"}, {"m2", "m2"}, {"m0", "m1"}}
	for _, round := range rounds {
		version++
		g.acknowledge(version, round.at)
		for _, n := range g.instances {
			n.stop()
			n.disk.Crash(0)
		}
		g.instances[round.lost].loseDisk()
		for _, n := range g.instances {
			n.start(false)
		}
		for _, name := range without(g.names, round.lost) {
			g.Eventually(func() uint64 { return g.read(name) }).Should(Equal(version))
		}
		g.Eventually(func() uint64 { return g.read(round.lost) }).Should(Equal(version), "the empty disk joins again")
		g.Eventually(g.hasThreeVoters).WithPolling(50*time.Millisecond).Should(BeTrue(), "three members vote again")
	}
}

// hasThreeVoters reports whether the group consists of exactly three voters.
func (g *group) hasThreeVoters() bool {
	for _, n := range g.instances {
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

// A deployment has more control instances than a control group used to hold. Those beyond it
// refused every call of operators, upstreams and forwarding instances, and none could take the
// place of a member that was lost. And a failure domain must not hold a majority of the voters.
func TestEveryControlInstanceServes(t *testing.T) {
	t.Parallel()
	const members, domains = 14, 4
	g := newGroupIn(t, members, domains)
	for _, name := range g.names {
		g.Eventually(func() uint64 { return g.read(name) }).Should(Equal(uint64(1)), "%s is a member", name)
	}
	voters := func() int { return len(g.instances[g.names[0]].control.Replica().Status().Members.Voters()) }
	g.Eventually(voters).Should(Equal(roster.Voters))
	var rest []string
	for i, name := range g.names {
		if i%domains == 0 {
			g.instances[name].stop()
			continue
		}
		rest = append(rest, name)
	}
	g.acknowledge(2, rest...)
	for _, name := range rest {
		g.Eventually(func() uint64 { return g.read(name) }).Should(Equal(uint64(2)))
	}
}
