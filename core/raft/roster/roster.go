// Package roster decides, as a pure function, how a control group repairs its own
// membership where the settings allow it: unresponsive members are replaced by learners
// that have synced, without an operator.
//
// A voter that is lost gives up its vote before its successor gets one. The other way round,
// a successor that is lost as well would add to the quorum that the rest has to reach. A
// voter that fell silent stays a learner, so the leader keeps contact with it, and it votes
// again soon after it is back. Only a disk that was replaced by another one of the same
// name is removed at once, as its member never returns.
//
// Without a learner to take its place, a silent voter keeps its vote unless the others are
// enough to bear the expected faults. And each change leaves a live majority on both sides of
// it, so that a minority never takes the votes of the others away, one by one.
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
	// longer than an election takes, and than the silence up to which a member counts as
	// alive.
	VoterReplacementTimeout = 1200 * time.Millisecond
	// LearnerRemovalTimeout is the silence after which a learner is removed. A silent
	// learner costs the group nothing, and one that returns asks to join again.
	LearnerRemovalTimeout = 20 * time.Second
	// aliveTimeout is the silence up to which a member is considered alive.
	aliveTimeout = time.Second
	// diskReplacementTimeout is the silence after which a member is considered lost if
	// another disk has joined under its name: an instance has one disk at a time.
	diskReplacementTimeout = 500 * time.Millisecond
	// maxLag is the number of committed entries that a learner may lack to be chosen as a
	// voter. It has to store the rest before it is promoted.
	maxLag = 256
)

// Action is the kind of a Change.
type Action uint8

// The kinds of changes.
const (
	None Action = iota
	Promote
	Remove
	// Demote makes a voter a learner.
	Demote
)

// Change is one membership change.
type Change struct {
	Action Action
	ID     raft.MemberID
}

// Voters is the number of voters that a group aims at. Three of them may be lost.
const Voters = 7

// Policy holds what a leader knows besides its raft status.
type Policy struct {
	// Faults is the number of voters that may be lost at the same time; zero means one. A
	// group gives up silent voters without successors only beyond 2 x Faults + 1.
	Faults int
	// Leaving holds members that are about to stop. Such a voter is replaced like a lost one,
	// or given up at once if the others are enough.
	Leaving map[raft.MemberID]bool
}

// minVoters is the number of voters below which a group does not shrink.
func (p Policy) minVoters() int { return 2*max(p.Faults, 1) + 1 }

// Next returns the change that the leader with the given status should make next.
func (p Policy) Next(st *raft.Status) Change {
	g := p.collect(st)
	c := g.next(st.Members)
	if c.Action == None || !g.leavesMajority(st.Members, c) {
		return Change{}
	}
	return c
}

func (g *group) next(members raft.Members) Change {
	if id := g.replacedDisk(members); id != 0 {
		return Change{Remove, id}
	}
	if g.leavingVoter != 0 && g.voters > g.policy.minVoters() {
		return Change{Demote, g.leavingVoter}
	}
	if g.voters%2 == 0 {
		if c := g.completeEven(); c.Action != None {
			return c
		}
	} else if c := g.changeOdd(); c.Action != None {
		return c
	}
	if g.deadLearner != 0 {
		return Change{Remove, g.deadLearner}
	}
	return Change{}
}

// ReplacedDisk returns a member that is silent while a live member of the same name holds the
// log: the disk of the first is lost for good. It returns zero if there is none.
func ReplacedDisk(st *raft.Status) raft.MemberID {
	return Policy{}.collect(st).replacedDisk(st.Members)
}

type group struct {
	leader raft.MemberID
	silent map[raft.MemberID]time.Duration
	// votes holds the names of the voters. An instance has one vote: with those of its lost
	// disk and of its new one, its loss would count twice.
	votes map[string]bool
	// behind holds the members that lack more than a few committed entries.
	behind   map[raft.MemberID]bool
	policy   Policy
	voters   int
	learners int
	// perDomain counts the voters of each failure domain, dead ones too: a domain that is cut off
	// is not emptied of voters.
	perDomain map[string]int
	// deadVoter is the voter that has been silent longest, if longer than
	// VoterReplacementTimeout, or that leaves; deadVoters is the number of such voters.
	// deadLearner is one that has been silent longer than LearnerRemovalTimeout.
	deadVoter, deadLearner raft.MemberID
	deadVoters             int
	// leavingVoter is a voter that leaves, not the leader.
	leavingVoter raft.MemberID
	// bestLearner is a live learner of the failure domain with the fewest voters, and
	// crowdedVoter a voter, not the leader, of the one with the most. fewest and most are these
	// numbers of voters.
	bestLearner, crowdedVoter raft.MemberID
	fewest, most              int
}

func (p Policy) collect(st *raft.Status) *group {
	g := &group{leader: st.ID, silent: map[raft.MemberID]time.Duration{}, behind: map[raft.MemberID]bool{}, policy: p, votes: map[string]bool{}, perDomain: map[string]int{}}
	for _, f := range st.Followers {
		if f.ID != st.ID {
			g.silent[f.ID] = f.Silent
			g.behind[f.ID] = f.Match < st.Commit && (f.Match == 0 || st.Commit-f.Match > maxLag)
		}
	}
	for _, m := range st.Members {
		if m.Voter {
			g.perDomain[domainOf(m)]++
			g.votes[m.Name] = true
		}
	}
	for _, m := range st.Members {
		if m.Voter {
			g.addVoter(m)
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

func (g *group) addVoter(m raft.Member) {
	g.voters++
	leads := m.ID == g.leader
	if !leads && g.policy.Leaving[m.ID] {
		g.leavingVoter = m.ID
	}
	if !leads && g.isDead(m.ID) {
		if g.deadVoter == 0 || g.silent[m.ID] > g.silent[g.deadVoter] {
			g.deadVoter = m.ID
		}
		g.deadVoters++
	}
	if n := g.perDomain[domainOf(m)]; !leads && n > g.most {
		g.crowdedVoter, g.most = m.ID, n
	}
}

func (g *group) isDead(id raft.MemberID) bool {
	return g.silent[id] > VoterReplacementTimeout || g.policy.Leaving[id]
}

func (g *group) addLearner(m raft.Member) {
	switch silence := g.silent[m.ID]; {
	case silence < aliveTimeout:
		if g.behind[m.ID] || g.policy.Leaving[m.ID] || g.votes[m.Name] {
			return
		}
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
	case g.deadVoter != 0 && g.voters > g.policy.minVoters():
		return Change{Demote, g.deadVoter}
	case g.voters > Voters && g.crowdedVoter != 0:
		return Change{Demote, g.crowdedVoter}
	case g.bestLearner != 0:
		return Change{Promote, g.bestLearner}
	case g.deadVoter == 0 && g.most > g.smallestDomain():
		return Change{Demote, g.crowdedVoter}
	}
	return Change{}
}

// changeOdd returns the change with which an odd number of voters is repaired, if any: a dead
// voter gives its place to a learner, two dead ones are given up if the others are enough, and
// a learner becomes a voter if one is wanted.
func (g *group) changeOdd() Change {
	switch {
	case g.deadVoter != 0 && g.bestLearner != 0:
		return Change{Demote, g.deadVoter}
	case g.deadVoters > 1 && g.voters-2 >= g.policy.minVoters():
		return Change{Demote, g.deadVoter}
	case g.needsVoter():
		return Change{Promote, g.bestLearner}
	}
	return Change{}
}

// needsVoter reports whether a learner is to become a voter: to grow while a spare one remains,
// or because its failure domain has too few.
func (g *group) needsVoter() bool {
	switch {
	case g.bestLearner == 0:
		return false
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

// replacedDisk returns a member that is silent while a live member of the same name holds the
// log.
func (g *group) replacedDisk(members raft.Members) raft.MemberID {
	renewed := map[string]bool{}
	for _, m := range members {
		if g.silent[m.ID] < diskReplacementTimeout && !g.behind[m.ID] {
			renewed[m.Name] = true
		}
	}
	for _, m := range members {
		if g.silent[m.ID] > diskReplacementTimeout && renewed[m.Name] {
			return m.ID
		}
	}
	return 0
}

// leavesMajority reports whether the live voters are a majority before and after a change.
func (g *group) leavesMajority(members raft.Members, c Change) bool {
	before := func(m raft.Member) bool { return m.Voter }
	after := func(m raft.Member) bool {
		if m.ID == c.ID {
			return c.Action == Promote
		}
		return m.Voter
	}
	return g.hasMajority(members, before) && g.hasMajority(members, after)
}

func (g *group) hasMajority(members raft.Members, votes func(raft.Member) bool) bool {
	all, live := 0, 0
	for _, m := range members {
		if !votes(m) {
			continue
		}
		all++
		if g.silent[m.ID] < aliveTimeout {
			live++
		}
	}
	return 2*live > all
}
