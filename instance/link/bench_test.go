package link_test

import (
	"context"
	"crypto/sha256"
	"strconv"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/comfreyladder/comfreyladder/instance/link"
)

type benchMessage struct {
	ID     string `codec:"i"`
	Class  string `codec:"c"`
	Tokens int    `codec:"t"`
}

// BenchmarkCall measures calls with a small message, such as the scheduler's, and the CPU time
// that both sides take together.
func BenchmarkCall(b *testing.B) {
	for _, callers := range []int{1, 64} {
		b.Run(strconv.Itoa(callers), func(b *testing.B) { benchCalls(b, callers) })
	}
}

func benchCalls(b *testing.B, callers int) {
	addresses := &addressBook{}
	services := make([]*link.Service, 2)
	for i := range services {
		s, err := link.New(link.Config{
			Self: strconv.Itoa(i), Listen: "127.0.0.1:0", Credential: "secret", Book: addresses, Log: zerolog.Nop(),
			AcceptedHashes: [][sha256.Size]byte{sha256.Sum256([]byte("secret"))},
		})
		if err != nil {
			b.Fatal(err)
		}
		s.Handle("grant", func(_ context.Context, _ string, m link.Message) (any, error) {
			var t benchMessage
			err := m.Decode(&t)
			return t, err
		})
		if err := s.Start(context.Background()); err != nil {
			b.Fatal(err)
		}
		defer func() { _ = s.Stop(context.Background()) }()
		addresses.Store(strconv.Itoa(i), s.Addr().String())
		services[i] = s
	}
	b.ResetTimer()
	before := processCPUTime()
	var running sync.WaitGroup
	for range callers {
		running.Go(func() {
			var response benchMessage
			for range max(1, b.N/callers) {
				if err := services[0].Call(context.Background(), "1", "grant", benchMessage{"request-1234567890", "nurse-review", 700}, &response); err != nil {
					b.Error(err)
					return
				}
			}
		})
	}
	running.Wait()
	b.ReportMetric(float64((processCPUTime()-before).Microseconds())/float64(b.N), "cpu-us/op")
}

func processCPUTime() time.Duration {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
