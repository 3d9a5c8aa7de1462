package consensus

import (
	"math/rand"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/comfreyladder/comfreyladder/core/control"
	"github.com/comfreyladder/comfreyladder/core/raft"
	"github.com/comfreyladder/comfreyladder/instance/disk/disktest"
)

type recorder struct{ sent []raft.Message }

func (r *recorder) Send(_ raft.MemberID, m raft.Message) { r.sent = append(r.sent, m) }

// Guards against a repaired instance that never catches up because its snapshot exceeds
// the message size: the parts arrive late, duplicated and reordered, with parts of an
// older snapshot in between.
func TestSnapshotIsReassembledFromParts(t *testing.T) {
	g := NewWithT(t)
	s := &Service{store: openOn(t, disktest.NewMemory())}
	var sent [2][]raft.Message
	var data []byte
	rnd := rand.New(rand.NewSource(1))
	for i := range sent {
		data = make([]byte, 3*snapshotPartLen+17)
		_, _ = rnd.Read(data)
		g.Expect(s.store.saveSnapshot(raft.Snapshot{Index: uint64(10 + i), Term: 1, Data: data})).To(Succeed())
		out := &recorder{}
		s.cfg.Transport = out
		g.Expect(s.sendSnapshot(raft.Message{Kind: raft.MsgSnapshot, Term: 4, Round: 9, Snapshot: &raft.Snapshot{}})).To(Succeed())
		sent[i] = out.sent
	}
	g.Expect(sent[1]).To(HaveLen(4))
	var p snapshotAssembler
	feed := append([]raft.Message{sent[1][2], sent[0][0], sent[0][3]}, sent[1][3], sent[1][0], sent[1][0], sent[1][2])
	for _, m := range feed {
		_, complete := p.add(roundTrip(t, m))
		g.Expect(complete).To(BeFalse())
	}
	whole, complete := p.add(roundTrip(t, sent[1][1]))
	g.Expect(complete).To(BeTrue())
	g.Expect(whole.Kind).To(Equal(raft.MsgSnapshot))
	g.Expect(whole.Round).To(Equal(uint64(9)))
	g.Expect(whole.Snapshot.Index).To(Equal(uint64(11)))
	g.Expect(whole.Snapshot.Data).To(Equal(data))
}

func roundTrip(t *testing.T, m raft.Message) raft.Message {
	t.Helper()
	b, err := control.Marshal(&m)
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	var out raft.Message
	NewWithT(t).Expect(control.Unmarshal(b, &out)).To(Succeed())
	NewWithT(t).Expect(out).To(Equal(m))
	return out
}

func TestMessagesRoundTrip(t *testing.T) {
	roundTrip(t, raft.Message{Kind: raft.MsgAppend, Cluster: "c", From: 1 << 63, To: 2, Term: 3, Index: 4, LogTerm: 5, Commit: 6, Round: 7, Transfer: true,
		Entries: []raft.Entry{{Index: 5, Term: 3, Timestamp: -1, Kind: raft.EntryMembers, Data: []byte{1}, Members: raft.Members{{ID: 9, Name: "a", Voter: true}}}}})
	roundTrip(t, raft.Message{Kind: raft.MsgVoteReply, Cluster: "c", From: 1, To: 2, Term: 3, Reject: true, Hint: 8, Context: 1 << 62})
}
