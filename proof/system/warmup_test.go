package system_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/comfreyladder/comfreyladder/core/announce"
	"github.com/comfreyladder/comfreyladder/core/intent"
)

const (
	warmUpTime  = 4 * time.Second
	warmUpRate  = 8.6
	warmUpBound = warmUpRate*1.5 + 5
	warmUpRule  = "kind = engine\nwarmup = 4s\nwarmup_per_s = 8.6\nwarmup_overrun = 1.5\nwarmup_slack = 5\n"
	// warmUpLoad is in requests per second. Two warm engines of warmUpSlots serve it in warmUpWork each.
	warmUpLoad  = 150
	warmUpSlots = 16
	warmUpWork  = 40 * time.Millisecond
	// coldKnown is the time until all instances know that an engine became cold again: it is relayed to
	// most of them within 0.4 s.
	coldKnown = 600 * time.Millisecond
)

// coldEngine is an engine that the test plays. It records when requests arrive.
type coldEngine struct {
	site     *site
	name     string
	address  string
	server   *http.Server
	states   bool
	warmAt   atomic.Int64
	sequence atomic.Uint64
	started  uint64
	stop     chan struct{}
	beats    sync.WaitGroup
	mu       sync.Mutex
	arrivals []time.Time
}

// startCold starts an engine in the domain north, at an address or at a free one. It states for how long it is cold
// only if states is set.
func (s *site) startCold(name, address string, cold time.Duration, states bool) *coldEngine {
	e := &coldEngine{site: s, name: name, states: states, started: uint64(time.Now().UnixNano()), stop: make(chan struct{})}
	e.warmAt.Store(time.Now().Add(cold).UnixNano())
	if address == "" {
		address = "127.0.0.1:0"
	}
	var l net.Listener
	Eventually(func() (err error) { l, err = net.Listen("tcp", address); return err }, patience, poll).Should(Succeed())
	e.address = l.Addr().String()
	e.server = &http.Server{Handler: http.HandlerFunc(e.handle)}
	go func() { _ = e.server.Serve(l) }()
	e.beats.Go(func() {
		for {
			e.beat()
			select {
			case <-e.stop:
				return
			case <-time.After(500 * time.Millisecond):
			}
		}
	})
	DeferCleanup(e.end)
	return e
}

// end ends the engine as a crash does: its connections are reset and no beat says that it leaves.
func (e *coldEngine) end() {
	select {
	case <-e.stop:
		return
	default:
	}
	close(e.stop)
	_ = e.server.Close()
	e.beats.Wait()
}

// beat sends a heartbeat to one instance, as a load balancer would.
func (e *coldEngine) beat() {
	b := announce.Heartbeat{
		Name: e.name, Domain: "north", Kind: intent.KindEngine, Address: e.address, Models: []string{"m"}, Slots: warmUpSlots,
		Incarnation: e.started, Sequence: e.sequence.Add(1), TTLMillis: 3000,
	}
	body, _ := json.Marshal(b)
	if e.states {
		left := max(0, time.Until(time.Unix(0, e.warmAt.Load())).Milliseconds())
		body = append(bytes.TrimSuffix(body, []byte("}")), fmt.Sprintf(`,"warmup_left_ms":%d}`, left)...)
	}
	list := e.site.list("north")
	in := list[int(b.Sequence)%len(list)]
	req, err := http.NewRequest(http.MethodPost, "http://"+in.callers+"/v1/upstreams/announce", bytes.NewReader(body))
	if err != nil {
		return
	}
	req.Header.Set("Authorization", "Bearer "+e.site.keys["engine"])
	if resp, err := beatClient.Do(req); err == nil {
		_ = resp.Body.Close()
	}
}

func (e *coldEngine) handle(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Request-Id")
	w.Header().Set("X-Request-Id", id)
	if r.URL.Path != "/v1/chat/completions" {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	_, _ = io.Copy(io.Discard, r.Body)
	e.mu.Lock()
	e.arrivals = append(e.arrivals, time.Now())
	e.mu.Unlock()
	time.Sleep(warmUpWork)
	w.Header().Set("Content-Type", "text/event-stream")
	fmt.Fprintf(w, "id: 1\ndata: {\"id\":\"chatcmpl-%s\",\"choices\":[{\"delta\":{\"content\":\"x\"}}]}\n\n", id)
	fmt.Fprint(w, "data: [DONE]\n\n")
}

// worstSecond returns how many requests arrived in the worst second of a time, and in all of it.
func (e *coldEngine) worstSecond(from, to time.Time) (worst, all int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	var in []time.Time
	for _, at := range e.arrivals {
		if at.After(from) && at.Before(to) {
			in = append(in, at)
		}
	}
	for i, begin := 0, 0; i < len(in); i++ {
		for in[i].Sub(in[begin]) > time.Second {
			begin++
		}
		worst = max(worst, i-begin+1)
	}
	return worst, len(in)
}

// expectBound checks the arrivals since a time while the engine was cold.
func (e *coldEngine) expectBound(what string, since time.Time) (all int) {
	GinkgoHelper()
	worst, all := e.worstSecond(since, time.Unix(0, e.warmAt.Load()))
	AddReportEntry(what, fmt.Sprintf("%d requests in the worst second, %d while cold, bound %.1f", worst, all, warmUpBound), ReportEntryVisibilityAlways)
	Expect(float64(worst)).To(BeNumerically("<=", warmUpBound), what)
	return all
}

// newWarmUpSite lays out three instances without a disk in the domain north, and a voter in each of three others, so
// that the loss of the leader takes neither callers nor the scheduler of north with it.
func newWarmUpSite() *site {
	s := layOut(GinkgoT().TempDir(), siteOptions{}, 3, "north", "south", "east", "west")
	s.launch = launch
	s.write("intent.ini", strings.Replace(s.intent, "kind = engine\n", warmUpRule, 1))
	s.instances["north-1"].disk = false
	seeds := "seeds = "
	for name, in := range s.instances {
		switch {
		case in.domain == "north":
			seeds += in.peers + ", "
		case !in.disk:
			delete(s.instances, name)
		}
	}
	for _, in := range s.instances {
		s.write(in.name+".ini", strings.Replace(s.ini(in), "seeds = ", seeds, 1))
	}
	return s
}

// load sends requests at random times to the instances of north until stop, which returns how many were served
// and how many were not.
func (s *site) load() (stop func() (served, not int)) {
	ended, done := make(chan struct{}), sync.WaitGroup{}
	var good, bad atomic.Int64
	to := s.list("north")
	done.Go(func() {
		for next := time.Now(); ; next = next.Add(time.Duration(rand.ExpFloat64() / warmUpLoad * float64(time.Second))) {
			select {
			case <-ended:
				return
			case <-time.After(time.Until(next)):
			}
			done.Go(func() {
				if r := to[rand.Intn(len(to))].chat("bulk", "question", 1, false); r.err == nil && r.status == http.StatusOK {
					good.Add(1)
				} else {
					bad.Add(1)
				}
			})
		}
	})
	return func() (int, int) {
		close(ended)
		done.Wait()
		return int(good.Load()), int(bad.Load())
	}
}

var _ = Describe("A cold engine of the own daemon", func() {
	// Guards against instances that send an engine which has just started, is cold again or has restarted under its
	// name more than it bears while it is cold, also while the leader is lost and an instance is suspended.
	It("receives no more than its warm-up bound from all instances together", func() {
		s := newWarmUpSite()
		s.startAll()
		for i := range 2 {
			s.startCold(fmt.Sprintf("e-warm-%d", i+1), "", 0, true)
		}
		s.see("north", 2)
		stop := s.load()
		time.Sleep(time.Second)

		begun := time.Now()
		a := s.startCold("e-cold", "", warmUpTime, false)
		time.Sleep(warmUpTime + 2*time.Second)
		Expect(a.expectBound("started under load", begun)).To(BeNumerically(">", warmUpRate), "a cold engine is used")
		worst, _ := a.worstSecond(begun.Add(warmUpTime+time.Second), time.Now())
		Expect(float64(worst)).To(BeNumerically(">", warmUpBound), "a warm engine is not limited")

		a.end()
		a = s.startCold("e-cold", a.address, warmUpTime, true)
		begun = time.Now()
		time.Sleep(warmUpTime + time.Second)
		a.expectBound("restarted under its name", begun.Add(-time.Second))

		a.warmAt.Store(time.Now().Add(warmUpTime).UnixNano())
		a.beat()
		begun = time.Now().Add(coldKnown)
		time.Sleep(warmUpTime)
		a.expectBound("cold again", begun)

		leader := s.leader()
		begun = time.Now()
		b, c := s.startCold("e-cold-2", "", warmUpTime, false), s.startCold("e-cold-3", "", warmUpTime, true)
		time.Sleep(500 * time.Millisecond)
		leader.process.kill()
		suspended := s.instances["north-3"]
		suspended.process.signal(syscall.SIGSTOP)
		time.Sleep(time.Second)
		suspended.process.signal(syscall.SIGCONT)
		time.Sleep(warmUpTime)
		b.expectBound("first of two, leader lost", begun)
		c.expectBound("second of two, leader lost", begun)
		served, not := stop()
		AddReportEntry("requests", fmt.Sprintf("%d served, %d not", served, not), ReportEntryVisibilityAlways)
		Expect(not).To(BeNumerically("<", served/20))
	})

	// Guards against an instance that cannot ask itself for permits while it leads, and against requests that fail
	// while a permit is under way.
	It("serves with permits of the same instance while it is the only engine", func() {
		s := newSite(1, "north")
		s.write("intent.ini", strings.Replace(s.intent, "kind = engine\n", warmUpRule, 1))
		s.startAll()
		begun := time.Now()
		e := s.startCold("e-cold", "", 2*warmUpTime, true)
		s.see("north", 1)
		north := s.instances["north-1"]
		time.Sleep(1200 * time.Millisecond)
		var served, refused int
		for time.Now().UnixNano() < e.warmAt.Load() {
			switch r := north.chat("urgent", "question", 1, false); r.status {
			case http.StatusOK:
				served++
			default:
				Expect(r.status).To(Equal(http.StatusTooManyRequests), r.body)
				Expect(r.header.Get("Retry-After")).NotTo(BeEmpty())
				refused++
			}
		}
		all := e.expectBound("all cold", begun)
		AddReportEntry("requests", fmt.Sprintf("%d served, %d refused, %d at the engine", served, refused, all), ReportEntryVisibilityAlways)
		Expect(served).To(BeNumerically(">", warmUpRate*warmUpTime.Seconds()/2))
	})
})
