package sched

import (
	"time"
)

// leastPaced is how many tokens a measurement of a stream's rate needs; fewer
// say more about the time that messages take.
const leastPaced = 4

// pace learns the engine's rate from a stream that runs. Waiting for the end of
// the stream is the failure this guards against: an engine that slows down ends
// few streams, so that its slowness would be learned after many seconds, in
// which it gets requests at the rate of a healthy one.
func (e *engine) pace(now time.Time, i *item, tokens int, alpha float64) {
	more := tokens - i.paced
	if more < leastPaced {
		return
	}
	if took := now.Sub(i.pacedAt).Seconds(); !i.pacedAt.IsZero() && took > 0 {
		e.tokenRate = smooth(e.tokenRate, float64(more)/took, alpha)
		e.observed = now
		e.samples++
	}
	i.pacedAt, i.paced = now, tokens
}
