package relay_test

import (
	"net"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/comfreyladder/comfreyladder/core/control/serving"
	"github.com/comfreyladder/comfreyladder/core/quarantine"
	"github.com/comfreyladder/comfreyladder/instance/follow"
)

// startCrashing starts an upstream that crashes at its first request: it closes its listener.
func startCrashing(t *testing.T, id string) *fakeUpstream {
	started := make(chan *fakeUpstream, 1)
	u := startUpstream(t, id, func(n int, r *received, c net.Conn) bool {
		if n > 1 {
			return echo(n, r, c)
		}
		_ = (<-started).listener.Close()
		return false
	})
	started <- u
	return u
}

const crashLine = "event=upstream_crashed"

// Guards against crashes that cannot be traced to the requests in flight.
func TestCrashLogNamesRequestsInFlight(t *testing.T) {
	b := start(t, startCrashing(t, "a"), startCrashing(t, "b"))
	Expect(b.caller().call("POST", "/idem/x", "r1", "poison").status).To(Equal(502))
	f := quarantine.FingerprintOf("h", "/idem/x", "org", []byte("poison")).String()
	for _, id := range []string{"a", "b"} {
		Eventually(b.log.String, requestTimeout).Should(ContainSubstring(crashLine + " upstream=" + id))
	}
	Expect(b.log.String()).To(ContainSubstring("under_way=1 fingerprints=" + f))
	Expect(b.log.String()).To(MatchRegexp("event=request_failed .* fingerprint=" + f))
}

// Guards against treating reset connections or truncated responses as crashes.
func TestLostConnectionToALivingUpstreamIsNoCrash(t *testing.T) {
	a := startUpstream(t, "a", func(int, *received, net.Conn) bool { return false })
	b := start(t, a)
	Expect(b.caller().call("POST", "/once/x", "r1", "x").status).To(Equal(502))
	Consistently(b.log.String, 500*time.Millisecond).ShouldNot(ContainSubstring(crashLine))
	Expect(b.log.String()).To(ContainSubstring("event=attempt"))
}

// Guards against a crash that goes unnoticed because the upstream's host stops answering as well:
// the successor at its address proves it.
func TestSilentCrashIsDetectedBySuccessor(t *testing.T) {
	silent := startUpstream(t, "a", func(int, *received, net.Conn) bool { time.Sleep(3 * requestTimeout); return false })
	b := start(t, silent)
	Expect(b.caller().call("POST", "/once/x", "r1", "x").status).To(BeElementOf(502, 504))
	b.replace("a", serving.Superseded)
	Eventually(b.log.String, requestTimeout).Should(ContainSubstring(crashLine + " upstream=a"))
}

// Guards against treating the orderly exit of an upstream as a crash.
func TestEndOfADrainingUpstreamIsNoCrash(t *testing.T) {
	silent := startUpstream(t, "a", func(int, *received, net.Conn) bool { time.Sleep(3 * requestTimeout); return false })
	b := start(t, silent)
	Expect(b.caller().call("POST", "/once/x", "r1", "x").status).To(BeElementOf(502, 504))
	b.replace("a", serving.Draining)
	b.replace("a", serving.Superseded)
	Consistently(b.log.String, 500*time.Millisecond).ShouldNot(ContainSubstring(crashLine))
}

// replace gives an upstream another state in the view.
func (b *relayTest) replace(id string, s serving.State) {
	b.state.mu.Lock()
	v := *b.state.view
	u := *v.Upstreams.Get(id)
	u.State = s
	v.Upstreams = follow.NewUpstreams(&u)
	v.Index++
	b.state.view = &v
	b.state.mu.Unlock()
	b.service.Update(&v)
}
