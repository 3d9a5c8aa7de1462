package deployed_test

import (
	"net/http"
	"strconv"
	"strings"
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
	// frailUnbounded is more than ever run at an upstream that lets none wait.
	frailUnbounded = 1 << 10
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
	// checks counts the health requests, turnedChecks those that were turned away.
	checks, turnedChecks int
	// slots is how many requests an upstream runs at once, queue how many may wait besides.
	slots, queue int
	// turns has a place for each request that runs.
	turns map[*runner]chan struct{}
	// full is set once they turn away what exceeds their slots.
	full bool
}

func (s *frail) letNoneWait() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.full = true
}

func newFrail() *frail {
	return &frail{slots: frailSlots, running: map[*runner]int{}, rejected: map[*runner][]time.Time{}, turns: map[*runner]chan struct{}{}}
}

// admit counts a request that is taken, and returns where it waits for its turn; nil if there is no room.
func (s *frail) admit(r *runner, check bool) chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	if check {
		s.checks++
	}
	if s.full && s.running[r] >= s.slots+s.queue {
		return nil
	}
	if s.turns[r] == nil {
		turns := s.slots
		if s.queue == 0 {
			turns = frailUnbounded
		}
		s.turns[r] = make(chan struct{}, turns)
	}
	s.running[r]++
	return s.turns[r]
}

// take takes a request or turns it away, which may end the upstream.
func (s *frail) take(f *fragile, r *runner, out http.ResponseWriter, req *http.Request) (done func(), taken bool) {
	if s == nil {
		return func() {}, true
	}
	out.Header().Set("Server-Brittle", strconv.Itoa(frailTolerated))
	if turns := s.admit(r, req.URL.Path == healthPath); turns != nil {
		turns <- struct{}{}
		return func() {
			<-turns
			s.mu.Lock()
			defer s.mu.Unlock()
			s.running[r]--
		}, true
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.turned++
	if req.URL.Path == healthPath {
		s.turnedChecks++
	}
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

const (
	// narrowSlots and narrowQueue are the slots and the queue of the upstreams, narrowWork is the work of a
	// request: three upstreams serve 180 requests a second. They get narrowLoad.
	narrowSlots, narrowQueue = 6, 2
	narrowWork               = 100 * time.Millisecond
	narrowLoad, narrowFor    = 240, 12 * time.Second
	// leastNarrow is how many of the 2,160 that can be served must be.
	leastNarrow = 2050
)

// Guards against brittle upstreams with few slots that fall over as soon as more is asked than they can
// serve: since instances return together after a rejection, or since link checks come to upstreams that are
// full when another one has ended.
func TestBrittleUpstreamsWithFewSlotsDoNotFallOver(t *testing.T) {
	for name, c := range map[string]struct {
		calm time.Duration
		ends int
	}{"load alone": {0, 0}, "load after a calm": {inContact, 0}, "one ends under load": {0, 1}} {
		t.Run(name, func(t *testing.T) {
			q := newQuartetWithout(t)
			f := newFrail()
			f.slots, f.queue, f.full = narrowSlots, narrowQueue, true
			q.upstreams = q.fragileOf(f, 3, q.cores...)
			q.upstreams.work.Store(int64(narrowWork))
			q.awaitReady()
			time.Sleep(c.calm)
			ended := make(chan struct{})
			answers, wait := q.steady(narrowLoad, ended, func(string) {})
			time.Sleep(narrowFor / 4)
			for range c.ends {
				q.upstreams.endOne()
			}
			time.Sleep(narrowFor * 3 / 4)
			close(ended)
			wait()
			falls := q.falls()
			t.Logf("%d falls, %d turned away, %d of %d served; %d health requests, %d turned away, checks by reason %v",
				falls, f.turned, answers.served.Load(), answers.all.Load(), f.checks, f.turnedChecks, q.checks())
			q.g.Expect(falls).To(Equal(c.ends))
			// An upstream that ended is gone for a while and has to be found again.
			lost := float64(c.ends) * (downFor + time.Second).Seconds() * narrowSlots / narrowWork.Seconds()
			q.g.Expect(float64(answers.served.Load())).To(BeNumerically(">=", leastNarrow-lost), "slots are used")
		})
	}
}

// falls returns how many upstreams have ended.
func (q *quartet) falls() int {
	q.upstreams.mu.Lock()
	defer q.upstreams.mu.Unlock()
	return len(q.upstreams.crashes)
}

// checks returns how many link checks the edges have begun, by reason.
func (q *quartet) checks() map[string]int {
	n := map[string]int{}
	for _, e := range q.edges {
		for line := range strings.Lines(e.log()) {
			if _, reason, ok := strings.Cut(line, "event=links_checked reason="); ok {
				n[strings.Fields(reason)[0]]++
			}
		}
	}
	return n
}
