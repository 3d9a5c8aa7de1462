package deployed_test

import (
	"encoding/json"
	"fmt"
	"maps"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	operators "github.com/comfreyladder/comfreyladder/operator/client"
	"github.com/comfreyladder/comfreyladder/operator/commands/show"
	"github.com/comfreyladder/comfreyladder/operator/standin/provider"
)

// providerSpan is the window of usage reports here, providerLease the time in which duties
// may not go to and fro.
const (
	providerSpan  = time.Second
	providerDelay = 6 * time.Second
	providerLease = 1200 * time.Millisecond
)

// cloud is a provider's API before the judge.
type cloud struct {
	*provider.Judge
	server *httptest.Server

	mu sync.Mutex
	// meet is called with the machine of each report that was taken, before it is answered.
	meet func(machine string)
	// silent leaves calls without an answer.
	silent bool
}

func newCloud(t *testing.T) *cloud {
	c := &cloud{Judge: provider.NewJudge(provider.Rules{Lease: providerLease, PerSecond: 50})}
	c.server = httptest.NewServer(c)
	t.Cleanup(c.server.Close)
	return c
}

// ServeHTTP implements http.Handler.
func (c *cloud) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	number, _ := strconv.ParseUint(r.Header.Get("Fencing-Token"), 10, 64)
	by := provider.Caller{Machine: r.Header.Get("Duty-Owner"), Number: number}
	var body struct {
		Window int64             `json:"window-id"`
		Counts map[string]uint64 `json:"counts"`
	}
	if r.URL.Path != "/usage" || json.NewDecoder(r.Body).Decode(&body) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if c.Report(time.Now(), by, body.Window, body.Counts) == provider.TooFast {
		w.WriteHeader(http.StatusTooManyRequests)
		return
	}
	c.mu.Lock()
	meet, silent := c.meet, c.silent
	c.mu.Unlock()
	if meet != nil {
		meet(by.Machine)
	}
	if silent {
		<-r.Context().Done()
	}
}

func (c *cloud) set(f func(*cloud)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	f(c)
}

// billed returns all that was reported of the organisation.
func (c *cloud) billed() (n uint64) {
	for _, window := range c.Windows() {
		n += c.Reported(window)["o"]
	}
	return n
}

// bill explains a sum that differs: the reports, when the load began, and all logs.
func (s *trio) bill(c *cloud) func() string {
	return func() string {
		text := fmt.Sprintf("the load began at %v, in window %d\n", s.loaded, s.loaded.UnixNano()/int64(providerSpan))
		for _, window := range c.Windows() {
			text += fmt.Sprintf("window %d: %v\n", window, c.Reported(window))
		}
		return text + s.logs()
	}
}

// newDutiful is a trio whose usage is reported.
func newDutiful(t *testing.T) (*trio, *cloud) {
	var c *cloud
	s := newTrio(t, func(s *site) {
		c = newCloud(t)
		s.bounds = fmt.Sprintf(", lease-ms: %d, report-window-s: %d, usage-delay-s: %d",
			providerLease.Milliseconds(), int(providerSpan.Seconds()), int(providerDelay.Seconds()))
		s.settings = fmt.Sprintf("cloud-api: {address: %q, duty-per-s: 50, duties: [usage_report]}\n", strings.TrimPrefix(c.server.URL, "http://"))
	})
	return s, c
}

// load sends requests through the edges until stopped, and counts those that were answered.
func (s *trio) load() (stop func() (answered uint64)) {
	done := make(chan struct{})
	var group sync.WaitGroup
	var mu sync.Mutex
	var answered uint64
	s.loaded = time.Now()
	for _, e := range s.edges {
		group.Go(func() {
			for {
				select {
				case <-done:
					return
				default:
				}
				if e.ask("k") == 200 {
					mu.Lock()
					answered++
					mu.Unlock()
				}
				time.Sleep(5 * time.Millisecond)
			}
		})
	}
	return func() uint64 {
		close(done)
		group.Wait()
		return answered
	}
}

// reportedUntil waits until the windows up to a time have been reported, and checks that
// none was left out and that the provider's rules hold.
func (s *trio) reportedUntil(c *cloud, until time.Time) {
	last := until.UnixNano() / int64(providerSpan)
	s.within(patience, func() bool { return c.Reported(last) != nil }, s.logs)
	windows := c.Windows()
	for window := windows[0]; window <= last; window++ {
		Expect(c.Reported(window)).NotTo(BeNil(), "window %d was left out of %v", window, windows)
	}
	Expect(c.Broken()).To(BeEmpty(), s.logs)
}

// holder returns the core that made the latest calls.
func (s *trio) holder(c *cloud) *node {
	for _, n := range s.cores {
		log := n.log()
		if strings.LastIndex(log, "event=duties_held") > strings.LastIndex(log, "event=duties_lost") {
			return n
		}
	}
	return nil
}

// Each request is in one report, and an organisation pays for what it asked for: no more,
// though edges tell several cores, and no less.
func TestRequestsAreBilledOnce(t *testing.T) {
	s, c := newDutiful(t)
	before := s.runner.served.Load()
	stop := s.load()
	time.Sleep(4 * time.Second)
	answered := stop()
	s.reportedUntil(c, time.Now())
	Expect(c.billed()).To(Equal(answered+uint64(before)), s.bill(c))
	s.told(c)
}

// told checks that each core tells operators what the provider was told.
func (s *trio) told(c *cloud) {
	for _, n := range s.cores {
		v, err := (&operators.Client{Address: n.at(portMetrics)}).Duties()
		Expect(err).NotTo(HaveOccurred())
		Expect(v.Holder).NotTo(BeEmpty())
		acknowledged := 0
		for _, w := range v.Windows {
			if w.State == "acknowledged" {
				acknowledged++
				Expect(maps.Equal(w.Organisations, c.Reported(w.Window))).To(BeTrue(), "window %d: %v, reported %v", w.Window, w.Organisations, c.Reported(w.Window))
			}
		}
		Expect(acknowledged).To(BeNumerically(">", 2))
		text := &strings.Builder{}
		show.Duties(text, v)
		Expect(text.String()).To(ContainSubstring("acknowledged"))
		_, series := call("GET", "http://"+n.at(portMetrics)+"/metrics", "")
		Expect(series).To(ContainSubstring(`duty_windows{state="overdue"} 0`))
	}
}

// The core that reports is killed once its report has arrived and before the answer, three
// times, and more is counted meanwhile. Whoever comes next must send the same report again,
// not what it would add up itself.
func TestTheReportOfAKilledHolderIsSentAgain(t *testing.T) {
	s, c := newDutiful(t)
	stop := s.load()
	for range 3 {
		killed := make(chan string, 1)
		var once sync.Once
		c.set(func(c *cloud) {
			c.meet = func(machine string) {
				once.Do(func() {
					_ = s.nodes[machine].process.Process.Kill()
					killed <- machine
				})
			}
		})
		name := <-killed
		s.nodes[name].kill()
		c.set(func(c *cloud) { c.meet = nil })
		time.Sleep(time.Second)
		s.nodes[name].start(false)
		time.Sleep(2 * time.Second)
	}
	answered := stop()
	s.reportedUntil(c, time.Now())
	Expect(c.billed()).To(BeNumerically(">=", answered*99/100))
	_, number := c.Calls()
	Expect(number).To(BeNumerically(">=", 4), "each holder has a greater number")
}

// The core that reports stands still for longer than its lease, wakes up after another one
// has taken over, and must not act any more.
func TestAFrozenCoreDoesNotReport(t *testing.T) {
	s, c := newDutiful(t)
	stop := s.load()
	for range 3 {
		var n *node
		Eventually(func() *node { n = s.holder(c); return n }, patience, poll).ShouldNot(BeNil(), s.logs)
		n.signal(syscall.SIGSTOP)
		time.Sleep(3 * time.Second)
		n.signal(syscall.SIGCONT)
		time.Sleep(time.Second)
	}
	stop()
	s.reportedUntil(c, time.Now())
}

// All processes are killed at once, and one core's disk is lost. What was agreed on stays,
// numbers go on, and nothing is billed again.
func TestReportsOutliveTheLossOfAll(t *testing.T) {
	s, c := newDutiful(t)
	stop := s.load()
	time.Sleep(3 * time.Second)
	answered := stop()
	time.Sleep(time.Second)
	_, before := c.Calls()
	for _, n := range s.nodes {
		_ = n.process.Process.Kill()
	}
	for _, n := range s.nodes {
		n.kill()
	}
	s.cores[1].wipe()
	for _, n := range s.nodes {
		n.start(false)
	}
	s.reportedUntil(c, time.Now())
	_, after := c.Calls()
	Expect(after).To(BeNumerically(">", before))
	Expect(c.billed()).To(BeNumerically(">=", answered), s.bill(c))
	Expect(c.billed()).To(BeNumerically("<=", answered+10), "what the trio asked before the load")
}

// The provider takes calls and answers none for a while. Nobody gives the duties up for it,
// and all windows are reported.
func TestASilentProviderIsWaitedFor(t *testing.T) {
	s, c := newDutiful(t)
	s.within(patience, func() bool { return len(c.Windows()) > 1 }, s.logs)
	s.steadily(func() error {
		c.set(func(c *cloud) { c.silent = true })
		time.Sleep(5 * time.Second)
		_, number := c.Calls()
		c.set(func(c *cloud) { c.silent = false })
		s.reportedUntil(c, time.Now())
		if _, after := c.Calls(); after != number {
			return fmt.Errorf("holder %d took over from %d, and would fare no better", after, number)
		}
		return nil
	})
}

// An operator has the settings read again, and nothing in them has changed. A core that makes
// calls to a provider must not tell that it needs a restart.
func TestACoreThatMakesCallsReadsItsSettingsAgain(t *testing.T) {
	s := newTrio(t, func(s *site) {
		c := newCloud(t)
		s.bounds = ", lease-ms: 1200, report-window-s: 1, usage-delay-s: 6"
		s.settings = fmt.Sprintf("cloud-api: {address: %q, duty-per-s: 50, duties: [usage_report, autoscale]}\n", strings.TrimPrefix(c.server.URL, "http://"))
	})
	// The first start was with bootstrap, which does not count.
	s.cores[0].signal(syscall.SIGHUP)
	Eventually(s.cores[0].log, patience, poll).Should(ContainSubstring("event=reload why=signal outcome=done seeds_changed=false needs_restart=false"))
}
