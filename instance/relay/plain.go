package relay

import (
	"time"

	"github.com/pkg/errors"

	"github.com/comfreyladder/comfreyladder/core/fault"
	"github.com/comfreyladder/comfreyladder/core/route"
	"github.com/comfreyladder/comfreyladder/instance/clock"
	"github.com/comfreyladder/comfreyladder/instance/http1"
)

// forwardAnswer forwards a response. again means that nothing was sent to the caller and that the
// request may be tried elsewhere.
func (s *Service) forwardAnswer(c *conn, a *attempt) (again, keep bool) {
	if a.r.route.Kind == route.Streaming && a.head.Status/100 == 2 {
		return s.forwardStream(c, a)
	}
	return s.forwardPlain(c, a)
}

const statusServerError = 500

// forwardPlain forwards a response that is no stream.
func (s *Service) forwardPlain(c *conn, a *attempt) (again, keep bool) {
	r := a.r
	if r.route.Kind != route.Streaming {
		a.countBegun()
	}
	a.readUntil(time.Now().Add(r.left(clock.Now())))
	a.limitWaits(func() time.Duration { return s.answerTimeout(r, a.up) })
	buf := buffers.Get().(*[]byte)
	defer putBuffer(buf)
	body, reserved, err := s.answers.readAnswer(&a.body, &a.head, (*buf)[:0])
	defer s.answers.free(reserved)
	*buf = body[:0]
	tooLong := errors.Is(err, http1.ErrBodyTooLarge)
	if err != nil && !tooLong {
		a.err = err
		if a.body.Waiting() == http1.ForFraming {
			a.err = a.stalled(err, a.waitSince, "chunk", len(body))
		}
		return true, false
	}
	if !tooLong {
		s.recordCompletion(a)
	}
	if a.head.Status >= statusServerError {
		a.up.answeredFailure()
		if s.willRepeat(a) {
			a.err = fault.New(fault.Internal, "the upstream answered %d", a.head.Status)
			return true, false
		}
	} else {
		s.rateWhole(a)
	}
	if r.route.Kind != route.Idempotent && promisesNotRun(a.head.Status) {
		// The upstream did not declare that the request was not run, which its status would promise.
		r.mayHaveRun = true
		return false, s.refuse(c, r, &refusal{502, "the upstream failed", 0})
	}
	if tooLong {
		return false, s.forwardChunked(c, a, body)
	}
	return false, s.sendWhole(c, a, body)
}

// promisesNotRun reports whether a response with the given status tells a caller that its request has
// not run and never will.
func promisesNotRun(status int) bool {
	switch status {
	case 408, statusMisdirected, 429, 503:
		return true
	}
	return false
}

// willRepeat reports whether an idempotent request that failed at an upstream will be tried at
// another one.
func (s *Service) willRepeat(a *attempt) bool {
	r := a.r
	return r.route.Kind == route.Idempotent && r.sent+1 < r.route.MaxAttempts && s.fleet.hasOther(r, a.up)
}

func (s *Service) sendWhole(c *conn, a *attempt, body []byte) bool {
	closing := c.closing(a.r)
	b := appendAnswerHead(c.out[:0], a, closing)
	if string(a.r.head.Method) != "HEAD" && a.head.Status != 204 && a.head.Status != 304 {
		b = appendLength(b, len(body))
	}
	err := c.writeLong(append(b, "\r\n"...), body, nil)
	s.logDone(a.r, a.head.Status, "")
	return err == nil && !closing
}

// forwardChunked forwards a long response as it arrives, in chunks. If it breaks off, the
// connection is reset so that the response does not look complete.
func (s *Service) forwardChunked(c *conn, a *attempt, begun []byte) bool {
	closing := c.closing(a.r)
	// A part of the response will have been sent: it can't be had from another upstream any more.
	a.limitWaits(nil)
	b := append(appendAnswerHead(c.out[:0], a, closing), "Transfer-Encoding: chunked\r\n\r\n"...)
	piece := begun
	var next [ioBufferSize]byte
	for {
		if err := c.writeChunk(b, piece, nil); err != nil {
			a.r.broken = true
			return false
		}
		n, err := a.body.Read(next[:])
		b, piece = c.out[:0], next[:n]
		if a.body.Complete() {
			s.recordCompletion(a)
			if a.body.Tainted() {
				s.rateWhole(a)
			}
			break
		}
		if err != nil {
			a.err, a.r.broken = err, true
			s.recordLoss(a)
			s.logDone(a.r, a.head.Status, "the answer broke off")
			return false
		}
	}
	err := c.writeChunk(b, piece, lastChunk)
	s.logDone(a.r, a.head.Status, "")
	return err == nil && !closing
}
