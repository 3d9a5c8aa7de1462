package serving

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// Guards against an instance that is sent to one that is cut off itself, that is gone, or to itself.
func TestOnlyInstancesThatServeTunnelsAreNamed(t *testing.T) {
	g := NewWithT(t)
	s, now := newTunnelServers(), time.Unix(1000, 0)
	s.record("asking", now, true)
	s.record("gone", now.Add(-tunnelRetention-time.Second), true)
	s.record("cut off", now, true)
	s.record("cut off", now, false)
	s.record("sound", now, true)
	g.Expect(s.peers("asking", now)).To(ConsistOf("sound"))
}

// Guards against instances of one failure domain, cut off together, that learn of no others.
func TestInstancesOfOtherMembersAreNamed(t *testing.T) {
	g := NewWithT(t)
	a, b, now := newTunnelServers(), newTunnelServers(), time.Unix(1000, 0)
	for i := range 20 {
		a.record(fmt.Sprint("a", i), now, true)
		b.record(fmt.Sprint("b", i), now, true)
	}
	b.learn("a", now, a.announce(now))
	g.Expect(a.announce(now)).To(BeEmpty(), "the next digest")
	foreign := 0
	for _, name := range b.peers("b0", now) {
		if name[0] == 'a' {
			foreign++
		}
	}
	g.Expect(foreign).To(BeNumerically(">=", tunnelSample/2))
	g.Expect(b.peers("b0", now.Add(learnedRetention+time.Second))).To(BeEmpty())
}

// Guards against lists that grow with the number of instances.
func TestNamedInstancesAreFew(t *testing.T) {
	g := NewWithT(t)
	s, now := newTunnelServers(), time.Unix(1000, 0)
	for i := range 5000 {
		s.record(fmt.Sprint(i), now, true)
	}
	for i := range 30 {
		names := make([]string, 50)
		for k := range names {
			names[k] = fmt.Sprint("other ", i, " ", k)
		}
		s.learn(fmt.Sprint("member ", i), now, names)
	}
	g.Expect(s.peers("asking", now)).To(HaveLen(tunnelSample))
	g.Expect(s.announce(now)).To(HaveLen(tunnelSample))
}

// BenchmarkPeers measures the cost of naming instances, which must not depend on their number.
func BenchmarkPeers(b *testing.B) {
	for _, n := range []int{100, 1000, 20000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			s, now := newTunnelServers(), time.Unix(1000, 0)
			for i := range n {
				s.record(fmt.Sprint(i), now, true)
			}
			for b.Loop() {
				s.peers("1", now)
			}
		})
	}
}
