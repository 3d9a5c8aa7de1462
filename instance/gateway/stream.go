package gateway

import (
	"encoding/json"
	"io"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"github.com/comfreyladder/comfreyladder/core/fault"
	"github.com/comfreyladder/comfreyladder/instance/chat"
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
	data, c, err := x.next()
	if err != nil && !errors.Is(err, io.EOF) {
		x.end(err, telemetry.CauseBroken)
		return false, err
	}
	ctx.SetContentType("text/event-stream")
	ctx.Response.Header.Set(fasthttp.HeaderCacheControl, "no-cache")
	ctx.Response.SetBodyStream(&eventStream{x: x, data: data, chunk: c, err: err, begun: true}, -1)
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
	// data, chunk and err are what x.next returned last, when begun is set.
	data  []byte
	chunk *chat.Chunk
	err   error
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

// WriteTo implements io.WriterTo; each frame is written and sent by itself.
func (s *eventStream) WriteTo(w io.Writer) (int64, error) {
	var sum int64
	for {
		frame, err := s.next()
		if errors.Is(err, io.EOF) {
			s.written = true
			return sum, nil
		}
		if err != nil {
			return sum, err
		}
		n, err := w.Write(frame)
		sum += int64(n)
		if err != nil {
			return sum, fault.Wrap(err, fault.Canceled, "write to the caller")
		}
	}
}

// Read implements io.Reader, for callers without chunks.
func (s *eventStream) Read(p []byte) (int, error) {
	if len(s.rest) == 0 {
		frame, err := s.next()
		if err != nil {
			s.written = errors.Is(err, io.EOF)
			return 0, err
		}
		s.rest = frame
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

// next returns the next frame, valid until the next call, or io.EOF.
func (s *eventStream) next() ([]byte, error) {
	for {
		if s.over {
			return nil, io.EOF
		}
		if !s.begun {
			s.data, s.chunk, s.err = s.x.next()
		}
		s.begun = false
		switch {
		case errors.Is(s.err, io.EOF):
			s.over = true
			return s.framed([]byte(endMarker)), nil
		case s.err != nil:
			s.over = true
			return s.failure()
		case s.chunk.UsageOnly() && !s.x.req.IncludeUsage:
			continue
		}
		return s.framed(s.data), nil
	}
}

func (s *eventStream) failure() ([]byte, error) {
	body, err := json.Marshal(httpapi.Body(s.err, s.x.id))
	if err != nil {
		return nil, fault.Wrap(err, fault.Internal, "encode a failure")
	}
	return s.framed(body), nil
}

func (s *eventStream) framed(data []byte) []byte {
	s.frame = append(s.frame[:0], framePrefix...)
	s.frame = append(s.frame, data...)
	s.frame = append(s.frame, frameEnd...)
	return s.frame
}
