package http1_test

import (
	"bufio"
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/comfreyladder/comfreyladder/core/fault"
	"github.com/comfreyladder/comfreyladder/instance/http1"
)

func readResponse(text string) (*http1.Head, error) {
	h := &http1.Head{}
	return h, h.ReadResponse(bufio.NewReader(strings.NewReader(text)), limit, "GET")
}

// Guards against a response that is forwarded although its status line is none.
func TestInvalidStatusIsRejected(t *testing.T) {
	for _, line := range []string{"HTTP/1.1 000 X", "HTTP/1.1 001 X", "HTTP/1.1 099 X", "HTTP/1.1 000", "HTTP/1.0 000 X", "HTTP/1.1 -10 X", "HTTP/1.1 20 OK"} {
		_, err := readResponse(line + "\r\nContent-Length: 0\r\n\r\n")
		if fault.CodeOf(err) != fault.Invalid {
			t.Errorf("%q: %v", line, err)
		}
	}
	for line, status := range map[string]int{"HTTP/1.1 100 X": 100, "HTTP/1.1 200": 200, "HTTP/1.1 200 ": 200, "HTTP/1.1 599 X": 599} {
		h, err := readResponse(line + "\r\nContent-Length: 0\r\n\r\n")
		NewWithT(t).Expect(err).NotTo(HaveOccurred(), line)
		NewWithT(t).Expect(h.Status).To(Equal(status))
	}
}
