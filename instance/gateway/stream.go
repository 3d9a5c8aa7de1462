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

// serveStream waits for the first chunk, so that a request that was not run is
// answered with a status of its own, and streams from then on.
func (x *exchange) serveStream(ctx *fasthttp.RequestCtx) (streaming bool, err error) {
	ev, err := x.next()
	if err != nil && !errors.Is(err, io.EOF) {
		x.end(err, telemetry.CauseBroken)
		return false, err
	}
	ctx.SetContentType("text/event-stream")
	ctx.Response.Header.Set(fasthttp.HeaderCacheControl, "no-cache")
	ctx.Response.SetBodyStream(&eventStream{x: x, event: ev, err: err, begun: true}, -1)
	return true, nil
}

// eventStream is the body of a streamed answer. fasthttp lets it write in the
// connection's own goroutine, so that the request counts as in flight until its
// last byte was written, and no second goroutine and copy stand between.
//
// A stream that fails ends in an error event and without the end marker, so that
// nobody takes a part for the whole.
type eventStream struct {
	x *exchange
	// event and err are what x.next returned last.
	event dispatch.Event
	err   error
	// begun says that the event is yet to be written.
	begun bool
	// over is set with the last frame; written when it reached the connection.
	over    bool
	written bool
	closed  bool
	frame   []byte
	rest    []byte
}

// SupportsBodyWriteTo implements fasthttp.BodyWriterTo.
func (s *eventStream) SupportsBodyWriteTo() bool { return true }

// maxBatch bounds the frames that are sent together, in bytes.
const maxBatch = 16 << 10

// WriteTo implements io.WriterTo. A frame is sent as soon as no other one is there
// to go with it: each write costs a system call, and waiting for the next token
// would hold back this one.
func (s *eventStream) WriteTo(w io.Writer) (int64, error) {
	var sum int64
	for {
		s.frame = s.frame[:0]
		err := s.batch()
		if len(s.frame) > 0 {
			n, failed := w.Write(s.frame)
			sum += int64(n)
			if failed != nil {
				return sum, fault.Wrap(failed, fault.Canceled, "write to the caller")
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

// batch collects the next frame and those that are there already; io.EOF says
// that none follows.
func (s *eventStream) batch() error {
	for {
		if err := s.next(); err != nil {
			return err
		}
		if s.over {
			return io.EOF
		}
		if len(s.frame) >= maxBatch || !s.x.run.Ready() {
			return nil
		}
	}
}

// Read implements io.Reader, for callers without chunks.
func (s *eventStream) Read(p []byte) (int, error) {
	if len(s.rest) == 0 {
		s.frame = s.frame[:0]
		if err := s.next(); err != nil {
			s.written = errors.Is(err, io.EOF)
			return 0, err
		}
		s.rest = s.frame
	}
	n := copy(p, s.rest)
	s.rest = s.rest[n:]
	return n, nil
}

// Close implements io.Closer; fasthttp calls it in any case.
func (s *eventStream) Close() error {
	if s.closed {
		return nil
	}
	s.closed = true
	err := s.err
	switch {
	case !s.written && (err == nil || errors.Is(err, io.EOF)):
		err = fault.New(fault.Canceled, "the caller hung up")
	case errors.Is(err, io.EOF):
		err = nil
	}
	s.x.end(err, telemetry.CauseHangUp)
	s.x.g.inFlight.Add(-1)
	return nil
}

// next appends the next frame, or returns io.EOF after the last one.
func (s *eventStream) next() error {
	for {
		if s.over {
			return io.EOF
		}
		if !s.begun {
			s.event, s.err = s.x.next()
		}
		s.begun = false
		switch {
		case errors.Is(s.err, io.EOF):
			s.over = true
			s.add([]byte(endMarker))
			return nil
		case s.err != nil:
			s.over = true
			return s.addFailure()
		case s.event.Head.UsageOnly && !s.x.req.IncludeUsage:
			continue
		}
		s.addChunk()
		return nil
	}
}

func (s *eventStream) addFailure() error {
	body, err := json.Marshal(httpapi.Body(s.err, s.x.id))
	if err != nil {
		return fault.Wrap(err, fault.Internal, "encode a failure")
	}
	s.add(body)
	return nil
}

// addChunk adds the event under the ID that the caller knows.
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

func (s *eventStream) add(data []byte) {
	s.frame = append(s.frame, framePrefix...)
	s.frame = append(s.frame, data...)
	s.frame = append(s.frame, frameEnd...)
}
