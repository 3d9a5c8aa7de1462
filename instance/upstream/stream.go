package upstream

import (
	"bytes"
	"context"
	"io"
	"slices"
	"strconv"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"github.com/comfreyladder/comfreyladder/core/fault"
	"github.com/comfreyladder/comfreyladder/instance/chat"
	"github.com/comfreyladder/comfreyladder/instance/http1"
)

const (
	generatePath = "/v1/chat/completions"
	streamsPath  = "/v1/streams/"
	chunkPrefix  = "chatcmpl-"
	endMarker    = "[DONE]"
	// bodyEndTimeout bounds the wait for the end of the body after the end marker. If the body
	// does not end by then, the connection is not reused.
	bodyEndTimeout = 20 * time.Millisecond
)

// Event is one event of a stream.
type Event struct {
	// Seq numbers the events of a stream from 1 without gaps.
	Seq uint64
	// Data is one JSON chunk of the answer. Head holds the fields parsed from it. Both are
	// valid until the next call of Next.
	Data []byte
	Head chat.ChunkSummary
}

// Option changes how a stream is requested.
type Option func(*options)

// Fresh requests a new connection, which a retry should use: the state of pooled connections
// may have been lost on the network path.
func Fresh() Option { return func(o *options) { o.fresh = true } }

// Permit sets what is asked right before the request is written; see Call.Permit.
func Permit(permit func() error) Option { return func(o *options) { o.permit = permit } }

// Stream is the answer to one generation. It must be used by one goroutine.
type Stream struct {
	a      *attempt
	events *eventReader
	last   uint64
	state  streamState
	err    error
}

type streamState int

const (
	streamOpen streamState = iota
	streamDone
	streamFailed
	streamClosed
)

// Generate starts a generation. The body must request a stream ("stream": true). Errors are
// of type *AttemptError. After Unknown the engine may be running the request, and a Cancel
// is sent unless the engine's complete answer arrived. On a pooled connection the answer's header must arrive within ReadTimeout;
// otherwise the stream is requested from the engine over a new connection.
func (c *Client) Generate(ctx context.Context, t Target, requestID string, body []byte, opts ...Option) (*Stream, error) {
	req := &fasthttp.Request{}
	req.Header.SetMethod(fasthttp.MethodPost)
	req.Header.SetContentType("application/json")
	req.SetRequestURI(generatePath)
	req.SetBodyRaw(body)
	s, failed := c.stream(ctx, t, requestID, req, 0, append(slices.Clone(opts), resumable))
	if failed != nil && failed.Reused && failed.fault.Code == fault.DeadlineExceeded && ctx.Err() == nil {
		// The connection may have been lost, with the request or with its answer. Over a new
		// connection the engine reports which, without repeating work.
		if s, err := c.Resume(ctx, t, requestID, 0, opts...); err == nil {
			return s, nil
		}
	}
	if failed == nil {
		return s, nil
	}
	if failed.Evidence == Unknown && failed.Status == 0 {
		// The engine may be generating an answer that nobody will read.
		c.cancelLater(t, requestID)
	}
	return nil, failed
}

// Resume continues a broken stream after the event with number after, on a new connection.
// It fails with NotFound if the engine no longer keeps the stream. An engine that keeps the
// stream answers immediately, so ReadTimeout also bounds the wait for the header.
func (c *Client) Resume(ctx context.Context, t Target, requestID string, after uint64, opts ...Option) (*Stream, error) {
	req := &fasthttp.Request{}
	req.Header.SetMethod(fasthttp.MethodGet)
	req.SetRequestURI(streamsPath + requestID)
	req.Header.Set(headerLastEventID, strconv.FormatUint(after, 10))
	s, failed := c.stream(ctx, t, requestID, req, after, append(slices.Clone(opts), Fresh(), withPromptHeader, asContinuation))
	if failed != nil {
		return nil, failed
	}
	return s, nil
}

func withPromptHeader(o *options) { o.promptHeader = true }

func asContinuation(o *options) { o.continuation = true }

func resumable(o *options) { o.resumable = true }

// Cancel tells the engine that the answer is no longer needed. It succeeds if the engine does
// not know the request.
func (c *Client) Cancel(ctx context.Context, t Target, requestID string) error {
	call := Call{RequestID: requestID, Method: fasthttp.MethodDelete, Path: streamsPath + requestID, AllowNoID: true, Continuation: true}
	answer, err := c.Do(ctx, t, call)
	if err != nil {
		return err
	}
	if answer.Status >= 400 && answer.Status != fasthttp.StatusNotFound {
		return unknown(t, fault.New(fault.OutcomeUnknown, "the cancellation was answered with %d", answer.Status))
	}
	return nil
}

func (c *Client) stream(ctx context.Context, t Target, id string, req *fasthttp.Request, after uint64, opts []Option) (*Stream, *AttemptError) {
	var o options
	for _, opt := range opts {
		opt(&o)
	}
	a, failed := c.start(ctx, t, id, req, o)
	if failed != nil {
		return nil, failed
	}
	if a.head.Status != fasthttp.StatusOK {
		return nil, a.refusal()
	}
	if !bytes.HasPrefix(a.head.Get(fasthttp.HeaderContentType), []byte("text/event-stream")) {
		a.abandon()
		return nil, unknown(t, fault.New(fault.OutcomeUnknown, "the answer has the content type %q, not an event stream", a.head.Get(fasthttp.HeaderContentType)))
	}
	return &Stream{a: a, last: after, events: newEventReader(&a.body, c.cfg.MaxAnswer, c.cfg.MaxEvent, a.conn.progress)}, nil
}

// Next returns the next event, and io.EOF only after the end marker. A stream that ends before
// the end marker, times out, skips an event or carries another request's ID fails with an
// *AttemptError, which later calls return again.
func (s *Stream) Next() (Event, error) {
	if s.err != nil {
		return Event{}, s.err
	}
	for {
		raw, err := s.events.next()
		if err != nil {
			return Event{}, s.fail(err)
		}
		if raw.hasID && raw.id <= s.last {
			continue // a resumed stream may repeat earlier events
		}
		ev, err := s.check(raw)
		if errors.Is(err, io.EOF) {
			s.state, s.err = streamDone, io.EOF
			return Event{}, io.EOF
		}
		if err != nil {
			return Event{}, s.fail(err)
		}
		s.last = ev.Seq
		return ev, nil
	}
}

// Ready reports whether Next returns without waiting.
func (s *Stream) Ready() bool { return s.err != nil || s.events.ready() }

// check accepts an event of this request that follows the last one. It returns io.EOF for the
// end marker.
func (s *Stream) check(raw rawEvent) (Event, error) {
	done := string(raw.data) == endMarker
	if done && !raw.hasID {
		return Event{}, io.EOF
	}
	if !raw.hasID || raw.id != s.last+1 {
		return Event{}, fault.New(fault.StreamBroken, "event %d follows event %d: a part of the answer is missing", raw.id, s.last)
	}
	if done {
		return Event{}, io.EOF
	}
	head, err := s.head(raw.data)
	return Event{Seq: raw.id, Data: raw.data, Head: head}, err
}

func (s *Stream) head(data []byte) (chat.ChunkSummary, error) {
	head, err := chat.SummarizeChunk(data)
	if err != nil {
		return head, fault.Wrap(err, fault.StreamBroken, "an event is not a valid chunk")
	}
	if head.Failed {
		return head, fault.New(fault.StreamBroken, "the engine reported a failure in the stream")
	}
	if id, ok := bytes.CutPrefix(head.ID, []byte(chunkPrefix)); !ok || string(id) != s.a.id {
		return head, fault.New(fault.StreamBroken, "a chunk carries the ID %q, not %q", head.ID, chunkPrefix+s.a.id)
	}
	return head, nil
}

func (s *Stream) fail(err error) error {
	f := ioFault(s.a.ctx, err, fault.StreamBroken, "reading the stream")
	failed := unknown(s.a.target, f)
	s.state, s.err = streamFailed, failed
	s.a.abandonFailed(failed)
	if f.Code == fault.Canceled || s.a.ctx.Err() != nil {
		s.CancelUnread()
	}
	return failed
}

// CancelUnread tells the engine that the stream will not be resumed. Otherwise the engine
// continues until its own limit on unread streams.
func (s *Stream) CancelUnread() { s.a.client.cancelLater(s.a.target, s.a.id) }

// Last returns the number of the last event returned by Next, from which Resume continues.
func (s *Stream) Last() uint64 { return s.last }

// Close ends the use of the stream. Before the end of the stream it closes the connection and
// sends a Cancel. After a failure it sends none, so that the caller may call Resume; the
// caller must call CancelUnread if it does not.
func (s *Stream) Close() error {
	was := s.state
	s.state = streamClosed
	switch was {
	case streamDone:
		s.finish()
	case streamOpen:
		s.a.abandon()
		s.err = unknown(s.a.target, fault.New(fault.Canceled, "the stream was closed"))
		s.CancelUnread()
	}
	return nil
}

// finish keeps the connection if the body ends right after the end marker.
func (s *Stream) finish() {
	s.a.conn.readDeadline = time.Now().Add(bodyEndTimeout)
	if s.a.head.Framing == http1.ByClose || s.events.drain() != nil {
		s.a.abandon()
		return
	}
	s.a.finish()
}
