// Command cases-2 plays the cases of the second review with real processes on loopback addresses. Each case starts the
// daemon with the command lines of deploy/system.toml. Operator, requesters and runners are small stand-ins in this
// folder.
package main

import (
	"bytes"
	"context"
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

const (
	daemon = "target/comfreyladderd"
	// The bounds are those of the small sites.
	catchUp, contact, configApply, revoke = 4 * time.Second, 3 * time.Second, 2 * time.Second, 5 * time.Second
	// metricsPort is that of the command lines in deploy/system.toml.
	metricsPort = 9464
)

// record is the file to which a case writes what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

func openRecord(path string) (*record, error) {
	f, err := os.Create(path)
	return &record{file: f, start: time.Now()}, err
}

func (r *record) printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// unable is the panic of a case that could not run.
type unable string

func must(err error, what string) {
	if err != nil {
		panic(unable(what + ": " + err.Error()))
	}
}

// site is one deployment.
type site struct {
	*record
	dir                                string
	net                                string
	control, frontend, ready, internal int
	nodes                              []*node
	// extra are lines of all settings files, bounds those of their bounds.
	extra, bounds string
}

// node is one machine with its process.
type node struct {
	s        *site
	name, ip string
	zone     string
	core     bool
	// removed is set once the machine has left for good.
	removed bool
	process *exec.Cmd
	exited  chan struct{}
}

func newSite(r *record) *site {
	dir, err := os.MkdirTemp("", "cases-2-")
	must(err, "temporary folder")
	s := &site{record: r, dir: dir}
	for i := range 200 {
		s.net = fmt.Sprintf("127.%d.%d", 60+(os.Getpid()+i)%150, 1+(os.Getpid()/150+i)%250)
		if free(s.net+".1", metricsPort) && free(s.net+".2", metricsPort) && free(s.net+".3", metricsPort) {
			break
		}
	}
	ports := freePorts(s.net + ".1")
	s.control, s.frontend, s.ready, s.internal = ports[0], ports[1], ports[2], ports[3]
	return s
}

func free(ip string, port int) bool {
	l, err := net.Listen("tcp4", fmt.Sprintf("%s:%d", ip, port))
	if err == nil {
		_ = l.Close()
	}
	return err == nil
}

// freePorts returns ports below the range from which the system takes those of outgoing connections.
func freePorts(ip string) (list []int) {
	for port := 17000 + os.Getpid()%9000; len(list) < 4; port += 3 {
		if free(ip, port) {
			list = append(list, port)
		}
	}
	return list
}

func (s *site) add(name, zone string, host int, core bool) *node {
	n := &node{s: s, name: name, zone: zone, ip: fmt.Sprintf("%s.%d", s.net, host), core: core}
	s.nodes = append(s.nodes, n)
	return n
}

func (n *node) at(port int) string { return fmt.Sprintf("%s:%d", n.ip, port) }

func (n *node) dataDir() string { return filepath.Join(n.s.dir, n.name) }

func (n *node) settings(bootstrap bool) string {
	s := n.s
	class, serves, listen, data, disk := "edge", "edge", fmt.Sprintf("  frontend: %q\n  ready: %q\n", n.at(s.frontend), n.at(s.ready)), "null", 0
	if n.core {
		class, serves, listen, data, disk = "core", "controller", fmt.Sprintf("  control-plane: %q\n", n.at(s.control)), fmt.Sprintf("%q", n.dataDir()), 128
	}
	var seeds, zones strings.Builder
	for _, o := range s.cores()[:min(3, len(s.cores()))] {
		fmt.Fprintf(&seeds, "  - %q\n", o.at(s.control))
	}
	for _, z := range []string{"lalitpur-hall", "teku-hall", "bhaktapur-hall"} {
		fmt.Fprintf(&zones, "  %s: \"bagmati\"\n", z)
	}
	return fmt.Sprintf(`node-name: %q
role: %q
machine-class: %q
serves:
  - %q
ip: %q
zone: %q
region: "bagmati"
zones:
%slisten:
%sinternal-port-range:
  - %d
  - %d
seeds:
%sbootstrap: %v
fault-counted: %v
limits:
  cpu-share: 0.48
  cores: 1
  memory-mb: 284
  max-fds: 4100
  link-mbps: 1000.0
  disk-mb: %d
data-dir: %s
discovery: "registration"
entry: "vip"
heartbeat-ms: 1200
contracts: ["base", "drain", "config", "cost", "retry", "recover", "engine", "stream", "tenants"]
fault-tolerance:
  machine-faults: 1
  zones: 1
  region-faults: 0
bounds:
  seed-lag-s: 3
  reuse-after-s: 2
  contact-ms: 3000
  ack-ms: 4000
  catch-up-s: 4
  drain-ms: 2000
  grace-s: 8
  loss-slack-ms: 200
  config-apply-ms: 2000
  rollback-slack-ms: 250
  outer-bound-ms: 5000
  fail-closed: true
  revoke-ms: 5000
  retry-budget-ratio: 0.2
  retry-window-s: 10
  retry-slack: 58
  recovery-s: 12
  delivery-bound-ms: 120
  reuse-window-s: 10
%sconfig-mode: "highest"
%s`, n.name, class, class, serves, n.ip, n.zone, zones.String(), listen, s.internal, s.internal+15, seeds.String(), bootstrap, n.core, disk, data, s.bounds, s.extra)
}

// start starts the process of a machine with the command line of deploy/system.toml.
func (n *node) start(bootstrap bool) {
	path := filepath.Join(n.s.dir, n.name+".yaml")
	must(os.WriteFile(path, []byte(n.settings(bootstrap)), 0o600), "settings")
	if n.core {
		must(os.MkdirAll(n.dataDir(), 0o700), "data folder")
	}
	out, err := os.OpenFile(filepath.Join(n.s.dir, n.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	must(err, "log")
	defer func() { _ = out.Close() }()
	n.process = exec.Command(daemon, "--platform", "--metrics-port", fmt.Sprint(metricsPort))
	n.process.Env = append(os.Environ(), "COMFREYLADDER_CONFIG="+path)
	n.process.Stdout, n.process.Stderr = out, out
	must(n.process.Start(), "start of the daemon")
	n.exited = make(chan struct{})
	go func(c *exec.Cmd, exited chan struct{}) { _ = c.Wait(); close(exited) }(n.process, n.exited)
	n.s.printf("%s (%s) started, bootstrap %v", n.name, n.ip, bootstrap)
}

func (n *node) signal(sig syscall.Signal) {
	_ = n.process.Process.Signal(sig)
	n.s.printf("%s gets %v", n.name, sig)
}

func (n *node) kill() {
	n.signal(syscall.SIGKILL)
	<-n.exited
}

// leave stops a machine for good as the platform does: SIGTERM, and SIGKILL after grace-s.
func (n *node) leave() {
	n.signal(syscall.SIGTERM)
	select {
	case <-n.exited:
		n.s.printf("%s has ended and does not come back", n.name)
	case <-time.After(8 * time.Second):
		n.kill()
	}
	n.removed = true
}

// loseDisk empties the data folder of a machine whose process has ended.
func (n *node) loseDisk() {
	must(os.RemoveAll(n.dataDir()), "empty the data folder")
	n.s.printf("%s has lost its disk", n.name)
}

func (n *node) running() bool {
	select {
	case <-n.exited:
		return false
	default:
		return n.process != nil
	}
}

func (s *site) close() {
	for _, n := range s.nodes {
		if n.process != nil && n.running() {
			_ = n.process.Process.Signal(syscall.SIGCONT)
			_ = n.process.Process.Kill()
			<-n.exited
		}
	}
	if os.Getenv("KEEP") != "" {
		fmt.Println("kept", s.dir)
		return
	}
	_ = os.RemoveAll(s.dir)
}

// cores returns the machines of the core that have not left.
func (s *site) cores() (list []*node) {
	for _, n := range s.nodes {
		if n.core && !n.removed {
			list = append(list, n)
		}
	}
	return list
}

var client = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}

// call makes one call and returns status 0 if no answer came.
func call(method, url string, body any, wait time.Duration) (status int, answer []byte) {
	var in io.Reader
	switch b := body.(type) {
	case nil:
	case []byte:
		in = bytes.NewReader(b)
	default:
		encoded, err := json.Marshal(body)
		must(err, "encode")
		in = bytes.NewReader(encoded)
	}
	ctx, cancel := context.WithTimeout(context.Background(), wait)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, url, in)
	must(err, "request")
	req.Header.Set("Content-Type", "application/json")
	resp, err := client.Do(req)
	if err != nil {
		return 0, []byte(err.Error())
	}
	defer func() { _ = resp.Body.Close() }()
	answer, err = io.ReadAll(resp.Body)
	if err != nil {
		return 0, []byte(err.Error())
	}
	return resp.StatusCode, answer
}

// put sends a desired state to one machine.
func (n *node) put(state map[string]any, wait time.Duration) int {
	status, answer := call(http.MethodPut, "http://"+n.at(n.s.control)+"/config", state, wait)
	n.s.printf("operator: PUT /config version %v to %s: %d %.90s", state["version"], n.name, status, answer)
	return status
}

// read reads the desired state back from one machine, and returns its version, or zero.
func (n *node) read(wait time.Duration) (status int, version int) {
	status, answer := call(http.MethodGet, "http://"+n.at(n.s.control)+"/config", nil, wait)
	var state struct {
		Version int `json:"version"`
	}
	if status == http.StatusOK {
		_ = json.Unmarshal(answer, &state)
	}
	return status, state.Version
}

// leads reports whether the metrics of a machine say that it leads the control group.
func (n *node) leads() bool {
	status, answer := call(http.MethodGet, "http://"+n.at(metricsPort)+"/metrics", nil, 500*time.Millisecond)
	return status == http.StatusOK && strings.Contains("\n"+string(answer), "\ncontrol_is_leader 1")
}

// leader waits for a leader among some machines.
func (s *site) leader(among []*node) *node {
	for range 300 {
		for _, n := range among {
			if n.leads() {
				return n
			}
		}
		time.Sleep(20 * time.Millisecond)
	}
	panic(unable("no machine leads the control group"))
}

// putAnywhere sends a desired state to one machine after the other until one acknowledges it.
func (s *site) putAnywhere(state map[string]any, within time.Duration) *node {
	until := time.Now().Add(within)
	for time.Now().Before(until) {
		for _, n := range s.cores() {
			if n.running() && n.put(state, time.Second) == http.StatusOK {
				return n
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
	return nil
}
