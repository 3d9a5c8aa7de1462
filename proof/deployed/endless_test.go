package deployed_test

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// endless is what an upstream sends without end.
type endless string

const (
	endlessNone      endless = ""
	endlessInterim   endless = "interim responses"
	endlessEvent     endless = "one event"
	endlessComments  endless = "comments"
	drippedExtension endless = "a chunk extension byte by byte"
	drippedTrailers  endless = "trailers byte by byte"
	drippedEvent     endless = "an event byte by byte"
	heldEvent        endless = "an event that stops"
	heldHead         endless = "a head of 60 KiB that goes on byte by byte"
	floodedStatus    endless = "a status line"
	floodedHeader    endless = "one header"
	floodedHeaders   endless = "headers"
	floodedExtension endless = "a chunk extension"
	floodedTrailers  endless = "trailers"
	floodedSurplus   endless = "bytes after a whole answer"
	floodedGarbage   endless = "garbage"
	floodedBody      endless = "a body in chunks"
	floodedOpenBody  endless = "a body without a length"
	floodedRejection endless = "the body of a rejection"
	floodedFailure   endless = "the body of a failure"
	floodedLate      endless = "the body of a response to another request"
)

const (
	// endlessSpan is for how long an upstream sends what has no end, unless the connection is closed before.
	endlessSpan = 5 * time.Second
	// dripInterval is the time between two bytes of what is sent byte by byte.
	dripInterval = 100 * time.Millisecond
	// mostEndlessBytes bounds what an upstream can write to one connection: the limits of a response are below
	// one megabyte, and the buffers of the system hold up to ten.
	mostEndlessBytes = 12 << 20
	// edgeMB is the memory limit of an instance. heldConns is how many connections to it are held at once by events
	// of heldBytes that do not end, leastHeld how many of them at least while the requests are under way.
	edgeMB, heldConns, leastHeld, heldBytes = 184, 500, 300, 300 << 10
	// wholeEvents is the number of events of a stream, as streamer.take expects it.
	wholeEvents = versionEvents
)

// endlessUpstream is an upstream that answers, or begins an answer that has no end.
type endlessUpstream struct {
	how atomic.Value
	// health is what answers to health checks are, how what other answers are.
	health atomic.Value
	// keeps is set if connections are kept open after answers that end.
	keeps bool
	mu    sync.Mutex
	// ran counts the runs of each attempt; longest and most are the longest endless answer and the most bytes of one.
	ran     map[string]int
	begun   int
	served  int
	longest time.Duration
	most    int64
	// open counts the endless answers of all upstreams of a test that are under way.
	open *gauge
	// span is for how long it sends.
	span time.Duration
}

// endlessChunk is a piece of a body that has no end.
var endlessChunk = fmt.Sprintf("%x\r\n%s\r\n", 16<<10, strings.Repeat("x", 16<<10))

// gauge counts what is under way, and the most at once.
type gauge struct {
	mu      sync.Mutex
	n, most int
}

func (g *gauge) peak() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.most
}

func (g *gauge) now() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.n
}

func (g *gauge) add(n int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.n += n
	g.most = max(g.most, g.n)
}

func newEndlessUpstream(open *gauge) *endlessUpstream {
	u := &endlessUpstream{ran: map[string]int{}, open: open, span: endlessSpan}
	u.how.Store(endlessNone)
	u.health.Store(endlessNone)
	return u
}

func (u *endlessUpstream) serve(out http.ResponseWriter, req *http.Request) {
	_, _ = io.Copy(io.Discard, req.Body)
	id, how := req.Header.Get("Attempt-Id"), u.how.Load().(endless)
	checked := req.URL.Path == healthPath
	if checked {
		how = u.health.Load().(endless)
	}
	if checked && how == endlessNone {
		out.Header().Set("Attempt-Id", id)
		return
	}
	if !checked {
		u.mu.Lock()
		u.ran[id]++
		u.mu.Unlock()
	}
	if u.keeps && how == endlessNone {
		u.keep(out, id)
		return
	}
	c, to, err := out.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	defer func() { _ = c.Close() }()
	head := fmt.Sprintf("HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nRunner-Seal: s\r\nConnection: close\r\nTransfer-Encoding: chunked\r\n", id)
	if strings.HasPrefix(req.URL.Path, "/a/stream") {
		u.stream(to, head, req.Header.Get("Last-Event-Id"), how)
		return
	}
	u.plain(to, head, how)
}

// plain writes the answer to a request that is no stream.
func (u *endlessUpstream) plain(to *bufio.ReadWriter, head string, how endless) {
	body := fmt.Sprintf("%x\r\n%s\r\n", len(wholeAnswer), wholeAnswer)
	switch how {
	case endlessInterim:
		u.flood(to, "HTTP/1.1 103 Early Hints\r\nLink: </style.css>; rel=preload\r\n\r\n")
	case drippedExtension:
		u.drip(to, head+"\r\n5;")
	case drippedTrailers:
		u.drip(to, head+"\r\n"+body+"0\r\n")
	case heldHead:
		u.drip(to, head+"A: "+strings.Repeat("x", heldHeadBytes))
	case floodedStatus:
		u.flood(to, "HTTP/1.1 200 "+strings.Repeat("x", 1000))
	case floodedHeader:
		u.floodAfter(to, head+"A: ", strings.Repeat("x", 1000))
	case floodedHeaders:
		u.floodAfter(to, head, strings.Repeat("A: b\r\n", 100))
	case floodedExtension:
		u.floodAfter(to, head+"\r\n5;", strings.Repeat("x", 1000))
	case floodedTrailers:
		u.floodAfter(to, head+"\r\n"+body+"0\r\n", strings.Repeat("A: b\r\n", 100))
	case floodedSurplus:
		u.floodAfter(to, head+"\r\n"+body+"0\r\n\r\n", strings.Repeat("x", 1000))
	case floodedBody, floodedOpenBody, floodedRejection, floodedFailure, floodedLate:
		u.floodBody(to, head, how)
	case floodedGarbage:
		u.flood(to, strings.Repeat("\x00\xff", 500))
	default:
		u.whole(to, head+"\r\n"+body+"0\r\n\r\n")
	}
}

// floodBody writes a body without end, after a head that is changed as told.
func (u *endlessUpstream) floodBody(to *bufio.ReadWriter, head string, how endless) {
	changes := map[endless][]string{
		floodedOpenBody:  {"Transfer-Encoding: chunked\r\n", ""},
		floodedRejection: {"200 OK", "503 X\r\nNot-Executed: 1"},
		floodedFailure:   {"200 OK", "500 X"},
		floodedLate:      {"Attempt-Id: ", "Attempt-Id: late-", "Connection: close\r\n", ""},
	}
	u.floodAfter(to, strings.NewReplacer(changes[how]...).Replace(head)+"\r\n", endlessChunk)
}

// keep answers a plain request and keeps its connection open.
func (u *endlessUpstream) keep(out http.ResponseWriter, id string) {
	out.Header().Set("Attempt-Id", id)
	out.Header().Set("Runner-Seal", "s")
	_, _ = io.WriteString(out, wholeAnswer)
	u.mu.Lock()
	defer u.mu.Unlock()
	u.served++
}

// stream writes the events after the last one that the caller has, the first of them before what has no end.
// What is no part of a stream is sent to plain requests alone.
func (u *endlessUpstream) stream(to *bufio.ReadWriter, head, last string, how endless) {
	if how != endlessEvent && how != endlessComments && how != heldEvent && how != drippedEvent {
		how = endlessNone
	}
	first := 0
	if _, err := fmt.Sscan(last, &first); err == nil {
		first++
	}
	b := head + "Content-Type: text/event-stream\r\n\r\n"
	for i := first; i < wholeEvents; i++ {
		if i == breaksAfter && how != endlessNone {
			break
		}
		event := fmt.Sprintf("id: %d\ndata: v\n\n", i)
		b += fmt.Sprintf("%x\r\n%s\r\n", len(event), event)
	}
	piece := func(s string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(s), s) }
	switch how {
	case endlessEvent:
		_, _ = to.WriteString(b)
		u.flood(to, piece("data: "+strings.Repeat("x", 4000)+"\n"))
	case endlessComments:
		_, _ = to.WriteString(b)
		u.flood(to, piece(strings.Repeat(": c\n\n\n", 600)))
	case heldEvent:
		u.drip(to, b+piece("data: "+strings.Repeat("x", heldBytes)), piece("x"))
	case drippedEvent:
		u.drip(to, b+piece("data: "), piece("x"))
	default:
		u.whole(to, b+"0\r\n\r\n")
	}
}

func (u *endlessUpstream) whole(to *bufio.ReadWriter, text string) {
	_, _ = to.WriteString(text)
	_ = to.Flush()
	u.mu.Lock()
	defer u.mu.Unlock()
	u.served++
}

// flood writes a text again and again.
func (u *endlessUpstream) flood(to *bufio.ReadWriter, text string) { u.write(to, "", text, 0) }

// floodAfter writes the first text once, and then the other again and again.
func (u *endlessUpstream) floodAfter(to *bufio.ReadWriter, first, again string) {
	u.write(to, first, again, 0)
}

// drip writes the text and then a byte, or the given bytes, at each interval.
func (u *endlessUpstream) drip(to *bufio.ReadWriter, text string, one ...string) {
	u.write(to, text, strings.Join(append(one, "x")[:1], ""), dripInterval)
}

func (u *endlessUpstream) write(to *bufio.ReadWriter, first, again string, pause time.Duration) {
	begun, sent := time.Now(), int64(0)
	u.open.add(1)
	defer u.open.add(-1)
	_, _ = to.WriteString(first)
	for time.Since(begun) < u.span {
		n, err := to.WriteString(again)
		sent += int64(n)
		if pause > 0 {
			err = to.Flush()
			time.Sleep(pause)
		}
		if err != nil {
			break
		}
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	u.begun, u.longest, u.most = u.begun+1, max(u.longest, time.Since(begun)), max(u.most, sent)
}

// take returns and forgets what was seen of endless answers.
func (u *endlessUpstream) take() (begun int, longest time.Duration, most int64) {
	u.mu.Lock()
	defer u.mu.Unlock()
	begun, longest, most = u.begun, u.longest, u.most
	u.begun, u.longest, u.most = 0, 0, 0
	return begun, longest, most
}

// endlessSite is three cores, four edges and four upstreams, of which the first send what has no end.
type endlessSite struct {
	*quartet
	ups  []*endlessUpstream
	open gauge
	// after is how many requests are sent before upstreams begin to send what has no end.
	after int
}

func newEndlessSite(t *testing.T, upstreams int, streams bool) *endlessSite {
	return newEndlessGroup(t, 4, upstreams, streams)
}

// newEndlessGroup is the same with another number of edges.
func newEndlessGroup(t *testing.T, edges, upstreams int, streams bool) *endlessSite {
	s := watchedSite(t)
	quickBudget(s)
	s.memoryMB = edgeMB
	e := &endlessSite{quartet: newGroupAt(s, edges)}
	for i := range upstreams {
		u := newEndlessUpstream(&e.open)
		e.ups = append(e.ups, u)
		e.handled(fmt.Sprint("endless-", i), u.serve, e.cores...)
	}
	e.awaitReady()
	if streams {
		e.within(patience, func() bool { return e.cores[0].putStreams(2, "k") == 200 }, "the route of streams")
		time.Sleep(time.Second)
	}
	e.awaitBudget()
	return e
}

// expected is what must hold while some of the upstreams send what has no end.
type expected struct {
	how endless
	// sick is how many of the four upstreams do, longest for how long at most over one connection, and unserved
	// how many callers may be told of a failure.
	sick     int
	longest  time.Duration
	unserved int
}

const (
	endlessRequests = 160
	// heldHeadBytes is below the limit of a head, 64 KiB.
	heldHeadBytes = 60 << 10
	endlessPause  = 12 * time.Millisecond
	// holdFor is for how long a stream is held at most, holdWithin within what time all are begun, and holdRetry the pause
	// of a caller that was refused.
	holdFor, holdWithin, holdRetry = 10 * time.Second, 8 * time.Second, 50 * time.Millisecond
)

// answer is what a caller was told: whether it was served, and what is wrong with that.
type answer struct {
	served bool
	wrong  string
}

// play sends requests while some upstreams send what has no end, and checks what became of them.
func (e *endlessSite) play(t *testing.T, x expected, ask func(i int) answer) {
	t.Run(fmt.Sprintf("%s, %d of 4", x.how, x.sick), func(t *testing.T) {
		g := NewWithT(t)
		var all sync.WaitGroup
		var unserved atomic.Int64
		for i := range endlessRequests {
			if i == e.after {
				e.begin(x)
			}
			all.Go(func() {
				a := ask(i)
				if !a.served {
					unserved.Add(1)
				}
				if a.wrong != "" {
					t.Error(a.wrong)
				}
			})
			time.Sleep(endlessPause)
		}
		all.Wait()
		// An upstream that is still sending is counted once its connection ends.
		time.Sleep(x.longest)
		total, longest, most := 0, time.Duration(0), int64(0)
		for _, u := range e.ups[:x.sick] {
			n, span, bytes := u.take()
			total, longest, most = total+n, max(longest, span), max(most, bytes)
			u.how.Store(endlessNone)
		}
		t.Logf("%d begun, longest %s, most bytes %d, %d of %d not served", total, longest, most, unserved.Load(), endlessRequests)
		g.Expect(total).To(BeNumerically(">", 0), "the failure was played")
		for _, u := range e.ups[:x.sick] {
			before := u.servedNow()
			g.Eventually(func() int { ask(0); return u.servedNow() }, patience, poll).Should(BeNumerically(">", before), "an upstream that is well again is used")
		}
		e.awaitBudget()
		g.Expect(unserved.Load()).To(BeNumerically("<=", x.unserved))
		g.Expect(longest).To(BeNumerically("<", x.longest))
		g.Expect(most).To(BeNumerically("<", mostEndlessBytes))
	})
}

// begin lets the first upstreams send what has no end.
func (e *endlessSite) begin(x expected) {
	for _, u := range e.ups[:x.sick] {
		u.how.Store(x.how)
	}
}

func (u *endlessUpstream) servedNow() int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.served
}

func (e *endlessSite) runs(id string) (n int) {
	for _, u := range e.ups {
		u.mu.Lock()
		n += u.ran[id]
		u.mu.Unlock()
	}
	return n
}

// Guards against an upstream that keeps an instance busy with interim responses, or holds requests with bytes
// that are no part of their answers.
func TestEndlessAnswersAreCutShort(t *testing.T) {
	e := newEndlessSite(t, 4, false)
	ask := func(i int) (a answer) {
		id := fmt.Sprintf("endless%d", attempts.Add(1))
		status, body := call(http.MethodPost, "http://"+e.edges[i%len(e.edges)].at(portFrontend)+"/a/x", "x", "Host", "h.example", "Attempt-Id", id, "Key", "k", "Deadline-Ms", "1500")
		switch a.served = status == http.StatusOK; {
		case a.served && body != wholeAnswer:
			a.wrong = "an answer that is not whole was told as whole"
		case status == http.StatusServiceUnavailable && e.runs(id) > 0:
			a.wrong = "what ran was told as not run"
		}
		return a
	}
	e.play(t, expected{endlessInterim, 1, time.Second, 2}, ask)
	// Repeated once the route's 0.8 s without progress are over.
	e.play(t, expected{drippedExtension, 1, 1300 * time.Millisecond, 2}, ask)
	e.play(t, expected{drippedTrailers, 1, time.Second, 2}, ask)
	e.play(t, expected{endlessInterim, 4, time.Second, endlessRequests}, ask)
}

// Guards against a stream that is held, or forwarded without end, because one of its events does not end.
func TestEndlessEventsAreCutShort(t *testing.T) {
	e := newEndlessSite(t, 4, true)
	s := &streamer{streams: &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}}
	ask := func(i int) (a answer) {
		one := &taken{last: -1, path: "/a/stream"}
		s.take(one, e.edges[i%len(e.edges)])
		switch a.served = one.whole; {
		case one.gaps > 0:
			a.wrong = "an event is missing or came twice"
		case one.ended && !one.whole && one.status == http.StatusOK:
			a.wrong = "a stream that is not whole was told as whole"
		}
		return a
	}
	e.play(t, expected{endlessEvent, 1, time.Second, 2}, ask)
	e.play(t, expected{endlessComments, 1, time.Second, 2}, ask)
	// Resumed after three times the target gap of the route.
	e.play(t, expected{drippedEvent, 1, 3800 * time.Millisecond, 2}, ask)
	e.play(t, expected{endlessEvent, 4, 1500 * time.Millisecond, endlessRequests}, ask)
}

// Guards against an instance that is killed for its memory use because many events, each within its limit, do
// not end. What is not held is forwarded as it arrives.
func TestManyEndlessEventsAreHeldInBounds(t *testing.T) {
	e := newEndlessSite(t, 12, true)
	for _, u := range e.ups {
		u.span = holdFor
		u.how.Store(heldEvent)
	}
	// Streams that are silent for longer than the others take to begin go on elsewhere only later.
	table := strings.Replace(desired(3, "k"), `"route-type":"idempotent","timeout-ms":1500`, `"route-type":"streaming","resumable":true,"target-gap-ms":5000,"timeout-ms":15000`, 1)
	e.within(patience, func() bool {
		status, _ := call("PUT", "http://"+e.cores[0].at(portControl)+"/config", table)
		return status == 200
	}, "the route of long streams")
	time.Sleep(time.Second)
	edge := e.edges[0]
	before := edge.peakMB()
	var all sync.WaitGroup
	var whole, failed, refused atomic.Int64
	streams := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: holdFor}
	begun := time.Now()
	for range heldConns {
		all.Go(func() {
			// On a busy machine connects time out, and callers are told to try again.
			for time.Since(begun) < holdWithin {
				switch status, err := edge.openStream(streams); {
				case err != nil && status == 0:
					failed.Add(1)
					return
				case err != nil:
					return
				case status == http.StatusOK:
					whole.Add(1)
					return
				}
				refused.Add(1)
				time.Sleep(holdRetry)
			}
		})
	}
	all.Wait()
	after := edge.peakMB()
	t.Logf("%d held at once, %d without an answer, %d refused, at most %d MB, %d MB before", e.open.peak(), failed.Load(), refused.Load(), after, before)
	e.g.Expect(e.open.peak()).To(BeNumerically(">=", leastHeld), "the failure was played")
	e.g.Expect(whole.Load()).To(BeZero(), "no stream is whole")
	e.g.Expect(after).To(BeNumerically("<", edgeMB))
}

// openStream sends a request for a stream, and reads it to its end.
func (n *node) openStream(c *http.Client) (status int, err error) {
	return n.openStreamAt(c, "/a/stream")
}

// openStreamAt sends a request to a path, and reads the answer to its end without keeping it.
func (n *node) openStreamAt(c *http.Client, path string) (status int, err error) {
	req, _ := http.NewRequest(http.MethodPost, "http://"+n.at(portFrontend)+path, strings.NewReader("x"))
	req.Host = "h.example"
	for name, value := range map[string]string{"Attempt-Id": fmt.Sprintf("held%d", attempts.Add(1)), "Key": "k", "Deadline-Ms": "12000"} {
		req.Header.Set(name, value)
	}
	resp, err := c.Do(req)
	if err != nil {
		return 0, err
	}
	defer func() { _ = resp.Body.Close() }()
	_, err = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode, err
}

// peakMB returns the most memory that the process has used, in MB.
func (n *node) peakMB() (mb int) {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", n.process.Process.Pid))
	n.s.g.Expect(err).NotTo(HaveOccurred())
	for line := range strings.Lines(string(status)) {
		if _, err := fmt.Sscanf(line, "VmHWM: %d kB", &mb); err == nil {
			return mb / 1000
		}
	}
	return 0
}
