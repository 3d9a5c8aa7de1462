package raft_test

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/comfreyladder/comfreyladder/core/raft"
)

const seeds = 150

// Guards against the loss of a committed change and against instances that apply different
// configurations. Messages are lost, delayed, duplicated and reordered; members crash
// between any two steps, are suspended, partitioned in one direction, lose their disks and
// are replaced, while members are added, promoted and removed. A failure means that a rule
// of the protocol is violated.
func TestNothingCommittedIsLostUnderFaults(t *testing.T) {
	var commits, reads, leaders int
	for seed := range int64(seeds) {
		s := newSim(seed, 3+2*int(seed%2))
		s.drop, s.crash, s.compact = []float64{0.02, 0.1, 0.3}[seed%3], []float64{0.0003, 0.003}[seed/3%2], 0.02
		for range 4000 {
			s.injectFault()
			s.step()
			if len(s.violations) > 0 {
				break
			}
		}
		s.clearFaults()
		recovered := s.propose("last")
		s.stepUntil(500, func() bool { return s.converged() })
		s.checkLogs()
		if len(s.violations) > 0 {
			t.Fatalf("seed %d: %s", seed, strings.Join(s.violations, "\n"))
		}
		if !recovered || !s.converged() {
			t.Fatalf("seed %d: the group did not recover: %s", seed, s.describe())
		}
		commits += len(s.commits)
		reads += s.served
		leaders += len(s.leaders)
	}
	t.Logf("%d seeds: %d entries, %d reads, %d leaders", seeds, commits, reads, leaders)
	NewWithT(t).Expect(min(commits/100, reads/100, leaders/10)).To(BeNumerically(">", seeds/100), "the group must make progress in spite of the faults")
}

// injectFault causes at most one event: load, a fault or a step of a repair.
func (s *sim) injectFault() {
	h := s.hosts[s.order[s.rnd.Intn(len(s.order))]]
	other := s.order[s.rnd.Intn(len(s.order))]
	switch p := s.rnd.Float64(); {
	case p < 0.20:
		s.applyLoad(h, p < 0.10)
	case p < 0.206:
		s.cuts[[2]raft.MemberID{h.id, other}] = true
	case p < 0.216:
		clear(s.cuts)
	case p < 0.219:
		s.stop(h)
	case p < 0.25 && h.node == nil && !h.diskLost:
		s.start(h)
	case p < 0.254 && s.running(h):
		h.frozenUntil = s.now.Add(time.Duration(s.rnd.Int63n(int64(4 * election))))
	case p < 0.256:
		s.loseDisk(h)
	case p < 0.28:
		s.replaceLostMember()
	case p < 0.283:
		if l := s.leader(); l != nil {
			_ = l.node.Transfer(s.clock(l), other)
			s.drain(l)
		}
	}
}

func (s *sim) applyLoad(h *host, write bool) {
	if !s.running(h) {
		return
	}
	if write {
		_, _, _ = h.node.Propose(s.clock(h), fmt.Appendf(nil, "%d", s.rnd.Int31()))
		s.drain(h)
		return
	}
	s.read(h)
}

// loseDisk replaces the disk of one member at a time: the old member never returns, and its
// replacement has another ID and an empty disk.
func (s *sim) loseDisk(h *host) {
	if h.diskLost {
		return
	}
	for _, x := range s.hosts {
		if x.diskLost || !x.joined {
			return
		}
	}
	s.stop(h)
	h.diskLost = true
	s.add(s.nextID, disk{})
	s.nextID++
}

// replaceLostMember performs the next step of replacing a member that lost its disk.
func (s *sim) replaceLostMember() {
	l := s.leader()
	if l == nil {
		return
	}
	now := s.clock(l)
	for _, id := range s.order {
		h := s.hosts[id]
		m, known := l.node.Status(now).Members.Get(id)
		switch {
		case h.diskLost && known:
			_, _ = l.node.Remove(now, id)
		case h.diskLost:
			s.forget(id)
			s.drain(l)
			return
		case !known && !h.joined:
			_, _ = l.node.AddLearner(now, id, fmt.Sprint("m", id), "")
		case known && !m.Voter:
			_, _ = l.node.Promote(now, id)
		}
		if m, in := s.committedMembers().Get(id); in && m.Voter {
			h.joined = true
		}
	}
	s.drain(l)
}

// forget drops a removed member from the simulation once its removal is committed, so that
// another disk may be lost.
func (s *sim) forget(id raft.MemberID) {
	if _, in := s.committedMembers().Get(id); in {
		return
	}
	delete(s.hosts, id)
	s.order = slices.DeleteFunc(s.order, func(x raft.MemberID) bool { return x == id })
}

// committedMembers returns the latest membership that was observed as committed.
func (s *sim) committedMembers() raft.Members {
	members := s.founders
	var newest uint64
	for _, e := range s.commits {
		if e.Kind == raft.EntryMembers && e.Index > newest {
			newest, members = e.Index, e.Members
		}
	}
	return members
}

// converged reports whether all members of the group have applied every committed entry.
func (s *sim) converged() bool {
	l := s.leader()
	if l == nil {
		return false
	}
	for _, m := range l.node.Status(s.clock(l)).Members {
		if h := s.hosts[m.ID]; h != nil && !h.diskLost && h.last != s.top {
			return false
		}
	}
	return true
}

// checkLogs checks log matching: logs that agree on the term of an entry agree on all
// entries before it.
func (s *sim) checkLogs() {
	for _, a := range s.hosts {
		for _, b := range s.hosts {
			at := map[uint64]raft.Entry{}
			for _, e := range b.disk.entries {
				at[e.Index] = e
			}
			agree := false
			for i := len(a.disk.entries) - 1; i >= 0; i-- {
				e := a.disk.entries[i]
				o, ok := at[e.Index]
				if !ok {
					continue
				}
				if agree && (o.Term != e.Term || string(o.Data) != string(e.Data)) {
					s.fail("logs of %d and %d differ at %d below an equal entry", a.id, b.id, e.Index)
				}
				agree = agree || o.Term == e.Term
			}
		}
	}
}

func (s *sim) describe() string {
	var b strings.Builder
	for _, id := range s.order {
		h := s.hosts[id]
		fmt.Fprintf(&b, "\n%d gone=%v applied=%d of %d", id, h.diskLost, h.last, s.top)
		if h.node != nil {
			fmt.Fprintf(&b, " %+v", h.node.Status(s.clock(h)))
		}
	}
	return b.String()
}

// BenchmarkRecovery measures the time from a leader's failure to the next commit, as a
// multiple of the election timeout and in ticks of the simulated clock.
func BenchmarkRecovery(b *testing.B) {
	ticks := 0
	for i := range b.N {
		s := newSim(int64(i), 3)
		if !s.propose("first") {
			b.Fatal(s.describe())
		}
		s.stop(s.leader())
		begin := s.now
		if !s.propose("second") {
			b.Fatal(s.describe())
		}
		ticks += int(s.now.Sub(begin) / tick)
	}
	b.ReportMetric(float64(ticks)/float64(b.N), "ticks/op")
	b.ReportMetric(float64(ticks)*tick.Seconds()/float64(b.N)/election.Seconds(), "election-timeouts/op")
}
