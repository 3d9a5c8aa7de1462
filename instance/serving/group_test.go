package serving_test

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"github.com/comfreyladder/comfreyladder/core/fault"
	"github.com/comfreyladder/comfreyladder/core/route"
	"github.com/comfreyladder/comfreyladder/instance/control"
	"github.com/comfreyladder/comfreyladder/instance/disk/disktest"
	"github.com/comfreyladder/comfreyladder/instance/link"
	"github.com/comfreyladder/comfreyladder/instance/serving"
)

const (
	timeout       = 30 * time.Second
	changeTimeout = 700 * time.Millisecond
)

// group is a control group in one process: real members, links and serving state, with disks
// in memory.
type group struct {
	*WithT
	t         *testing.T
	mu        sync.Mutex
	names     []string
	instances map[string]*testInstance
	// side is the side of a partition that a member is on. Without a partition all are on one side.
	side      map[string]int
	addresses sync.Map
}

// testInstance is one member with its disk and links.
type testInstance struct {
	g       *group
	name    string
	domain  string
	disk    *disktest.Memory
	links   *link.Service
	control *control.Service
	serving *serving.Service
	fatal   chan error
}

// Address implements link.AddressBook.
func (g *group) Address(name string) (string, bool) {
	v, ok := g.addresses.Load(name)
	if !ok {
		return "", false
	}
	return v.(string), true
}

func newGroup(t *testing.T, members int) *group { return newGroupIn(t, members, 1) }

// newGroupIn returns a group whose members are in several failure domains by turns.
func newGroupIn(t *testing.T, members, domains int) *group {
	g := &group{WithT: NewWithT(t), t: t, instances: map[string]*testInstance{}, side: map[string]int{}}
	g.SetDefaultEventuallyTimeout(timeout)
	for i := range members {
		name := fmt.Sprintf("m%d", i)
		g.names = append(g.names, name)
		g.instances[name] = &testInstance{g: g, name: name, domain: fmt.Sprintf("d%d", i%domains), disk: disktest.NewMemory(), fatal: make(chan error, 1)}
	}
	for _, n := range g.instances {
		n.start(true)
	}
	t.Cleanup(func() {
		for _, n := range g.instances {
			n.stop()
		}
	})
	g.acknowledge(1, g.names...)
	return g
}

// seeds are the first three members.
func (g *group) seeds() []string { return g.names[:min(3, len(g.names))] }

// connected reports whether messages pass between two members.
func (g *group) connected(a, b string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.side[a] == g.side[b]
}

// split partitions the members into sides; without arguments it heals the partition.
func (g *group) split(sides ...[]string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	clear(g.side)
	for i, names := range sides {
		for _, name := range names {
			g.side[name] = i
		}
	}
}

func (n *testInstance) start(bootstrap bool) {
	g := n.g
	links, err := link.New(link.Config{Self: n.name, Listen: "127.0.0.1:0", AllowUnauthenticated: true, Book: g, Log: zerolog.Nop()})
	g.Expect(err).NotTo(HaveOccurred())
	n.links = links
	wire := splitLinks{links, n}
	n.serving = serving.New(serving.Config{
		Name: n.name, Domain: n.domain, Replica: func() *consensusService { return n.control.Replica() },
		Links: wire, Timeout: changeTimeout, Log: zerolog.Nop(),
	})
	var founders []string
	if slices.Contains(g.seeds(), n.name) {
		founders = g.seeds()
	}
	n.control = control.New(control.Config{
		Name: n.name, Domain: n.domain, DataFolder: "data", Disk: n.disk, Founders: founders, Bootstrap: bootstrap, Links: wire,
		Members: n.others, Log: zerolog.Nop(), OnFatal: func(err error) { n.fatal <- err },
		RepairMembers: true, RetryDisk: true, OnApplied: n.serving.Applied,
		Heartbeat: 30 * time.Millisecond, ElectionTimeout: 200 * time.Millisecond,
	})
	ctx := context.Background()
	g.Expect(links.Start(ctx)).To(Succeed())
	g.addresses.Store(n.name, links.Addr().String())
	g.Expect(n.control.Start(ctx)).To(Succeed())
	g.Expect(n.serving.Start(ctx)).To(Succeed())
}

func (n *testInstance) others() (list []string) {
	for _, name := range n.g.seeds() {
		if name != n.name {
			list = append(list, name)
		}
	}
	return list
}

func (n *testInstance) stop() {
	if n.links == nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	_ = n.serving.Stop(ctx)
	_ = n.control.Stop(ctx)
	_ = n.links.Stop(ctx)
	n.links = nil
}

// loseDisk replaces the member's disk by an empty one.
func (n *testInstance) loseDisk() { n.disk = disktest.NewMemory() }

func (n *testInstance) refuse(on bool) {
	if !on {
		n.disk.SetSyncFails(nil)
		return
	}
	n.disk.SetSyncFails(func(string) error { return fault.New(fault.Unavailable, "no space left on device") })
}

// splitLinks drops all messages between the sides of a partition.
type splitLinks struct {
	*link.Service
	n *testInstance
}

func (l splitLinks) Send(to, channel string, msg any) error {
	if !l.n.g.connected(l.n.name, to) {
		return nil
	}
	return l.Service.Send(to, channel, msg)
}

func (l splitLinks) Call(ctx context.Context, to, channel string, req, resp any) error {
	if !l.n.g.connected(l.n.name, to) {
		<-ctx.Done()
		return fault.Wrap(ctx.Err(), fault.Unavailable, "nothing passes between the sides")
	}
	return l.Service.Call(ctx, to, channel, req, resp)
}

func table(version uint64) *route.Table {
	return &route.Table{
		Version:  version,
		Routes:   []route.Route{{Name: "r", Host: "h", Prefix: "/a/", Kind: route.Idempotent, Services: []route.WeightedService{{Service: "s", Weight: 1}}, Timeout: time.Second, MaxAttempts: 1}},
		Services: []route.Service{{Name: "s"}},
		Limits:   route.DefaultLimits,
	}
}

func source(version uint64) string { return fmt.Sprintf("table %d", version) }

// put sends a version to one member once and reports whether it was acknowledged.
func (g *group) put(version uint64, at string) bool {
	return g.instances[at].serving.Put(context.Background(), table(version), []byte(source(version))) == nil
}

// acknowledge sends a version to the members in turn until it is acknowledged.
func (g *group) acknowledge(version uint64, at ...string) {
	g.t.Helper()
	i := -1
	g.Eventually(func() bool {
		i++
		return g.put(version, at[i%len(at)])
	}).Should(BeTrue(), "version %d is acknowledged", version)
}

// read returns the newest version according to one member; zero if the member cannot confirm it.
func (g *group) read(at string) uint64 {
	version, text, err := g.instances[at].serving.Newest(context.Background())
	if err != nil {
		return 0
	}
	g.Expect(string(text)).To(Equal(source(version)))
	return version
}
