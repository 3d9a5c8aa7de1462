package quarantine

import (
	"time"

	"github.com/comfreyladder/comfreyladder/core/quarantine"
)

// maxRecent bounds the successes of one span that are remembered; beyond it the oldest go.
const maxRecent = 4096

// recent remembers when requests succeeded last, for as long as that counts.
type recent struct {
	// newer are of the present span, older of the one before.
	newer, older map[quarantine.Fingerprint]time.Time
	begun        time.Time
}

func (r *recent) note(now time.Time, f quarantine.Fingerprint) {
	if len(r.newer) >= maxRecent || now.Sub(r.begun) >= quarantine.DefaultPolicy.ExonerationPeriod {
		r.newer, r.older, r.begun = map[quarantine.Fingerprint]time.Time{}, r.newer, now
	}
	r.newer[f] = now
}

// last returns when a request succeeded last, if that still counts at a time.
func (r *recent) last(f quarantine.Fingerprint, now time.Time) (at time.Time, ok bool) {
	if at, ok = r.newer[f]; !ok {
		at, ok = r.older[f]
	}
	return at, ok && now.Sub(at) < quarantine.DefaultPolicy.ExonerationPeriod
}
