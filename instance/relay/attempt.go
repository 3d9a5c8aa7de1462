package relay

import (
	"context"
	"net"
	"time"

	"github.com/pkg/errors"

	"github.com/comfreyladder/comfreyladder/core/fault"
	"github.com/comfreyladder/comfreyladder/instance/clock"
	"github.com/comfreyladder/comfreyladder/instance/http1"
)

// outcome says what is proved about an attempt that has no answer to pass on.
type outcome uint8

const (
	// answered means that the head of the upstream's own answer has come.
	answered outcome = iota
	// notSent means that no byte left for the upstream.
	notSent
	// rejected means that the upstream said that it did not run the request.
	rejected
	// unknown means that the request left and may have run.
	unknown
	// callerGone means that the caller hung up.
	callerGone
)

// String returns the outcome's name in logs and metrics.
func (o outcome) String() string {
	return [...]string{"answered", "not_sent", "rejected", "unknown", "caller_gone"}[o]
}

// attempt is one sending of a request to an upstream.
type attempt struct {
	s    *Service
	r    *request
	up   *upstream
	conn *upstreamConn
	head http1.Head
	body http1.Body
	// unread is how many tokens were believed to be read for it, ahead how many waited
	// before them, nominal the predicted time to the first event in milliseconds. unread
	// is booked at the upstream until the first event.
	unread, ahead int
	nominal       float64
	begunEvents   bool
	// right says that a right of a limited upstream was used for it.
	right bool
	// writing is closed when all of the request was written, nil if it was at once.
	writing chan error
	// dirty says that the connection can't be used again, ended that it was given back.
	dirty bool
	ended bool
	err   error
	// begun is when the attempt began, sent when its request left, by clock.Now.
	begun, sent time.Time
}

// start sends the request and reads the head of the answer. patience bounds the
// wait for it; zero means until the deadline.
func (s *Service) start(r *request, up *upstream, patience time.Duration, lastEvent []byte) (*attempt, outcome) {
	a := &attempt{s: s, r: r, up: up, unread: r.unread, ahead: r.ahead, nominal: r.nominal, right: r.right, begun: time.Now()}
	if o := a.connect(); o != answered {
		return a, o
	}
	if !r.attach(func() { _ = a.conn.nc.Close() }) {
		return a, callerGone
	}
	// The lease and the time that is left are looked at right before the bytes leave:
	// a process that was frozen since it took the request must not send it late.
	now := clock.Now()
	left := r.left(now)
	if left <= deadlineMargin {
		a.err = fault.New(fault.DeadlineExceeded, "no time is left")
		return a, notSent
	}
	if r.organisation != nil && !s.mayAct() {
		a.err, r.leaseLost = errLease, true
		return a, notSent
	}
	if s.standing(r).quarantined && !r.trial {
		a.err = errQuarantinedNow
		return a, notSent
	}
	until := time.Now().Add(left)
	if patience > 0 && patience < left {
		until = time.Now().Add(patience)
	}
	_ = a.conn.nc.SetDeadline(until)
	a.sent = now
	a.write(left, lastEvent)
	if a.err == nil {
		a.err = a.readHead()
	}
	if a.err != nil {
		if r.isGone() {
			return a, callerGone
		}
		return a, unknown
	}
	return a, a.judge()
}

// errQuarantinedNow says that a request was quarantined after it had been admitted.
var errQuarantinedNow = fault.New(fault.Forbidden, "the request is quarantined")

var errLease = fault.New(fault.Unavailable, "this instance has lost the control group and can't tell which keys are valid").WithRetryAfter(time.Second)

// connect takes an idle connection or makes one.
func (a *attempt) connect() outcome {
	if a.conn = a.up.pool.take(time.Now()); a.conn != nil {
		return answered
	}
	ctx, cancel := context.WithTimeout(context.Background(), dialTimeout)
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

// atOnce is up to which size a request is written before the answer is awaited. A
// larger one is written beside that: an upstream may answer before it has read all.
const atOnce = 8 << 10

func (a *attempt) write(left time.Duration, lastEvent []byte) {
	if lastEvent == nil {
		lastEvent = a.r.lastEvent
	}
	buf := buffers.Get().(*[]byte)
	b := a.r.encode((*buf)[:0], &a.s.cfg.Headers, a.up.id, left-deadlineMargin, lastEvent)
	b = append(b, a.r.body...)
	*buf = b
	if len(b) <= atOnce {
		_, a.err = a.conn.nc.Write(b)
		buffers.Put(buf)
		return
	}
	done := make(chan error, 1)
	a.writing = done
	go func() {
		_, err := a.conn.nc.Write(b)
		buffers.Put(buf)
		done <- err
	}()
}

// readHead reads heads until the one that bears the request's ID. An answer to an
// earlier request may stand before it; it belongs to nobody any more.
func (a *attempt) readHead() error {
	for {
		if err := a.head.ReadResponse(a.conn.in, maxAnswerHead, string(a.r.head.Method)); err != nil {
			return err
		}
		if a.head.Status/100 == 1 {
			continue
		}
		a.body.Reset(a.conn.in, &a.head)
		id := a.head.Get(a.s.cfg.Headers.RequestID)
		if string(id) == string(a.r.id) {
			a.noteLimit()
			return nil
		}
		a.dirty = true
		if len(id) == 0 || a.head.Close {
			return fault.New(fault.Corrupt, "an answer with status %d bears another ID or none", a.head.Status)
		}
		if _, err := a.body.ReadAll(nil, maxBuffered); err != nil {
			return err
		}
	}
}

const statusMisdirected = 421

// judge tells a proof that the request did not run from an answer.
func (a *attempt) judge() outcome {
	h := &a.s.cfg.Headers
	if a.head.Status/100 != 2 && (a.head.Has(h.NotRun) || a.head.Status == statusMisdirected) {
		a.err = fault.New(fault.Overloaded, "the upstream answered %d and did not run it", a.head.Status)
		a.drop()
		return rejected
	}
	if a.head.Status/100 == 2 && !a.head.Has(h.Seal) {
		a.err = fault.New(fault.Corrupt, "an answer with status %d has no seal", a.head.Status)
		return unknown
	}
	return answered
}

// drop reads what is left of an answer that is not passed on, so that the connection
// can be used again.
func (a *attempt) drop() {
	if _, err := a.body.ReadAll(nil, maxBuffered); err != nil {
		a.dirty = true
	}
}

// end gives the connection back, or closes it: only one on which both messages went
// through whole can carry another request.
func (a *attempt) end() {
	if a.ended {
		return
	}
	a.ended = true
	a.r.detach()
	a.s.fleet.done(a)
	if a.conn == nil {
		return
	}
	if a.dirty || !a.written() || !a.body.Complete() || a.r.isGone() {
		_ = a.conn.nc.Close()
		return
	}
	_ = a.conn.nc.SetDeadline(time.Time{})
	a.up.pool.put(a.conn, &a.head, time.Now())
}

// written reports whether all of the request was written.
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

// began counts the request as one that began to run: a stream with its first event, any
// other request once it is answered or may have run. One that goes on at another upstream,
// or is repeated there, is still the same request.
func (a *attempt) began() { a.beganAgo(0) }

func (a *attempt) beganAgo(ago time.Duration) {
	if a.r.organisation == nil || a.s.cfg.Began == nil || a.r.counted.Swap(true) {
		return
	}
	a.s.cfg.Began(a.r.organisation.Name, ago)
}

// firstEvent says that the prompt was read.
func (a *attempt) firstEvent() {
	a.began()
	if !a.begunEvents {
		a.r.first = time.Since(a.begun)
		a.s.fleet.firstEvent(a, a.r.first)
		a.begunEvents = true
	}
}

func isTimeout(err error) bool {
	var t net.Error
	return errors.As(err, &t) && t.Timeout()
}
