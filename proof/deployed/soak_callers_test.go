package deployed_test

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	soakCallers = 32
	// One connection in lateShare is made by a balancer that has not seen who is ready, and
	// one request in idleShare comes after a pause of up to longestPause.
	lateShare, idleShare = 4, 12
	longestPause         = 4 * time.Second
	// callerPatience is how long a caller waits for an answer: longer than any time limit.
	callerPatience = 8 * time.Second
	dialPatience   = time.Second
	probeEvery     = 500 * time.Millisecond
	probePatience  = 400 * time.Millisecond
	// misses is how many failed probes take an instance out.
	misses = 2
	// logLag is for how long a line of a process may be on its way.
	logLag = time.Second
)

// balance chooses edges as the platform's balancer does.
type balance struct {
	w      *soakWorld
	mu     sync.Mutex
	missed map[*soakNode]int
}

func newBalance(w *soakWorld) *balance { return &balance{w: w, missed: map[*soakNode]int{}} }

var prober = &http.Client{Timeout: probePatience, Transport: &http.Transport{DisableKeepAlives: true}}

func (b *balance) probe() {
	var all sync.WaitGroup
	for _, e := range b.w.edges {
		all.Go(func() {
			status, _ := callWith(prober, "GET", "http://"+e.at(portReady)+"/readyz", "")
			b.mu.Lock()
			defer b.mu.Unlock()
			b.missed[e]++
			if status == 200 {
				b.missed[e] = 0
			}
		})
	}
	all.Wait()
}

func (b *balance) pick() *soakNode {
	b.mu.Lock()
	defer b.mu.Unlock()
	var in []*soakNode
	for _, e := range b.w.edges {
		if b.missed[e] < misses {
			in = append(in, e)
		}
	}
	if len(in) < (len(b.w.edges)+1)/2 || rand.IntN(lateShare) == 0 {
		in = b.w.edges
	}
	return in[rand.IntN(len(in))]
}

// startLoad begins callers and operators, and returns what ends them.
func (w *soakWorld) startLoad() func() {
	ended := make(chan struct{})
	var all sync.WaitGroup
	all.Go(func() { every(ended, probeEvery, w.ready.probe) })
	if w.seed >= firstTroubled {
		all.Go(func() { every(ended, listEvery, w.poisons.watch) })
	}
	for range soakCallers {
		all.Go(func() { (&soakCaller{w: w}).run(ended) })
	}
	all.Go(func() { w.config.write(ended) })
	all.Go(func() { w.config.race(ended) })
	all.Go(func() { w.config.read(ended) })
	return func() {
		close(ended)
		all.Wait()
	}
}

func every(ended <-chan struct{}, pause time.Duration, do func()) {
	for {
		do()
		select {
		case <-ended:
			return
		case <-time.After(pause):
		}
	}
}

// soakCaller sends requests, and goes on using a connection until it is told to leave it.
type soakCaller struct {
	w    *soakWorld
	edge *soakNode
	// life is the life of the process that the connection leads to, zero if it is not clear.
	life int
	conn net.Conn
	in   *bufio.Reader
}

func (c *soakCaller) run(ended <-chan struct{}) {
	defer c.drop()
	every(ended, 0, func() {
		if c.closed() {
			c.drop()
		}
		if c.conn == nil && !c.connect() {
			time.Sleep(20 * time.Millisecond)
			return
		}
		c.request()
		pause := rand.N(60 * time.Millisecond)
		if rand.IntN(idleShare) == 0 {
			pause = rand.N(longestPause)
		}
		time.Sleep(pause)
	})
}

func (c *soakCaller) connect() bool {
	if !c.dial(c.w.ready.pick()) {
		return false
	}
	if rand.IntN(8) == 0 {
		time.Sleep(rand.N(400 * time.Millisecond))
	}
	return true
}

// dial connects to an edge.
func (c *soakCaller) dial(edge *soakNode) bool {
	life := edge.life()
	conn, err := net.DialTimeout("tcp4", edge.at(portFrontend), dialPatience)
	if err != nil {
		return false
	}
	if edge.life() != life {
		life = 0
	}
	c.edge, c.life, c.conn, c.in = edge, life, conn, bufio.NewReader(conn)
	return true
}

// closed reports whether the far end has closed the connection while it was idle, as it
// may after an answer. It does so in order unless it was killed.
func (c *soakCaller) closed() bool {
	if c.conn == nil {
		return false
	}
	_ = c.conn.SetReadDeadline(time.Now().Add(time.Millisecond))
	_, err := c.in.Peek(1)
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return false
	}
	if !errors.Is(err, io.EOF) && !c.edge.wasKilled(time.Now().Add(-callerPatience), time.Now()) {
		c.w.ledger.fail("an idle connection to %s from %s ended out of order: %v", c.edge.name, c.conn.LocalAddr(), err)
	}
	c.w.ledger.closed.Add(1)
	return true
}

func (c *soakCaller) drop() {
	if c.conn != nil {
		_ = c.conn.Close()
	}
	c.conn = nil
}

// sent is one request of a caller.
type sent struct {
	id, key string
	kind    attemptKind
	path    string
	at      time.Time
	// seen is the newest version whose effect was seen at the process before.
	seen int
}

var soakAttempts atomic.Int64

func (c *soakCaller) request() {
	c.exchange(c.compose(attemptKinds[rand.IntN(len(attemptKinds))], c.w.config.key()))
}

// compose makes a request for the connection. Some with a key that may be removed have a path
// whose route is removed with the key.
func (c *soakCaller) compose(kind attemptKind, key string) sent {
	s := sent{
		id: fmt.Sprintf("s%d", soakAttempts.Add(1)), key: key, kind: kind, path: kind.path(), at: time.Now(), seen: c.w.config.seenAt(c.edge, c.life),
	}
	if kind == repeatable && key != mainKey && rand.IntN(2) == 0 {
		s.path = "/p/" + key + "/x"
	}
	return s
}

// exchange sends a request and judges its answer.
func (c *soakCaller) exchange(s sent) {
	c.w.ledger.begin(s.id, s.key, s.kind, c.edge)
	text := fmt.Sprintf("POST %s HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: %s\r\nKey: %s\r\nDeadline-Ms: 3000\r\nContent-Length: 4\r\n\r\nbody", s.path, s.id, s.key)
	half := len(text)
	if rand.IntN(10) == 0 {
		half = rand.IntN(len(text))
	}
	_, err := io.WriteString(c.conn, text[:half])
	if err == nil && half < len(text) {
		time.Sleep(rand.N(300 * time.Millisecond))
		_, err = io.WriteString(c.conn, text[half:])
	}
	if err != nil {
		c.cut(s, err)
		return
	}
	_ = c.conn.SetReadDeadline(s.at.Add(callerPatience))
	if _, err := c.in.Peek(1); err != nil {
		c.cut(s, err)
		return
	}
	resp, err := http.ReadResponse(c.in, nil)
	if err != nil {
		c.cut(s, err)
		return
	}
	body, err := io.ReadAll(resp.Body)
	_ = resp.Body.Close()
	c.judge(s, resp, string(body), err)
	if err != nil || resp.Close || rand.IntN(8) == 0 {
		c.drop()
	}
}

// cut judges a connection that ended without an answer.
func (c *soakCaller) cut(s sent, err error) {
	from := c.conn.LocalAddr().String()
	c.drop()
	now := time.Now()
	if errors.Is(err, os.ErrDeadlineExceeded) {
		if !c.edge.wasFrozen(s.at, now) && !c.edge.wasKilled(s.at, now) && !c.w.machine.hung(s.at, now) {
			c.w.ledger.fail("%s at %s: no answer in %v", s.id, c.edge.name, callerPatience)
		}
		return
	}
	if c.edge.wasKilled(s.at.Add(-callerPatience/2), now) {
		c.w.ledger.cutByKill.Add(1)
		return
	}
	if c.edge.closedIdle(from) {
		c.w.ledger.crossed.Add(1)
		c.w.ledger.promise(s.id, 0)
		return
	}
	c.w.ledger.fail("%s at %s from %s was cut off after %v: %v; asked to end for %v", s.id, c.edge.name, from, now.Sub(s.at), err, c.edge.stopsSince())
}

// closedIdle reports whether the process says that it has closed an idle connection.
func (n *soakNode) closedIdle(from string) bool {
	for until := time.Now().Add(logLag); ; time.Sleep(poll) {
		for line := range strings.Lines(n.log()) {
			if strings.Contains(line, "event=connection_ended") && strings.Contains(line, "from="+from) &&
				(strings.Contains(line, "state=idle") || strings.Contains(line, "state=silent")) {
				return true
			}
		}
		if time.Now().After(until) {
			return false
		}
	}
}

func (c *soakCaller) judge(s sent, resp *http.Response, body string, err error) {
	l := c.w.ledger
	switch resp.StatusCode {
	case 200:
		c.judgeServed(s, resp, body, err)
	case 408, 421, 429, 503:
		l.promise(s.id, resp.StatusCode)
	case 401, 404:
		if s.key == mainKey || resp.StatusCode == 404 && s.path == s.kind.path() {
			l.fail("%s at %s: %d for a valid key or route", s.id, c.edge.name, resp.StatusCode)
		}
		c.w.config.judgeDenied(s, sight{c.edge, c.life}, resp.StatusCode)
		l.promise(s.id, resp.StatusCode)
	case 502, 504:
		l.unknown.Add(1)
	default:
		l.fail("%s at %s: status %d %s", s.id, c.edge.name, resp.StatusCode, body)
	}
}

func (c *soakCaller) judgeServed(s sent, resp *http.Response, body string, err error) {
	l := c.w.ledger
	if why := c.w.config.revoked(s.key, s.at); why != "" {
		l.fail("%s at %s was served with a removed key: %s", s.id, c.edge.name, why)
	}
	c.w.config.judgeServed(s, sight{c.edge, c.life})
	if resp.Header.Get("Attempt-Id") != s.id || resp.Header.Get("Runner-Seal") != "seal "+s.id {
		l.fail("%s at %s got the answer to %s", s.id, c.edge.name, resp.Header.Get("Attempt-Id"))
	}
	if err != nil {
		c.judgeBroken(s, body, err)
		return
	}
	l.served.Add(1)
	want := "done " + s.id
	if s.kind == streamed {
		want, body = wholeStream(s.id), strings.ReplaceAll(body, soakComment, "")
	}
	if body != want {
		l.fail("%s at %s looks whole and is %q", s.id, c.edge.name, body)
	}
}

func wholeStream(id string) string {
	var b strings.Builder
	for n := 1; n <= streamEvents; n++ {
		fmt.Fprintf(&b, "id: %d\ndata: %s %d\n\n", n, id, n)
	}
	return b.String()
}

// judgeBroken judges an answer that ended before its end. Its part is in order; a runner
// that failed or sent it what has no end, or a process that was killed explains it.
func (c *soakCaller) judgeBroken(s sent, body string, err error) {
	l := c.w.ledger
	now := time.Now()
	events := strings.SplitAfter(strings.ReplaceAll(body, soakComment, ""), "\n\n")
	whole := slices.Collect(func(yield func(string) bool) {
		for _, e := range events {
			if strings.HasSuffix(e, "\n\n") && !yield(e) {
				return
			}
		}
	})
	if !strings.HasPrefix(wholeStream(s.id), strings.Join(whole, "")) {
		l.fail("%s at %s: events are not in order: %q", s.id, c.edge.name, body)
	}
	_, endless := l.endless.Load(s.id)
	switch {
	case c.edge.wasKilled(s.at, now):
		l.cutByKill.Add(1)
	case endless || c.w.faulty.within(s.at.Add(-callerPatience/2), now) || c.edge.wasFrozen(s.at, now) || c.w.machine.hung(s.at, now):
		l.broken.Add(1)
	default:
		l.fail("%s at %s broke after %v without a fault: %v, %d bytes", s.id, c.edge.name, now.Sub(s.at), err, len(body))
	}
}
