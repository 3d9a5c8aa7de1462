package relay

import (
	"net"
	"time"

	"github.com/comfreyladder/comfreyladder/core/fault"
	"github.com/comfreyladder/comfreyladder/instance/http1"
)

// An upstream may send bytes without end that are no response. What it may send before its connection
// is closed is bounded here, in http1 and in sse, see docs/design/endless-responses.md.
const (
	// maxAnswerHeads bounds the interim responses, and the late responses to other requests, before the
	// response to a request. Together with it they are no longer than maxAnswerHeadBytes, except for
	// the bodies of late ones.
	maxAnswerHeads = 32
	// trailerTimeout is how long the trailers of a whole body are awaited. They are not forwarded, and
	// only decide whether the connection can be used again.
	trailerTimeout = 200 * time.Millisecond
	// discardTimeout bounds the wait for the body of a response that is not forwarded. Its request goes
	// to another upstream after it.
	discardTimeout = 200 * time.Millisecond
	// drippingShare is the share of a wait in which an upstream must have sent something to be told from
	// one that is silent.
	drippingShare = 0.5
)

// arrivals is the connection to an upstream, as its responses are read from it. It records when bytes
// last arrived.
type arrivals struct {
	nc net.Conn
	at time.Time
}

// Read implements io.Reader.
func (r *arrivals) Read(p []byte) (int, error) {
	n, err := r.nc.Read(p)
	if n > 0 {
		r.at = time.Now()
	}
	return n, err
}

// readUntil sets the read deadline of the connection.
func (a *attempt) readUntil(until time.Time) {
	a.until = until
	_ = a.conn.nc.SetReadDeadline(until)
}

// limitWaits keeps bytes between chunks and in trailers from extending the wait for the body. patience
// is how long a chunk's size line may take once it has begun, zero if it is not bounded; nil if the
// caller sets the deadline of each read by the progress of the body.
func (a *attempt) limitWaits(patience func() time.Duration) {
	a.body.OnWait(func(w http1.Wait) {
		until := a.until
		switch {
		case w == http1.ForTrailers:
			until = earlier(until, time.Now().Add(trailerTimeout))
		case w == http1.ForFraming && patience != nil:
			if limit := patience(); limit > 0 {
				until = earlier(until, time.Now().Add(limit))
			}
		}
		a.waitSince = time.Now()
		_ = a.conn.nc.SetReadDeadline(until)
	})
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// stalled returns the error of a read that timed out although bytes kept arriving: the upstream is
// reachable and sends what is no response. Otherwise it returns err.
func (a *attempt) stalled(err error, since time.Time, what string, unfinished int) error {
	waited := time.Since(since)
	if !isTimeout(err) || time.Since(a.conn.arrivals.at) > time.Duration(drippingShare*float64(waited)) {
		return err
	}
	a.s.recordCut(a, what, unfinished)
	return fault.New(fault.StreamBroken, "%s from %s without progress in %s", what, a.up.id, waited)
}

// recordCut records a response that was cut off as it had no end.
func (s *Service) recordCut(a *attempt, what string, bytes int) {
	s.set.GetOrCreateCounter(`relay_endless_answers_total{of="` + what + `"}`).Inc()
	s.cfg.Log.Event("answer_without_end").Bytes("request", a.r.id).Str("upstream", a.up.id).Str("of", what).Int("bytes", int64(bytes)).
		Int("status", int64(a.head.Status)).MS("took", time.Since(a.startedAt)).End()
}

// rateWhole rates an upstream by a whole response: one whose trailers do not end sends garbage.
func (s *Service) rateWhole(a *attempt) {
	if !a.body.Tainted() {
		a.up.succeeded()
		return
	}
	a.up.failed(false)
	s.recordCut(a, "trailers", 0)
}
