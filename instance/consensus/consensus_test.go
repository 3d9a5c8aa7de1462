package consensus_test

import (
	"context"
	"math/rand"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"go.uber.org/goleak"

	"github.com/comfreyladder/comfreyladder/core/control/revision"
	"github.com/comfreyladder/comfreyladder/core/fault"
	"github.com/comfreyladder/comfreyladder/core/raft"
	"github.com/comfreyladder/comfreyladder/instance/consensus"
	"github.com/comfreyladder/comfreyladder/instance/disk/disktest"
)

var memberNames = []string{"a", "b", "c"}

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func smallSnapshots(c *consensus.Config) { c.SnapshotEvery, c.Tail = 20, 5 }

// Guards against the loss of confirmed changes when all members crash and restart, in
// any order, after hundreds of changes with snapshots and log truncation: a change was
// acknowledged before it was synced, or the log was truncated too far.
func TestHundredsOfChangesSurviveRestartsInAnyOrder(t *testing.T) {
	gm := NewWithT(t)
	g := newGroup(t, smallSnapshots, memberNames...)
	rnd := rand.New(rand.NewSource(7))
	var first revision.Answer
	const changes = 300
	for i := range uint64(changes) {
		a := g.confirmUntilAnswered(memberNames[rnd.Intn(3):], revision.Confirm{Operator: "ada", Number: i + 1, Base: i, Document: document(float64(i) / 1000)})
		gm.Expect(a.Outcome).To(Equal(revision.Accepted))
		gm.Expect(a.Record.Revision).To(Equal(i + 1))
		if i == 0 {
			first = a
		}
		if i%60 == 59 {
			name := memberNames[rnd.Intn(3)]
			g.crash(name)
			g.start(name)
		}
	}
	for _, name := range memberNames {
		g.crash(name)
	}
	for _, i := range rnd.Perm(3) {
		g.start(memberNames[i])
	}
	again := g.confirmUntilAnswered(memberNames, revision.Confirm{Operator: "ada", Number: 1, Base: 0, Document: document(0)})
	gm.Expect(again.Outcome).To(Equal(revision.Accepted))
	gm.Expect(again.Record).To(Equal(first.Record), "a repeated confirm gets the original answer")
	for _, name := range memberNames {
		gm.Eventually(func() uint64 { return g.revisionAt(name) }).WithTimeout(testTimeout).Should(Equal(uint64(changes)))
		gm.Expect(g.running(name).Status().Snapshot).To(BeNumerically(">", 200), "the log was truncated")
	}
}

// Guards against lost changes or a lost quorum when a disk is replaced, the new member
// is promoted, and then another disk is lost: the new member became a voter before it
// had the log, or the wiped disk voted under its old ID.
func TestRepairThenSecondLoss(t *testing.T) {
	gm := NewWithT(t)
	g := newGroup(t, smallSnapshots, memberNames...)
	var revisions uint64
	change := func(names ...string) {
		a := g.confirmUntilAnswered(names, revision.Confirm{Operator: "ada", Number: revisions + 1, Base: revisions, Document: document(float64(revisions) / 1000)})
		gm.Expect(a.Outcome).To(Equal(revision.Accepted))
		revisions++
	}
	for range 50 {
		change(memberNames...)
	}
	for _, name := range []string{"c", "a"} {
		lost, fresh := g.replaceDisk(name)
		gm.Expect(fresh).NotTo(Equal(lost))
		var rest []string
		for _, n := range memberNames {
			if n != name {
				rest = append(rest, n)
			}
		}
		for range 3 {
			change(rest...)
		}
		g.onLeader(func(ctx context.Context, s *consensus.Service) error { return s.Remove(ctx, lost) }, fault.NotFound)
		g.onLeader(func(ctx context.Context, s *consensus.Service) error { return s.AddLearner(ctx, fresh, name, "") }, fault.Conflict)
		g.onLeader(func(ctx context.Context, s *consensus.Service) error { return s.Promote(ctx, fresh) }, fault.Conflict)
		gm.Expect(g.revisionAt(name)).To(BeNumerically(">", 0), "promoted only after it has applied the state")
	}
	g.stop("b")
	change("a", "c")
	for _, name := range []string{"a", "c"} {
		gm.Eventually(func() uint64 { return g.revisionAt(name) }).WithTimeout(testTimeout).Should(Equal(revisions))
	}
}

// onLeader calls f on the leader until it succeeds; done is the error code with which
// a repeated call fails after an earlier one took effect.
func (g *group) onLeader(f func(context.Context, *consensus.Service) error, done fault.Code) {
	NewWithT(g.tb).Eventually(func() error {
		s := g.running(g.awaitLeader())
		if s == nil {
			return context.Canceled
		}
		err := f(context.Background(), s)
		if fault.CodeOf(err) == done {
			return nil
		}
		return err
	}).WithTimeout(testTimeout).WithPolling(10*time.Millisecond).Should(Succeed(), g.String)
}

// Guards against a change that is reported as not run but takes effect: the leader is
// partitioned without an error, accepts a proposal, and another leader is elected.
func TestProposalAtPartitionedLeader(t *testing.T) {
	gm := NewWithT(t)
	g := newGroup(t, func(c *consensus.Config) { c.Timeout = time.Second }, memberNames...)
	g.confirmUntilAnswered(memberNames, revision.Confirm{Operator: "ada", Number: 1, Document: document(0)})
	old, rest := g.proposeWhilePartitioned(revision.Confirm{Operator: "ada", Number: 2, Base: 1, Document: document(0.2)})
	gm.Expect(g.running(old).Status().Role).NotTo(Equal(raft.Leader), "check-quorum")
	_, err := g.confirm(old, revision.Confirm{Operator: "ada", Number: 3, Base: 1, Document: document(0.3)})
	gm.Expect(fault.CodeOf(err)).To(Equal(fault.NotRun))
	_, err = g.running(old).Read(context.Background())
	gm.Expect(fault.CodeOf(err)).To(Equal(fault.Unavailable))
	won := g.confirmUntilAnswered(rest, revision.Confirm{Operator: "bo", Number: 2, Base: 1, Document: document(0.4)})
	gm.Expect(won.Outcome).To(Equal(revision.Accepted))
	g.setNetwork(0)
	lost := g.confirmUntilAnswered([]string{old}, revision.Confirm{Operator: "ada", Number: 2, Base: 1, Document: document(0.2)})
	gm.Expect(lost.Outcome).To(Equal(revision.NumberTaken))
	gm.Expect(lost.Record.Operator).To(Equal("bo"))
	_, err = g.running(old).Read(context.Background())
	gm.Expect(err).NotTo(HaveOccurred())
	gm.Expect(g.revisionAt(old)).To(Equal(uint64(2)))
}

// proposeWhilePartitioned partitions the leader, proposes through it, and returns its name
// and those of the others. It retries when the leader changed right before the
// partition.
func (g *group) proposeWhilePartitioned(c revision.Confirm) (old string, rest []string) {
	NewWithT(g.tb).Eventually(func() fault.Code {
		g.setNetwork(0)
		old, rest = g.awaitLeader(), nil
		var cuts []string
		for _, n := range memberNames {
			if n != old {
				cuts = append(cuts, old+">"+n, n+">"+old)
				rest = append(rest, n)
			}
		}
		g.setNetwork(0, cuts...)
		_, err := g.confirm(old, c)
		return fault.CodeOf(err)
	}).WithTimeout(testTimeout).Should(Equal(fault.OutcomeUnknown))
	return old, rest
}

// Guards against the loss of confirmed changes at a power failure when a member keeps
// running after a failed sync, by retrying it or ignoring the failure.
func TestFailedSyncStopsTheMember(t *testing.T) {
	gm := NewWithT(t)
	g := newGroup(t, nil, memberNames...)
	g.confirmUntilAnswered(memberNames, revision.Confirm{Operator: "ada", Number: 1, Document: document(0)})
	old := g.awaitLeader()
	service := g.running(old)
	g.members[old].fs.(*disktest.Memory).SetSyncFails(func(string) error { return fault.New(fault.Unavailable, "input/output error") })
	_, err := g.confirm(old, revision.Confirm{Operator: "ada", Number: 2, Base: 1, Document: document(0.2)})
	gm.Expect(fault.CodeOf(err)).To(Equal(fault.OutcomeUnknown))
	gm.Eventually(g.members[old].fatal).WithTimeout(testTimeout).Should(Receive(MatchError(ContainSubstring("input/output error"))))
	gm.Expect(service.Status().Err).To(HaveOccurred())
	_, _, err = service.Propose(context.Background(), revision.Name, nil)
	gm.Expect(fault.CodeOf(err)).To(Equal(fault.NotRun))
	g.stop(old)
	var rest []string
	for _, n := range memberNames {
		if n != old {
			rest = append(rest, n)
		}
	}
	gm.Expect(g.confirmUntilAnswered(rest, revision.Confirm{Operator: "ada", Number: 2, Base: 1, Document: document(0.2)}).Outcome).To(Equal(revision.Accepted))
}

// Guards against a wiped disk that votes under its old ID and so can elect a stale
// leader: the whole data folder is lost, or only the identity file while the log stays.
func TestWipedDiskIsANewMember(t *testing.T) {
	gm := NewWithT(t)
	fs := disktest.NewMemory()
	id, err := consensus.Initialise(fs, "data", 5, "a")
	gm.Expect(err).NotTo(HaveOccurred())
	again, err := consensus.Initialise(fs, "data", 6, "a")
	gm.Expect(err).NotTo(HaveOccurred())
	gm.Expect(again.ID).To(Equal(id.ID))
	wiped, err := consensus.Initialise(disktest.NewMemory(), "data", 6, "a")
	gm.Expect(err).NotTo(HaveOccurred())
	gm.Expect(wiped.ID).NotTo(Equal(id.ID))
	f, err := fs.Create("data/wal/0000000000000000.wal")
	gm.Expect(err).NotTo(HaveOccurred())
	gm.Expect(f.Close()).To(Succeed())
	gm.Expect(fs.Remove("data/identity")).To(Succeed())
	_, err = consensus.Initialise(fs, "data", 7, "a")
	gm.Expect(fault.CodeOf(err)).To(Equal(fault.Corrupt))
}

// Guards against planned restarts that block all changes for an election timeout
// because the leader stops without a leadership transfer.
func TestDrainHandsTheLeadershipOver(t *testing.T) {
	gm := NewWithT(t)
	g := newGroup(t, func(c *consensus.Config) { c.ElectionTimeout, c.Timeout = 2*time.Second, testTimeout }, memberNames...)
	old := g.awaitLeader()
	g.confirmUntilAnswered(memberNames, revision.Confirm{Operator: "ada", Number: 1, Document: document(0)})
	term := g.running(old).Status().Term
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	gm.Expect(g.running(old).Drain(ctx)).To(Succeed())
	gm.Eventually(g.leader).WithTimeout(testTimeout).ShouldNot(Or(BeEmpty(), Equal(old)))
	gm.Expect(g.running(g.leader()).Status().Term).To(BeNumerically(">", term))
	g.stop(old)
	gm.Expect(g.confirmUntilAnswered([]string{g.leader()}, revision.Confirm{Operator: "ada", Number: 2, Base: 1, Document: document(0.1)}).Outcome).To(Equal(revision.Accepted))
}
