package upstream

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"github.com/comfreyladder/comfreyladder/core/fault"
)

// Header names of the protocol with upstreams.
const (
	HeaderRequestID = "X-Request-Id"
	HeaderNotRun    = "X-Not-Run"

	headerLastEventID = "Last-Event-ID"
)

const (
	// maxInterim bounds the 1xx answers before the real one.
	maxInterim = 4
	// maxErrorBody bounds the body of an answer that is read only to report it.
	maxErrorBody = 64 << 10
	maxIDLen     = 128
)

// attempt is one request on one connection.
type attempt struct {
	client *Client
	ctx    context.Context
	target Target
	id     string
	conn   *conn
	resp   *fasthttp.Response
	// detach stops the watch on ctx; it reports false when ctx ended first.
	detach func() bool
	// anonymous accepts an answer that carries no ID at all.
	anonymous bool
	nameless  bool
}

// start sends the request and reads the header of its answer.
func (c *Client) start(ctx context.Context, t Target, id string, req *fasthttp.Request, opt options) (*attempt, *AttemptError) {
	if !validID(id) {
		return nil, notSent(t, fault.New(fault.Invalid, "%q is no request ID", id), "no request ID")
	}
	cn, failed := c.pool.get(ctx, t, opt.fresh)
	if failed != nil {
		return nil, failed
	}
	a := &attempt{client: c, ctx: ctx, target: t, id: id, conn: cn, anonymous: opt.anonymous, resp: &fasthttp.Response{}}
	// Closing the connection wakes a read or write at once when ctx ends.
	a.detach = context.AfterFunc(ctx, func() { _ = cn.raw.Close() })
	if failed := a.exchange(req, opt.firstByte(c.cfg, cn.reused)); failed != nil {
		a.lose(failed)
		return nil, failed
	}
	return a, nil
}

// validID admits IDs that stand as they are in a header and a path. An empty
// one would match every answer that carries none.
func validID(id string) bool {
	for _, r := range []byte(id) {
		switch {
		case r >= 'a' && r <= 'z', r >= 'A' && r <= 'Z', r >= '0' && r <= '9', r == '-', r == '_', r == '.':
		default:
			return false
		}
	}
	return id != "" && len(id) <= maxIDLen
}

func (a *attempt) exchange(req *fasthttp.Request, firstByte time.Duration) *AttemptError {
	req.Header.Set(HeaderRequestID, a.id)
	req.Header.SetUserAgent(a.client.cfg.InstanceName)
	// Setting the host on the header alone leaves the path as it was given.
	req.Header.SetHost(a.target.Address)
	left, err := a.conn.send(req, firstByte)
	if err != nil && !left {
		return notSent(a.target, err, "no byte was sent")
	}
	if err != nil {
		return unknown(a.target, ioFault(a.ctx, err, fault.OutcomeUnknown, "sending the request"))
	}
	a.conn.until = time.Now().Add(firstByte)
	if err := a.readHeader(); err != nil {
		return unknown(a.target, ioFault(a.ctx, err, fault.OutcomeUnknown, "waiting for the answer"))
	}
	a.conn.until, a.conn.silence = time.Time{}, a.client.cfg.MaxSilence
	return a.checkID()
}

func (a *attempt) readHeader() error {
	for range maxInterim {
		if err := a.resp.Header.Read(a.conn.br); err != nil {
			return err
		}
		if a.resp.StatusCode() >= fasthttp.StatusOK {
			return nil
		}
	}
	return fault.New(fault.OutcomeUnknown, "the upstream sent %d interim answers and no real one", maxInterim)
}

// checkID guards against answers that come late or crossed: the caller of
// another request would get them. Comparing the ID that the upstream repeats
// shows it, whatever the connection or the upstream mixed up.
func (a *attempt) checkID() *AttemptError {
	got := string(a.resp.Header.Peek(HeaderRequestID))
	if got == a.id {
		return nil
	}
	if got == "" && a.anonymous {
		a.nameless = true
		return nil
	}
	return unknown(a.target, fault.New(fault.OutcomeUnknown, "the answer carries the ID %q, not %q of its request", got, a.id))
}

// readBody reads the whole body. An answer without a stated length could be cut
// short unseen, so it counts as broken.
func (a *attempt) readBody(limit int) *AttemptError {
	r := a.resp
	if noBody(r.StatusCode()) || r.SkipBody {
		return nil
	}
	length := r.Header.ContentLength()
	if length < -1 {
		return unknown(a.target, fault.New(fault.OutcomeUnknown, "the answer has neither a length nor chunks: its end can't be told from a cut"))
	}
	err := r.ReadBody(a.conn.br, limit)
	if err == nil && length == -1 {
		err = r.Header.ReadTrailer(a.conn.br)
	}
	if errors.Is(err, fasthttp.ErrBodyTooLarge) {
		return unknown(a.target, fault.New(fault.TooLarge, "the answer is larger than %d bytes", limit))
	}
	if err != nil {
		return unknown(a.target, ioFault(a.ctx, err, fault.OutcomeUnknown, "reading the answer"))
	}
	return nil
}

func noBody(status int) bool {
	return status == fasthttp.StatusNoContent || status == fasthttp.StatusNotModified
}

// refusal reads an answer that is no success and returns it as a failure.
func (a *attempt) refusal() *AttemptError {
	if failed := a.readBody(maxErrorBody); failed != nil {
		a.lose(failed)
		return failed
	}
	status := a.resp.StatusCode()
	out := unknown(a.target, fault.New(statusCode(status), "the upstream answered %d", status))
	if a.saysNotRun() {
		out.Evidence = Refused
		out.fault = fault.New(fault.NotRun, "the upstream answered %d and that it did not run the request", status)
	}
	out.Reused = a.conn.reused
	out.Status, out.Body = status, append([]byte(nil), a.resp.Body()...)
	a.finish()
	return out
}

// saysNotRun takes only an answer under the request's own ID for proof: the
// refusal of another request proves nothing about this one.
func (a *attempt) saysNotRun() bool {
	return a.resp.StatusCode() == fasthttp.StatusServiceUnavailable && !a.nameless &&
		string(a.resp.Header.Peek(HeaderNotRun)) == "true"
}

func statusCode(status int) fault.Code {
	switch {
	case status == fasthttp.StatusNotFound:
		return fault.NotFound
	case status == fasthttp.StatusTooManyRequests, status == fasthttp.StatusRequestTimeout:
		return fault.OutcomeUnknown
	case status >= 400 && status < 500:
		return fault.Invalid
	}
	return fault.OutcomeUnknown
}

// finish ends an attempt whose answer was read whole.
func (a *attempt) finish() {
	alive := a.detach()
	if alive && !a.nameless && !a.resp.Header.ConnectionClose() && a.conn.br.Buffered() == 0 {
		a.conn.keep()
		return
	}
	a.conn.drop()
}

// abandon ends an attempt that failed. Its connection is never used again: the
// answer may still come, and the next request would read it.
func (a *attempt) abandon() {
	a.detach()
	a.conn.drop()
}

// lose is abandon with the failure that it is for. When the upstream was silent,
// the pooled connections of the same age are not trusted either.
func (a *attempt) lose(failed *AttemptError) {
	failed.Reused = a.conn.reused
	a.abandon()
	if a.ctx.Err() == nil && failed.fault.Code == fault.DeadlineExceeded {
		a.client.pool.distrust(a.target.Address, a.conn.sentAt)
	}
}
