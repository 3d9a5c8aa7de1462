package roster_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/comfreyladder/comfreyladder/core/raft"
	"github.com/comfreyladder/comfreyladder/core/raft/roster"
)

const long = roster.VoterReplacementTimeout + time.Second

type member struct {
	id     raft.MemberID
	name   string
	voter  bool
	silent time.Duration
}

// next returns the change chosen by the leader, which is member 1.
func next(list ...member) roster.Change { return nextOf(roster.Policy{}, list...) }

func nextOf(policy roster.Policy, list ...member) roster.Change {
	st := &raft.Status{ID: 1}
	for _, m := range list {
		st.Members = append(st.Members, raft.Member{ID: m.id, Name: m.name, Voter: m.voter})
		st.Followers = append(st.Followers, raft.FollowerStatus{ID: m.id, Silent: m.silent})
	}
	return policy.Next(st)
}

func TestWholeGroupStays(t *testing.T) {
	g := NewWithT(t)
	g.Expect(next(member{1, "a", true, 0}, member{2, "b", true, 0}, member{3, "c", true, 0})).To(Equal(roster.Change{}))
}

// A voter is partitioned for a few seconds. It must keep its vote: a group that removes
// members which return later would soon have none to spare.
func TestSilentVoterStaysWithoutASuccessor(t *testing.T) {
	g := NewWithT(t)
	g.Expect(next(member{1, "a", true, 0}, member{2, "b", true, 0}, member{3, "c", true, long})).To(Equal(roster.Change{}))
}

// Guards against a group that misses a voter for good: an instance is lost, and an empty one has
// started at another address. The lost one gives up its vote first, so that the loss of its
// successor as well does not leave two of four voters.
func TestLostVoterIsReplaced(t *testing.T) {
	g := NewWithT(t)
	a, b, c, d := member{1, "a", true, 0}, member{2, "b", true, 0}, member{3, "c", true, long}, member{4, "d", false, 0}
	g.Expect(next(a, b, c, d)).To(Equal(roster.Change{Action: roster.Demote, ID: 3}))
	c.voter = false
	g.Expect(next(a, b, c, d)).To(Equal(roster.Change{Action: roster.Promote, ID: 4}))
	d.voter = true
	g.Expect(next(a, b, c, d)).To(Equal(roster.Change{}))
}

// Guards against a group that misses a voter for good: an instance has returned with an empty
// disk under its old name. The old disk is removed before the new one votes, and sooner than an
// instance that may return with its disk.
func TestWipedDiskIsReplaced(t *testing.T) {
	g := NewWithT(t)
	a, b, c, d := member{1, "a", true, 0}, member{2, "b", true, 0}, member{3, "c", true, 600 * time.Millisecond}, member{4, "c", false, 0}
	g.Expect(next(a, b, c, d)).To(Equal(roster.Change{Action: roster.Remove, ID: 3}))
	g.Expect(next(a, b, d)).To(Equal(roster.Change{Action: roster.Promote, ID: 4}))
	d.voter = true
	g.Expect(next(a, b, d)).To(Equal(roster.Change{}))
}

// Guards against an instance whose disk is lost twice in a row: the second disk never votes, and
// must not add to the quorum.
func TestDiskLostTwiceInARow(t *testing.T) {
	g := NewWithT(t)
	a, b, first := member{1, "a", true, 0}, member{2, "b", true, 0}, member{3, "c", true, long}
	second, third := member{4, "c", false, long}, member{5, "c", false, 0}
	g.Expect(next(a, b, first, second, third)).To(Equal(roster.Change{Action: roster.Remove, ID: 3}))
	g.Expect(next(a, b, second, third)).To(Equal(roster.Change{Action: roster.Remove, ID: 4}))
	g.Expect(next(a, b, third)).To(Equal(roster.Change{Action: roster.Promote, ID: 5}))
}

// Guards against an instance with two votes: it has returned with an empty disk, and the old one has
// not been missed yet. A group that wants to grow must not count both.
func TestInstanceHasOneVote(t *testing.T) {
	g := NewWithT(t)
	a, b, c := member{1, "a", true, 0}, member{2, "b", true, 0}, member{3, "c", true, 300 * time.Millisecond}
	d, e := member{4, "c", false, 0}, member{5, "e", false, 0}
	g.Expect(next(a, b, c, d, e)).To(Equal(roster.Change{}))
}

// Guards against a group that keeps the votes of members that are gone for good: two were replaced
// after their successors had become voters, and the next loss would leave two of five.
func TestVotersBeyondTheExpectedFaultsAreGivenUp(t *testing.T) {
	g := NewWithT(t)
	a, b, c := member{1, "a", true, 0}, member{2, "b", true, 0}, member{3, "c", true, 0}
	d, e := member{4, "d", true, long}, member{5, "e", true, long + 1}
	g.Expect(next(a, b, c, d, e)).To(Equal(roster.Change{Action: roster.Demote, ID: 5}))
	e.voter = false
	g.Expect(next(a, b, c, d, e)).To(Equal(roster.Change{Action: roster.Demote, ID: 4}))
	d.voter = false
	g.Expect(next(a, b, c, d, e)).To(Equal(roster.Change{}))
	d.voter, e.voter = true, true
	g.Expect(nextOf(roster.Policy{Faults: 2}, a, b, c, d, e)).To(Equal(roster.Change{}), "two of five may be lost, and return")
}

// Guards against an even group that gives up voters which may return, or that are alive, while it has no more
// than it needs: two of five are expected to be lost at the same time.
func TestEvenGroupDoesNotShrinkBelowWhatItNeeds(t *testing.T) {
	g := NewWithT(t)
	two := roster.Policy{Faults: 2}
	a, b, c, d := member{1, "a", true, 0}, member{2, "b", true, 0}, member{3, "c", true, 0}, member{4, "d", true, long}
	g.Expect(nextOf(two, a, b, c, d)).To(Equal(roster.Change{}))
	st := &raft.Status{ID: 1}
	for id, domain := range []string{"north", "north", "south", "west"} {
		st.Members = append(st.Members, raft.Member{ID: raft.MemberID(id + 1), Name: fmt.Sprint(id), Domain: domain, Voter: true})
		st.Followers = append(st.Followers, raft.FollowerStatus{ID: raft.MemberID(id + 1)})
	}
	st.Followers[3].Silent = long
	g.Expect(two.Next(st)).To(Equal(roster.Change{}), "three of four are left, and all are needed")
}

// Guards against a lost disk that is removed before the new one of its instance has the log.
func TestReplacedDiskIsRemovedOnceTheNewOneHasSynced(t *testing.T) {
	g := NewWithT(t)
	const commit = 1000
	st := &raft.Status{ID: 1, Commit: commit, Members: raft.Members{{ID: 1, Name: "a", Voter: true}, {ID: 2, Name: "b", Voter: true}, {ID: 3, Name: "c", Voter: true}, {ID: 4, Name: "c"}},
		Followers: []raft.FollowerStatus{{ID: 2, Match: commit}, {ID: 3, Silent: long}, {ID: 4}}}
	g.Expect(roster.Policy{}.Next(st)).To(Equal(roster.Change{}))
	g.Expect(roster.ReplacedDisk(st)).To(BeZero())
	st.Followers[2].Match = commit
	g.Expect(roster.Policy{}.Next(st)).To(Equal(roster.Change{Action: roster.Remove, ID: 3}))
	g.Expect(roster.ReplacedDisk(st)).To(Equal(raft.MemberID(3)))
}

// Guards against a planned stop that costs a vote: the next loss may come right after it.
func TestLeavingVoterIsReplacedAtOnce(t *testing.T) {
	g := NewWithT(t)
	leaving := roster.Policy{Leaving: map[raft.MemberID]bool{3: true}}
	a, b, c, d := member{1, "a", true, 0}, member{2, "b", true, 0}, member{3, "c", true, 0}, member{4, "d", false, 0}
	g.Expect(nextOf(leaving, a, b, c)).To(Equal(roster.Change{}), "nobody can take its place")
	g.Expect(nextOf(leaving, a, b, c, d)).To(Equal(roster.Change{Action: roster.Demote, ID: 3}))
	c.voter = false
	g.Expect(nextOf(leaving, a, b, c, d)).To(Equal(roster.Change{Action: roster.Promote, ID: 4}))
}

// Guards against a minority that takes the votes of the others away, one by one.
func TestChangeNeedsALiveMajority(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var list []member
		silences := []time.Duration{0, 700 * time.Millisecond, long, time.Hour}
		for id := range rapid.IntRange(1, 9).Draw(t, "members") {
			m := member{raft.MemberID(id + 1), fmt.Sprint(rapid.IntRange(0, 5).Draw(t, "name")), rapid.Bool().Draw(t, "voter"), rapid.SampledFrom(silences).Draw(t, "silent")}
			if id == 0 {
				m.voter, m.silent = true, 0
			}
			list = append(list, m)
		}
		policy := roster.Policy{Faults: rapid.IntRange(0, 3).Draw(t, "faults"), Leaving: map[raft.MemberID]bool{}}
		for id := range len(list) {
			policy.Leaving[raft.MemberID(id+1)] = rapid.Bool().Draw(t, "leaving")
		}
		c := nextOf(policy, list...)
		if c.Action == roster.None {
			return
		}
		g := NewWithT(t)
		g.Expect(c.Action == roster.Promote || c.ID != 1).To(BeTrue(), "the leader must not give up its own vote")
		g.Expect(liveMajority(list)).To(BeTrue(), "before %v", c)
		for i := range list {
			if list[i].id == c.ID {
				list[i].voter = c.Action == roster.Promote
			}
		}
		g.Expect(liveMajority(list)).To(BeTrue(), "after %v", c)
	})
}

// liveMajority reports whether most of the voters have been heard from within a second.
func liveMajority(list []member) bool {
	voters, live := 0, 0
	for _, m := range list {
		if m.voter {
			voters++
			if m.silent < time.Second {
				live++
			}
		}
	}
	return 2*live > voters
}

func TestVotersStayOddInNumber(t *testing.T) {
	g := NewWithT(t)
	a, b, c := member{1, "a", true, 0}, member{2, "b", true, 0}, member{3, "c", true, 0}
	d, e := member{4, "d", false, 0}, member{5, "e", false, 0}
	g.Expect(next(a, b, c, d)).To(Equal(roster.Change{}), "a single learner is kept as a spare")
	g.Expect(next(a, b, c, d, e)).To(Equal(roster.Change{Action: roster.Promote, ID: 4}))
	d.voter = true
	g.Expect(next(a, b, c, d, e)).To(Equal(roster.Change{Action: roster.Promote, ID: 5}))
}

func TestLostLearnerIsForgotten(t *testing.T) {
	g := NewWithT(t)
	g.Expect(next(member{1, "a", true, 0}, member{4, "d", false, time.Hour})).To(Equal(roster.Change{Action: roster.Remove, ID: 4}))
}

// repair applies the changes that Next asks for until it asks for none.
func repair(g Gomega, st *raft.Status) {
	for range 200 {
		c := roster.Policy{}.Next(st)
		if c.Action == roster.None {
			return
		}
		for i, m := range st.Members {
			if m.ID != c.ID {
				continue
			}
			if st.Members[i].Voter = c.Action == roster.Promote; c.Action != roster.Promote {
				g.Expect(c.ID).NotTo(Equal(st.ID), "the leader must not give up its own vote")
			}
		}
	}
	g.Expect(roster.Policy{}.Next(st)).To(Equal(roster.Change{}), "the repair must end")
}

func votersPerDomain(st *raft.Status) (all int, domains map[string]int) {
	domains = map[string]int{}
	for _, m := range st.Members {
		domains[m.Domain] += 0
		if m.Voter {
			domains[m.Domain]++
			all++
		}
	}
	return all, domains
}

// A group of any size and layout grows from three founders. A voter in each change's way would
// make changes slower with each instance; three voters in one failure domain could take the
// quorum away with it. A voter that is removed stays a learner here, as it joins again.
func TestVotersAreFewAndSpread(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := NewWithT(t)
		domains, each := rapid.IntRange(3, 6).Draw(t, "domains"), rapid.IntRange(1, 8).Draw(t, "each")
		st := &raft.Status{ID: 1}
		for i := range domains * each {
			st.Members = append(st.Members, raft.Member{ID: raft.MemberID(i + 1), Name: fmt.Sprint("m", i), Domain: fmt.Sprint("d", i%domains), Voter: i < 3})
		}
		st.Members = rapid.Permutation(st.Members).Draw(t, "order")
		repair(g, st)
		all, perDomain := votersPerDomain(st)
		g.Expect(all%2).To(Equal(1), "%v", perDomain)
		g.Expect(all).To(BeNumerically("<=", roster.Voters))
		g.Expect(all).To(BeNumerically(">=", min(roster.Voters, domains*each-2)))
		for _, n := range perDomain {
			g.Expect(2*n).To(BeNumerically("<", all), "%v", perDomain)
		}
	})
}

// All founders are in one failure domain, and the group has voters enough. It must move them
// without dropping below its size.
func TestVotersMoveToOtherDomains(t *testing.T) {
	g := NewWithT(t)
	st := &raft.Status{ID: 1}
	for i := range 25 {
		st.Members = append(st.Members, raft.Member{ID: raft.MemberID(i + 1), Name: fmt.Sprint("m", i), Domain: fmt.Sprint("d", i/5), Voter: i < roster.Voters})
	}
	repair(g, st)
	all, perDomain := votersPerDomain(st)
	g.Expect(all).To(Equal(roster.Voters))
	for _, n := range perDomain {
		g.Expect(n).To(BeNumerically("~", 1, 1), "%v", perDomain)
	}
}

// BenchmarkNext measures the decision of a leader, four times a second, by the number of members.
func BenchmarkNext(b *testing.B) {
	for _, members := range []int{3, 25, raft.MaxMembers} {
		b.Run(fmt.Sprint("members=", members), func(b *testing.B) {
			st := &raft.Status{ID: 1, Commit: 10}
			for i := range members {
				id := raft.MemberID(i + 1)
				st.Members = append(st.Members, raft.Member{ID: id, Name: fmt.Sprint("m", i), Domain: fmt.Sprint("d", i%5), Voter: i < roster.Voters})
				st.Followers = append(st.Followers, raft.FollowerStatus{ID: id, Match: 10})
			}
			for b.Loop() {
				roster.Policy{}.Next(st)
			}
		})
	}
}
