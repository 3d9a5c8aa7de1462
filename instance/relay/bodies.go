package relay

import (
	"math"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/comfreyladder/comfreyladder/core/fault"
	"github.com/comfreyladder/comfreyladder/instance/http1"
)

// bodyStep is how many bytes of a body of unknown length are booked at a time.
const bodyStep = 64 << 10

// bodies bounds the request bodies that are held at the same time. Each is bounded by
// the configuration, but many large ones at once would take more memory than the process
// may have; it would be killed, and with it all that it has under way.
type bodies struct {
	most int64
	held atomic.Int64
}

func newBodies(most int64) *bodies {
	if most <= 0 {
		most = math.MaxInt64
	}
	return &bodies{most: most}
}

// take books bytes, and reports whether there is room for them.
func (b *bodies) take(n int64) bool {
	if b.held.Add(n) <= b.most {
		return true
	}
	b.held.Add(-n)
	return false
}

func (b *bodies) give(n int64) { b.held.Add(-n) }

// retryBodies is when a request that found no room for its body may come again: large
// bodies are mostly passed on within it.
const retryBodies = 300 * time.Millisecond

var errNoRoom = fault.New(fault.Overloaded, "not run: too many large bodies are under way").WithRetryAfter(retryBodies)

// readBody reads the body of a request, as far as there is room: one of a known length is
// booked before it is read, another one step by step.
func (b *bodies) readBody(r *request, body *http1.Body, limit int64) error {
	if r.head.Framing == http1.ByLength {
		if !b.book(r, r.head.Length) {
			return errNoRoom
		}
		var err error
		r.body, err = body.ReadAll(r.body, limit)
		return err
	}
	for {
		// A step may have read more than it was to, as far as the buffer had room.
		if !b.book(r, int64(len(r.body))+bodyStep-r.booked) {
			return errNoRoom
		}
		var err error
		r.body, err = body.ReadAll(r.body, min(limit, int64(len(r.body))+bodyStep))
		if !errors.Is(err, http1.ErrBodyTooLarge) || int64(len(r.body)) > limit {
			return err
		}
	}
}

func (b *bodies) book(r *request, n int64) bool {
	if !b.take(n) {
		return false
	}
	r.booked += n
	return true
}

// release ends the booking of a request's body.
func (b *bodies) release(r *request) {
	b.give(r.booked)
	r.booked = 0
}
