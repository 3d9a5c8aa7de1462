package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// command is the command of both roles in the deploy file.
var command = []string{"target/comfreyladderd", "--platform", "--metrics-port", "9464"}

var zones = []string{"lalitpur-hall", "teku-hall", "bhaktapur-hall"}

// site is a small deployment on loopback addresses, one address for each machine.
type site struct {
	dir    string
	prefix string
	// ports are the same on all machines.
	frontend, ready, control, peer int
	seeds                          []string
	cores, edges                   []*node
	record                         *record
	// settings holds further lines of the settings files, bounds further bounds.
	settings, bounds string
	// subjects is the number of shared first parts of prompts; one if zero.
	subjects int
}

// node is a machine that runs one role.
type node struct {
	s         *site
	name, ip  string
	zone      string
	isCore    bool
	bootstrap bool

	mu     sync.Mutex
	cmd    *exec.Cmd
	exited chan struct{}
	log    *os.File
}

// newSite makes a deployment of machines that are not started.
func newSite(rec *record, cores, edges int) *site {
	dir, err := os.MkdirTemp("", "review")
	check(err)
	s := &site{dir: dir, record: rec, prefix: freePrefix()}
	s.frontend, s.ready, s.control = 8227, 8220, 8229
	s.peer = 7340
	for i := range cores {
		n := &node{s: s, name: fmt.Sprintf("core-%s-%d", zones[i%3], i/3+1), ip: s.ip(1 + i), zone: zones[i%3], isCore: true, bootstrap: true}
		s.cores = append(s.cores, n)
		if i < 3 {
			s.seeds = append(s.seeds, n.at(s.control))
		}
	}
	for i := range edges {
		s.edges = append(s.edges, &node{s: s, name: fmt.Sprintf("edge-%s-%d", zones[i%3], i/3+1), ip: s.ip(101 + i), zone: zones[i%3], bootstrap: true})
	}
	return s
}

// freePrefix returns the first three numbers of loopback addresses whose ports are free.
func freePrefix() string {
	for i := range 200 {
		k := (os.Getpid() + i*37) % 50000
		prefix := fmt.Sprintf("127.%d.%d.", 20+k/250, 1+k%250)
		free := true
		for _, port := range []int{8227, 8220, 8229, 7340, 9464} {
			l, err := net.Listen("tcp4", fmt.Sprintf("%s1:%d", prefix, port))
			if err != nil {
				free = false
				break
			}
			_ = l.Close()
		}
		if free {
			return prefix
		}
	}
	couldNotRun("no free loopback addresses")
	return ""
}

func (s *site) ip(host int) string { return fmt.Sprintf("%s%d", s.prefix, host) }

func (n *node) at(port int) string { return fmt.Sprintf("%s:%d", n.ip, port) }

func (n *node) dataDir() string { return filepath.Join(n.s.dir, n.name) }

func (n *node) settingsFile() string { return filepath.Join(n.s.dir, n.name+".yaml") }

func (n *node) writeSettings() {
	role, class, listen, data, cpu, memory, disk := "edge", "edge", fmt.Sprintf("\n  frontend: %q\n  ready: %q", n.at(n.s.frontend), n.at(n.s.ready)), "null", 0.4, 284, 0
	if n.isCore {
		role, class, listen, data, cpu, memory, disk = "core", "core", fmt.Sprintf("\n  control-plane: %q", n.at(n.s.control)), n.dataDir(), 0.48, 280, 128
	}
	serves := "edge"
	if n.isCore {
		serves = "controller"
	}
	seeds, _ := json.Marshal(n.s.seeds)
	text := fmt.Sprintf(`node-name: %q
role: %q
machine-class: %q
serves: [%q]
ip: %q
zone: %q
region: "bagmati"
zones: {lalitpur-hall: "bagmati", teku-hall: "bagmati", bhaktapur-hall: "bagmati"}
listen:%s
internal-port-range: [%d, %d]
seeds: %s
bootstrap: %t
fault-counted: %t
limits: {cpu-share: %g, cores: 1, memory-mb: %d, max-fds: 4096, link-mbps: 1000.0, disk-mb: %d}
data-dir: %s
discovery: "registration"
entry: "vip"
heartbeat-ms: 1200
contracts: ["base", "drain", "config", "cost", "retry", "recover", "engine", "stream", "tenants"]
fault-tolerance: {machine-faults: 1, zones: 1, region-faults: 0}
bounds: {seed-lag-s: 3, reuse-after-s: 2, contact-ms: 3000, ack-ms: 4000, catch-up-s: 4, drain-ms: 2000, grace-s: 8, loss-slack-ms: 200, config-apply-ms: 2000, rollback-slack-ms: 250, outer-bound-ms: 5000, fail-closed: true, revoke-ms: 5000, retry-budget-ratio: 0.2, retry-window-s: 10, retry-slack: 58, recovery-s: 12, delivery-bound-ms: 120, reuse-window-s: 10%s}
config-mode: "highest"
%s`, n.name, role, class, serves, n.ip, n.zone, listen, n.s.peer, n.s.peer+15, seeds, n.bootstrap, n.isCore, cpu, memory, disk, data, n.s.bounds, n.s.settings)
	check(os.WriteFile(n.settingsFile(), []byte(text), 0o600))
}

// start runs the process with the command of the deploy file.
func (n *node) start() {
	n.writeSettings()
	n.run()
}

// run runs the process with the settings as they are.
func (n *node) run() {
	if n.isCore {
		check(os.MkdirAll(n.dataDir(), 0o700))
	}
	log, err := os.OpenFile(filepath.Join(n.s.dir, n.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	check(err)
	cmd := exec.Command(command[0], command[1:]...)
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=C", "COMFREYLADDER_CONFIG=" + n.settingsFile()}
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	check(cmd.Start())
	exited := make(chan struct{})
	n.mu.Lock()
	n.cmd, n.exited, n.log = cmd, exited, log
	n.mu.Unlock()
	go func() {
		_ = cmd.Wait()
		_ = log.Close()
		close(exited)
	}()
}

func (n *node) signal(sig syscall.Signal) { _ = n.cmd.Process.Signal(sig) }

// kill ends the process at once.
func (n *node) kill() {
	n.mu.Lock()
	cmd, exited := n.cmd, n.exited
	n.mu.Unlock()
	if cmd == nil {
		return
	}
	_ = cmd.Process.Kill()
	<-exited
}

// running reports whether the process has not ended.
func (n *node) running() bool {
	select {
	case <-n.exited:
		return false
	default:
		return true
	}
}

func (s *site) startAll() {
	for _, n := range append(append([]*node{}, s.edges...), s.cores...) {
		n.start()
	}
}

// close ends all processes and removes the folder.
func (s *site) close() {
	for _, n := range append(append([]*node{}, s.edges...), s.cores...) {
		n.kill()
	}
	if os.Getenv("KEEP") != "" {
		fmt.Println("logs in", s.dir)
		return
	}
	_ = os.RemoveAll(s.dir)
}

var client = &http.Client{Timeout: 2 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}

// call makes one call; status 0 means that there was no answer.
func call(method, url, body string) (int, string) {
	req, err := http.NewRequest(method, url, strings.NewReader(body))
	check(err)
	req.Header.Set("Content-Type", "application/json")
	resp, err := client.Do(req)
	if err != nil {
		return 0, err.Error()
	}
	defer func() { _ = resp.Body.Close() }()
	b, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, err.Error()
	}
	return resp.StatusCode, string(b)
}

// put sends a desired state until a core acknowledges it.
func (s *site) put(body string) {
	until := time.Now().Add(20 * time.Second)
	for i := 0; time.Now().Before(until); i++ {
		if status, _ := call("PUT", "http://"+s.cores[i%len(s.cores)].at(s.control)+"/config", body); status == 200 {
			return
		}
		time.Sleep(100 * time.Millisecond)
	}
	couldNotRun("no core acknowledged the desired state")
}

func (n *node) isReady() bool {
	status, _ := call("GET", "http://"+n.at(n.s.ready)+"/readyz", "")
	return status == 200
}

// await waits for a condition that the case needs.
func await(what string, within time.Duration, ok func() bool) {
	until := time.Now().Add(within)
	for !ok() {
		if time.Now().After(until) {
			couldNotRun(what)
		}
		time.Sleep(50 * time.Millisecond)
	}
}
