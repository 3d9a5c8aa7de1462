package relay_test

import (
	"fmt"
	"io"
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

// Guards against a status line that is more, or something else, than a status and a reason, and against control
// bytes that reach the caller in the reason.
func TestInvalidStatusLineIsNoAnswer(t *testing.T) {
	for _, line := range []string{"HTTP/1.1 2000 OK", "HTTP/1.1 200OK", "HTTP/1.1 200\tOK", "HTTP/1.1 200 O\x00K", "HTTP/1.1 200 O\rK"} {
		expectNotForwarded(t, line+"\r\nX-Id: %[1]s\r\nX-Seal: s\r\nContent-Length: 4\r\n\r\nsick")
	}
}

// invalidFields are header lines that no recipient may take for fields.
var invalidFields = []string{
	"A B: c", "A : c", " A: c", "A\tB: c", "A\t: c", "\tA: c", "A\x01B: c", "A\x00: c", "A\x7f: c", "A\u00e9: c", "A: b\r\n c", "A: b\r\n\tc",
	": c", "A", "A: b\rC: d", "A: b\x00", "A: b\nC: d", "Content-Length : 2", "Transfer-Encoding : chunked", "X-Seal : s", "Content-Length\x01: 2",
}

// Guards against a response that reaches the caller with a line that is no field, or with another body than the
// upstream's as such a line was taken for one; also if the line stands in an interim response, or in a late
// response to another request.
func TestInvalidFieldIsNoAnswer(t *testing.T) {
	const id, body = "X-Id: %[1]s\r\nX-Seal: s\r\n", "Content-Length: 4\r\n\r\nsick"
	for _, line := range invalidFields {
		expectNotForwarded(t, "HTTP/1.1 200 OK\r\n"+line+"\r\n"+id+body)
		expectNotForwarded(t, "HTTP/1.1 200 OK\r\n"+id+line+"\r\n"+body)
		expectNotForwarded(t, "HTTP/1.1 103 X\r\n"+line+"\r\n\r\nHTTP/1.1 200 OK\r\n"+id+body)
		expectNotForwarded(t, "HTTP/1.1 503 X\r\n"+id+"X-Not-Run: 1\r\n"+line+"\r\n"+body)
		expectNotForwarded(t, "HTTP/1.1 200 OK\r\nX-Id: other\r\n"+line+"\r\n"+body+"HTTP/1.1 200 OK\r\n"+id+body)
	}
}

// Guards against trailers that reach the caller, or change the body, of a response that is whole.
func TestInvalidTrailerIsNotForwarded(t *testing.T) {
	for _, line := range invalidFields {
		t.Run(fmt.Sprintf("%q", line), func(t *testing.T) {
			trailers := "0\r\n" + line + "\r\n\r\n"
			up := startUpstream(t, "u", func(_ int, r *received, c net.Conn) bool {
				text := streamHead(r) + chunk(event(1)) + trailers
				if r.method == "GET" {
					text = answerHead(r) + chunk("whole") + trailers
				}
				_, err := io.WriteString(c, text)
				return err == nil
			})
			b := start(t, up)
			for range 3 {
				plain, streamed := b.caller().call("GET", "/open/", "1", ""), b.caller().call("POST", "/stream/", "2", "x")
				for _, r := range []reply{plain, streamed} {
					Expect(r.err).NotTo(HaveOccurred())
					Expect(r.status).To(Equal(200))
					Expect(r.header).To(HaveLen(3), "the ID, the seal, and what frames or describes the body")
				}
				Expect(plain.body).To(Equal("whole"))
				Expect(streamed.body).To(Equal(event(1)))
			}
		})
	}
}

// Guards against a stream that goes on with a malformed response, after the upstream that began it broke off.
func TestStreamDoesNotGoOnWithAMalformedResponse(t *testing.T) {
	for _, head := range []string{"HTTP/1.1 000 X\r\n", "HTTP/1.1 200 OK\r\nA B: c\r\n", "HTTP/1.1 200 OK\r\nA\x01: c\r\n"} {
		t.Run(fmt.Sprintf("%q", head), func(t *testing.T) {
			script := func(_ int, r *received, c net.Conn) bool {
				if r.header.Get("X-Last") == "" {
					return events(c, r, 1, 2, false)
				}
				text := head + streamHead(r)[len("HTTP/1.1 200 OK\r\n"):] + chunk(event(3)) + "0\r\n\r\n"
				_, err := io.WriteString(c, text)
				return err == nil
			}
			one, other := startUpstream(t, "one", script), startUpstream(t, "other", script)
			r := start(t, one, other).caller().call("POST", "/stream/", "1", "x")
			Expect(r.err).To(HaveOccurred(), "the stream looks broken")
			Expect(r.body).To(Equal(event(1) + event(2)))
			Expect(len(one.requests()) + len(other.requests())).To(Equal(2))
		})
	}
}

// cutHeads are parts of a response's head, after which its upstream closes the connection. %[1]s is the request's ID.
var cutHeads = []string{
	"", "H", "HTTP/1.1 200", "HTTP/1.1 200 OK\r\n", "HTTP/1.1 200 OK\r\nX-Id: %[1]s\r\nX-Se", "HTTP/1.1 200 OK\r\nX-Id: %[1]s\r\nX-Seal: s",
	"HTTP/1.1 200 OK\r\nX-Id: %[1]s\r\nX-Seal: s\r\n", "HTTP/1.1 200 OK\r\nX-Id: %[1]s\r\nX-Seal: s\r\n\r",
	"HTTP/1.1 200 OK\r\nX-Id: %[1]s\r\nX-Seal: s\r\nContent-Length: 0\r\n", "HTTP/1.1 200 OK\r\nX-Id: %[1]s\r\nX-Seal: s\r\nContent-Length: 4\r\n",
	"HTTP/1.1 200 OK\r\nX-Id: %[1]s\r\nX-Seal: s\r\nTransfer-Encoding: chunked\r\n",
	"HTTP/1.1 200 OK\r\nX-Id: %[1]s\r\nX-Seal: s\r\nContent-Type: text/event-stream\r\n",
	"HTTP/1.1 103 X\r\nA: b\r\n\r\n", "HTTP/1.1 103 X\r\n\r\nHTTP/1.1 200 OK\r\nX-Id: %[1]s\r\nX-Seal: s\r\n",
	"HTTP/1.1 503 X\r\nX-Id: %[1]s\r\nX-Not-Run: 1\r\n",
}

// cuts returns an upstream that closes or resets the connection inside the head of each response.
func cuts(t *testing.T, id, head string, reset bool) *fakeUpstream {
	t.Helper()
	return startUpstream(t, id, func(_ int, r *received, c net.Conn) bool {
		_, _ = fmt.Fprintf(c, head+"%[2]s", r.header.Get("X-Id"), "")
		if reset {
			_ = c.(*net.TCPConn).SetLinger(0)
		}
		return false
	})
}

// Guards against an answer that is framed as whole though its upstream closed the connection inside the head, on any
// kind of route, and against a proof that the request did not run in such a head.
func TestCutHeadIsNoAnswer(t *testing.T) {
	for _, head := range cutHeads {
		for _, reset := range []bool{false, true} {
			t.Run(fmt.Sprintf("%q, reset %v", head, reset), func(t *testing.T) {
				for _, path := range []string{"/once/", "/stream/", "/open/", "/brief/"} {
					sick := cuts(t, "sick", head, reset)
					r := start(t, sick).caller().call("POST", path, "1", "x")
					Expect(r.err).NotTo(HaveOccurred(), path)
					Expect(r.status).To(BeElementOf(502, 503), path)
					Expect(r.header).NotTo(HaveKey("X-Seal"), path)
				}
				sick, sound := cuts(t, "sick", head, reset), startUpstream(t, "sound", echo)
				b := start(t, sick, sound)
				for i := range 10 {
					r := b.caller().call("GET", "/idem/", fmt.Sprint(i), "")
					Expect(r.err).NotTo(HaveOccurred())
					Expect([]any{r.status, r.body}).To(Equal([]any{200, "GET "}))
				}
			})
		}
	}
}

// Guards against a stream that ends properly, or goes on with the next response, after the upstream that was to go on
// with it closed the connection inside the head.
func TestStreamDoesNotEndWithACutHead(t *testing.T) {
	for _, head := range cutHeads {
		t.Run(fmt.Sprintf("%q", head), func(t *testing.T) {
			script := func(_ int, r *received, c net.Conn) bool {
				if r.header.Get("X-Last") == "" {
					return events(c, r, 1, 2, false)
				}
				_, _ = fmt.Fprintf(c, head+"%[2]s", r.header.Get("X-Id"), "")
				return false
			}
			r := start(t, startUpstream(t, "one", script), startUpstream(t, "other", script)).caller().call("POST", "/stream/", "1", "x")
			Expect(r.err).To(HaveOccurred(), "the stream looks broken")
			Expect(r.body).To(Equal(event(1) + event(2)))
		})
	}
}
