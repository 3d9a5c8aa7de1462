package plain_test

import (
	"bufio"
	"context"
	"fmt"
	"math/rand"
	"net"
	"runtime"
	"sync"
	"sync/atomic"
	"time"

	. "github.com/onsi/gomega"
	"github.com/valyala/fasthttp"

	"github.com/comfreyladder/comfreyladder/core/claim"
	"github.com/comfreyladder/comfreyladder/core/fault"
	"github.com/comfreyladder/comfreyladder/core/intent"
	"github.com/comfreyladder/comfreyladder/instance/plain"
	"github.com/comfreyladder/comfreyladder/instance/upstream"
)

const testTimeout = 20 * time.Second

// behaviour is how the fake service handles one call.
type behaviour int

const (
	answers        behaviour = iota // runs the call and answers
	drops                           // runs the call and drops the connection
	refuses                         // 503 with X-Not-Run
	dies                            // drops the connection before it runs the call
	delays                          // runs the call and answers after the caller's limit
	fails                           // runs the call and answers 500
	rejects                         // answers 409 without an effect
	behaviourCount = int(rejects) + 1
)

// service is a fake plain service without deduplication. It counts the effects of each key.
type service struct {
	ln          net.Listener
	wg          sync.WaitGroup
	mu          sync.Mutex
	behaviourOf func(key string) behaviour
	byID        map[string]string // the answer of each effect, by request ID
	keys        map[string]int    // effects by idempotency key
	n           int               // requests that change state
	conns       map[net.Conn]bool
	closed      chan struct{}
}

func newService(g Gomega, m func(key string) behaviour) *service {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	s := &service{ln: ln, behaviourOf: m, byID: map[string]string{}, keys: map[string]int{}, conns: map[net.Conn]bool{}, closed: make(chan struct{})}
	s.wg.Go(func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			s.mu.Lock()
			s.conns[c] = true
			s.mu.Unlock()
			s.wg.Go(func() {
				defer c.Close()
				br := bufio.NewReader(c)
				for s.serveOne(c, br) {
				}
			})
		}
	})
	return s
}

func (s *service) close() {
	s.ln.Close()
	close(s.closed)
	s.mu.Lock()
	for c := range s.conns {
		c.Close()
	}
	s.mu.Unlock()
	s.wg.Wait()
}

func (s *service) target() upstream.Target {
	return upstream.Target{Name: "booking-1", Address: s.ln.Addr().String()}
}

func answer(c net.Conn, id string, status int, body string, extra string) {
	fmt.Fprintf(c, "HTTP/1.1 %d x\r\nX-Request-Id: %s\r\n%sContent-Length: %d\r\n\r\n%s", status, id, extra, len(body), body)
}

func (s *service) serveOne(c net.Conn, br *bufio.Reader) bool {
	req := &fasthttp.Request{}
	if req.Read(br) != nil {
		return false
	}
	id, key := string(req.Header.Peek("X-Request-Id")), string(req.Header.Peek("Idempotency-Key"))
	if string(req.Header.Method()) == "GET" {
		s.query(c, id, string(req.URI().QueryArgs().Peek("id")))
		return true
	}
	s.mu.Lock()
	s.n++
	m := s.behaviourOf(key)
	body := ""
	if m != refuses && m != dies && m != rejects {
		s.keys[key]++
		body = fmt.Sprintf("effect %d of %s", s.keys[key], key)
		s.byID[id] = body
	}
	s.mu.Unlock()
	switch m {
	case drops, dies:
		return false
	case refuses:
		answer(c, id, 503, "busy", "X-Not-Run: true\r\n")
	case rejects:
		answer(c, id, 409, "taken", "")
	case fails:
		answer(c, id, 500, body, "")
	case delays:
		select {
		case <-time.After(100 * time.Millisecond):
		case <-s.closed:
		}
		answer(c, id, 201, body, "")
	default:
		answer(c, id, 201, body, "")
	}
	return true
}

func (s *service) query(c net.Conn, id, asked string) {
	s.mu.Lock()
	body, ok := s.byID[asked]
	s.mu.Unlock()
	if !ok {
		answer(c, id, 404, "", "")
		return
	}
	answer(c, id, 200, body, "")
}

func (s *service) effects(key string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.keys[key]
}

func (s *service) sent() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.n
}

func (s *service) ran(id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, ok := s.byID[id]
	return ok
}

// ledger applies commands to a claim.Machine, in place of the control group.
type ledger struct {
	mu     sync.Mutex
	m      *claim.Machine
	skew   time.Duration
	rng    *rand.Rand // nil disables snapshots and faults
	cutOff atomic.Bool
}

func newLedger(seed int64) *ledger {
	l := &ledger{m: claim.New(claim.DefaultLimits)}
	if seed != 0 {
		l.rng = rand.New(rand.NewSource(seed))
	}
	return l
}

func (l *ledger) propose(_ context.Context, machine string, data []byte) ([]byte, error) {
	if l.cutOff.Load() || machine != plain.MachineName {
		return nil, fault.New(fault.Unavailable, "no leader")
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	lost := 2
	if l.rng != nil {
		l.snapshot()
		lost = l.rng.Intn(20)
	}
	if lost == 0 {
		return nil, fault.New(fault.Unavailable, "lost before it was committed")
	}
	out := l.m.Apply(0, time.Now().Add(l.skew), data)
	if lost == 1 {
		return nil, fault.New(fault.Unavailable, "committed, answer lost")
	}
	return out, nil
}

func (l *ledger) snapshot() {
	if l.rng.Intn(4) != 0 {
		return
	}
	b, err := l.m.Snapshot()
	if err != nil {
		panic(err)
	}
	l.m = claim.New(claim.DefaultLimits)
	if err := l.m.Restore(b); err != nil {
		panic(err)
	}
}

// advance moves the ledger's clock forward.
func (l *ledger) advance(d time.Duration) {
	l.mu.Lock()
	l.skew += d
	l.mu.Unlock()
}

// crasher simulates a crash of the process by ending the goroutine of a call at a step. Steps
// count from 1: before the claim, after it, before the send, after it, before the receipt,
// after it.
type crasher struct {
	plain.Ledger
	plain.Doer
	at func() int
}

const crashSteps = 6

func (c *crasher) crashAt(step, at int) {
	if step == at {
		runtime.Goexit()
	}
}

func (c *crasher) Submit(ctx context.Context, cmd *claim.Command) (claim.Result, error) {
	before, after := 5, 6
	if cmd.Op == claim.OpClaim {
		before, after = 1, 2
	}
	at := c.at()
	c.crashAt(before, at)
	defer c.crashAt(after, at)
	return c.Ledger.Submit(ctx, cmd)
}

func (c *crasher) Do(ctx context.Context, t upstream.Target, call upstream.Call) (*upstream.Answer, error) {
	at := c.at()
	c.crashAt(3, at)
	defer c.crashAt(4, at)
	return c.Doer.Do(ctx, t, call)
}

var ids atomic.Int64

func newID() string { return fmt.Sprint("id-", ids.Add(1)) }

func neverCrash() int { return 0 }

func newHandler(l *ledger, d plain.Doer, crash func() int) *plain.Handler {
	c := &crasher{Ledger: plain.ProposeFunc(l.propose), Doer: d, at: crash}
	return plain.New(plain.Config{Ledger: c, Client: c, Instance: "test", NewID: newID,
		LedgerTimeout: time.Second, WriteLimit: time.Second, AllowRetry: func() bool { return true }})
}

func booking() *intent.Service {
	return &intent.Service{Name: "booking", AtMostOnce: true, RequireKey: true, Timeout: 5 * time.Second, Retention: time.Hour}
}

func bookingRequest(s *service, key string) plain.CallRequest {
	return plain.CallRequest{Organisation: "neihu-dishes", Service: booking(), Key: key, Method: "POST", Path: "/book",
		Body: []byte("parts for " + key), Target: s.target()}
}
