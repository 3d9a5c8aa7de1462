package tunnel_test

import (
	"context"
	"errors"
	"io"
	"net"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"github.com/comfreyladder/comfreyladder/core/fault"
	"github.com/comfreyladder/comfreyladder/core/reach"
	"github.com/comfreyladder/comfreyladder/instance/link"
	"github.com/comfreyladder/comfreyladder/instance/tcpconn"
	"github.com/comfreyladder/comfreyladder/instance/tunnel"
)

// book resolves instances that are named by their addresses.
type book struct{}

func (book) Address(name string) (string, bool) { return name, true }

// instance serves tunnels and opens them through its peers.
type instance struct {
	links *link.Service
	*tunnel.Service
	mu    sync.Mutex
	peers []string
	dial  func(context.Context, reach.Target) (net.Conn, error)
}

func (i *instance) name() string { return i.links.Addr().String() }

// fail makes the instance say, after a time, that it is cut off.
func (i *instance) fail(after time.Duration) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.dial = func(context.Context, reach.Target) (net.Conn, error) {
		time.Sleep(after)
		return nil, fault.New(fault.NotRun, "cut off")
	}
}

func directly(ctx context.Context, t reach.Target) (net.Conn, error) {
	c, err := tcpconn.Dial(ctx, "tcp4", t.Address)
	if err != nil {
		return nil, fault.Wrap(err, fault.Unavailable, "connect")
	}
	return c, nil
}

// newInstance starts an instance that opens tunnels through others.
func newInstance(t *testing.T, others ...*instance) *instance {
	t.Helper()
	i := &instance{dial: directly}
	for _, o := range others {
		i.peers = append(i.peers, o.name())
	}
	links, err := link.New(link.Config{Self: "127.0.0.1:0", Listen: "127.0.0.1:0", Book: book{}, AllowUnauthenticated: true, Log: zerolog.Nop()})
	Expect(err).NotTo(HaveOccurred())
	i.links = links
	i.Service = tunnel.New(tunnel.Config{
		Links: links, Peers: func() []string { return i.peers }, Allow: func(t reach.Target) bool { return t.Name != "unknown" },
		Dial: func(ctx context.Context, t reach.Target) (net.Conn, error) {
			i.mu.Lock()
			dial := i.dial
			i.mu.Unlock()
			return dial(ctx, t)
		},
	})
	Expect(links.Start(t.Context())).To(Succeed())
	t.Cleanup(i.kill)
	return i
}

// kill ends the instance's connections at once.
func (i *instance) kill() {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	_ = i.links.Stop(ctx)
}

// listen starts an upstream that passes each connection to serve.
func listen(t *testing.T, serve func(*net.TCPConn)) reach.Target {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go serve(c.(*net.TCPConn))
		}
	}()
	return reach.Target{Name: "u", Address: l.Addr().String()}
}

func open(t *testing.T, i *instance, to reach.Target) *tunnel.Conn {
	t.Helper()
	c, err := i.Dial(t.Context(), to)
	Expect(err).NotTo(HaveOccurred())
	t.Cleanup(func() { _ = c.Close() })
	_ = c.SetDeadline(time.Now().Add(5 * time.Second))
	return c.(*tunnel.Conn)
}

// Guards against bytes that are lost, doubled or changed between the instances.
func TestTunnelCarriesAllBytesBothWays(t *testing.T) {
	RegisterTestingT(t)
	to := listen(t, func(c *net.TCPConn) {
		_, _ = io.Copy(c, c)
		_ = c.Close()
	})
	c := open(t, newInstance(t, newInstance(t)), to)
	sent := strings.Repeat("0123456789", 100_000)
	go func() { _, _ = io.WriteString(c, sent) }()
	got := make([]byte, len(sent))
	_, err := io.ReadFull(c, got)
	Expect(err).NotTo(HaveOccurred())
	Expect(string(got)).To(Equal(sent))
	Expect(c.Reusable()).To(BeTrue())
}

// Guards against an answer without a length that looks complete because the instance between, or the
// upstream, broke off in the middle of it.
func TestOnlyAnOrderlyEndLooksComplete(t *testing.T) {
	for _, c := range []struct {
		name string
		end  func(up *net.TCPConn, between *instance)
		want error
	}{
		{"the upstream closes", func(up *net.TCPConn, _ *instance) { _ = up.Close() }, nil},
		{"the upstream resets", func(up *net.TCPConn, _ *instance) { _ = up.SetLinger(0); _ = up.Close() }, syscall.ECONNRESET},
		{"the instance between ends", func(_ *net.TCPConn, between *instance) { between.kill() }, syscall.ECONNRESET},
	} {
		t.Run(c.name, func(t *testing.T) {
			RegisterTestingT(t)
			accepted := make(chan *net.TCPConn, 1)
			to := listen(t, func(up *net.TCPConn) {
				_, _ = io.WriteString(up, "part")
				accepted <- up
			})
			between := newInstance(t)
			conn := open(t, newInstance(t, between), to)
			got := make([]byte, 4)
			_, err := io.ReadFull(conn, got)
			Expect(err).NotTo(HaveOccurred())
			c.end(<-accepted, between)
			_, err = io.ReadAll(conn)
			if c.want == nil {
				Expect(err).NotTo(HaveOccurred())
				return
			}
			Expect(errors.Is(err, c.want)).To(BeTrue(), "%v", err)
		})
	}
}

// Guards against an answer without a length that looks complete because the instance between met the reset of
// the upstream while it still wrote the request.
func TestResetDuringTheRequestIsNoOrderlyEnd(t *testing.T) {
	RegisterTestingT(t)
	const part, request = 64 << 10, 4 << 20
	to := listen(t, func(up *net.TCPConn) {
		_, _ = io.WriteString(up, strings.Repeat("a", part))
		_, _ = io.CopyN(io.Discard, up, request/2)
		_ = up.SetLinger(0)
		_ = up.Close()
	})
	i := newInstance(t, newInstance(t))
	for range 60 {
		c := open(t, i, to)
		go func() { _, _ = c.Write(make([]byte, request)) }()
		_, err := io.ReadAll(c)
		Expect(err).To(HaveOccurred())
		_ = c.Close()
	}
}

// Guards against an upstream that works on for a caller who has left.
func TestUpstreamSeesThatTheTunnelIsClosed(t *testing.T) {
	RegisterTestingT(t)
	ended := make(chan struct{})
	to := listen(t, func(c *net.TCPConn) {
		_, _ = io.Copy(io.Discard, c)
		close(ended)
	})
	between := newInstance(t)
	c := open(t, newInstance(t, between), to)
	Expect(between.Serving()).To(Equal(1))
	Expect(c.Close()).To(Succeed())
	Eventually(ended, 500*time.Millisecond).Should(BeClosed())
	Eventually(between.Serving, time.Second).Should(BeZero())
}

// Guards against an upstream that is blamed for the links of the instance between, and one that is not
// blamed for its own failure.
func TestFailureSaysWhoseItIs(t *testing.T) {
	RegisterTestingT(t)
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	gone := reach.Target{Name: "u", Address: l.Addr().String()}
	_ = l.Close()
	between := newInstance(t)
	i := newInstance(t, between)
	_, err = i.Dial(t.Context(), gone)
	Expect(fault.CodeOf(err)).To(Equal(fault.Unavailable))
	Expect(errors.Is(err, syscall.ECONNREFUSED)).To(BeTrue())

	between.fail(0)
	_, err = i.Dial(t.Context(), gone)
	Expect(fault.CodeOf(err)).To(Equal(fault.NotRun))
	_, err = i.Dial(t.Context(), reach.Target{Name: "unknown", Address: gone.Address})
	Expect(fault.CodeOf(err)).To(Equal(fault.NotRun), "it serves no address that is no upstream's")
	_, err = newInstance(t).Dial(t.Context(), gone)
	Expect(fault.CodeOf(err)).To(Equal(fault.NotRun), "there is no other instance")
}

// Guards against callers who wait for an instance that hangs while another one could help.
func TestInstanceThatHangsDelaysLittle(t *testing.T) {
	RegisterTestingT(t)
	to := listen(t, func(c *net.TCPConn) { _, _ = io.Copy(c, c) })
	hanging := newInstance(t)
	hanging.fail(time.Second)
	i := newInstance(t, hanging, newInstance(t))
	for range 4 {
		begun := time.Now()
		open(t, i, to)
		Expect(time.Since(begun)).To(BeNumerically("<", 500*time.Millisecond))
	}
}

// Guards against a tunnel that is opened while the drain of its instance begins, and is used again.
func TestTunnelThatOpensInADrainIsRetired(t *testing.T) {
	RegisterTestingT(t)
	to := listen(t, func(c *net.TCPConn) { _, _ = io.Copy(c, c) })
	between := newInstance(t)
	i := newInstance(t, between)
	between.mu.Lock()
	between.dial = func(ctx context.Context, t reach.Target) (net.Conn, error) {
		between.Retire()
		return directly(ctx, t)
	}
	between.mu.Unlock()
	c := open(t, i, to)
	Eventually(func() bool {
		var b [1]byte
		_ = c.SetReadDeadline(time.Now().Add(10 * time.Millisecond))
		_, _ = c.Read(b[:])
		return c.Reusable()
	}, time.Second).Should(BeFalse())
}

// Guards against requests that are sent into a tunnel whose instance shuts down, and against a drain that
// does not wait for those that were.
func TestDrainRetiresTunnelsAndWaitsForThem(t *testing.T) {
	RegisterTestingT(t)
	to := listen(t, func(c *net.TCPConn) { _, _ = io.Copy(c, c) })
	between := newInstance(t)
	i := newInstance(t, between)
	c := open(t, i, to)
	drained := make(chan error, 1)
	go func() { drained <- between.Drain(t.Context()) }()
	Eventually(func() bool {
		var b [1]byte
		_ = c.SetReadDeadline(time.Now().Add(10 * time.Millisecond))
		_, _ = c.Read(b[:])
		return c.Reusable()
	}, time.Second).Should(BeFalse())
	_, err := i.Dial(t.Context(), to)
	Expect(fault.CodeOf(err)).To(Equal(fault.NotRun))
	Consistently(drained, 100*time.Millisecond).ShouldNot(Receive())
	_ = c.SetDeadline(time.Now().Add(time.Second))
	_, err = io.WriteString(c, "late")
	Expect(err).NotTo(HaveOccurred())
	got := make([]byte, 4)
	_, err = io.ReadFull(c, got)
	Expect(err).NotTo(HaveOccurred(), "what is under way is finished")
	Expect(c.Close()).To(Succeed())
	Eventually(drained, time.Second).Should(Receive(BeNil()))
}

// Guards against a read deadline in the middle of a frame that loses bytes.
func TestReadDeadlineLosesNothing(t *testing.T) {
	RegisterTestingT(t)
	to := listen(t, func(c *net.TCPConn) {
		for _, piece := range []string{"one", "two", "three"} {
			_, _ = io.WriteString(c, piece)
			time.Sleep(50 * time.Millisecond)
		}
		_ = c.Close()
	})
	c := open(t, newInstance(t, newInstance(t)), to)
	got := ""
	var b [2]byte
	for {
		_ = c.SetReadDeadline(time.Now().Add(5 * time.Millisecond))
		n, err := c.Read(b[:])
		got += string(b[:n])
		if errors.Is(err, io.EOF) {
			break
		}
	}
	Expect(got).To(Equal("onetwothree"))
}
