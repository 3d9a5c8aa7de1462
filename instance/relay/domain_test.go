package relay

import (
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
