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
func next(list ...member) roster.Change {
	st := &raft.Status{ID: 1}
	for _, m := range list {
		st.Members = append(st.Members, raft.Member{ID: m.id, Name: m.name, Voter: m.voter})
		st.Followers = append(st.Followers, raft.FollowerStatus{ID: m.id, Silent: m.silent})
	}
	return roster.Next(st)
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

// An instance is lost for good and an empty one starts at another address. Without an
// operator, the new one becomes a voter and then the lost one is removed; otherwise the
// next loss would stop the group.
func TestLostVoterIsReplaced(t *testing.T) {
	g := NewWithT(t)
	a, b, c, d := member{1, "a", true, 0}, member{2, "b", true, 0}, member{3, "c", true, long}, member{4, "d", false, 0}
	g.Expect(next(a, b, c, d)).To(Equal(roster.Change{Action: roster.Promote, ID: 4}))
	d.voter = true
	g.Expect(next(a, b, c, d)).To(Equal(roster.Change{Action: roster.Remove, ID: 3}))
}

// An instance returns with an empty disk under its old name, a second after the group lost
// it. The new disk becomes a voter, then the old one is removed.
func TestWipedDiskIsReplaced(t *testing.T) {
	g := NewWithT(t)
	a, b, c, d := member{1, "a", true, 0}, member{2, "b", true, 0}, member{3, "c", true, long}, member{4, "c", false, 0}
	g.Expect(next(a, b, c, d)).To(Equal(roster.Change{Action: roster.Promote, ID: 4}))
	d.voter = true
	g.Expect(next(a, b, c, d)).To(Equal(roster.Change{Action: roster.Remove, ID: 3}))
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
		c := roster.Next(st)
		if c.Action == roster.None {
			return
		}
		for i, m := range st.Members {
			if m.ID != c.ID {
				continue
			}
			if st.Members[i].Voter = c.Action == roster.Promote; c.Action == roster.Remove {
				g.Expect(c.ID).NotTo(Equal(st.ID), "the leader must not remove itself")
			}
		}
	}
	g.Expect(roster.Next(st)).To(Equal(roster.Change{}), "the repair must end")
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
