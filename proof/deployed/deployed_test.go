package deployed_test

import (
	"fmt"
	"net/http"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// The first start of all machines at once: the cores found a group by the seeds, a
// configuration is acknowledged, edges serve, and what is faulty is refused.
func TestCalmStart(t *testing.T) {
	s := newTrio(t)
	for _, c := range s.cores {
		Eventually(func() string { _, body := c.get(); return body }, patience, poll).Should(Equal(desired(1, "k", "l")))
		Expect(c.put(1, "other")).To(Equal(200), "the same version again is acknowledged")
		status, _ := call("PUT", "http://"+c.at(portControl)+"/config", desired(9, "k")[:80])
		Expect(status).To(Equal(400))
	}
	_, body := s.cores[1].get()
	Expect(body).To(Equal(desired(1, "k", "l")), "and changes nothing")
	for _, e := range s.edges {
		Expect(e.ask("unknown")).To(Equal(401))
	}
}

// A disk is wiped right after an acknowledgement, the machine comes back empty at its
// address, and soon another core is lost. What was acknowledged must be read back,
// and changes must still be accepted: the empty disk has become a voter by then.
func TestWipedDiskThenAnotherLoss(t *testing.T) {
	s := newTrio(t)
	Expect(s.cores[1].put(2, "k")).To(Equal(200))
	s.cores[1].kill()
	s.cores[1].wipe()
	s.cores[1].start(false)
	Eventually(func() int { status, _ := s.cores[1].get(); return status }, patience, poll).Should(Equal(200))
	Eventually(func() bool {
		return strings.Contains(s.cores[0].log()+s.cores[2].log(), "votes=true") && strings.Contains(s.cores[0].log()+s.cores[2].log(), "votes=false")
	}, patience, poll).Should(BeTrue(), "the new disk votes and the lost one is no member any more")
	s.cores[0].kill()
	Eventually(func() int { return s.cores[1].put(3, "k") }, patience, poll).Should(Equal(200))
	_, body := s.cores[2].get()
	Expect(body).To(Equal(desired(3, "k")))
}

// A core is lost for good and an empty machine comes at another address, twice in a
// row. Nobody tells the group; it must be whole again each time.
func TestReplacedCoreTwiceInARow(t *testing.T) {
	s := newTrio(t)
	for i := range 2 {
		s.cores[i].kill()
		n := s.add(fmt.Sprint("core-", 4+i), 11+i, true)
		n.start(false)
		Eventually(s.memberChanges, patience, poll).Should(BeNumerically(">=", 2*(i+1)), s.logs)
		Eventually(func() int { return n.put(10+i, "k") }, patience, poll).Should(Equal(200))
	}
	_, body := s.cores[2].get()
	Expect(body).To(Equal(desired(11, "k")))
	for _, e := range s.edges {
		Expect(e.ask("k")).To(Equal(200))
	}
}

// memberChanges counts the changes of the control group's membership that were carried out.
func (s *site) memberChanges() (n int) {
	for line := range strings.Lines(s.logs()) {
		if strings.Contains(line, "event=member_change") && !strings.Contains(line, "error=") {
			n++
		}
	}
	return n
}

// All cores are killed at once and come back with their disks.
func TestAllCoresKilledAtOnce(t *testing.T) {
	s := newTrio(t)
	Expect(s.cores[0].put(2, "k")).To(Equal(200))
	for _, c := range s.cores {
		c.kill()
	}
	for _, e := range s.edges {
		Expect(e.ask("k")).To(Equal(200), "edges go on under their lease")
	}
	for _, c := range s.cores {
		c.start(false)
	}
	Eventually(func() string { _, body := s.cores[2].get(); return body }, patience, poll).Should(Equal(desired(2, "k")))
	for _, e := range s.edges {
		Eventually(e.ready, patience, poll).Should(BeTrue())
	}
}

// An edge is frozen, a key is taken away, and the edge wakes long after the removal
// was acknowledged. A request with that key must not run, not even the first one.
func TestFrozenEdgeDoesNotBelieveARemovedKey(t *testing.T) {
	s := newTrio(t)
	e := s.edges[0]
	e.signal(syscall.SIGSTOP)
	Expect(s.cores[0].put(2, "k")).To(Equal(200))
	time.Sleep(3200 * time.Millisecond)
	served := s.runner.served.Load()
	answers := make(chan int, 4)
	for range cap(answers) {
		go func() { answers <- e.ask("l") }()
	}
	time.Sleep(100 * time.Millisecond)
	e.signal(syscall.SIGCONT)
	for range cap(answers) {
		Expect(<-answers).To(BeElementOf(401, 503))
	}
	Expect(s.runner.served.Load()).To(Equal(served))
	Eventually(func() int { return e.ask("k") }, patience, poll).Should(Equal(200))
}

// A runner says that it drains, to a core; from the acknowledgement on no edge may
// send it anything, soon after.
func TestDrainingRunnerGetsNothing(t *testing.T) {
	s := newTrio(t)
	other := s.site.runner("i-2", s.cores...)
	Eventually(func() int64 { s.edges[0].ask("k"); return other.served.Load() }, patience, poll).Should(BeNumerically(">", 0))
	Expect(s.runner.report(s.cores[2], "draining")).To(Equal(200))
	time.Sleep(time.Second)
	served := s.runner.served.Load()
	for range 20 {
		Expect(s.edges[0].ask("k")).To(Equal(200))
		Expect(s.edges[1].ask("k")).To(Equal(200))
	}
	Expect(s.runner.served.Load()).To(Equal(served), "its reports go on, but say the same")
}

// The settings file changes, with a signal and without one, and once it is cut short.
// The process must take up what it can and never end for it.
func TestSettingsAreReadAgain(t *testing.T) {
	s := newTrio(t)
	e := s.edges[0]
	e.signal(syscall.SIGHUP)
	Eventually(e.log, patience, poll).Should(ContainSubstring("event=reload why=signal outcome=done seeds_changed=false"))
	s.seeds = s.seeds[1:]
	e.writeSettings(false)
	Eventually(e.log, patience, poll).Should(ContainSubstring("event=reload why=file outcome=done seeds_changed=true"))
	Expect(os.WriteFile(e.settingsFile(), []byte("node-name: ["), 0o600)).To(Succeed())
	Eventually(e.log, patience, poll).Should(ContainSubstring("outcome=refused"))
	Expect(e.ask("k")).To(Equal(200))
}

// drainDelay is how long after SIGTERM an edge serves everything.
const drainDelay = 2500 * time.Millisecond

// askedAfter reports whether a request that has just ended may have been sent after a time, because the
// test hung between the time at which it meant to send it and now.
func (s *site) askedAfter(limit, meant time.Time) bool {
	now := time.Now()
	if now.Before(limit) {
		return false
	}
	// The watch notes a hang when it looks next.
	time.Sleep(probePause)
	return s.watch.hung(meant, now)
}

// An edge gets SIGTERM while it serves: it isn't ready at once, still serves what
// comes, and ends in time.
func TestEdgeStopsInOrder(t *testing.T) {
	s := newTrio(t)
	e := s.edges[0]
	begun := time.Now()
	e.signal(syscall.SIGTERM)
	Eventually(e.ready, time.Second, poll).Should(BeFalse())
	for time.Since(begun) < 2*time.Second {
		at := time.Since(begun)
		status, told := e.request("k")
		if status == http.StatusServiceUnavailable && s.watch.hung(time.Now().Add(-hangSpan), time.Now()) {
			t.Skipf("refused %v after the signal, as the machine or its disk hung: %s", at, told)
		}
		if neverConnected(told) && s.askedAfter(begun.Add(drainDelay), begun.Add(at)) {
			t.Logf("asked after the end, as the test hung %v after the signal: %s", at, told)
			break
		}
		Expect(status).To(Equal(200), "asked %v after the signal, answered %v after it: %s", at, time.Since(begun), told)
	}
	Eventually(e.exited, 8*time.Second-time.Since(begun)).Should(BeClosed())
	Expect(e.log()).To(ContainSubstring("event=stopped"))
}

// The leader is frozen for longer than an election takes, a change is accepted
// without it, and it wakes. A read at it must not show the older configuration.
func TestFrozenLeaderReadsNothingOld(t *testing.T) {
	s := newTrio(t)
	for i, c := range s.cores {
		c.signal(syscall.SIGSTOP)
		others := append(append([]*node(nil), s.cores[:i]...), s.cores[i+1:]...)
		version := 10 + i
		Eventually(func() int { return others[0].put(version, "k") }, patience, poll).Should(Equal(200))
		read := make(chan string, 1)
		go func() { _, body := c.get(); read <- body }()
		time.Sleep(50 * time.Millisecond)
		c.signal(syscall.SIGCONT)
		if body := <-read; strings.Contains(body, `"version"`) {
			Expect(body).To(Equal(desired(version, "k")))
		}
	}
}

// A runner that has sent some heartbeats crashes and starts again under its ID, at another
// port and with its count of heartbeats from the start. Callers would wait until it had
// sent as many again if only the count ordered them, and for good after a drain. What
// the dead one sent before is delivered late; it must not take the new one's place.
func TestRunnerThatStartsAgainUnderItsID(t *testing.T) {
	s := newTrio(t)
	s.runner.sequence.Store(10_000)
	Expect(s.runner.reports(s.cores[0], "draining")).To(Succeed(), s.logs)
	s.runner.crash()
	time.Sleep(10 * time.Millisecond)
	again := s.site.runner(s.runner.id, s.cores...)
	for _, e := range s.edges {
		Eventually(func() int { return e.ask("k") }, 3*time.Second, poll).Should(Equal(200), s.logs)
	}
	Expect(s.runner.reports(s.cores[1], "ready")).To(Succeed(), s.logs)
	Expect(s.runner.reports(s.cores[2], "draining")).To(Succeed(), s.logs)
	served := again.served.Load()
	for range 5 {
		for _, e := range s.edges {
			Expect(e.ask("k")).To(Equal(200))
		}
	}
	Expect(again.served.Load()).To(BeNumerically(">=", served+10))
}

// Reports of another writer arrive between those of the runner: with its ID, with its
// address, without fields, as bytes of no sense. Each is refused or names nobody; callers
// notice nothing, and a line tells who sent them.
func TestReportsOfAnotherWriter(t *testing.T) {
	s := newTrio(t)
	url := "http://" + s.cores[0].at(portControl) + "/instances/"
	address := s.runner.listener.Addr().String()
	for path, body := range map[string]string{
		"i-1": `{"service":"s","address":"` + address + `","zone":"north","slots":"8","state":"ready","sequence":99999}`,
		"i-2": `{"service":"s","state":"ready","sequence":1}`,
		"i-3": "\x00\xff{",
		"i-4": `{"service":"s","address":"` + address + `","zone":"north","version":"v1","slots":8,"state":"resting","warmup-left-ms":0,"sequence":1}`,
	} {
		status, _ := call("PUT", url+path, body)
		Expect(status).To(Equal(400), body)
	}
	status, _ := call("PUT", url+"i-5", `{"service":"nobody","address":"`+address+`","zone":"north","version":"v1","slots":8,"state":"ready","warmup-left-ms":0,"sequence":1}`)
	Expect(status).To(Equal(200))
	for range 20 {
		for _, e := range s.edges {
			Expect(e.ask("k")).To(Equal(200))
		}
	}
	Eventually(s.cores[0].log, patience, poll).Should(ContainSubstring("event=call_refused"))
}
