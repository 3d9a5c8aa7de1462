package deployed_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
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

// caller is one connection of a caller to an edge.
type caller struct {
	net.Conn
	in *bufio.Reader
}

func dialEdge(e *node) *caller {
	c, err := net.Dial("tcp4", e.at(portFrontend))
	Expect(err).NotTo(HaveOccurred())
	e.s.t.Cleanup(func() { _ = c.Close() })
	return &caller{c, bufio.NewReader(c)}
}

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
