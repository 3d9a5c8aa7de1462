package deployed_test

import (
	"net/http"
	"strconv"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

const (
	// frailSlots is how many requests a brittle upstream runs at once; in the end it lets none wait.
	frailSlots = 8
	// frailTolerated is how many it turns away in a second before it falls over.
	frailTolerated = 5
	// mostFalls and mostFallsShare bound how often the upstreams may fall over.
	mostFalls, mostFallsShare = 2, 0.1
	frailWork                 = 150 * time.Millisecond
	frailFor                  = 8 * time.Second
)

// frail is the state of brittle upstreams: what each has under way, and when it turned requests away.
type frail struct {
	mu       sync.Mutex
	running  map[*runner]int
	rejected map[*runner][]time.Time
	turned   int
	// full is set once they turn away what exceeds their slots.
	full bool
}

func (s *frail) letNoneWait() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.full = true
}

func newFrail() *frail {
	return &frail{running: map[*runner]int{}, rejected: map[*runner][]time.Time{}}
}

// take takes a request or turns it away, which may end the upstream.
func (s *frail) take(f *fragile, r *runner, out http.ResponseWriter, req *http.Request) (done func(), taken bool) {
	if s == nil {
		return func() {}, true
	}
	out.Header().Set("Server-Brittle", strconv.Itoa(frailTolerated))
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.full || s.running[r] < frailSlots {
		s.running[r]++
		return func() {
			s.mu.Lock()
			defer s.mu.Unlock()
			s.running[r]--
		}, true
	}
	s.turned++
	now := time.Now()
	recent := []time.Time{now}
	for _, at := range s.rejected[r] {
		if now.Sub(at) < time.Second {
			recent = append(recent, at)
		}
	}
	s.rejected[r] = recent
	if len(recent) > frailTolerated {
		go f.end(r)
	}
	out.Header().Set("Attempt-Id", req.Header.Get("Attempt-Id"))
	out.Header().Set("Not-Executed", "1")
	out.WriteHeader(http.StatusServiceUnavailable)
	return func() {}, false
}

// Guards against instances that fill the queues of upstreams which fall over when they have to turn
// requests away, and against ones that leave their slots empty instead.
func TestBrittleUpstreamsDoNotFallOver(t *testing.T) {
	q := newQuartet(t)
	q.upstreams.mu.Lock()
	q.upstreams.frail = newFrail()
	q.upstreams.mu.Unlock()
	q.upstreams.work.Store(int64(frailWork))
	ended := make(chan struct{})
	// A third more than all slots take.
	const perSecond = 6 * frailSlots * 1000 / 150 * 4 / 3
	answers, wait := q.steady(perSecond, ended, func(string) {})
	time.Sleep(inContact)
	q.upstreams.frail.letNoneWait()
	time.Sleep(frailFor)
	close(ended)
	wait()
	q.upstreams.mu.Lock()
	falls := len(q.upstreams.crashes)
	q.upstreams.mu.Unlock()
	t.Logf("%d falls, %d turned away, %d of %d served", falls, q.upstreams.frail.turned, answers.served.Load(), answers.all.Load())
	Expect(float64(falls)).To(BeNumerically("<=", mostFalls+mostFallsShare*6))
	Expect(answers.served.Load()).To(BeNumerically(">", answers.all.Load()/2), "slots are used")
}
