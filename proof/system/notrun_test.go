package system_test

import (
	"fmt"
	"io"
	"log"
	"net/http"
	"net/http/httptest"
	"net/http/httputil"
	"net/url"
	"strings"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/comfreyladder/comfreyladder/core/announce"
	"github.com/comfreyladder/comfreyladder/core/intent"
)

// gate stands before an upstream and writes down which requests reached it, and
// which of them the upstream itself refused as not run.
type gate struct {
	server *httptest.Server
	mu     sync.Mutex
	// reached counts by request ID and idempotency key, refused by the same.
	reached, refused map[string]int
}

func newGate(to string) *gate {
	g := &gate{reached: map[string]int{}, refused: map[string]int{}}
	target, err := url.Parse("http://" + to)
	Expect(err).NotTo(HaveOccurred())
	p := httputil.NewSingleHostReverseProxy(target)
	p.FlushInterval = -1
	p.ErrorLog = log.New(io.Discard, "", 0)
	p.ErrorHandler = func(http.ResponseWriter, *http.Request, error) { panic(http.ErrAbortHandler) }
	p.ModifyResponse = func(r *http.Response) error {
		if r.StatusCode == http.StatusServiceUnavailable && r.Header.Get("X-Not-Run") == "true" {
			g.note(g.refused, r.Request)
		}
		return nil
	}
	g.server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodPost {
			g.note(g.reached, r)
		}
		p.ServeHTTP(w, r)
	}))
	DeferCleanup(g.server.CloseClientConnections)
	return g
}

func (g *gate) address() string { return strings.TrimPrefix(g.server.URL, "http://") }

func (g *gate) note(into map[string]int, r *http.Request) {
	g.mu.Lock()
	defer g.mu.Unlock()
	into[attemptOf(r.Header.Get("X-Request-Id"))]++
	if key := r.Header.Get("Idempotency-Key"); key != "" {
		into[key]++
	}
}

// attemptOf cuts the attempt's number from the ID of a model request.
func attemptOf(id string) string {
	if i := strings.LastIndexByte(id, '-'); i > 0 && strings.Count(id, "-") == 3 {
		return id[:i]
	}
	return id
}

// ran returns how often the request may have run behind the gate.
func (g *gate) ran(id string) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.reached[id] - g.refused[id]
}

var _ = Describe("The word that a request was not run", func() {
	// Engines refuse, cross, break and die, a small engine is full, a service
	// refuses, loses answers and dies before its work, and there is more work
	// than room. Many callers get failures; some are told "not run" and send
	// again. Whoever is told so must not have run: no attempt of the request
	// may have reached an upstream that did not itself refuse it.
	It("is true, counted at the upstreams by request", func() {
		s := newSiteWith(siteOptions{settings: quickLimits, classes: crowdedClasses, timeout: "1s"}, 2, "north")
		s.startAll()
		engines := []*standIn{
			s.engine("e-behind-1", "nowhere", "--speed", "10", "--slots", "4"),
			s.engine("e-behind-2", "nowhere", "--speed", "10", "--slots", "2", "--queue-limit", "1"),
		}
		svc := s.service("s-behind", "nowhere")
		gates := []*gate{newGate(engines[0].address), newGate(engines[1].address), newGate(svc.address)}
		for n := range engines {
			s.announce(announce.Heartbeat{Name: fmt.Sprintf("e-%d", n+1), Domain: "north", Kind: intent.KindEngine, Address: gates[n].address(), Models: []string{"m"}, Slots: 8})
		}
		s.announce(announce.Heartbeat{Name: "s-1", Domain: "north", Kind: intent.KindService, Service: "booking", Address: gates[2].address(), Slots: 8})
		s.see("north", 3)

		type word struct {
			id, what string
			r        *reply
		}
		var mu sync.Mutex
		var words []word
		hear := func(id, what string, r *reply) {
			if r.err == nil && r.saysNotRun() {
				mu.Lock()
				defer mu.Unlock()
				words = append(words, word{id, what, r})
			}
		}
		ended := make(chan struct{})
		var callers sync.WaitGroup
		list := s.list("north")
		for n := range 16 {
			callers.Go(func() {
				defer GinkgoRecover()
				for round := 0; ; round++ {
					select {
					case <-ended:
						return
					default:
					}
					in := list[(n+round)%2]
					time.Sleep(5 * time.Millisecond)
					if n%4 == 0 {
						key := fmt.Sprintf("booking.%d.%d", n, round)
						hear(key, "booking", in.book(key, "x"))
						continue
					}
					r := in.chat([]string{"urgent", "bulk"}[n%2], fmt.Sprintf("%d of %d", round, n), 20, n%3 == 0)
					hear(r.id(), "model request", r)
				}
			})
		}
		troubles := []struct{ engine, service string }{
			{`{"refuse":true}`, `{"refuse":true}`},
			{`{"refuse":false,"crossed":1}`, `{"refuse":false,"drop_answer":true}`},
			{`{"crossed":0,"break_after":2}`, `{"drop_answer":false,"die_before":true}`},
			{`{"break_after":0,"silent":true}`, `{"die_before":false,"silent":true}`},
			{`{"silent":false,"crossed":0.5,"refuse":true}`, `{"silent":false,"refuse":true,"drop_answer":true}`},
		}
		for _, trouble := range troubles {
			for _, e := range engines {
				e.faults(trouble.engine)
			}
			svc.faults(trouble.service)
			time.Sleep(600 * time.Millisecond)
		}
		engines[0].kill()
		svc.kill()
		time.Sleep(600 * time.Millisecond)
		close(ended)
		callers.Wait()
		told := map[string]int{}
		for _, w := range words {
			told[w.what]++
			for n, g := range gates {
				Expect(g.ran(w.id)).To(BeZero(), "%s %s was told not run, but ran at gate %d: %s", w.what, w.id, n, w.r.body)
			}
		}
		GinkgoWriter.Printf("told not run: %v\n", told)
		Expect(told["model request"]).To(BeNumerically(">", 20), "%v", told)
		Expect(told["booking"]).To(BeNumerically(">", 20), "%v", told)
	})
})
