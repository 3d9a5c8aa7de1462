package relay_test

import (
	"fmt"
	"net"
	"testing"

	. "github.com/onsi/gomega"
)

// malformed returns an upstream that answers each request with a response to which line adds what is no
// valid head: %[1]s is the request's ID.
func malformed(t *testing.T, id, response string) *fakeUpstream {
	t.Helper()
	return startUpstream(t, id, func(_ int, r *received, c net.Conn) bool {
		_, err := fmt.Fprintf(c, response, r.header.Get("X-Id"))
		return err == nil
	})
}

// expectNotForwarded checks that a malformed response is no answer on any kind of route: the caller of a
// request that may run again gets that of another upstream, any other caller is told that the outcome is
// unknown. The upstream counts as failed and gets few of the next requests.
func expectNotForwarded(t *testing.T, response string) {
	t.Helper()
	t.Run(fmt.Sprintf("%.60q", response), func(t *testing.T) {
		for _, path := range []string{"/once/", "/stream/", "/open/", "/brief/"} {
			sick := malformed(t, "sick", response)
			r := start(t, sick).caller().call("POST", path, "1", "x")
			Expect(r.err).NotTo(HaveOccurred(), path)
			Expect(r.status).To(Equal(502), path)
			Expect(r.header).NotTo(HaveKey("X-Seal"), path)
			Expect(sick.requests()).To(HaveLen(1), path)
		}
		sick, sound := malformed(t, "sick", response), startUpstream(t, "sound", echo)
		b := start(t, sick, sound)
		for i := range malformedRequests {
			r := b.caller().call("GET", "/idem/", fmt.Sprint(i), "")
			Expect(r.err).NotTo(HaveOccurred())
			Expect(r.status).To(Equal(200))
			Expect(r.body).To(Equal("GET "))
		}
		Expect(len(sick.requests())).To(BeNumerically("<=", malformedRequests/4), "the upstream is avoided")
	})
}

// malformedRequests is how many requests come while one of two upstreams sends malformed responses.
const malformedRequests = 40

// Guards against a response with an invalid status that reaches the caller, and counts as a success of
// its upstream.
func TestInvalidStatusIsNoAnswer(t *testing.T) {
	for _, status := range []string{"000", "001", "099"} {
		expectNotForwarded(t, "HTTP/1.1 "+status+" X\r\nX-Id: %[1]s\r\nX-Seal: s\r\nContent-Length: 4\r\n\r\nsick")
		expectNotForwarded(t, "HTTP/1.1 "+status+"\r\nX-Id: %[1]s\r\nX-Seal: s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\nc\r\nid: 1\ndata: x\r\n2\r\n\n\n\r\n0\r\n\r\n")
		expectNotForwarded(t, "HTTP/1.1 "+status+" X\r\nX-Id: %[1]s\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n")
		expectNotForwarded(t, "HTTP/1.1 "+status+" X\r\nX-Id: other\r\nContent-Length: 0\r\n\r\nHTTP/1.1 200 OK\r\nX-Id: %[1]s\r\nX-Seal: s\r\nContent-Length: 4\r\n\r\nsick")
	}
}
