package deployed_test

import (
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// coreDown is how long cores are down that are killed.
const coreDown = 300 * time.Millisecond

// restartCores kills cores at the same time and starts them again with their disks.
func (q *quartet) restartCores(cores ...*node) {
	var all sync.WaitGroup
	for _, c := range cores {
		all.Go(c.kill)
	}
	all.Wait()
	time.Sleep(coreDown)
	for _, c := range cores {
		c.start(false)
	}
}

// expectGoOn lets callers take their streams up at the edges that are left, as soon as these get answers from the
// cores, and expects what the rules ask.
func expectGoOn(t *testing.T, q *quartet, s *streamer, streams []*taken) {
	t.Helper()
	edges := q.edges[1:]
	begin := func() (whole int) {
		fresh := newStreams()
		s.takeAll(fresh, func(i int) *node { return edges[i%len(edges)] })
		_, whole = judge(fresh)
		return whole
	}
	q.within(patience, func() bool { return begin() == versionStreams }, "new streams begin")
	for range 3 {
		broken := make([]*taken, 0, len(streams))
		for _, one := range streams {
			if !one.whole {
				broken = append(broken, one)
			}
		}
		s.takeAll(broken, func(i int) *node { return edges[i%len(edges)] })
	}
	mixed, whole := judge(streams)
	t.Logf("%d of %d streams hold several versions, %d are whole", mixed, versionStreams, whole)
	Expect(mixed).To(BeZero())
	Expect(whole).To(BeNumerically(">=", versionStreams/2), "streams that are taken up go on, as new ones begin")
}

// takeUntilKilled takes streams at the first edge, which is killed amid all of them.
func takeUntilKilled(q *quartet, s *streamer, beside func()) []*taken {
	streams := newStreams()
	killed := make(chan struct{})
	go func() {
		defer close(killed)
		time.Sleep(breaksAfter * versionEventPause)
		if beside != nil {
			go beside()
		}
		q.edges[0].kill()
	}()
	s.takeAll(streams, func(int) *node { return q.edges[0] })
	<-killed
	_, whole := judge(streams)
	Expect(whole).To(BeZero(), "the instance ends amid all streams")
	return streams
}

// takeUntilHangUp takes streams at the first edge, whose callers break their connections.
func takeUntilHangUp(q *quartet, s *streamer) []*taken {
	streams := newStreams()
	for _, one := range streams {
		one.hangsUpAfter = breaksAfter
	}
	s.takeAll(streams, func(int) *node { return q.edges[0] })
	for _, one := range streams {
		one.hangsUpAfter = 0
	}
	_, whole := judge(streams)
	Expect(whole).To(BeZero())
	return streams
}

// Guards against streams that can't be taken up because all cores were killed since they began: the edge that carries
// them goes on.
func TestStreamsGoOnAfterAllCoresWereKilled(t *testing.T) {
	q, s := newStreamer(t)
	done := make(chan struct{})
	go func() {
		defer close(done)
		time.Sleep(versionEventPause)
		q.restartCores(q.cores...)
	}()
	streams := takeUntilHangUp(q, s)
	<-done
	expectGoOn(t, q, s, streams)
}

// Guards against streams that can't be taken up because all cores were killed together with the edge that carried them.
func TestStreamsGoOnAfterAllCoresAndTheirEdgeWereKilled(t *testing.T) {
	q, s := newStreamer(t)
	done := make(chan struct{})
	streams := takeUntilKilled(q, s, func() {
		defer close(done)
		q.restartCores(q.cores...)
	})
	<-done
	expectGoOn(t, q, s, streams)
}

// Guards against streams that are forgotten core by core, after the edge that carried them was killed.
func TestStreamsGoOnAfterEachCoreWasKilled(t *testing.T) {
	q, s := newStreamer(t)
	streams := takeUntilKilled(q, s, nil)
	for _, c := range q.cores {
		q.restartCores(c)
		time.Sleep(coreDown)
	}
	expectGoOn(t, q, s, streams)
}

// Guards against streams that are forgotten with the disks of the cores: each loses its disk, one after the other,
// while the edge that carries the streams goes on.
func TestStreamsGoOnAfterEachCoreLostItsDisk(t *testing.T) {
	q, s := newStreamer(t)
	streams := takeUntilHangUp(q, s)
	for _, c := range q.cores {
		c.kill()
		c.wipe()
		time.Sleep(coreDown)
		c.start(false)
		time.Sleep(catchUp)
	}
	expectGoOn(t, q, s, streams)
}
