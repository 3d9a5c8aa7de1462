// Package roster decides, as a pure function, how a control group mends its own
// membership where the settings let it: members that fell silent are replaced by
// learners that have synced, without an operator.
//
// The number of voters is kept odd, and a silent voter is removed only when a
// learner takes its place or when it makes the number even. So a group never
// shrinks because members are cut off: a minority that removed the majority's
// voters one by one is what must not be possible, and raft's own quorums see to
// that as well.
package roster

import (
	"time"

	"github.com/comfreyladder/comfreyladder/core/raft"
)

const (
	// SilentVoter is after what silence a voter may be replaced. It is longer than
	// a restart of a process takes, after which the log goes on where it ended.
	SilentVoter = 3 * time.Second
	// SilentLearner is after what silence a learner is forgotten. It costs the
	// group nothing, and one that comes back asks to join again.
	SilentLearner = 20 * time.Second
	// heard is the silence up to which a learner is taken for alive.
	heard = time.Second
)

// Action is one kind of change.
type Action uint8

// The actions.
const (
	None Action = iota
	Promote
	Remove
)

// Change is one change of the membership.
type Change struct {
	Action Action
	ID     raft.MemberID
}

// Next returns the change that the leader whose status it is should make next.
func Next(st *raft.Status) Change {
	g := group{silent: map[raft.MemberID]time.Duration{}}
	for _, f := range st.Followers {
		if f.ID != st.ID {
			g.silent[f.ID] = f.Silent
		}
	}
	g.read(st.Members)
	if id := g.replacedDisk(st.Members); id != 0 && (id == g.dead || g.voters%2 == 0 || !voter(st.Members, id)) {
		return Change{Remove, id}
	}
	switch {
	case g.voters%2 == 0 && g.dead != 0:
		return Change{Remove, g.dead}
	case g.learner != 0 && (g.dead != 0 || g.voters%2 == 0 || g.learners > 1):
		return Change{Promote, g.learner}
	case g.lostLearner != 0:
		return Change{Remove, g.lostLearner}
	}
	return Change{}
}

func voter(members raft.Members, id raft.MemberID) bool {
	m, _ := members.Get(id)
	return m.Voter
}

type group struct {
	silent   map[raft.MemberID]time.Duration
	voters   int
	learners int
	// dead is the voter that has been silent longest, if for SilentVoter, learner
	// one that is alive, and lostLearner one that is not.
	dead, learner, lostLearner raft.MemberID
}

func (g *group) read(members raft.Members) {
	for _, m := range members {
		silence := g.silent[m.ID]
		switch {
		case m.Voter:
			g.voters++
			if silence > SilentVoter && silence > g.silent[g.dead] {
				g.dead = m.ID
			}
		case silence < heard:
			g.learners++
			if g.learner == 0 {
				g.learner = m.ID
			}
		case silence > SilentLearner:
			g.lostLearner = m.ID
		}
	}
}

// replacedDisk returns a member that is silent while another one of its name is
// heard: the disk of the first is gone for good.
func (g *group) replacedDisk(members raft.Members) raft.MemberID {
	for _, a := range members {
		for _, b := range members {
			if a.ID != b.ID && a.Name == b.Name && g.silent[a.ID] > heard && g.silent[b.ID] < heard && b.Voter {
				return a.ID
			}
		}
	}
	return 0
}
