// Package roster decides, as a pure function, how a control group repairs its own
// membership where the settings allow it: unresponsive members are replaced by learners
// that have synced, without an operator.
//
// The number of voters is kept odd. A silent voter is removed only when a learner replaces
// it, or when the number of voters is even. So a group never shrinks because members are
// partitioned: a minority must not be able to remove the voters of the majority one by one.
// The quorums of Raft prevent that as well.
package roster

import (
	"time"

	"github.com/comfreyladder/comfreyladder/core/raft"
)

const (
	// VoterReplacementTimeout is the silence after which a voter may be replaced. It is
	// longer than a restart of a process takes, after which the log continues where it
	// ended.
	VoterReplacementTimeout = 3 * time.Second
	// LearnerRemovalTimeout is the silence after which a learner is removed. A silent
	// learner costs the group nothing, and one that returns asks to join again.
	LearnerRemovalTimeout = 20 * time.Second
	// aliveTimeout is the silence up to which a member is considered alive.
	aliveTimeout = time.Second
)

// Action is the kind of a Change.
type Action uint8

// The kinds of changes.
const (
	None Action = iota
	Promote
	Remove
)

// Change is one membership change.
type Change struct {
	Action Action
	ID     raft.MemberID
}

// Next returns the change that the leader with the given status should make next.
func Next(st *raft.Status) Change {
	g := group{silent: map[raft.MemberID]time.Duration{}}
	for _, f := range st.Followers {
		if f.ID != st.ID {
			g.silent[f.ID] = f.Silent
		}
	}
	g.collect(st.Members)
	if id := g.replacedDisk(st.Members); id != 0 && (id == g.deadVoter || g.voters%2 == 0 || !isVoter(st.Members, id)) {
		return Change{Remove, id}
	}
	switch {
	case g.voters%2 == 0 && g.deadVoter != 0:
		return Change{Remove, g.deadVoter}
	case g.liveLearner != 0 && (g.deadVoter != 0 || g.voters%2 == 0 || g.learners > 1):
		return Change{Promote, g.liveLearner}
	case g.deadLearner != 0:
		return Change{Remove, g.deadLearner}
	}
	return Change{}
}

func isVoter(members raft.Members, id raft.MemberID) bool {
	m, _ := members.Get(id)
	return m.Voter
}

type group struct {
	silent   map[raft.MemberID]time.Duration
	voters   int
	learners int
	// deadVoter is the voter that has been silent longest, if longer than
	// VoterReplacementTimeout; liveLearner is a learner that is alive, and deadLearner one
	// that has been silent longer than LearnerRemovalTimeout.
	deadVoter, liveLearner, deadLearner raft.MemberID
}

func (g *group) collect(members raft.Members) {
	for _, m := range members {
		silence := g.silent[m.ID]
		switch {
		case m.Voter:
			g.voters++
			if silence > VoterReplacementTimeout && silence > g.silent[g.deadVoter] {
				g.deadVoter = m.ID
			}
		case silence < aliveTimeout:
			g.learners++
			if g.liveLearner == 0 {
				g.liveLearner = m.ID
			}
		case silence > LearnerRemovalTimeout:
			g.deadLearner = m.ID
		}
	}
}

// replacedDisk returns a member that is silent while a voter of the same name is alive: the
// disk of the first is lost for good.
func (g *group) replacedDisk(members raft.Members) raft.MemberID {
	for _, a := range members {
		for _, b := range members {
			if a.ID != b.ID && a.Name == b.Name && g.silent[a.ID] > aliveTimeout && g.silent[b.ID] < aliveTimeout && b.Voter {
				return a.ID
			}
		}
	}
	return 0
}
