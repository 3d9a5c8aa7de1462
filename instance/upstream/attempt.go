package upstream

import (
	"context"
	"slices"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"github.com/comfreyladder/comfreyladder/core/fault"
	"github.com/comfreyladder/comfreyladder/instance/http1"
	"github.com/comfreyladder/comfreyladder/instance/uplink"
)

// Header names of the protocol with upstreams.
const (
	HeaderRequestID = "X-Request-Id"
	HeaderNotRun    = "X-Not-Run"

	// HeaderBrittle, in an answer, is how many rejections per second the upstream bears.
	HeaderBrittle = "X-Brittle"

	// HeaderLeaving, in an answer, is "1" if the upstream leaves and wants no new work.
	HeaderLeaving = "X-Leaving"

	headerLastEventID = "Last-Event-ID"
	headerRetryAfter  = "Retry-After"
)

const (
	// maxInterim bounds the number of 1xx answers before the final one.
	maxInterim = 4
	// maxErrorBody bounds the body of an answer that is read only to report it, in bytes.
	maxErrorBody = 64 << 10
	maxIDLen     = 128
	// minRead is the least space for a read of a body in chunks, in bytes.
	minRead = 512
	// trailerTimeout is how long the trailers of a whole answer are awaited, which nobody reads.
	trailerTimeout = 200 * time.Millisecond
)

// attempt is one request on one connection.
type attempt struct {
	client *Client
	ctx    context.Context
	target Target
	id     string
	conn   *conn
	method string
	// head is that of the answer, body its body, of which content has been read by readBody.
	head    http1.Head
	body    http1.Body
	content []byte
	// detach stops the watch on ctx. It returns false if ctx ended first.
	detach func() bool
	// allowNoID accepts an answer without a request ID. missingID means that the answer has
	// none.
	allowNoID bool
	missingID bool
	// tainted is set if the trailers of a whole answer did not end.
	tainted bool
	// incarnation is the upstream's when the request was sent.
	incarnation uint64
}

// start sends the request and reads the header of its answer.
func (c *Client) start(ctx context.Context, t Target, id string, req *fasthttp.Request, opt options) (*attempt, *AttemptError) {
	if !validID(id) {
		return nil, notSent(t, fault.New(fault.Invalid, "%q is not a valid request ID", id), "invalid request ID")
	}
	if failed := c.unwanted(t, opt); failed != nil {
		return nil, failed
	}
	cn, failed := c.pool.get(ctx, t, opt.fresh, !opt.notAfter.IsZero())
	if failed != nil {
		return nil, failed
	}
	// The upstream may have asked for nothing, or lost its trust, while the connection was opened.
	if failed := c.unwanted(t, opt); failed != nil {
		cn.restore()
		return nil, failed
	}
	// If the process was paused while it connected, it may get here long after the
	// deadline and before the timer of ctx has fired, so the clock is checked as well.
	if limit, ok := ctx.Deadline(); ok && !time.Now().Before(limit) {
		cn.drop()
		return nil, notSent(t, context.DeadlineExceeded, "the time limit passed before the request was sent")
	}
	if opt.permit != nil {
		if err := opt.permit(); err != nil {
			cn.restore()
			return nil, withheld(t, err)
		}
	}
	cn.notAfter = opt.notAfter
	a := &attempt{client: c, ctx: ctx, target: t, id: id, conn: cn, method: string(req.Header.Method()), allowNoID: opt.allowNoID, incarnation: c.gates.incarnationOf(t.Name)}
	// Closing the connection interrupts a pending read or write when ctx ends.
	a.detach = context.AfterFunc(ctx, func() { _ = cn.raw.Close() })
	if failed := a.exchange(req, opt.firstByte(c.cfg, cn.reused)); failed != nil {
		a.abandonFailed(failed)
		return nil, failed
	}
	return a, nil
}

// validID accepts only IDs that need no escaping in a header or path. It rejects the empty
// ID, which would match every answer without an ID.
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
	// Setting the host only in the header leaves the path unchanged.
	req.Header.SetHost(a.target.Address)
	left, err := a.conn.send(req, firstByte)
	if err != nil && !left {
		return notSent(a.target, err, "no byte was sent")
	}
	if err != nil {
		return unknown(a.target, ioFault(a.ctx, err, fault.OutcomeUnknown, "sending the request"))
	}
	a.conn.readDeadline = time.Now().Add(firstByte)
	if err := a.readHeader(); err != nil {
		return unknown(a.target, ioFault(a.ctx, err, fault.OutcomeUnknown, "waiting for the answer"))
	}
	a.conn.readDeadline, a.conn.readTimeout = time.Time{}, a.client.cfg.ReadTimeout
	a.recordAsk()
	return a.checkID()
}

func (a *attempt) readHeader() error {
	for range maxInterim {
		err := a.head.ReadResponse(a.conn.br, readBuffer, a.method)
		if errors.Is(err, http1.ErrHeadTooLarge) {
			return fault.Wrap(err, fault.OutcomeUnknown, "the head of the answer")
		}
		if err != nil {
			return err
		}
		if a.head.Status >= fasthttp.StatusOK {
			a.body.Reset(a.conn.br, &a.head)
			return nil
		}
	}
	return fault.New(fault.OutcomeUnknown, "the upstream sent %d interim answers and no final one", maxInterim)
}

// checkID detects answers that are late or belong to another request and would otherwise
// reach the wrong caller. The ID that the upstream repeats reveals this, whether the
// connection or the upstream mixed the answers up.
func (a *attempt) checkID() *AttemptError {
	got := string(a.head.Get(HeaderRequestID))
	if got == a.id {
		return nil
	}
	if got == "" && a.allowNoID {
		a.missingID = true
		return nil
	}
	return unknown(a.target, fault.New(fault.OutcomeUnknown, "the answer carries the ID %q, not %q of its request", got, a.id))
}

// readBody reads the whole body. Truncation of an answer without a stated length cannot be
// detected, so such an answer counts as broken.
func (a *attempt) readBody(limit int) *AttemptError {
	if a.head.Framing == http1.ByClose {
		return unknown(a.target, fault.New(fault.OutcomeUnknown, "the answer has neither a length nor chunks: truncation cannot be detected"))
	}
	err := a.readContent(limit)
	if errors.Is(err, http1.ErrBodyTooLarge) {
		return unknown(a.target, fault.New(fault.TooLarge, "the answer is larger than %d bytes", limit))
	}
	if err != nil {
		return unknown(a.target, ioFault(a.ctx, err, fault.OutcomeUnknown, "reading the answer"))
	}
	return nil
}

// readContent reads a body that has a length or is in chunks.
func (a *attempt) readContent(limit int) error {
	if a.head.Framing == http1.ByChunks {
		a.body.OnWait(func(w http1.Wait) {
			a.conn.roll(w == http1.ForData)
			if w == http1.ForTrailers {
				a.conn.readDeadline = time.Now().Add(trailerTimeout)
			}
		})
	}
	if a.body.Announced() > int64(limit) {
		return http1.ErrBodyTooLarge
	}
	var b []byte
	for !a.body.Complete() {
		b = slices.Grow(b, minRead)
		n, err := a.body.Read(b[len(b):cap(b)])
		b = b[:len(b)+n]
		if int64(len(b))+a.body.Announced() > int64(limit) {
			return http1.ErrBodyTooLarge
		}
		if err != nil && !a.body.Complete() {
			return err
		}
	}
	a.content, a.tainted = b, a.body.Tainted()
	return nil
}

// refusal reads an unsuccessful answer and returns it as an error.
func (a *attempt) refusal() *AttemptError {
	if failed := a.readBody(maxErrorBody); failed != nil {
		a.abandonFailed(failed)
		return failed
	}
	status := a.head.Status
	out := unknown(a.target, fault.New(codeOfStatus(status), "the upstream answered %d", status))
	if a.reportsNotRun() {
		out.Evidence = Refused
		out.fault = fault.New(fault.NotRun, "the upstream answered %d and reported that it did not run the request", status)
	}
	out.Reused = a.conn.reused
	out.Status, out.Body = status, a.content
	a.finish()
	return out
}

// reportsNotRun accepts as proof only an answer with the request's own ID: the refusal of
// another request proves nothing about this one.
func (a *attempt) reportsNotRun() bool {
	return a.head.Status == fasthttp.StatusServiceUnavailable && !a.missingID &&
		string(a.head.Get(HeaderNotRun)) == "true"
}

func codeOfStatus(status int) fault.Code {
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

// finish ends an attempt whose answer was read completely.
func (a *attempt) finish() {
	alive := a.detach()
	a.conn.restoreLinger()
	if alive && !a.conn.detour && !a.missingID && !a.tainted && a.conn.notAfter.IsZero() && !a.head.Close && a.conn.br.Buffered() == 0 {
		a.conn.keep()
		return
	}
	a.conn.drop()
}

// abandon ends an attempt that failed. Its connection is never reused: the answer may still
// arrive, and the next request would read it.
func (a *attempt) abandon() {
	a.detach()
	a.conn.drop()
}

// partitioned reports whether the links of this instance are, or may be, the cause of a failure.
func (a *attempt) partitioned() bool {
	links := a.client.cfg.Links
	return links != nil && !a.conn.detour && links.Suspect(a.ctx)
}

// abandonFailed abandons an attempt that ended with the given failure. If the upstream timed
// out, the idle connections of the same age are closed as well.
func (a *attempt) abandonFailed(failed *AttemptError) {
	failed.Reused = a.conn.reused
	a.abandon()
	if a.ctx.Err() == nil {
		a.client.cfg.lost(a.target.Name, false)
	}
	if a.conn.detour && !a.conn.proven.Load() && a.ctx.Err() == nil {
		uplink.Distrust(a.conn.raw.Conn)
	}
	failed.Partitioned = a.ctx.Err() == nil && a.partitioned()
	if a.ctx.Err() == nil && failed.fault.Code == fault.DeadlineExceeded {
		a.client.pool.closeIdleBefore(a.target.Address, a.conn.sentAt)
	}
}
