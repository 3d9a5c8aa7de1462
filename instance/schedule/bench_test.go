package schedule_test

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/comfreyladder/comfreyladder/core/sched"
)

// BenchmarkRemoteRequest measures one request of a follower from Acquire to Done, and the
// size of its messages in both directions without the envelopes of the links.
func BenchmarkRemoteRequest(b *testing.B) {
	d := newDomain(b, 64, "a", "b", "c")
	name := d.follower()
	var bytes atomic.Int64
	d.net.setCount(func(n int) { bytes.Add(int64(n)) })
	hashes := []uint64{1 << 60, 1 << 61, 1 << 62, 1 << 63}
	b.ResetTimer()
	for n := range b.N {
		g, err := d.services[name].Acquire(context.Background(), sched.Ticket{
			ID: fmt.Sprintf("0190a8b2-7c3d-7e4f-8a9b-%012d", n), Organisation: "o", Class: "draft", Model: "m",
			PromptTokens: 700, MaxTokens: 1000, PrefixHashes: hashes,
		})
		d.Expect(err).NotTo(HaveOccurred())
		g.FirstToken()
		for k := range 4 {
			g.Progress(64 * (k + 1))
		}
		g.Done(done)
	}
	b.StopTimer()
	b.ReportMetric(float64(bytes.Load())/float64(b.N), "bytes/op")
}
