package sched

import (
	"math"
	"time"
)

// meterMemory is the time constant of a meter.
const meterMemory = 5 * time.Second

// meter measures a rate in units a second with exponential forgetting.
type meter struct {
	rate float64
	at   time.Time
}

func (m *meter) add(now time.Time, amount float64) {
	m.rate = m.read(now) + amount/meterMemory.Seconds()
	m.at = now
}

func (m *meter) read(now time.Time) float64 {
	if m.at.IsZero() {
		return 0
	}
	passed := max(now.Sub(m.at), 0)
	return m.rate * math.Exp(-passed.Seconds()/meterMemory.Seconds())
}

// smooth moves old towards sample by the share alpha; a zero old is replaced.
func smooth(old, sample, alpha float64) float64 {
	if old == 0 {
		return sample
	}
	return old + alpha*(sample-old)
}
