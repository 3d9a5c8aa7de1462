package raft_test

import (
	"math/rand"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/comfreyladder/comfreyladder/core/fault"
	"github.com/comfreyladder/comfreyladder/core/raft"
)

// singleMember is one member whose peers are simulated by the test.
type singleMember struct {
	t    *testing.T
	now  time.Time
	node *raft.Node
	disk disk
	id   raft.MemberID
	// restartTimeout is that of raft.Config; zero means the election timeout.
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

// newSingleMember returns member 1 of the given voters, with a snapshot at index 1 and the
// given entries after it.
func newSingleMember(t *testing.T, members raft.Members, entries ...raft.Entry) *singleMember {
	s := &singleMember{t: t, now: time.Unix(1000, 0), id: 1}
	s.disk = disk{hard: raft.HardState{Term: 1}, snap: raft.Snapshot{Index: 1, Term: 1, Members: members}, entries: entries}
	for _, e := range entries {
		s.disk.hard.Term = e.Term
	}
	s.restart()
	return s
}

func (s *singleMember) restart() {
	node, err := raft.New(s.now, raft.Config{ID: s.id, Cluster: "c", Heartbeat: heartbeat, ElectionTimeout: election,
		RestartTimeout: s.restartTimeout, Rand: rand.New(rand.NewSource(1))}, s.disk.hard, s.disk.snap, s.disk.entries)
	NewWithT(s.t).Expect(err).NotTo(HaveOccurred())
	s.node = node
}

// processReady processes everything that is ready and returns it as one Ready.
func (s *singleMember) processReady() raft.Ready {
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

func (s *singleMember) step(m raft.Message) raft.Ready {
	m.Cluster, m.To = "c", s.id
	NewWithT(s.t).Expect(s.node.Step(s.now, m)).To(Succeed())
	return s.processReady()
}

func (s *singleMember) advance(d time.Duration) raft.Ready {
	s.now = s.now.Add(d)
	s.node.Tick(s.now)
	return s.processReady()
}

func (s *singleMember) status() raft.Status { return s.node.Status(s.now) }

// becomeLeader makes the member the leader with the votes of the given others.
func (s *singleMember) becomeLeader(others ...raft.MemberID) {
	s.advance(2 * election)
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

// ack acknowledges all entries up to index, without echoing a heartbeat round.
func (s *singleMember) ack(id raft.MemberID, index uint64) raft.Ready {
	return s.step(raft.Message{Kind: raft.MsgAppendReply, From: id, Term: s.status().Term, Index: index})
}

func (s *singleMember) echo(id raft.MemberID, round uint64) raft.Ready {
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

// Guards against two leaders in one term, and so the loss of a committed change: a member
// votes, crashes, restarts and votes for another candidate in the same term, because its
// first vote was sent before it was synced.
func TestVoteIsRememberedAcrossARestart(t *testing.T) {
	g := NewWithT(t)
	s := newSingleMember(t, voters(1, 2, 3))
	s.now = s.now.Add(election)
	r := s.step(raft.Message{Kind: raft.MsgVote, From: 2, Term: 5, Index: 1, LogTerm: 1})
	g.Expect(r.Messages).To(HaveLen(1))
	g.Expect(r.Messages[0].Reject).To(BeFalse())
	s.restart()
	s.now = s.now.Add(election)
	r = s.step(raft.Message{Kind: raft.MsgVote, From: 3, Term: 5, Index: 1, LogTerm: 1})
	g.Expect(r.Messages[0].Reject).To(BeTrue())
}

// Guards against stale reads: a member acknowledges a heartbeat, restarts and elects
// another leader at once, while the first leader still serves reads under its lease.
func TestRestartedMemberKeepsToTheLeaseItMayHaveGranted(t *testing.T) {
	g := NewWithT(t)
	s := newSingleMember(t, voters(1, 2, 3))
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

// After all instances of the control group were killed, no leader can be elected for the
// restart timeout, which defaults to the election timeout. A shorter one lets members elect
// a leader sooner, but leases must then be shorter than it.
func TestRestartTimeoutBoundsLeasesAndTheWaitAfterARestart(t *testing.T) {
	g := NewWithT(t)
	s := newSingleMember(t, voters(1, 2, 3))
	s.restartTimeout = election / 2
	r := s.step(raft.Message{Kind: raft.MsgHeartbeat, From: 3, Term: 2, Round: 1})
	g.Expect(r.Messages[0].Kind).To(Equal(raft.MsgHeartbeatReply))
	s.restart()
	vote := raft.Message{Kind: raft.MsgVote, From: 2, Term: 5, Index: 1, LogTerm: 1}
	s.now = s.now.Add(election/2 - 1)
	s.node.Tick(s.now)
	g.Expect(s.processReady().Messages).To(BeEmpty(), "it may have granted a lease right before it restarted")
	g.Expect(s.step(vote).Messages).To(BeEmpty())
	s.now = s.now.Add(1)
	g.Expect(s.step(vote).Messages).To(HaveLen(1))
	s.restart()
	s.now = s.now.Add(election)
	s.node.Tick(s.now)
	g.Expect(s.processReady().Messages).To(ContainElement(HaveField("Kind", raft.MsgPreVote)))

	s = newSingleMember(t, voters(1, 2, 3))
	s.restartTimeout = election / 2
	s.restart()
	s.becomeLeader(2)
	s.ack(2, s.status().Last)
	s.echo(2, roundOf(s.advance(heartbeat)))
	s.now = s.now.Add(election/2*9/10 - 1)
	g.Expect(s.node.ReadIndex(s.now, 1)).To(Succeed())
	g.Expect(s.processReady().Reads).To(HaveLen(1))
	s.now = s.now.Add(1)
	g.Expect(s.node.ReadIndex(s.now, 2)).To(Succeed())
	g.Expect(s.processReady().Reads).To(BeEmpty(), "a restarted member may vote by then")
}

// Guards against a new group that serves nobody for seconds because its founders wait for a
// leader that never existed. Only members in the founding term may skip the wait; see the
// test above.
func TestFoundersElectAtOnce(t *testing.T) {
	g := NewWithT(t)
	s := newSingleMember(t, voters(1, 2, 3))
	vote := raft.Message{Kind: raft.MsgVote, From: 2, Term: 2, Index: 1, LogTerm: 1}
	g.Expect(s.step(vote).Messages).To(HaveLen(1))
	s = newSingleMember(t, voters(1, 2, 3))
	s.now = s.now.Add(election / 2)
	s.node.Tick(s.now)
	g.Expect(s.processReady().Messages[0].Kind).To(Equal(raft.MsgPreVote))
	vote.Term = 5
	g.Expect(s.step(vote).Messages).To(HaveLen(1))
	s.restart()
	s.now = s.now.Add(election / 2)
	s.node.Tick(s.now)
	g.Expect(s.processReady().Messages).To(BeEmpty())
}

// All members restart, and the first requests of a candidate find the others not reachable or
// bound to a lease that is about to end. Callers wait for the election: it must not take another
// election timeout once a quorum could grant it.
func TestPreVoteIsRepeated(t *testing.T) {
	g := NewWithT(t)
	s := newSingleMember(t, voters(1, 2, 3), command(2, 2))
	s.restartTimeout = 2*heartbeat + 1
	s.restart()
	s.advance(2 * s.restartTimeout)
	g.Expect(s.status().Role).To(Equal(raft.PreCandidate))
	s.step(raft.Message{Kind: raft.MsgPreVoteReply, From: 2, Term: 2, Reject: true})
	g.Expect(s.status().Role).To(Equal(raft.PreCandidate))
	r := s.advance(heartbeat)
	g.Expect(kinds(r, 2)).To(ContainElement(raft.MsgPreVote))
	g.Expect(kinds(r, 3)).To(ContainElement(raft.MsgPreVote))
	g.Expect(s.status().Term).To(Equal(uint64(2)), "a pre-vote changes no term")
	s.step(raft.Message{Kind: raft.MsgPreVoteReply, From: 2, Term: 3})
	g.Expect(s.status().Role).To(Equal(raft.Candidate))
}

// Guards against disruption by a member that rejoins after a partition: it requests votes
// in a higher term, and the others adopt the term although their leader is healthy.
func TestMemberThatHearsALeaderIgnoresVotes(t *testing.T) {
	g := NewWithT(t)
	s := newSingleMember(t, voters(1, 2, 3))
	s.now = s.now.Add(2 * election)
	s.step(raft.Message{Kind: raft.MsgHeartbeat, From: 2, Term: 2, Round: 1})
	s.now = s.now.Add(election / 2)
	vote := raft.Message{Kind: raft.MsgVote, From: 3, Term: 9, Index: 1, LogTerm: 1}
	g.Expect(s.step(vote).Messages).To(BeEmpty())
	g.Expect(s.status().Term).To(Equal(uint64(2)))
	vote.Transfer = true
	g.Expect(s.step(vote).Messages).To(HaveLen(1), "the leader itself asked for this vote")
}

func TestMemberThatIsCutOffDoesNotRaiseItsTerm(t *testing.T) {
	s := newSingleMember(t, voters(1, 2, 3))
	for range 20 {
		s.advance(2 * election)
	}
	NewWithT(t).Expect(s.status().Term).To(Equal(uint64(1)))
}

// Guards against the loss of acknowledged entries: a delayed append or snapshot that ends
// before them arrives, and the member truncates its log at the end of the delayed message.
func TestLateMessagesDoNotCutAcknowledgedEntries(t *testing.T) {
	g := NewWithT(t)
	s := newSingleMember(t, voters(1, 2, 3))
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

// Guards against the loss of a committed change: a leader counts an entry of an earlier
// term as committed because it is on a quorum, and fails; then a leader with a newer entry
// in its place is elected. This is figure 8 of the Raft paper.
func TestEntriesOfEarlierTermsDoNotCommitByCount(t *testing.T) {
	g := NewWithT(t)
	s := newSingleMember(t, voters(1, 2, 3), command(2, 2))
	s.becomeLeader(2)
	s.ack(2, 2)
	g.Expect(s.status().Commit).To(Equal(uint64(1)))
	s.ack(2, 3)
	g.Expect(s.status().Commit).To(Equal(uint64(3)))
}

// Guards against a split group with two configurations: two members are changed at once,
// and the quorums of the first and the last membership do not overlap.
func TestOneChangeOfMembersAtATime(t *testing.T) {
	g := NewWithT(t)
	s := newSingleMember(t, voters(1, 2, 3))
	s.becomeLeader(2)
	_, err := s.node.Remove(s.now, 3)
	g.Expect(fault.CodeOf(err)).To(Equal(fault.NotRun), "a change by an earlier leader may still take effect")
	s.ack(2, 2)
	_, err = s.node.AddLearner(s.now, 4, "d", "")
	g.Expect(err).NotTo(HaveOccurred())
	s.processReady()
	_, err = s.node.Remove(s.now, 3)
	g.Expect(fault.CodeOf(err)).To(Equal(fault.NotRun))
	s.ack(2, 3)
	_, err = s.node.Remove(s.now, 3)
	g.Expect(err).NotTo(HaveOccurred())
}

// Guards against a group that stops when one more instance fails right after a repair was
// reported as done, because the new member votes but has not synced the log yet.
func TestLearnerIsPromotedOnlyWhenSynced(t *testing.T) {
	g := NewWithT(t)
	s := newSingleMember(t, voters(1))
	s.advance(2 * election)
	g.Expect(s.status().Role).To(Equal(raft.Leader))
	_, err := s.node.AddLearner(s.now, 2, "b", "")
	g.Expect(err).NotTo(HaveOccurred())
	r := s.processReady()
	g.Expect(kinds(r, 2)).To(ContainElement(raft.MsgAppend), "a new member receives the log without further proposals")
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
	s := newSingleMember(t, voters(1, 2, 3))
	change := raft.Entry{Index: 2, Term: 2, Kind: raft.EntryMembers, Members: voters(1, 2, 3, 4)}
	s.step(raft.Message{Kind: raft.MsgAppend, From: 2, Term: 2, Index: 1, LogTerm: 1, Entries: []raft.Entry{change}})
	g.Expect(s.status().Members).To(HaveLen(4))
	s.step(raft.Message{Kind: raft.MsgAppend, From: 3, Term: 3, Index: 1, LogTerm: 1, Entries: []raft.Entry{command(2, 3)}})
	g.Expect(s.status().Members).To(HaveLen(3))
}

func TestRemovedLeaderStepsDown(t *testing.T) {
	g := NewWithT(t)
	s := newSingleMember(t, voters(1, 2))
	s.becomeLeader(2)
	s.ack(2, 2)
	_, err := s.node.Remove(s.now, 1)
	g.Expect(err).NotTo(HaveOccurred())
	s.ack(2, 3)
	g.Expect(s.status().Role).To(Equal(raft.Follower))
}

// Guards against a partitioned leader that still reports itself as leader, so that changes
// sent to it hang: it no longer hears from a quorum.
func TestLeaderThatHearsNoQuorumStepsDown(t *testing.T) {
	g := NewWithT(t)
	s := newSingleMember(t, voters(1, 2, 3))
	s.becomeLeader(2)
	for range 9 {
		s.advance(heartbeat)
	}
	g.Expect(s.status().Role).To(Equal(raft.Leader))
	s.advance(heartbeat)
	g.Expect(s.status().Role).To(Equal(raft.Follower))
	_, _, err := s.node.Propose(s.now, nil)
	g.Expect(fault.CodeOf(err)).To(Equal(fault.NotRun))
}

// Guards against stale reads: a leader is suspended or partitioned, another one is elected,
// and the first answers a read under a lease that has expired or was revoked by a
// leadership transfer.
func TestReadsUnderTheLease(t *testing.T) {
	g := NewWithT(t)
	s := newSingleMember(t, voters(1, 2, 3))
	s.becomeLeader(2)
	s.ack(2, 2)
	round := roundOf(s.advance(heartbeat))
	s.echo(2, round)
	read := func(context uint64) raft.Ready {
		g.Expect(s.node.ReadIndex(s.now, context)).To(Succeed())
		return s.processReady()
	}
	g.Expect(read(1).Reads).To(HaveLen(1), "under the lease")
	s.now = s.now.Add(95 * election / 100)
	r := read(2)
	g.Expect(r.Reads).To(BeEmpty(), "the lease has expired, allowing for clock drift")
	g.Expect(s.echo(2, roundOf(r)-1).Reads).To(BeEmpty(), "an echo of an earlier round proves nothing")
	g.Expect(s.echo(2, roundOf(r)).Reads).To(HaveLen(1))

	g.Expect(s.node.Transfer(s.now, 3)).To(Succeed())
	s.processReady()
	g.Expect(read(3).Reads).To(BeEmpty())
	s.echo(2, roundOf(s.advance(heartbeat)))
	s.now = s.now.Add(election / 2)
	s.echo(2, roundOf(s.advance(heartbeat)))
	g.Expect(read(4).Reads).To(BeEmpty(), "MsgTimeoutNow may still be in flight")
}

// Guards against instances that run out of memory and links between instances that break
// repeatedly: operators confirm large intents while the group has no quorum, or a member
// lags behind by many of them.
func TestLargeEntriesAreBounded(t *testing.T) {
	g := NewWithT(t)
	s := newSingleMember(t, voters(1, 2, 3))
	s.becomeLeader(2)
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
	g.Expect(err).NotTo(HaveOccurred(), "the commit freed capacity")
	for _, m := range append(r.Messages, s.ack(3, 2).Messages...) {
		g.Expect(len(m.Entries)).To(BeNumerically("<=", 1))
	}
}
