package relay

import (
	"net"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// Guards against trying every upstream of a partitioned failure domain: after two of them could not
// be reached the others are avoided too, until one was reached or some time has passed.
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
	g.Expect(d.suspect(now.Add(2*suspectDuration), "north")).To(BeFalse())
	d.reached("north")
	g.Expect(d.suspect(now, "north")).To(BeFalse())
	g.Expect(d.unreachable(now, "north", "a")).To(BeFalse())
}

// Guards against refusing callers for lack of engines while three quarters of them idle, after a
// quarter crashed: each instance was refused a connect by two engines of a domain and treated the
// whole domain as partitioned. A host that refuses a connect is reachable.
func TestRefusedConnectShowsNoCut(t *testing.T) {
	g := NewWithT(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(l.Close()).To(Succeed())
	_, err = dialTCP(t.Context(), l.Addr().String())
	g.Expect(err).To(HaveOccurred())
	g.Expect(indicatesPartition(err)).To(BeFalse())
	g.Expect(indicatesPartition(syscall.ETIMEDOUT)).To(BeTrue())
}
