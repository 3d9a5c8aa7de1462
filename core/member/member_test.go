package member_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/comfreyladder/comfreyladder/core/member"
)

var cfg = member.DefaultConfig()

func info(i int, incarnation uint64) member.Info {
	return member.Info{Name: fmt.Sprintf("i%d", i), Domain: "hall", Address: fmt.Sprintf("127.0.0.1:%d", i), Incarnation: incarnation}
}

// net delivers messages late, twice, in any order or never.
type net struct {
	now      time.Time
	tables   map[int]*member.Table
	ended    map[int]time.Time
	inFlight []delivery
}

type delivery struct {
	to int
	m  member.Message
	at time.Time
}

const (
	instances = 4
	maxDelay  = 2 * time.Second
	step      = 500 * time.Millisecond
)

func (n *net) round(t *rapid.T) {
	for i := range instances {
		table := n.tables[i]
		if table == nil {
			continue
		}
		m := table.Heartbeat()
		if rapid.Bool().Draw(t, "full") {
			m = table.FullHeartbeat(n.now)
		}
		n.send(t, i, m)
	}
	n.now = n.now.Add(step)
	due := n.inFlight
	n.inFlight = nil
	for _, p := range due {
		if p.at.After(n.now) {
			n.inFlight = append(n.inFlight, p)
		} else if table := n.tables[p.to]; table != nil {
			table.Receive(n.now, p.m)
		}
	}
	for _, table := range n.tables {
		table.Tick(n.now)
	}
}

func (n *net) send(t *rapid.T, from int, m member.Message) {
	for to := range instances {
		copies := rapid.IntRange(0, 2).Draw(t, "copies")
		for range copies {
			delay := time.Duration(rapid.IntRange(0, int(maxDelay/step)).Draw(t, "delay")) * step
			if to != from {
				n.inFlight = append(n.inFlight, delivery{to, m, n.now.Add(delay)})
			}
		}
	}
}

// Guards against new work for an instance that left or died: heartbeats that it sent
// earlier are still in flight, delayed, duplicated and relayed by others, and must not
// count as signs of life.
func TestGoneInstancesStayGone(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := &net{now: time.Unix(1000, 0), tables: map[int]*member.Table{}, ended: map[int]time.Time{}}
		for i := range instances {
			n.tables[i] = member.New(cfg, info(i, 1))
			for j := range instances {
				if j != i {
					n.tables[i].Receive(n.now, member.Message{From: member.New(cfg, info(j, 1)).Self()})
				}
			}
		}
		left := map[int]bool{}
		for range rapid.IntRange(10, 60).Draw(t, "rounds") {
			n.round(t)
			victim := rapid.IntRange(0, 8*instances).Draw(t, "victim")
			if table := n.tables[victim]; table != nil && len(n.tables) > 2 {
				if left[victim] = rapid.Bool().Draw(t, "leaves"); left[victim] {
					table.Leave()
					for to, other := range n.tables {
						if to != victim {
							other.Receive(n.now, table.Heartbeat())
						}
					}
				}
				delete(n.tables, victim)
				n.ended[victim] = n.now
			}
			check(t, n, left)
		}
	})
}

func check(t *rapid.T, n *net, left map[int]bool) {
	for _, table := range n.tables {
		for _, m := range table.Members(n.now) {
			for victim, at := range n.ended {
				if m.Name != info(victim, 1).Name {
					continue
				}
				if left[victim] && m.Status != member.Left {
					t.Fatalf("%s left but is %s", m.Name, m.Status)
				}
				if n.now.Sub(at) > cfg.DeadAfter+instances*maxDelay+step && m.Usable() {
					t.Fatalf("%s ended %s ago but is %s", m.Name, n.now.Sub(at), m.Status)
				}
			}
		}
	}
}

func TestRefutation(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1000, 0)
	one, two := member.New(cfg, info(1, 1)), member.New(cfg, info(2, 1))
	two.Receive(now, one.Heartbeat())
	now = now.Add(cfg.SuspectAfter + time.Second)
	two.Tick(now)
	g.Expect(status(two, now, "i1")).To(Equal(member.Suspect))
	g.Expect(one.Receive(now, two.FullHeartbeat(now))).To(BeTrue())
	g.Expect(one.Self().Incarnation).To(BeEquivalentTo(2))
	two.Receive(now, one.Heartbeat())
	g.Expect(status(two, now, "i1")).To(Equal(member.Alive))
}

// Guards against late detection of a dead instance whose last heartbeat arrives late
// through a third instance. The silence counts from the heartbeat itself.
func TestRelayedSilence(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1000, 0)
	dead, relay, other := member.New(cfg, info(1, 1)), member.New(cfg, info(2, 1)), member.New(cfg, info(3, 1))
	other.Receive(now, dead.Heartbeat())
	relay.Receive(now, dead.Heartbeat())
	other.Receive(now.Add(2*time.Second), relay.FullHeartbeat(now.Add(2*time.Second)))
	now = now.Add(cfg.SuspectAfter + time.Second)
	other.Tick(now)
	g.Expect(status(other, now, "i1")).To(Equal(member.Suspect))
}

func TestReplacedInstance(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1000, 0)
	old, other := member.New(cfg, info(1, 1)), member.New(cfg, info(2, 1))
	late := old.Heartbeat()
	other.Receive(now, late)
	old.Leave()
	other.Receive(now, old.FullHeartbeat(now))
	other.Receive(now, late)
	g.Expect(status(other, now, "i1")).To(Equal(member.Left))

	again := info(1, 7)
	again.Address = "127.0.0.1:99"
	replaced := member.New(cfg, again)
	other.Receive(now, replaced.Heartbeat())
	g.Expect(status(other, now, "i1")).To(Equal(member.Alive))
	addr, _ := other.Address("i1")
	g.Expect(addr).To(Equal("127.0.0.1:99"))

	g.Expect(replaced.RevisionSeen()).To(BeZero())
	replaced.Receive(now, member.Message{From: info(2, 1), PeerStates: []member.PeerState{{Info: withRevision(info(1, 1), 6), Status: member.Left}}})
	g.Expect(replaced.RevisionSeen()).To(BeEquivalentTo(6), "the revision applied before the restart")

	stale := member.New(cfg, info(1, 1))
	stale.Receive(now, other.FullHeartbeat(now))
	g.Expect(stale.Superseded()).To(BeTrue())
	g.Expect(replaced.Superseded()).To(BeFalse())
}

func TestDigestsOfOtherDomains(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1000, 0)
	far := info(9, 1)
	far.Domain, far.Data, far.Revision = "far", true, 4
	there, here := member.New(cfg, far), member.New(cfg, info(1, 1))
	here.ReceiveDigest(now, there.Digest(now))
	addr, _ := here.Address("i9")
	g.Expect(addr).To(Equal(far.Address))
	g.Expect(here.Peers()).To(BeEmpty(), "heartbeats stay inside the failure domain")

	old := there.Digest(now)
	old.Age, old.RevisionMin = time.Second, 1
	here.ReceiveDigest(now, old)
	g.Expect(here.Domains(now)[0].RevisionMin).To(BeEquivalentTo(4))
	g.Expect(here.DomainSilent(now.Add(cfg.DomainSilentAfter+time.Second), "far")).To(BeTrue())
}

func status(t *member.Table, now time.Time, name string) member.Status {
	for _, m := range t.Members(now) {
		if m.Name == name {
			return m.Status
		}
	}
	return 0
}

func withRevision(i member.Info, revision uint64) member.Info {
	i.Revision = revision
	return i
}
