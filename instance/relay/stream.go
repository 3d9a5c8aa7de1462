package relay

import (
	"bytes"
	"math"
	"time"

	"github.com/comfreyladder/comfreyladder/core/fault"
	"github.com/comfreyladder/comfreyladder/instance/clock"
	"github.com/comfreyladder/comfreyladder/instance/http1"
)

// stream is the passing on of a series of events. Only whole events go out, so that
// one which broke off in the middle leaves nothing behind, and a stream can go on at
// another upstream after the last event.
type stream struct {
	s *Service
	c *conn
	r *request
	// out says that the head of the answer has gone out.
	out     bool
	closing bool
	// lastID is the ID of the last event that went out, as text and number.
	lastID   []byte
	lastSeen int64
	events   int
	// pending holds bytes that are no whole event yet.
	pending []byte
}

// carryStream passes a stream on, and resumes it where it breaks.
func (s *Service) carryStream(c *conn, a *attempt) (again, keep bool) {
	st := &stream{s: s, c: c, r: a.r, lastSeen: -1}
	if n, ok := http1.ParseUint(a.r.lastEvent); ok {
		st.lastSeen = n
	}
	for {
		err := st.carry(a)
		switch {
		case err == nil:
			a.end()
			s.logDone(a.r, a.head.Status, "")
			return false, !st.closing
		case a.r.isGone() || fault.CodeOf(err) == fault.Canceled:
			a.end()
			return false, st.broke("the caller hung up")
		case !st.out:
			// Nothing went out: the request may begin anew elsewhere.
			return true, false
		}
		next := st.resume(a, err)
		if next == nil {
			a.r.last = err
			return false, st.broke("the stream broke off")
		}
		a = next
	}
}

// broke ends a stream of which a part is out.
func (st *stream) broke(reason string) bool {
	st.r.broken = true
	st.s.logDone(st.r, 0, reason)
	return false
}

// carry passes on the events of one attempt; nil means that the stream is whole.
func (st *stream) carry(a *attempt) error {
	var piece [ioBuffer]byte
	st.pending = st.pending[:0]
	for {
		a.setStreamDeadline()
		n, err := a.body.Read(piece[:])
		st.pending = append(st.pending, piece[:n]...)
		whole := a.body.Complete()
		if werr := st.send(a, whole); werr != nil {
			return werr
		}
		if whole {
			a.up.succeeded()
			st.s.completed(a)
			return nil
		}
		if err != nil {
			a.err = err
			return fault.Wrap(err, fault.StreamBroken, "the stream of %s broke after %d events", a.up.id, st.events)
		}
	}
}

// stall is after what silence a stream that may be resumed is taken for broken, if
// the route does not say how long a pause may be; else stallGaps such pauses. With a
// long prompt that others share it goes on elsewhere only when its connection is
// lost: reading all of it again costs more than the late answer is worth.
const (
	stall       = 2 * time.Second
	stallGaps   = 3
	stallShared = 3000
)

func (a *attempt) setStreamDeadline() {
	left := a.r.left(clock.Now())
	if a.r.route.Resumable && a.r.sent+1 < a.r.route.MaxAttempts && a.begunEvents && a.r.shared < stallShared {
		left = min(left, max(stall, stallGaps*a.r.route.MaxPause))
	}
	_ = a.conn.nc.SetReadDeadline(time.Now().Add(left))
}

// send passes on the whole events that are pending.
func (st *stream) send(a *attempt, last bool) error {
	end := lastEventEnd(st.pending)
	if end == 0 && !last {
		return nil
	}
	if last && end < len(st.pending) {
		return fault.New(fault.StreamBroken, "the stream of %s ends in the middle of an event", a.up.id)
	}
	events := st.fresh(st.pending[:end])
	if len(events) == 0 && !last {
		st.keep(end)
		return nil
	}
	b := st.c.out[:0]
	if !st.out {
		st.closing = st.c.closing(st.r)
		b = append(appendAnswerHead(b, a, st.closing), "Transfer-Encoding: chunked\r\n\r\n"...)
	}
	b = appendChunk(b, events)
	if last {
		b = append(b, lastChunk...)
	}
	st.keep(end)
	st.c.out = b
	a.firstEvent()
	st.r.noteEvent(time.Now())
	st.out = true
	return st.c.write(b)
}

// noteEvent measures the pauses between events.
func (r *request) noteEvent(now time.Time) {
	if !r.lastOut.IsZero() {
		r.pause = max(r.pause, now.Sub(r.lastOut))
	}
	r.lastOut = now
}

func (st *stream) keep(from int) {
	n := copy(st.pending, st.pending[from:])
	st.pending = st.pending[:n]
}

// lastEventEnd returns where the last whole event in b ends.
func lastEventEnd(b []byte) int {
	end := 0
	if i := bytes.LastIndex(b, []byte("\n\n")); i >= 0 {
		end = i + 2
	}
	if i := bytes.LastIndex(b, []byte("\r\n\r\n")); i >= 0 {
		end = max(end, i+4)
	}
	return end
}

// fresh notes the events' IDs and cuts off events that went out before: one that
// resumes may begin with an event that the caller has already.
func (st *stream) fresh(events []byte) []byte {
	from := 0
	for at := 0; at < len(events); {
		size := eventSize(events[at:])
		id, n, ok := eventID(events[at : at+size])
		switch {
		case ok && n <= st.lastSeen:
			from = at + size
		case ok:
			st.lastSeen, st.lastID = n, append(st.lastID[:0], id...)
			st.events++
		}
		at += size
	}
	return events[from:]
}

func eventSize(b []byte) int {
	i := bytes.Index(b, []byte("\n\n"))
	j := bytes.Index(b, []byte("\r\n\r\n"))
	switch {
	case i < 0 && j < 0:
		return len(b)
	case j < 0 || i >= 0 && i < j:
		return i + 2
	}
	return j + 4
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

// resume sends the request to another upstream, to go on after the last event; nil
// means that it can't.
func (st *stream) resume(broken *attempt, cause error) *attempt {
	r, s := st.r, st.s
	avoid := []*upstream{broken.up}
	// The old run must be off before a new one may begin.
	broken.dirty = true
	broken.end()
	s.noteAttempt(r, broken, unknown)
	for r.route.Resumable && len(st.lastID) > 0 && s.mayTryAgain(r, unknown) {
		r.maxAhead = math.MaxInt32
		up, _ := s.fleet.choose(r, s.cfg.Domain, avoid)
		if up == nil {
			return nil
		}
		a, o := s.start(r, up, 0, st.lastID)
		if o == answered && a.head.Status/100 == 2 {
			s.cfg.Log.Event("stream_resumed").Bytes("request", r.id).Str("from", broken.up.id).Str("upstream", up.id).
				Bytes("after_event", st.lastID).MS("left", r.left(clock.Now())).Err(cause).End()
			return a
		}
		if o == answered {
			// A failure is an answer too: the upstream has run the request, and that counts.
			o = unknown
			a.err = fault.New(fault.Internal, "the upstream answered %d", a.head.Status)
			a.up.answeredFailure()
		}
		a.end()
		s.noteAttempt(r, a, o)
		if r.isGone() {
			return nil
		}
		avoid = append(avoid, up)
	}
	return nil
}
