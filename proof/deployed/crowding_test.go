package deployed_test

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"golang.org/x/sys/unix"
)

const (
	crowdedEdges, crowdedUpstreams = 4, 24
	// crowdedCPU is the share of a CPU core that an edge may use.
	crowdedCPU = 0.1
	// crowdedRate is how many requests per second are sent. Four edges serve them, one edge does not.
	crowdedRate = 1100
	// crowdedShare is the share of the connections that reaches the crowded edge.
	crowdedShare = 0.85
	// crowdedLimit is how long a caller waits for a response.
	crowdedLimit = 1500 * time.Millisecond
	// crowdedServed is the share of the requests that are read which have to be served at once.
	crowdedServed = 0.75
)

// cpuTime returns the CPU time that the process has used.
func (n *node) cpuTime() time.Duration {
	// The number of the clock of a process's CPU time, as clock_getcpuclockid makes it.
	const cpuClock = 2
	var ts unix.Timespec
	_ = unix.ClockGettime(int32(^n.process.Process.Pid<<3|cpuClock), &ts)
	return time.Duration(ts.Nano())
}

// limitCPU stops the process for the rest of each tenth of a second in which it has used its share of
// a CPU core, until stopped.
func (n *node) limitCPU(share float64, stop <-chan struct{}) {
	const period, step = 100 * time.Millisecond, 2 * time.Millisecond
	send := func(sig syscall.Signal) { _ = n.process.Process.Signal(sig) }
	defer send(syscall.SIGCONT)
	allowed, stopped := n.cpuTime(), false
	for next := time.Now(); ; time.Sleep(step) {
		if now := time.Now(); now.After(next) {
			next = now.Add(period)
			// What was used too much is deducted, what was not used is lost.
			allowed = min(allowed, n.cpuTime()) + time.Duration(share*float64(period))
		}
		if over := n.cpuTime() >= allowed; over != stopped {
			stopped = over
			if over {
				send(syscall.SIGSTOP)
			} else {
				send(syscall.SIGCONT)
			}
		}
		select {
		case <-stop:
			return
		default:
		}
	}
}

// crowd is a deployment whose edges have a small share of a CPU core each.
type crowd struct {
	*site
	cores, edges []*node
	rng          *rand.Rand
}

// newCrowd starts a deployment whose edges may use a share of a CPU core each, zero for no limit.
func newCrowd(t *testing.T, cpu float64) *crowd {
	s := &crowd{site: newSite(t), rng: rand.New(rand.NewPCG(5, 8))}
	s.bounds = ", shed-overload: true"
	for i := range 3 {
		n := s.add(fmt.Sprint("core-", i+1), 1+i, true)
		s.cores = append(s.cores, n)
		s.seeds = append(s.seeds, n.at(portControl))
	}
	for _, n := range s.cores {
		n.start(true)
	}
	t.Setenv("GOMAXPROCS", "1")
	for i := range crowdedEdges {
		s.edges = append(s.edges, s.add(fmt.Sprint("edge-", i+1), 101+i, false).start(true))
	}
	s.within(patience, func() bool {
		status, _ := call("PUT", "http://"+s.cores[0].at(portControl)+"/config", crowdedConfig)
		return status == 200
	}, "the first configuration")
	for i := range crowdedUpstreams {
		r := s.newRunner("s", fmt.Sprint("u-", i))
		r.begin(func(w http.ResponseWriter, req *http.Request) {
			w.Header().Set("Attempt-Id", req.Header.Get("Attempt-Id"))
			w.Header().Set("Runner-Seal", "s")
			_, _ = io.WriteString(w, "done")
		}, s.cores)
	}
	for _, e := range s.edges {
		s.within(patience, func() bool { return e.ask("k") == 200 }, e.name, "serves")
	}
	// The first seconds after a start count as none.
	time.Sleep(2 * time.Second)
	if cpu == 0 {
		return s
	}
	stop := make(chan struct{})
	var limiters sync.WaitGroup
	for _, e := range s.edges {
		limiters.Go(func() { e.limitCPU(cpu, stop) })
	}
	t.Cleanup(func() {
		close(stop)
		limiters.Wait()
	})
	return s
}

const crowdedConfig = `{"version":1,"routes":[
{"name":"urgent","host":"h.example","path-prefix":"/u/","route-type":"idempotent","timeout-ms":1500,"target-latency-ms":300,"priority":0,"service":"s","max-attempts":2},
{"name":"r","host":"h.example","path-prefix":"/a/","route-type":"idempotent","timeout-ms":1500,"target-latency-ms":300,"priority":1,"service":"s","max-attempts":2}],
"services":[{"name":"s","health-path":"/h","max-connections":100}],
"limits":{"max-header-bytes":16384,"max-body-bytes":4194304,"header-timeout-ms":3000,"idle-timeout-ms":15000},"tenants":[{"name":"o","api-keys":["k"]}]}`

// crowdTally counts what became of requests. unread counts connections that ended without a byte from
// the edge, notRun and other the responses that are no success, and silent the requests without one.
type crowdTally struct {
	served, late, notRun, other, silent, unread, lost atomic.Int64
	mu                                                sync.Mutex
	reasons                                           map[string]int
}

// servedShare is the share of the requests that were read which were served.
func (c *crowdTally) servedShare() float64 {
	all := c.served.Load() + c.late.Load() + c.notRun.Load() + c.other.Load() + c.silent.Load()
	return float64(c.served.Load()) / float64(max(1, all))
}

func (c *crowdTally) String() string {
	return fmt.Sprintf("%.3f of what was read served: %d served, %d late, %d not run, %d other, %d silent; %d connections unread, %d requests read nowhere; %v",
		c.servedShare(), c.served.Load(), c.late.Load(), c.notRun.Load(), c.other.Load(), c.silent.Load(), c.unread.Load(), c.lost.Load(), c.reasons)
}

// askOnce sends a request over a connection of its own. read is false if nothing came back over it.
func askOnce(e *node, path string, wait, left time.Duration) (status int, body string, read bool) {
	nc, err := net.DialTimeout("tcp4", e.at(portFrontend), left)
	if err != nil {
		return 0, err.Error(), false
	}
	defer func() { _ = nc.Close() }()
	time.Sleep(wait)
	_ = nc.SetDeadline(time.Now().Add(left))
	_, err = fmt.Fprintf(nc, "GET %s HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: a%d\r\nKey: k\r\nDeadline-Ms: %d\r\nConnection: close\r\n\r\n", path, attempts.Add(1), left.Milliseconds())
	if err != nil {
		return 0, err.Error(), false
	}
	b, err := io.ReadAll(nc)
	timeout, ok := err.(net.Error)
	if len(b) < len("HTTP/1.1 200") {
		return 0, fmt.Sprint(err), ok && timeout.Timeout()
	}
	status, _ = strconv.Atoi(string(b[9:12]))
	_, body, _ = strings.Cut(string(b), "\r\n\r\n")
	return status, body, true
}

// ask sends a request to an edge, and to the others in any order while it is left unread.
func (s *crowd) ask(to int, path string, wait time.Duration, tally *crowdTally) {
	begun := time.Now().Add(wait)
	first := rand.IntN(len(s.edges) - 1)
	for i := range s.edges {
		left := crowdedLimit - max(0, time.Since(begun))
		if left <= 0 {
			break
		}
		at := to
		if i > 0 {
			at = to + 1 + (first+i)%(len(s.edges)-1)
		}
		status, body, read := askOnce(s.edges[at%len(s.edges)], path, wait, left)
		if wait = 0; !read {
			tally.unread.Add(1)
			continue
		}
		tally.note(status, body, time.Since(begun))
		return
	}
	tally.lost.Add(1)
}

func (c *crowdTally) note(status int, body string, took time.Duration) {
	switch {
	case status == 0:
		c.silent.Add(1)
	case status == 200 && took <= crowdedLimit:
		c.served.Add(1)
	case status == 200:
		c.late.Add(1)
	case status == 503:
		c.notRun.Add(1)
	default:
		c.other.Add(1)
	}
	if status != 200 {
		c.mu.Lock()
		defer c.mu.Unlock()
		if c.reasons == nil {
			c.reasons = map[string]int{}
		}
		if status == 0 {
			body = "no response"
		}
		c.reasons[body]++
	}
}

// crowdPhase is a part of a load: a share of the connections goes to one edge.
type crowdPhase struct {
	name  string
	lasts time.Duration
	rate  float64
	edge  int
	share float64
	// urgent is the share of urgent requests, and slow the share of callers that send late.
	urgent, slow float64
	// continues is set if the next phase begins before the last requests have ended.
	continues bool
}

// crowdedSlow is for how long slow callers wait before they send.
const crowdedSlow = 700 * time.Millisecond

// cpuTimes returns the CPU seconds that the edges have used.
func (s *crowd) cpuTimes() (list []float64) {
	for _, e := range s.edges {
		list = append(list, e.cpuTime().Seconds())
	}
	return list
}

// play sends the requests of a phase, and tallies ordinary and urgent ones.
func (s *crowd) play(p *crowdPhase) (ordinary, urgent *crowdTally) {
	ordinary, urgent = &crowdTally{}, &crowdTally{}
	var all sync.WaitGroup
	s.t.Cleanup(all.Wait)
	begun, used := time.Now(), s.cpuTimes()
	for at := time.Duration(0); at < p.lasts; at += time.Duration(s.rng.ExpFloat64() / p.rate * float64(time.Second)) {
		edge, path, tally, wait := p.edge, "/a/x", ordinary, time.Duration(0)
		if s.rng.Float64() >= p.share {
			edge = s.rng.IntN(len(s.edges))
		}
		if s.rng.Float64() < p.urgent {
			path, tally = "/u/x", urgent
		}
		if s.rng.Float64() < p.slow {
			wait = crowdedSlow
		}
		time.Sleep(time.Until(begun.Add(at)))
		all.Go(func() { s.ask(edge, path, wait, tally) })
	}
	share := s.cpuTimes()
	for i := range share {
		share[i] = (share[i] - used[i]) / p.lasts.Seconds()
	}
	if p.continues {
		return ordinary, urgent
	}
	all.Wait()
	s.t.Logf("%s: %v; urgent: %v; CPU cores in use %.3f", p.name, ordinary, urgent, share)
	return ordinary, urgent
}

// overloads returns the lines about overloads of an edge.
func (n *node) overloads() (lines []string) {
	for line := range strings.Lines(n.log()) {
		if strings.Contains(line, "event=overload_") {
			lines = append(lines, n.name+" "+strings.TrimSpace(line))
		}
	}
	return lines
}

// Guards against an instance that reads more requests than its CPU share can serve, while other
// instances would serve what it leaves unread.
func TestCrowdedInstanceLeavesWhatItCannotServe(t *testing.T) {
	s := newCrowd(t, crowdedCPU)
	unserved := func(e *node) int { return strings.Count(e.log(), "no upstream took the request") }
	before := map[*node]int{}
	for _, e := range s.edges {
		before[e] = unserved(e)
	}
	for i, p := range []*crowdPhase{
		{name: "even", lasts: 3 * time.Second, rate: crowdedRate, urgent: 0.1, slow: 0.05},
		{name: "one is crowded", lasts: 4 * time.Second, rate: crowdedRate, edge: 0, share: crowdedShare, urgent: 0.1, slow: 0.05},
		{name: "another one is crowded", lasts: 4 * time.Second, rate: crowdedRate, edge: 1, share: crowdedShare, urgent: 0.1, slow: 0.05},
		{name: "first 2 s after", lasts: 2 * time.Second, rate: crowdedRate, urgent: 0.1, slow: 0.05},
		{name: "after", lasts: 3 * time.Second, rate: crowdedRate, urgent: 0.1, slow: 0.05},
	} {
		ordinary, urgent := s.play(p)
		if i == 3 {
			continue
		}
		wanted := crowdedServed
		if p.share == 0 {
			wanted = 0.98
		}
		if ordinary.servedShare() < wanted || urgent.servedShare() < wanted {
			t.Errorf("%s: at least %.2f of what is read wanted", p.name, wanted)
		}
	}
	for _, e := range s.edges {
		for _, line := range e.overloads() {
			t.Log(line)
		}
		if n := unserved(e) - before[e]; n > 0 {
			t.Errorf("%s: %d requests with no upstream, though all are idle", e.name, n)
		}
	}
}

// Guards against instances that all leave connections unread, so that callers go from one to the next and
// are told nothing, and against a balancer that gets no answer from them.
func TestOverloadedInstancesRejectIfAllAreOverloaded(t *testing.T) {
	s := newCrowd(t, scarceCPU)
	ended := make(chan struct{})
	var checks sync.WaitGroup
	var checked, unanswered atomic.Int64
	checks.Go(func() {
		for i := 0; ; i++ {
			select {
			case <-ended:
				return
			case <-time.After(100 * time.Millisecond):
			}
			checked.Add(1)
			if status, _ := call("GET", "http://"+s.edges[i%len(s.edges)].at(portReady)+"/readyz", ""); status == 0 {
				unanswered.Add(1)
			}
		}
	})
	first, _ := s.play(&crowdPhase{lasts: 2 * time.Second, rate: scarceRate, continues: true})
	tally, _ := s.play(&crowdPhase{name: "all are overloaded", lasts: 5 * time.Second, rate: scarceRate})
	t.Logf("first 2 s: %v", first)
	close(ended)
	checks.Wait()
	all := tally.served.Load() + tally.notRun.Load() + tally.late.Load() + tally.other.Load() + tally.silent.Load() + tally.lost.Load()
	t.Logf("%d of %d checks for readiness got no answer", unanswered.Load(), checked.Load())
	for _, e := range s.edges {
		for _, line := range e.overloads() {
			t.Log(line)
		}
	}
	told := float64(tally.served.Load()+tally.notRun.Load()) / float64(all)
	if told < 0.9 || tally.notRun.Load() == 0 {
		t.Errorf("%.3f of the callers were served or told that their request was not run, 0.9 wanted", told)
	}
	if float64(tally.unread.Load()) > float64(all) {
		t.Errorf("%d connections were left unread for %d requests", tally.unread.Load(), all)
	}
	if unanswered.Load() > checked.Load()/20 {
		t.Error("the balancer got no answer")
	}
}

// scarceCPU is the share of a CPU core of an edge, and scarceRate a rate of requests that all edges together
// can't serve.
const scarceCPU, scarceRate = 0.05, 1500

// Guards against connections that are closed because the process was suspended, or because many callers
// send late or nothing.
func TestSuspendedInstanceAndSilentCallersAreNoOverload(t *testing.T) {
	s := newCrowd(t, 0)
	for _, e := range s.edges {
		for range 200 {
			nc, err := net.Dial("tcp4", e.at(portFrontend))
			s.g.Expect(err).NotTo(HaveOccurred())
			t.Cleanup(func() { _ = nc.Close() })
		}
	}
	var suspension sync.WaitGroup
	suspension.Go(func() {
		time.Sleep(time.Second)
		s.edges[0].signal(syscall.SIGSTOP)
		time.Sleep(time.Second)
		s.edges[0].signal(syscall.SIGCONT)
	})
	tally, _ := s.play(&crowdPhase{name: "one is suspended", lasts: 4 * time.Second, rate: 200, slow: 0.2})
	suspension.Wait()
	if tally.unread.Load()+tally.notRun.Load()+tally.lost.Load() > 0 {
		t.Errorf("requests were not served: %v", tally)
	}
	for _, e := range s.edges {
		if lines := e.overloads(); len(lines) > 0 {
			t.Error(lines)
		}
	}
}
