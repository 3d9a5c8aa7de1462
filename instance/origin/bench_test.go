package origin

import (
	"fmt"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/comfreyladder/comfreyladder/core/origin"
	"github.com/comfreyladder/comfreyladder/instance/disk/disktest"
)

// BenchmarkMessage measures what a member does for a message of ten streams, by the number of instances that
// send some.
func BenchmarkMessage(b *testing.B) {
	for _, instances := range []int{100, 1000, 10_000, 20_000} {
		b.Run(fmt.Sprint("instances=", instances), func(b *testing.B) {
			s := &Service{store: origin.NewStore(), received: map[string]uint64{}}
			s.journal = newJournal(disktest.NewMemory(), "data", zerolog.Nop(), s.remember)
			names := make([]string, instances)
			for i := range names {
				names[i] = fmt.Sprint("instance-", i)
			}
			i := 0
			for b.Loop() {
				msg := Begun{Groups: []Group{{Service: "s", Software: "v", Streams: make([]origin.Key, 10)}}, Number: uint64(i/instances) + 1, First: i < instances}
				for k := range msg.Groups[0].Streams {
					msg.Groups[0].Streams[k] = origin.Key(10*i + k)
				}
				s.remember(msg.Groups)
				s.journal.add(&msg)
				s.count(names[i%instances], &msg)
				if i++; i%1000 == 0 {
					s.journal.unwritten, s.journal.count = map[origin.Origin][]origin.Key{}, 0
				}
			}
		})
	}
}

// BenchmarkTellAll measures what an instance does once for a member that has restarted, by the number of streams
// that it remembers.
func BenchmarkTellAll(b *testing.B) {
	for _, streams := range []int{100, 1000, 10_000, 100_000} {
		b.Run(fmt.Sprint("streams=", streams), func(b *testing.B) {
			now, own := time.Unix(1000, 0), origin.NewStore()
			for k := range streams {
				own.Add(now, origin.Key(k), origin.Origin{Service: "s", Software: "v"})
			}
			for b.Loop() {
				t := newTarget("m")
				for t.take(now, own) != nil {
				}
			}
		})
	}
}
