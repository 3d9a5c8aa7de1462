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

type lockedBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (b *lockedBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.b.Write(p)
}

func (b *lockedBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.b.String()
}

func TestLinesAreKeyValuePairs(t *testing.T) {
	g := NewWithT(t)
	out := &lockedBuffer{}
	s := eventlog.New(out, nil)
	s.Event("request_done").Str("request", "a").Str("caller", "x y\nz").Int("status", 200).MS("took", 1500*time.Millisecond).End()
	s.Close(time.Second)
	g.Expect(out.String()).To(MatchRegexp(`^time=\S+ event=request_done request=a caller="x y\\nz" status=200 took=1500\n$`))
}

// Guards against a frequent kind of line crowding out rare ones: the lines beyond the rate limit
// of a kind are dropped and counted, and lines of other kinds are written.
func TestRatesBoundEachKind(t *testing.T) {
	g := NewWithT(t)
	out := &lockedBuffer{}
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

// Guards against requests that block because nobody reads the pipe to which the log is written:
// lines are dropped instead.
func TestBlockedWriterDoesNotBlockTheCallers(t *testing.T) {
	r, w := io.Pipe()
	defer func() { _ = r.Close() }()
	s := eventlog.New(w, map[string]int{"a": 1 << 30})
	start := time.Now()
	for range 20000 {
		s.Event("a").Str("k", "0123456789").End()
	}
	if d := time.Since(start); d > 2*time.Second {
		t.Fatalf("20,000 lines took %v while nobody read", d)
	}
	s.Close(10 * time.Millisecond)
}

// Guards against a crash when the reader of the pipe has closed it and writes fail.
func TestClosedWriterIsHarmless(t *testing.T) {
	r, w := io.Pipe()
	_ = r.Close()
	s := eventlog.New(w, nil)
	s.Event("a").End()
	s.Close(time.Second)
}

// slowWriter delays each write, like a log collector that cannot keep up.
type slowWriter struct{ lockedBuffer }

func (s *slowWriter) Write(p []byte) (int, error) {
	time.Sleep(50 * time.Millisecond)
	return s.lockedBuffer.Write(p)
}

// Guards against callers that block, and against partial lines, when lines are logged faster than
// they are read: lines that do not fit are dropped and counted, and the others are complete.
func TestSlowWriterDoesNotBlockTheCallers(t *testing.T) {
	g := NewWithT(t)
	out := &slowWriter{}
	s := eventlog.New(out, map[string]int{"a": 1 << 30})
	start := time.Now()
	for range 20000 {
		s.Event("a").Str("k", "0123456789").End()
	}
	g.Expect(time.Since(start)).To(BeNumerically("<", 2*time.Second))
	time.Sleep(1200 * time.Millisecond)
	s.Event("b").End()
	s.Close(2 * time.Second)
	text := out.String()
	g.Expect(text).To(ContainSubstring("event=log_dropped kind=any"))
	for _, line := range strings.Split(strings.TrimSuffix(text, "\n"), "\n") {
		g.Expect(line).To(MatchRegexp(`^time=\S+ event=(a k=0123456789|b|log_dropped kind=any lines=\d+)$`))
	}
}
