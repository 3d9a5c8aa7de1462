package uplink_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/comfreyladder/comfreyladder/core/fault"
	"github.com/comfreyladder/comfreyladder/core/reach"
	"github.com/comfreyladder/comfreyladder/instance/uplink"
)

// world is a set of upstreams and the ways to them.
type world struct {
	mu sync.Mutex
	// gone upstreams refuse every connection; hangs and refuses are cuts of the instance's own links.
	gone           map[string]bool
	hangs, refuses bool
	// lateHangs and lateResets are cuts behind which connects succeed.
	lateHangs, lateResets bool
	// standing upstreams take connections and answer nobody. Those that drop connections do so with
	// all that are direct, but for one of dropBut.
	standing bool
	dropBut  int64
	// answer is what upstreams answer, endless if it never ends.
	answer  string
	endless bool
	// cutPeer is set while the other instance is cut off without knowing it.
	cutPeer bool
	// direct and detours count the connects, asked the requests that arrived at upstreams, ended the
	// connections that ended there, distrusted how often the other instance was.
	direct, detours, asked, ended, distrusted atomic.Int64
	requests                                  []*http.Request
	// alone is set if there is no other instance, unable if others can't help.
	alone, unable bool
	targets       []reach.Target
	changes       chan uplink.Change
}

func newWorld(names ...string) *world {
	w := &world{gone: map[string]bool{}, answer: "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", changes: make(chan uplink.Change, 16)}
	for _, n := range names {
		w.targets = append(w.targets, reach.Target{Name: n, Address: n})
	}
	return w
}

func (w *world) set(f func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	f()
}

func (w *world) connect(address string) (net.Conn, error) {
	if w.gone[address] {
		return nil, os.NewSyscallError("connect", syscall.ECONNREFUSED)
	}
	a, b := net.Pipe()
	go w.serve(b)
	return a, nil
}

// serve answers the requests of one connection.
func (w *world) serve(c net.Conn) {
	defer w.ended.Add(1)
	defer func() { _ = c.Close() }()
	in := bufio.NewReader(c)
	req, err := http.ReadRequest(in)
	if err != nil {
		return
	}
	w.asked.Add(1)
	w.set(func() { w.requests = append(w.requests, req) })
	for w.stands() {
		time.Sleep(time.Millisecond)
	}
	if _, err := io.WriteString(c, w.answer); err != nil {
		return
	}
	for w.endless {
		if _, err := io.WriteString(c, "more"); err != nil {
			return
		}
	}
	_, _ = in.ReadByte()
}

func (w *world) stands() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.standing
}

// lost is a connection whose peer is never reached.
func lost(resets bool) net.Conn {
	a, b := net.Pipe()
	if resets {
		_ = b.Close()
		return a
	}
	go func() { _, _ = io.Copy(io.Discard, b) }()
	return a
}

// through is a connection through another instance.
type through struct {
	net.Conn
	w *world
}

func (t through) Distrust() {
	t.w.distrusted.Add(1)
	t.w.set(func() { t.w.cutPeer = false })
}

func (w *world) dial(ctx context.Context, address string) (net.Conn, error) {
	n := w.direct.Add(1)
	w.mu.Lock()
	defer w.mu.Unlock()
	switch {
	case w.lateHangs, w.lateResets:
		return lost(w.lateResets), nil
	case w.dropBut > 0 && n%w.dropBut != 0:
		return lost(true), nil
	case w.refuses:
		return nil, os.NewSyscallError("connect", syscall.ECONNREFUSED)
	case w.hangs:
		w.mu.Unlock()
		<-ctx.Done()
		w.mu.Lock()
		return nil, ctx.Err()
	}
	return w.connect(address)
}

// Available implements uplink.Tunnels.
func (w *world) Available() bool { return !w.alone }

// Dial implements uplink.Tunnels.
func (w *world) Dial(_ context.Context, t reach.Target) (net.Conn, error) {
	w.detours.Add(1)
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.unable {
		return nil, fault.New(fault.NotRun, "no other instance can help")
	}
	if w.cutPeer {
		return through{lost(false), w}, nil
	}
	c, err := w.connect(t.Address)
	if err != nil {
		return nil, fault.Wrap(err, fault.Unavailable, "through another instance")
	}
	return through{c, w}, nil
}

func (w *world) sample(n int) (list []uplink.Candidate) {
	for _, t := range w.targets[:min(n, len(w.targets))] {
		list = append(list, uplink.Candidate{Target: t, HealthPath: "/health"})
	}
	return list
}

func (w *world) links(t *testing.T) *uplink.Service {
	s := uplink.New(uplink.Config{
		Direct: w.dial, Timeout: 200 * time.Millisecond, Tunnels: w, Sample: w.sample,
		OnChange: func(c uplink.Change) { w.changes <- c },
	})
	t.Cleanup(s.Stop)
	return s
}

// Guards against an upstream that is not blamed for its own end, and against a check for each failure of
// a burst.
func TestGoneUpstreamIsBlamed(t *testing.T) {
	RegisterTestingT(t)
	w := newWorld("a", "b", "c")
	w.gone["a"] = true
	s := w.links(t)
	for range 20 {
		_, err := s.Dial(t.Context(), w.targets[0])
		Expect(fault.CodeOf(err)).To(Equal(fault.Unavailable))
	}
	Expect(s.CutOff()).To(BeFalse())
	Expect(w.detours.Load()).To(BeZero())
	Expect(w.asked.Load()).To(BeNumerically("<=", 2), "requests of checks")
}

// Guards against requests that fail while the links are cut, whichever way they are, and links that are
// not used once they are back.
func TestCutLinksAreAvoidedUntilTheyAreBack(t *testing.T) {
	for _, kind := range []string{"hangs", "refuses"} {
		t.Run(kind, func(t *testing.T) {
			RegisterTestingT(t)
			w := newWorld("a", "b", "c")
			w.hangs, w.refuses = kind == "hangs", kind == "refuses"
			s := w.links(t)
			c, err := s.Dial(t.Context(), w.targets[0])
			Expect(err).NotTo(HaveOccurred())
			Expect(c.Detour).To(BeTrue())
			Expect(s.CutOff()).To(BeTrue())
			Expect((<-w.changes).CutOff).To(BeTrue())
			before := w.direct.Load()
			c, err = s.Dial(t.Context(), w.targets[1])
			Expect(err).NotTo(HaveOccurred())
			Expect(c.Detour).To(BeTrue())
			Expect(w.direct.Load()-before).To(BeNumerically("<=", 5), "only a check goes the direct way")
			w.set(func() { w.hangs, w.refuses = false, false })
			Eventually(s.CutOff, 3*time.Second).Should(BeFalse())
			Expect((<-w.changes).CutOff).To(BeFalse())
			c, err = s.Dial(t.Context(), w.targets[0])
			Expect(err).NotTo(HaveOccurred())
			Expect(c.Detour).To(BeFalse())
		})
	}
}

// Guards against an upstream that is gone and not blamed because the links are cut as well.
func TestOtherInstancesSayWhetherAnUpstreamIsGone(t *testing.T) {
	RegisterTestingT(t)
	w := newWorld("a", "b")
	w.refuses = true
	w.gone["a"] = true
	_, err := w.links(t).Dial(t.Context(), w.targets[0])
	Expect(fault.CodeOf(err)).To(Equal(fault.Unavailable))
}

// Guards against blame for what no instance can tell, and for what an instance without others can.
func TestUnclearFailureIsBlamedOnNobody(t *testing.T) {
	RegisterTestingT(t)
	w := newWorld("a", "b")
	w.refuses, w.unable = true, true
	s := w.links(t)
	_, err := s.Dial(t.Context(), w.targets[0])
	Expect(fault.CodeOf(err)).To(Equal(fault.NotRun))
	Expect(s.CutOff()).To(BeFalse())
	Expect(s.Doubtful()).To(BeTrue())
	_, err = s.DirectChecked(t.Context(), w.targets[0])
	Expect(fault.CodeOf(err)).To(Equal(fault.NotRun), "for another instance")

	w = newWorld("a", "b")
	w.refuses, w.alone = true, true
	_, err = w.links(t).Dial(t.Context(), w.targets[0])
	Expect(fault.CodeOf(err)).To(Equal(fault.Unavailable))
}

// Guards against an upstream that is blamed since a request had no time left to connect to it.
func TestEndOfARequestIsNoFailureOfItsUpstream(t *testing.T) {
	RegisterTestingT(t)
	w := newWorld("a", "b")
	w.hangs = true
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Millisecond)
	defer cancel()
	_, err := w.links(t).Dial(ctx, w.targets[0])
	Expect(fault.CodeOf(err)).To(Equal(fault.NotRun))
}

// Guards against a loop: a connection for another instance that leads through a third one.
func TestConnectionForAnotherInstanceIsDirect(t *testing.T) {
	RegisterTestingT(t)
	w := newWorld("a", "b")
	w.refuses = true
	s := w.links(t)
	_, err := s.Dial(t.Context(), w.targets[0])
	Expect(err).NotTo(HaveOccurred())
	detours := w.detours.Load()
	_, err = s.DirectChecked(t.Context(), w.targets[0])
	Expect(fault.CodeOf(err)).To(Equal(fault.NotRun))
	Expect(w.detours.Load()).To(Equal(detours))
}

// Guards against connections that hang unnoticed while no new one is needed.
func TestSilenceIsChecked(t *testing.T) {
	RegisterTestingT(t)
	w := newWorld("a", "b")
	s := w.links(t)
	s.Await()
	defer s.Done()
	w.set(func() { w.hangs = true })
	Eventually(s.CutOff, 2*time.Second).Should(BeTrue())
}

// Guards against checks while answers arrive.
func TestNoCheckWhileAnswersArrive(t *testing.T) {
	RegisterTestingT(t)
	w := newWorld("a", "b")
	s := w.links(t)
	s.Await()
	defer s.Done()
	for range 15 {
		time.Sleep(80 * time.Millisecond)
		s.Heard()
	}
	Expect(w.direct.Load()).To(BeZero())
}

// lose is what requests do that get no answer.
func (w *world) lose(s *uplink.Service) {
	for _, t := range w.targets {
		s.Lost(t)
	}
}

// Guards against a cut that is not found since connects succeed, and against links that are not used once
// they are back.
func TestCutBehindMadeConnectionsIsFound(t *testing.T) {
	for _, kind := range []string{"hangs", "resets"} {
		t.Run(kind, func(t *testing.T) {
			RegisterTestingT(t)
			w := newWorld("a", "b", "c", "d", "e", "f")
			w.lateHangs, w.lateResets = kind == "hangs", kind == "resets"
			s := w.links(t)
			w.lose(s)
			Eventually(s.CutOff, 2*time.Second).Should(BeTrue())
			Expect(w.direct.Load()).To(BeNumerically("<=", 5), "tries of one check")
			c, err := s.Dial(t.Context(), w.targets[0])
			Expect(err).NotTo(HaveOccurred())
			Expect(c.Detour).To(BeTrue())
			w.set(func() { w.lateHangs, w.lateResets = false, false })
			Eventually(s.CutOff, 2*time.Second).Should(BeFalse())
		})
	}
}

// Guards against an instance that says it is cut off while all upstreams stand still, and against one that
// does so in the moment in which they go on.
func TestUpstreamsThatStandStillAreNoCut(t *testing.T) {
	RegisterTestingT(t)
	w := newWorld("a", "b", "c", "d")
	w.standing = true
	s := w.links(t)
	s.Await()
	defer s.Done()
	for i := range 6 {
		time.Sleep(500*time.Millisecond + time.Duration(i)*70*time.Millisecond)
		w.set(func() { w.standing = i%2 == 1 })
	}
	Expect(s.CutOff()).To(BeFalse())
	Expect(w.changes).To(BeEmpty())
}

// Guards against an instance that says it is cut off since overloaded upstreams drop connections.
func TestUpstreamsThatDropConnectionsAreNoCut(t *testing.T) {
	RegisterTestingT(t)
	w := newWorld("a", "b", "c", "d")
	w.dropBut = 4
	s := w.links(t)
	for range 20 {
		w.lose(s)
		time.Sleep(50 * time.Millisecond)
	}
	Expect(w.direct.Load()).To(BeNumerically(">", 0))
	Expect(w.changes).To(BeEmpty())
}

// Guards against a check that takes an answer of no sense for none, and against one that reads on while an
// answer has no end.
func TestAnyAnswerCounts(t *testing.T) {
	for name, change := range map[string]func(*world){
		"garbage": func(w *world) { w.answer = "\x00\xff" },
		"endless": func(w *world) { w.endless = true },
	} {
		t.Run(name, func(t *testing.T) {
			RegisterTestingT(t)
			w := newWorld("a", "b", "c")
			change(w)
			s := w.links(t)
			w.lose(s)
			Eventually(w.ended.Load, 3*time.Second).Should(BeNumerically(">=", 1))
			Expect(s.Doubtful()).To(BeFalse())
			Expect(w.changes).To(BeEmpty())
			Expect(w.detours.Load()).To(BeZero(), "no other instance is asked")
		})
	}
}

// Guards against a check that looks like a request of a caller.
func TestCheckCarriesNothingOfACaller(t *testing.T) {
	RegisterTestingT(t)
	w := newWorld("a")
	s := w.links(t)
	for range 6 {
		w.lose(s)
	}
	Eventually(w.asked.Load, time.Second).Should(BeEquivalentTo(1))
	w.mu.Lock()
	defer w.mu.Unlock()
	req := w.requests[0]
	Expect(req.Method + " " + req.RequestURI).To(Equal("GET /health"))
	Expect(req.Host).To(Equal("a"))
	Expect(req.Close).To(BeTrue())
	delete(req.Header, "Connection")
	Expect(req.Header).To(BeEmpty())
}

// Guards against a field of a health answer that is not heard.
func TestFieldOfAHealthAnswerIsHeard(t *testing.T) {
	RegisterTestingT(t)
	w := newWorld("a")
	w.answer = "HTTP/1.1 200 OK\r\nwarm: 1500\r\nContent-Length: 2\r\n\r\nok"
	heard := make(chan string, 1)
	s := uplink.New(uplink.Config{
		Direct: w.dial, Timeout: time.Second, Sample: w.sample, HealthField: "Warm",
		OnHealthField: func(t reach.Target, value string) { heard <- t.Name + " " + value },
	})
	t.Cleanup(s.Stop)
	for range 6 {
		w.lose(s)
	}
	Eventually(heard, time.Second).Should(Receive(Equal(w.targets[0].Name + " 1500")))
}

// Guards against a path that begins another request.
func TestPathOfNoSenseIsNotSent(t *testing.T) {
	RegisterTestingT(t)
	w := newWorld("a")
	s := uplink.New(uplink.Config{
		Direct: w.dial, Timeout: time.Second,
		Sample: func(int) []uplink.Candidate {
			return []uplink.Candidate{{Target: w.targets[0], HealthPath: "/ HTTP/1.1\r\nX: y\r\n\r\nPOST /"}}
		},
	})
	t.Cleanup(s.Stop)
	for range 6 {
		w.lose(s)
	}
	Eventually(w.asked.Load, time.Second).Should(BeEquivalentTo(1))
	w.mu.Lock()
	defer w.mu.Unlock()
	Expect(w.requests[0].Method + " " + w.requests[0].RequestURI).To(Equal("OPTIONS *"))
}

// Guards against a cut that is not found since the other instance that is asked first is cut off too.
func TestInstanceThroughWhichNoAnswerComesIsPassedOver(t *testing.T) {
	RegisterTestingT(t)
	w := newWorld("a", "b", "c")
	w.lateResets, w.cutPeer = true, true
	s := w.links(t)
	w.lose(s)
	Eventually(s.CutOff, 2*time.Second).Should(BeTrue())
	Expect(w.distrusted.Load()).To(BeNumerically(">=", 1))
}

// Guards against an instance that offers its links to others though no answer comes over them.
func TestInstanceThatHearsNothingOffersNoLinks(t *testing.T) {
	RegisterTestingT(t)
	w := newWorld("a", "b")
	w.lateResets, w.unable = true, true
	s := w.links(t)
	_, err := s.DirectChecked(t.Context(), w.targets[0])
	Expect(fault.CodeOf(err)).To(Equal(fault.NotRun))
	w.set(func() { w.lateResets = false })
	Eventually(func() error {
		c, err := s.DirectChecked(t.Context(), w.targets[0])
		if err == nil {
			_ = c.Close()
		}
		return err
	}, 2*time.Second).Should(Succeed())
}

// Guards against a request that waits for an answer of busy upstreams though its own one is gone.
func TestFailedConnectWaitsForNoAnswer(t *testing.T) {
	RegisterTestingT(t)
	w := newWorld("a", "b", "c")
	w.gone["a"], w.standing = true, true
	s := w.links(t)
	begun := time.Now()
	_, err := s.Dial(t.Context(), w.targets[0])
	Expect(fault.CodeOf(err)).To(Equal(fault.Unavailable))
	Expect(time.Since(begun)).To(BeNumerically("<", 300*time.Millisecond))
	w.set(func() { w.standing = false })
}

// Guards against requests of other instances that wait for an answer of busy upstreams.
func TestInstanceThatHeardOfLateOffersItsLinksAtOnce(t *testing.T) {
	RegisterTestingT(t)
	w := newWorld("a", "b")
	w.standing = true
	s := w.links(t)
	s.Heard()
	time.Sleep(reach.Quiet + 50*time.Millisecond)
	begun := time.Now()
	c, err := s.DirectChecked(t.Context(), w.targets[0])
	Expect(err).NotTo(HaveOccurred())
	Expect(time.Since(begun)).To(BeNumerically("<", 200*time.Millisecond))
	_ = c.Close()
	w.set(func() { w.standing = false })
}
