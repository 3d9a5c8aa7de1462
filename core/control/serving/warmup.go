package serving

import "time"

// warmUpTolerance is the difference between the recorded and the reported end of a warm-up that is not
// recorded: delays of heartbeats and clocks of members that differ.
const warmUpTolerance = 500 * time.Millisecond

// ChangesWarmUp reports whether a heartbeat u changes for how long its incarnation is recorded as cold,
// at the time now of a member: it became cold again, or is warm. Instances that receive the state later
// do not know when a recorded warm-up began, so its end is recorded too. It returns false for services
// without a warm-up rate.
func (m *Machine) ChangesWarmUp(known, u *Upstream, now time.Time) bool {
	if m.services[u.Service] <= 0 || compare(known, u) != same || known.State == Gone || u.Sequence <= known.Sequence {
		return false
	}
	if u.WarmMS <= 0 {
		return known.WarmMS > 0
	}
	left := known.WarmMS - now.Sub(time.Unix(0, known.At)).Milliseconds()
	return u.WarmMS > max(0, left)+warmUpTolerance.Milliseconds()
}

// WarmUpRate returns the rate at which an incarnation may receive requests while it is cold, per second,
// or false if it has ended, is unknown or has none.
func (m *Machine) WarmUpRate(firstIndex uint64) (perSecond float64, ok bool) {
	u := m.upstreams.incarnation(firstIndex)
	if u == nil || !u.ownsAddress() {
		return 0, false
	}
	perSecond = m.services[u.Service]
	return perSecond, perSecond > 0
}
