package engine_test

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"net"
	"net/http/httputil"
	"slices"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/valyala/fasthttp"
	"go.uber.org/goleak"

	"github.com/comfreyladder/comfreyladder/core/announce"
	"github.com/comfreyladder/comfreyladder/core/prefix"
	"github.com/comfreyladder/comfreyladder/operator/standin/engine"
	"github.com/comfreyladder/comfreyladder/operator/standin/host"
)

const limit = 20 * time.Second

// rules is a message that is shared by all prompts: two blocks and a bit.
var rules = strings.Repeat("rule", 2*prefix.BlockBytes/4+1)

func TestEngine(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "engine")
}

func TestMain(m *testing.M) {
	// The rest ends by itself: fasthttp's worker pools sleep for some seconds
	// before they look whether they were stopped.
	goleak.VerifyTestMain(m,
		goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.(*workerPool).Start.func2"),
		goleak.IgnoreAnyFunction("github.com/onsi/ginkgo/v2/internal/interrupt_handler.(*InterruptHandler).registerForInterrupts.func2"))
}

func start(c engine.Config) *engine.Engine {
	e := engine.New(c)
	Expect(e.Start(context.Background())).To(Succeed())
	DeferCleanup(func() {
		ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
		defer cancel()
		_ = e.Stop(ctx)
	})
	return e
}

// call sends one request on a connection of its own and returns the connection
// after the header of the answer was read.
func call(e *engine.Engine, method, path, body string, header ...string) (*fasthttp.Response, net.Conn, *bufio.Reader) {
	conn, err := net.Dial("tcp", e.Address())
	Expect(err).NotTo(HaveOccurred())
	Expect(conn.SetDeadline(time.Now().Add(limit))).To(Succeed())
	var req fasthttp.Request
	req.Header.SetMethod(method)
	req.SetRequestURI("http://" + e.Address() + path)
	for i := 0; i < len(header); i += 2 {
		req.Header.Set(header[i], header[i+1])
	}
	req.SetConnectionClose()
	req.SetBodyString(body)
	w := bufio.NewWriter(conn)
	Expect(req.Write(w)).To(Succeed())
	Expect(w.Flush()).To(Succeed())
	r := bufio.NewReader(conn)
	resp := &fasthttp.Response{}
	Expect(resp.Header.Read(r)).To(Succeed())
	return resp, conn, r
}

func whole(e *engine.Engine, method, path, body string, header ...string) (int, string) {
	resp, conn, r := call(e, method, path, body, header...)
	defer conn.Close()
	Expect(resp.ReadBody(r, 0)).To(Succeed())
	return resp.StatusCode(), string(resp.Body())
}

func ask(prompt string, priority, tokens int) string {
	body, _ := json.Marshal(map[string]any{
		"model": "m", "stream": true, "priority": priority, "standin_tokens": tokens,
		"messages": []map[string]string{{"role": "system", "content": rules}, {"role": "user", "content": prompt}},
	})
	return string(body)
}

func complete(e *engine.Engine, id, body string) (net.Conn, *bufio.Reader) {
	resp, conn, r := call(e, "POST", "/v1/chat/completions", body, "X-Request-Id", id)
	Expect(resp.StatusCode()).To(Equal(200))
	return conn, bufio.NewReader(httputil.NewChunkedReader(r))
}

// read returns the text, the event numbers, and whether the end marker came.
func read(r *bufio.Reader, most int) (text string, numbers []string, end bool) {
	for most == 0 || len(numbers) < most {
		line, err := r.ReadBytes('\n')
		if err != nil {
			return text, numbers, end
		}
		line = bytes.TrimSpace(line)
		if n, ok := bytes.CutPrefix(line, []byte("id: ")); ok {
			numbers = append(numbers, string(n))
		}
		data, ok := bytes.CutPrefix(line, []byte("data: "))
		if !ok {
			continue
		}
		if string(data) == "[DONE]" {
			return text, numbers, true
		}
		var c struct {
			Choices []struct{ Delta struct{ Content string } }
		}
		Expect(json.Unmarshal(data, &c)).To(Succeed())
		text += c.Choices[0].Delta.Content
	}
	return text, numbers, end
}

func fast(c engine.Config) engine.Config {
	c.Step, c.StepEach, c.Prefill = time.Millisecond, 10*time.Microsecond, time.Microsecond
	return c
}

var _ = Describe("Engine", func() {
	It("streams the whole answer to the request's own prompt", func() {
		e := start(fast(engine.Config{}))
		conn, r := complete(e, "r1", ask("hello", 0, 5))
		defer conn.Close()
		text, numbers, end := read(r, 0)
		Expect(end).To(BeTrue())
		Expect(text).To(Equal(engine.Answer(engine.Prompt(rules, "hello"), 5)))
		Expect(numbers).To(Equal([]string{"1", "2", "3", "4", "5", "6", "7"}))
	})

	It("runs at most as many requests as it has slots, the urgent ones first", func() {
		e := start(fast(engine.Config{Slots: 1}))
		e.SetFaults(engine.Faults{Straggler: 20})
		first, r1 := complete(e, "first", ask("a", 5, 40))
		defer first.Close()
		read(r1, 1)
		late, r2 := complete(e, "late", ask("b", 9, 2))
		defer late.Close()
		urgent, r3 := complete(e, "urgent", ask("c", 0, 300))
		defer urgent.Close()
		running, waiting := e.Queue()
		Expect([]int{running, waiting}).To(Equal([]int{1, 2}))
		read(r1, 0)
		read(r3, 1)
		running, waiting = e.Queue()
		Expect([]int{running, waiting}).To(Equal([]int{1, 1}), "the later, urgent request runs and the other waits")
		e.SetFaults(engine.Faults{})
		_, _, end := read(r2, 0)
		Expect(end).To(BeTrue())
	})

	It("computes a shared prefix once", func() {
		e := start(fast(engine.Config{}))
		for _, id := range []string{"r1", "r2"} {
			conn, r := complete(e, id, ask("words of "+id, 0, 2))
			read(r, 0)
			conn.Close()
		}
		Expect(e.Counters().Cached).To(Equal(uint64(2*prefix.BlockBytes/4)), "the shared message, of the second prompt")
	})

	It("drops the ends of prompts when its cache is full", func() {
		e := start(fast(engine.Config{CacheTokens: prefix.BlockBytes / 4}))
		for range 2 {
			conn, r := complete(e, "r", ask("x", 0, 1))
			read(r, 0)
			conn.Close()
		}
		Expect(e.Counters().Cached).To(Equal(uint64(prefix.BlockBytes/4)), "the first block alone")
	})

	It("resumes a broken stream after the given event", func() {
		e := start(fast(engine.Config{Faults: engine.Faults{BreakAfter: 3}}))
		conn, r := complete(e, "r1", ask("x", 0, 6))
		before, numbers, end := read(r, 0)
		conn.Close()
		Expect(end).To(BeFalse())
		Expect(numbers).To(HaveLen(3))
		e.SetFaults(engine.Faults{})
		resp, conn, raw := call(e, "GET", "/v1/streams/r1", "", "Last-Event-ID", "3")
		defer conn.Close()
		Expect(resp.StatusCode()).To(Equal(200))
		after, _, end := read(bufio.NewReader(httputil.NewChunkedReader(raw)), 0)
		Expect(end).To(BeTrue())
		Expect(before + after).To(Equal(engine.Answer(engine.Prompt(rules, "x"), 6)))
	})

	It("stops generating when canceled and when nobody reads", func() {
		e := start(fast(engine.Config{ReadTimeout: 50 * time.Millisecond}))
		conn, r := complete(e, "r1", ask("x", 0, 1_000_000))
		read(r, 1)
		status, _ := whole(e, "DELETE", "/v1/streams/r1", "")
		Expect(status).To(Equal(204))
		conn.Close()
		status, _ = whole(e, "GET", "/v1/streams/r1", "")
		Expect(status).To(Equal(404))
		conn, r = complete(e, "r2", ask("y", 0, 1_000_000))
		read(r, 1)
		conn.Close()
		Eventually(func() uint64 { return e.Counters().Cancelled }, limit).Should(Equal(uint64(2)))
		running, waiting := e.Queue()
		Expect(running + waiting).To(BeZero())
	})

	It("refuses an order with an old fencing number only if it checks them", func() {
		for _, checks := range []bool{true, false} {
			e := start(engine.Config{ChecksFence: checks, Models: []string{"m"}, LoadTime: time.Millisecond})
			status, _ := whole(e, "POST", "/v1/orders", `{"fence":7,"models":["m","n"]}`)
			Expect(status).To(Equal(200))
			status, body := whole(e, "POST", "/v1/orders", `{"fence":6,"models":["n"]}`)
			Expect(status == 409).To(Equal(checks))
			Expect(body).To(ContainSubstring(`"fence":7`))
			Eventually(func() string { _, b := whole(e, "GET", "/v1/models", ""); return b }, limit).Should(ContainSubstring(`"id":"n"`))
		}
	})

	It("holds versions and adapters by order, and serves them without the version", func() {
		e := start(engine.Config{Models: []string{"m@1"}, LoadTime: time.Millisecond})
		_, body := whole(e, "POST", "/v1/orders", `{"fence":3,"models":["m@1","m@2","m@2:a"],"role":"r"}`)
		Expect(body).To(And(ContainSubstring(`"m@1"`), ContainSubstring(`"role":"r"`), ContainSubstring(`"last_fence":3`)))
		Eventually(func() string { _, b := whole(e, "GET", "/v1/orders", ""); return b }, limit).
			Should(And(ContainSubstring(`"models":["m@1","m@2","m@2:a"]`), ContainSubstring(`"loading":[]`)))
		_, body = whole(e, "GET", "/v1/models", "")
		Expect(body).To(And(ContainSubstring(`"id":"m"`), ContainSubstring(`"id":"m:a"`), Not(ContainSubstring("@"))))
		Expect(e.Counters().Loads).To(Equal(uint64(2)))
		resp, conn, _ := call(e, "GET", "/v1/orders", "", "X-Request-Id", "r7")
		defer conn.Close()
		Expect(string(resp.Header.Peek("X-Request-Id"))).To(Equal("r7"))
	})

	It("says not run for a model that it does not hold", func() {
		e := start(engine.Config{Models: []string{"other"}})
		resp, conn, _ := call(e, "POST", "/v1/chat/completions", ask("x", 0, 1), "X-Request-Id", "r")
		defer conn.Close()
		Expect(resp.StatusCode()).To(Equal(503))
		Expect(string(resp.Header.Peek("X-Not-Run"))).To(Equal("true"))
	})

	It("answers with another request's text under the fault of crossed answers", func() {
		e := start(fast(engine.Config{Faults: engine.Faults{Crossed: 1}}))
		conn, r := complete(e, "r1", ask("x", 0, 6))
		defer conn.Close()
		text, _, _ := read(r, 0)
		Expect(text).NotTo(Equal(engine.Answer(engine.Prompt(rules, "x"), 6)))
	})

	It("announces itself, and its leave when it stops", func() {
		beats := make(chan announce.Heartbeat, 100)
		sink := host.New(host.Config{}, func(ctx *fasthttp.RequestCtx) {
			var b announce.Heartbeat
			if json.Unmarshal(ctx.PostBody(), &b) == nil && strings.HasSuffix(string(ctx.Request.Header.Peek("Authorization")), "secret") {
				beats <- b
			}
		}, nil)
		Expect(sink.Start(context.Background())).To(Succeed())
		defer sink.Stop(context.Background())
		c := engine.Config{Name: "e1", Domain: "hall"}
		c.Announce, c.Credential = []string{sink.Address()}, "secret"
		e := start(c)
		var b announce.Heartbeat
		Eventually(beats, limit).Should(Receive(&b))
		Expect(b.Validate()).To(Succeed())
		Expect(b.Address).To(Equal(e.Address()))
		Expect(e.Stop(context.Background())).To(Succeed())
		Eventually(beats, limit).Should(Receive(HaveField("Leave", BeTrue())))
	})

	It("publishes cache events late, in order, and with gaps in their numbers", func() {
		beats := make(chan announce.Heartbeat, 1000)
		sink := host.New(host.Config{}, func(ctx *fasthttp.RequestCtx) {
			var b announce.Heartbeat
			if json.Unmarshal(ctx.PostBody(), &b) == nil {
				beats <- b
			}
		}, nil)
		Expect(sink.Start(context.Background())).To(Succeed())
		defer sink.Stop(context.Background())
		c := fast(engine.Config{Name: "e1", Domain: "hall", EventLoss: 0.5, Seed: 1, CacheTokens: 10 * prefix.BlockBytes / 4})
		c.Announce, c.Interval = []string{sink.Address()}, 5*time.Millisecond
		e := start(c)
		for i := range 20 {
			conn, r := complete(e, "r", ask(strings.Repeat(string(rune('a'+i)), 3*prefix.BlockBytes), 0, 1))
			read(r, 0)
			conn.Close()
		}
		var numbers []uint64
		dropped := 0
		Eventually(func() int {
			for _, ev := range (<-beats).Cache {
				numbers = append(numbers, ev.Number)
				if ev.Dropped {
					dropped++
				}
			}
			return len(numbers)
		}, limit).Should(BeNumerically(">", 30))
		Expect(slices.IsSorted(numbers)).To(BeTrue())
		Expect(numbers[len(numbers)-1]).To(BeNumerically(">", len(numbers)), "some numbers are missing")
		Expect(dropped).NotTo(BeZero())
	})

	It("ends all connections at a crash", func() {
		e := start(fast(engine.Config{}))
		conn, r := complete(e, "r1", ask("x", 0, 1_000_000))
		defer conn.Close()
		read(r, 1)
		e.Crash()
		_, _, end := read(r, 0)
		Expect(end).To(BeFalse())
		_, err := net.Dial("tcp", e.Address())
		Expect(err).To(HaveOccurred())
	})
})
