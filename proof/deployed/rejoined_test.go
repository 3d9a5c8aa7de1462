package deployed_test

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

const (
	// beginPause is the time between two streams that begin before all instances are killed: the last ones
	// have begun an instant before, the first ones have almost ended.
	beginPause = 25 * time.Millisecond
	// takeUpFor is for how long a stream that is refused is taken up again.
	takeUpFor = 3 * time.Second
)

// beginAndKillAll begins streams one after the other at all edges, kills these at once after the last one, and
// starts them again. meanwhile is called while none runs.
func (q *quartet) beginAndKillAll(s *streamer, meanwhile func()) []*taken {
	streams := newStreams()
	var broken sync.WaitGroup
	for i, t := range streams {
		broken.Go(func() { s.take(t, q.edges[i%len(q.edges)]) })
		time.Sleep(beginPause)
	}
	var killed sync.WaitGroup
	for _, e := range q.edges {
		killed.Go(e.kill)
	}
	killed.Wait()
	broken.Wait()
	meanwhile()
	for _, e := range q.edges {
		e.start(false)
	}
	for _, e := range q.edges {
		q.g.Eventually(e.ready, patience, poll).Should(BeTrue(), e.log)
	}
	return streams
}

// takeUpAll goes on with streams at other edges than before, again while they are refused.
func (q *quartet) takeUpAll(s *streamer, streams []*taken) {
	var all sync.WaitGroup
	for i, t := range streams {
		all.Go(func() {
			for begun := time.Now(); !t.whole && time.Since(begun) < takeUpFor; time.Sleep(poll) {
				s.take(t, q.edges[(i+1)%len(q.edges)])
				if t.status == http.StatusOK && t.ended {
					return
				}
			}
		})
	}
	all.Wait()
}

// Guards against streams that are taken up at another version of an upstream's software after all instances were
// killed at once, and have forgotten where they began; and against ones that do not go on.
func TestStreamsGoOnAtTheirVersionAfterAllInstancesWereKilled(t *testing.T) {
	q, s := newStreamer(t)
	for play := range 3 {
		streams := q.beginAndKillAll(s, func() {})
		interrupted := 0
		for _, one := range streams {
			if !one.whole {
				interrupted++
			}
		}
		q.takeUpAll(s, streams)
		mixed, whole := judge(streams)
		t.Logf("play %d: %d of %d streams interrupted, %d hold several versions, %d are whole", play, interrupted, versionStreams, mixed, whole)
		Expect(mixed).To(BeZero())
		Expect(whole).To(BeNumerically(">=", versionStreams/2), "streams that are taken up go on")
	}
}

// Guards against streams that are taken up at the next version of an upstream's software after all instances were
// killed at once, and the upstreams at which they began have just left: before the kill there was one version only.
func TestStreamsOfUpstreamsThatHaveLeftAreNotJoined(t *testing.T) {
	q, s, old := newStreamerAt(t, "v1")
	streams := q.beginAndKillAll(s, func() {
		for i := range old {
			q.versioned(fmt.Sprint("successor-", i), "v2", s.serve("v2"), q.cores...)
		}
		for i, r := range old {
			r.crash()
			status, _ := call("DELETE", "http://"+q.cores[i%len(q.cores)].at(portControl)+"/instances/"+r.id, "")
			Expect(status/100).To(Equal(2), r.id)
		}
	})
	for _, e := range q.edges {
		Eventually(func() bool {
			one := &taken{last: -1}
			s.take(one, e)
			return one.whole
		}, patience, poll).Should(BeTrue(), "new streams are served")
	}
	q.takeUpAll(s, streams)
	mixed, whole := judge(streams)
	t.Logf("%d of %d streams hold several versions, %d are whole", mixed, versionStreams, whole)
	Expect(mixed).To(BeZero())
}
