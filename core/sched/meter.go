package sched

import (
	"math"
	"time"
)

// meterTimeConstant is the decay time constant of a rateMeter.
const meterTimeConstant = 5 * time.Second

// rateMeter measures a rate in units a second with exponential decay.
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

// smooth returns the exponential moving average after a sample with weight alpha. A
// zero old value means that there is none yet and is replaced by the sample.
func smooth(old, sample, alpha float64) float64 {
	if old == 0 {
		return sample
	}
	return old + alpha*(sample-old)
}
