package quarantine_test

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"
	"github.com/valyala/fasthttp"

	corequarantine "github.com/comfreyladder/comfreyladder/core/quarantine"
	"github.com/comfreyladder/comfreyladder/instance/consensus"
	"github.com/comfreyladder/comfreyladder/instance/control"
	"github.com/comfreyladder/comfreyladder/instance/disk/disktest"
	"github.com/comfreyladder/comfreyladder/instance/link"
	"github.com/comfreyladder/comfreyladder/instance/quarantine"
)

const timeout = 10 * time.Second

// member is the only member of a control group.
type member struct {
	service *quarantine.Service
	control *control.Service
	links   *link.Service
	log     lines
}

// lines collects the log output.
type lines struct {
	mu sync.Mutex
	b  strings.Builder
}

func (l *lines) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.Write(p)
}

func (l *lines) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.String()
}

// Address implements link.AddressBook.
func (m *member) Address(string) (string, bool) { return m.links.Addr().String(), true }

func startMember(t *testing.T) *member {
	RegisterTestingT(t)
	m := &member{}
	var err error
	m.links, err = link.New(link.Config{Self: "m", Listen: "127.0.0.1:0", AllowUnauthenticated: true, Book: m, Log: zerolog.Nop()})
	Expect(err).NotTo(HaveOccurred())
	m.service = quarantine.New(quarantine.Config{
		Replica: func() *consensus.Service { return m.control.Replica() }, Links: m.links, Log: zerolog.New(&m.log),
	})
	m.control = control.New(control.Config{
		Name: "m", DataFolder: "data", Disk: disktest.NewMemory(), Founders: []string{"m"}, Bootstrap: true, Links: m.links,
		Members: func() []string { return nil }, Log: zerolog.Nop(), OnFatal: func(error) {}, OnApplied: m.service.Applied,
		Heartbeat: 30 * time.Millisecond, ElectionTimeout: 200 * time.Millisecond,
	})
	ctx := context.Background()
	Expect(m.links.Start(ctx)).To(Succeed())
	Expect(m.control.Start(ctx)).To(Succeed())
	Expect(m.service.Start(ctx)).To(Succeed())
	t.Cleanup(func() {
		_ = m.service.Stop(ctx)
		_ = m.control.Stop(ctx)
		_ = m.links.Stop(ctx)
	})
	Eventually(func() error { _, err := m.service.List(ctx); return err }, timeout).Should(Succeed())
	return m
}

func (m *member) report(r *corequarantine.Report) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	Expect(m.links.Call(ctx, "m", quarantine.ChannelReport, r, nil)).To(Succeed())
}

func (m *member) crash(upstream uint64, age time.Duration, names ...string) {
	m.report(&corequarantine.Report{Crashes: []corequarantine.Crash{{Upstream: upstream, AgeMS: age.Milliseconds(), UnderWay: underWay(names...)}}})
}

func (m *member) trial(name string) bool {
	var a quarantine.TrialResponse
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	Expect(m.links.Call(ctx, "m", quarantine.ChannelTrial, &quarantine.TrialRequest{Fingerprint: fingerprintOf(name)}, &a)).To(Succeed())
	return a.Granted
}

// state returns the state of a request in the operators' view.
func (m *member) state(name string) func() string {
	return func() string {
		v, err := m.service.List(context.Background())
		Expect(err).NotTo(HaveOccurred())
		for _, r := range v.Requests {
			if r.Fingerprint == fingerprintOf(name).String() {
				return r.State
			}
		}
		return ""
	}
}

// Guards against a request that is reported at one crash after another and never evaluated.
func TestRequestIsQuarantinedByReports(t *testing.T) {
	m := startMember(t)
	m.crash(1, 2*time.Second, "poison", "a")
	m.crash(2, time.Second, "poison")
	Eventually(m.state("poison"), timeout).Should(Equal(quarantine.StateSuspected))
	m.crash(2, time.Second, "b")
	m.crash(3, 0, "poison")
	Eventually(m.state("poison"), timeout).Should(Equal(quarantine.StateQuarantined))
	for _, event := range []string{"request_suspected", "request_quarantined"} {
		Eventually(m.log.String, timeout).Should(ContainSubstring(event))
		Expect(strings.Count(m.log.String(), event)).To(Equal(1), "one log line for each")
	}
	Expect(m.trial("poison")).To(BeFalse(), "not immediately")
	Eventually(func() bool { return m.trial("poison") }, timeout, 50*time.Millisecond).Should(BeTrue())
	Expect(m.trial("poison")).To(BeFalse())

	m.report(&corequarantine.Report{Succeeded: []corequarantine.Success{{Fingerprint: fingerprintOf("poison")}}})
	Eventually(m.state("poison"), timeout).Should(BeEmpty())
	Eventually(m.log.String, timeout).Should(ContainSubstring("quarantine_released"))
}

// Guards against operators who cannot see which requests are kept from upstreams, or cannot release them.
func TestOperatorsListAndRelease(t *testing.T) {
	m := startMember(t)
	for i := range 3 {
		m.crash(uint64(i+1), time.Duration(3-i)*time.Second, "poison")
	}
	Eventually(m.state("poison"), timeout).Should(Equal(quarantine.StateQuarantined))
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	server := &fasthttp.Server{Handler: m.service.Handler(func(ctx *fasthttp.RequestCtx) { ctx.SetStatusCode(http.StatusTeapot) })}
	go func() { _ = server.Serve(l) }()
	t.Cleanup(func() { _ = server.Shutdown() })
	call := func(method, path string) (int, quarantine.View) {
		req, _ := http.NewRequest(method, "http://"+l.Addr().String()+path, nil)
		resp, err := http.DefaultClient.Do(req)
		Expect(err).NotTo(HaveOccurred())
		defer func() { _ = resp.Body.Close() }()
		var v quarantine.View
		_ = json.NewDecoder(resp.Body).Decode(&v)
		return resp.StatusCode, v
	}
	status, v := call("GET", quarantine.Path)
	Expect(status).To(Equal(200))
	Expect(v.Requests).To(HaveLen(1))
	Expect(v.Requests[0].Organisation).To(Equal("o"))
	Expect(v.Requests[0].Target).To(Equal("/poison"))
	Expect(v.Requests[0].Since).To(BeTemporally("~", time.Now(), time.Minute))
	for path, want := range map[string]int{
		quarantine.Path + "/x": 400, quarantine.Path + "/" + fingerprintOf("other").String(): 404, quarantine.Path + "/" + fingerprintOf("poison").String(): 200, "/config": 418,
	} {
		status, _ := call("DELETE", path)
		Expect(status).To(Equal(want), path)
	}
	_, v = call("GET", quarantine.Path)
	Expect(v.Requests).To(BeEmpty())
}
