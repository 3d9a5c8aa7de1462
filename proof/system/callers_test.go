package system_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/comfreyladder/comfreyladder/core/announce"
	"github.com/comfreyladder/comfreyladder/core/intent"
	"github.com/comfreyladder/comfreyladder/operator/standin/engine"
)

// quickLimits makes an instance notice silent engines within a second or two.
const quickLimits = `[upstream]
connect_timeout = 500ms
first_byte_timeout = 2s
stream_silence = 1s
`

// verdict says what a caller can tell about an answer by itself.
type verdict string

const (
	// wholeOwn is the whole answer to the caller's own request.
	wholeOwn verdict = "whole and its own"
	// toldSo is a failure that the caller is told of: a status that is no
	// success, an error event without an end marker, or a cut connection.
	toldSo verdict = "an explicit failure"
	// wrong is what must never be: a part or another's text with a clean end.
	wrong verdict = "a clean end of something else"
)

// judge compares an answer with the one that the prompt must get.
func (r *reply) judge(prompt string, tokens int) verdict {
	want := engine.Answer(engine.Prompt(prompt), tokens)
	text, clean := r.text, r.whole
	if !strings.HasPrefix(r.header.Get("Content-Type"), "text/event-stream") {
		text, clean = completionText(r.body), r.status == http.StatusOK
	}
	switch {
	case r.err != nil, r.status != http.StatusOK:
		return toldSo
	case clean && text == want:
		return wholeOwn
	case clean:
		return wrong
	case strings.HasPrefix(want, text) && r.body != "":
		return toldSo
	}
	return wrong
}

func completionText(body string) string {
	var c struct {
		Choices []struct {
			Message struct {
				Content string `json:"content"`
			} `json:"message"`
		} `json:"choices"`
	}
	if json.Unmarshal([]byte(body), &c) != nil || len(c.Choices) != 1 {
		return ""
	}
	return c.Choices[0].Message.Content
}

// code returns the typed code of a failure's body.
func (r *reply) code() string {
	var e struct {
		Error struct {
			Code string `json:"code"`
		} `json:"error"`
	}
	_ = json.Unmarshal([]byte(r.body), &e)
	return e.Error.Code
}

func (r *reply) id() string { return r.header.Get("X-Request-Id") }

func (r *reply) saysNotRun() bool { return r.header.Get("X-Not-Run") == "true" }

// tally counts verdicts and replies from many goroutines.
type tally struct {
	mu   sync.Mutex
	seen map[verdict]int
	bad  []string
}

func newTally() *tally { return &tally{seen: map[verdict]int{}} }

func (t *tally) add(v verdict, r *reply) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.seen[v]++
	if v == wrong && len(t.bad) < 5 {
		t.bad = append(t.bad, fmt.Sprintf("%d %q %q whole=%t %v", r.status, r.text, r.body, r.whole, r.err))
	}
}

func (t *tally) of(v verdict) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.seen[v]
}

// counters asks a stand-in engine what it did.
func (s *standIn) counters() engine.Counters {
	resp, err := http.Get("http://" + s.address + "/standin/counters")
	Expect(err).NotTo(HaveOccurred())
	defer resp.Body.Close()
	var c engine.Counters
	Expect(json.NewDecoder(resp.Body).Decode(&c)).To(Succeed())
	return c
}

// wentTo reports whether an attempt of the request went to the upstream.
func (in *instance) wentTo(id, upstream string) bool {
	rec, err := in.operator("alice").Explain(id)
	Expect(err).NotTo(HaveOccurred())
	for _, e := range rec.Events {
		if strings.Contains(e.Text, "goes to "+upstream+":") {
			return true
		}
	}
	return false
}

// metric returns the value of a series whose line begins with the given text.
func (in *instance) metric(series string) string {
	req, err := http.NewRequest(http.MethodGet, "http://"+in.operators+"/metrics", nil)
	Expect(err).NotTo(HaveOccurred())
	req.Header.Set("Authorization", "Bearer "+in.site.keys["alice"])
	resp, err := httpClient.Do(req)
	Expect(err).NotTo(HaveOccurred())
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	Expect(err).NotTo(HaveOccurred())
	for line := range strings.Lines(string(text)) {
		if value, ok := strings.CutPrefix(line, series+" "); ok {
			return strings.TrimSpace(value)
		}
	}
	return ""
}

func (s *site) list(domain string) (list []*instance) {
	for i := 1; ; i++ {
		in := s.instances[fmt.Sprintf("%s-%d", domain, i)]
		if in == nil {
			return list
		}
		list = append(list, in)
	}
}

// see waits until each instance of the domain would use n upstreams.
func (s *site) see(domain string, n int) {
	for _, in := range s.list(domain) {
		Eventually(in.liveUpstreams, patience, poll).Should(Equal(n), in.name)
	}
}

// announcer sends the beats of an upstream that the test itself plays.
type announcer struct {
	site *site
	beat announce.Heartbeat
	key  string
}

// announce plays an upstream until the spec ends.
func (s *site) announce(b announce.Heartbeat) {
	a := &announcer{site: s, beat: b, key: s.keys["engine"]}
	if b.Kind == intent.KindService {
		a.key = s.keys["service"]
	}
	a.beat.Incarnation, a.beat.TTLMillis = 1, 3000
	ended := make(chan struct{})
	done := make(chan struct{})
	go func() {
		defer close(done)
		for {
			a.once()
			select {
			case <-ended:
				return
			case <-time.After(500 * time.Millisecond):
			}
		}
	}()
	DeferCleanup(func() {
		close(ended)
		<-done
	})
}

func (a *announcer) once() {
	a.beat.Sequence++
	for _, in := range a.site.list(a.beat.Domain) {
		body, _ := json.Marshal(a.beat)
		req, err := http.NewRequest(http.MethodPost, "http://"+in.callers+"/v1/upstreams/announce", bytes.NewReader(body))
		if err != nil {
			continue
		}
		req.Header.Set("Authorization", "Bearer "+a.key)
		if resp, err := beatClient.Do(req); err == nil {
			_ = resp.Body.Close()
		}
	}
}

var beatClient = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: time.Second}

// relay is a TCP proxy that can lose track of its connections.
type relay struct {
	to    string
	ln    net.Listener
	lost  atomic.Int64 // connections with a number up to this one carry nothing
	count atomic.Int64
	mu    sync.Mutex
	conns []net.Conn
}

func newRelay(to string) *relay {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	r := &relay{to: to, ln: ln}
	go r.accept()
	DeferCleanup(func() {
		_ = ln.Close()
		r.mu.Lock()
		defer r.mu.Unlock()
		for _, c := range r.conns {
			_ = c.Close()
		}
	})
	return r
}

func (r *relay) address() string { return r.ln.Addr().String() }

// lose makes the relay swallow all bytes on the connections that are open now,
// in both directions and without an end; new connections work.
func (r *relay) lose() { r.lost.Store(r.count.Load()) }

func (r *relay) accept() {
	for {
		near, err := r.ln.Accept()
		if err != nil {
			return
		}
		n := r.count.Add(1)
		far, err := net.Dial("tcp", r.to)
		if err != nil {
			_ = near.Close()
			continue
		}
		r.mu.Lock()
		r.conns = append(r.conns, near, far)
		r.mu.Unlock()
		go r.pipe(n, near, far)
		go r.pipe(n, far, near)
	}
}

func (r *relay) pipe(n int64, from, to net.Conn) {
	buf := make([]byte, 32<<10)
	for {
		got, err := from.Read(buf)
		lost := n <= r.lost.Load()
		if got > 0 && !lost {
			_, _ = to.Write(buf[:got])
		}
		if err != nil {
			if !lost {
				_ = to.Close()
			}
			return
		}
	}
}

// bigSize is more than the buffers of a connection hold.
const bigSize = 7 << 20

// bigBooking is a booking whose answer repeats its content.
func bigBooking() io.Reader {
	return strings.NewReader(`{"text":"` + strings.Repeat("x", bigSize) + `"}`)
}

func readSlowly(r io.Reader) (int, error) {
	buf := make([]byte, 64<<10)
	sum := 0
	for {
		n, err := r.Read(buf)
		sum += n
		if err == io.EOF {
			return sum, nil
		}
		if err != nil {
			return sum, err
		}
	}
}
