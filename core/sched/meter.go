package sched

import (
	"math"
	"time"
)

// meterTimeConstant is the time constant of a meter.
const meterTimeConstant = 5 * time.Second

// rateMeter measures a rate in units a second with exponential forgetting.
type rateMeter struct {
	rate float64
	at   time.Time
}

func (m *rateMeter) add(now time.Time, amount float64) {
	m.rate = m.rateAt(now) + amount/meterTimeConstant.Seconds()
	m.at = now
}

func (m *rateMeter) rateAt(now time.Time) float64 {
	if m.at.IsZero() {
		return 0
	}
	passed := max(now.Sub(m.at), 0)
	return m.rate * math.Exp(-passed.Seconds()/meterTimeConstant.Seconds())
}

// smooth moves old towards sample by the share alpha; a zero old is replaced.
func smooth(old, sample, alpha float64) float64 {
	if old == 0 {
		return sample
	}
	return old + alpha*(sample-old)
}
