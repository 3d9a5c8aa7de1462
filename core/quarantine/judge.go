package quarantine

import (
	"slices"
	"time"
)

// explained reports whether a quarantined request, or one with a quarantined set of parts, was in flight at
// a crash, which is then attributed to it.
func (l *Ledger) explained(c *crash) bool {
	for _, set := range l.quarantinedParts {
		if c.hasPrompt(set) {
			return true
		}
	}
	for f := range c.underWay {
		if l.quarantined[f] {
			return true
		}
	}
	return false
}

// counts returns the number of unexplained crashes, up to a time, at which each request was
// in flight. Two crashes count separately if they are at least MinCrashInterval apart, or if
// the request was sent to the second upstream after the first had crashed.
func (l *Ledger) counts(until time.Time) map[Fingerprint]int {
	counts := map[Fingerprint]int{}
	last := map[Fingerprint]time.Time{}
	for _, c := range l.sorted() {
		if c.at.After(until) {
			break
		}
		if l.explained(c) {
			continue
		}
		for f, a := range c.underWay {
			if at, seen := last[f]; seen && c.at.Sub(at) < l.policy.MinCrashInterval && !a.sent.After(at) {
				continue
			}
			last[f] = c.at
			counts[f]++
		}
	}
	return counts
}

// Suspects returns the requests that are suspected and not quarantined, sorted.
func (l *Ledger) Suspects(now time.Time) (list []Fingerprint) {
	for f, n := range l.counts(now) {
		if n >= l.policy.SuspectThreshold {
			list = append(list, f)
		}
	}
	slices.SortFunc(list, compare)
	return list
}

// ToQuarantine returns the requests to quarantine, those with the most crashes first. The
// crashes of a request in the result count as explained, so that other requests are evaluated
// by the remaining crashes. Requests that were in flight at the same crashes cannot be told
// apart; they are quarantined together, and only after one crash more.
func (l *Ledger) ToQuarantine(now time.Time) (verdict []Fingerprint) {
	until := now.Add(-l.policy.SettleDelay)
	deferred := map[Fingerprint]bool{}
	for {
		counts := l.counts(until)
		f, n := mostCrashes(counts, deferred)
		if n < l.policy.QuarantineThreshold {
			break
		}
		same := l.indistinguishable(f, counts, until)
		if len(same) > 1 && n == l.policy.QuarantineThreshold {
			for _, g := range same {
				deferred[g] = true
			}
			continue
		}
		verdict = append(verdict, same...)
		for _, g := range same {
			l.quarantined[g] = true
		}
	}
	for _, f := range verdict {
		delete(l.quarantined, f)
	}
	return verdict
}

// mostCrashes returns the request with the most crashes among those that are not deferred.
func mostCrashes(counts map[Fingerprint]int, deferred map[Fingerprint]bool) (best Fingerprint, most int) {
	for f, n := range counts {
		if !deferred[f] && (n > most || n == most && compare(f, best) < 0) {
			best, most = f, n
		}
	}
	return best, most
}

// indistinguishable returns the requests that have as many counted crashes as f and were in
// flight at each of its crashes, including f, sorted.
func (l *Ledger) indistinguishable(f Fingerprint, counts map[Fingerprint]int, until time.Time) (list []Fingerprint) {
	for g, n := range counts {
		if n == counts[f] && l.covers(g, f, until) {
			list = append(list, g)
		}
	}
	slices.SortFunc(list, compare)
	return list
}

// covers reports whether g was in flight at each unexplained crash up to a time at which f was.
func (l *Ledger) covers(g, f Fingerprint, until time.Time) bool {
	for _, c := range l.crashes {
		_, hasF := c.underWay[f]
		_, hasG := c.underWay[g]
		if hasF && !hasG && !c.at.After(until) && !l.explained(c) {
			return false
		}
	}
	return true
}

// ConfirmsCrash reports whether a single crash since a time shows that a request crashes
// upstreams. It must be isolated, and no other quarantined or suspected request may have been
// in flight at it.
func (l *Ledger) ConfirmsCrash(f Fingerprint, since, now time.Time) bool {
	until := now.Add(-l.policy.IsolationPeriod)
	counts := l.counts(now)
	for _, c := range l.crashes {
		if _, ok := c.underWay[f]; !ok || c.at.Before(since) || c.at.After(until) || !l.isolated(c) {
			continue
		}
		alone := true
		for g := range c.underWay {
			alone = alone && (g == f || !l.quarantined[g] && counts[g] < l.policy.SuspectThreshold)
		}
		if alone {
			return true
		}
	}
	return false
}

// isolated reports whether no other upstream crashed within IsolationPeriod of a crash.
func (l *Ledger) isolated(c *crash) bool {
	for _, other := range l.crashes {
		if other != c && other.at.Sub(c.at).Abs() < l.policy.IsolationPeriod {
			return false
		}
	}
	return true
}

// Settled reports whether SettleDelay has passed since every crash.
func (l *Ledger) Settled(now time.Time) bool {
	for _, c := range l.crashes {
		if now.Sub(c.at) <= l.policy.SettleDelay {
			return false
		}
	}
	return true
}

func compare(a, b Fingerprint) int { return slices.Compare(a[:], b[:]) }
