package registry_test

import (
	"context"
	"crypto/sha256"
	"fmt"
	"math/rand/v2"
	"syscall"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/comfreyladder/comfreyladder/core/announce"
	"github.com/comfreyladder/comfreyladder/core/intent"
	core "github.com/comfreyladder/comfreyladder/core/member"
	"github.com/comfreyladder/comfreyladder/instance/link"
	"github.com/comfreyladder/comfreyladder/instance/member"
	"github.com/comfreyladder/comfreyladder/instance/registry"
)

const (
	benchInstances = 21
	benchUpstreams = 76
	benchSettle    = 5 * time.Second
	benchMeasured  = 10 * time.Second
)

type daemon struct {
	links    *link.Service
	members  *member.Service
	registry *registry.Service
}

// BenchmarkDomain runs the links, membership and registries of a failure domain of the size that
// the system is designed for in one process and reports the traffic and processor time per
// instance. One run takes a fixed time, so ns/op is meaningless.
func BenchmarkDomain(b *testing.B) {
	var all []*daemon
	seed := ""
	for i := range benchInstances {
		d := newDaemon(b, i, seed)
		seed = d.links.Addr().String()
		if i > 0 {
			seed = all[0].links.Addr().String()
		}
		all = append(all, d)
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	for u := range benchUpstreams {
		go announceForever(ctx, all, u)
	}
	time.Sleep(benchSettle)
	bytes, cpu := received(all), processorTime()
	for b.Loop() {
		time.Sleep(benchMeasured)
	}
	seconds := b.Elapsed().Seconds()
	b.ReportMetric((received(all)-bytes)/seconds/benchInstances, "B/s/instance")
	b.ReportMetric(100*(processorTime()-cpu).Seconds()/seconds/benchInstances, "%core/instance")
	b.ReportMetric(float64(len(all[3].registry.View().Upstreams)), "upstreams")
	cancel()
	for _, d := range all {
		_ = d.registry.Stop(context.Background())
		_ = d.members.Stop(context.Background())
		_ = d.links.Stop(context.Background())
	}
}

func newDaemon(b *testing.B, i int, seed string) *daemon {
	name := fmt.Sprintf("entry-neihu-%02d", i)
	var seeds []string
	if seed != "" {
		seeds = []string{seed}
	}
	book := member.NewBook(seeds)
	links, err := link.New(link.Config{
		Self: name, Listen: "127.0.0.1:0", Credential: "secret", Book: book, Log: zerolog.Nop(),
		AcceptedHashes: [][sha256.Size]byte{sha256.Sum256([]byte("secret"))},
	})
	if err != nil {
		b.Fatal(err)
	}
	if err := links.Start(context.Background()); err != nil {
		b.Fatal(err)
	}
	d := &daemon{links: links}
	d.members = member.New(member.Config{
		Self:  core.Info{Name: name, Domain: "neihu-hall", Address: links.Addr().String(), Incarnation: 1},
		Seeds: seeds, Book: book, Links: links, Log: zerolog.Nop(),
	})
	d.registry = registry.New(registry.Config{Domain: "neihu-hall", Links: links, Log: zerolog.Nop(), Peers: d.members.Peers})
	_ = d.members.Start(context.Background())
	_ = d.registry.Start(context.Background())
	return d
}

func announceForever(ctx context.Context, all []*daemon, u int) {
	beat := announce.Heartbeat{
		Name: fmt.Sprintf("engine-neihu-%03d", u), Domain: "neihu-hall", Kind: intent.KindEngine,
		Address: "127.0.0.1:8000", Models: []string{"reports-70b", "answers-8b", "summary-13b"}, Slots: 64,
		Incarnation: 1, TTLMillis: 3000, Load: &announce.Load{Running: 33, Waiting: 4, TokensPerSecond: 2310.5, KVUsed: 0.61},
	}
	time.Sleep(rand.N(time.Second))
	for ctx.Err() == nil {
		beat.Sequence++
		_ = all[rand.N(len(all))].registry.Announce(beat)
		time.Sleep(time.Second)
	}
}

func received(all []*daemon) float64 {
	sum := uint64(0)
	for _, d := range all {
		for _, c := range d.links.Stats() {
			sum += c.RecvBytes
		}
	}
	return float64(sum)
}

func processorTime() time.Duration {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
