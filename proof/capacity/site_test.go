package capacity_test

import (
	"crypto/rand"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/comfreyladder/comfreyladder/instance/admin"
	"github.com/comfreyladder/comfreyladder/instance/config"
	"github.com/comfreyladder/comfreyladder/operator/client"
)

const (
	program  = "../../bin/comfreyladderd"
	patience = 90 * time.Second
	poll     = 100 * time.Millisecond
	// localSeeds is how many instances of its own domain each one asks first.
	localSeeds = 2
	// processors is GOMAXPROCS of each daemon: entry instances are small.
	processors = "2"
)

// layout says what is started.
type layout struct {
	domains, perDomain int
	// voters hold control state, at most one in a domain while domains last.
	voters int
	// upstreams announce themselves in each domain once a second.
	upstreams int
	// organisations of the intent; 0 means 10.
	organisations int
	// changes of the configuration a second, and requests a second, while it is
	// measured.
	changes, requests float64
}

// daemon is one process.
type daemon struct {
	name, domain, ip string
	place            int // in its domain, by name
	disk             bool
	site             *site
	log              string
	process          *exec.Cmd
	exited           chan struct{}
}

// site is all that one measurement runs.
type site struct {
	layout
	dir                         string
	keys                        map[string]string
	callers, operators, peering int // ports
	daemons                     []*daemon
}

func newSite(b *testing.B, l layout) *site {
	s := &site{layout: l, dir: b.TempDir(), keys: map[string]string{}, callers: freePort(b), operators: freePort(b), peering: freePort(b)}
	for _, who := range []string{"upstream", "ward", "operator", "peer"} {
		s.keys[who] = rand.Text()
	}
	for d := range l.domains {
		for i := range l.perDomain {
			name := fmt.Sprintf("hall-%02d-%03d", d, i)
			s.daemons = append(s.daemons, &daemon{
				name: name, domain: fmt.Sprintf("hall-%02d", d), place: i, ip: fmt.Sprintf("127.77.%d.%d", d+1, i+1), site: s,
				log: filepath.Join(s.dir, name+".log"), exited: make(chan struct{}),
			})
		}
	}
	s.chooseVoters()
	s.write(b, "intent.ini", s.intent())
	s.write(b, "peer.key", s.keys["peer"])
	for _, d := range s.daemons {
		s.write(b, d.name+".ini", s.settings(d))
	}
	return s
}

// chooseVoters takes the last instances by name, as the first one speaks for its
// domain: the roles' figures are to stand apart.
func (s *site) chooseVoters() {
	for v := range min(s.voters, len(s.daemons)) {
		domain := v * max(s.domains/s.voters, 1) % s.domains
		place := s.perDomain - 1 - v/s.domains
		s.daemons[domain*s.perDomain+place].disk = true
	}
}

func (s *site) write(b *testing.B, name, text string) {
	if err := os.WriteFile(filepath.Join(s.dir, name), []byte(text), 0o600); err != nil {
		b.Fatal(err)
	}
}

func (s *site) intent() string {
	t := &strings.Builder{}
	for tier, name := range []string{"review", "answer", "summary", "report", "status"} {
		fmt.Fprintf(t, "[class.%s]\ntier = %d\nprotected = %t\nfirst_token = 1400ms\nbetween_tokens = 29ms\ndeadline = 60s\nfloor = 0.05\n", name, tier, tier == 0)
	}
	t.WriteString("[model.m]\nreplicas = 1\n")
	fmt.Fprintf(t, "[upstream.e-*]\nkind = engine\nkey_hash = %s\n", config.HashKey(s.keys["upstream"]))
	fmt.Fprintf(t, "[operator.alice]\nkey_hash = %s\n", config.HashKey(s.keys["operator"]))
	for i := range max(s.organisations, 10) {
		key := s.keys["ward"]
		if i > 0 {
			key = rand.Text()
		}
		fmt.Fprintf(t, "[organisation.dish-installers-%04d]\nkey_hashes = %s\nclasses = review, answer, summary, report, status\ndefault_class = answer\n", i, config.HashKey(key))
	}
	return t.String()
}

func (s *site) settings(d *daemon) string {
	var founders, seeds []string
	for _, v := range s.daemons {
		if v.disk {
			founders = append(founders, v.name+"@"+v.address(s.peering))
			seeds = append(seeds, v.address(s.peering))
		}
	}
	// Instances of a domain without a voter find each other by seeds of their own.
	for _, o := range s.daemons {
		if o.domain == d.domain && o.place < localSeeds && !o.disk {
			seeds = append(seeds, o.address(s.peering))
		}
	}
	t := &strings.Builder{}
	fmt.Fprintf(t, "[instance]\nname = %s\nfailure_domain = %s\ndrain_delay = 0s\n", d.name, d.domain)
	if d.disk {
		fmt.Fprintf(t, "data_folder = data-%s\n", d.name)
	}
	fmt.Fprintf(t, "[listen]\ncallers = %s\noperators = %s\npeers = %s\nevent_loops = 1\n", d.address(s.callers), d.address(s.operators), d.address(s.peering))
	fmt.Fprintf(t, "[control]\npeer_key_file = peer.key\nseeds = %s\n", strings.Join(seeds, ", "))
	if d.disk {
		fmt.Fprintf(t, "founders = %s\nfounding_intent = intent.ini\n", strings.Join(founders, ", "))
	}
	return t.String()
}

func (d *daemon) address(port int) string { return fmt.Sprintf("%s:%d", d.ip, port) }

func (s *site) start(b *testing.B) {
	for _, d := range s.daemons {
		d.start(b)
	}
	deadline := time.Now().Add(patience)
	for _, d := range s.daemons {
		for !d.ready() {
			if time.Now().After(deadline) {
				text, _ := os.ReadFile(d.log)
				b.Fatalf("%s is not ready:\n%s", d.name, text)
			}
			time.Sleep(poll)
		}
	}
}

func (d *daemon) start(b *testing.B) {
	log, err := os.Create(d.log)
	if err != nil {
		b.Fatal(err)
	}
	d.process = exec.Command(program, "--settings", filepath.Join(d.site.dir, d.name+".ini"))
	d.process.Stdout, d.process.Stderr = log, log
	d.process.Env = append(os.Environ(), "GOMAXPROCS="+processors)
	if err := d.process.Start(); err != nil {
		b.Fatal(err)
	}
	go func() {
		_ = d.process.Wait()
		_ = log.Close()
		close(d.exited)
	}()
}

func (s *site) stop() {
	for _, d := range s.daemons {
		if d.process != nil && d.process.Process != nil {
			_ = d.process.Process.Signal(syscall.SIGKILL)
		}
	}
	for _, d := range s.daemons {
		if d.process != nil {
			<-d.exited
		}
	}
}

func (d *daemon) ready() bool {
	resp, err := http.Get("http://" + d.address(d.site.callers) + "/readyz")
	if err != nil {
		return false
	}
	defer func() { _ = resp.Body.Close() }()
	_, _ = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode == http.StatusOK
}

func (d *daemon) operator() *client.Client {
	return &client.Client{Address: d.address(d.site.operators), Key: d.site.keys["operator"]}
}

func (d *daemon) status(b *testing.B) *admin.Status {
	st, err := d.operator().Status()
	if err != nil {
		b.Fatalf("%s: %v", d.name, err)
	}
	return st
}

func freePort(b *testing.B) int {
	l, err := net.Listen("tcp", "127.77.1.1:0")
	if err != nil {
		b.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	return l.Addr().(*net.TCPAddr).Port
}
