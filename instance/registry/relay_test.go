package registry_test

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"github.com/comfreyladder/comfreyladder/core/announce"
	"github.com/comfreyladder/comfreyladder/core/intent"
	core "github.com/comfreyladder/comfreyladder/core/registry"
	"github.com/comfreyladder/comfreyladder/instance/link"
	"github.com/comfreyladder/comfreyladder/instance/registry"
)

// linkRecorder records what a registry sends to each peer.
type linkRecorder struct {
	mu       sync.Mutex
	messages map[string]int
	seen     map[string]map[uint64]bool
}

// sent is the encoding of the messages.
type sent struct {
	Beats  []core.RelayedBeat `codec:"b"`
	Briefs []core.CompactBeat `codec:"s"`
}

func (p *linkRecorder) Handle(string, link.Handler, ...link.ChannelOption) {}

func (p *linkRecorder) Send(to, _ string, msg any) error {
	data, err := link.Encode(msg)
	if err != nil {
		return err
	}
	var m sent
	if err := link.Decode(data, &m); err != nil {
		return err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.seen[to] == nil {
		p.seen[to] = map[uint64]bool{}
	}
	p.messages[to]++
	for _, b := range m.Briefs {
		p.seen[to][b.Sequence] = true
	}
	return nil
}

func (p *linkRecorder) has(to string, sequence uint64) func() bool {
	return func() bool {
		p.mu.Lock()
		defer p.mu.Unlock()
		return p.seen[to][sequence]
	}
}

// Relaying every beat to every peer at once costs each instance processor time, and only the
// scheduler acts on load. So the other peers get several beats in one message, but must still
// get all of them, including those queued while another instance becomes the scheduler.
func TestRelaysToSchedulerFirst(t *testing.T) {
	g := NewWithT(t)
	p := &linkRecorder{messages: map[string]int{}, seen: map[string]map[uint64]bool{}}
	var scheduler atomic.Value
	scheduler.Store("two")
	s := registry.New(registry.Config{
		Domain: "hall", Links: p, Log: zerolog.Nop(), Interval: 5 * time.Millisecond,
		Peers: func() []string { return []string{"two", "three", "four"} }, Scheduler: func() string { return scheduler.Load().(string) },
	})
	g.Expect(s.Start(context.Background())).To(Succeed())
	defer func() { _ = s.Stop(context.Background()) }()
	beat := announce.Heartbeat{
		Name: "e1", Domain: "hall", Kind: intent.KindEngine, Address: "127.0.0.1:1", Slots: 4, Incarnation: 1, TTLMillis: 3000,
	}
	announced := func() {
		beat.Sequence++
		g.Expect(s.Announce(beat)).To(Succeed())
		g.Eventually(p.has(scheduler.Load().(string), beat.Sequence), testTimeout, "1ms").Should(BeTrue())
	}
	const beats = 40
	for range beats {
		announced()
	}
	p.mu.Lock()
	first, others := p.messages["two"], p.messages["three"]
	p.mu.Unlock()
	g.Expect(first).To(Equal(beats))
	g.Expect(others).To(BeNumerically("<=", beats/2))
	for n := range beats {
		// The scheduler changes at every seventh beat, so that the number of queued beats
		// varies.
		if n%7 == 0 {
			scheduler.Store([]string{"three", "four"}[n/7%2])
		}
		announced()
	}
	for _, peer := range []string{"two", "three", "four"} {
		for n := uint64(1); n <= 2*beats; n++ {
			g.Eventually(p.has(peer, n), testTimeout).Should(BeTrue(), "%s lacks beat %d", peer, n)
		}
	}
}
