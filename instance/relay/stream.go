package relay

import (
	"bytes"
	"math"
	"time"

	"github.com/comfreyladder/comfreyladder/core/fault"
	"github.com/comfreyladder/comfreyladder/instance/clock"
	"github.com/comfreyladder/comfreyladder/instance/http1"
	"github.com/comfreyladder/comfreyladder/instance/sse"
)

// stream forwards a response of server-sent events. Only complete events are forwarded, so that one
// which breaks off leaves no fragment and the stream can continue at another upstream after the
// last event.
type stream struct {
	s *Service
	c *conn
	r *request
	// headSent is set once the head of the response was sent.
	headSent bool
	closing  bool
	// lastID is the ID of the last forwarded event; lastNumber is its number.
	lastID     []byte
	lastNumber int64
	events     int
	// pending holds bytes that do not form a complete event yet, of which reserved are in the
	// budget of responses. The first complete ones are complete events.
	pending  []byte
	reserved int64
	complete int
	// scanner finds the ends of the events of the current attempt. progressAt is when one was last
	// forwarded, or the attempt began.
	scanner    sse.Scanner
	progressAt time.Time
	// raw is set once an event could not be held. From then on the stream is forwarded as it arrives,
	// and cannot be resumed.
	raw bool
	// elsewhere is whether, at checkedAt, another upstream could go on with the stream.
	elsewhere bool
	checkedAt time.Time
}

// forwardStream forwards a stream and resumes it at another upstream if it breaks.
func (s *Service) forwardStream(c *conn, a *attempt) (again, keep bool) {
	st := &stream{s: s, c: c, r: a.r, lastNumber: -1}
	defer func() { s.answers.free(st.reserved) }()
	if n, ok := http1.ParseUint(a.r.lastEvent); ok {
		st.lastNumber = n
	}
	for {
		err := st.forwardEvents(a)
		switch {
		case err == nil:
			a.release()
			s.logDone(a.r, a.head.Status, "")
			return false, !st.closing
		case a.r.isGone() || fault.CodeOf(err) == fault.Canceled:
			a.release()
			return false, st.finishBroken("the caller hung up")
		case !st.headSent:
			// Nothing was sent to the caller: the request may start over elsewhere.
			return true, false
		}
		next := st.resume(a, err)
		if next == nil {
			a.r.lastErr = err
			return false, st.finishBroken("the stream broke off")
		}
		a = next
	}
}

// finishBroken ends a stream of which a part was sent.
func (st *stream) finishBroken(reason string) bool {
	st.r.broken = true
	st.s.logDone(st.r, 0, reason)
	return false
}

// forwardEvents forwards the events of one attempt; nil means that the stream is complete.
func (st *stream) forwardEvents(a *attempt) error {
	var piece [ioBufferSize]byte
	st.discardPending(len(st.pending))
	st.scanner, st.progressAt = sse.NewScanner(st.s.cfg.EventBytes), time.Now()
	a.limitWaits(nil)
	for {
		st.setDeadline(a)
		n, err := a.body.Read(piece[:])
		a.heard()
		blocks := st.scanner.Blocks()
		tooLong := st.hold(piece[:n])
		whole := a.body.Complete() && tooLong == nil
		if whole && st.scanner.Unfinished() == 0 {
			// Empty lines after the last event.
			st.complete = len(st.pending)
		}
		if werr := st.send(a, whole); werr != nil {
			return werr
		}
		st.s.recordAnswering(a)
		if st.scanner.Blocks() > blocks {
			// The time that the caller takes to read is not the upstream's.
			st.progressAt = time.Now()
		}
		if whole {
			st.s.rateWhole(a)
			st.s.recordCompletion(a)
			return nil
		}
		if err = st.broken(a, err, tooLong); err != nil {
			a.err = err
			return fault.Wrap(err, fault.StreamBroken, "stream from %s broke after %d events", a.up.id, st.events)
		}
	}
}

// broken returns why a stream can't be read any further, nil if it can.
func (st *stream) broken(a *attempt, err, tooLong error) error {
	if tooLong != nil {
		st.s.recordCut(a, "event", st.scanner.Size())
		return tooLong
	}
	if err != nil && (st.scanner.Unfinished() > 0 || a.body.Waiting() == http1.ForFraming) {
		return a.stalled(err, st.progressAt, "event", st.scanner.Unfinished())
	}
	return err
}

// A resumable stream counts as broken if no event ends for minStallTimeout, or for stallPauses times the
// maximum pause of its route if that is longer. Bytes of an event that does not end do not count. A stream whose prompt shares maxResumeShared tokens
// or more with others continues elsewhere only if its connection is lost: prefilling that prompt
// again costs more than the late response is worth.
const (
	minStallTimeout = 2 * time.Second
	stallPauses     = 3
	maxResumeShared = 3000
)

func (st *stream) setDeadline(a *attempt) {
	r := a.r
	until := time.Now().Add(r.left(clock.Now()))
	if !st.raw && st.mayGoOnElsewhere(a) && r.sent+1 < r.route.MaxAttempts && a.firstEventSeen && r.sharedTokens < maxResumeShared {
		until = earlier(until, st.progressAt.Add(max(minStallTimeout, stallPauses*r.route.MaxPause)))
	}
	a.readUntil(until)
}

// checkInterval is the time between two checks whether another upstream could go on with a stream.
const checkInterval = time.Second

// mayGoOnElsewhere reports whether another upstream could go on with the stream, as of a short time ago.
func (st *stream) mayGoOnElsewhere(a *attempt) bool {
	if !a.r.route.Resumable {
		return false
	}
	if now := time.Now(); now.Sub(st.checkedAt) >= checkInterval {
		st.elsewhere, st.checkedAt = st.s.fleet.hasOther(a.r, a.up), now
	}
	return st.elsewhere
}

// hold appends to the pending bytes. It fails with fault.TooLarge if an event exceeds the limit, of which
// nothing more may be forwarded then.
func (st *stream) hold(piece []byte) error {
	held := len(st.pending)
	st.pending = append(st.pending, piece...)
	end, err := st.scanner.Scan(piece)
	if end > 0 {
		st.complete = held + end
	}
	if err != nil {
		return err
	}
	st.reserve()
	if st.raw {
		st.complete = len(st.pending)
	}
	return nil
}

// reserve reserves more for the pending bytes if they need it, or makes the stream raw.
func (st *stream) reserve() {
	if st.raw || int64(len(st.pending)) <= ioBufferSize+st.reserved {
		return
	}
	if st.reserved >= st.holdable() || !st.s.answers.reserve(bodyReservation) {
		st.raw = true
		return
	}
	st.reserved += bodyReservation
}

// holdable is how many bytes of an event may be held: all of the longest one if the stream can go on
// elsewhere, as it can't once a part of an event was forwarded.
func (st *stream) holdable() int64 {
	if st.elsewhere {
		return int64(st.s.cfg.EventBytes) + bodyReservation
	}
	return maxBufferedBody
}

// send forwards the complete events in pending.
func (st *stream) send(a *attempt, last bool) error {
	end := st.complete
	if end == 0 && !last {
		return nil
	}
	if last && st.scanner.Unfinished() > 0 {
		return fault.New(fault.StreamBroken, "stream from %s ends in the middle of an event", a.up.id)
	}
	events := st.pending[:end]
	if !st.raw {
		events = st.dropDuplicates(events)
	}
	if len(events) == 0 && !last {
		st.discardPending(end)
		return nil
	}
	b := st.c.out[:0]
	if !st.headSent {
		a.recordOrigin()
		st.closing = st.c.closing(st.r)
		b = append(appendAnswerHead(b, a, st.closing), "Transfer-Encoding: chunked\r\n\r\n"...)
	}
	var after []byte
	if last {
		after = lastChunk
	}
	a.recordFirstEvent()
	st.r.recordPause(time.Now())
	st.headSent = true
	err := st.c.writeChunk(b, events, after)
	st.discardPending(end)
	return err
}

// recordPause updates the longest pause between forwarded events.
func (r *request) recordPause(now time.Time) {
	if !r.lastEventAt.IsZero() {
		r.longestPause = max(r.longestPause, now.Sub(r.lastEventAt))
	}
	r.lastEventAt = now
}

func (st *stream) discardPending(from int) {
	n := copy(st.pending, st.pending[from:])
	st.pending, st.complete = st.pending[:n], 0
}

// dropDuplicates records the IDs of the events and cuts off those that were forwarded before: a
// resumed stream may begin with an event that the caller already has.
func (st *stream) dropDuplicates(events []byte) []byte {
	from := 0
	for at := 0; at < len(events); {
		size := sse.First(events[at:])
		id, n, ok := eventID(events[at : at+size])
		switch {
		case ok && n <= st.lastNumber:
			from = at + size
		case ok:
			st.lastNumber, st.lastID = n, append(st.lastID[:0], id...)
			st.events++
		}
		at += size
	}
	return events[from:]
}

func eventID(event []byte) (id []byte, n int64, ok bool) {
	for len(event) > 0 {
		var line []byte
		line, event, _ = bytes.Cut(event, []byte{'\n'})
		if value, found := bytes.CutPrefix(line, []byte("id:")); found {
			id = bytes.TrimSpace(value)
			n, ok = http1.ParseUint(id)
			return id, n, ok
		}
	}
	return nil, 0, false
}

// resume sends the request to another upstream, to continue after the last event; nil means that
// the stream cannot be resumed.
func (st *stream) resume(broken *attempt, cause error) *attempt {
	r, s := st.r, st.s
	avoid := []*upstream{broken.up}
	// The old run must be cancelled before a new one may start.
	broken.notReusable = true
	broken.release()
	s.recordAttempt(r, broken, unknown)
	for r.route.Resumable && len(st.lastID) > 0 && !st.raw && s.mayTryAgain(r, unknown) {
		r.maxQueueMS = math.MaxInt32
		up, _ := s.fleet.choose(r, s.cfg.Domain, avoid)
		if up == nil {
			return nil
		}
		a, o := s.start(r, up, 0, st.lastID)
		if o == answered && a.head.Status/100 == 2 {
			s.cfg.Log.Event("stream_resumed").Bytes("request", r.id).Str("from", broken.up.id).Str("upstream", up.id).
				Str("from_software", broken.software).Str("software", a.software).
				Bytes("after_event", st.lastID).MS("left", r.left(clock.Now())).Err(cause).End()
			return a
		}
		if o == answered {
			// An error response counts as an attempt too: the upstream has run the request.
			o = unknown
			a.err = fault.New(fault.Internal, "the upstream answered %d", a.head.Status)
			a.up.answeredFailure()
		}
		a.release()
		s.recordAttempt(r, a, o)
		if r.isGone() {
			return nil
		}
		avoid = append(avoid, up)
	}
	return nil
}
