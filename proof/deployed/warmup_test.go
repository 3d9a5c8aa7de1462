package deployed_test

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

const (
	warmUpTime      = 4 * time.Second
	warmUpPerSecond = 8.6
	// warmUpBound is the number of requests that a cold upstream may receive in a second, with
	// warmUpSettings.
	warmUpBound    = warmUpPerSecond*1.5 + 5
	warmUpSettings = ", warmup-overrun: 1.5, warmup-slack: 5"
	warmUpEdges    = 12
	// coldKnown is the time until all instances know that an upstream became cold again.
	coldKnown  = 300 * time.Millisecond
	warmUpLoad = 240
)

// coldRunner is a runner that records when requests arrive.
type coldRunner struct {
	*runner
	mu       sync.Mutex
	arrivals []time.Time
}

// startCold starts a runner that is cold for a time, at an address or at a free one.
func (s *site) startCold(id, address string, cold time.Duration, cores []*node) *coldRunner {
	if address == "" {
		address = s.ip(250) + ":0"
	}
	var l net.Listener
	s.g.Eventually(func() (err error) { l, err = net.Listen("tcp4", address); return err }, patience, poll).Should(Succeed())
	r := &coldRunner{runner: &runner{s: s, id: id, service: "s", version: "v1", born: time.Now().UnixMilli(), listener: l, stop: make(chan struct{})}}
	r.warmAt.Store(time.Now().Add(cold).UnixNano())
	r.begin(func(w http.ResponseWriter, req *http.Request) {
		if req.URL.Path != healthPath {
			r.mu.Lock()
			r.arrivals = append(r.arrivals, time.Now())
			r.mu.Unlock()
			time.Sleep(40 * time.Millisecond)
		}
		w.Header().Set("Attempt-Id", req.Header.Get("Attempt-Id"))
		w.Header().Set("Runner-Seal", "s")
		_, _ = io.WriteString(w, "done")
	}, cores)
	return r
}

// worstSecond returns how many requests arrived in the worst second of a time, and in all of it.
func (r *coldRunner) worstSecond(from, to time.Time) (worst, all int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	arrivals := slices.DeleteFunc(slices.Clone(r.arrivals), func(at time.Time) bool { return at.Before(from) || at.After(to) })
	for i, begin := 0, 0; i < len(arrivals); i++ {
		for arrivals[i].Sub(arrivals[begin]) > time.Second {
			begin++
		}
		worst = max(worst, i-begin+1)
	}
	return worst, len(arrivals)
}

// expectBound checks the arrivals at a runner that became cold at a time.
func (r *coldRunner) expectBound(t *testing.T, what string, since time.Time) {
	t.Helper()
	worst, all := r.worstSecond(since, time.Unix(0, r.warmAt.Load()))
	t.Logf("%s: %d requests in the worst second, %d in %v, bound %.1f", what, worst, all, warmUpTime, warmUpBound)
	r.s.g.Expect(float64(worst)).To(BeNumerically("<=", warmUpBound), what)
}

// newWarmUpSite is three cores, twelve edges and three runners that are warm, under load until stop.
func newWarmUpSite(t *testing.T) (q *quartet, stop func() *tally) {
	s := newSite(t)
	s.bounds = warmUpSettings
	q = &quartet{site: s}
	for i := range 3 {
		n := s.add(fmt.Sprint("core-", i+1), 1+i, true)
		q.cores = append(q.cores, n)
		s.seeds = append(s.seeds, n.at(portControl))
	}
	for i := range warmUpEdges {
		q.edges = append(q.edges, s.add(fmt.Sprint("edge-", i+1), 101+i, false))
	}
	for _, n := range s.nodes {
		n.start(true)
	}
	body := strings.Replace(desired(1, "k"), `"max-connections":100`, fmt.Sprintf(`"max-connections":100,"warmup-s":%v,"warmup-per-s":%v`, warmUpTime.Seconds(), warmUpPerSecond), 1)
	s.within(patience, func() bool {
		status, _ := call("PUT", "http://"+q.cores[0].at(portControl)+"/config", body)
		return status == 200
	}, "the configuration")
	for i := range 3 {
		s.startCold(fmt.Sprint("i-", i+1), "", 0, q.cores)
	}
	q.awaitReady()
	return q, q.startLoad()
}

// startLoad sends requests at random times to random edges. stop ends this and returns the answers.
func (q *quartet) startLoad() (stop func() *tally) {
	ended, answers, all := make(chan struct{}), &tally{}, &sync.WaitGroup{}
	all.Go(func() {
		for next := time.Now(); ; next = next.Add(time.Duration(rand.ExpFloat64() / warmUpLoad * float64(time.Second))) {
			select {
			case <-ended:
				return
			case <-time.After(time.Until(next)):
			}
			all.Go(func() { answers.note(q.edges[rand.IntN(len(q.edges))].ask("k")) })
		}
	})
	return func() *tally { close(ended); all.Wait(); return answers }
}

// Guards against instances that each send a first request to an upstream that has just started: all
// together exceed what it bears while it is cold.
func TestColdUpstreamsReceiveNoMoreThanTheWarmUpBound(t *testing.T) {
	q, stop := newWarmUpSite(t)
	time.Sleep(time.Second)
	begun := time.Now()
	a := q.startCold("c-1", "", warmUpTime, q.cores)
	time.Sleep(warmUpTime + 3*time.Second)
	a.expectBound(t, "started under load", begun)
	_, warmed := a.worstSecond(begun, begun.Add(warmUpTime))
	q.g.Expect(warmed).To(BeNumerically(">", warmUpPerSecond), "a cold upstream is used")
	warm, _ := a.worstSecond(begun.Add(warmUpTime), time.Now())
	q.g.Expect(float64(warm)).To(BeNumerically(">", warmUpBound), "a warm upstream is not limited")

	// It becomes cold again, which it reports at once.
	a.warmAt.Store(time.Now().Add(warmUpTime).UnixNano())
	a.report(q.cores[1], "ready")
	begun = time.Now().Add(coldKnown)
	time.Sleep(warmUpTime)
	a.expectBound(t, "cold again", begun)

	// Two start at once, some instances are suspended with permits, and the leader ends.
	begun = time.Now()
	b, c := q.startCold("c-2", "", warmUpTime, q.cores), q.startCold("c-3", "", warmUpTime, q.cores)
	time.Sleep(time.Second)
	for _, e := range q.edges[:3] {
		e.signal(syscall.SIGSTOP)
	}
	leader := q.leader()
	leader.kill()
	time.Sleep(warmUpTime / 2)
	for _, e := range q.edges[:3] {
		e.signal(syscall.SIGCONT)
	}
	time.Sleep(warmUpTime / 2)
	leader.start(false)
	b.expectBound(t, "two started, the leader was lost", begun)
	c.expectBound(t, "two started, the leader was lost", begun)

	// One ends and starts again under its ID at its address.
	address := a.listener.Addr().String()
	a.crash()
	time.Sleep(500 * time.Millisecond)
	begun = time.Now()
	a = q.startCold("c-1", address, warmUpTime, q.cores)
	time.Sleep(warmUpTime)
	a.expectBound(t, "started again under its ID", begun)
	answers := stop()
	t.Logf("%d of %d served", answers.served.Load(), answers.all.Load())
	q.g.Expect(float64(answers.served.Load())).To(BeNumerically(">", 0.98*float64(answers.all.Load())), "others have room")
}

// leader returns the core that leads the control group.
func (q *quartet) leader() (leads *node) {
	q.g.Eventually(func() *node {
		for _, n := range q.cores {
			if _, series := call("GET", "http://"+n.at(portMetrics)+"/metrics", ""); strings.Contains(series, "control_is_leader 1") {
				leads = n
			}
		}
		return leads
	}, patience, poll).ShouldNot(BeNil())
	return leads
}
