package relay

import (
	"strconv"
	"time"

	"github.com/comfreyladder/comfreyladder/core/control/serving"
	"github.com/comfreyladder/comfreyladder/core/fault"
	"github.com/comfreyladder/comfreyladder/core/reach"
	"github.com/comfreyladder/comfreyladder/core/warmup"
	"github.com/comfreyladder/comfreyladder/instance/clock"
	"github.com/comfreyladder/comfreyladder/instance/follow"
)

// Permits are the permits of this instance to send requests to cold upstreams, see core/warmup. Times
// are those of clock.Now.
type Permits interface {
	// Available reports whether there is a permit, and AddDemand requests one.
	Available(upstream uint64) bool
	AddDemand(upstream uint64, urgency int)
	// UseUntil uses a permit and returns until when the request may be sent, or false if there is
	// none. ReturnUntil returns one that was not used.
	UseUntil(upstream uint64, urgency int) (until time.Time, ok bool)
	ReturnUntil(upstream uint64, until time.Time)
}

// warmUp is the warm-up rate of a service, zero for none, and how long an upstream is cold after a
// start.
type warmUp struct {
	perSecond float64
	time      time.Duration
}

// warmUpOf returns the warm-up of a service.
func warmUpOf(v *follow.View, service string) warmUp {
	if v.Routes == nil {
		return warmUp{}
	}
	s := v.Routes.Service(service)
	if s == nil {
		return warmUp{}
	}
	return warmUp{s.WarmUpPerSecond, s.WarmUpTime}
}

// cold reports whether an upstream is cold and its service has a warm-up rate. The caller holds mu.
func (f *fleet) cold(u *upstream) bool {
	return f.permits != nil && u.service != nil && u.service.warmUp.perSecond > 0 && u.cold.Is(clock.Now(), u.silent, f.confirmed)
}

// confirmed returns when the serving state was last confirmed, by clock.Now.
func (f *fleet) confirmed() time.Time { return clock.Now().Add(-f.state.Age()) }

// usePermit uses a permit for the chosen upstream if it is cold, and reports false if there is none. The
// caller holds mu.
func (f *fleet) usePermit(r *request, u *upstream) (ok bool) {
	if !f.cold(u) {
		return true
	}
	r.permitUntil, ok = f.permits.UseUntil(u.incarnation, r.urgency)
	return ok
}

// returnPermit returns a permit that was not used. It does nothing if none was taken.
func (f *fleet) returnPermit(u *upstream, until time.Time) {
	if !until.IsZero() {
		f.permits.ReturnUntil(u.incarnation, until)
	}
}

// errNoPermit means that the upstream turned out to be cold after it had been chosen, or that the permit
// has expired.
var errNoPermit = fault.New(fault.Unavailable, "the upstream is cold and there is no permit")

// permitted reports whether a request may be sent now as far as warm-up limits are concerned: connecting
// takes time, and the process may have been suspended since the upstream was chosen. The new incarnation
// of an upstream that was replaced since then is cold.
func (f *fleet) permitted(a *attempt, now time.Time) bool {
	if !f.warming.Load() {
		return true
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	switch {
	case f.service(a.r.service).warmUp.perSecond <= 0:
		return true
	case f.upstreams[a.up.id] != a.up:
		return false
	case !a.permitUntil.IsZero():
		return now.Before(a.permitUntil)
	}
	return !f.cold(a.up)
}

// reportCold records for how long an upstream of a view is cold.
func (f *fleet) reportCold(u *upstream, info *serving.Upstream) {
	if u.cold.Report(clock.Now(), info.Sequence, info.WarmMS) && info.WarmMS > 0 && f.warming.Load() {
		f.log.Event("upstream_cold").Str("upstream", u.id).Str("reason", "reported").Int("left", info.WarmMS).End()
	}
}

// healthSaysCold records how long an upstream stays cold according to its health answer.
func (f *fleet) healthSaysCold(t reach.Target, value string) {
	ms, err := strconv.ParseFloat(value, 64)
	index, invalid := strconv.ParseUint(t.Name, 10, 64)
	if err != nil || invalid != nil || !(ms > 0) || !f.warming.Load() {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if u := f.byIncarnation[index]; u != nil {
		left := time.Duration(min(ms, maxStatedCold)) * time.Millisecond
		u.cold.Presume(clock.Now(), left)
		f.log.Event("upstream_cold").Str("upstream", u.id).Str("reason", "health").MS("left", left).End()
	}
}

// maxStatedCold bounds the value of a health answer, in milliseconds.
const maxStatedCold = 3.6e6

// coldUpstreams returns the number of ready upstreams that are cold.
func (f *fleet) coldUpstreams() (n int) {
	if !f.warming.Load() {
		return 0
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, u := range f.upstreams {
		if f.cold(u) {
			n++
		}
	}
	return n
}

// presumeCold records that an upstream has ended, so that whichever process answers next at its address
// is cold.
func (f *fleet) presumeCold(u *upstream) { f.suspectCold(u, "ended", (*warmup.Cold).Ended) }

// doubt records that a connection to an upstream was lost: another process may run at its address.
func (f *fleet) doubt(u *upstream) { f.suspectCold(u, "connection lost", (*warmup.Cold).Doubt) }

func (f *fleet) suspectCold(u *upstream, reason string, record func(c *warmup.Cold, now time.Time, left time.Duration)) {
	if !f.warming.Load() {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if u.service == nil || u.service.warmUp.perSecond <= 0 {
		return
	}
	was := f.cold(u)
	record(&u.cold, clock.Now(), u.service.warmUp.time)
	if !was && f.cold(u) {
		f.log.Event("upstream_cold").Str("upstream", u.id).Str("reason", reason).MS("left", u.service.warmUp.time).End()
	}
}
