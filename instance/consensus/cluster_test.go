package consensus_test

import (
	"context"
	"fmt"
	"math/rand"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/comfreyladder/comfreyladder/core/control"
	"github.com/comfreyladder/comfreyladder/core/control/fence"
	"github.com/comfreyladder/comfreyladder/core/control/revision"
	"github.com/comfreyladder/comfreyladder/core/intent"
	"github.com/comfreyladder/comfreyladder/core/raft"
	"github.com/comfreyladder/comfreyladder/core/raft/founding"
	"github.com/comfreyladder/comfreyladder/instance/consensus"
	"github.com/comfreyladder/comfreyladder/instance/disk"
	"github.com/comfreyladder/comfreyladder/instance/disk/disktest"
)

const (
	testHeartbeat = 10 * time.Millisecond
	testElection  = 100 * time.Millisecond
	testTimeout   = 30 * time.Second
)

// group is a control group in one process, over a simulated network that can lose,
// delay and duplicate messages.
type group struct {
	tb      testing.TB
	mu      sync.Mutex
	rnd     *rand.Rand
	members map[string]*member
	byID    map[raft.MemberID]*member
	cut     map[string]bool
	loss    float64
	nextID  raft.MemberID
	cluster raft.ClusterID
	options func(*consensus.Config)
	// intercept, if set, may modify a message; it returns false to drop it.
	intercept func(*raft.Message) bool
}

type member struct {
	name    string
	fs      disk.FS
	dir     string
	id      consensus.Identity
	service *consensus.Service
	intents *revision.Machine
	fatal   chan error
}

func newGroup(tb testing.TB, options func(*consensus.Config), names ...string) *group {
	return newGroupOn(tb, options, func(string) (disk.FS, string) { return disktest.NewMemory(), "data" }, names...)
}

func newGroupOn(tb testing.TB, options func(*consensus.Config), place func(string) (disk.FS, string), names ...string) *group {
	g := &group{tb: tb, rnd: rand.New(rand.NewSource(1)), members: map[string]*member{}, byID: map[raft.MemberID]*member{}, cut: map[string]bool{}, options: options}
	for _, name := range names {
		fs, dir := place(name)
		g.initialise(&member{name: name, fs: fs, dir: dir})
	}
	g.found(names)
	for _, name := range names {
		g.start(name)
	}
	tb.Cleanup(func() {
		for name := range g.members {
			g.stop(name)
		}
	})
	return g
}

func (g *group) initialise(m *member) {
	g.nextID++
	id, err := consensus.Initialise(m.fs, m.dir, g.nextID, m.name)
	NewWithT(g.tb).Expect(err).NotTo(HaveOccurred())
	m.id = id
	g.mu.Lock()
	g.members[m.name], g.byID[id.ID] = m, m
	g.mu.Unlock()
}

func (g *group) found(names []string) {
	founders := map[string]*consensus.Founder{}
	for _, name := range names {
		m := g.members[name]
		f, err := consensus.NewFounder(consensus.FounderConfig{FS: m.fs, Dir: m.dir, Identity: m.id, Founders: names,
			Cluster: raft.ClusterID("cluster-" + name), Send: func(to string, msg founding.Message) { founders[to].Deliver(msg) }})
		NewWithT(g.tb).Expect(err).NotTo(HaveOccurred())
		founders[name] = f
	}
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	for _, f := range founders {
		_ = f.Start(ctx)
	}
	for name, f := range founders {
		id, err := f.Wait(ctx)
		NewWithT(g.tb).Expect(err).NotTo(HaveOccurred())
		g.members[name].id = id
		g.cluster = id.Cluster
	}
	for _, f := range founders {
		_ = f.Stop(ctx)
	}
}

func (g *group) start(name string) {
	m := g.members[name]
	id, err := consensus.Initialise(m.fs, m.dir, 0, m.name)
	NewWithT(g.tb).Expect(err).NotTo(HaveOccurred())
	m.id = id
	m.intents = revision.New()
	m.fatal = make(chan error, 1)
	cfg := consensus.Config{FS: m.fs, Dir: m.dir, Identity: id, Transport: sender{g, name}, Heartbeat: testHeartbeat, ElectionTimeout: testElection,
		Seed: int64(id.ID), Mux: control.NewMux(map[string]control.Machine{revision.Name: m.intents, fence.Name: fence.New()}),
		OnFatal: func(err error) { m.fatal <- err }}
	if g.options != nil {
		g.options(&cfg)
	}
	s, err := consensus.New(cfg)
	NewWithT(g.tb).Expect(err).NotTo(HaveOccurred())
	NewWithT(g.tb).Expect(s.Start(context.Background())).To(Succeed())
	g.mu.Lock()
	m.service = s
	g.mu.Unlock()
}

func (g *group) stop(name string) {
	g.mu.Lock()
	s := g.members[name].service
	g.members[name].service = nil
	g.mu.Unlock()
	if s != nil {
		NewWithT(g.tb).Expect(s.Stop(context.Background())).To(Succeed())
	}
}

// crash stops a member and discards its unsynced data.
func (g *group) crash(name string) {
	g.stop(name)
	if m, ok := g.members[name].fs.(*disktest.Memory); ok {
		m.Crash(0)
	}
}

// replaceDisk discards a member with its disk and starts a new one under its name.
func (g *group) replaceDisk(name string) (lost, fresh raft.MemberID) {
	g.stop(name)
	old := g.members[name]
	lost = old.id.ID
	m := &member{name: name, fs: disktest.NewMemory(), dir: "data"}
	g.initialise(m)
	NewWithT(g.tb).Expect(consensus.Join(m.fs, m.dir, &m.id, g.cluster)).To(Succeed())
	g.start(name)
	return lost, m.id.ID
}

func (g *group) running(name string) *consensus.Service {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.members[name].service
}

func (g *group) leader() string {
	best, term := "", uint64(0)
	for name := range g.members {
		if s := g.running(name); s != nil {
			if st := s.Status(); st.Role == raft.Leader && st.Term > term {
				best, term = name, st.Term
			}
		}
	}
	return best
}

func (g *group) awaitLeader() string {
	NewWithT(g.tb).Eventually(g.leader).WithTimeout(testTimeout).WithPolling(time.Millisecond).ShouldNot(BeEmpty())
	return g.leader()
}

// sender is one member's transport over the simulated network.
type sender struct {
	g    *group
	from string
}

func (s sender) Send(to raft.MemberID, m raft.Message) {
	g := s.g
	g.mu.Lock()
	target := g.byID[to]
	lost := target == nil || g.members[target.name] != target || target.service == nil || g.cut[s.from+">"+target.name] || g.rnd.Float64() < g.loss
	if g.intercept != nil && !g.intercept(&m) {
		lost = true
	}
	double := g.rnd.Float64() < g.loss
	late := time.Duration(0)
	if g.rnd.Float64() < g.loss {
		late = time.Duration(g.rnd.Int63n(int64(2 * testElection)))
	}
	var service *consensus.Service
	if target != nil {
		service = target.service
	}
	g.mu.Unlock()
	if lost {
		return
	}
	if double {
		service.Deliver(m)
	}
	if late > 0 {
		time.AfterFunc(late, func() { service.Deliver(m) })
		return
	}
	service.Deliver(m)
}

func (g *group) setNetwork(loss float64, cuts ...string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.loss = loss
	clear(g.cut)
	for _, c := range cuts {
		g.cut[c] = true
	}
}

func document(floor float64) intent.Document {
	hash := strings.Repeat("ab", 32)
	d := intent.Document{Classes: []intent.Class{{Name: "urgent", Floor: floor, Deadline: time.Minute}}}
	for _, name := range []string{"ada", "bo", "cy", "dee"} {
		d.Operators = append(d.Operators, intent.Operator{Name: name, KeyHash: hash})
	}
	return d
}

// confirm proposes one confirm through a member.
func (g *group) confirm(name string, c revision.Confirm) (revision.Answer, error) {
	var a revision.Answer
	s := g.running(name)
	if s == nil {
		return a, context.Canceled
	}
	data, err := control.Marshal(&c)
	if err != nil {
		return a, err
	}
	result, _, err := s.Propose(context.Background(), revision.Name, data)
	if err != nil {
		return a, err
	}
	return a, control.Unmarshal(result, &a)
}

// confirmUntilAnswered repeats a confirm through the named members until one answers.
func (g *group) confirmUntilAnswered(names []string, c revision.Confirm) revision.Answer {
	var a revision.Answer
	i := 0
	NewWithT(g.tb).Eventually(func() error {
		var err error
		a, err = g.confirm(names[i%len(names)], c)
		i++
		return err
	}).WithTimeout(testTimeout).WithPolling(5 * time.Millisecond).Should(Succeed())
	return a
}

func (g *group) revisionAt(name string) uint64 {
	var r uint64
	g.running(name).View(func(uint64, *control.Mux) { r, _ = g.members[name].intents.Current() })
	return r
}

func (g *group) String() string {
	var b strings.Builder
	for name := range g.members {
		if s := g.running(name); s != nil {
			fmt.Fprintf(&b, "%s: %+v\n", name, s.Status())
		}
	}
	return b.String()
}
