// Package eventlog writes key=value lines to a file that may be slow, full or
// unread: lines are gathered in a bounded buffer and written by a goroutine of
// their own, so that no request ever waits for the log. What does not fit, or
// exceeds the rate of its kind, is counted and told.
package eventlog

import (
	"context"
	"io"
	"strconv"
	"sync"
	"time"

	"github.com/comfreyladder/comfreyladder/instance/clock"
)

// Defaults of a Sink.
const (
	// DefaultBuffer bounds the bytes that wait for the writer.
	DefaultBuffer = 128 << 10
	// DefaultRate is how many lines a second one kind may write.
	DefaultRate = 40
	// flushEvery gathers lines into one write: each write costs a system call and a
	// wake-up.
	flushEvery = 200 * time.Millisecond
)

// Sink is the bounded writer. It is safe for concurrent use.
type Sink struct {
	out    io.Writer
	rates  map[string]int
	cancel context.CancelFunc
	done   chan struct{}

	mu      sync.Mutex
	buf     []byte
	spare   []byte
	kinds   map[string]*kind
	second  int64
	lost    int
	closed  bool
	pending chan struct{}
}

// kind counts the lines of one kind within a second.
type kind struct{ written, dropped int }

// New returns a sink that writes to out. rates gives the lines a second by kind
// where they differ from DefaultRate.
func New(out io.Writer, rates map[string]int) *Sink {
	ctx, cancel := context.WithCancel(context.Background())
	s := &Sink{out: out, rates: rates, cancel: cancel, done: make(chan struct{}), kinds: map[string]*kind{}, pending: make(chan struct{}, 1)}
	go s.run(ctx)
	return s
}

// Close writes what waits, for at most the given time, and ends the goroutine. A
// writer that blocks for longer is left behind.
func (s *Sink) Close(limit time.Duration) {
	s.mu.Lock()
	s.closed = true
	s.mu.Unlock()
	s.cancel()
	select {
	case <-s.done:
	case <-time.After(limit):
	}
}

func (s *Sink) run(ctx context.Context) {
	defer close(s.done)
	for {
		select {
		case <-s.pending:
			clock.Sleep(ctx, flushEvery)
			s.flush()
		case <-ctx.Done():
			s.flush()
			return
		}
	}
}

func (s *Sink) flush() {
	s.mu.Lock()
	out := s.buf
	s.buf = s.spare[:0]
	s.spare = nil
	s.mu.Unlock()
	// A failed write has nowhere to be told; the lines are lost.
	_, _ = s.out.Write(out)
	s.mu.Lock()
	s.spare = out
	s.mu.Unlock()
}

// Write implements io.Writer for one whole line of no kind.
func (s *Sink) Write(line []byte) (int, error) {
	s.append("other", line)
	return len(line), nil
}

func (s *Sink) append(name string, line []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return
	}
	s.newSecond(time.Now().Unix())
	k := s.kinds[name]
	if k == nil {
		k = &kind{}
		s.kinds[name] = k
	}
	rate, ok := s.rates[name]
	if !ok {
		rate = DefaultRate
	}
	if k.written >= rate {
		k.dropped++
		return
	}
	k.written++
	s.put(line)
}

func (s *Sink) put(line []byte) {
	if len(s.buf)+len(line) > DefaultBuffer {
		s.lost++
		return
	}
	s.buf = append(s.buf, line...)
	select {
	case s.pending <- struct{}{}:
	default:
	}
}

// newSecond begins to count anew, and tells what was dropped in the second before.
func (s *Sink) newSecond(now int64) {
	if now == s.second {
		return
	}
	s.second = now
	for name, k := range s.kinds {
		if k.dropped > 0 {
			s.put(droppedLine(now, name, k.dropped))
		}
		*k = kind{}
	}
	if s.lost > 0 {
		lost := s.lost
		s.lost = 0
		s.put(droppedLine(now, "any", lost))
	}
}

func droppedLine(now int64, name string, count int) []byte {
	l := Line{b: appendHead(nil, time.Unix(now, 0), "log_dropped")}
	l.Str("kind", name).Int("lines", int64(count))
	return append(l.b, '\n')
}

// Line is one line under way.
type Line struct {
	sink *Sink
	kind string
	b    []byte
}

var lines = sync.Pool{New: func() any { return &Line{b: make([]byte, 0, 512)} }}

// Event begins a line of a kind; End writes it. A nil sink writes nothing.
func (s *Sink) Event(kind string) *Line {
	if s == nil {
		return nil
	}
	l := lines.Get().(*Line)
	l.sink, l.kind = s, kind
	l.b = appendHead(l.b[:0], time.Now(), kind)
	return l
}

func appendHead(b []byte, at time.Time, kind string) []byte {
	b = append(b, "time="...)
	b = at.UTC().AppendFormat(b, "2006-01-02T15:04:05.000Z")
	b = append(b, " event="...)
	return append(b, kind...)
}

// Str adds a pair. A value that would break the line or the pair is quoted.
func (l *Line) Str(key, value string) *Line {
	if l == nil {
		return nil
	}
	l.b = append(append(append(l.b, ' '), key...), '=')
	if plain(value) {
		l.b = append(l.b, value...)
	} else {
		l.b = strconv.AppendQuote(l.b, value)
	}
	return l
}

func plain(s string) bool {
	for i := range len(s) {
		if c := s[i]; c <= ' ' || c == '=' || c == '"' || c == '\\' || c >= 0x7f {
			return false
		}
	}
	return s != ""
}

// Bytes adds a pair.
func (l *Line) Bytes(key string, value []byte) *Line {
	if l == nil {
		return nil
	}
	return l.Str(key, string(value))
}

// Int adds a pair.
func (l *Line) Int(key string, value int64) *Line {
	if l == nil {
		return nil
	}
	l.b = append(append(append(l.b, ' '), key...), '=')
	l.b = strconv.AppendInt(l.b, value, 10)
	return l
}

// Float adds a pair.
func (l *Line) Float(key string, value float64) *Line {
	if l == nil {
		return nil
	}
	l.b = append(append(append(l.b, ' '), key...), '=')
	l.b = strconv.AppendFloat(l.b, value, 'g', -1, 64)
	return l
}

// Bool adds a pair.
func (l *Line) Bool(key string, value bool) *Line { return l.Str(key, strconv.FormatBool(value)) }

// MS adds a duration in milliseconds.
func (l *Line) MS(key string, d time.Duration) *Line { return l.Int(key, d.Milliseconds()) }

// Err adds the failure, if there is one.
func (l *Line) Err(err error) *Line {
	if l == nil || err == nil {
		return l
	}
	return l.Str("error", err.Error())
}

// End writes the line.
func (l *Line) End() {
	if l == nil {
		return
	}
	l.b = append(l.b, '\n')
	l.sink.append(l.kind, l.b)
	l.sink = nil
	lines.Put(l)
}
