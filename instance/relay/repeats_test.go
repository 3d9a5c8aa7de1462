package relay_test

import (
	"net"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// Guards against repeats beyond the retry budget of a window because they were counted in an earlier one:
// between the decision and the send may lie a wait for an upstream or a connect.
func TestRepeatCountsWhenItIsSent(t *testing.T) {
	g := NewWithT(t)
	connecting, connect := make(chan struct{}, 1), make(chan struct{})
	var links *fakeLinks
	lose := func(int, *received, net.Conn) bool {
		links.beforeConnect.Store(func() {
			select {
			case connecting <- struct{}{}:
			default:
			}
			<-connect
		})
		return false
	}
	a, b := startUpstream(t, "a", lose), startUpstream(t, "b", lose)
	s := start(t, a, b)
	links = s.links
	granted := s.set.GetOrCreateCounter(`relay_repeats_total{granted="true"}`)
	done := make(chan int, 1)
	go func() { done <- s.caller().call("GET", "/idem/", "1", "").status }()
	g.Eventually(connecting, requestTimeout).Should(Receive(), "the repeat connects")
	g.Consistently(granted.Get, 100*time.Millisecond, 10*time.Millisecond).Should(BeZero(), "the repeat still connects")
	close(connect)
	g.Eventually(done, 3*time.Second).Should(Receive(Equal(502)))
	g.Expect(granted.Get()).To(BeEquivalentTo(1))
	g.Expect(len(a.requests()) + len(b.requests())).To(Equal(2))
}
