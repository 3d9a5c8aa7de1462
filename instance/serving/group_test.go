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
	patience  = 30 * time.Second
	changeFor = 700 * time.Millisecond
)

// group is a control group in one process: real members, links and serving state, on
// disks in memory.
type group struct {
	*WithT
	t     *testing.T
	mu    sync.Mutex
	names []string
	nodes map[string]*node
	// side says on which side of a split a member is; all are on one without a split.
	side map[string]int
	book sync.Map
}

// node is one member's machine.
type node struct {
	g       *group
	name    string
	disk    *disktest.Memory
	links   *link.Service
	control *control.Service
	serving *serving.Service
	fatal   chan error
}

// Address implements link.AddressBook.
func (g *group) Address(name string) (string, bool) {
	v, ok := g.book.Load(name)
	if !ok {
		return "", false
	}
	return v.(string), true
}

func newGroup(t *testing.T, members int) *group {
	g := &group{WithT: NewWithT(t), t: t, nodes: map[string]*node{}, side: map[string]int{}}
	g.SetDefaultEventuallyTimeout(patience)
	for i := range members {
		name := fmt.Sprintf("m%d", i)
		g.names = append(g.names, name)
		g.nodes[name] = &node{g: g, name: name, disk: disktest.NewMemory(), fatal: make(chan error, 1)}
	}
	for _, n := range g.nodes {
		n.start(true)
	}
	t.Cleanup(func() {
		for _, n := range g.nodes {
			n.stop()
		}
	})
	g.acknowledge(1, g.names...)
	return g
}

// seeds are the first three members.
func (g *group) seeds() []string { return g.names[:min(3, len(g.names))] }

// together reports whether messages pass between two members.
func (g *group) together(a, b string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.side[a] == g.side[b]
}

// split puts the members on sides; without arguments it heals.
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

func (n *node) start(bootstrap bool) {
	g := n.g
	links, err := link.New(link.Config{Self: n.name, Listen: "127.0.0.1:0", AllowUnauthenticated: true, Book: g, Log: zerolog.Nop()})
	g.Expect(err).NotTo(HaveOccurred())
	n.links = links
	wire := splitLinks{links, n}
	n.serving = serving.New(serving.Config{
		Name: n.name, Domain: "north", Replica: func() *consensusService { return n.control.Replica() },
		Links: wire, Timeout: changeFor, Log: zerolog.Nop(),
	})
	var founders []string
	if slices.Contains(g.seeds(), n.name) {
		founders = g.seeds()
	}
	n.control = control.New(control.Config{
		Name: n.name, DataFolder: "data", Disk: n.disk, Founders: founders, Bootstrap: bootstrap, Links: wire,
		Members: n.others, Log: zerolog.Nop(), OnFatal: func(err error) { n.fatal <- err },
		RepairMembers: true, RetryDisk: true, OnApplied: n.serving.Applied,
		Heartbeat: 30 * time.Millisecond, ElectionTimeout: 200 * time.Millisecond,
	})
	ctx := context.Background()
	g.Expect(links.Start(ctx)).To(Succeed())
	g.book.Store(n.name, links.Addr().String())
	g.Expect(n.control.Start(ctx)).To(Succeed())
	g.Expect(n.serving.Start(ctx)).To(Succeed())
}

func (n *node) others() (list []string) {
	for _, name := range n.g.seeds() {
		if name != n.name {
			list = append(list, name)
		}
	}
	return list
}

func (n *node) stop() {
	if n.links == nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	_ = n.serving.Stop(ctx)
	_ = n.control.Stop(ctx)
	_ = n.links.Stop(ctx)
	n.links = nil
}

// loseDisk empties the member's disk.
func (n *node) loseDisk() { n.disk = disktest.NewMemory() }

func (n *node) refuse(on bool) {
	if !on {
		n.disk.SetSyncFails(nil)
		return
	}
	n.disk.SetSyncFails(func(string) error { return fault.New(fault.Unavailable, "no space left on device") })
}

// splitLinks are links on which nothing passes between the sides of a split.
type splitLinks struct {
	*link.Service
	n *node
}

func (l splitLinks) Send(to, channel string, msg any) error {
	if !l.n.g.together(l.n.name, to) {
		return nil
	}
	return l.Service.Send(to, channel, msg)
}

func (l splitLinks) Call(ctx context.Context, to, channel string, req, resp any) error {
	if !l.n.g.together(l.n.name, to) {
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

// put sends a version to one member once, and reports whether it was acknowledged.
func (g *group) put(version uint64, at string) bool {
	return g.nodes[at].serving.Put(context.Background(), table(version), []byte(source(version))) == nil
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

// read returns the newest version by one member; zero when it can't be sure.
func (g *group) read(at string) uint64 {
	version, text, err := g.nodes[at].serving.Newest(context.Background())
	if err != nil {
		return 0
	}
	g.Expect(string(text)).To(Equal(source(version)))
	return version
}
