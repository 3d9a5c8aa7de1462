package spread_test

import (
	"context"
	"crypto/sha256"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"github.com/comfreyladder/comfreyladder/core/fault"
	"github.com/comfreyladder/comfreyladder/core/tree"
	"github.com/comfreyladder/comfreyladder/instance/link"
	"github.com/comfreyladder/comfreyladder/instance/spread"
)

const limit = 20 * time.Second

type book struct{ sync.Map }

func (b *book) Address(name string) (string, bool) {
	v, ok := b.Load(name)
	if !ok {
		return "", false
	}
	return v.(string), true
}

type node struct {
	spread *spread.Service
	links  *link.Service
	got    atomic.Uint64
	back   atomic.Bool // whether a revision went back
	data   atomic.Value
}

type world struct {
	book  book
	mu    sync.Mutex
	nodes []tree.Instance
	floor atomic.Uint64
}

func (w *world) layout(self tree.Instance) func() spread.Layout {
	return func() spread.Layout {
		w.mu.Lock()
		defer w.mu.Unlock()
		return spread.Layout{Self: self, Root: "leader", Live: append([]tree.Instance(nil), w.nodes...)}
	}
}

func (w *world) start(t *testing.T, self tree.Instance) *node {
	g := NewWithT(t)
	links, err := link.New(link.Config{
		Self: self.Name, Listen: "127.0.0.1:0", Credential: "secret", Book: &w.book, Log: zerolog.Nop(),
		AcceptedHashes: [][sha256.Size]byte{sha256.Sum256([]byte("secret"))},
	})
	g.Expect(err).NotTo(HaveOccurred())
	n := &node{links: links}
	n.spread = spread.New(spread.Config{
		Links: links, Layout: w.layout(self), Log: zerolog.Nop(), Interval: 100 * time.Millisecond, Floor: w.floor.Load,
	})
	n.spread.Subscribe(func(revision uint64, data []byte) {
		n.data.Store(string(data))
		if revision <= n.got.Swap(revision) {
			n.back.Store(true)
		}
	})
	g.Expect(links.Start(context.Background())).To(Succeed())
	w.book.Store(self.Name, links.Addr().String())
	g.Expect(n.spread.Start(context.Background())).To(Succeed())
	t.Cleanup(func() { n.stop(t) })
	return n
}

func (n *node) stop(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	g := NewWithT(t)
	g.Expect(n.links.Stop(ctx)).To(Succeed())
	g.Expect(n.spread.Stop(ctx)).To(Succeed())
}

// Story: an operator's change is accepted while instances between the control
// leader and others are lost. All others have it in force soon, and know by
// their lease that it is the newest; when the leader is lost, they learn that
// they do not know that any more.
func TestSpreadWithLostParents(t *testing.T) {
	g := NewWithT(t)
	w := &world{nodes: []tree.Instance{{Name: "leader", Domain: "far", Data: true}}}
	const size = 9
	for i := range size {
		w.nodes = append(w.nodes, tree.Instance{Name: fmt.Sprintf("i%d", i), Domain: "hall"})
	}
	leader := w.start(t, w.nodes[0])
	var nodes []*node
	for i := range size {
		nodes = append(nodes, w.start(t, w.nodes[i+1]))
	}
	leader.spread.Renew(time.Now(), time.Hour)
	g.Expect(leader.spread.Publish(1, []byte("one"))).To(Succeed())
	for _, n := range nodes {
		g.Eventually(n.got.Load, limit).Should(BeEquivalentTo(1))
		g.Eventually(func() bool { return n.spread.Lease().Valid }, limit).Should(BeTrue())
	}
	g.Expect(fault.CodeOf(leader.spread.Publish(0, nil))).To(Equal(fault.Conflict))
	g.Eventually(nodes[8].spread.Parent, limit).Should(Equal("i1"))

	nodes[0].stop(t) // the delegate
	nodes[1].stop(t) // the parent of i5 to i8
	g.Expect(leader.spread.Publish(2, []byte("two"))).To(Succeed())
	for _, n := range nodes[2:] {
		g.Eventually(n.got.Load, limit).Should(BeEquivalentTo(2))
		g.Expect(n.data.Load()).To(Equal("two"))
		g.Expect(n.back.Load()).To(BeFalse())
	}
}

// Story: the control leader is lost. The instances that are left go on asking
// each other; their leases must end all the same.
func TestLeaseEndsWithoutLeader(t *testing.T) {
	g := NewWithT(t)
	w := &world{nodes: []tree.Instance{{Name: "leader", Domain: "far", Data: true}, {Name: "i0", Domain: "hall"}, {Name: "i1", Domain: "hall"}}}
	leader, one, two := w.start(t, w.nodes[0]), w.start(t, w.nodes[1]), w.start(t, w.nodes[2])
	leader.spread.Renew(time.Now(), 3*time.Second)
	g.Expect(leader.spread.Publish(1, []byte("one"))).To(Succeed())
	for _, n := range []*node{one, two} {
		g.Eventually(func() bool { return n.spread.Lease().Valid }, limit).Should(BeTrue())
	}
	leader.stop(t)
	for _, n := range []*node{one, two} {
		g.Eventually(func() bool { return n.spread.Lease().Valid }, limit).Should(BeFalse())
		g.Expect(n.spread.Ready()).To(BeTrue(), "a cut-off failure domain goes on serving")
	}

	// An instance that starts meanwhile must not serve by what those have: it is
	// known that a newer revision was acted on.
	w.floor.Store(2)
	w.mu.Lock()
	w.nodes = append(w.nodes, tree.Instance{Name: "i2", Domain: "hall"})
	w.mu.Unlock()
	late := w.start(t, tree.Instance{Name: "i2", Domain: "hall"})
	g.Consistently(late.spread.Ready, time.Second).Should(BeFalse())
	g.Expect(late.got.Load()).To(BeZero())
	g.Expect(two.spread.Publish(2, []byte("two"))).To(Succeed())
	g.Eventually(late.spread.Ready, limit).Should(BeTrue())
	g.Expect(late.spread.Revision()).To(BeEquivalentTo(2))
}
