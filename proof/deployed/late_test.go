package deployed_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

const (
	// lateFrom and lateTo bound when requests are sent after SIGTERM: from before the end of the announcement until
	// just before the end of the grace of 8 s. One is sent every latePause.
	lateFrom, lateTo, latePause = 1600 * time.Millisecond, 7900 * time.Millisecond, 15 * time.Millisecond
	// slowestAnswer bounds how long the upstream works on a request; one in silentShare is not answered at all.
	slowestAnswer, silentShare = 2 * time.Second, 5
	// leastPassedOn is how many requests must be passed on for the test to show something.
	leastPassedOn = 20
)

// lateCallers send requests to an edge that stops.
type lateCallers struct {
	edge *node
	// ran holds the requests that reached the upstream.
	ran     sync.Map
	sending sync.WaitGroup
	mu      sync.Mutex
	sent    []*lateRequest
}

// lateRequest is a request after SIGTERM, and what its caller was told; status 0 means no answer.
type lateRequest struct {
	id     string
	after  time.Duration
	status int
	told   string
}

// serve is an upstream that works for a while on each request.
func (l *lateCallers) serve(out http.ResponseWriter, req *http.Request) {
	id := req.Header.Get("Attempt-Id")
	out.Header().Set("Attempt-Id", id)
	out.Header().Set("Runner-Seal", "s")
	if req.URL.Path == healthPath {
		return
	}
	l.ran.Store(id, true)
	const steps = 20
	n := attempts.Load()
	if n%silentShare == 0 {
		<-req.Context().Done()
		return
	}
	time.Sleep(time.Duration(n%steps) * slowestAnswer / steps)
	_, _ = io.WriteString(out, "id: 1\ndata: x\n\n")
}

// send sends a request on a connection of its own, with one of several time limits.
func (l *lateCallers) send(begun time.Time) {
	n := attempts.Add(1)
	r := &lateRequest{id: fmt.Sprintf("late%d", n), after: time.Since(begun)}
	limit := 500 * (1 + n%9)
	l.sending.Go(func() {
		r.status, r.told = l.edge.exchange(fmt.Sprintf("POST /a/x HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: %s\r\nKey: k\r\nDeadline-Ms: %d\r\nContent-Length: 1\r\n\r\nx", r.id, limit))
		l.mu.Lock()
		defer l.mu.Unlock()
		l.sent = append(l.sent, r)
	})
}

// exchange sends a message to an edge on a connection of its own, and reads the answer.
func (n *node) exchange(message string) (status int, told string) {
	nc, err := net.DialTimeout("tcp4", n.at(portFrontend), time.Second)
	if err != nil {
		return 0, err.Error()
	}
	defer func() { _ = nc.Close() }()
	if _, err = io.WriteString(nc, message); err != nil {
		return 0, err.Error()
	}
	c := &caller{nc, bufio.NewReader(nc)}
	return c.answer()
}

// judge checks that each request which was passed on was answered, and returns how many were passed on.
func (l *lateCallers) judge(t *testing.T) (passedOn int) {
	t.Helper()
	outcomes := map[int]int{}
	for _, r := range l.sent {
		outcomes[r.status]++
		if _, passed := l.ran.Load(r.id); !passed {
			continue
		}
		passedOn++
		switch r.status {
		case 0:
			t.Errorf("sent %v after the signal, passed on and cut off: %s", r.after, r.told)
		case http.StatusServiceUnavailable:
			t.Errorf("sent %v after the signal, passed on and told as not run: %s", r.after, r.told)
		}
	}
	t.Logf("%d requests, %d passed on, by status %v", len(l.sent), passedOn, outcomes)
	return passedOn
}

// Guards against requests that come late in the grace of a planned stop, are passed on, and are cut off without an
// answer at its end, among them ones that may not be sent again.
func TestLateRequestsOfAStopAreAnswered(t *testing.T) {
	for _, kind := range []string{`"non_idempotent"`, `"streaming","resumable":true`} {
		t.Run(kind, func(t *testing.T) {
			s := newTrio(t)
			l := &lateCallers{edge: s.edges[0]}
			s.handled("slow", l.serve, s.cores...)
			s.runner.crash()
			status, _ := call("DELETE", "http://"+s.cores[0].at(portControl)+"/instances/"+s.runner.id, "")
			Expect(status / 100).To(Equal(2))
			table := strings.Replace(desired(2, "k"), `"idempotent","timeout-ms":1500`, kind+`,"timeout-ms":5000`, 1)
			s.within(patience, func() bool {
				status, _ := call("PUT", "http://"+s.cores[0].at(portControl)+"/config", table)
				return status == http.StatusOK
			}, "the route of slow requests")
			time.Sleep(2 * time.Second)
			begun := time.Now()
			l.edge.signal(syscall.SIGTERM)
			time.Sleep(lateFrom)
			for ; time.Since(begun) < lateTo; time.Sleep(latePause) {
				l.send(begun)
			}
			l.sending.Wait()
			Eventually(l.edge.exited, answerWithin).Should(BeClosed())
			if s.watch.hung(begun, time.Now()) {
				t.Skip("the machine hung during the stop")
			}
			Expect(l.judge(t)).To(BeNumerically(">=", leastPassedOn))
		})
	}
}
