package relay

import (
	"time"

	"github.com/comfreyladder/comfreyladder/core/backpressure"
	"github.com/comfreyladder/comfreyladder/instance/clock"
	"github.com/comfreyladder/comfreyladder/instance/eventlog"
)

const fieldRetryAfter = "Retry-After"

// recordAsk records what a response asks of this instance. It applies whichever request the response
// belongs to.
func (a *attempt) recordAsk() {
	h := &a.s.cfg.Headers
	ask := backpressure.Parse(a.head.Status, string(a.head.Get(fieldRetryAfter)), string(a.head.Get(h.Leaving)), time.Now())
	if ask == (backpressure.Ask{}) {
		return
	}
	a.asked = ask
	if !a.up.gate.Apply(ask, clock.Now()) {
		return
	}
	a.s.cfg.Log.Event("upstream_asks").Str("upstream", a.up.id).Int("status", int64(a.head.Status)).
		MS("pause", ask.Pause).Bool("leaving", ask.Leaving).Bytes("request", a.r.id).End()
}

// logAsk adds to a line what the response asked for and whether the request was unwanted when it was
// sent.
func (a *attempt) logAsk(l *eventlog.Line) {
	if a.asked != (backpressure.Ask{}) {
		l.MS("pause", a.asked.Pause).Bool("leaving", a.asked.Leaving)
	}
	if a.closedFor > 0 {
		l.MS("closed_for", a.closedFor)
	}
}
