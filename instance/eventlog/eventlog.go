// Package eventlog writes key=value lines to an output that may be slow, full or without a
// reader. Lines are collected in a bounded buffer and written by a separate goroutine, so that no
// request waits for the log. Lines that do not fit, or exceed the rate limit of their kind, are
// dropped and counted, and the counts are logged.
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
	// DefaultBuffer limits the bytes that wait to be written.
	DefaultBuffer = 128 << 10
	// DefaultRate is the maximum number of lines per second of one kind.
	DefaultRate = 40
	// flushDelay is how long lines are collected for one write, since each write costs a system
	// call and a wake-up.
	flushDelay = 200 * time.Millisecond
)

// Sink buffers lines and writes them in the background. It is safe for concurrent use.
type Sink struct {
	out    io.Writer
	rates  map[string]int
	cancel context.CancelFunc
	done   chan struct{}

	mu           sync.Mutex
	buf          []byte
	spare        []byte
	countsByKind map[string]*lineCounts
	second       int64
	overflowed   int
	closed       bool
	pending      chan struct{}
}

// lineCounts counts the lines of one kind in the current second.
type lineCounts struct{ written, dropped int }

// New returns a sink that writes to out. rates maps a kind to its maximum number of lines per
// second; other kinds have DefaultRate.
func New(out io.Writer, rates map[string]int) *Sink {
	ctx, cancel := context.WithCancel(context.Background())
	s := &Sink{out: out, rates: rates, cancel: cancel, done: make(chan struct{}), countsByKind: map[string]*lineCounts{}, pending: make(chan struct{}, 1)}
	go s.run(ctx)
	return s
}

// Close flushes the buffer, waiting for at most limit, and ends the goroutine. A write that blocks
// for longer is abandoned.
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
			clock.Sleep(ctx, flushDelay)
			s.flush()
		case <-ctx.Done():
			s.flush()
			return
		}
	}
}

func (s *Sink) flush() {
	s.mu.Lock()
	batch := s.buf
	s.buf = s.spare[:0]
	s.spare = nil
	s.mu.Unlock()
	// There is nowhere to report a failed write; the lines are lost.
	_, _ = s.out.Write(batch)
	s.mu.Lock()
	s.spare = batch
	s.mu.Unlock()
}

// Write implements io.Writer. The argument must be one complete line; its kind is "other".
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
	s.startSecond(time.Now().Unix())
	k := s.countsByKind[name]
	if k == nil {
		k = &lineCounts{}
		s.countsByKind[name] = k
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
	s.enqueue(line)
}

func (s *Sink) enqueue(line []byte) {
	if len(s.buf)+len(line) > DefaultBuffer {
		s.overflowed++
		return
	}
	s.buf = append(s.buf, line...)
	select {
	case s.pending <- struct{}{}:
	default:
	}
}

// startSecond resets the counts if a new second has begun, and logs how many lines were dropped
// before.
func (s *Sink) startSecond(now int64) {
	if now == s.second {
		return
	}
	s.second = now
	for name, k := range s.countsByKind {
		if k.dropped > 0 {
			s.enqueue(droppedLine(now, name, k.dropped))
		}
		*k = lineCounts{}
	}
	if s.overflowed > 0 {
		lost := s.overflowed
		s.overflowed = 0
		s.enqueue(droppedLine(now, "any", lost))
	}
}

func droppedLine(now int64, name string, count int) []byte {
	l := Line{b: appendPrefix(nil, time.Unix(now, 0), "log_dropped")}
	l.Str("kind", name).Int("lines", int64(count))
	return append(l.b, '\n')
}

// Line is a log line that is being built.
type Line struct {
	sink *Sink
	kind string
	b    []byte
}

var linePool = sync.Pool{New: func() any { return &Line{b: make([]byte, 0, 512)} }}

// Event starts a line of the given kind; Line.End writes it. A nil sink writes nothing.
func (s *Sink) Event(kind string) *Line {
	if s == nil {
		return nil
	}
	l := linePool.Get().(*Line)
	l.sink, l.kind = s, kind
	l.b = appendPrefix(l.b[:0], time.Now(), kind)
	return l
}

func appendPrefix(b []byte, at time.Time, kind string) []byte {
	b = append(b, "time="...)
	b = at.UTC().AppendFormat(b, "2006-01-02T15:04:05.000Z")
	b = append(b, " event="...)
	return append(b, kind...)
}

// Str adds a key=value pair. The value is quoted if it is empty or has characters that would make
// the line ambiguous.
func (l *Line) Str(key, value string) *Line {
	if l == nil {
		return nil
	}
	l.b = append(append(append(l.b, ' '), key...), '=')
	if isUnquoted(value) {
		l.b = append(l.b, value...)
	} else {
		l.b = strconv.AppendQuote(l.b, value)
	}
	return l
}

func isUnquoted(s string) bool {
	for i := range len(s) {
		if c := s[i]; c <= ' ' || c == '=' || c == '"' || c == '\\' || c >= 0x7f {
			return false
		}
	}
	return s != ""
}

// Bytes adds a pair with a value as for Str.
func (l *Line) Bytes(key string, value []byte) *Line {
	if l == nil {
		return nil
	}
	return l.Str(key, string(value))
}

// Int adds a pair with an integer value.
func (l *Line) Int(key string, value int64) *Line {
	if l == nil {
		return nil
	}
	l.b = append(append(append(l.b, ' '), key...), '=')
	l.b = strconv.AppendInt(l.b, value, 10)
	return l
}

// Float adds a pair with a floating-point value.
func (l *Line) Float(key string, value float64) *Line {
	if l == nil {
		return nil
	}
	l.b = append(append(append(l.b, ' '), key...), '=')
	l.b = strconv.AppendFloat(l.b, value, 'g', -1, 64)
	return l
}

// Bool adds a pair with the value true or false.
func (l *Line) Bool(key string, value bool) *Line { return l.Str(key, strconv.FormatBool(value)) }

// MS adds a pair with a duration in whole milliseconds.
func (l *Line) MS(key string, d time.Duration) *Line { return l.Int(key, d.Milliseconds()) }

// Err adds the pair error=err unless err is nil.
func (l *Line) Err(err error) *Line {
	if l == nil || err == nil {
		return l
	}
	return l.Str("error", err.Error())
}

// End hands the line to the sink. The line must not be used afterwards.
func (l *Line) End() {
	if l == nil {
		return
	}
	l.b = append(l.b, '\n')
	l.sink.append(l.kind, l.b)
	l.sink = nil
	linePool.Put(l)
}
