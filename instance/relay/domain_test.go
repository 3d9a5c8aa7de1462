package relay

import (
	"net"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// A failure domain is cut off. After two of its upstreams could not be reached the
// others there are left alone as well, until one was reached or some time passed.
func TestDomainIsSuspectAfterSeveralFailures(t *testing.T) {
	g := NewWithT(t)
	d := domains{}
	now := time.Unix(100, 0)
	g.Expect(d.unreachable(now, "north", "a")).To(BeFalse())
	g.Expect(d.unreachable(now, "north", "a")).To(BeFalse(), "one upstream may be down by itself")
	g.Expect(d.suspect(now, "north")).To(BeFalse())
	g.Expect(d.unreachable(now, "north", "b")).To(BeTrue())
	g.Expect(d.suspect(now, "north")).To(BeTrue())
	g.Expect(d.suspect(now, "south")).To(BeFalse())
	g.Expect(d.suspect(now.Add(2*domainSuspect), "north")).To(BeFalse())
	d.reached("north")
	g.Expect(d.suspect(now, "north")).To(BeFalse())
	g.Expect(d.unreachable(now, "north", "a")).To(BeFalse())
}

// A quarter of the engines crash. Callers elsewhere are refused for want of engines while
// three quarters of them idle: each instance was refused a connect by two engines of a
// domain and took the whole domain for cut off. A host that refuses can be reached.
func TestRefusedConnectShowsNoCut(t *testing.T) {
	g := NewWithT(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(l.Close()).To(Succeed())
	p := pool{address: l.Addr().String()}
	_, err = p.dial(t.Context())
	g.Expect(err).To(HaveOccurred())
	g.Expect(showsCut(err)).To(BeFalse())
	g.Expect(showsCut(syscall.ETIMEDOUT)).To(BeTrue())
}
