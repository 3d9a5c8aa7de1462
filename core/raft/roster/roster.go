// Package roster decides, as a pure function, how a control group repairs its own
// membership where the settings allow it: unresponsive members are replaced by learners
// that have synced, without an operator.
//
// The number of voters is kept odd. A silent voter is removed only when a learner replaces
// it, or when the number of voters is even. So a group never shrinks because members are
// partitioned: a minority must not be able to remove the voters of the majority one by one.
// The quorums of Raft prevent that as well.
//
// Voters are spread over the failure domains: otherwise a small group could lose its quorum with
// one domain. All members beyond Voters stay learners, which serve reads as well; a change waits
// for a majority of the voters, so its cost does not grow with the members.
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

// Voters is the number of voters that a group aims at. Three of them may be lost.
const Voters = 7

// Next returns the change that the leader with the given status should make next.
func Next(st *raft.Status) Change {
	g := collect(st)
	if id := g.replacedDisk(st.Members); id != 0 && (id == g.deadVoter || g.voters%2 == 0 || !isVoter(st.Members, id)) {
		return Change{Remove, id}
	}
	if g.voters%2 == 0 {
		if c := g.completeEven(); c.Action != None {
			return c
		}
	} else if g.needsVoter() {
		return Change{Promote, g.bestLearner}
	}
	if g.deadLearner != 0 {
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
	// perDomain counts the voters of each failure domain, dead ones too: a domain that is cut off
	// is not emptied of voters.
	perDomain map[string]int
	// deadVoter is the voter that has been silent longest, if longer than
	// VoterReplacementTimeout; deadLearner is one that has been silent longer than
	// LearnerRemovalTimeout.
	deadVoter, deadLearner raft.MemberID
	// bestLearner is a live learner of the failure domain with the fewest voters, and
	// crowdedVoter a voter, not the leader, of the one with the most. fewest and most are these
	// numbers of voters.
	bestLearner, crowdedVoter raft.MemberID
	fewest, most              int
}

func collect(st *raft.Status) *group {
	g := &group{silent: map[raft.MemberID]time.Duration{}, perDomain: map[string]int{}}
	for _, f := range st.Followers {
		if f.ID != st.ID {
			g.silent[f.ID] = f.Silent
		}
	}
	for _, m := range st.Members {
		if m.Voter {
			g.perDomain[domainOf(m)]++
		}
	}
	for _, m := range st.Members {
		if m.Voter {
			g.addVoter(m, m.ID == st.ID)
			continue
		}
		g.addLearner(m)
	}
	return g
}

// domainOf returns the failure domain of a member. One whose domain is not known counts as the
// only one of its domain.
func domainOf(m raft.Member) string {
	if m.Domain == "" {
		return m.Name
	}
	return m.Domain
}

func (g *group) addVoter(m raft.Member, leads bool) {
	g.voters++
	if silence := g.silent[m.ID]; silence > VoterReplacementTimeout && silence > g.silent[g.deadVoter] {
		g.deadVoter = m.ID
	}
	if n := g.perDomain[domainOf(m)]; !leads && n > g.most {
		g.crowdedVoter, g.most = m.ID, n
	}
}

func (g *group) addLearner(m raft.Member) {
	switch silence := g.silent[m.ID]; {
	case silence < aliveTimeout:
		g.learners++
		if n := g.perDomain[domainOf(m)]; g.bestLearner == 0 || n < g.fewest {
			g.bestLearner, g.fewest = m.ID, n
		}
	case silence > LearnerRemovalTimeout:
		g.deadLearner = m.ID
	}
}

// completeEven returns the change that makes an even number of voters odd.
func (g *group) completeEven() Change {
	switch {
	case g.deadVoter != 0:
		return Change{Remove, g.deadVoter}
	case g.voters > Voters && g.crowdedVoter != 0:
		return Change{Remove, g.crowdedVoter}
	case g.bestLearner != 0:
		return Change{Promote, g.bestLearner}
	case g.most > g.smallestDomain():
		return Change{Remove, g.crowdedVoter}
	}
	return Change{}
}

// needsVoter reports whether a learner is to become a voter: in place of a dead voter, to grow
// while a spare one remains, or because its failure domain has too few.
func (g *group) needsVoter() bool {
	switch {
	case g.bestLearner == 0:
		return false
	case g.deadVoter != 0:
		return true
	case g.voters < Voters && g.learners > 1:
		return true
	}
	return g.voters <= Voters && g.uneven(g.fewest)
}

// uneven reports whether the domain with the most voters should give one to a domain that has n.
func (g *group) uneven(n int) bool { return g.most-n > 1 }

func (g *group) smallestDomain() int {
	n := g.most
	for _, k := range g.perDomain {
		n = min(n, k)
	}
	return n
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
