package deployed_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

const (
	// freezeAt is when an edge is stopped after SIGTERM: shortly before the end of its
	// announcement.
	freezeAt = 1900 * time.Millisecond
	// answerWithin bounds the wait of a caller for its answer.
	answerWithin = 6 * time.Second
	// frozenCallers is how many callers meet a frozen process.
	frozenCallers = 10
)

// caller is one connection of a caller.
type caller struct {
	net.Conn
	in *bufio.Reader
}

func dial(n *node, port int) *caller {
	c, err := net.Dial("tcp4", n.at(port))
	Expect(err).NotTo(HaveOccurred())
	n.s.t.Cleanup(func() { _ = c.Close() })
	return &caller{c, bufio.NewReader(c)}
}

func dialEdge(e *node) *caller { return dial(e, portFrontend) }

// send writes a request of the usual kind.
func (c *caller) send() error {
	_, err := fmt.Fprintf(c, "GET /a/x HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: a%d\r\nKey: k\r\nDeadline-Ms: 5000\r\n\r\n", attempts.Add(1))
	return err
}

// answer reads one answer; what went wrong is told with status 0.
func (c *caller) answer() (status int, told string) {
	_ = c.SetReadDeadline(time.Now().Add(answerWithin))
	resp, err := http.ReadResponse(c.in, nil)
	if err != nil {
		return 0, err.Error()
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, err.Error()
	}
	return resp.StatusCode, string(body)
}

// frozenStop signals SIGTERM to an edge, freezes it from freezeAt until thaw after that,
// and calls during shortly after the freeze has begun.
func frozenStop(e *node, thaw time.Duration, during func()) {
	begun := time.Now()
	e.signal(syscall.SIGTERM)
	time.Sleep(time.Until(begun.Add(freezeAt)))
	e.signal(syscall.SIGSTOP)
	time.Sleep(20 * time.Millisecond)
	during()
	time.Sleep(time.Until(begun.Add(thaw)))
	e.signal(syscall.SIGCONT)
}

// expectAnswers reads one whole answer from each caller.
func expectAnswers(e *node, callers []*caller) {
	for i, c := range callers {
		status, told := c.answer()
		Expect(status).To(Equal(200), "caller %d of %d: %s\n%s", i+1, len(callers), told, e.log())
	}
	Eventually(e.exited, answerWithin).Should(BeClosed())
	Expect(e.log()).To(ContainSubstring("event=stopped"))
}

// Guards against a drain that closes its listener while connections wait to be accepted.
func TestConnectionsOfAFrozenDrainAreServed(t *testing.T) {
	for _, thaw := range []time.Duration{2300 * time.Millisecond, 2600 * time.Millisecond, 3 * time.Second} {
		t.Run(thaw.String(), func(t *testing.T) {
			s := newTrio(t)
			var callers []*caller
			frozenStop(s.edges[0], thaw, func() {
				for range frozenCallers {
					c := dialEdge(s.edges[0])
					Expect(c.send()).To(Succeed())
					callers = append(callers, c)
				}
			})
			expectAnswers(s.edges[0], callers)
		})
	}
}

// Guards against a drain that closes idle connections on which a request has arrived.
func TestRequestsOnIdleConnectionsOfAFrozenDrainAreServed(t *testing.T) {
	for _, thaw := range []time.Duration{2300 * time.Millisecond, 2600 * time.Millisecond} {
		t.Run(thaw.String(), func(t *testing.T) {
			s := newTrio(t)
			var callers []*caller
			for range frozenCallers {
				c := dialEdge(s.edges[0])
				Expect(c.send()).To(Succeed())
				status, told := c.answer()
				Expect(status).To(Equal(200), told)
				callers = append(callers, c)
			}
			frozenStop(s.edges[0], thaw, func() {
				for _, c := range callers {
					Expect(c.send()).To(Succeed())
				}
			})
			expectAnswers(s.edges[0], callers)
		})
	}
}

// Guards against a drain that resets connections which were accepted and silent.
func TestSilentConnectionsOfAFrozenDrainAreServed(t *testing.T) {
	s := newTrio(t)
	var callers []*caller
	for range frozenCallers {
		callers = append(callers, dialEdge(s.edges[0]))
	}
	frozenStop(s.edges[0], 2600*time.Millisecond, func() {
		for _, c := range callers {
			Expect(c.send()).To(Succeed())
		}
	})
	expectAnswers(s.edges[0], callers)
}

// Guards against an answer that came in time and is thrown away because the process did
// not run until the deadline was over.
func TestAnswerThatCameDuringAFreezeIsDelivered(t *testing.T) {
	s := newTrio(t)
	e := s.edges[0]
	s.runner.delay.Store(int64(200 * time.Millisecond))
	c := dialEdge(e)
	_, err := fmt.Fprint(c, "GET /a/x HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: late\r\nKey: k\r\nDeadline-Ms: 1000\r\n\r\n")
	Expect(err).NotTo(HaveOccurred())
	time.Sleep(100 * time.Millisecond)
	served := s.runner.served.Load()
	e.signal(syscall.SIGSTOP)
	time.Sleep(1200 * time.Millisecond)
	e.signal(syscall.SIGCONT)
	status, told := c.answer()
	Expect(status).To(Equal(200), "%s\n%s", told, e.log())
	Expect(s.runner.served.Load()).To(Equal(served), "it is not asked for again")
}

// operator calls one core again and again until it is told to leave or can't connect.
type operator struct {
	core   *node
	client *http.Client
	calls  int
	// cut lists the calls that lost their connection with the request on its way.
	cut []string
}

func (o *operator) run(first int, leave <-chan struct{}) {
	for version := first; ; version++ {
		method, body := http.MethodGet, ""
		if version%2 == 0 {
			method, body = http.MethodPut, desired(version, "k", "l")
		}
		status, told := callWith(o.client, method, "http://"+o.core.at(portControl)+"/config", body)
		switch {
		case status > 0:
			o.calls++
		case neverConnected(told):
			return
		default:
			o.cut = append(o.cut, method+": "+told)
			return
		}
		select {
		case <-leave:
			return
		default:
		}
	}
}

// Guards against a core that closes its listener without waiting for the calls under way.
// Operators choose by a list, from which the core is gone a second after its SIGTERM.
func TestCoreStopsInOrder(t *testing.T) {
	const operators, stops = 8, 6
	s := newTrio(t)
	version := 1000
	for stop := range stops {
		core := s.cores[stop%len(s.cores)]
		leave := make(chan struct{})
		var running sync.WaitGroup
		all := make([]*operator, operators)
		for i := range all {
			all[i] = &operator{core: core, client: &http.Client{Timeout: answerWithin, Transport: &http.Transport{DisableKeepAlives: i%2 == 0}}}
			version += 10_000
			first := version
			running.Go(func() { all[i].run(first, leave) })
		}
		time.Sleep(500 * time.Millisecond)
		core.signal(syscall.SIGTERM)
		time.Sleep(time.Second)
		close(leave)
		running.Wait()
		Eventually(core.exited, 8*time.Second).Should(BeClosed())
		for _, o := range all {
			Expect(o.calls).NotTo(BeZero())
			Expect(o.cut).To(BeEmpty(), "stop %d\n%s", stop+1, core.log())
		}
		Expect(core.log()).To(ContainSubstring("event=stopped"))
		core.start(false)
		Eventually(func() int { status, _ := core.get(); return status }, patience, poll).Should(Equal(200))
	}
}

// Guards against listeners that close while calls wait, at a core that does not run when
// its SIGTERM comes.
func TestCallsThatWaitAtAFrozenCoreAreAnswered(t *testing.T) {
	s := newTrio(t)
	core := s.cores[0]
	body := desired(2, "k", "l")
	texts := map[int][]string{
		portControl: {
			"GET /config HTTP/1.1\r\nHost: c\r\n\r\n",
			fmt.Sprintf("PUT /config HTTP/1.1\r\nHost: c\r\nContent-Length: %d\r\n\r\n%s", len(body), body),
		},
		portMetrics: {"GET /metrics HTTP/1.1\r\nHost: c\r\n\r\n"},
	}
	var callers []*caller
	call := func(c *caller, text string) {
		_, err := io.WriteString(c, text)
		Expect(err).NotTo(HaveOccurred())
		callers = append(callers, c)
	}
	kept := map[int]*caller{}
	for port, list := range texts {
		kept[port] = dial(core, port)
		call(kept[port], list[0])
		status, told := kept[port].answer()
		Expect(status).To(Equal(200), told)
	}
	callers = nil
	core.signal(syscall.SIGSTOP)
	for port, list := range texts {
		for i := range frozenCallers {
			call(dial(core, port), list[i%len(list)])
		}
		call(kept[port], list[0])
	}
	core.signal(syscall.SIGTERM)
	time.Sleep(time.Second)
	core.signal(syscall.SIGCONT)
	expectAnswers(core, callers)
}

// Guards against a signal to read the settings again that ends a process which starts.
func TestReloadDuringTheStartIsNoEnd(t *testing.T) {
	s := newTrio(t)
	n := s.add("edge-3", 103, false)
	Expect(syscall.Mkfifo(n.settingsFile(), 0o600)).To(Succeed())
	n.run()
	// The process waits for its settings from the time it opens the pipe.
	pipe, err := os.OpenFile(n.settingsFile(), os.O_WRONLY, 0)
	Expect(err).NotTo(HaveOccurred())
	n.signal(syscall.SIGHUP)
	Consistently(n.exited, 200*time.Millisecond).ShouldNot(BeClosed())
	Expect(os.Remove(n.settingsFile())).To(Succeed())
	n.writeSettings(false)
	_, err = pipe.WriteString(n.settingsText(false))
	Expect(err).NotTo(HaveOccurred())
	Expect(pipe.Close()).To(Succeed())
	Eventually(n.ready, patience, poll).Should(BeTrue(), n.log)
	Eventually(n.log, patience, poll).Should(ContainSubstring("event=reload why=signal"))
}
