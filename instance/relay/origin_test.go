package relay_test

import (
	"context"
	"net"
	"strings"
	"sync"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/comfreyladder/comfreyladder/core/control/serving"
	"github.com/comfreyladder/comfreyladder/core/fault"
	"github.com/comfreyladder/comfreyladder/core/origin"
	"github.com/comfreyladder/comfreyladder/instance/follow"
)

// fakeOrigins knows what it was told.
type fakeOrigins struct {
	mu      sync.Mutex
	known   map[string]origin.Origin
	urgent  bool
	failing bool
}

func (f *fakeOrigins) Began(id []byte, at origin.Origin, urgent bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.known[string(id)], f.urgent = at, urgent
}

func (f *fakeOrigins) Find(_ context.Context, id []byte, _ string) (origin.Origin, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	at, known := f.known[string(id)]
	if !known || f.failing {
		return at, fault.New(fault.NotFound, "unknown")
	}
	return at, nil
}

func (f *fakeOrigins) of(id string) string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.known[id].Software
}

// runVersions tells the software versions of the upstreams, by their IDs.
func (b *relayTest) runVersions(versions map[string]string) {
	old := b.state.View()
	var list []*serving.Upstream
	for u := range old.Upstreams.All() {
		next := *u
		next.Software = versions[u.ID]
		list = append(list, &next)
	}
	v := &follow.View{Index: old.Index + 1, Routes: old.Routes, Forwarders: 1, Upstreams: follow.NewUpstreams(list...)}
	b.state.mu.Lock()
	b.state.view = v
	b.state.mu.Unlock()
	b.service.Update(v)
}

// breaksAfterTwo breaks off each stream that begins after two events, and goes on with others.
func breaksAfterTwo(_ int, r *received, c net.Conn) bool {
	if r.header.Get("X-Last") == "" {
		return events(c, r, 1, 2, false)
	}
	return events(c, r, 3, 4, true)
}

// takeUp sends a request that goes on with the stream of an earlier attempt.
func (c *caller) takeUp(id, resumes string) reply {
	head := "X-Last: 2\r\n"
	if resumes != "" {
		head += "X-Resumes: " + resumes + "\r\n"
	}
	c.send(strings.Replace(message("POST", "/stream/", id, "x"), "\r\n\r\n", "\r\n"+head+"\r\n", 1))
	return c.receive()
}

// Guards against an answer that is made of two software versions when the upstream that began it is the only
// one of its version.
func TestStreamIsBrokenOffRatherThanMixed(t *testing.T) {
	b := start(t, startUpstream(t, "a", breaksAfterTwo), startUpstream(t, "b", breaksAfterTwo))
	b.runVersions(map[string]string{"a": "v1", "b": "v2"})
	Expect(b.caller().call("POST", "/stream/", "1", "x").err).To(HaveOccurred())
	b.runVersions(map[string]string{"a": "v2", "b": "v2"})
	got := b.caller().call("POST", "/stream/", "2", "x")
	Expect(got.err).NotTo(HaveOccurred())
	Expect(got.body).To(Equal(event(1) + event(2) + event(3) + event(4)))
}

// Guards against a stream that goes on at another software version than the one that began it, or at an
// unknown one, when its caller takes it up.
func TestStreamThatIsTakenUpGoesOnAtTheVersionThatBeganIt(t *testing.T) {
	up := func(name string) *fakeUpstream { return startUpstream(t, name, breaksAfterTwo) }
	b := start(t, up("a"), up("b"), up("c"))
	b.runVersions(map[string]string{"a": "v1", "b": "v2", "c": "v2"})
	b.origins.Began([]byte("first"), origin.Origin{Service: "s", Software: "v1"}, false)
	for range 8 {
		got := b.caller().takeUp("again", "first")
		Expect(got.status).To(Equal(200))
		Expect(b.log.String()).NotTo(ContainSubstring("upstream=b"))
		Expect(got.body).To(Equal(event(3) + event(4)))
	}
	Expect(b.caller().takeUp("again", "unknown").status).To(Equal(503))
	Expect(b.caller().takeUp("again", "").status).To(Equal(503))
	b.origins.Began([]byte("moved"), origin.Origin{Service: "other", Software: "v1"}, false)
	Expect(b.caller().takeUp("again", "moved").status).To(Equal(503), "the route does not lead there")
	b.origins.Began([]byte("gone"), origin.Origin{Service: "s", Software: "v0"}, false)
	Expect(b.caller().takeUp("again", "gone").status).To(Equal(503), "no upstream runs it")
}

// Guards against a stream whose beginning nobody knows because it was not told before its first event.
func TestOriginIsToldWhenAStreamBegins(t *testing.T) {
	whole := func(_ int, r *received, c net.Conn) bool { return events(c, r, 1, 2, true) }
	b := start(t, startUpstream(t, "a", whole), startUpstream(t, "b", whole))
	b.runVersions(map[string]string{"a": "v1", "b": "v1"})
	Expect(b.caller().call("POST", "/stream/", "1", "x").status).To(Equal(200))
	Expect(b.origins.of("1")).To(Equal("v1"))
	Expect(b.origins.urgent).To(BeFalse())
	b.runVersions(map[string]string{"a": "v1", "b": "v2"})
	Expect(b.caller().call("POST", "/stream/", "2", "x").status).To(Equal(200))
	Expect(b.origins.of("2")).To(HavePrefix("v"))
	Expect(b.origins.urgent).To(BeTrue(), "several versions serve")
	Expect(b.caller().call("POST", "/brief/", "3", "x").status).To(Equal(200))
	Expect(b.origins.of("3")).To(BeEmpty(), "it may not be taken up")
}
