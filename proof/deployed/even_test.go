package deployed_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

const (
	evenEdges, evenUpstreams, evenSlots = 8, 24, 4
	evenWork                            = 40 * time.Millisecond
	// evenSettle is the time of a case before requests are counted, and evenCounted the time after.
	evenSettle, evenCounted = 1500 * time.Millisecond, 4 * time.Second
)

// evenCase is a load of docs/design/two-customers.md, part 2: load returns the share of the slots
// that are asked for at a time, slow is how many upstreams take three times as long, and joining how
// many start after half of the time.
type evenCase struct {
	name          string
	load          func(at time.Duration) float64
	slow, joining int
}

func steadily(load float64) func(time.Duration) float64 {
	return func(time.Duration) float64 { return load }
}

var evenCases = []evenCase{
	{name: "steady", load: steadily(0.6)},
	{name: "slow", load: steadily(0.6), slow: evenUpstreams / 3},
	{name: "bursts", load: func(at time.Duration) float64 {
		if at%time.Second < 150*time.Millisecond {
			return 1
		}
		return 0.4
	}},
	{name: "join", load: steadily(0.7), joining: evenUpstreams / 3},
}

// slotted is an upstream with a bounded number of slots and an unbounded queue.
type slotted struct {
	slots chan struct{}
	// present counts the requests that are there, and most is its maximum.
	present, most atomic.Int64
	work          time.Duration
	// joins is when it starts.
	joins time.Duration
}

// evenRun counts the requests of a case, and how many of them found all slots taken.
type evenRun struct {
	counting        atomic.Bool
	arrived, waited atomic.Int64
	upstreams       []*slotted
	failed          atomic.Int64
	// planned and worked sum up the work of requests as planned and as measured.
	planned, worked atomic.Int64
	// begun is the begin of the case, and arrivals holds the times after it at which requests reached
	// an upstream.
	begun    time.Time
	mu       sync.Mutex
	arrivals []time.Duration
}

func (e *evenRun) serve(u *slotted) http.HandlerFunc {
	return func(w http.ResponseWriter, req *http.Request) {
		if req.URL.Path == healthPath {
			return
		}
		e.arrive()
		n := u.present.Add(1)
		defer u.present.Add(-1)
		if e.counting.Load() {
			e.arrived.Add(1)
			if n > evenSlots {
				e.waited.Add(1)
			}
			u.most.Store(max(n, u.most.Load()))
		}
		u.slots <- struct{}{}
		begun := time.Now()
		time.Sleep(u.work)
		<-u.slots
		e.planned.Add(int64(u.work))
		e.worked.Add(int64(time.Since(begun)))
		w.Header().Set("Attempt-Id", req.Header.Get("Attempt-Id"))
		w.Header().Set("Runner-Seal", "s")
		_, _ = w.Write([]byte("done"))
	}
}

func (e *evenRun) arrive() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.begun.IsZero() {
		e.arrivals = append(e.arrivals, time.Since(e.begun))
	}
}

func (e *evenRun) start(s *site, k *evenCase, cores []*node, from, to int, at time.Duration) {
	for i := from; i < to; i++ {
		u := &slotted{slots: make(chan struct{}, evenSlots), work: evenWork, joins: at}
		if i%3 == 0 && i/3 < k.slow {
			u.work *= 3
		}
		e.upstreams = append(e.upstreams, u)
		r := s.newRunner("s", fmt.Sprint("u-", i))
		r.slots = evenSlots
		r.begin(e.serve(u), cores)
	}
}

// evenRegistration is how long an upstream may take until all instances know it.
const evenRegistration = 500 * time.Millisecond

// perSecond returns how many requests the upstreams can serve that all instances know.
func (e *evenRun) perSecond(at time.Duration) (n float64) {
	for _, u := range e.upstreams {
		if u.joins == 0 || at > u.joins+evenRegistration {
			n += evenSlots / u.work.Seconds()
		}
	}
	return n
}

// send sends requests at random times through random edges.
func (e *evenRun) send(k *evenCase, edges []*node, rng *rand.Rand, from, to time.Duration) {
	const peak = 1.1
	transport := &http.Transport{MaxIdleConnsPerHost: 200}
	defer transport.CloseIdleConnections()
	caller := &http.Client{Timeout: 2 * time.Second, Transport: transport}
	var all sync.WaitGroup
	for at := from; at < to; {
		at += time.Duration(rng.ExpFloat64() / (peak * e.perSecond(at)) * float64(time.Second))
		if rng.Float64()*peak > k.load(at) {
			continue
		}
		edge, path := edges[rng.IntN(len(edges))], rng.IntN(500)
		time.Sleep(time.Until(e.begun.Add(at)))
		all.Go(func() {
			id := fmt.Sprintf("a%d", attempts.Add(1))
			status, _ := callWith(caller, "GET", fmt.Sprintf("http://%s/a/%d", edge.at(portFrontend), path), "", "Host", "h.example", "Attempt-Id", id, "Key", "k", "Deadline-Ms", "1500")
			if status != http.StatusOK {
				e.failed.Add(1)
			}
		})
	}
	all.Wait()
}

// twoChoices returns the share of the same arrivals that wait if each takes the less loaded of two
// random upstreams by exact counts.
func (e *evenRun) twoChoices(k *evenCase, rng *rand.Rand) float64 {
	free := make([][evenSlots]time.Duration, evenUpstreams)
	ends := make([][]time.Duration, evenUpstreams)
	asked, waited := 0, 0
	late := float64(e.worked.Load()) / float64(e.planned.Load())
	for _, at := range e.arrivals {
		n := evenUpstreams
		if at < evenSettle+evenCounted/2 {
			n -= k.joining
		}
		load := func(i int) int {
			ends[i] = slices.DeleteFunc(ends[i], func(end time.Duration) bool { return end <= at })
			return len(ends[i])
		}
		i, j := rng.IntN(n), rng.IntN(n)
		if load(j) < load(i) {
			i = j
		}
		if at > evenSettle {
			asked++
			if load(i) >= evenSlots {
				waited++
			}
		}
		slot := 0
		for s := range free[i] {
			if free[i][s] < free[i][slot] {
				slot = s
			}
		}
		free[i][slot] = max(at, free[i][slot]) + time.Duration(late*float64(e.upstreams[i].work))
		ends[i] = append(ends[i], free[i][slot])
	}
	return float64(waited) / math.Max(1, float64(asked))
}

// Guards against requests that wait at busy upstreams while others have free slots: instances know
// the loads of others as they were some hundred milliseconds ago, and all chose what was least
// loaded then. At most as many may wait as with the less loaded of two random upstreams.
func TestPlainServiceIsLoadedEvenly(t *testing.T) {
	for _, k := range evenCases {
		t.Run(k.name, func(t *testing.T) {
			// Edges refuse requests while the disks of all cores hang.
			newSite(t).steadily(func() error {
				s := watchedSite(t)
				defer s.killAll()
				return k.play(s)
			})
		})
	}
}

// play plays a case at a new site and returns an error if its bounds are not met.
func (k *evenCase) play(s *site) error {
	var cores, edges []*node
	for i := range 3 {
		n := s.add(fmt.Sprint("core-", i+1), 1+i, true)
		cores = append(cores, n)
		s.seeds = append(s.seeds, n.at(portControl))
	}
	for i := range evenEdges {
		edges = append(edges, s.add(fmt.Sprint("edge-", i+1), 101+i, false))
	}
	for _, n := range append(append([]*node(nil), cores...), edges...) {
		n.start(true)
	}
	s.within(patience, func() bool { return cores[0].put(1, "k") == 200 }, "the first configuration")
	e, rng := &evenRun{}, rand.New(rand.NewPCG(3, 5))
	e.start(s, k, cores, 0, evenUpstreams-k.joining, 0)
	for _, edge := range edges {
		s.within(patience, func() bool { return edge.ask("k") == 200 }, edge.name, "serves")
	}
	// The members know all instances a while after they started.
	time.Sleep(evenKnown)
	half, end := evenSettle+evenCounted/2, evenSettle+evenCounted
	e.mu.Lock()
	e.begun = time.Now()
	e.mu.Unlock()
	timer := time.AfterFunc(evenSettle, func() { e.counting.Store(true) })
	defer timer.Stop()
	e.send(k, edges, rng, 0, half)
	e.start(s, k, cores, evenUpstreams-k.joining, evenUpstreams, half)
	e.send(k, edges, rng, half, end)
	share, bound := float64(e.waited.Load())/float64(e.arrived.Load()), 0.0
	for range evenDraws {
		bound += e.twoChoices(k, rng) / evenDraws
	}
	most := int64(0)
	for _, u := range e.upstreams {
		most = max(most, u.most.Load())
	}
	s.t.Logf("%s: work took %.3f of the planned time", k.name, float64(e.worked.Load())/float64(e.planned.Load()))
	s.t.Logf("%s: %.3f of %d requests waited, two choices %.3f; at most %d at an upstream; %d not served", k.name, share, e.arrived.Load(), bound, most, e.failed.Load())
	if share > bound || e.failed.Load() >= e.arrived.Load()/100 {
		return fmt.Errorf("%.3f waited, at most %.3f wanted; %d of %d not served", share, bound, e.failed.Load(), e.arrived.Load())
	}
	return nil
}

// evenDraws is how often the bound is drawn.
const evenDraws = 10

// evenKnown is how long the members may take to know all instances.
const evenKnown = 6 * time.Second
