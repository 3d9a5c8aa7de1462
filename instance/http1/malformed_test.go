package http1_test

import (
	"bufio"
	"io"
	"strings"
	"syscall"
	"testing"

	. "github.com/onsi/gomega"
	"github.com/pkg/errors"

	"github.com/comfreyladder/comfreyladder/core/fault"
	"github.com/comfreyladder/comfreyladder/instance/http1"
)

func readResponse(text string) (*http1.Head, error) {
	h := &http1.Head{}
	return h, h.ReadResponse(bufio.NewReader(strings.NewReader(text)), limit, "GET")
}

// Guards against a response that is forwarded although its status line is none.
func TestInvalidStatusIsRejected(t *testing.T) {
	for _, line := range []string{"HTTP/1.1 000 X", "HTTP/1.1 001 X", "HTTP/1.1 099 X", "HTTP/1.1 000", "HTTP/1.0 000 X", "HTTP/1.1 -10 X", "HTTP/1.1 20 OK", "HTTP/1.1 2000 OK", "HTTP/1.1 200OK", "HTTP/1.1 200\tOK", "HTTP/1.1 200 O\x00K", "HTTP/1.1 200 O\rK", "HTTP/1.1 200 \x1b[1m"} {
		_, err := readResponse(line + "\r\nContent-Length: 0\r\n\r\n")
		if fault.CodeOf(err) != fault.Invalid {
			t.Errorf("%q: %v", line, err)
		}
	}
	for line, status := range map[string]int{"HTTP/1.1 100 X": 100, "HTTP/1.1 200": 200, "HTTP/1.1 200 ": 200, "HTTP/1.1 200 O\tK \u00e9": 200, "HTTP/1.1 599 X": 599} {
		h, err := readResponse(line + "\r\nContent-Length: 0\r\n\r\n")
		NewWithT(t).Expect(err).NotTo(HaveOccurred(), line)
		NewWithT(t).Expect(h.Status).To(Equal(status))
	}
}

// resettingReader returns the given bytes, then reports once that the connection was reset, and the end of the
// input after that, as the kernel does.
type resettingReader struct {
	left  int
	reset bool
}

func (r *resettingReader) Read(p []byte) (int, error) {
	switch {
	case r.left > 0:
		n := min(len(p), r.left)
		r.left -= n
		return n, nil
	case !r.reset:
		r.reset = true
		return 0, syscall.ECONNRESET
	}
	return 0, io.EOF
}

// Guards against a body that is taken for complete as the error which ended it was lost between two limits.
func TestResetBodyStaysIncomplete(t *testing.T) {
	g := NewWithT(t)
	const size, capacity = 100 << 10, 128 << 10
	var b http1.Body
	b.Reset(bufio.NewReader(&resettingReader{left: size}), &http1.Head{Framing: http1.ByClose})
	buf, err := make([]byte, 0, capacity), error(http1.ErrBodyTooLarge)
	for limit := int64(16 << 10); errors.Is(err, http1.ErrBodyTooLarge); limit += 16 << 10 {
		buf, err = b.ReadAll(buf, limit)
	}
	g.Expect(err).To(MatchError(syscall.ECONNRESET))
	g.Expect(buf).To(HaveLen(size))
	for range 2 {
		_, err = b.Read(make([]byte, 1))
		g.Expect(err).To(MatchError(syscall.ECONNRESET))
	}
	g.Expect(b.Complete()).To(BeFalse())
}
