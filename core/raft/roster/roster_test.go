package roster_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

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
