package relay

import (
	"context"
	"net"
	"time"

	"github.com/pkg/errors"

	"github.com/comfreyladder/comfreyladder/core/backpressure"
	"github.com/comfreyladder/comfreyladder/core/fault"
	"github.com/comfreyladder/comfreyladder/instance/clock"
	"github.com/comfreyladder/comfreyladder/instance/http1"
)

// outcome is what is known of an attempt once the head of the response was received or the attempt
// failed.
type outcome uint8

const (
	// answered means that the head of the upstream's own response was received.
	answered outcome = iota
	// notSent means that no byte was sent to the upstream.
	notSent
	// rejected means that the upstream declared that it did not run the request.
	rejected
	// unknown means that the request was sent and may have run.
	unknown
	// callerGone means that the caller hung up.
	callerGone
)

// String returns the outcome's name in logs and metrics.
func (o outcome) String() string {
	return [...]string{"answered", "not_sent", "rejected", "unknown", "caller_gone"}[o]
}

// attempt is one transmission of a request to an upstream.
type attempt struct {
	s    *Service
	r    *request
	up   *upstream
	conn *upstreamConn
	head http1.Head
	body http1.Body
	// uncachedTokens is the estimated number of prompt tokens to prefill, queuedTokens the number
	// queued before them, and nominalMS the predicted time to the first event. uncachedTokens is
	// reserved at the upstream until the first event.
	uncachedTokens, queuedTokens int
	nominalMS                    float64
	// software is the software version of the upstream.
	software string
	// firstEventAt is when the first event was received, zero before it.
	firstEventAt   time.Time
	firstEventSeen bool
	// answeringRecorded is set once the upstream's writing of the answer was recorded as a success.
	answeringRecorded bool
	// usedToken is set if a rate token of a limited upstream was used.
	usedToken bool
	// permitUntil is that of the request.
	permitUntil time.Time
	// writing receives the result of a write in the background; nil if the request was written
	// synchronously.
	writing chan error
	// notReusable is set if the connection cannot carry another request, released once it was
	// returned or closed.
	notReusable bool
	released    bool
	// awaiting is set while a response is awaited on a direct connection.
	awaiting bool
	// until is the read deadline while the body makes progress, and waitSince when a wait for bytes that
	// are no part of it began.
	until, waitSince time.Time
	err              error
	// asked is what the response asks of this instance. closedFor is how long the upstream's gate was
	// to remain closed when the request was not sent for that reason.
	asked     backpressure.Ask
	closedFor time.Duration
	// startedAt is when the attempt started; sentAt is when its request was sent, by clock.Now.
	startedAt, sentAt time.Time
}

// start sends the request and reads the head of the response. patience bounds the wait for it; zero
// means until the deadline.
func (s *Service) start(r *request, up *upstream, patience time.Duration, lastEvent []byte) (*attempt, outcome) {
	a := &attempt{s: s, r: r, up: up, uncachedTokens: r.uncachedTokens, queuedTokens: r.queuedTokens, nominalMS: r.nominalMS, software: r.software, usedToken: r.usedToken, permitUntil: r.permitUntil, startedAt: time.Now()}
	if o := a.connect(); o != answered {
		return a, o
	}
	if !r.attach(func() { _ = a.conn.nc.Close() }) {
		return a, callerGone
	}
	now := clock.Now()
	left := r.left(now)
	if a.err = a.check(now, left); a.err != nil {
		return a, notSent
	}
	until := time.Now().Add(left)
	if patience > 0 && patience < left {
		until = time.Now().Add(patience)
	}
	_ = a.conn.nc.SetDeadline(until)
	a.sentAt = now
	a.await()
	a.write(left, lastEvent)
	if a.err == nil {
		a.err = a.readHead()
	}
	if a.err != nil {
		if r.isGone() {
			return a, callerGone
		}
		a.recordUnanswered()
		return a, unknown
	}
	return a, a.classify()
}

// check returns why the request must not be sent any more. The key, the lease and the remaining time are
// checked directly before the write: a process that was suspended after it accepted the request must not
// send it late.
func (a *attempt) check(now time.Time, left time.Duration) error {
	s, r := a.s, a.r
	if left <= deadlineMargin {
		return fault.New(fault.DeadlineExceeded, "the deadline has passed")
	}
	if !s.reauthorise(r) {
		return errBarred
	}
	if s.conditionOf(r).quarantined && !r.trial {
		return errQuarantinedNow
	}
	if a.closedFor = a.up.gate.Left(now); a.closedFor > 0 {
		return errUnwanted
	}
	if !s.fleet.permitted(a, now) {
		s.set.GetOrCreateCounter("relay_permits_expired_total").Inc()
		return errNoPermit
	}
	if r.sent > 0 && !s.spendRepeat(r.service) {
		return errOverBudget
	}
	if !a.permitUntil.IsZero() {
		s.set.GetOrCreateCounter("relay_requests_to_cold_upstreams_total").Inc()
	}
	return nil
}

// errQuarantinedNow means that a request was quarantined after it had been admitted.
var errQuarantinedNow = fault.New(fault.Forbidden, "the request is quarantined")

// errUnwanted means that the upstream asked for no requests after it had been chosen.
var errUnwanted = fault.New(fault.Unavailable, "the upstream asks for no requests")

// errOverBudget means that the retry budget no longer allows the repeat that it allowed before.
var errOverBudget = fault.New(fault.Unavailable, "the retry budget is spent")

// errBarred means that a request may not be sent any more, although it was admitted.
var errBarred = fault.New(fault.Forbidden, "the request's key is no longer known to be valid")

// connect takes an idle connection from the pool or dials a new one.
func (a *attempt) connect() outcome {
	var closed bool
	a.conn, closed = a.up.pool.take(time.Now())
	if closed {
		a.s.fleet.doubt(a.up)
	}
	if a.conn != nil {
		return answered
	}
	ctx, cancel := context.WithTimeout(context.Background(), a.r.left(clock.Now()))
	defer cancel()
	if !a.r.attach(cancel) {
		return callerGone
	}
	conn, err := a.up.pool.dial(ctx)
	if err != nil {
		a.err = err
		if a.r.isGone() {
			return callerGone
		}
		return notSent
	}
	a.conn = conn
	return answered
}

// maxInlineWrite is the size up to which a request is written before the response is read, in
// bytes. A larger one is written concurrently: an upstream may respond before it has read
// everything.
const maxInlineWrite = 8 << 10

func (a *attempt) write(left time.Duration, lastEvent []byte) {
	if lastEvent == nil {
		lastEvent = a.r.lastEvent
	}
	buf := buffers.Get().(*[]byte)
	b := a.r.encode((*buf)[:0], &a.s.cfg.Headers, a.up.id, left-deadlineMargin, lastEvent)
	b = append(b, a.r.body...)
	*buf = b
	if len(b) <= maxInlineWrite {
		_, a.err = a.conn.nc.Write(b)
		putBuffer(buf)
		return
	}
	done := make(chan error, 1)
	a.writing = done
	go func() {
		_, err := a.conn.nc.Write(b)
		putBuffer(buf)
		done <- err
	}()
}

// readHead reads response heads until one bears the ID of the request. A late response to an
// earlier request may precede it and is discarded.
func (a *attempt) readHead() error {
	size, discarded := 0, 0
	for range maxAnswerHeads {
		err := a.head.ReadResponse(a.conn.in, maxAnswerHeadBytes-size, string(a.r.head.Method))
		size += a.head.Size()
		if fault.CodeOf(err) == fault.TooLarge {
			a.s.recordCut(a, "head", size)
		}
		if err != nil {
			return err
		}
		a.heard()
		a.s.observeResponse(a.conn.nc)
		if a.head.Status/100 == 1 {
			continue
		}
		a.recordAsk()
		a.body.Reset(a.conn.in, &a.head)
		id := a.head.Get(a.s.cfg.Headers.RequestID)
		if string(id) == string(a.r.id) {
			a.recordLimit()
			return nil
		}
		a.notReusable = true
		if len(id) == 0 || a.head.Close {
			return fault.New(fault.Corrupt, "response with status %d has a different request ID or none", a.head.Status)
		}
		late, err := a.body.ReadAll(nil, int64(maxBufferedBody-discarded))
		discarded += len(late)
		if err != nil {
			return err
		}
	}
	a.s.recordCut(a, "interim", size+discarded)
	return fault.New(fault.TooLarge, "%d responses of %d bytes before the one to the request", maxAnswerHeads, size+discarded)
}

const statusMisdirected = 421

// classify distinguishes a response from a proof that the request did not run.
func (a *attempt) classify() outcome {
	h := &a.s.cfg.Headers
	if a.head.Status/100 != 2 && (a.head.Has(h.NotRun) || a.head.Status == statusMisdirected) {
		a.err = fault.New(fault.Overloaded, "the upstream answered %d and did not run the request", a.head.Status)
		a.discardBody()
		return rejected
	}
	if a.head.Status/100 == 2 && !a.head.Has(h.Seal) {
		a.err = fault.New(fault.Corrupt, "response with status %d has no seal", a.head.Status)
		return unknown
	}
	return answered
}

// discardBody reads the rest of a response that is not forwarded, so that the connection can be
// reused.
func (a *attempt) discardBody() {
	_ = a.conn.nc.SetReadDeadline(time.Now().Add(min(discardTimeout, a.r.left(clock.Now()))))
	if _, err := a.body.ReadAll(nil, maxBufferedBody); err != nil {
		a.notReusable = true
	}
}

// release returns the connection to the pool or closes it. It can be reused only if request and
// response were both transferred completely.
func (a *attempt) release() {
	if a.released {
		return
	}
	a.released = true
	a.stopAwaiting()
	a.r.detach()
	a.s.fleet.release(a)
	a.s.plainLoadChanged(a.r)
	if a.conn == nil {
		return
	}
	if a.notReusable || a.body.Tainted() || !a.written() || !a.body.Complete() || a.r.isGone() {
		_ = a.conn.nc.Close()
		return
	}
	_ = a.conn.nc.SetDeadline(time.Time{})
	a.up.pool.put(a.conn, &a.head, time.Now())
}

// written reports whether the whole request was written.
func (a *attempt) written() bool {
	if a.writing == nil {
		return true
	}
	select {
	case err := <-a.writing:
		return err == nil
	default:
		return false
	}
}

// countBegun counts the request in the usage of its organisation: a stream at its first event, any
// other request once it is answered or may have run. A request that is resumed or repeated at
// another upstream is counted once.
func (a *attempt) countBegun() { a.countBegunBefore(0) }

func (a *attempt) countBegunBefore(ago time.Duration) {
	if a.r.organisation == nil || a.s.cfg.OnRequestBegun == nil || a.r.usageCounted.Swap(true) {
		return
	}
	a.s.cfg.OnRequestBegun(a.r.organisation.Name, ago)
}

// recordFirstEvent records that the prompt was prefilled.
func (a *attempt) recordFirstEvent() {
	a.countBegun()
	if !a.firstEventSeen {
		a.firstEventAt = time.Now()
		a.r.firstEventAfter = time.Since(a.startedAt)
		a.s.fleet.firstEvent(a, a.r.firstEventAfter)
		a.s.loadChanged(a.r)
		a.firstEventSeen = true
	}
}

// answersSince reports whether the upstream has been writing the answer since a time.
func (a *attempt) answersSince(at time.Time) bool {
	return !a.firstEventAt.IsZero() && !a.firstEventAt.After(at)
}

func isTimeout(err error) bool {
	var t net.Error
	return errors.As(err, &t) && t.Timeout()
}
