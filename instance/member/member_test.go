package member_test

import (
	"context"
	"crypto/sha256"
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	core "github.com/comfreyladder/comfreyladder/core/member"
	"github.com/comfreyladder/comfreyladder/instance/link"
	"github.com/comfreyladder/comfreyladder/instance/member"
)

const testTimeout = 20 * time.Second

type instance struct {
	links   *link.Service
	members *member.Service
}

func start(t *testing.T, name, domain string, incarnation uint64, seeds ...string) *instance {
	g := NewWithT(t)
	book := member.NewBook(seeds)
	links, err := link.New(link.Config{
		Self: name, Listen: "127.0.0.1:0", Credential: "secret", Book: book, Log: zerolog.Nop(),
		AcceptedHashes: [][sha256.Size]byte{sha256.Sum256([]byte("secret"))},
	})
	g.Expect(err).NotTo(HaveOccurred())
	n := &instance{links: links}
	cfg := member.Config{Seeds: seeds, Book: book, Links: links, Interval: 50 * time.Millisecond}
	cfg.Table = core.Config{SuspectAfter: time.Second, DeadAfter: 2 * time.Second, ForgetAfter: time.Hour, DomainSilentAfter: 5 * time.Second}
	g.Expect(links.Start(context.Background())).To(Succeed())
	cfg.Self = core.Info{Name: name, Domain: domain, Address: links.Addr().String(), Incarnation: incarnation}
	n.members = member.New(cfg)
	g.Expect(n.members.Start(context.Background())).To(Succeed())
	t.Cleanup(func() { n.kill(t) })
	return n
}

func (n *instance) kill(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	NewWithT(t).Expect(n.links.Stop(ctx)).To(Succeed())
	_ = n.members.Stop(ctx)
}

func (n *instance) status(name string) func() string {
	return func() string {
		for _, m := range n.members.Members() {
			if m.Name == name {
				return m.Status.String()
			}
		}
		return "unknown"
	}
}

// Instances of a failure domain start with the address of one seed only. One of them leaves, one
// crashes, and one restarts under its old name; the others must see each status.
func TestLifeOfADomain(t *testing.T) {
	g := NewWithT(t)
	first := start(t, "i0", "hall", 1)
	seed := first.links.Addr().String()
	instances := []*instance{first}
	for i := 1; i < 5; i++ {
		instances = append(instances, start(t, fmt.Sprintf("i%d", i), "hall", 1, seed))
	}
	far := start(t, "x0", "far", 1, seed)
	for _, n := range instances {
		for i := range instances {
			g.Eventually(n.status(fmt.Sprintf("i%d", i)), testTimeout).Should(Equal("alive"))
		}
		g.Eventually(func() bool { return n.members.DomainSilent("far") }, testTimeout).Should(BeFalse())
	}
	g.Eventually(func() int {
		for _, d := range far.members.Domains() {
			return d.Live
		}
		return 0
	}, testTimeout).Should(Equal(5))

	instances[2].members.SetRevision(7)
	g.Eventually(instances[1].members.RevisionSeen, testTimeout).Should(BeEquivalentTo(7))
	g.Expect(instances[2].members.Drain(context.Background())).To(Succeed())
	g.Eventually(instances[1].status("i2"), testTimeout).Should(Equal("draining"))
	g.Expect(instances[2].members.Stop(context.Background())).To(Succeed())
	g.Eventually(instances[1].status("i2"), testTimeout).Should(Equal("left"))
	instances[3].kill(t)
	g.Eventually(instances[1].status("i3"), testTimeout).Should(Equal("dead"))

	again := start(t, "i2", "hall", 2, seed)
	g.Eventually(instances[1].status("i2"), testTimeout).Should(Equal("alive"))
	g.Eventually(again.status("i4"), testTimeout).Should(Equal("alive"))
	g.Eventually(again.members.RevisionSeen, testTimeout).Should(BeEquivalentTo(7), "the revision it applied before the restart")
}
