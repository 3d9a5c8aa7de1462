package relay_test

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	. "github.com/onsi/gomega"

	"github.com/comfreyladder/comfreyladder/core/control/serving"
	"github.com/comfreyladder/comfreyladder/core/origin"
	"github.com/comfreyladder/comfreyladder/core/route"
	"github.com/comfreyladder/comfreyladder/instance/clock"
	"github.com/comfreyladder/comfreyladder/instance/eventlog"
	"github.com/comfreyladder/comfreyladder/instance/follow"
	"github.com/comfreyladder/comfreyladder/instance/relay"
)

var headers = relay.Headers{
	RequestID: "X-Id", Deadline: "X-Left", Key: "X-Key", Organisation: "X-Org", ExpectInstance: "X-Expect", Urgency: "X-Urgency",
	WarmUp: "X-Warm", NotRun: "X-Not-Run", Seal: "X-Seal", LastEvent: "X-Last", Resumes: "X-Resumes", PromptSegments: "X-Parts", TokenCounts: "X-Tokens", FetchFrom: "X-Fetch", Limit: "X-Limit", Leaving: "X-Leaving", Brittle: "X-Brittle",
	Reserved: []string{"X-Org", "X-Expect", "X-Urgency", "X-Hold", "X-Fetch"}, EndToEnd: []string{"X-Id"},
}

// state is a serving state that a test sets.
type state struct {
	mu    sync.Mutex
	view  *follow.View
	lease time.Duration
	// age is the time since the view was confirmed.
	age time.Duration
	// leaseChecks is the number of lease checks after which the lease expires; zero means never.
	leaseChecks int
	// leaseHook is called by the lease check that counts hookAfter down to zero.
	hookAfter int
	leaseHook func()
	// expiring makes leases of replaced views expire.
	expiring bool
}

func (s *state) View() *follow.View {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.view
}

// LeaseOf returns the lease that the test set.
func (s *state) LeaseOf(v *follow.View) time.Duration {
	s.runLeaseHook()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.expiring && v != s.view {
		return 0
	}
	if s.leaseChecks > 0 {
		if s.leaseChecks--; s.leaseChecks == 0 {
			lease := s.lease
			s.lease = 0
			return lease
		}
	}
	return s.lease
}

func (s *state) runLeaseHook() {
	s.mu.Lock()
	s.hookAfter--
	hook := s.leaseHook
	due := s.hookAfter == 0
	s.mu.Unlock()
	if due && hook != nil {
		hook()
	}
}

// onLeaseCheck calls f in the lease check with the given number from now on.
func (s *state) onLeaseCheck(number int, f func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.hookAfter, s.leaseHook = number, f
}

func (s *state) Age() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.age
}

func (s *state) setAge(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.age = d
}

func (s *state) setLease(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lease = d
}

// endLeaseAfter expires the lease after the given number of lease checks.
func (s *state) endLeaseAfter(checks int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leaseChecks = checks
}

// received is a request as an upstream received it.
type received struct {
	method, target, body string
	header               http.Header
}

// fakeUpstream answers each request on its connections by a script.
type fakeUpstream struct {
	id       string
	listener net.Listener
	script   func(n int, r *received, c net.Conn) (keep bool)
	mu       sync.Mutex
	got      []*received
	closed   int
	accepted int
}

func startUpstream(t *testing.T, id string, script func(n int, r *received, c net.Conn) bool) *fakeUpstream {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	u := &fakeUpstream{id: id, listener: l, script: script}
	t.Cleanup(func() { _ = l.Close() })
	go u.accept(l)
	return u
}

// startGone returns an upstream that refuses connections. Its port stays taken: one that is free could be
// given to the next listener, also that of the relay under test.
func startGone(t *testing.T, id string) *fakeUpstream {
	t.Helper()
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = syscall.Close(fd) })
	if err := syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		t.Fatal(err)
	}
	name, err := syscall.Getsockname(fd)
	if err != nil {
		t.Fatal(err)
	}
	return &fakeUpstream{id: id, listener: bound{port: name.(*syscall.SockaddrInet4).Port}}
}

// bound is an address that nobody listens at.
type bound struct {
	net.Listener
	port int
}

// Addr implements net.Listener.
func (b bound) Addr() net.Addr { return &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1), Port: b.port} }

func (u *fakeUpstream) accept(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		u.mu.Lock()
		u.accepted++
		u.mu.Unlock()
		go u.serve(c)
	}
}

// begun is the log index at which the upstream registered, unique to each.
func (u *fakeUpstream) begun() uint64 { return uint64(u.listener.Addr().(*net.TCPAddr).Port) }

func (u *fakeUpstream) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	in := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(in)
		if err != nil {
			u.mu.Lock()
			u.closed++
			u.mu.Unlock()
			return
		}
		body, _ := io.ReadAll(req.Body)
		if req.RequestURI == healthPath {
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nConnection: close\r\n\r\n")
			return
		}
		r := &received{method: req.Method, target: req.RequestURI, body: string(body), header: req.Header}
		u.mu.Lock()
		u.got = append(u.got, r)
		n := len(u.got)
		u.mu.Unlock()
		if !u.script(n, r, c) {
			return
		}
	}
}

func (u *fakeUpstream) requests() []*received {
	u.mu.Lock()
	defer u.mu.Unlock()
	return append([]*received(nil), u.got...)
}

// connections returns how many connections were accepted.
func (u *fakeUpstream) connections() int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.accepted
}

func (u *fakeUpstream) hangUps() int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.closed
}

// whole writes a complete response with the request's ID and a seal.
func whole(c net.Conn, r *received, status int, body string) bool {
	_, err := fmt.Fprintf(c, "HTTP/1.1 %d X\r\nX-Id: %s\r\nX-Seal: s\r\nContent-Length: %d\r\n\r\n%s", status, r.header.Get("X-Id"), len(body), body)
	return err == nil
}

func echo(_ int, r *received, c net.Conn) bool { return whole(c, r, 200, r.method+" "+r.body) }

func notRun(c net.Conn, r *received) bool {
	_, err := fmt.Fprintf(c, "HTTP/1.1 503 X\r\nX-Id: %s\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n", r.header.Get("X-Id"))
	return err == nil
}

const requestTimeout = 2 * time.Second

// healthPath is where upstreams tell whether they are well. What arrives there is no request of a caller,
// and is counted nowhere.
const healthPath = "/health"

// bodyLimit is the body budget in bytes: enough for one body of the maximum size, not for two.
const bodyLimit = 24 << 20

func routes() *route.Table {
	to := []route.WeightedService{{Service: "s", Weight: 1}}
	return &route.Table{
		Version: 1,
		Routes: []route.Route{
			{Name: "idem", Host: "h", Prefix: "/idem/", Kind: route.Idempotent, Services: to, Timeout: requestTimeout, Target: 100 * time.Millisecond, MaxAttempts: 2},
			{Name: "once", Host: "h", Prefix: "/once/", Kind: route.NonIdempotent, Services: to, Timeout: requestTimeout, Target: 100 * time.Millisecond, MaxAttempts: 2},
			{Name: "stream", Host: "h", Prefix: "/stream/", Kind: route.Streaming, Resumable: true, Services: to, Timeout: requestTimeout, Target: 100 * time.Millisecond, MaxAttempts: 2},
			{Name: "brief", Host: "h", Prefix: "/brief/", Kind: route.Streaming, Services: to, Timeout: requestTimeout, Target: 100 * time.Millisecond, MaxAttempts: 2},
			{Name: "open", Host: "h", Prefix: "/open/", Kind: route.Idempotent, Services: to, Timeout: requestTimeout, MaxAttempts: 1, Anonymous: true},
		},
		Services:      []route.Service{{Name: "s", HealthPath: healthPath}},
		Organisations: []route.Organisation{{Name: "org", Keys: []route.KeyDigest{route.Digest([]byte("k"))}}},
		Limits:        route.Limits{HeaderBytes: 2048, BodyBytes: 16 << 20, HeaderTimeout: 300 * time.Millisecond, IdleTimeout: time.Second},
	}
}

type relayTest struct {
	t       *testing.T
	state   *state
	service *relay.Service
	set     *metrics.Set
	// began counts the requests that began to run, by organisation.
	began sync.Map
	// ago is how long before it was counted the latest request began.
	ago atomic.Int64
	// log collects the log output.
	log lockedBuffer
	// fakeList is the fake quarantine of the instance.
	fakeList *fakeQuarantine
	limits   *fakeLimits
	permits  *fakePermits
	origins  *fakeOrigins
	slots    *fakeSlots
	// loadChanges counts how often a changed load was reported.
	loadChanges atomic.Int64
	// links are the ways to the upstreams.
	links *fakeLinks
}

// lockedBuffer is a buffer that is safe for concurrent use.
type lockedBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (b *lockedBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.b.Write(p)
}

func (b *lockedBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.b.String()
}

func (b *relayTest) count(organisation string, ago time.Duration) {
	b.ago.Store(int64(ago))
	n, _ := b.began.LoadOrStore(organisation, &atomic.Int64{})
	n.(*atomic.Int64).Add(1)
}

// counted returns how many requests of the organisation began to run.
func (b *relayTest) counted() int64 {
	if n, ok := b.began.Load("org"); ok {
		return n.(*atomic.Int64).Load()
	}
	return 0
}

// start runs a relay in front of the given upstreams.
func start(t *testing.T, ups ...*fakeUpstream) *relayTest {
	t.Helper()
	return startWith(t, 0, ups...)
}

// startWith runs a relay with a limit of events, zero for the default.
func startWith(t *testing.T, eventBytes int, ups ...*fakeUpstream) *relayTest {
	t.Helper()
	RegisterTestingT(t)
	v := &follow.View{Index: 1, Routes: route.NewIndex(routes()), Forwarders: 1}
	var list []*serving.Upstream
	for _, u := range ups {
		list = append(list, &serving.Upstream{ID: u.id, Service: "s", Address: u.listener.Addr().String(), State: serving.Ready, Slots: 8, FirstIndex: u.begun()})
	}
	v.Upstreams = follow.NewUpstreams(list...)
	b := &relayTest{t: t, state: &state{view: v, lease: time.Minute}, fakeList: &fakeQuarantine{}, limits: &fakeLimits{}, permits: &fakePermits{}, slots: &fakeSlots{}, origins: &fakeOrigins{known: map[string]origin.Origin{}}, links: &fakeLinks{}, set: metrics.NewSet()}
	b.service = relay.New(relay.Config{
		Listen: "127.0.0.1:0", Headers: headers, State: b.state, FailClosed: true,
		Budget:   relay.Budget{Ratio: 0.2, Window: 10 * time.Second, Slack: 20, CountedSince: clock.Now().Add(-time.Hour)},
		Announce: 200 * time.Millisecond, DrainTimeout: 2 * time.Second, BodyBytes: bodyLimit, AnswerBytes: answerLimit, EventBytes: eventBytes, OnRequestBegun: b.count,
		Quarantine: b.fakeList, Limits: b.limits, Permits: b.permits, Origins: b.origins, Slots: b.slots, OnLoadChange: func() { b.loadChanges.Add(1) }, Dial: b.links.direct, Tunnels: b.links, Log: eventlog.New(&b.log, nil),
	}, b.set)
	b.service.Update(v)
	if err := b.service.Start(context.Background()); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = b.service.Stop(context.Background()) })
	return b
}

// setTimeouts sets the header timeout and the timeouts of all routes.
func (b *relayTest) setTimeouts(d time.Duration) {
	t := routes()
	t.Limits.HeaderTimeout = d
	for i := range t.Routes {
		t.Routes[i].Timeout = d
	}
	b.use(t)
}

// engines turns the upstreams into engines and adds routes of different urgency.
func (b *relayTest) engines() {
	t := routes()
	t.Services[0].Engine = &route.Engine{Slots: 8, KVTokens: 500_000, TokensPerEvent: 3, FetchPerMS: 400}
	for i, name := range []string{"urgent", "last"} {
		t.Routes = append(t.Routes, route.Route{
			Name: name, Host: "h", Prefix: "/" + name + "/", Kind: route.Idempotent, Services: t.Routes[0].Services, Timeout: requestTimeout,
			Target: time.Second, MaxAttempts: 1, Priority: i, Sticky: true,
		})
	}
	b.use(t)
}

// use puts a route table in force; nil for none.
func (b *relayTest) use(t *route.Table) {
	b.state.mu.Lock()
	defer b.state.mu.Unlock()
	v := *b.state.view
	v.Routes = nil
	if t != nil {
		v.Routes = route.NewIndex(t)
	}
	b.state.view = &v
}

// caller is one connection of a caller.
type caller struct {
	net.Conn
	in *bufio.Reader
	t  *testing.T
}

func (b *relayTest) caller() *caller {
	b.t.Helper()
	c, err := net.Dial("tcp4", b.service.Address().String())
	if err != nil {
		b.t.Fatal(err)
	}
	b.t.Cleanup(func() { _ = c.Close() })
	return &caller{Conn: c, in: bufio.NewReader(c), t: b.t}
}

func message(method, path, id, body string) string {
	m := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: h\r\nX-Id: %s\r\nX-Key: k\r\nX-Left: 1500\r\n", method, path, id)
	if body != "" {
		m += fmt.Sprintf("Content-Length: %d\r\n", len(body))
	}
	return m + "\r\n" + body
}

func (c *caller) send(text string) {
	c.t.Helper()
	if _, err := io.WriteString(c, text); err != nil {
		c.t.Fatal(err)
	}
}

type reply struct {
	status int
	body   string
	header http.Header
	err    error
	took   time.Duration
	closes bool
}

func (c *caller) receive() reply {
	begun := time.Now()
	_ = c.SetReadDeadline(begun.Add(2 * requestTimeout))
	resp, err := http.ReadResponse(c.in, nil)
	if err != nil {
		return reply{err: err, took: time.Since(begun)}
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	return reply{resp.StatusCode, string(body), resp.Header, err, time.Since(begun), resp.Close}
}

func (c *caller) call(method, path, id, body string) reply {
	c.t.Helper()
	c.send(message(method, path, id, body))
	return c.receive()
}

func event(n int) string { return fmt.Sprintf("id: %d\ndata: e%d\n\n", n, n) }

func chunk(s string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(s), s) }

func streamHead(r *received) string {
	return "HTTP/1.1 200 OK\r\nX-Id: " + r.header.Get("X-Id") + "\r\nX-Seal: s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
}

// events writes a stream of the events from one number to another, and ends it if end is set.
func events(c net.Conn, r *received, from, to int, end bool) bool {
	var b strings.Builder
	b.WriteString(streamHead(r))
	for i := from; i <= to; i++ {
		b.WriteString(chunk(event(i)))
	}
	if end {
		b.WriteString("0\r\n\r\n")
	}
	_, err := io.WriteString(c, b.String())
	return err == nil && end
}
