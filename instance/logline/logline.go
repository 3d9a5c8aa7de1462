// Package logline makes zerolog write each event as a line of key=value pairs instead of JSON.
package logline

import (
	"bytes"
	"encoding/json"
	"io"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/comfreyladder/comfreyladder/core/fault"
)

const timeFormat = "2006-01-02T15:04:05.000Z07:00"

// New returns a logger that writes key=value lines to w. Level is one of
// debug, info, warn, error.
func New(w io.Writer, level string) (zerolog.Logger, error) {
	l, err := zerolog.ParseLevel(level)
	if err != nil || l < zerolog.DebugLevel || l > zerolog.ErrorLevel {
		return zerolog.Nop(), fault.New(fault.Invalid, "log level %q is not one of debug, info, warn, error", level)
	}
	return zerolog.New(&writer{out: w}).Level(l).With().Timestamp().Logger(), nil
}

// writer converts each JSON event to a line of key=value pairs in the same order. The mutex
// prevents lines from interleaving.
type writer struct {
	mu  sync.Mutex
	out io.Writer
	buf bytes.Buffer
}

// Write implements io.Writer for one event.
func (w *writer) Write(event []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.buf.Reset()
	if err := convert(&w.buf, event); err != nil {
		return 0, err
	}
	if _, err := w.out.Write(w.buf.Bytes()); err != nil {
		return 0, fault.Wrap(err, fault.Unavailable, "write log")
	}
	return len(event), nil
}

func convert(buf *bytes.Buffer, event []byte) error {
	dec := json.NewDecoder(bytes.NewReader(event))
	dec.UseNumber()
	if _, err := dec.Token(); err != nil {
		return fault.Wrap(err, fault.Corrupt, "log event is not a JSON object")
	}
	for dec.More() {
		key, err := dec.Token()
		if err != nil {
			return fault.Wrap(err, fault.Corrupt, "read log event key")
		}
		var val json.RawMessage
		if err := dec.Decode(&val); err != nil {
			return fault.Wrap(err, fault.Corrupt, "read log event value")
		}
		if buf.Len() > 0 {
			buf.WriteByte(' ')
		}
		name, _ := key.(string)
		buf.WriteString(name)
		buf.WriteByte('=')
		buf.WriteString(formatValue(name, val))
	}
	buf.WriteByte('\n')
	return nil
}

func formatValue(key string, raw json.RawMessage) string {
	var s string
	if json.Unmarshal(raw, &s) != nil {
		return quote(string(raw))
	}
	if key == zerolog.TimestampFieldName {
		if t, err := time.Parse(time.RFC3339Nano, s); err == nil {
			return t.UTC().Format(timeFormat)
		}
	}
	return quote(s)
}

// quote quotes values that contain separators or control characters. Otherwise a caller could
// forge log lines with a newline in a header.
func quote(s string) string {
	if s == "" || strings.ContainsAny(s, " =\"\\") || strings.ContainsFunc(s, func(r rune) bool { return r < ' ' || r == 0x7f }) {
		return strconv.Quote(s)
	}
	return s
}

func init() { zerolog.TimeFieldFormat = time.RFC3339Nano }
