package relay

import (
	"math/rand/v2"
	"time"

	"github.com/comfreyladder/comfreyladder/core/backpressure"
	"github.com/comfreyladder/comfreyladder/instance/clock"
	"github.com/comfreyladder/comfreyladder/instance/eventlog"
)

const fieldRetryAfter = "Retry-After"

// recordAsk records what a response asks of this instance. It applies whichever request the response
// belongs to.
func (a *attempt) recordAsk() {
	retryAfter, leaving := a.head.Get(fieldRetryAfter), a.head.Get(a.s.cfg.Headers.Leaving)
	if len(retryAfter) == 0 && len(leaving) == 0 {
		return
	}
	ask := backpressure.Parse(a.head.Status, string(retryAfter), string(leaving), time.Now())
	if ask == (backpressure.Ask{}) {
		return
	}
	a.asked = ask
	if !a.up.gate.Apply(ask, clock.Now()) {
		return
	}
	a.s.cfg.Log.Event("upstream_asks").Str("upstream", a.up.id).Int("status", int64(a.head.Status)).
		MS("pause", ask.Pause).Bool("leaving", ask.Leaving).Bytes("request", a.r.id).End()
	if ask.Leaving {
		a.up.closeIdle(time.Time{})
	}
}

// logAsk adds to a line what the response asked for, and how much longer the upstream wanted nothing if
// the request was not sent for that reason.
func (a *attempt) logAsk(l *eventlog.Line) {
	if a.asked != (backpressure.Ask{}) {
		l.MS("pause", a.asked.Pause).Bool("leaving", a.asked.Leaving)
	}
	switch {
	case a.closedFor == backpressure.Forever:
		l.Bool("leaving", true)
	case a.closedFor > 0:
		l.MS("closed_for", a.closedFor)
	}
}

// pauseLeft returns when the first candidate of the latest choice takes requests again, if all
// have asked for none; zero otherwise, or if all of them are leaving. The caller holds mu.
func (f *fleet) pauseLeft() time.Duration {
	now, least := clock.Now(), backpressure.Forever
	for _, u := range f.choice.candidates {
		least = min(least, u.gate.Left(now))
	}
	if least == backpressure.Forever {
		return 0
	}
	return least
}

// pauseRetryAfter is when a request that found all upstreams pausing may be retried: when the first
// of them takes requests again, spread over half of that time so that the callers do not all return
// at once.
func pauseRetryAfter(r *request) time.Duration {
	return r.pauseLeft + time.Duration(rand.Float64()*float64(r.pauseLeft)/2)
}
