package quarantine

import (
	"slices"
	"time"

	"github.com/comfreyladder/comfreyladder/core/quarantine"
)

// maxSuccesses bounds the successes that are kept for one period; beyond it the oldest are dropped.
const maxSuccesses = 4096

// recentSuccesses holds the times of the last successes of requests for as long as they count.
type recentSuccesses struct {
	// current holds the successes of the current period, previous those of the period before.
	current, previous map[quarantine.Fingerprint]time.Time
	startedAt         time.Time
}

func (r *recentSuccesses) add(now time.Time, f quarantine.Fingerprint) {
	if len(r.current) >= maxSuccesses || now.Sub(r.startedAt) >= quarantine.DefaultPolicy.ExonerationPeriod {
		r.current, r.previous, r.startedAt = map[quarantine.Fingerprint]time.Time{}, r.current, now
	}
	if now.After(r.current[f]) {
		r.current[f] = now
	}
}

// last returns when a request last succeeded, if that still counts at a given time.
func (r *recentSuccesses) last(f quarantine.Fingerprint, now time.Time) (at time.Time, ok bool) {
	if at, ok = r.current[f]; !ok {
		at, ok = r.previous[f]
	}
	return at, ok && now.Sub(at) < quarantine.DefaultPolicy.ExonerationPeriod
}

// withAges returns a copy of a list of successes with their ages.
func (r *recentSuccesses) withAges(list []quarantine.Success, now time.Time) []quarantine.Success {
	list = slices.Clone(list)
	for i := range list {
		if at, ok := r.last(list[i].Fingerprint, now); ok {
			list[i].AgeMS = now.Sub(at).Milliseconds()
		}
	}
	return list
}
