package quarantine

import (
	"cmp"
	"slices"
	"time"
)

// Policy defines the evidence by which a request is taken to crash upstreams.
type Policy struct {
	// QuarantineThreshold is the number of crashes at which a request is quarantined,
	// SuspectThreshold the number at which it is suspected.
	QuarantineThreshold, SuspectThreshold int
	// MinCrashInterval is the minimum time between two crashes that count separately for a request
	// that was sent before both. Whatever ends several upstreams at the same moment is not a
	// request.
	MinCrashInterval time.Duration
	// SettleDelay is how long a crash is not evaluated, so that all instances can report the
	// requests that they had in flight at it.
	SettleDelay time.Duration
	// ExonerationPeriod is how long after a success crashes do not count against a request. A
	// request that crashes every upstream never succeeds. A harmless request that is sent
	// often may find no upstream to succeed at between crashes caused by others.
	ExonerationPeriod time.Duration
	// PartExonerationPeriod is how long after an upstream began to answer a request with a part crashes do
	// not count against that part. Earlier ones don't count either. It is short, as a part may begin to
	// crash upstreams.
	PartExonerationPeriod time.Duration
	// IsolationPeriod is the minimum time between a crash and all others for it to show by
	// itself that the request in flight caused it.
	IsolationPeriod time.Duration
	// CrashRetention is how long a crash is kept. MaxCrashes bounds the number of crashes and
	// MaxAttempts that of the attempts at them. The oldest crashes are dropped first.
	CrashRetention          time.Duration
	MaxCrashes, MaxAttempts int
}

// DefaultPolicy is the policy that instances use.
var DefaultPolicy = Policy{
	QuarantineThreshold: 3, SuspectThreshold: 2, MinCrashInterval: 100 * time.Millisecond, SettleDelay: 100 * time.Millisecond,
	ExonerationPeriod: 10 * time.Second, PartExonerationPeriod: 500 * time.Millisecond, IsolationPeriod: time.Second, CrashRetention: 10 * time.Minute, MaxCrashes: 1024, MaxAttempts: 16384,
}

// crash is the end of one incarnation of an upstream.
type crash struct {
	upstream uint64
	at       time.Time
	underWay map[Fingerprint]attempt
	// prompts holds the requests whose prompts are evidence, whether or not the request itself is cleared.
	prompts map[Fingerprint]prompt
}

// attempt is a request that was in flight at a crash, and when it was last sent to the upstream.
type attempt struct {
	sent                 time.Time
	organisation, target string
}

// Ledger records which requests were in flight at which crash. The recorded crashes do not
// depend on the order in which instances report them. It is not safe for concurrent use.
type Ledger struct {
	policy  Policy
	crashes map[uint64]*crash
	// succeeded holds the time of each request's last success for ExonerationPeriod.
	succeeded map[Fingerprint]time.Time
	// quarantined holds the quarantined requests. The crashes at which they were in flight count
	// as explained.
	quarantined map[Fingerprint]bool
	// served holds when each part of prompts was last served, as far as it was reported.
	served map[Fingerprint]time.Time
	// quarantinedParts holds the quarantined sets of parts by their keys.
	quarantinedParts map[Fingerprint][]Fingerprint
}

// NewLedger returns an empty ledger.
func NewLedger(p Policy) *Ledger {
	return &Ledger{
		policy: p, crashes: map[uint64]*crash{}, succeeded: map[Fingerprint]time.Time{}, quarantined: map[Fingerprint]bool{},
		served: map[Fingerprint]time.Time{}, quarantinedParts: map[Fingerprint][]Fingerprint{},
	}
}

// RecordCrash records requests that were in flight when an incarnation of an upstream crashed.
// All instances identify an incarnation by the same number, so a crash counts once however many
// of them report it.
func (l *Ledger) RecordCrash(upstream uint64, at time.Time, underWay []Attempt) {
	c := l.crashes[upstream]
	if c == nil {
		c = &crash{upstream: upstream, at: at, underWay: map[Fingerprint]attempt{}, prompts: map[Fingerprint]prompt{}}
		l.crashes[upstream] = c
	}
	if at.Before(c.at) {
		c.at = at
	}
	for i := range underWay {
		a := &underWay[i]
		recorded := attempt{at.Add(-time.Duration(a.RanMS) * time.Millisecond), a.Organisation, a.Target}
		c.addPrompt(a, recorded)
		if a.Succeeded || l.exonerated(a.Fingerprint, c.at) {
			continue
		}
		if before, known := c.underWay[a.Fingerprint]; !known || recorded.sent.After(before.sent) {
			c.underWay[a.Fingerprint] = recorded
		}
	}
}

// addPrompt records the parts of an attempt's prompt. Requests of the same content may differ in them.
func (c *crash) addPrompt(a *Attempt, recorded attempt) {
	if len(a.Parts) == 0 {
		return
	}
	p, known := c.prompts[a.Fingerprint]
	if !known || recorded.sent.After(p.sent) {
		p.attempt = recorded
	}
	for _, part := range a.Parts {
		if !slices.Contains(p.parts, part) {
			p.parts = append(p.parts, part)
		}
	}
	c.prompts[a.Fingerprint] = p
}

// exonerated reports whether a crash at a time does not count against a request.
func (l *Ledger) exonerated(f Fingerprint, at time.Time) bool {
	last, ok := l.succeeded[f]
	return ok && !at.After(last.Add(l.policy.ExonerationPeriod))
}

// RecordSuccess records that an upstream completed a request at a time, which shows that the request
// does not crash upstreams.
func (l *Ledger) RecordSuccess(f Fingerprint, at time.Time) {
	if at.After(l.succeeded[f]) {
		l.succeeded[f] = at
	}
	delete(l.quarantined, f)
	for _, c := range l.crashes {
		if l.exonerated(f, c.at) {
			delete(c.underWay, f)
		}
	}
}

// RetractCrash removes the crash of an incarnation that has answered since.
func (l *Ledger) RetractCrash(upstream uint64) { delete(l.crashes, upstream) }

// MarkQuarantined records that a request is quarantined.
func (l *Ledger) MarkQuarantined(f Fingerprint) { l.quarantined[f] = true }

// Release records that a request is no longer quarantined and discards the evidence against it.
func (l *Ledger) Release(f Fingerprint) {
	delete(l.quarantined, f)
	for _, c := range l.crashes {
		delete(c.underWay, f)
	}
}

// Forget drops crashes that are too old or too many, and successes older than ExonerationPeriod.
func (l *Ledger) Forget(now time.Time) {
	for f, at := range l.succeeded {
		if now.Sub(at) > l.policy.ExonerationPeriod {
			delete(l.succeeded, f)
		}
	}
	for part, at := range l.served {
		if now.Sub(at) > l.policy.CrashRetention {
			delete(l.served, part)
		}
	}
	attempts := 0
	for id, c := range l.crashes {
		if now.Sub(c.at) > l.policy.CrashRetention {
			delete(l.crashes, id)
			continue
		}
		attempts += c.size()
	}
	if len(l.crashes) <= l.policy.MaxCrashes && attempts <= l.policy.MaxAttempts {
		return
	}
	for _, c := range l.sorted() {
		if len(l.crashes) <= l.policy.MaxCrashes && attempts <= l.policy.MaxAttempts {
			return
		}
		attempts -= c.size()
		delete(l.crashes, c.upstream)
	}
}

// size returns the number of attempts that are recorded, once as a request and once as a prompt.
func (c *crash) size() int { return len(c.underWay) + len(c.prompts) }

// Empty reports whether no crash is recorded.
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

// Describe returns the organisation and target of a request, and the number of recorded crashes
// at which it was in flight.
func (l *Ledger) Describe(f Fingerprint) (organisation, target string, crashes int) {
	for _, c := range l.sorted() {
		if a, ok := c.underWay[f]; ok {
			organisation, target = a.organisation, a.target
			crashes++
		}
	}
	return organisation, target, crashes
}
