package eventlog_test

import (
	"bytes"
	"io"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/comfreyladder/comfreyladder/instance/eventlog"
)

type buffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (b *buffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.b.Write(p)
}

func (b *buffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.b.String()
}

func TestLinesAreKeyValuePairs(t *testing.T) {
	g := NewWithT(t)
	out := &buffer{}
	s := eventlog.New(out, nil)
	s.Event("request_done").Str("request", "a").Str("caller", "x y\nz").Int("status", 200).MS("took", 1500*time.Millisecond).End()
	s.Close(time.Second)
	g.Expect(out.String()).To(MatchRegexp(`^time=\S+ event=request_done request=a caller="x y\\nz" status=200 took=1500\n$`))
}

// A burst of requests writes more lines than anybody reads. The excess of each kind
// is dropped and told, and the kinds that are rare come through.
func TestRatesBoundEachKind(t *testing.T) {
	g := NewWithT(t)
	out := &buffer{}
	s := eventlog.New(out, map[string]int{"a": 3})
	for range 100 {
		s.Event("a").End()
	}
	s.Event("b").End()
	time.Sleep(1100 * time.Millisecond)
	s.Event("b").End()
	s.Close(time.Second)
	g.Expect(strings.Count(out.String(), "event=a")).To(BeNumerically("<=", 6))
	g.Expect(strings.Count(out.String(), "event=b")).To(Equal(2))
	g.Expect(out.String()).To(MatchRegexp(`event=log_dropped kind=a lines=9\d`))
}

// Nobody reads the pipe that the log goes to. Requests must go on as if nothing
// were: a line is dropped, and its writer is never made to wait.
func TestBlockedWriterDoesNotBlockTheCallers(t *testing.T) {
	r, w := io.Pipe()
	defer func() { _ = r.Close() }()
	s := eventlog.New(w, map[string]int{"a": 1 << 30})
	begun := time.Now()
	for range 20000 {
		s.Event("a").Str("k", "0123456789").End()
	}
	if d := time.Since(begun); d > 2*time.Second {
		t.Fatalf("20,000 lines took %v while nobody read", d)
	}
	s.Close(10 * time.Millisecond)
}

// The reader of the pipe is gone. Writes fail, and the process lives on.
func TestClosedWriterIsHarmless(t *testing.T) {
	r, w := io.Pipe()
	_ = r.Close()
	s := eventlog.New(w, nil)
	s.Event("a").End()
	s.Close(time.Second)
}

// slow takes its time for each write, as a collector that is behind does.
type slow struct{ buffer }

func (s *slow) Write(p []byte) (int, error) {
	time.Sleep(50 * time.Millisecond)
	return s.buffer.Write(p)
}

// The reader of the pipe is slower than the lines come. Callers don't notice; what
// did not fit is told, and the lines that come through are whole.
func TestSlowWriterDoesNotBlockTheCallers(t *testing.T) {
	g := NewWithT(t)
	out := &slow{}
	s := eventlog.New(out, map[string]int{"a": 1 << 30})
	begun := time.Now()
	for range 20000 {
		s.Event("a").Str("k", "0123456789").End()
	}
	g.Expect(time.Since(begun)).To(BeNumerically("<", 2*time.Second))
	time.Sleep(1200 * time.Millisecond)
	s.Event("b").End()
	s.Close(2 * time.Second)
	text := out.String()
	g.Expect(text).To(ContainSubstring("event=log_dropped kind=any"))
	for _, line := range strings.Split(strings.TrimSuffix(text, "\n"), "\n") {
		g.Expect(line).To(MatchRegexp(`^time=\S+ event=(a k=0123456789|b|log_dropped kind=any lines=\d+)$`))
	}
}
