package sse_test

import (
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/comfreyladder/comfreyladder/core/fault"
	"github.com/comfreyladder/comfreyladder/instance/sse"
)

// scan takes a text in pieces of the given size, and returns the offset after the last complete event.
func scan(s *sse.Scanner, text string, size int) (end int, err error) {
	for at := 0; at < len(text); at += size {
		n, err := s.Scan([]byte(text[at:min(len(text), at+size)]))
		if n > 0 {
			end = at + n
		}
		if err != nil {
			return end, err
		}
	}
	return end, nil
}

// Guards against an end that is missed because it arrives in two pieces or with mixed line ends.
func TestEndsAreFoundInAnyPieces(t *testing.T) {
	g := NewWithT(t)
	for _, end := range []string{"\n\n", "\r\n\r\n", "\n\r\n", "\r\n\n"} {
		text := "id: 1\ndata: a" + end + ": c" + end + "data: b" + end
		for size := 1; size <= len(text); size++ {
			s := sse.NewScanner(100)
			found, err := scan(&s, text+"data: c\n", size)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(found).To(Equal(len(text)), "%q in pieces of %d", text, size)
			g.Expect(s.Unfinished()).To(Equal(len("data: c\n")))
			g.Expect(s.Blocks()).To(Equal(3))
		}
		g.Expect(sse.First([]byte(text))).To(Equal(len("id: 1\ndata: a" + end)))
	}
}

// Guards against an event, a line, comments or empty lines without an end.
func TestEventsAreBounded(t *testing.T) {
	g := NewWithT(t)
	for _, again := range []string{"x", "data: x\n", ":\n\n", "\n", "\r\n", "\r"} {
		s := sse.NewScanner(1000)
		end, err := scan(&s, "data: a\n\n"+strings.Repeat(again, 1001), 64)
		g.Expect(fault.CodeOf(err)).To(Equal(fault.TooLarge), "%q", again)
		g.Expect(end).To(BeNumerically(">=", len("data: a\n\n")))
	}
	s := sse.NewScanner(1 << 20)
	_, err := scan(&s, strings.Repeat(":\n\n", 20_000), 64)
	g.Expect(fault.CodeOf(err)).To(Equal(fault.TooLarge), "small comments cost more than the bytes of an event")
	s = sse.NewScanner(1000)
	_, err = scan(&s, strings.Repeat(":\n\ndata: "+strings.Repeat("x", 900)+"\n\n", 100), 64)
	g.Expect(err).NotTo(HaveOccurred())
}

// Guards against an event that is not bounded, or whose end depends on the pieces in which it arrives.
func FuzzScan(f *testing.F) {
	f.Add("id: 1\ndata: a\n\n: c\r\n\r\ndata: b\n\n", uint8(3))
	f.Add("\r\n\n\r\r\n:\n", uint8(1))
	f.Fuzz(func(t *testing.T, text string, size uint8) {
		const limit = 64
		whole, pieces := sse.NewScanner(limit), sse.NewScanner(limit)
		end, err := scan(&whole, text, max(1, len(text)))
		end2, err2 := scan(&pieces, text, 1+int(size%16))
		if end != end2 || (err == nil) != (err2 == nil) {
			t.Fatalf("%d, %v as one piece, %d, %v in several", end, err, end2, err2)
		}
		if err == nil && (whole.Unfinished() > limit || len(text)-end > limit) {
			t.Fatalf("%d bytes unfinished", whole.Unfinished())
		}
	})
}
