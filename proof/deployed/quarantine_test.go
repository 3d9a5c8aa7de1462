package deployed_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

const (
	// inContact is within what time all instances must act on what any of them has seen.
	inContact = 3 * time.Second
	// mostRepeats is how often a request may still be sent to upstreams after that.
	mostRepeats = 3
	// crashesKnown is how many upstreams a request ends before it is known.
	crashesKnown = 3
	poison       = "poison"
	// poisonEvery is the pause between two arrivals of the request that ends upstreams.
	poisonEvery = 400 * time.Millisecond
	// crashAfter is how long such a request runs, downFor how long the upstream is gone.
	crashAfter, downFor = 30 * time.Millisecond, 1500 * time.Millisecond
	harmlessWork        = 20 * time.Millisecond
)

// fragile are upstreams that a request with the body poison ends; each comes back at its
// address.
type fragile struct {
	s     *site
	cores []*node
	lives atomic.Int64
	ended atomic.Bool
	// work is for how long a harmless request runs, in nanoseconds.
	work atomic.Int64

	mu      sync.Mutex
	current map[string]*runner
	// named is the limit that the upstream at an address names.
	named map[string]*named
	// asks is what the upstream at an address asks for.
	asks map[string]*asking
	// frail is what brittle upstreams bear, nil if they are sound.
	frail    *frail
	arrivals []time.Time // of the request that ends upstreams
	crashes  []time.Time
}

func (s *site) fragile(count int, cores ...*node) *fragile { return s.fragileOf(nil, count, cores...) }

// fragileOf are fragile upstreams that are brittle unless frail is nil.
func (s *site) fragileOf(frail *frail, count int, cores ...*node) *fragile {
	f := &fragile{s: s, cores: cores, frail: frail, current: map[string]*runner{}, named: map[string]*named{}, asks: map[string]*asking{}}
	f.work.Store(int64(harmlessWork))
	for i := range count {
		f.start(fmt.Sprintf("%s:%d", s.ip(200+i), 18000))
	}
	s.t.Cleanup(func() {
		f.ended.Store(true)
		f.mu.Lock()
		defer f.mu.Unlock()
		for _, r := range f.current {
			r.crash()
		}
	})
	return f
}

// start begins a life of the upstream at an address.
func (f *fragile) start(address string) {
	l, err := net.Listen("tcp4", address)
	if err != nil || f.ended.Load() {
		return
	}
	r := &runner{s: f.s, id: fmt.Sprint("i-", f.lives.Add(1)), service: "s", version: "v1", born: time.Now().UnixMilli(), listener: l, stop: make(chan struct{})}
	server := &http.Server{ReadHeaderTimeout: time.Second}
	r.crash = sync.OnceFunc(func() {
		close(r.stop)
		_ = server.Close()
	})
	server.Handler = http.HandlerFunc(func(out http.ResponseWriter, req *http.Request) { f.serve(r, out, req) })
	f.mu.Lock()
	f.current[address] = r
	if f.named[address] == nil {
		f.named[address], f.asks[address] = &named{}, &asking{}
	}
	f.mu.Unlock()
	go func() { _ = server.Serve(l) }()
	go r.beat(f.cores)
}

func (f *fragile) serve(r *runner, out http.ResponseWriter, req *http.Request) {
	body, err := io.ReadAll(req.Body)
	if err != nil {
		return
	}
	if bytes.Equal(body, []byte(poison)) || strings.Contains(req.Header.Get("Prefix-Hash"), deadlyPart+":") {
		f.mu.Lock()
		f.arrivals = append(f.arrivals, time.Now())
		f.mu.Unlock()
		time.Sleep(crashAfter)
		f.end(r)
		return
	}
	f.mu.Lock()
	limit, asks := f.named[r.listener.Addr().String()], f.asks[r.listener.Addr().String()]
	f.mu.Unlock()
	if asks.serve(out, req, string(body)) {
		return
	}
	limit.arrived(out)
	done, taken := f.frail.take(f, r, out, req)
	defer done()
	if !taken {
		return
	}
	time.Sleep(time.Duration(f.work.Load()))
	out.Header().Set("Attempt-Id", req.Header.Get("Attempt-Id"))
	out.Header().Set("Runner-Seal", "s")
	_, _ = io.WriteString(out, "done")
}

// end crashes an upstream, which comes back after a while as another incarnation.
func (f *fragile) end(r *runner) {
	address := r.listener.Addr().String()
	f.mu.Lock()
	fresh := f.current[address] == r
	if fresh {
		delete(f.current, address)
		f.crashes = append(f.crashes, time.Now())
	}
	f.mu.Unlock()
	if !fresh {
		return
	}
	r.crash()
	time.AfterFunc(downFor, func() { f.start(address) })
}

// endOne crashes any of the upstreams for another reason than a request.
func (f *fragile) endOne() {
	f.mu.Lock()
	var any *runner
	for _, r := range f.current {
		any = r
		break
	}
	f.mu.Unlock()
	if any != nil {
		f.end(any)
	}
}

// repeats returns how often the request that ends upstreams was sent to one later than
// contact allows, and how many it ended in all.
func (f *fragile) repeats() (late, crashes int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.crashes) < crashesKnown {
		return 0, len(f.crashes)
	}
	known := f.crashes[crashesKnown-1].Add(inContact)
	for _, at := range f.arrivals {
		if at.After(known) {
			late++
		}
	}
	return late, len(f.crashes)
}

// post sends a request with a body through an edge.
func (n *node) post(path, key, body string) (status int, told string) {
	id := fmt.Sprintf("p%d", attempts.Add(1))
	return call("POST", "http://"+n.at(portFrontend)+path, body, "Host", "h.example", "Attempt-Id", id, "Key", key, "Deadline-Ms", "1500")
}

// quartet is three cores, four edges and six upstreams.
type quartet struct {
	*site
	cores, edges []*node
	upstreams    *fragile
}

func newQuartet(t *testing.T, prepare ...func(*site)) *quartet {
	q := newQuartetWithout(t, prepare...)
	q.upstreams = q.fragile(6, q.cores...)
	q.awaitReady()
	return q
}

// newQuartetWithout is a quartet that has no upstreams yet.
func newQuartetWithout(t *testing.T, prepare ...func(*site)) *quartet {
	s := newSite(t)
	for _, f := range prepare {
		f(s)
	}
	return newQuartetAt(s)
}

// newQuartetAt is a quartet at a site, without upstreams.
func newQuartetAt(s *site) *quartet { return newGroupAt(s, 4) }

// newGroupAt is three cores and some edges at a site, without upstreams.
func newGroupAt(s *site, edges int) *quartet {
	q := &quartet{site: s}
	for i := range 3 {
		n := q.add(fmt.Sprint("core-", i+1), 1+i, true)
		q.cores = append(q.cores, n)
		q.seeds = append(q.seeds, n.at(portControl))
	}
	for i := range edges {
		q.edges = append(q.edges, q.add(fmt.Sprint("edge-", i+1), 101+i, false))
	}
	for _, n := range q.nodes {
		n.start(true)
	}
	q.within(patience, func() bool { return q.cores[0].put(1, "k", "l") == 200 }, "the first configuration")
	return q
}

// awaitReady waits until each edge is ready and serves.
func (q *quartet) awaitReady() {
	for _, e := range q.edges {
		q.g.Eventually(e.ready, patience, poll).Should(BeTrue(), e.log)
		q.g.Eventually(func() int { return e.ask("k") }, patience, poll).Should(Equal(200))
	}
}

// sendPoison sends the request that ends upstreams to the edges in turn for a while.
func (q *quartet) sendPoison(span time.Duration) {
	var all sync.WaitGroup
	begun := time.Now()
	for i := 0; time.Since(begun) < span; i++ {
		all.Go(func() { _, _ = q.edges[i%len(q.edges)].post("/a/x", "k", poison) })
		time.Sleep(poisonEvery)
	}
	all.Wait()
}

// tally counts answers to harmless requests.
type tally struct{ all, served atomic.Int64 }

func (t *tally) note(status int) {
	t.all.Add(1)
	if status == 200 {
		t.served.Add(1)
	}
}

// harmless sends other requests at the same path until ended: from each caller one every
// pause, each with a body of its own.
func (q *quartet) harmless(callers int, pause time.Duration, ended <-chan struct{}) (*tally, *sync.WaitGroup) {
	t, all := &tally{}, &sync.WaitGroup{}
	for c := range callers {
		all.Go(func() {
			for i := 0; ; i++ {
				status, _ := q.edges[(i+c)%len(q.edges)].post("/a/x", "k", fmt.Sprint("harmless ", c, " ", i))
				t.note(status)
				select {
				case <-ended:
					return
				case <-time.After(pause):
				}
			}
		})
	}
	return t, all
}

// Guards against a request that ends one upstream after the other, at any instance, for as
// long as it comes.
func TestRequestThatCrashesUpstreamsIsStopped(t *testing.T) {
	q := newQuartet(t)
	ended := make(chan struct{})
	harmless, callers := q.harmless(8, 100*time.Millisecond, ended)
	q.sendPoison(10 * time.Second)
	close(ended)
	callers.Wait()
	late, crashes := q.upstreams.repeats()
	t.Logf("%d upstreams crashed, %d repeats later than %v after the third; %d of %d harmless requests served", crashes, late, inContact, harmless.served.Load(), harmless.all.Load())
	Expect(crashes).To(BeNumerically(">=", crashesKnown))
	Expect(late).To(BeNumerically("<=", mostRepeats), q.crashLines)
	Expect(float64(harmless.served.Load())).To(BeNumerically(">", 0.95*float64(harmless.all.Load())), "what does no harm is served")
}

// crashLines returns what the edges say about crashes, for a failure's report.
func (q *quartet) crashLines() string {
	var b strings.Builder
	for _, e := range q.edges {
		for line := range strings.Lines(e.log()) {
			if strings.Contains(line, "event=upstream_crashed") {
				b.WriteString(e.name + " " + line)
			}
		}
	}
	return b.String()
}

// awaitQuarantine sends the request that ends upstreams until it is refused at each edge, and
// has had its trial.
func (q *quartet) awaitQuarantine() {
	for _, e := range q.edges {
		Eventually(func() int { status, _ := e.post("/a/x", "k", poison); return status }, patience, 100*time.Millisecond).Should(Equal(400))
	}
	Eventually(func() []quarantined { _, _ = q.edges[0].post("/a/x", "k", poison); return q.list() }, patience, 100*time.Millisecond).
		Should(ConsistOf(HaveField("Trials", 1)))
}

// quarantined is what a core tells operators of a request.
type quarantined struct {
	Fingerprint, State, Organisation, Target string
	Parts                                    []string
	Crashes, Trials                          int
}

func (q *quartet) list() []quarantined {
	_, body := call("GET", "http://"+q.cores[0].at(portControl)+"/v1/operator/quarantine", "")
	var v struct{ Requests []quarantined }
	_ = json.Unmarshal([]byte(body), &v)
	return v.Requests
}

// Guards against a request that is forgotten with the processes that knew it, and against one
// that stays quarantined though an operator has released it.
func TestQuarantineOutlivesAllProcessesUntilItIsReleased(t *testing.T) {
	q := newQuartet(t)
	q.awaitQuarantine()
	Expect(q.list()).To(ConsistOf(And(HaveField("State", "quarantined"), HaveField("Organisation", "o"), HaveField("Target", "/a/x"), HaveField("Crashes", BeNumerically(">=", 3)))))

	q.edges[0].kill()
	q.edges[0].run()
	q.awaitService()
	crashes := q.crashes()
	for range 3 {
		for _, e := range q.edges {
			status, _ := e.post("/a/x", "k", poison)
			Expect(status).To(Equal(400), "an instance that was started again knows it")
		}
	}

	for _, n := range q.nodes {
		n.kill()
	}
	for _, n := range q.nodes {
		n.start(false)
	}
	q.awaitService()
	for range 3 {
		for _, e := range q.edges {
			status, _ := e.post("/a/x", "k", poison)
			Expect(status).To(Equal(400), "all know it after the end of all")
		}
	}
	Expect(q.crashes()).To(Equal(crashes))

	url := "http://" + q.cores[1].at(portControl) + "/v1/operator/quarantine/"
	status, _ := call("DELETE", url+"0", "")
	Expect(status).To(Equal(400))
	status, _ = call("DELETE", url+strings.Repeat("0", 32), "")
	Expect(status).To(Equal(404))
	status, _ = call("DELETE", url+q.list()[0].Fingerprint, "")
	Expect(status).To(Equal(200))
	Eventually(func() int { _, _ = q.edges[2].post("/a/x", "k", poison); return q.crashes() }, patience, 50*time.Millisecond).Should(BeNumerically(">", crashes))
}

// awaitService waits until all edges serve.
func (q *quartet) awaitService() {
	for _, e := range q.edges {
		Eventually(e.ready, patience, poll).Should(BeTrue(), e.log)
		Eventually(func() int { return e.ask("k") }, patience, poll).Should(Equal(200))
	}
}

func (q *quartet) crashes() int {
	_, n := q.upstreams.repeats()
	return n
}

// Guards against a request that arrives at all instances at the same moment, so that many
// upstreams end before any instance knows of it, and again later.
func TestRequestThatArrivesEverywhereAtOnceIsStopped(t *testing.T) {
	q := newQuartet(t)
	ended := make(chan struct{})
	harmless, callers := q.harmless(8, 100*time.Millisecond, ended)
	for range 9 {
		for range 3 {
			for _, e := range q.edges {
				go func() { _, _ = e.post("/a/x", "k", poison) }()
			}
		}
		time.Sleep(time.Second)
	}
	close(ended)
	callers.Wait()
	late, crashes := q.upstreams.repeats()
	t.Logf("%d upstreams crashed, %d repeats later than %v after the third; %d of %d harmless requests served", crashes, late, inContact, harmless.served.Load(), harmless.all.Load())
	Expect(late).To(BeNumerically("<=", mostRepeats), q.crashLines)
}

// Guards against harmless requests that are taken for the cause of crashes since their like
// is under way at each of them.
func TestIdenticalRequestsAreServedThroughCrashes(t *testing.T) {
	q := newQuartet(t, quickBudget)
	q.awaitBudget()
	q.upstreams.work.Store(int64(150 * time.Millisecond))
	ended := make(chan struct{})
	var answers tally
	var callers sync.WaitGroup
	for c := range 12 {
		callers.Go(func() {
			for {
				status, _ := q.edges[c%len(q.edges)].post("/a/x", "k", "status")
				answers.note(status)
				select {
				case <-ended:
					return
				default:
				}
			}
		})
	}
	for range 12 {
		time.Sleep(600 * time.Millisecond)
		q.upstreams.endOne()
	}
	time.Sleep(time.Second)
	close(ended)
	callers.Wait()
	Expect(answers.served.Load()).To(Equal(answers.all.Load()), "%d of %d served", answers.served.Load(), answers.all.Load())
}
