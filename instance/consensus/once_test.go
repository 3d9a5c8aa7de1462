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

// tally is a state machine that counts how often each command was applied.
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

// Guards against a command that runs although it was reported as not run, or that runs
// twice, while messages are lost, delayed and duplicated and leaders change: a duplicated
// or delayed proposal is appended again, or an attempt that may still be committed is
// repeated.
func TestProposalsAreAppliedAtMostOnce(t *testing.T) {
	gm := NewWithT(t)
	g := newGroup(t, withTally, memberNames...)
	var mu sync.Mutex
	codes := map[string]fault.Code{}
	done := make(chan struct{})
	var clients sync.WaitGroup
	for client := range 6 {
		clients.Add(1)
		go func() {
			defer clients.Done()
			for i := 0; !closed(done); i++ {
				s := g.running(memberNames[(client+i)%3])
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
	g.injectFaults(30)
	close(done)
	clients.Wait()
	g.setNetwork(0)
	gm.Eventually(func() error {
		_, err := g.running("a").Read(context.Background())
		return err
	}).WithTimeout(testTimeout).Should(Succeed())
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

// Covers the same failure with crafted messages: a duplicated proposal, and one of
// another term.
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
	gm.Eventually(func() map[string]int { return g.tallyAt("a") }).WithTimeout(testTimeout).Should(HaveKey("twice"))
	_, _, err := s.Propose(context.Background(), tallyName, []byte("last"))
	gm.Expect(err).NotTo(HaveOccurred())
	gm.Expect(g.tallyAt("a")).To(Equal(map[string]int{"twice": 1, "last": 1}))
}

// Guards against the loss of a confirmed change when a follower acknowledges an entry
// and loses power before it has synced the entry.
func TestFollowerAcknowledgesOnlyWhatIsSynced(t *testing.T) {
	gm := NewWithT(t)
	g := newGroup(t, withTally, memberNames...)
	leader := g.awaitLeader()
	var rest []string
	for _, n := range memberNames {
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

// Guards against a command that runs twice: a new leader accepts proposals before its
// first entry is committed, and that entry is committed alone, the proposals later. They
// must not be mistaken for proposals of an earlier term.
func TestProposalsOfANewLeaderAreNotRepeated(t *testing.T) {
	gm := NewWithT(t)
	g := newGroup(t, func(c *consensus.Config) { withTally(c); c.Timeout, c.ElectionTimeout = testTimeout, time.Second }, memberNames...)
	old := g.awaitLeader()
	var limit uint64
	g.setIntercept(func(m *raft.Message) bool {
		m.Index = min(m.Index, limit)
		return limit > 0
	}, raft.MsgAppendReply)
	g.stop(old)
	leader := g.awaitLeader()
	first := g.running(leader).Status().Last
	done := make(chan error, 2)
	for _, name := range memberNames {
		if s := g.running(name); s != nil {
			go func() {
				_, _, err := s.Propose(context.Background(), tallyName, []byte(name))
				done <- err
			}()
		}
	}
	status := func() raft.Status { return g.running(leader).Status().Status }
	gm.Eventually(func() uint64 { return status().Last }).WithTimeout(testTimeout).Should(Equal(first + 2))
	g.mu.Lock()
	limit = first
	g.mu.Unlock()
	gm.Eventually(func() uint64 { return status().Commit }).WithTimeout(testTimeout).Should(Equal(first))
	time.Sleep(5 * testHeartbeat) // long enough for an erroneous retry
	g.setIntercept(nil)
	gm.Eventually(done).WithTimeout(testTimeout).Should(Receive(BeNil()))
	gm.Eventually(done).WithTimeout(testTimeout).Should(Receive(BeNil()))
	_, _, err := g.running(leader).Propose(context.Background(), tallyName, []byte("last"))
	gm.Expect(err).NotTo(HaveOccurred())
	for _, count := range g.tallyAt(leader) {
		gm.Expect(count).To(Equal(1))
	}
}

// setIntercept passes the messages of the given kinds to f; a nil f stops it.
func (g *group) setIntercept(f func(*raft.Message) bool, only ...raft.MessageKind) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.intercept = nil
	if f != nil {
		g.intercept = func(m *raft.Message) bool { return !slices.Contains(only, m.Kind) || f(m) }
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
	gm.Eventually(func() uint64 { return g.running("a").Status().Snapshot }).WithTimeout(testTimeout).Should(BeNumerically(">", 2))
	g.crash("a")
	g.start("a")
	gm.Eventually(func() map[string]int { return g.tallyAt("a") }).WithTimeout(testTimeout).Should(HaveLen(8))
}
