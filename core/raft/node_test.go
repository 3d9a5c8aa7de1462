package raft_test

import (
	"math/rand"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/comfreyladder/comfreyladder/core/fault"
	"github.com/comfreyladder/comfreyladder/core/raft"
)

// single is one member whose peers are played by the test.
type single struct {
	t    *testing.T
	now  time.Time
	node *raft.Node
	disk disk
	id   raft.MemberID
	// restartTimeout is raft.Config's; zero means the election timeout.
	restartTimeout time.Duration
}

func voters(ids ...raft.MemberID) raft.Members {
	var out raft.Members
	for _, id := range ids {
		out = append(out, raft.Member{ID: id, Voter: true})
	}
	return out
}

func command(index, term uint64) raft.Entry {
	return raft.Entry{Index: index, Term: term, Kind: raft.EntryCommand, Data: []byte("x")}
}

// newSingle returns member 1 of the given voters, with entries after index 1.
func newSingle(t *testing.T, members raft.Members, entries ...raft.Entry) *single {
	s := &single{t: t, now: time.Unix(1000, 0), id: 1}
	s.disk = disk{hard: raft.HardState{Term: 1}, snap: raft.Snapshot{Index: 1, Term: 1, Members: members}, entries: entries}
	for _, e := range entries {
		s.disk.hard.Term = e.Term
	}
	s.restart()
	return s
}

func (s *single) restart() {
	node, err := raft.New(s.now, raft.Config{ID: s.id, Cluster: "c", Heartbeat: heartbeat, ElectionTimeout: election,
		RestartTimeout: s.restartTimeout, Rand: rand.New(rand.NewSource(1))}, s.disk.hard, s.disk.snap, s.disk.entries)
	NewWithT(s.t).Expect(err).NotTo(HaveOccurred())
	s.node = node
}

// out carries out what is ready and returns all of it as one.
func (s *single) out() raft.Ready {
	var all raft.Ready
	for {
		r := s.node.Ready(s.now)
		if r.Empty() {
			return all
		}
		host := host{disk: s.disk}
		host.persist(r)
		s.disk = host.disk
		s.node.Advance(s.now, r)
		all.Messages = append(all.Messages, r.Messages...)
		all.Committed = append(all.Committed, r.Committed...)
		all.Entries = append(all.Entries, r.Entries...)
		all.Reads = append(all.Reads, r.Reads...)
	}
}

func (s *single) step(m raft.Message) raft.Ready {
	m.Cluster, m.To = "c", s.id
	NewWithT(s.t).Expect(s.node.Step(s.now, m)).To(Succeed())
	return s.out()
}

func (s *single) wait(d time.Duration) raft.Ready {
	s.now = s.now.Add(d)
	s.node.Tick(s.now)
	return s.out()
}

func (s *single) status() raft.Status { return s.node.Status(s.now) }

// lead makes the member the leader by the votes of the given others.
func (s *single) lead(others ...raft.MemberID) {
	s.wait(2 * election)
	for _, kind := range []raft.MessageKind{raft.MsgPreVoteReply, raft.MsgVoteReply} {
		term := s.status().Term
		if kind == raft.MsgPreVoteReply {
			term++
		}
		for _, id := range others {
			s.step(raft.Message{Kind: kind, From: id, Term: term})
		}
	}
	NewWithT(s.t).Expect(s.status().Role).To(Equal(raft.Leader))
}

// ack acknowledges everything up to index, and the newest round.
func (s *single) ack(id raft.MemberID, index uint64) raft.Ready {
	return s.step(raft.Message{Kind: raft.MsgAppendReply, From: id, Term: s.status().Term, Index: index})
}

func (s *single) echo(id raft.MemberID, round uint64) raft.Ready {
	return s.step(raft.Message{Kind: raft.MsgHeartbeatReply, From: id, Term: s.status().Term, Round: round})
}

func kinds(r raft.Ready, to raft.MemberID) []raft.MessageKind {
	var out []raft.MessageKind
	for _, m := range r.Messages {
		if m.To == to {
			out = append(out, m.Kind)
		}
	}
	return out
}

func roundOf(r raft.Ready) uint64 {
	var round uint64
	for _, m := range r.Messages {
		round = max(round, m.Round)
	}
	return round
}

// What a user would see: a confirmed change is gone. What happens: a member votes,
// crashes, restarts and votes for another in the same term. Cause: the vote was
// sent before it was synced, and two leaders were elected.
func TestVoteIsRememberedAcrossARestart(t *testing.T) {
	g := NewWithT(t)
	s := newSingle(t, voters(1, 2, 3))
	s.now = s.now.Add(election)
	r := s.step(raft.Message{Kind: raft.MsgVote, From: 2, Term: 5, Index: 1, LogTerm: 1})
	g.Expect(r.Messages).To(HaveLen(1))
	g.Expect(r.Messages[0].Reject).To(BeFalse())
	s.restart()
	s.now = s.now.Add(election)
	r = s.step(raft.Message{Kind: raft.MsgVote, From: 3, Term: 5, Index: 1, LogTerm: 1})
	g.Expect(r.Messages[0].Reject).To(BeTrue())
}

// What a user would see: status shows an old revision after a newer one was
// confirmed. What happens: a member acknowledges a heartbeat, restarts and elects
// another leader at once, while the first still serves reads under its lease.
func TestRestartedMemberKeepsToTheLeaseItMayHaveGranted(t *testing.T) {
	g := NewWithT(t)
	s := newSingle(t, voters(1, 2, 3))
	r := s.step(raft.Message{Kind: raft.MsgHeartbeat, From: 3, Term: 2, Round: 1})
	g.Expect(r.Messages[0].Kind).To(Equal(raft.MsgHeartbeatReply))
	s.restart()
	s.now = s.now.Add(election / 2)
	vote := raft.Message{Kind: raft.MsgVote, From: 2, Term: 5, Index: 1, LogTerm: 1}
	g.Expect(s.step(vote).Messages).To(BeEmpty())
	g.Expect(s.status().Term).To(Equal(uint64(2)))
	s.now = s.now.Add(election / 2)
	g.Expect(s.step(vote).Messages).To(HaveLen(1))
}

// What a user would see: after all instances of control were killed nobody is served for
// an election timeout and more, though nobody leads. With a shorter restart timeout members
// elect sooner, and leaders count on their leases for less than that.
func TestRestartTimeoutBoundsLeasesAndTheWaitAfterARestart(t *testing.T) {
	g := NewWithT(t)
	s := newSingle(t, voters(1, 2, 3))
	s.restartTimeout = election / 2
	r := s.step(raft.Message{Kind: raft.MsgHeartbeat, From: 3, Term: 2, Round: 1})
	g.Expect(r.Messages[0].Kind).To(Equal(raft.MsgHeartbeatReply))
	s.restart()
	vote := raft.Message{Kind: raft.MsgVote, From: 2, Term: 5, Index: 1, LogTerm: 1}
	s.now = s.now.Add(election/2 - 1)
	s.node.Tick(s.now)
	g.Expect(s.out().Messages).To(BeEmpty(), "it may have granted a lease right before its end")
	g.Expect(s.step(vote).Messages).To(BeEmpty())
	s.now = s.now.Add(1)
	g.Expect(s.step(vote).Messages).To(HaveLen(1))
	s.restart()
	s.now = s.now.Add(election)
	s.node.Tick(s.now)
	g.Expect(s.out().Messages).To(ContainElement(HaveField("Kind", raft.MsgPreVote)))

	s = newSingle(t, voters(1, 2, 3))
	s.restartTimeout = election / 2
	s.restart()
	s.lead(2)
	s.ack(2, s.status().Last)
	s.echo(2, roundOf(s.wait(heartbeat)))
	s.now = s.now.Add(election/2*9/10 - 1)
	g.Expect(s.node.ReadIndex(s.now, 1)).To(Succeed())
	g.Expect(s.out().Reads).To(HaveLen(1))
	s.now = s.now.Add(1)
	g.Expect(s.node.ReadIndex(s.now, 2)).To(Succeed())
	g.Expect(s.out().Reads).To(BeEmpty(), "by then a member that was restarted may vote")
}

// What a user would see: a new site serves nobody for seconds. What happens: its
// founders wait for a leader that nobody has been yet. Only the founding's term
// may skip the wait; see the test above.
func TestFoundersElectAtOnce(t *testing.T) {
	g := NewWithT(t)
	s := newSingle(t, voters(1, 2, 3))
	vote := raft.Message{Kind: raft.MsgVote, From: 2, Term: 2, Index: 1, LogTerm: 1}
	g.Expect(s.step(vote).Messages).To(HaveLen(1))
	s = newSingle(t, voters(1, 2, 3))
	s.now = s.now.Add(election / 2)
	s.node.Tick(s.now)
	g.Expect(s.out().Messages[0].Kind).To(Equal(raft.MsgPreVote))
	vote.Term = 5
	g.Expect(s.step(vote).Messages).To(HaveLen(1))
	s.restart()
	s.now = s.now.Add(election / 2)
	s.node.Tick(s.now)
	g.Expect(s.out().Messages).To(BeEmpty())
}

// What a user would see: changes stall each time an instance returns from a cut.
// What happens: the returning member asks for votes in a higher term. Cause: the
// others follow it, though their leader is well.
func TestMemberThatHearsALeaderIgnoresVotes(t *testing.T) {
	g := NewWithT(t)
	s := newSingle(t, voters(1, 2, 3))
	s.now = s.now.Add(2 * election)
	s.step(raft.Message{Kind: raft.MsgHeartbeat, From: 2, Term: 2, Round: 1})
	s.now = s.now.Add(election / 2)
	vote := raft.Message{Kind: raft.MsgVote, From: 3, Term: 9, Index: 1, LogTerm: 1}
	g.Expect(s.step(vote).Messages).To(BeEmpty())
	g.Expect(s.status().Term).To(Equal(uint64(2)))
	vote.Transfer = true
	g.Expect(s.step(vote).Messages).To(HaveLen(1), "the leader itself asked for this one")
}

func TestMemberThatIsCutOffDoesNotRaiseItsTerm(t *testing.T) {
	s := newSingle(t, voters(1, 2, 3))
	for range 20 {
		s.wait(2 * election)
	}
	NewWithT(t).Expect(s.status().Term).To(Equal(uint64(1)))
}

// What a user would see: a confirmed change is gone. What happens: a member has
// acknowledged entries; then a late append, or a late snapshot, that ends before
// them arrives. Cause: the member cuts its log at the end of the late message.
func TestLateMessagesDoNotCutAcknowledgedEntries(t *testing.T) {
	g := NewWithT(t)
	s := newSingle(t, voters(1, 2, 3))
	all := []raft.Entry{command(2, 2), command(3, 2), command(4, 2), command(5, 2)}
	r := s.step(raft.Message{Kind: raft.MsgAppend, From: 2, Term: 2, Index: 1, LogTerm: 1, Entries: all})
	g.Expect(r.Messages[0].Index).To(Equal(uint64(5)))
	s.step(raft.Message{Kind: raft.MsgAppend, From: 2, Term: 2, Index: 1, LogTerm: 1, Entries: all[:2]})
	g.Expect(s.status().Last).To(Equal(uint64(5)))
	s.step(raft.Message{Kind: raft.MsgSnapshot, From: 2, Term: 2, Snapshot: &raft.Snapshot{Index: 3, Term: 2, Members: voters(1, 2, 3)}})
	g.Expect(s.status().Last).To(Equal(uint64(5)))
	g.Expect(s.status().Commit).To(Equal(uint64(3)))
	g.Expect(s.disk.entries).To(HaveLen(4))
}

// What a user would see: a confirmed change is gone. What happens: a leader finds
// an entry of an earlier term on a quorum, calls it committed and dies; a leader
// with a newer entry in its place is elected. This is figure 8 of the Raft paper.
func TestEntriesOfEarlierTermsDoNotCommitByCount(t *testing.T) {
	g := NewWithT(t)
	s := newSingle(t, voters(1, 2, 3), command(2, 2))
	s.lead(2)
	s.ack(2, 2)
	g.Expect(s.status().Commit).To(Equal(uint64(1)))
	s.ack(2, 3)
	g.Expect(s.status().Commit).To(Equal(uint64(3)))
}

// What a user would see: two instances act on different configurations for good.
// What happens: two members are changed at once, and the quorums of the first and
// the last membership do not overlap.
func TestOneChangeOfMembersAtATime(t *testing.T) {
	g := NewWithT(t)
	s := newSingle(t, voters(1, 2, 3))
	s.lead(2)
	_, err := s.node.Remove(s.now, 3)
	g.Expect(fault.CodeOf(err)).To(Equal(fault.NotRun), "an earlier leader's change may still surface")
	s.ack(2, 2)
	_, err = s.node.AddLearner(s.now, 4, "d")
	g.Expect(err).NotTo(HaveOccurred())
	s.out()
	_, err = s.node.Remove(s.now, 3)
	g.Expect(fault.CodeOf(err)).To(Equal(fault.NotRun))
	s.ack(2, 3)
	_, err = s.node.Remove(s.now, 3)
	g.Expect(err).NotTo(HaveOccurred())
}

// What a user would see: right after a repair was reported done, the loss of one
// more instance stops all changes. What happens: the newcomer votes, but has not
// synced the log yet.
func TestLearnerIsPromotedOnlyWhenSynced(t *testing.T) {
	g := NewWithT(t)
	s := newSingle(t, voters(1))
	s.wait(2 * election)
	g.Expect(s.status().Role).To(Equal(raft.Leader))
	_, err := s.node.AddLearner(s.now, 2, "b")
	g.Expect(err).NotTo(HaveOccurred())
	r := s.out()
	g.Expect(kinds(r, 2)).To(ContainElement(raft.MsgAppend), "a newcomer hears of the log without further proposals")
	s.ack(2, 2)
	_, err = s.node.Promote(s.now, 2)
	g.Expect(fault.CodeOf(err)).To(Equal(fault.NotRun))
	s.ack(2, 3)
	s.now = s.now.Add(2 * election)
	_, err = s.node.Promote(s.now, 2)
	g.Expect(fault.CodeOf(err)).To(Equal(fault.NotRun), "a silent learner")
	s.ack(2, 3)
	_, err = s.node.Promote(s.now, 2)
	g.Expect(err).NotTo(HaveOccurred())
}

func TestMembershipIsUndoneWithItsEntry(t *testing.T) {
	g := NewWithT(t)
	s := newSingle(t, voters(1, 2, 3))
	change := raft.Entry{Index: 2, Term: 2, Kind: raft.EntryMembers, Members: voters(1, 2, 3, 4)}
	s.step(raft.Message{Kind: raft.MsgAppend, From: 2, Term: 2, Index: 1, LogTerm: 1, Entries: []raft.Entry{change}})
	g.Expect(s.status().Members).To(HaveLen(4))
	s.step(raft.Message{Kind: raft.MsgAppend, From: 3, Term: 3, Index: 1, LogTerm: 1, Entries: []raft.Entry{command(2, 3)}})
	g.Expect(s.status().Members).To(HaveLen(3))
}

func TestRemovedLeaderStepsDown(t *testing.T) {
	g := NewWithT(t)
	s := newSingle(t, voters(1, 2))
	s.lead(2)
	s.ack(2, 2)
	_, err := s.node.Remove(s.now, 1)
	g.Expect(err).NotTo(HaveOccurred())
	s.ack(2, 3)
	g.Expect(s.status().Role).To(Equal(raft.Follower))
}

// What a user would see: an instance that is cut off goes on telling that it
// leads, and changes sent to it hang. What happens: it hears no quorum.
func TestLeaderThatHearsNoQuorumStepsDown(t *testing.T) {
	g := NewWithT(t)
	s := newSingle(t, voters(1, 2, 3))
	s.lead(2)
	for range 9 {
		s.wait(heartbeat)
	}
	g.Expect(s.status().Role).To(Equal(raft.Leader))
	s.wait(heartbeat)
	g.Expect(s.status().Role).To(Equal(raft.Follower))
	_, _, err := s.node.Propose(s.now, nil)
	g.Expect(fault.CodeOf(err)).To(Equal(fault.NotRun))
}

// What a user would see: status shows an old revision after a newer one was
// confirmed. What happens: a leader is frozen or cut off; another one is elected;
// the first answers a read. Cause: it counts on a lease that has run out, or that
// a handover of the leadership has ended.
func TestReadsUnderTheLease(t *testing.T) {
	g := NewWithT(t)
	s := newSingle(t, voters(1, 2, 3))
	s.lead(2)
	s.ack(2, 2)
	round := roundOf(s.wait(heartbeat))
	s.echo(2, round)
	read := func(context uint64) raft.Ready {
		g.Expect(s.node.ReadIndex(s.now, context)).To(Succeed())
		return s.out()
	}
	g.Expect(read(1).Reads).To(HaveLen(1), "under the lease")
	s.now = s.now.Add(95 * election / 100)
	r := read(2)
	g.Expect(r.Reads).To(BeEmpty(), "the lease has run out, as far as clocks can be trusted")
	g.Expect(s.echo(2, roundOf(r)-1).Reads).To(BeEmpty(), "an echo of an earlier round proves nothing")
	g.Expect(s.echo(2, roundOf(r)).Reads).To(HaveLen(1))

	g.Expect(s.node.Transfer(s.now, 3)).To(Succeed())
	s.out()
	g.Expect(read(3).Reads).To(BeEmpty())
	s.echo(2, roundOf(s.wait(heartbeat)))
	s.now = s.now.Add(election / 2)
	s.echo(2, roundOf(s.wait(heartbeat)))
	g.Expect(read(4).Reads).To(BeEmpty(), "the order to campaign may still be on its way")
}

// What a user would see: an instance runs out of memory, or a link between
// instances breaks again and again. What happens: operators confirm large intents
// while the group has no quorum, or a member is behind by many of them.
func TestLargeEntriesAreBounded(t *testing.T) {
	g := NewWithT(t)
	s := newSingle(t, voters(1, 2, 3))
	s.lead(2)
	s.ack(2, 2)
	large := make([]byte, raft.DefaultMaxBatchBytes*2/3)
	accepted := 0
	for range 100 {
		if _, _, err := s.node.Propose(s.now, large); err != nil {
			g.Expect(fault.CodeOf(err)).To(Equal(fault.Overloaded))
			break
		}
		accepted++
	}
	g.Expect(accepted * len(large)).To(BeNumerically("<=", raft.DefaultMaxUncommittedBytes))
	g.Expect(accepted).To(BeNumerically(">", 1))
	r := s.ack(2, 2+uint64(accepted))
	_, _, err := s.node.Propose(s.now, large)
	g.Expect(err).NotTo(HaveOccurred(), "the commit made room")
	for _, m := range append(r.Messages, s.ack(3, 2).Messages...) {
		g.Expect(len(m.Entries)).To(BeNumerically("<=", 1))
	}
}
