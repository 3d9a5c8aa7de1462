package relay

import (
	"strconv"
	"time"

	"github.com/comfreyladder/comfreyladder/instance/clock"
)

// Limits are the limits that upstreams name.
type Limits interface {
	// Heard notes what an answer of an upstream said of its limit, zero for none, to a request
	// that was sent and answered at two times of clock.Now. name is the upstream's in logs.
	Heard(upstream uint64, name string, perSecond float64, sent, heard time.Time)
}

// leastLimit and maxLimit bound the limits that are believed, in requests a second. An upstream
// that takes nothing at all could not say when that is over.
const leastLimit, maxLimit = 0.05, 1e6

// noteLimit notes what the head of an answer says of the upstream's limit. One that can't be
// read says nothing.
func (a *attempt) noteLimit() {
	if a.s.cfg.Limits == nil {
		return
	}
	perSecond := 0.0
	if value := a.head.Get(a.s.cfg.Headers.Limit); len(value) > 0 {
		n, err := strconv.ParseFloat(string(value), 64)
		if err != nil || !(n >= 0) || n > maxLimit {
			return
		}
		perSecond = max(leastLimit, n)
	}
	a.s.cfg.Limits.Heard(a.up.begun, a.up.id, perSecond, a.sent, clock.Now())
}
