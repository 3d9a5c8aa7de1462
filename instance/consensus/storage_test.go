package consensus

import (
	"math/rand"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/comfreyladder/comfreyladder/core/fault"
	"github.com/comfreyladder/comfreyladder/core/raft"
	"github.com/comfreyladder/comfreyladder/core/raft/founding"
	"github.com/comfreyladder/comfreyladder/instance/disk/disktest"
)

var epoch = time.Unix(1000, 0)

var founder = &Identity{ID: 1, Name: "a", Cluster: "c", Founding: founding.State{Phase: founding.Founded,
	Charter: founding.Charter{Cluster: "c", Members: raft.Members{{ID: 1, Name: "a", Voter: true}}}}}

func openOn(t *testing.T, fs *disktest.Memory) *storage {
	t.Helper()
	s, err := openStorage(fs, "d", founder)
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	_, err = raft.New(epoch, raft.Config{ID: 1, Cluster: "c", Rand: rand.New(rand.NewSource(1))}, s.hard, s.snap, s.entries)
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	return s
}

func entries(term, from, to uint64, size int) []raft.Entry {
	var out []raft.Entry
	for i := from; i <= to; i++ {
		out = append(out, raft.Entry{Index: i, Term: term, Kind: raft.EntryCommand, Data: make([]byte, size)})
	}
	return out
}

func write(s *storage, term uint64, vote raft.MemberID, list ...raft.Entry) error {
	return s.persist(&raft.Ready{HardState: raft.HardState{Term: term, Vote: vote}, HardStateChanged: true, Entries: list})
}

// Guards against a member that votes twice in one term, and so against the loss of a
// confirmed change, because the record of its vote was in a truncated part of the log.
func TestVoteSurvivesTruncation(t *testing.T) {
	g := NewWithT(t)
	fs := disktest.NewMemory()
	s := openOn(t, fs)
	g.Expect(write(s, 7, 3)).To(Succeed())
	for i := range uint64(6) {
		g.Expect(s.persist(&raft.Ready{HardState: s.hard, Entries: entries(7, 2+i, 2+i, 3<<20)})).To(Succeed())
	}
	g.Expect(s.saveSnapshot(raft.Snapshot{Index: 7, Term: 7, Members: founder.Founding.Charter.Members})).To(Succeed())
	g.Expect(s.truncate(8)).To(Succeed())
	fs.Crash(0)
	names, _ := fs.List("d/wal")
	g.Expect(len(names)).To(BeNumerically("<", 3), "the log was truncated")
	again := openOn(t, fs)
	g.Expect(again.hard).To(Equal(raft.HardState{Term: 7, Vote: 3}))
}

// Guards against a member that does not start, or keeps entries that the group never
// committed, after a power failure at any of the syncs while it installs a leader's
// snapshot.
func TestSnapshotOfALeaderReplacesTheLog(t *testing.T) {
	g := NewWithT(t)
	for failAt := range 8 {
		fs := disktest.NewMemory()
		s := openOn(t, fs)
		g.Expect(write(s, 1, 0, entries(1, 2, 10, 1)...)).To(Succeed())
		syncs := 0
		fs.SetSyncFails(func(string) error {
			if syncs++; syncs > failAt {
				return fault.New(fault.Unavailable, "power failed")
			}
			return nil
		})
		err := s.persist(&raft.Ready{HardState: raft.HardState{Term: 3}, HardStateChanged: true,
			Snapshot: &raft.Snapshot{Index: 5, Term: 3, Members: founder.Founding.Charter.Members}, Entries: entries(3, 6, 7, 1)})
		fs.SetSyncFails(nil)
		fs.Crash(0)
		again := openOn(t, fs)
		switch {
		case err == nil:
			g.Expect(again.snap.Index).To(Equal(uint64(5)))
			g.Expect(again.entries).To(HaveLen(2))
			g.Expect(again.entries[1].Term).To(Equal(uint64(3)))
		case again.snap.Index == 5:
			g.Expect(again.entries).To(BeEmpty(), "the local entry 5 conflicts with the snapshot")
		default:
			g.Expect(again.entries).To(HaveLen(9))
		}
	}
}

func TestReplacedEntriesStayReplaced(t *testing.T) {
	g := NewWithT(t)
	fs := disktest.NewMemory()
	s := openOn(t, fs)
	g.Expect(write(s, 1, 0, entries(1, 2, 6, 1)...)).To(Succeed())
	g.Expect(write(s, 2, 0, entries(2, 4, 4, 1)...)).To(Succeed())
	again := openOn(t, fs)
	g.Expect(again.entries).To(HaveLen(3))
	g.Expect(again.entries[2].Term).To(Equal(uint64(2)))
}
