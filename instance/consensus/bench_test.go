package consensus_test

import (
	"context"
	"math/rand"
	"testing"
	"time"

	"github.com/comfreyladder/comfreyladder/core/control"
	"github.com/comfreyladder/comfreyladder/core/control/fence"
	"github.com/comfreyladder/comfreyladder/instance/consensus"
	"github.com/comfreyladder/comfreyladder/instance/disk"
)

// BenchmarkCommit measures the commit rate of three members with real files in one
// process, for several numbers of clients that propose at the leader.
func BenchmarkCommit(b *testing.B) {
	for _, parallel := range []int{1, 8, 64} {
		b.Run(map[int]string{1: "clients=1", 8: "clients=8", 64: "clients=64"}[parallel], func(b *testing.B) { benchCommit(b, parallel) })
	}
}

func benchCommit(b *testing.B, clients int) {
	g := newGroupOn(b, nil, func(name string) (disk.FS, string) { return disk.OS{}, b.TempDir() + "/" + name }, memberNames...)
	s := g.running(g.awaitLeader())
	data, _ := control.Marshal(&fence.Request{Verb: fence.Acquire, Subject: "teku-hall", Holder: "h", TTL: time.Second})
	work := make(chan struct{}, b.N)
	for range b.N {
		work <- struct{}{}
	}
	close(work)
	b.ResetTimer()
	done := make(chan error, clients)
	for range clients {
		go func() {
			for range work {
				if _, _, err := s.Propose(context.Background(), fence.Name, data); err != nil {
					done <- err
					return
				}
			}
			done <- nil
		}()
	}
	for range clients {
		if err := <-done; err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "commits/s")
}

// BenchmarkLeaderCrash measures how long no change can be confirmed after a crash of
// the leader, as a multiple of the election timeout.
func BenchmarkLeaderCrash(b *testing.B) {
	g := newGroup(b, func(c *consensus.Config) { c.Seed = rand.Int63() }, memberNames...)
	data, _ := control.Marshal(&fence.Request{Verb: fence.Acquire, Subject: "teku-hall", Holder: "h", TTL: time.Second})
	var total time.Duration
	for range b.N {
		old := g.awaitLeader()
		next := memberNames[0]
		if next == old {
			next = memberNames[1]
		}
		begin := time.Now()
		g.crash(old)
		for {
			if _, _, err := g.running(next).Propose(context.Background(), fence.Name, data); err == nil {
				break
			}
		}
		total += time.Since(begin)
		g.start(old)
	}
	b.ReportMetric(total.Seconds()/float64(b.N)/testElection.Seconds(), "election-timeouts/op")
}
