package overhead_test

import (
	"bufio"
	"bytes"
	"crypto/rand"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/comfreyladder/comfreyladder/core/announce"
	"github.com/comfreyladder/comfreyladder/core/intent"
	"github.com/comfreyladder/comfreyladder/instance/config"
)

const (
	round  = time.Second
	rounds = 4
)

type process struct {
	*exec.Cmd
	address string
}

func start(b *testing.B, name string, env []string, args ...string) *process {
	b.Helper()
	p := &process{Cmd: exec.Command(name, args...)}
	p.Env = append(os.Environ(), env...)
	p.Stderr = nil
	out, err := p.StdoutPipe()
	if err != nil {
		b.Fatal(err)
	}
	if err := p.Start(); err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() {
		_ = p.Process.Kill()
		_ = p.Wait()
	})
	if len(env) > 0 {
		line, err := bufio.NewReader(out).ReadString('\n')
		if err != nil {
			b.Fatal(err)
		}
		p.address = strings.TrimSpace(line)
	}
	return p
}

// cpu returns the processor time that the process has used.
func (p *process) cpu() time.Duration {
	data, _ := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.Process.Pid))
	f := strings.Fields(string(data[bytes.LastIndexByte(data, ')')+1:]))
	user, _ := strconv.Atoi(f[11])
	system, _ := strconv.Atoi(f[12])
	return time.Duration(user+system) * 10 * time.Millisecond
}

// memory returns the resident memory in bytes.
func (p *process) memory() int {
	data, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.Process.Pid))
	_, rest, _ := strings.Cut(string(data), "VmRSS:")
	kb, _ := strconv.Atoi(strings.Fields(rest)[0])
	return kb << 10
}

const intentText = `[class.urgent]
tier = 0
floor = 0.3
[model.m]
replicas = 1
[upstream.e-*]
kind = engine
key_hash = %s
[organisation.ward]
key_hashes = %s
classes = urgent
default_class = urgent
[operator.alice]
key_hash = %s
`

const settingsText = `[instance]
name = i-1
failure_domain = d
data_folder = data
[listen]
callers = %s
operators = %s
peers = %s
[control]
founders = i-1@%s
founding_intent = intent.ini
[upstream]
stream_silence = 1h
[log]
level = error
`

func freePort(b *testing.B) string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	defer ln.Close()
	return ln.Addr().String()
}

// router starts a daemon before the given engines.
func router(b *testing.B, engines ...string) (p *process, key string) {
	dir := b.TempDir()
	key = rand.Text()
	write := func(name, text string) string {
		path := filepath.Join(dir, name)
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			b.Fatal(err)
		}
		return path
	}
	hash := config.HashKey(key)
	write("intent.ini", fmt.Sprintf(intentText, hash, hash, hash))
	callers, peers := freePort(b), freePort(b)
	path := write("i-1.ini", fmt.Sprintf(settingsText, callers, freePort(b), peers, peers))
	p = start(b, "../../bin/comfreyladderd", nil, "--settings", path)
	p.address = callers
	ended := make(chan struct{})
	var done sync.WaitGroup
	done.Go(func() {
		for n := uint64(1); ; n++ {
			for i, e := range engines {
				beat(callers, key, announce.Heartbeat{Name: fmt.Sprint("e-", i), Domain: "d", Kind: intent.KindEngine, Address: e, Models: []string{"m"}, Slots: 1024, Incarnation: 1, Sequence: n, TTLMillis: 3000})
			}
			select {
			case <-ended:
				return
			case <-time.After(500 * time.Millisecond):
			}
		}
	})
	b.Cleanup(func() {
		close(ended)
		done.Wait()
	})
	c := &caller{address: callers, key: key}
	for range 1000 {
		if c.ask("ready?") == nil {
			return p, key
		}
		time.Sleep(20 * time.Millisecond)
	}
	b.Fatal("the router does not get ready")
	return nil, ""
}

func beat(address, key string, beat announce.Heartbeat) {
	body, _ := json.Marshal(beat)
	req, _ := http.NewRequest(http.MethodPost, "http://"+address+"/v1/upstreams/announce", bytes.NewReader(body))
	req.Header.Set("Authorization", "Bearer "+key)
	if resp, err := http.DefaultClient.Do(req); err == nil {
		_ = resp.Body.Close()
	}
}

// caller sends one request after the other on one connection.
type caller struct {
	address, key string
	conn         net.Conn
	br           *bufio.Reader
}

type badAnswer string

func (e badAnswer) Error() string { return string(e) }

func (c *caller) ask(prompt string) error {
	if c.conn == nil {
		conn, err := net.Dial("tcp", c.address)
		if err != nil {
			return err
		}
		c.conn, c.br = conn, bufio.NewReader(conn)
	}
	if err := c.send(prompt); err != nil {
		return err
	}
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)
	if err := resp.Read(c.br); err != nil {
		return err
	}
	if resp.StatusCode() != 200 || bytes.Count(resp.Body(), []byte("token ")) != events || !bytes.HasSuffix(resp.Body(), []byte("[DONE]\n\n")) {
		return badAnswer(fmt.Sprintf("%d %.200s", resp.StatusCode(), resp.Body()))
	}
	return nil
}

func (c *caller) send(prompt string) error {
	body := fmt.Sprintf(`{"model":"m","stream":true,"temperature":0.2,"messages":[{"role":"system","content":"You summarise night logs."},{"role":"user","content":%q}]}`, prompt)
	_, err := fmt.Fprintf(c.conn, "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", c.key, len(body), body)
	return err
}

// load asks from n callers at once for the given time.
func load(b *testing.B, address, key string, n int, d time.Duration) (times []time.Duration) {
	var mu sync.Mutex
	var wg sync.WaitGroup
	until := time.Now().Add(d)
	for range n {
		wg.Go(func() {
			c := &caller{address: address, key: key}
			var own []time.Duration
			for time.Now().Before(until) {
				from := time.Now()
				if err := c.ask("how did she sleep"); err != nil {
					b.Error(err)
					return
				}
				own = append(own, time.Since(from))
			}
			_ = c.conn.Close()
			mu.Lock()
			defer mu.Unlock()
			times = append(times, own...)
		})
	}
	wg.Wait()
	return times
}

// BenchmarkOverhead compares the router with a forwarder that does nothing but
// forward, before the same engine, in turns within one run.
func BenchmarkOverhead(b *testing.B) {
	self, err := os.Executable()
	if err != nil {
		b.Fatal(err)
	}
	eng := start(b, self, []string{roleVariable + "=" + roleEngine})
	bare := start(b, self, []string{roleVariable + "=" + roleForwarder, targetsVariable + "=" + eng.address})
	full, key := router(b, eng.address)
	for _, callers := range []int{1, 64} {
		b.Run(fmt.Sprintf("callers=%d", callers), func(b *testing.B) {
			for b.Loop() {
				var times [2][]time.Duration
				var used [2]time.Duration
				for range rounds {
					for i, p := range []*process{bare, full} {
						before := p.cpu()
						times[i] = append(times[i], load(b, p.address, key, callers, round)...)
						used[i] += p.cpu() - before
					}
				}
				if b.Failed() {
					return
				}
				for i := range times {
					slices.Sort(times[i])
				}
				at := func(i int, q float64) time.Duration { return times[i][int(q*float64(len(times[i])-1))] }
				b.ReportMetric(0, "ns/op")
				b.ReportMetric(float64((at(1, .5) - at(0, .5)).Microseconds()), "p50-added-µs")
				b.ReportMetric(float64(at(1, .5))/float64(at(0, .5)), "p50-ratio")
				b.ReportMetric(float64((at(1, .99) - at(0, .99)).Microseconds()), "p99-added-µs")
				b.ReportMetric(float64(len(times[1]))/float64(len(times[0])), "requests-ratio")
				perCore := func(i int) float64 { return float64(len(times[i])) / used[i].Seconds() }
				b.ReportMetric(perCore(1)/perCore(0), "per-core-ratio")
			}
		})
	}
}

// BenchmarkOpenStreams tells the router's memory for each open stream. Each
// takes two file descriptors of the router, which bounds their number here.
func BenchmarkOpenStreams(b *testing.B) {
	self, err := os.Executable()
	if err != nil {
		b.Fatal(err)
	}
	var engines []string
	for range 20 {
		engines = append(engines, start(b, self, []string{roleVariable + "=" + roleEngine}).address)
	}
	for _, n := range []int{1000, 9000} {
		b.Run(fmt.Sprintf("streams=%d", n), func(b *testing.B) {
			for b.Loop() {
				p, key := router(b, engines...)
				before := p.memory()
				for range n {
					c := &caller{address: p.address, key: key}
					if c.conn, err = net.Dial("tcp", c.address); err != nil {
						b.Fatal(err)
					}
					b.Cleanup(func() { _ = c.conn.Close() })
					if err := c.send("hold"); err != nil {
						b.Fatal(err)
					}
					if _, err := c.conn.Read(make([]byte, 4096)); err != nil {
						b.Fatal(err)
					}
				}
				b.ReportMetric(0, "ns/op")
				b.ReportMetric(float64(p.memory()-before)/float64(n)/1024, "KiB/stream")
			}
		})
	}
}
