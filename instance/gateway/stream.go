package gateway

import (
	"bytes"
	"encoding/json"
	"io"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"github.com/comfreyladder/comfreyladder/core/fault"
	"github.com/comfreyladder/comfreyladder/instance/dispatch"
	"github.com/comfreyladder/comfreyladder/instance/httpapi"
	"github.com/comfreyladder/comfreyladder/instance/telemetry"
)

const (
	framePrefix = "data: "
	frameEnd    = "\n\n"
	endMarker   = "[DONE]"
)

// serveStream waits for the first chunk before it starts the stream, so that a request that
// was not run is answered with its own status code.
func (x *exchange) serveStream(ctx *fasthttp.RequestCtx) (streaming bool, err error) {
	ev, err := x.next()
	if err != nil && !errors.Is(err, io.EOF) {
		x.finish(err, telemetry.CauseStreamBroken)
		return false, err
	}
	ctx.SetContentType("text/event-stream")
	ctx.Response.Header.Set(fasthttp.HeaderCacheControl, "no-cache")
	ctx.Response.SetBodyStream(&eventStream{x: x, event: ev, err: err, pending: true}, -1)
	return true, nil
}

// eventStream is the body of a streamed answer. fasthttp calls WriteTo in the goroutine of
// the connection. The request therefore counts as in flight until its last byte is
// written, and no second goroutine and no extra copy are needed.
//
// A stream that fails ends in an error event and without the end marker, so that no caller
// takes a partial answer for a complete one.
type eventStream struct {
	x *exchange
	// event and err are the last results of x.next.
	event dispatch.Event
	err   error
	// pending means that event has not been written yet.
	pending bool
	// ended is set when the last frame is added, written when it has been written to the
	// connection.
	ended   bool
	written bool
	closed  bool
	frame   []byte
	unread  []byte
}

// SupportsBodyWriteTo implements fasthttp.BodyWriterTo.
func (s *eventStream) SupportsBodyWriteTo() bool { return true }

// maxBatchBytes bounds the size of frames that are written together.
const maxBatchBytes = 16 << 10

// WriteTo implements io.WriterTo. It batches the frames that are already available, since
// each write costs a system call, but does not wait for further ones, which would delay
// the current token.
func (s *eventStream) WriteTo(w io.Writer) (int64, error) {
	var sum int64
	for {
		s.frame = s.frame[:0]
		err := s.collectFrames()
		if len(s.frame) > 0 {
			n, failed := w.Write(s.frame)
			sum += int64(n)
			if failed != nil {
				return sum, fault.Wrap(failed, fault.Canceled, "writing to the caller")
			}
		}
		if errors.Is(err, io.EOF) {
			s.written = true
			return sum, nil
		}
		if err != nil {
			return sum, err
		}
	}
}

// collectFrames collects the next frame and those already available. It returns io.EOF if no
// frame follows.
func (s *eventStream) collectFrames() error {
	for {
		if err := s.next(); err != nil {
			return err
		}
		if s.ended {
			return io.EOF
		}
		if len(s.frame) >= maxBatchBytes || !s.x.run.Ready() {
			return nil
		}
	}
}

// Read implements io.Reader, for callers that do not support chunked answers.
func (s *eventStream) Read(p []byte) (int, error) {
	if len(s.unread) == 0 {
		s.frame = s.frame[:0]
		if err := s.next(); err != nil {
			s.written = errors.Is(err, io.EOF)
			return 0, err
		}
		s.unread = s.frame
	}
	n := copy(p, s.unread)
	s.unread = s.unread[n:]
	return n, nil
}

// Close implements io.Closer. fasthttp always calls it.
func (s *eventStream) Close() error {
	if s.closed {
		return nil
	}
	s.closed = true
	err := s.err
	switch {
	case !s.written && (err == nil || errors.Is(err, io.EOF)):
		err = fault.New(fault.Canceled, "the caller disconnected")
	case errors.Is(err, io.EOF):
		err = nil
	}
	s.x.finish(err, telemetry.CauseHangUp)
	s.x.g.inFlight.Add(-1)
	return nil
}

// next appends the next frame, or returns io.EOF after the last one.
func (s *eventStream) next() error {
	for {
		if s.ended {
			return io.EOF
		}
		if !s.pending {
			s.event, s.err = s.x.next()
		}
		s.pending = false
		switch {
		case errors.Is(s.err, io.EOF):
			s.ended = true
			s.addFrame([]byte(endMarker))
			return nil
		case s.err != nil:
			s.ended = true
			return s.addError()
		case s.event.Head.UsageOnly && !s.x.req.IncludeUsage:
			continue
		}
		s.addChunk()
		return nil
	}
}

func (s *eventStream) addError() error {
	body, err := json.Marshal(httpapi.Body(s.err, s.x.id))
	if err != nil {
		return fault.Wrap(err, fault.Internal, "encoding an error event")
	}
	s.addFrame(body)
	return nil
}

// addChunk appends the event, replacing the attempt ID by the request ID known to the caller.
func (s *eventStream) addChunk() {
	data := s.event.Data
	s.frame = append(s.frame, framePrefix...)
	if i := bytes.Index(data, []byte(s.event.AttemptID)); i >= 0 {
		s.frame = append(s.frame, data[:i]...)
		s.frame = append(s.frame, s.x.id...)
		data = data[i+len(s.event.AttemptID):]
	}
	s.frame = append(s.frame, data...)
	s.frame = append(s.frame, frameEnd...)
}

func (s *eventStream) addFrame(data []byte) {
	s.frame = append(s.frame, framePrefix...)
	s.frame = append(s.frame, data...)
	s.frame = append(s.frame, frameEnd...)
}
