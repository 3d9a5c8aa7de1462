package quarantine

import (
	"slices"
	"time"
)

// explained reports whether a quarantined request was under way at a crash.
func (l *Ledger) explained(c *crash) bool {
	for f := range c.underWay {
		if l.guilty[f] {
			return true
		}
	}
	return false
}

// counts returns at how many crashes each request was under way that nothing else explains,
// up to a moment. Two crashes count as two if they are apart, or if the request was sent to
// the second upstream after the first one had crashed.
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

// Suspects returns the requests that are suspected and not quarantined, in order.
func (l *Ledger) Suspects(now time.Time) (list []Fingerprint) {
	for f, n := range l.counts(now) {
		if n >= l.policy.SuspectThreshold {
			list = append(list, f)
		}
	}
	slices.SortFunc(list, compare)
	return list
}

// ToQuarantine returns the requests that are to be quarantined, the one with the most crashes first.
// Each one explains its crashes, so that those beside it are judged by the others. Where
// several were under way at the same crashes, none is judged before one crash more.
func (l *Ledger) ToQuarantine(now time.Time) (verdict []Fingerprint) {
	until := now.Add(-l.policy.SettleDelay)
	held := map[Fingerprint]bool{}
	for {
		counts := l.counts(until)
		f, n := leader(counts, held)
		if n < l.policy.QuarantineThreshold {
			break
		}
		same := l.alike(f, counts, until)
		if len(same) > 1 && n == l.policy.QuarantineThreshold {
			for _, g := range same {
				held[g] = true
			}
			continue
		}
		verdict = append(verdict, same...)
		for _, g := range same {
			l.guilty[g] = true
		}
	}
	for _, f := range verdict {
		delete(l.guilty, f)
	}
	return verdict
}

// leader returns the request with the most crashes among those that are not held.
func leader(counts map[Fingerprint]int, held map[Fingerprint]bool) (best Fingerprint, most int) {
	for f, n := range counts {
		if !held[f] && (n > most || n == most && compare(f, best) < 0) {
			best, most = f, n
		}
	}
	return best, most
}

// alike returns the requests with as many crashes as one that were under way at each of its
// crashes, itself among them, in order.
func (l *Ledger) alike(f Fingerprint, counts map[Fingerprint]int, until time.Time) (list []Fingerprint) {
	for g, n := range counts {
		if n == counts[f] && l.covers(g, f, until) {
			list = append(list, g)
		}
	}
	slices.SortFunc(list, compare)
	return list
}

// covers reports whether g was under way wherever f was, of the crashes that count.
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

// ConfirmsCrash reports whether a crash since a time proves by itself that a request crashes
// upstreams: one that is isolated, and at which nothing else was under way that is quarantined
// or suspected.
func (l *Ledger) ConfirmsCrash(f Fingerprint, since, now time.Time) bool {
	until := now.Add(-l.policy.IsolationPeriod)
	counts := l.counts(now)
	for _, c := range l.crashes {
		if _, ok := c.underWay[f]; !ok || c.at.Before(since) || c.at.After(until) || !l.isolated(c) {
			continue
		}
		alone := true
		for g := range c.underWay {
			alone = alone && (g == f || !l.guilty[g] && counts[g] < l.policy.SuspectThreshold)
		}
		if alone {
			return true
		}
	}
	return false
}

// isolated reports whether no other upstream crashed about the time of a crash.
func (l *Ledger) isolated(c *crash) bool {
	for _, other := range l.crashes {
		if other != c && other.at.Sub(c.at).Abs() < l.policy.IsolationPeriod {
			return false
		}
	}
	return true
}

// Settled reports whether all crashes may be judged at a time.
func (l *Ledger) Settled(now time.Time) bool {
	for _, c := range l.crashes {
		if now.Sub(c.at) <= l.policy.SettleDelay {
			return false
		}
	}
	return true
}

func compare(a, b Fingerprint) int { return slices.Compare(a[:], b[:]) }
