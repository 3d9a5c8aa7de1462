package quarantine

import (
	"cmp"
	"slices"
	"time"
)

// Policy says what counts as proof that a request crashes upstreams.
type Policy struct {
	// QuarantineThreshold is at how many crashes a request is quarantined, and SuspectThreshold at how many it is
	// suspected.
	QuarantineThreshold, SuspectThreshold int
	// MinCrashInterval is the least time between two crashes that count as two for a request that was
	// sent before either. What ends several upstreams at the same moment is no request.
	MinCrashInterval time.Duration
	// SettleDelay is for how long a crash is not judged, so that all instances can tell what they
	// had under way at it.
	SettleDelay time.Duration
	// ExonerationPeriod is for how long after a success no crash counts against a request: one that
	// crashes what runs it has none. Between the crashes of others a request that comes often
	// may find no upstream to succeed at.
	ExonerationPeriod time.Duration
	// IsolationPeriod is how far from all others a crash must be to prove by itself that the request
	// under way at it caused it.
	IsolationPeriod time.Duration
	// CrashRetention is for how long a crash is remembered. MaxCrashes and MaxAttempts bound how many
	// are, and how many requests under way at them; the oldest go first.
	CrashRetention                  time.Duration
	MaxCrashes, MaxAttempts int
}

// DefaultPolicy is the policy of instances.
var DefaultPolicy = Policy{
	QuarantineThreshold: 3, SuspectThreshold: 2, MinCrashInterval: 100 * time.Millisecond, SettleDelay: 100 * time.Millisecond,
	ExonerationPeriod: 10 * time.Second, IsolationPeriod: time.Second, CrashRetention: 10 * time.Minute, MaxCrashes: 1024, MaxAttempts: 16384,
}

// crash is the end of one incarnation of an upstream.
type crash struct {
	upstream uint64
	at       time.Time
	underWay map[Fingerprint]attempt
}

// attempt is a request that was under way, sent there last at a time.
type attempt struct {
	sent                 time.Time
	organisation, target string
}

// Ledger holds which requests were under way at which crash. What it holds of crashes does
// not depend on the order in which instances tell of them. It is not safe for concurrent use.
type Ledger struct {
	policy  Policy
	crashes map[uint64]*crash
	// succeeded is when requests succeeded last, as long as that counts.
	succeeded map[Fingerprint]time.Time
	// guilty are the quarantined requests: they explain the crashes at which they were under
	// way.
	guilty map[Fingerprint]bool
}

// NewLedger returns an empty ledger.
func NewLedger(p Policy) *Ledger {
	return &Ledger{policy: p, crashes: map[uint64]*crash{}, succeeded: map[Fingerprint]time.Time{}, guilty: map[Fingerprint]bool{}}
}

// RecordCrash notes requests that were under way when an incarnation of an upstream crashed. All
// instances name an incarnation by the same number, so one crash counts once whoever tells.
func (l *Ledger) RecordCrash(upstream uint64, at time.Time, underWay []Attempt) {
	c := l.crashes[upstream]
	if c == nil {
		c = &crash{upstream: upstream, at: at, underWay: map[Fingerprint]attempt{}}
		l.crashes[upstream] = c
	}
	if at.Before(c.at) {
		c.at = at
	}
	for i := range underWay {
		a := &underWay[i]
		if l.exonerated(a.Fingerprint, c.at) {
			continue
		}
		sent := at.Add(-time.Duration(a.RanMS) * time.Millisecond)
		if before, known := c.underWay[a.Fingerprint]; !known || sent.After(before.sent) {
			c.underWay[a.Fingerprint] = attempt{sent, a.Organisation, a.Target}
		}
	}
}

// exonerated reports whether a crash at a time does not count against a request.
func (l *Ledger) exonerated(f Fingerprint, at time.Time) bool {
	last, ok := l.succeeded[f]
	return ok && !at.After(last.Add(l.policy.ExonerationPeriod))
}

// RecordSuccess notes that an upstream ran a request to its end at a time: it does not crash what
// runs it.
func (l *Ledger) RecordSuccess(f Fingerprint, at time.Time) {
	if at.After(l.succeeded[f]) {
		l.succeeded[f] = at
	}
	delete(l.guilty, f)
	for _, c := range l.crashes {
		if l.exonerated(f, c.at) {
			delete(c.underWay, f)
		}
	}
}

// RetractCrash notes that an incarnation that was believed to have crashed has answered.
func (l *Ledger) RetractCrash(upstream uint64) { delete(l.crashes, upstream) }

// MarkQuarantined notes that a request is quarantined.
func (l *Ledger) MarkQuarantined(f Fingerprint) { l.guilty[f] = true }

// Release notes that a request is no longer quarantined; what was known against it is
// forgotten.
func (l *Ledger) Release(f Fingerprint) {
	delete(l.guilty, f)
	for _, c := range l.crashes {
		delete(c.underWay, f)
	}
}

// Forget drops the crashes that are too old, or too many, and successes that count no more.
func (l *Ledger) Forget(now time.Time) {
	for f, at := range l.succeeded {
		if now.Sub(at) > l.policy.ExonerationPeriod {
			delete(l.succeeded, f)
		}
	}
	attempts := 0
	for id, c := range l.crashes {
		if now.Sub(c.at) > l.policy.CrashRetention {
			delete(l.crashes, id)
			continue
		}
		attempts += len(c.underWay)
	}
	if len(l.crashes) <= l.policy.MaxCrashes && attempts <= l.policy.MaxAttempts {
		return
	}
	for _, c := range l.sorted() {
		if len(l.crashes) <= l.policy.MaxCrashes && attempts <= l.policy.MaxAttempts {
			return
		}
		attempts -= len(c.underWay)
		delete(l.crashes, c.upstream)
	}
}

// Empty reports whether no crash is remembered.
func (l *Ledger) Empty() bool { return len(l.crashes) == 0 }

// sorted returns the crashes, the oldest first.
func (l *Ledger) sorted() []*crash {
	list := make([]*crash, 0, len(l.crashes))
	for _, c := range l.crashes {
		list = append(list, c)
	}
	slices.SortFunc(list, func(a, b *crash) int { return cmp.Or(a.at.Compare(b.at), cmp.Compare(a.upstream, b.upstream)) })
	return list
}

// Describe returns whose request it is that was under way at crashes, where it went, and at
// how many it was.
func (l *Ledger) Describe(f Fingerprint) (organisation, target string, crashes int) {
	for _, c := range l.sorted() {
		if a, ok := c.underWay[f]; ok {
			organisation, target = a.organisation, a.target
			crashes++
		}
	}
	return organisation, target, crashes
}
