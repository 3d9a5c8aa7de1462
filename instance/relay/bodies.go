package relay

import (
	"math"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/comfreyladder/comfreyladder/core/fault"
	"github.com/comfreyladder/comfreyladder/instance/http1"
)

// bodyReservation is the size by which a body of unknown length is reserved at a time, in bytes.
const bodyReservation = 64 << 10

// bodyBudget bounds the total size of the message bodies held at the same time. Each body is
// bounded on its own, but many large ones at once could exceed the memory limit of the process,
// which would be killed with all its requests in flight.
type bodyBudget struct {
	limit int64
	used  atomic.Int64
}

func newBodyBudget(limit int64) *bodyBudget {
	if limit <= 0 {
		limit = math.MaxInt64
	}
	return &bodyBudget{limit: limit}
}

// reserve reserves n bytes and reports whether the budget allowed it.
func (b *bodyBudget) reserve(n int64) bool {
	if b.used.Add(n) <= b.limit {
		return true
	}
	b.used.Add(-n)
	return false
}

func (b *bodyBudget) free(n int64) { b.used.Add(-n) }

// bodyRetryAfter is when a request whose body exceeded the budget may be retried: most large bodies
// are forwarded within it.
const bodyRetryAfter = 300 * time.Millisecond

var errBodyBudget = fault.New(fault.Overloaded, "not run: too many large bodies are under way").WithRetryAfter(bodyRetryAfter)

// readBody reads the body of a request within the budget: a body of known length is reserved before
// it is read, any other one step by step.
func (b *bodyBudget) readBody(r *request, body *http1.Body, limit int64) error {
	if r.head.Framing == http1.ByLength {
		if !b.reserveFor(r, r.head.Length) {
			return errBodyBudget
		}
		var err error
		r.body, err = body.ReadAll(r.body, limit)
		return err
	}
	for {
		// The previous step may have read more than was reserved, up to the capacity of the buffer.
		if !b.reserveFor(r, int64(len(r.body))+bodyReservation-r.reservedBytes) {
			return errBodyBudget
		}
		var err error
		r.body, err = body.ReadAll(r.body, min(limit, int64(len(r.body))+bodyReservation))
		if !errors.Is(err, http1.ErrBodyTooLarge) || int64(len(r.body)) > limit {
			return err
		}
	}
}

func (b *bodyBudget) reserveFor(r *request, n int64) bool {
	if !b.reserve(n) {
		return false
	}
	r.reservedBytes += n
	return true
}

// release returns the reservation for the body of a request.
func (b *bodyBudget) release(r *request) {
	b.free(r.reservedBytes)
	r.reservedBytes = 0
}

// readAnswer reads the body of a response that is held until the caller has read it, and returns
// how many bytes of the budget it has reserved. It fails with http1.ErrBodyTooLarge, and what has
// been read so far, if the body exceeds maxBufferedBody or the budget. A body that fits into a read
// buffer is always held.
func (b *bodyBudget) readAnswer(body *http1.Body, head *http1.Head, buf []byte) (_ []byte, reserved int64, err error) {
	step := int64(bodyReservation)
	if head.Framing == http1.ByLength {
		step = head.Length
	}
	if step > maxBufferedBody {
		return buf, 0, http1.ErrBodyTooLarge
	}
	for limit := int64(ioBufferSize); ; {
		buf, err = body.ReadAll(buf, limit)
		if !errors.Is(err, http1.ErrBodyTooLarge) || limit >= maxBufferedBody || !b.reserve(step) {
			return buf, reserved, err
		}
		reserved += step
		limit = min(int64(ioBufferSize)+reserved, maxBufferedBody)
	}
}
