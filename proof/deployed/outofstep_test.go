package deployed_test

import (
	"fmt"
	"sync"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// Guards against streams that go on at another version of an upstream's software, taken up at an edge that stood still
// while upstreams of a new version joined, through which streams had begun at other edges; and against ones that do
// not go on once that edge is in step.
func TestStreamsTakenUpAtAnEdgeThatStoodStill(t *testing.T) {
	for _, span := range []time.Duration{2 * time.Second, 6 * time.Second} {
		t.Run(span.String(), func(t *testing.T) {
			q, s, _ := newStreamerAt(t, "v1")
			still, others := q.edges[0], q.edges[1:]
			still.signal(syscall.SIGSTOP)
			stopped := time.Now()
			for i := range 6 {
				q.versioned(fmt.Sprint("successor-", i), "v2", s.serve("v2"), q.cores...)
			}
			versions := func(streams []*taken) map[string]int {
				n := map[string]int{}
				for _, one := range streams {
					for _, v := range one.versions {
						n[v]++
					}
				}
				return n
			}
			begin := func() []*taken {
				streams := newStreams()
				for _, one := range streams {
					one.hangsUpAfter = breaksAfter
				}
				s.takeAll(streams, func(i int) *node { return others[i%len(others)] })
				for _, one := range streams {
					one.hangsUpAfter = 0
				}
				return streams
			}
			time.Sleep(time.Until(stopped.Add(span - breaksAfter*versionEventPause)))
			streams := begin()
			q.within(patience, func() bool {
				if versions(streams)["v2"] >= versionStreams/4 {
					return true
				}
				streams = begin()
				return false
			}, "streams begin at the new version")
			t.Logf("stood still for %v; streams began at %v", time.Since(stopped), versions(streams))
			still.signal(syscall.SIGCONT)
			var all sync.WaitGroup
			for _, one := range streams {
				all.Go(func() {
					for begun := time.Now(); !one.whole && time.Since(begun) < takeUpFor; time.Sleep(poll) {
						s.take(one, still)
					}
				})
			}
			all.Wait()
			mixed, whole := judge(streams)
			t.Logf("%d of %d streams hold several versions, %d are whole", mixed, versionStreams, whole)
			Expect(mixed).To(BeZero())
			Expect(whole).To(BeNumerically(">=", versionStreams/2), "streams that are taken up go on")
		})
	}
}
