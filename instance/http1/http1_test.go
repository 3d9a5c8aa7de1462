package http1_test

import (
	"bufio"
	"io"
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/comfreyladder/comfreyladder/core/fault"
	"github.com/comfreyladder/comfreyladder/instance/http1"
)

const limit = 1024

func readRequest(text string) (*http1.Head, *bufio.Reader, error) {
	h := &http1.Head{}
	r := bufio.NewReader(strings.NewReader(text))
	return h, r, h.ReadRequest(r, limit)
}

func TestRequestHeadIsUnchanged(t *testing.T) {
	g := NewWithT(t)
	h, r, err := readRequest("\r\nPOST /a/b%20?c HTTP/1.1\r\nHost: x\r\nKey:  k \r\nContent-Length: 3\r\n\r\nabcGET")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(string(h.Method) + " " + string(h.Target)).To(Equal("POST /a/b%20?c"))
	g.Expect(string(h.Get("key"))).To(Equal("k"))
	var b http1.Body
	b.Reset(r, h)
	body, err := b.ReadAll(nil, limit)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(string(body)).To(Equal("abc"))
}

// Guards against request smuggling: a body framed so that the forwarder and the upstream see
// different ends hides a second request, which the upstream would run although no caller sent it
// under its own name.
func TestAmbiguousRequestsAreRejected(t *testing.T) {
	for _, head := range []string{
		"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n",
		"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\nContent-Length: 3\r\n\r\n",
		"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: +3\r\n\r\n",
		"POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: xchunked\r\n\r\n",
		"POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n",
		"POST / HTTP/1.0\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n",
		"POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding : chunked\r\n\r\n",
		"POST / HTTP/1.1\r\nHost: x\r\nA: b\r\n c\r\n\r\n",
		"POST / HTTP/1.1\r\nHost: x\nContent-Length: 3\r\n\r\n",
		"POST / HTTP/1.1\r\nHost: x\r\nA: b\rC: d\r\n\r\n",
		"GET http://y/ HTTP/1.1\r\nHost: x\r\n\r\n",
		"GET / HTTP/1.1\r\nHost: x\r\nHost: y\r\n\r\n",
		"GET / HTTP/1.1\r\n\r\n",
		"GET / HTTP/2.0\r\nHost: x\r\n\r\n",
		"GET /a b HTTP/1.1\r\nHost: x\r\n\r\n",
	} {
		_, _, err := readRequest(head)
		if fault.CodeOf(err) != fault.Invalid {
			t.Errorf("%q: %v", head, err)
		}
	}
}

func TestLargeHeadIsRejected(t *testing.T) {
	g := NewWithT(t)
	_, _, err := readRequest("GET / HTTP/1.1\r\nHost: x\r\nA: " + strings.Repeat("a", limit) + "\r\n\r\n")
	g.Expect(err).To(MatchError(http1.ErrHeadTooLarge))
}

func TestChunkedBody(t *testing.T) {
	g := NewWithT(t)
	h, r, err := readRequest("POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n3;x=y\r\nabc\r\nA\r\n0123456789\r\n0\r\nT: u\r\n\r\nrest")
	g.Expect(err).NotTo(HaveOccurred())
	var b http1.Body
	b.Reset(r, h)
	body, err := b.ReadAll(nil, limit)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(string(body)).To(Equal("abc0123456789"))
	rest, _ := io.ReadAll(r)
	g.Expect(string(rest)).To(Equal("rest"))
}

// Guards against an incomplete body that is taken for a complete one after an upstream crashes in
// the middle of a response, whatever the framing.
func TestTruncatedBodyIsNotComplete(t *testing.T) {
	for _, response := range []string{
		"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nabc",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n9\r\nabc",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n",
	} {
		g := NewWithT(t)
		h := &http1.Head{}
		r := bufio.NewReader(strings.NewReader(response))
		g.Expect(h.ReadResponse(r, limit, "POST")).To(Succeed())
		var b http1.Body
		b.Reset(r, h)
		_, err := b.ReadAll(nil, limit)
		g.Expect(err).To(MatchError(io.ErrUnexpectedEOF), response)
		g.Expect(b.Complete()).To(BeFalse())
	}
}

func TestResponseWithoutLengthEndsWithTheConnection(t *testing.T) {
	g := NewWithT(t)
	h := &http1.Head{}
	r := bufio.NewReader(strings.NewReader("HTTP/1.1 200 OK\r\n\r\nabc"))
	g.Expect(h.ReadResponse(r, limit, "POST")).To(Succeed())
	g.Expect(h.Framing).To(Equal(http1.ByClose))
	g.Expect(h.Close).To(BeTrue())
	var b http1.Body
	b.Reset(r, h)
	body, err := b.ReadAll(nil, limit)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(string(body)).To(Equal("abc"))
}

func FuzzReadRequest(f *testing.F) {
	f.Add("GET / HTTP/1.1\r\nHost: x\r\n\r\n")
	f.Add("POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n")
	f.Fuzz(func(_ *testing.T, text string) {
		h, r, err := readRequest(text)
		if err != nil {
			return
		}
		var b http1.Body
		b.Reset(r, h)
		_, _ = b.ReadAll(nil, limit)
	})
}

// Guards against a head that is taken for whole because the upstream closed the connection inside it.
func TestCutHeadIsNoResponse(t *testing.T) {
	for _, head := range []string{
		"HTTP/1.1 200 OK\r\nX-Id: a\r\nContent-Length: 0\r\n\r\n", "HTTP/1.0 200\r\n\r\n", "HTTP/1.1 204 X\r\nA:\r\n\r\n",
		"HTTP/1.1 103 X\r\nA: b\r\n\r\nHTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
	} {
		for n := range len(head) {
			g := NewWithT(t)
			h := &http1.Head{}
			err := h.ReadFinalResponse(bufio.NewReader(strings.NewReader(head[:n])), limit, "POST")
			g.Expect(err).To(Or(MatchError(io.ErrUnexpectedEOF), MatchError(io.EOF)), "%q", head[:n])
		}
		g := NewWithT(t)
		h := &http1.Head{}
		g.Expect(h.ReadFinalResponse(bufio.NewReader(strings.NewReader(head)), limit, "POST")).To(Succeed(), "%q", head)
	}
}
