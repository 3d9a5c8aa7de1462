package consensus_test

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/comfreyladder/comfreyladder/core/control"
	"github.com/comfreyladder/comfreyladder/core/fault"
	"github.com/comfreyladder/comfreyladder/core/raft"
	"github.com/comfreyladder/comfreyladder/instance/consensus"
	"github.com/comfreyladder/comfreyladder/instance/disk/disktest"
)

const tallyName = "tally"

// tally counts how often each command was applied.
type tally struct{ counts map[string]int }

func (c *tally) Apply(_ uint64, _ time.Time, data []byte) []byte {
	c.counts[string(data)]++
	return data
}

func (c *tally) Snapshot() ([]byte, error) { return control.Marshal(c.counts) }

func (c *tally) Restore(b []byte) error {
	c.counts = map[string]int{}
	return control.Unmarshal(b, &c.counts)
}

func withTally(c *consensus.Config) {
	smallSnapshots(c)
	c.Timeout = 300 * time.Millisecond
	c.Mux = control.NewMux(map[string]control.Machine{tallyName: &tally{counts: map[string]int{}}})
}

func (g *group) tallyAt(name string) map[string]int {
	out := map[string]int{}
	g.running(name).View(func(_ uint64, m *control.Mux) {
		for k, v := range m.Machine(tallyName).(*tally).counts {
			out[k] = v
		}
	})
	return out
}

// What a user would see: a command that was reported as not run has run, or one
// has run twice. What happens: proposals go through all members while messages
// are lost, late and doubled and leaders change. Cause: a doubled or late
// proposal is appended again, or an attempt is repeated that may still commit.
func TestProposalsAreAppliedAtMostOnce(t *testing.T) {
	gm := NewWithT(t)
	g := newGroup(t, withTally, trio...)
	var mu sync.Mutex
	codes := map[string]fault.Code{}
	done := make(chan struct{})
	var clients sync.WaitGroup
	for client := range 6 {
		clients.Add(1)
		go func() {
			defer clients.Done()
			for i := 0; !closed(done); i++ {
				s := g.running(trio[(client+i)%3])
				if s == nil {
					time.Sleep(time.Millisecond)
					continue
				}
				key := fmt.Sprint(client, "/", i)
				_, _, err := s.Propose(context.Background(), tallyName, []byte(key))
				mu.Lock()
				codes[key] = fault.CodeOf(err)
				mu.Unlock()
			}
		}()
	}
	g.torment(30)
	close(done)
	clients.Wait()
	g.setNetwork(0)
	gm.Eventually(func() error {
		_, err := g.running("a").Read(context.Background())
		return err
	}).WithTimeout(patience).Should(Succeed())
	counts := g.tallyAt("a")
	seen := map[fault.Code]int{}
	for key, code := range codes {
		seen[code]++
		gm.Expect(counts[key]).To(BeNumerically("<=", 1), key)
		switch code {
		case "":
			gm.Expect(counts[key]).To(Equal(1), key)
		case fault.NotRun:
			gm.Expect(counts[key]).To(Equal(0), key)
		}
	}
	t.Logf("outcomes: %v", seen)
	gm.Expect(seen[""]).To(BeNumerically(">", 50))
}

// The same with messages made by hand: a doubled proposal, and one of another term.
func TestForwardedProposalCountsOnceAndInItsTermOnly(t *testing.T) {
	gm := NewWithT(t)
	g := newGroup(t, withTally, "a")
	g.awaitLeader()
	s := g.running("a")
	st := s.Status()
	payload := func(key string) []byte {
		b, _ := control.Marshal(&control.Command{Machine: tallyName, Request: key, Data: []byte(key)})
		return b
	}
	m := raft.Message{Kind: raft.MsgPropose, Cluster: g.cluster, From: 99, To: st.ID, Term: st.Term, Context: 1000, Data: payload("twice")}
	s.Deliver(m)
	s.Deliver(m)
	m.Context, m.Term, m.Data = 1001, st.Term-1, payload("late")
	s.Deliver(m)
	gm.Eventually(func() map[string]int { return g.tallyAt("a") }).WithTimeout(patience).Should(HaveKey("twice"))
	_, _, err := s.Propose(context.Background(), tallyName, []byte("last"))
	gm.Expect(err).NotTo(HaveOccurred())
	gm.Expect(g.tallyAt("a")).To(Equal(map[string]int{"twice": 1, "last": 1}))
}

// What a user would see: a confirmed change is gone after a power failure. What
// happens: a follower acknowledges an entry and loses power before its sync.
func TestFollowerAcknowledgesOnlyWhatIsSynced(t *testing.T) {
	gm := NewWithT(t)
	g := newGroup(t, withTally, trio...)
	leader := g.awaitLeader()
	var rest []string
	for _, n := range trio {
		if n != leader {
			rest = append(rest, n)
		}
	}
	_, _, err := g.running(leader).Propose(context.Background(), tallyName, []byte("first"))
	gm.Expect(err).NotTo(HaveOccurred())
	g.stop(rest[0])
	g.members[rest[1]].fs.(*disktest.Memory).SetSyncFails(func(string) error { return fault.New(fault.Unavailable, "power failed") })
	_, _, err = g.running(leader).Propose(context.Background(), tallyName, []byte("second"))
	gm.Expect(fault.CodeOf(err)).To(BeElementOf(fault.OutcomeUnknown, fault.NotRun), "two of three have not stored it")
}

// What a user would see: a command has run twice. What happens: a new leader takes
// proposals before its first entry is committed; that entry is committed alone, the
// proposals later. Cause: they are taken for attempts of an earlier term.
func TestProposalsOfANewLeaderAreNotRepeated(t *testing.T) {
	gm := NewWithT(t)
	g := newGroup(t, func(c *consensus.Config) { withTally(c); c.Timeout, c.ElectionTimeout = patience, time.Second }, trio...)
	old := g.awaitLeader()
	var limit uint64
	g.setTamper(func(m *raft.Message) bool {
		m.Index = min(m.Index, limit)
		return limit > 0
	}, raft.MsgAppendReply)
	g.stop(old)
	leader := g.awaitLeader()
	first := g.running(leader).Status().Last
	done := make(chan error, 2)
	for _, name := range trio {
		if s := g.running(name); s != nil {
			go func() {
				_, _, err := s.Propose(context.Background(), tallyName, []byte(name))
				done <- err
			}()
		}
	}
	status := func() raft.Status { return g.running(leader).Status().Status }
	gm.Eventually(func() uint64 { return status().Last }).WithTimeout(patience).Should(Equal(first + 2))
	g.mu.Lock()
	limit = first
	g.mu.Unlock()
	gm.Eventually(func() uint64 { return status().Commit }).WithTimeout(patience).Should(Equal(first))
	time.Sleep(5 * testHeartbeat) // time enough for a wrong repetition
	g.setTamper(nil)
	gm.Eventually(done).WithTimeout(patience).Should(Receive(BeNil()))
	gm.Eventually(done).WithTimeout(patience).Should(Receive(BeNil()))
	_, _, err := g.running(leader).Propose(context.Background(), tallyName, []byte("last"))
	gm.Expect(err).NotTo(HaveOccurred())
	for _, count := range g.tallyAt(leader) {
		gm.Expect(count).To(Equal(1))
	}
}

// setTamper has f see the messages of some kinds.
func (g *group) setTamper(f func(*raft.Message) bool, only ...raft.MessageKind) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.tamper = nil
	if f != nil {
		g.tamper = func(m *raft.Message) bool { return !slices.Contains(only, m.Kind) || f(m) }
	}
}

func TestLargeCommandsBringTheSnapshotForward(t *testing.T) {
	gm := NewWithT(t)
	g := newGroup(t, func(c *consensus.Config) { withTally(c); c.SnapshotEvery, c.SnapshotBytes = 1<<20, 1000 }, "a")
	g.awaitLeader()
	for i := range 8 {
		_, _, err := g.running("a").Propose(context.Background(), tallyName, fmt.Appendf(nil, "%0300d", i))
		gm.Expect(err).NotTo(HaveOccurred())
	}
	gm.Eventually(func() uint64 { return g.running("a").Status().Snapshot }).WithTimeout(patience).Should(BeNumerically(">", 2))
	g.crash("a")
	g.start("a")
	gm.Eventually(func() map[string]int { return g.tallyAt("a") }).WithTimeout(patience).Should(HaveLen(8))
}
