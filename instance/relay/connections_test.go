package relay_test

import (
	"fmt"
	"net"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// Guards against a refusal in the name of idle upstreams while the requests of this instance use all its
// connections to them, and against one without a wait for a connection that is about to be free.
func TestRequestWaitsForAConnectionAndIsNotRefusedInTheUpstreamsName(t *testing.T) {
	const connections = 3
	hold := make(chan struct{})
	up := startUpstream(t, "a", func(_ int, r *received, c net.Conn) bool {
		<-hold
		return whole(c, r, 200, "done")
	})
	b := start(t, up)
	table := routes()
	table.Services[0].MaxConnections = connections - 1 // The headroom makes it 3.
	for i := range table.Routes {
		table.Routes[i].Target = 800 * time.Millisecond
	}
	b.use(table)
	b.service.Update(b.state.View())
	answers := make(chan reply, connections)
	for i := range connections {
		go func() { answers <- b.caller().call("GET", "/idem/x", fmt.Sprint("r", i), "") }()
	}
	Eventually(func() int { return len(up.requests()) }).Should(Equal(connections))
	a := b.caller().call("GET", "/idem/x", "s1", "")
	Expect(a.status).To(Equal(503))
	Expect(a.body).To(ContainSubstring("not run: this instance uses all its connections"))
	Expect(a.header.Get("Retry-After")).NotTo(BeEmpty())
	time.AfterFunc(30*time.Millisecond, func() { close(hold) })
	Expect(b.caller().call("GET", "/idem/x", "s2", "").status).To(Equal(200))
	for range connections {
		Expect((<-answers).status).To(Equal(200))
	}
}
