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

var trio = []string{"a", "b", "c"}

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func smallSnapshots(c *consensus.Config) { c.SnapshotEvery, c.Tail = 20, 5 }

// What a user would see: after a maintenance night a confirmed change is missing.
// What happens: hundreds of changes, with snapshots and truncation on the way,
// then all members crash and restart, in any order. Cause: something was
// acknowledged that was not synced, or the log was truncated too far.
func TestHundredsOfChangesSurviveRestartsInAnyOrder(t *testing.T) {
	gm := NewWithT(t)
	g := newGroup(t, smallSnapshots, trio...)
	rnd := rand.New(rand.NewSource(7))
	var first revision.Answer
	const changes = 300
	for i := range uint64(changes) {
		a := g.insist(trio[rnd.Intn(3):], revision.Confirm{Operator: "ada", Number: i + 1, Base: i, Document: document(float64(i) / 1000)})
		gm.Expect(a.Outcome).To(Equal(revision.Accepted))
		gm.Expect(a.Record.Revision).To(Equal(i + 1))
		if i == 0 {
			first = a
		}
		if i%60 == 59 {
			name := trio[rnd.Intn(3)]
			g.crash(name)
			g.start(name)
		}
	}
	for _, name := range trio {
		g.crash(name)
	}
	for _, i := range rnd.Perm(3) {
		g.start(trio[i])
	}
	again := g.insist(trio, revision.Confirm{Operator: "ada", Number: 1, Base: 0, Document: document(0)})
	gm.Expect(again.Outcome).To(Equal(revision.Accepted))
	gm.Expect(again.Record).To(Equal(first.Record), "a resend gets its first answer")
	for _, name := range trio {
		gm.Eventually(func() uint64 { return g.revisionAt(name) }).WithTimeout(patience).Should(Equal(uint64(changes)))
		gm.Expect(g.running(name).Status().Snapshot).To(BeNumerically(">", 200), "the log was truncated")
	}
}

// What a user would see: right after a repair was reported done, a second
// instance fails, and confirmed changes are gone or nothing can be confirmed.
// What happens: a disk is replaced, the newcomer is promoted, another disk is
// lost. Cause: the newcomer got its vote before it had the log, or the wiped disk
// voted under its old name.
func TestRepairThenSecondLoss(t *testing.T) {
	gm := NewWithT(t)
	g := newGroup(t, smallSnapshots, trio...)
	var revisions uint64
	change := func(names ...string) {
		a := g.insist(names, revision.Confirm{Operator: "ada", Number: revisions + 1, Base: revisions, Document: document(float64(revisions) / 1000)})
		gm.Expect(a.Outcome).To(Equal(revision.Accepted))
		revisions++
	}
	for range 50 {
		change(trio...)
	}
	for _, name := range []string{"c", "a"} {
		lost, fresh := g.replaceDisk(name)
		gm.Expect(fresh).NotTo(Equal(lost))
		var rest []string
		for _, n := range trio {
			if n != name {
				rest = append(rest, n)
			}
		}
		for range 3 {
			change(rest...)
		}
		g.onLeader(func(ctx context.Context, s *consensus.Service) error { return s.Remove(ctx, lost) }, fault.NotFound)
		g.onLeader(func(ctx context.Context, s *consensus.Service) error { return s.AddLearner(ctx, fresh, name) }, fault.Conflict)
		g.onLeader(func(ctx context.Context, s *consensus.Service) error { return s.Promote(ctx, fresh) }, fault.Conflict)
		gm.Expect(g.revisionAt(name)).To(BeNumerically(">", 0), "promoted only with the state synced")
	}
	g.stop("b")
	change("a", "c")
	for _, name := range []string{"a", "c"} {
		gm.Eventually(func() uint64 { return g.revisionAt(name) }).WithTimeout(patience).Should(Equal(revisions))
	}
}

// onLeader does something at the leader until it is done; done says by which
// failure a repetition learns that it was done before.
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
	}).WithTimeout(patience).WithPolling(10*time.Millisecond).Should(Succeed(), g.String)
}

// What a user would see: an operator is told that a change was not made, yet it
// is in force. What happens: the leader is cut off in silence, takes a proposal,
// another leader is elected. Cause: "not run" is said without proof.
func TestProposalAtALeaderThatIsCutOff(t *testing.T) {
	gm := NewWithT(t)
	g := newGroup(t, func(c *consensus.Config) { c.Timeout = time.Second }, trio...)
	g.insist(trio, revision.Confirm{Operator: "ada", Number: 1, Document: document(0)})
	old, rest := g.proposeWhileCutOff(revision.Confirm{Operator: "ada", Number: 2, Base: 1, Document: document(0.2)})
	gm.Expect(g.running(old).Status().Role).NotTo(Equal(raft.Leader), "check-quorum")
	_, err := g.confirm(old, revision.Confirm{Operator: "ada", Number: 3, Base: 1, Document: document(0.3)})
	gm.Expect(fault.CodeOf(err)).To(Equal(fault.NotRun))
	_, err = g.running(old).Read(context.Background())
	gm.Expect(fault.CodeOf(err)).To(Equal(fault.Unavailable))
	won := g.insist(rest, revision.Confirm{Operator: "bo", Number: 2, Base: 1, Document: document(0.4)})
	gm.Expect(won.Outcome).To(Equal(revision.Accepted))
	g.setNetwork(0)
	lost := g.insist([]string{old}, revision.Confirm{Operator: "ada", Number: 2, Base: 1, Document: document(0.2)})
	gm.Expect(lost.Outcome).To(Equal(revision.NumberTaken))
	gm.Expect(lost.Record.Operator).To(Equal("bo"))
	_, err = g.running(old).Read(context.Background())
	gm.Expect(err).NotTo(HaveOccurred())
	gm.Expect(g.revisionAt(old)).To(Equal(uint64(2)))
}

// proposeWhileCutOff cuts the leader off, proposes there and returns who it was,
// and the others. When the leader changed right before the cut, it tries again.
func (g *group) proposeWhileCutOff(c revision.Confirm) (old string, rest []string) {
	NewWithT(g.tb).Eventually(func() fault.Code {
		g.setNetwork(0)
		old, rest = g.awaitLeader(), nil
		var cuts []string
		for _, n := range trio {
			if n != old {
				cuts = append(cuts, old+">"+n, n+">"+old)
				rest = append(rest, n)
			}
		}
		g.setNetwork(0, cuts...)
		_, err := g.confirm(old, c)
		return fault.CodeOf(err)
	}).WithTimeout(patience).Should(Equal(fault.OutcomeUnknown))
	return old, rest
}

// What a user would see: confirmed changes are gone after a power failure. What
// happens: a member's disk fails a sync and the member goes on. Cause: the sync
// is tried again, or its failure is passed over.
func TestFailedSyncStopsTheMember(t *testing.T) {
	gm := NewWithT(t)
	g := newGroup(t, nil, trio...)
	g.insist(trio, revision.Confirm{Operator: "ada", Number: 1, Document: document(0)})
	old := g.awaitLeader()
	service := g.running(old)
	g.members[old].fs.(*disktest.Memory).SetSyncFails(func(string) error { return fault.New(fault.Unavailable, "input/output error") })
	_, err := g.confirm(old, revision.Confirm{Operator: "ada", Number: 2, Base: 1, Document: document(0.2)})
	gm.Expect(fault.CodeOf(err)).To(Equal(fault.OutcomeUnknown))
	gm.Eventually(g.members[old].fatal).WithTimeout(patience).Should(Receive(MatchError(ContainSubstring("input/output error"))))
	gm.Expect(service.Status().Err).To(HaveOccurred())
	_, _, err = service.Propose(context.Background(), revision.Name, nil)
	gm.Expect(fault.CodeOf(err)).To(Equal(fault.NotRun))
	g.stop(old)
	var rest []string
	for _, n := range trio {
		if n != old {
			rest = append(rest, n)
		}
	}
	gm.Expect(g.insist(rest, revision.Confirm{Operator: "ada", Number: 2, Base: 1, Document: document(0.2)}).Outcome).To(Equal(revision.Accepted))
}

// What a user would see: an instance whose data folder was partly wiped votes a
// stale leader in. What happens: the identity file goes, the log stays, or the
// whole folder goes. Cause: the folder takes its old ID again.
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

// What a user would see: each planned restart of an instance stalls all changes
// for an election. What happens: the leader stops without handing over.
func TestDrainHandsTheLeadershipOver(t *testing.T) {
	gm := NewWithT(t)
	g := newGroup(t, func(c *consensus.Config) { c.ElectionTimeout, c.Timeout = 2*time.Second, patience }, trio...)
	old := g.awaitLeader()
	g.insist(trio, revision.Confirm{Operator: "ada", Number: 1, Document: document(0)})
	term := g.running(old).Status().Term
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	gm.Expect(g.running(old).Drain(ctx)).To(Succeed())
	gm.Eventually(g.leader).WithTimeout(patience).ShouldNot(Or(BeEmpty(), Equal(old)))
	gm.Expect(g.running(g.leader()).Status().Term).To(BeNumerically(">", term))
	g.stop(old)
	gm.Expect(g.insist([]string{g.leader()}, revision.Confirm{Operator: "ada", Number: 2, Base: 1, Document: document(0.1)}).Outcome).To(Equal(revision.Accepted))
}
