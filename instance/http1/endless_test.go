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

// bufferSize is the size of the read buffer in these tests, and the most that a reader takes ahead.
const bufferSize = 4 << 10

// endlessReader returns a text and then another one without end, and counts the bytes.
type endlessReader struct {
	first, again string
	n            int
	at           string
}

func (r *endlessReader) Read(p []byte) (int, error) {
	if r.at == "" {
		if r.at = r.again; r.n == 0 {
			r.at = r.first
		}
	}
	n := copy(p, r.at)
	r.at, r.n = r.at[n:], r.n+n
	return n, nil
}

// Guards against a head, or the framing of a body, that is read without end.
func TestReadingWithoutEndFails(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
	for _, c := range []struct {
		first, again string
		most         int
	}{
		{"\r\n", "\r\n", limit}, {"HTTP/1.1 200 OK", "a", limit}, {"HTTP/1.1 200 OK\r\n", "a: b\r\n", limit}, {"x", "x", limit},
		{head + "1;", "a", bufferSize}, {head + "1;" + strings.Repeat("a", 200) + "\r\nx\r\n", "1;" + strings.Repeat("a", 200) + "\r\nx\r\n", 24 << 10},
		{head + "0\r\n", "a: b\r\n", 2 * bufferSize}, {head + "0\r\n", "a", bufferSize},
	} {
		g := NewWithT(t)
		from := &endlessReader{first: c.first, again: c.again}
		r := bufio.NewReaderSize(from, bufferSize)
		h := &http1.Head{}
		err := h.ReadResponse(r, limit, "GET")
		if err == nil {
			var b http1.Body
			b.Reset(r, h)
			_, err = b.ReadAll(nil, 1<<20)
		}
		g.Expect(fault.CodeOf(err)).To(Or(Equal(fault.TooLarge), Equal(fault.Invalid)), "%.40q", c.again)
		g.Expect(from.n).To(BeNumerically("<=", c.most+len(c.first)+2*bufferSize), "%.40q", c.again)
	}
}

// Guards against a body that is complete only with its trailers, and against trailers that are ignored in
// a request, where they may hide another one.
func TestBodyOfAResponseIsCompleteBeforeItsTrailers(t *testing.T) {
	for _, trailers := range []string{"", "a", "a: b\r\n", "\n", "a\x00"} {
		for _, watched := range []bool{true, false} {
			g := NewWithT(t)
			h := &http1.Head{}
			r := bufio.NewReader(strings.NewReader("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\na\r\n1\r\nb\r\n0\r\n" + trailers))
			g.Expect(h.ReadResponse(r, limit, "GET")).To(Succeed())
			var b http1.Body
			b.Reset(r, h)
			var waits []http1.Wait
			if watched {
				b.OnWait(func(w http1.Wait) { waits = append(waits, w) })
			}
			body, err := b.ReadAll(nil, limit)
			g.Expect(string(body)).To(Equal("ab"))
			g.Expect(b.Complete()).To(Equal(watched), "%q", trailers)
			g.Expect(err == nil).To(Equal(watched))
			g.Expect(b.Tainted()).To(Equal(watched))
			if watched {
				g.Expect(waits).To(Equal([]http1.Wait{http1.ForTrailers}))
			}
		}
	}
}

// pieceReader returns a text in pieces.
type pieceReader struct {
	text string
	size int
	n    int
}

func (r *pieceReader) Read(p []byte) (int, error) {
	if r.n == len(r.text) {
		return 0, io.EOF
	}
	n := copy(p, r.text[r.n:min(len(r.text), r.n+r.size)])
	r.n += n
	return n, nil
}

// Guards against heads and chunks that take more memory than their limits, and against a body that depends
// on the pieces in which it arrives.
func FuzzReadResponse(f *testing.F) {
	f.Add("HTTP/1.1 100 X\r\n\r\nHTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3;a\r\nabc\r\n1\r\na\r\n0\r\nT: u\r\n\r\n", uint8(1))
	f.Add("\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabc", uint8(3))
	f.Fuzz(func(t *testing.T, text string, size uint8) {
		whole, wholeErr := readAnswer(t, text, bufferSize)
		pieces, piecesErr := readAnswer(t, text, 1+int(size))
		if (wholeErr == nil) != (piecesErr == nil) || wholeErr == nil && whole != pieces {
			t.Fatalf("%q, %v at once, %q, %v in pieces of %d", whole, wholeErr, pieces, piecesErr, 1+int(size))
		}
	})
}

// readAnswer reads responses up to the first that is not interim, and returns the body of that.
func readAnswer(t *testing.T, text string, size int) (string, error) {
	from := &pieceReader{text: text, size: size}
	r := bufio.NewReaderSize(from, bufferSize)
	h := &http1.Head{}
	for h.Status/100 < 2 {
		before := from.n - r.Buffered()
		err := h.ReadResponse(r, limit, "GET")
		if taken := from.n - r.Buffered() - before; taken > limit+bufferSize || h.Size() > limit+bufferSize || h.Size() < taken-bufferSize {
			t.Fatalf("a head of %d bytes, %d taken", h.Size(), taken)
		}
		if err != nil {
			return "", err
		}
	}
	var b http1.Body
	b.Reset(r, h)
	b.OnWait(func(http1.Wait) {})
	before := from.n - r.Buffered()
	body, err := b.ReadAll(nil, limit)
	// Each byte of a body may come with 16 bytes between chunks, and 16 KiB besides.
	if taken := from.n - r.Buffered() - before; len(body) > limit+bufferSize || taken > 20*len(body)+32<<10 {
		t.Fatalf("a body of %d bytes, %d taken", len(body), taken)
	}
	return string(body), err
}
