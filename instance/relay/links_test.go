package relay_test

import (
	"context"
	"io"
	"net"
	"os"
	"strconv"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/comfreyladder/comfreyladder/core/fault"
	"github.com/comfreyladder/comfreyladder/core/reach"
	"github.com/comfreyladder/comfreyladder/instance/relay"
	"github.com/comfreyladder/comfreyladder/instance/tcpconn"
)

// fakeLinks are the ways of an instance to the upstreams: its own, which can be cut, and that through
// another instance, which counts its connections.
type fakeLinks struct {
	cut, alone atomic.Bool
	// late is set while its own connections are reset once they are made.
	late    atomic.Bool
	detours atomic.Int64
	// beforeConnect is a func() that runs before each connect, if one is set.
	beforeConnect atomic.Value
}

func (l *fakeLinks) direct(ctx context.Context, address string) (net.Conn, error) {
	if l.cut.Load() {
		return nil, os.NewSyscallError("connect", syscall.ECONNREFUSED)
	}
	if wait, ok := l.beforeConnect.Load().(func()); ok {
		wait()
	}
	c, err := tcpconn.Dial(ctx, "tcp4", address)
	if err == nil && l.late.Load() {
		return resetConn{c}, nil
	}
	return c, err
}

// resetConn is a connection that was made and is reset.
type resetConn struct{ net.Conn }

// Read implements net.Conn.
func (resetConn) Read([]byte) (int, error) { return 0, os.NewSyscallError("read", syscall.ECONNRESET) }

// Write implements net.Conn.
func (resetConn) Write(b []byte) (int, error) { return len(b), nil }

// Available implements uplink.Tunnels.
func (l *fakeLinks) Available() bool { return (l.cut.Load() || l.late.Load()) && !l.alone.Load() }

// Dial implements uplink.Tunnels.
func (l *fakeLinks) Dial(ctx context.Context, t reach.Target) (net.Conn, error) {
	l.detours.Add(1)
	c, err := tcpconn.Dial(ctx, "tcp4", t.Address)
	if err != nil {
		return nil, fault.Wrap(err, fault.Unavailable, "through another instance")
	}
	return c, nil
}

// Guards against a request that runs twice, or is told as not run, since the way through another instance
// broke after it had been sent.
func TestRequestThroughAnotherInstanceRunsOnce(t *testing.T) {
	up := startUpstream(t, "a", func(int, *received, net.Conn) bool { return false })
	b := start(t, up)
	b.links.cut.Store(true)
	Expect(b.caller().call("POST", "/once/x", "r1", "x").status).To(Equal(502))
	Expect(up.requests()).To(HaveLen(1))
	Expect(b.links.detours.Load()).To(BeNumerically(">=", 1))
}

// Guards against fields that are lost or added on the way through another instance, and against a request
// that is counted twice.
func TestRequestThroughAnotherInstanceIsTheSame(t *testing.T) {
	up := startUpstream(t, "a", func(n int, r *received, c net.Conn) bool {
		echo(n, r, c)
		return false
	})
	b := start(t, up)
	for _, cut := range []bool{false, true} {
		b.links.cut.Store(cut)
		Expect(b.caller().call("POST", "/once/x", "r1", "x").status).To(Equal(200))
	}
	Expect(b.links.detours.Load()).To(BeNumerically(">", 0))
	got := up.requests()
	Expect(got).To(HaveLen(2))
	got[1].header.Set("X-Left", got[0].header.Get("X-Left"))
	Expect(got[1]).To(Equal(got[0]))
	Expect(b.counted()).To(BeEquivalentTo(2))
}

// Guards against an upstream that works on for a caller who has left, behind another instance.
func TestHangUpReachesTheUpstreamThroughAnotherInstance(t *testing.T) {
	ended := make(chan struct{})
	up := startUpstream(t, "a", func(_ int, _ *received, c net.Conn) bool {
		_, _ = io.Copy(io.Discard, c)
		close(ended)
		return false
	})
	b := start(t, up)
	b.links.cut.Store(true)
	c := b.caller()
	c.send(message("POST", "/idem/x", "r1", "x"))
	Eventually(func() int { return len(up.requests()) }, requestTimeout).Should(Equal(1))
	Consistently(ended, 100*time.Millisecond).ShouldNot(BeClosed(), "the caller waits")
	_ = c.Close()
	Eventually(ended, 500*time.Millisecond).Should(BeClosed())
}

// Guards against upstreams that are avoided, or taken for crashed, at all instances because of the links
// of one.
func TestCutOffInstanceConvictsNoUpstream(t *testing.T) {
	a, c := startUpstream(t, "a", echo), startUpstream(t, "c", echo)
	b := start(t, a, c)
	b.links.cut.Store(true)
	Expect(b.caller().call("POST", "/idem/x", "r1", "x").status).To(Equal(200))
	Expect(b.service.CutOff()).To(BeTrue())
	Expect(b.service.ServesTunnels()).To(BeFalse())
	Expect(b.service.Ready()).To(BeFalse())
	report := b.service.Report()
	Expect(report.HasObserved).To(BeTrue(), "what was reported before is withdrawn")
	Expect(report.Observed).To(BeEmpty())
	Eventually(b.log.String).Should(ContainSubstring("event=links_changed cut_off=true"))
	Consistently(b.log.String, 300*time.Millisecond).ShouldNot(ContainSubstring(crashLine))
}

// Guards against requests that are lost without end since connects succeed, and against upstreams that
// are taken for crashed or avoided for it.
func TestRequestsLostOnNewConnectionsShowACut(t *testing.T) {
	a, c := startUpstream(t, "a", echo), startUpstream(t, "c", echo)
	b := start(t, a, c)
	b.links.late.Store(true)
	Eventually(func() bool {
		b.caller().call("POST", "/once/x", "r1", "x")
		return b.service.CutOff()
	}, requestTimeout).Should(BeTrue())
	Expect(b.service.Ready()).To(BeFalse())
	Expect(b.service.ServesTunnels()).To(BeFalse())
	Expect(b.caller().call("POST", "/once/x", "r2", "x").status).To(Equal(200))
	Consistently(b.log.String, 300*time.Millisecond).ShouldNot(ContainSubstring(crashLine))
	b.links.late.Store(false)
	Eventually(b.service.CutOff, requestTimeout).Should(BeFalse())
	Expect(b.caller().call("POST", "/once/x", "r3", "x").status).To(Equal(200))
}

// Guards against an instance without others that is never ready again, or refuses what it could serve.
func TestInstanceWithoutOthersGoesOn(t *testing.T) {
	b := start(t, startUpstream(t, "a", echo))
	b.links.alone.Store(true)
	b.links.cut.Store(true)
	Expect(b.caller().call("POST", "/once/x", "r1", "x").status).To(Equal(503))
	Expect(b.service.Ready()).To(BeTrue())
	b.links.cut.Store(false)
	Eventually(func() int { return b.caller().call("POST", "/once/x", "r2", "x").status }, 3*time.Second, 100*time.Millisecond).Should(Equal(200))
}

// Guards against tunnels to addresses that are no upstream's.
func TestTunnelsLeadToKnownUpstreamsOnly(t *testing.T) {
	up := startUpstream(t, "a", echo)
	b := start(t, up)
	v := b.state.View()
	known := reach.Target{Name: strconv.FormatUint(up.begun(), 10), Address: up.listener.Addr().String()}
	Expect(relay.AllowTunnel(v, known)).To(BeTrue())
	Expect(relay.AllowTunnel(v, reach.Target{Name: known.Name, Address: "127.0.0.1:1"})).To(BeFalse())
	Expect(relay.AllowTunnel(v, reach.Target{Name: "7", Address: known.Address})).To(BeFalse())
	Expect(relay.AllowTunnel(v, reach.Target{Name: "x", Address: known.Address})).To(BeFalse())
}
