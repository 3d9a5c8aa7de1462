package engine

import (
	"time"

	"github.com/comfreyladder/comfreyladder/core/announce"
	"github.com/comfreyladder/comfreyladder/core/prefix"
)

// maxLag bounds how old a load report can be made.
const maxLag = 30 * time.Second

// report is one sample of the load.
type report struct {
	at        time.Time
	load      announce.Load
	generated uint64
}

// sample keeps the present load for reports that lag; the caller holds the mutex.
func (e *Engine) sample(now time.Time) {
	r := report{at: now, generated: e.counters.Generated}
	r.load.Running = len(e.running)
	r.load.Waiting = len(e.waiting)
	held := 0
	for _, s := range e.running {
		held += s.prompt + s.produced
	}
	r.load.KVUsed = min(1, float64(held)/float64(e.config.KVTokens))
	r.load.TokensPerSecond = e.rate(r)
	e.reports = append(e.reports, r)
	if now.Sub(e.reports[0].at) > maxLag+time.Second {
		e.reports = e.reports[1:]
	}
}

// rate is the mean over the last second or less.
func (e *Engine) rate(r report) float64 {
	for i := len(e.reports) - 1; i >= 0; i-- {
		o := e.reports[i]
		age := r.at.Sub(o.at)
		if age >= time.Second || (i == 0 && age > 0) {
			return float64(r.generated-o.generated) / age.Seconds()
		}
	}
	return 0
}

// loadAt returns the newest sample that is at least as old as the lag; the
// caller holds the mutex.
func (e *Engine) loadAt(now time.Time) announce.Load {
	lag := min(time.Duration(e.faults.ReportLagMillis)*time.Millisecond, maxLag)
	if lag == 0 {
		e.sample(now)
	}
	for i := len(e.reports) - 1; i >= 0; i-- {
		r := e.reports[i]
		if age := now.Sub(r.at); age >= lag {
			r.load.AgeMillis = age.Milliseconds()
			return r.load
		}
	}
	return announce.Load{AgeMillis: lag.Milliseconds()}
}

// Load returns the newest load report, which lags like those in beats.
func (e *Engine) Load() announce.Load {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.loadAt(time.Now())
}

// CachedTokens returns how many prompt tokens of the prefixes named by hashes
// (as by prefix.Hashes, the longest first) are in the cache at this moment.
func (e *Engine) CachedTokens(hashes []uint64) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	for i, h := range hashes {
		if _, ok := e.cache.entries[h]; ok {
			return (len(hashes) - i) * prefix.BlockBytes / bytesPerToken
		}
	}
	return 0
}
