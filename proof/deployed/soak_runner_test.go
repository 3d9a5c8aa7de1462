package deployed_test

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// streamEvents is how many events a stream has, eventPause the time between two.
	streamEvents = 8
	eventPause   = 30 * time.Millisecond
	// longestWork bounds the work on a request that is no stream.
	longestWork = 60 * time.Millisecond
	reportEvery = 300 * time.Millisecond
	// longestDown bounds for how long a runner is gone that a request has ended.
	longestDown = 1500 * time.Millisecond
	// drainKnown is within what time edges know of a drain; drainSlack is added for the way.
	drainKnown, drainSlack = 2 * time.Second, 300 * time.Millisecond
)

// soakRunner is an upstream that crashes, drains and starts again under its ID.
type soakRunner struct {
	w  *soakWorld
	id string
	ip string

	mu   sync.Mutex
	life *runnerLife
	busy bool // a crash or a drain is under way
}

// runnerLife is one start of a runner.
type runnerLife struct {
	r        *soakRunner
	listener net.Listener
	server   *http.Server
	born     int64
	sequence atomic.Int64
	stop     chan struct{}
	draining atomic.Bool
	// drained is when a core has acknowledged the drain, in Unix nanoseconds.
	drained atomic.Int64
	conns   sync.Map
	// limit is what it names, nil for none.
	limit atomic.Pointer[limitNamed]
	// ask is what it asks for, nil for nothing.
	ask atomic.Pointer[ask]
	// endless is which of soakEndless it sends, nil for none.
	endless atomic.Pointer[int]
	// brittle is set while it is brittle.
	brittle atomic.Pointer[brittleness]
}

func (r *soakRunner) start() {
	l, err := net.Listen("tcp4", r.ip+":0")
	if err != nil {
		r.w.ledger.fail("%s: %v", r.id, err)
		return
	}
	life := &runnerLife{r: r, born: time.Now().UnixMilli(), stop: make(chan struct{})}
	life.listener = &faultyListener{Listener: l, life: life}
	life.server = &http.Server{ReadHeaderTimeout: time.Second, Handler: http.HandlerFunc(life.serve)}
	go func() { _ = life.server.Serve(life.listener) }()
	go life.beat()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.life, r.busy = life, false
}

func (l *runnerLife) serve(out http.ResponseWriter, req *http.Request) {
	attempt := req.Header.Get("Attempt-Id")
	l.r.w.ledger.arrived(attempt)
	if expected := req.Header.Get("Expect-Instance"); expected != "" && expected != l.r.id {
		out.Header().Set("Not-Executed", "1")
		out.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	l.judgeDrain(attempt)
	if l.ask.Load().arrived(out, attempt, l.r.w.ledger.edgeOf(attempt)) {
		return
	}
	done, taken := l.brittle.Load().admit(l.r, out, attempt)
	if !taken {
		return
	}
	defer done()
	l.r.w.ledger.ran(attempt)
	l.r.w.judgeKey(l.r.id, attempt)
	body, err := io.ReadAll(req.Body)
	if err != nil {
		return
	}
	if l.r.w.poisons.arrives(string(body)) {
		time.Sleep(poisonRuns)
		l.r.crashAndReturn(rand.N(longestDown))
		return
	}
	if l.answerEndless(out, req, attempt) {
		return
	}
	l.limit.Load().arrived(out, l.r.w.ledger.edgeOf(attempt))
	out.Header().Set("Attempt-Id", attempt)
	out.Header().Set("Runner-Seal", "seal "+attempt)
	if req.URL.Path == streamed.path() {
		l.stream(out, attempt, req.Header.Get("Last-Event-Id"))
		return
	}
	time.Sleep(rand.N(longestWork))
	_, _ = io.WriteString(out, "done "+attempt)
}

// judgeDrain checks that nothing comes after edges must know of a drain. It can't tell
// while edges or cores had troubles of their own.
func (l *runnerLife) judgeDrain(attempt string) {
	at := l.drained.Load()
	if at == 0 {
		return
	}
	known := time.Unix(0, at).Add(drainKnown + drainSlack)
	now := time.Now()
	if drained := time.Unix(0, at); now.After(known) && !l.r.w.edgesLag(drained, now) {
		l.r.w.ledger.fail("%s got %s %v after its drain was acknowledged", l.r.id, attempt, now.Sub(drained))
	}
}

func (l *runnerLife) stream(out http.ResponseWriter, attempt, last string) {
	out.Header().Set("Content-Type", "text/event-stream")
	from, _ := strconv.Atoi(last)
	for n := from + 1; n <= streamEvents; n++ {
		_, err := fmt.Fprintf(out, "id: %d\ndata: %s %d\n\n", n, attempt, n)
		if err != nil {
			return
		}
		out.(http.Flusher).Flush()
		time.Sleep(eventPause)
	}
}

func (l *runnerLife) beat() {
	for i := rand.IntN(len(l.r.w.cores)); ; i++ {
		l.report(l.r.w.cores[i%len(l.r.w.cores)])
		select {
		case <-l.stop:
			return
		case <-time.After(reportEvery):
		}
	}
}

func (l *runnerLife) report(to *soakNode) bool {
	state := "ready"
	if l.draining.Load() {
		state = "draining"
	}
	body := fmt.Sprintf(`{"service":"s","address":%q,"zone":"north","version":"v1","slots":16,"state":%q,"warmup-left-ms":0,"sequence":%d,"born":%d}`,
		l.listener.Addr(), state, l.sequence.Add(1), l.born)
	status, _ := call("PUT", "http://"+to.at(portControl)+"/instances/"+l.r.id, body)
	return status == 200
}

// take returns the life for a crash or a drain, or nil if one is under way.
func (r *soakRunner) take() *runnerLife {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.busy {
		return nil
	}
	r.busy = true
	return r.life
}

func (r *soakRunner) crashAndReturn(down time.Duration) {
	life := r.take()
	if life == nil {
		return
	}
	r.w.faulty.add()
	life.end()
	time.Sleep(down)
	r.start()
}

func (r *soakRunner) drainAndReturn(down time.Duration) {
	life := r.take()
	if life == nil {
		return
	}
	life.draining.Store(true)
	for range 20 {
		if life.report(r.w.cores[rand.IntN(len(r.w.cores))]) {
			life.drained.Store(time.Now().UnixNano())
			break
		}
		time.Sleep(100 * time.Millisecond)
	}
	time.Sleep(drainKnown + time.Second)
	_, _ = call("DELETE", "http://"+r.w.cores[0].at(portControl)+"/instances/"+r.id, "")
	r.w.faulty.add()
	life.end()
	time.Sleep(down)
	r.start()
}

func (r *soakRunner) current() *runnerLife {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.life
}

// awaitUp waits for the end of a crash or a drain.
func (r *soakRunner) awaitUp() {
	for {
		r.mu.Lock()
		busy := r.busy
		r.mu.Unlock()
		if !busy {
			return
		}
		time.Sleep(poll)
	}
}

func (r *soakRunner) crash() { r.current().end() }

func (l *runnerLife) end() {
	close(l.stop)
	_ = l.server.Close()
}

// reset resets all connections.
func (r *soakRunner) reset() {
	r.w.faulty.add()
	r.current().conns.Range(func(c, _ any) bool {
		f := c.(*faultyConn)
		_ = f.Conn.(*net.TCPConn).SetLinger(0)
		_ = f.Conn.Close()
		return true
	})
}

// silence lets all connections go silent; new ones work.
func (r *soakRunner) silence() {
	r.w.faulty.add()
	r.current().conns.Range(func(c, _ any) bool {
		c.(*faultyConn).silent.Store(true)
		return true
	})
}

type faultyListener struct {
	net.Listener
	life *runnerLife
}

// Accept implements net.Listener.
func (l *faultyListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	f := &faultyConn{Conn: c, life: l.life}
	l.life.conns.Store(f, true)
	return f, nil
}

// faultyConn is a connection that may go silent: nothing comes and nothing goes.
type faultyConn struct {
	net.Conn
	life   *runnerLife
	silent atomic.Bool
}

// Read implements net.Conn.
func (c *faultyConn) Read(p []byte) (int, error) {
	for {
		n, err := c.Conn.Read(p)
		if err != nil || !c.silent.Load() {
			return n, err
		}
	}
}

// Write implements net.Conn.
func (c *faultyConn) Write(p []byte) (int, error) {
	if c.silent.Load() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

// Close implements net.Conn.
func (c *faultyConn) Close() error {
	c.life.conns.Delete(c)
	return c.Conn.Close()
}
