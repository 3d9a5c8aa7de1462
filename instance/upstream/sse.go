package upstream

import (
	"bufio"
	"bytes"
	"io"
	"strconv"

	"github.com/pkg/errors"

	"github.com/comfreyladder/comfreyladder/core/fault"
)

// rawEvent is one server-sent event: its ID and its joined data lines, valid until the next
// event is read.
type rawEvent struct {
	id    uint64
	hasID bool
	data  []byte
}

// eventReader splits a body into server-sent events and limits the size of the whole body, and of one
// event with the comments before it, in bytes.
type eventReader struct {
	br        *bufio.Reader
	remaining int
	limit     int
	// size counts the bytes since the last event, of which maxEvent are permitted.
	size, maxEvent int
	// progress, if set, is called when an event or a comment has ended. Other bytes are no progress.
	progress func()
	data     []byte
}

func newEventReader(r io.Reader, limit, maxEvent int, progress func()) *eventReader {
	return &eventReader{br: bufio.NewReader(r), remaining: limit, limit: limit, maxEvent: maxEvent, progress: progress}
}

// next returns the next event with data. The end of the body is always an error here, because
// only the caller knows the end marker.
func (e *eventReader) next() (rawEvent, error) {
	ev := rawEvent{data: e.data[:0]}
	hasData, hasLine := false, false
	e.size = 0
	e.progress()
	for {
		line, err := e.line()
		if err != nil {
			return rawEvent{}, err
		}
		if len(line) == 0 {
			if hasData {
				return ev, nil
			}
			if hasLine {
				e.progress()
			}
			ev, hasLine = rawEvent{data: e.data[:0]}, false
			continue
		}
		hasLine = true
		name, value, _ := bytes.Cut(line, []byte(":"))
		value = bytes.TrimPrefix(value, []byte(" "))
		switch string(name) {
		case "id":
			if ev.id, err = strconv.ParseUint(string(value), 10, 64); err != nil {
				return rawEvent{}, fault.New(fault.StreamBroken, "the event ID %q is not a number", value)
			}
			ev.hasID = true
		case "data":
			if hasData {
				ev.data = append(ev.data, '\n')
			}
			ev.data = append(ev.data, value...)
			e.data = ev.data
			hasData = true
		}
	}
}

// ready reports whether a complete event is buffered, so that next does not wait.
func (e *eventReader) ready() bool {
	n := e.br.Buffered()
	if n == 0 {
		return false
	}
	buffered, _ := e.br.Peek(n)
	return bytes.Contains(buffered, eventEnd)
}

var eventEnd = []byte("\n\n")

// line returns the next line without its line break, valid until the next call.
func (e *eventReader) line() ([]byte, error) {
	var long []byte
	for {
		part, err := e.br.ReadSlice('\n')
		e.remaining, e.size = e.remaining-len(part), e.size+len(part)
		if e.size > e.maxEvent {
			return nil, fault.New(fault.StreamBroken, "%d bytes of an event without its end, the limit is %d", e.size, e.maxEvent)
		}
		if e.remaining < 0 {
			return nil, fault.New(fault.TooLarge, "the stream is larger than %d bytes", e.limit)
		}
		if errors.Is(err, bufio.ErrBufferFull) {
			long = append(long, part...)
			continue
		}
		if errors.Is(err, io.EOF) {
			return nil, fault.New(fault.StreamBroken, "the stream ended before its end marker")
		}
		if err != nil {
			return nil, err
		}
		if long != nil {
			part = append(long, part...)
		}
		return bytes.TrimRight(part, "\r\n"), nil
	}
}

// drain reads to the end of the body. Anything other than a few white-space bytes is an
// error.
func (e *eventReader) drain() error {
	var b [64]byte
	n, err := io.ReadFull(e.br, b[:])
	if errors.Is(err, io.EOF) || (errors.Is(err, io.ErrUnexpectedEOF) && len(bytes.TrimSpace(b[:n])) == 0) {
		return nil
	}
	if err == nil {
		err = fault.New(fault.StreamBroken, "bytes follow the end marker")
	}
	return err
}
