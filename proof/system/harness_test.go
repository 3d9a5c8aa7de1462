// Package system_test runs real daemons and stand-ins as processes of their own
// and provokes failures between them.
package system_test

import (
	"bufio"
	"bytes"
	"cmp"
	"crypto/rand"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/comfreyladder/comfreyladder/instance/config"
	"github.com/comfreyladder/comfreyladder/operator/client"
)

const (
	patience = 60 * time.Second
	poll     = 20 * time.Millisecond
	binaries = "../../bin"
)

func TestSystem(t *testing.T) {
	RegisterFailHandler(Fail)
	suite, _ := GinkgoConfiguration()
	suite.SkipStrings = append(suite.SkipStrings, knownRed(t)...)
	RunSpecs(t, "system", suite)
}

// knownRed returns the specs that KNOWN-RED.txt lists, one a line before a bar;
// .ci/run prints the file.
func knownRed(t *testing.T) (specs []string) {
	text, err := os.ReadFile("../../KNOWN-RED.txt")
	if os.IsNotExist(err) {
		return nil
	}
	if err != nil {
		t.Fatal(err)
	}
	for line := range strings.Lines(string(text)) {
		if name, _, ok := strings.Cut(line, "|"); ok {
			specs = append(specs, regexp.QuoteMeta(strings.TrimSpace(name)))
		}
	}
	return specs
}

// process is one started program.
type process struct {
	name string
	cmd  *exec.Cmd
	out  *lockedBuffer
	done chan struct{}
}

type lockedBuffer struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

func (b *lockedBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.Write(p)
}

func (b *lockedBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.String()
}

// run starts a program that the caller ends.
func run(name, program string, args ...string) *process {
	p := &process{name: name, out: &lockedBuffer{}, done: make(chan struct{})}
	p.cmd = exec.Command(filepath.Join(binaries, program), args...)
	p.cmd.Stdout = p.out
	p.cmd.Stderr = p.out
	Expect(p.cmd.Start()).To(Succeed())
	go func() {
		_ = p.cmd.Wait()
		close(p.done)
	}()
	return p
}

// launch starts a program that ends with the spec.
func launch(name, program string, args ...string) *process {
	p := run(name, program, args...)
	DeferCleanup(func() {
		p.signal(syscall.SIGCONT)
		p.kill()
		if CurrentSpecReport().Failed() {
			GinkgoWriter.Printf("---- %s\n%s\n", p.name, p.out)
		}
	})
	return p
}

// signal sends a signal. After SIGSTOP it returns once the process has stopped.
func (p *process) signal(s syscall.Signal) {
	_ = p.cmd.Process.Signal(s)
	if s == syscall.SIGSTOP {
		Eventually(func() bool { return stopped(p.cmd.Process.Pid) }, patience, time.Millisecond).Should(BeTrue())
	}
}

// stopped reports whether no thread of a process runs any more: SIGSTOP takes effect at each thread
// once that is scheduled, which takes most of a second on a busy machine. A process that has ended
// counts as stopped.
func stopped(pid int) bool {
	threads, err := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/stat", pid))
	if err != nil {
		return false
	}
	for _, name := range threads {
		// The state follows the command in parentheses.
		stat, err := os.ReadFile(name)
		end := bytes.LastIndexByte(stat, ')')
		if err == nil && end >= 0 && end+2 < len(stat) && !strings.ContainsRune("TZX", rune(stat[end+2])) {
			return false
		}
	}
	return true
}

func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	<-p.done
}

// site is a set of failure domains with their instances, as processes.
type site struct {
	dir       string
	keys      map[string]string
	instances map[string]*instance
	intent    string
	opts      siteOptions
	// launch starts the instances; launch, or run outside of specs.
	launch func(name, program string, args ...string) *process
}

// siteOptions changes what newSite lays out; the zero value changes nothing.
type siteOptions struct {
	// drainDelay is the instances' drain_delay; empty means 0s.
	drainDelay string
	// drainTimeout is the instances' drain_timeout; empty means its default.
	drainTimeout string
	// settings stands at the end of each instance's settings.
	settings string
	// classes replaces the classes of the founding intent.
	classes string
	// timeout replaces the service's timeout; empty means 5s.
	timeout string
}

type instance struct {
	name, domain              string
	callers, operators, peers string
	disk                      bool
	process                   *process
	site                      *site
	settings                  string
}

// Ports are handed out once each, and from below the range that the kernel takes
// the ports of outgoing connections from: a daemon that was killed finds its port
// free when it starts again.
var ports = struct {
	sync.Mutex
	next int
}{next: os.Getpid() % portCount}

const (
	firstPort = 12000
	portCount = 20000
)

func freePort() string {
	ports.Lock()
	defer ports.Unlock()
	for {
		address := fmt.Sprintf("127.0.0.1:%d", firstPort+ports.next%portCount)
		ports.next++
		l, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		Expect(l.Close()).To(Succeed())
		return address
	}
}

const testClasses = `[class.urgent]
tier = 0
protected = true
first_token = 5s
deadline = 60s
floor = 0.3
[class.bulk]
tier = 2
deadline = 60s
floor = 0.1
`

const testIntent = `[model.m]
replicas = 1
[service.booking]
at_most_once = true
require_key = true
query_path = /operations/{key}
timeout = %s
retention = 1h
[upstream.e-*]
kind = engine
key_hash = %s
[upstream.s-*]
kind = service
key_hash = %s
[organisation.ward]
key_hashes = %s
classes = urgent, bulk
default_class = bulk
services = booking
[operator.alice]
key_hash = %s
[operator.bob]
key_hash = %s
`

// newSite lays out instances named domain-1, domain-2 and so on; the first of
// each domain has a disk.
func newSite(perDomain int, domains ...string) *site {
	return newSiteWith(siteOptions{}, perDomain, domains...)
}

func newSiteWith(opts siteOptions, perDomain int, domains ...string) *site {
	s := layOut(GinkgoT().TempDir(), opts, perDomain, domains...)
	s.launch = launch
	return s
}

// layOut writes a site's files into a folder.
func layOut(dir string, opts siteOptions, perDomain int, domains ...string) *site {
	opts.drainDelay = cmp.Or(opts.drainDelay, "0s")
	opts.classes = cmp.Or(opts.classes, testClasses)
	s := &site{dir: dir, keys: map[string]string{}, instances: map[string]*instance{}, opts: opts}
	digests := []any{cmp.Or(opts.timeout, "5s")}
	for _, who := range []string{"engine", "service", "ward", "alice", "bob"} {
		s.keys[who] = rand.Text()
		digests = append(digests, config.HashKey(s.keys[who]))
	}
	s.intent = opts.classes + fmt.Sprintf(testIntent, digests...)
	s.write("intent.ini", s.intent)
	s.write("peer.key", rand.Text())
	for _, d := range domains {
		for i := range perDomain {
			n := fmt.Sprintf("%s-%d", d, i+1)
			s.instances[n] = &instance{name: n, domain: d, callers: freePort(), operators: freePort(), peers: freePort(), disk: i == 0, site: s}
		}
	}
	for _, in := range s.instances {
		in.settings = s.write(in.name+".ini", s.ini(in))
	}
	return s
}

func (s *site) write(name, text string) string {
	path := filepath.Join(s.dir, name)
	Expect(os.WriteFile(path, []byte(text), 0o600)).To(Succeed())
	return path
}

func (s *site) voters() (list []*instance) {
	for _, in := range s.instances {
		if in.disk {
			list = append(list, in)
		}
	}
	return list
}

func (s *site) ini(in *instance) string {
	var founders, seeds []string
	for _, v := range s.voters() {
		founders = append(founders, v.name+"@"+v.peers)
		seeds = append(seeds, v.peers)
	}
	b := &strings.Builder{}
	fmt.Fprintf(b, "[instance]\nname = %s\nfailure_domain = %s\ndrain_delay = %s\n", in.name, in.domain, s.opts.drainDelay)
	if s.opts.drainTimeout != "" {
		fmt.Fprintf(b, "drain_timeout = %s\n", s.opts.drainTimeout)
	}
	if in.disk {
		fmt.Fprintf(b, "data_folder = data-%s\n", in.name)
	}
	fmt.Fprintf(b, "[listen]\ncallers = %s\noperators = %s\npeers = %s\nevent_loops = 1\n", in.callers, in.operators, in.peers)
	fmt.Fprintf(b, "[control]\npeer_key_file = peer.key\nseeds = %s\n", strings.Join(seeds, ", "))
	if in.disk {
		fmt.Fprintf(b, "founders = %s\nfounding_intent = intent.ini\n", strings.Join(founders, ", "))
	}
	b.WriteString(s.opts.settings)
	return b.String()
}

func (in *instance) start() {
	in.process = in.site.launch(in.name, "comfreyladderd", "--settings", in.settings)
}

func (s *site) startAll() {
	for _, in := range s.instances {
		in.start()
	}
	for _, in := range s.instances {
		in.awaitReady()
	}
}

// awaitReady fails at once when the instance ends instead.
func (in *instance) awaitReady() {
	GinkgoHelper()
	Eventually(func() (bool, error) {
		select {
		case <-in.process.done:
			return false, StopTrying(in.name + " ended: " + in.process.out.String())
		default:
			return in.ready(), nil
		}
	}, patience, poll).Should(BeTrue(), in.name)
}

func (in *instance) ready() bool {
	resp, err := http.Get("http://" + in.callers + "/readyz")
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

func (in *instance) operator(who string) *client.Client {
	return &client.Client{Address: in.operators, Key: in.site.keys[who]}
}

// liveUpstreams counts the upstreams that the instance would use.
func (in *instance) liveUpstreams() int {
	st, err := in.operator("alice").Status()
	if err != nil {
		return -1
	}
	n := 0
	for _, u := range st.Upstreams {
		if u.State == "live" {
			n++
		}
	}
	return n
}

func (s *site) announceArgs(domain string) (args []string) {
	for _, in := range s.instances {
		if in.domain == domain {
			args = append(args, "--announce", in.callers)
		}
	}
	return args
}

// engine starts a stand-in engine in a domain.
func (s *site) engine(name, domain string, more ...string) *standIn {
	args := append([]string{"standin", "engine", "--name", name, "--domain", domain, "--model", "m", "--credential", s.keys["engine"]}, s.announceArgs(domain)...)
	return newStandIn(launch(name, "comfreyladder", append(args, more...)...))
}

// service starts a stand-in of the booking service in a domain.
func (s *site) service(name, domain string, more ...string) *standIn {
	args := append([]string{"standin", "service", "--name", name, "--domain", domain, "--credential", s.keys["service"]}, s.announceArgs(domain)...)
	return newStandIn(launch(name, "comfreyladder", append(args, more...)...))
}

// standIn is a stand-in process and where it listens.
type standIn struct {
	*process
	address string
}

func newStandIn(p *process) *standIn {
	s := &standIn{process: p}
	Eventually(func() string {
		for _, word := range strings.Fields(p.out.String()) {
			if a, ok := strings.CutPrefix(word, "address="); ok {
				s.address = a
			}
		}
		return s.address
	}, patience, poll).ShouldNot(BeEmpty())
	return s
}

// faults switches faults of a stand-in on, as JSON.
func (s *standIn) faults(body string) {
	resp, err := http.Post("http://"+s.address+"/standin/faults", "application/json", strings.NewReader(body))
	Expect(err).NotTo(HaveOccurred())
	defer resp.Body.Close()
	Expect(resp.StatusCode / 100).To(Equal(2))
}

// reply is what a caller got.
type reply struct {
	status int
	header http.Header
	body   string
	// text is the content of a stream; whole says that its end marker came.
	text   string
	chunks int
	whole  bool
	err    error
}

type requestOption func(*http.Request)

func withKey(key string) requestOption {
	return func(r *http.Request) { r.Header.Set("Idempotency-Key", key) }
}

var httpClient = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 2 * patience}

func (in *instance) post(path, body string, opts ...requestOption) *reply {
	req, err := http.NewRequest(http.MethodPost, "http://"+in.callers+path, strings.NewReader(body))
	Expect(err).NotTo(HaveOccurred())
	req.Header.Set("Authorization", "Bearer "+in.site.keys["ward"])
	for _, o := range opts {
		o(req)
	}
	resp, err := httpClient.Do(req)
	if err != nil {
		return &reply{err: err}
	}
	defer resp.Body.Close()
	r := &reply{status: resp.StatusCode, header: resp.Header}
	if strings.HasPrefix(resp.Header.Get("Content-Type"), "text/event-stream") {
		r.readStream(resp.Body)
		return r
	}
	data, err := io.ReadAll(resp.Body)
	r.body, r.err = string(data), err
	return r
}

func (r *reply) readStream(body io.Reader) {
	lines := bufio.NewScanner(body)
	for lines.Scan() {
		data, ok := strings.CutPrefix(lines.Text(), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			r.whole = true
			continue
		}
		var c struct {
			Choices []struct {
				Delta struct {
					Content string `json:"content"`
				} `json:"delta"`
			} `json:"choices"`
			Error json.RawMessage `json:"error"`
		}
		Expect(json.Unmarshal([]byte(data), &c)).To(Succeed())
		if len(c.Error) > 0 {
			r.body = data
			continue
		}
		r.chunks++
		for _, ch := range c.Choices {
			r.text += ch.Delta.Content
		}
	}
	r.err = lines.Err()
}

// chat sends a model request; tokens is the length of the answer.
func (in *instance) chat(class, prompt string, tokens int, stream bool, opts ...requestOption) *reply {
	body := fmt.Sprintf(`{"model":"m","service_tier":%q,"stream":%t,"standin_tokens":%d,"messages":[{"role":"user","content":%q}]}`, class, stream, tokens, prompt)
	return in.post("/v1/chat/completions", body, opts...)
}
