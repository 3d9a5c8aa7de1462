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
	retryAfter, leaving, brittle := a.head.Get(fieldRetryAfter), a.head.Get(a.s.cfg.Headers.Leaving), a.head.Get(a.s.cfg.Headers.Brittle)
	if len(retryAfter)+len(leaving)+len(brittle) == 0 && !a.up.isBrittle() {
		return
	}
	ask := backpressure.Parse(a.head.Status, string(retryAfter), string(leaving), time.Now())
	tolerated, isBrittle := backpressure.ParseBrittle(string(brittle))
	a.hearBrittle(isBrittle, tolerated)
	if isBrittle && a.rejectedForRoom() {
		ask.Pause = max(ask.Pause, spreadRejectionPause(tolerated, a.s.cfg.State.View().Forwarders))
	}
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

// hearBrittle records whether the upstream says that it is brittle, which holds for its service.
func (a *attempt) hearBrittle(is bool, tolerated int) {
	peers := a.up.peers.Load()
	if peers == nil {
		return
	}
	was := peers.brittle.Active()
	peers.brittle.Hear(is, a.sentAt, clock.Now())
	if now := peers.brittle.Active(); now != was {
		a.s.cfg.Log.Event("upstream_brittle").Str("upstream", a.up.id).Bool("brittle", now).Int("tolerated", int64(tolerated)).End()
	}
}

// spreadRejectionPause returns a pause after a rejection. Instances that were rejected at the same time must not
// come back at the same time.
func spreadRejectionPause(tolerated, instances int) time.Duration {
	pause := backpressure.RejectionPause(tolerated, instances)
	if instances <= 1 {
		return pause
	}
	return pause + time.Duration(rand.Float64()*float64(pause)/2)
}

// rejectedForRoom reports whether the response says that the upstream had no room for its request.
func (a *attempt) rejectedForRoom() bool {
	return a.head.Status == statusUnavailable && a.head.Has(a.s.cfg.Headers.NotRun)
}

const statusUnavailable = 503

// isBrittle reports whether the upstreams of the service are brittle.
func (u *upstream) isBrittle() bool {
	peers := u.peers.Load()
	return peers != nil && peers.brittle.Active()
}

// loadsKnownAfter is after what time the work of other instances is known at an upstream that is new or had no work
// of this one: loads are exchanged several times within it. When load begins everywhere at once, each instance
// would else use the half of the slots that seems free.
const loadsKnownAfter = time.Second

// lacksRoom reports whether an upstream is brittle and may have to reject a request. The caller holds mu.
func (f *fleet) lacksRoom(sel *selection, u *upstream) bool {
	if !u.isBrittle() {
		return false
	}
	room := backpressure.Room{
		Unknown: sel.now.Sub(u.busySince) < loadsKnownAfter || sel.now.Sub(u.takenAt) > loadsKnownAfter,
		Slots:   u.slots, Instances: f.forwarders, Own: u.active, All: u.active * f.forwarders, Lot: u.lot,
		Tokens: u.usedTokens * f.forwarders, Need: sel.tokens, Memory: sel.memory,
	}
	if sel.fresh {
		others := f.remoteLoads[u.incarnation]
		room.All, room.Tokens = u.active+others.Active, u.usedTokens+others.UsedTokens
	}
	return !room.Free()
}

// noRoom reports whether a candidate of the latest choice was left out because it is brittle and has no
// room. The caller holds mu.
func (f *fleet) noRoom(sel *selection) bool {
	for _, u := range f.choice.candidates {
		if f.lacksRoom(sel, u) {
			return true
		}
	}
	return false
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
