package registry_test

import (
	"context"
	"crypto/sha256"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"github.com/comfreyladder/comfreyladder/core/announce"
	"github.com/comfreyladder/comfreyladder/core/fault"
	"github.com/comfreyladder/comfreyladder/core/intent"
	"github.com/comfreyladder/comfreyladder/instance/link"
	"github.com/comfreyladder/comfreyladder/instance/registry"
)

const testTimeout = 20 * time.Second

type addressBook struct{ sync.Map }

func (b *addressBook) Address(name string) (string, bool) {
	v, ok := b.Load(name)
	if !ok {
		return "", false
	}
	return v.(string), true
}

func start(t *testing.T, name string, b *addressBook, peers ...string) *registry.Service {
	g := NewWithT(t)
	links, err := link.New(link.Config{
		Self: name, Listen: "127.0.0.1:0", Credential: "secret", Book: b, Log: zerolog.Nop(),
		AcceptedHashes: [][sha256.Size]byte{sha256.Sum256([]byte("secret"))},
	})
	g.Expect(err).NotTo(HaveOccurred())
	s := registry.New(registry.Config{Domain: "hall", Links: links, Log: zerolog.Nop(), Peers: func() []string { return peers }})
	g.Expect(links.Start(context.Background())).To(Succeed())
	b.Store(name, links.Addr().String())
	g.Expect(s.Start(context.Background())).To(Succeed())
	t.Cleanup(func() {
		ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
		defer cancel()
		g.Expect(s.Stop(ctx)).To(Succeed())
		g.Expect(links.Stop(ctx)).To(Succeed())
	})
	return s
}

// An upstream announces its leave to one instance, whose link to a third one is down. The second
// one relays the leave, so that the third gives the upstream no more work although earlier
// beats would still allow it.
func TestLeavesAreRelayed(t *testing.T) {
	g := NewWithT(t)
	b := &addressBook{}
	one, three := start(t, "one", b, "two"), start(t, "three", b)
	start(t, "two", b, "three")
	beat := announce.Heartbeat{
		Name: "e1", Domain: "hall", Kind: intent.KindEngine, Address: "127.0.0.1:1", Slots: 4,
		Incarnation: 1, TTLMillis: 2000,
	}
	leave := beat
	leave.Sequence, leave.Leave = 1<<40, true
	g.Expect(three.Announce(beat)).To(Succeed())
	g.Expect(one.Announce(leave)).To(Succeed())
	// The upstream's late beats still reach the third instance, so that it is not dropped
	// for silence.
	g.Eventually(func() any {
		beat.Sequence++
		g.Expect(three.Announce(beat)).To(Succeed())
		return three.View().Find("e1")
	}, testTimeout).Should(BeNil())
}

// An upstream's announcements reach one instance of its failure domain. The other one learns of
// the upstream too, and drops it when it leaves or dies without a leave.
func TestUpstreamsAreKnownInTheWholeDomain(t *testing.T) {
	g := NewWithT(t)
	b := &addressBook{}
	one, two := start(t, "one", b, "two"), start(t, "two", b, "one", "three")
	beat := announce.Heartbeat{
		Name: "e1", Domain: "hall", Kind: intent.KindEngine, Address: "127.0.0.1:1", Slots: 4,
		Incarnation: 1, TTLMillis: 2000,
	}
	dying := beat
	dying.Name = "e2"
	names := func(s *registry.Service) func() []string {
		return func() []string {
			var all []string
			for _, u := range s.View().Upstreams {
				all = append(all, u.Name)
			}
			return all
		}
	}
	g.Expect(one.Announce(dying)).To(Succeed())
	g.Eventually(func() []string {
		beat.Sequence++
		g.Expect(one.Announce(beat)).To(Succeed())
		return names(two)()
	}, testTimeout, "100ms").Should(Equal([]string{"e1", "e2"}))
	g.Eventually(func() []string {
		beat.Sequence++
		g.Expect(two.Announce(beat)).To(Succeed())
		return append(names(one)(), names(two)()...)
	}, testTimeout, "100ms").Should(Equal([]string{"e1", "e1"}), "the dead upstream is dropped")

	beat.Sequence++
	beat.Leave = true
	g.Expect(two.Announce(beat)).To(Succeed())
	g.Expect(names(two)()).To(BeEmpty())
	g.Eventually(names(one), testTimeout).Should(BeEmpty())

	beat.Domain = "elsewhere"
	g.Expect(fault.CodeOf(one.Announce(beat))).To(Equal(fault.Invalid))
}
