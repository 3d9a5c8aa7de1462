package uplink_test

import (
	"context"
	"net"
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
	// direct and detours count the connects, kept the connections that checks opened.
	direct, detours, kept atomic.Int64
	// alone is set if there is no other instance, unable if others can't help.
	alone, unable bool
	targets       []reach.Target
	changes       chan uplink.Change
}

func newWorld(names ...string) *world {
	w := &world{gone: map[string]bool{}, changes: make(chan uplink.Change, 16)}
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
	_ = b.Close()
	return a, nil
}

func (w *world) dial(ctx context.Context, address string) (net.Conn, error) {
	w.direct.Add(1)
	w.mu.Lock()
	defer w.mu.Unlock()
	switch {
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
	c, err := w.connect(t.Address)
	if err != nil {
		return nil, fault.Wrap(err, fault.Unavailable, "through another instance")
	}
	return c, nil
}

func (w *world) sample(n int) (list []uplink.Candidate) {
	for _, t := range w.targets[:min(n, len(w.targets))] {
		list = append(list, uplink.Candidate{Target: t, Keep: func(c net.Conn) { w.kept.Add(1) }})
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
	Expect(w.kept.Load()).To(BeNumerically("<=", 2), "connections of checks")
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
