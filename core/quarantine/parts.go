package quarantine

import (
	"cmp"
	"crypto/sha256"
	"slices"
	"time"
)

// A part of a prompt may crash upstreams whatever else the request holds, so that no two requests that
// do are alike. The evidence against a part is kept beside that against requests: the crashes at which
// any request with it was in flight and not being answered. Many sound requests share most parts with
// others, and are served in the meantime; a part that crashes upstreams never is.

// prompt is a request that was in flight at a crash and whose answer had not begun.
type prompt struct {
	attempt
	parts []Fingerprint
}

// has reports whether the prompt contains all parts of a set.
func (p *prompt) has(set []Fingerprint) bool { return ContainsAll(p.parts, set) }

// ContainsAll reports whether the parts of a prompt include all of a set.
func ContainsAll(parts, set []Fingerprint) bool {
	for _, f := range set {
		if !slices.Contains(parts, f) {
			return false
		}
	}
	return true
}

// hasPrompt reports whether a request with all parts of a set was in flight.
func (c *crash) hasPrompt(set []Fingerprint) bool {
	for _, p := range c.prompts {
		if p.has(set) {
			return true
		}
	}
	return false
}

// KeyOf returns the fingerprint that identifies a set of parts: that of the part if there is one only.
func KeyOf(set []Fingerprint) Fingerprint {
	if len(set) == 1 {
		return set[0]
	}
	h := sha256.New()
	for _, f := range set {
		_, _ = h.Write(f[:])
	}
	var f Fingerprint
	copy(f[:], h.Sum(nil))
	return f
}

// partEvidence is the evidence against one part.
type partEvidence struct {
	// crashes are those that count, by the number of the upstream, from first to last.
	crashes     []uint64
	first, last time.Time
	// present is at how many crashes the part was in flight, of possible ones since the first that nothing
	// else explains; possible is zero for parts that are not suspected.
	present, possible int
	// byRequest counts them by the requests with the part that were in flight.
	byRequest map[Fingerprint]int
}

// outweighs reports whether the evidence is stronger than another one's: by the share of the crashes at which
// the part was in flight since it was last served, then by their number.
func (e *partEvidence) outweighs(other *partEvidence) bool {
	a, b := e.present*other.possible, other.present*e.possible
	return a > b || a == b && len(e.crashes) > len(other.crashes)
}

// mostByRequest returns the largest number of crashes at which one and the same request was in flight.
func (e *partEvidence) mostByRequest() (most int) {
	for _, n := range e.byRequest {
		most = max(most, n)
	}
	return most
}

// evidenceAgainstParts returns the evidence up to a time. What a quarantined set explains counts against no
// other part, unless that has the stronger evidence: the set may be innocent.
func (l *Ledger) evidenceAgainstParts(until time.Time) map[Fingerprint]*partEvidence {
	alone := l.collectEvidence(until, func(Fingerprint, *crash) bool { return false })
	if len(l.quarantinedParts) == 0 {
		return alone
	}
	return l.collectEvidence(until, func(part Fingerprint, c *crash) bool { return l.explainedBySet(part, c, alone) })
}

// collectEvidence returns the evidence from the crashes that are not explained. As for requests, crashes count
// separately only if they are MinCrashInterval apart, or a request was sent after the one before.
func (l *Ledger) collectEvidence(until time.Time, explained func(Fingerprint, *crash) bool) map[Fingerprint]*partEvidence {
	crashes := l.latestCrashes(until)
	counts := func(part Fingerprint, c *crash) bool {
		return !l.wasServed(part, c.at) && !l.explainedByRequest(part, c) && !explained(part, c)
	}
	all := map[Fingerprint]*partEvidence{}
	for _, c := range crashes {
		for part, sent := range c.sentParts() {
			if !counts(part, c) {
				continue
			}
			if all[part] == nil {
				all[part] = &partEvidence{byRequest: map[Fingerprint]int{}, first: c.at}
			}
			l.addCrash(all[part], part, c, sent)
		}
	}
	for part, e := range all {
		if len(e.crashes) < l.policy.SuspectThreshold {
			continue
		}
		for _, c := range crashes {
			if !c.at.Before(e.first) && counts(part, c) {
				e.possible++
			}
		}
	}
	return all
}

// maxPartCrashes bounds the crashes that are evidence against parts; the latest are.
const maxPartCrashes = 32

// latestCrashes returns the latest crashes up to a time, the oldest first.
func (l *Ledger) latestCrashes(until time.Time) []*crash {
	list := l.sorted()
	end := len(list)
	for end > 0 && list[end-1].at.After(until) {
		end--
	}
	return list[max(0, end-maxPartCrashes):end]
}

// addCrash adds a crash at which a part was in flight, with a request that was last sent at a time.
func (l *Ledger) addCrash(e *partEvidence, part Fingerprint, c *crash, sent time.Time) {
	e.present++
	if len(e.crashes) > 0 && c.at.Sub(e.last) < l.policy.MinCrashInterval && !sent.After(e.last) {
		return
	}
	e.crashes, e.last = append(e.crashes, c.upstream), c.at
	for request, p := range c.prompts {
		if slices.Contains(p.parts, part) {
			e.byRequest[request]++
		}
	}
}

// sentParts returns the parts that were in flight, and when a request with each was last sent.
func (c *crash) sentParts() map[Fingerprint]time.Time {
	list := map[Fingerprint]time.Time{}
	for _, p := range c.prompts {
		for _, part := range p.parts {
			if p.sent.After(list[part]) {
				list[part] = p.sent
			}
		}
	}
	return list
}

// explainedBySet reports whether a crash is attributed to a quarantined set without a part, given the evidence
// against each part alone.
func (l *Ledger) explainedBySet(part Fingerprint, c *crash, alone map[Fingerprint]*partEvidence) bool {
	for _, set := range l.quarantinedParts {
		if slices.Contains(set, part) || !c.hasPrompt(set) {
			continue
		}
		e, ofSet := alone[part], alone[set[0]]
		if e == nil || ofSet == nil || e.possible == 0 || !e.outweighs(ofSet) {
			return true
		}
	}
	return false
}

// explainedByRequest reports whether a crash is attributed to a quarantined request without a part.
func (l *Ledger) explainedByRequest(part Fingerprint, c *crash) bool {
	for f := range l.quarantined {
		if _, inFlight := c.underWay[f]; inFlight && !slices.Contains(c.prompts[f].parts, part) {
			return true
		}
	}
	return false
}

// wasServed reports whether a part was served so late that a crash at a time does not count against it.
func (l *Ledger) wasServed(part Fingerprint, at time.Time) bool {
	last, ok := l.served[part]
	return ok && !at.After(last.Add(l.policy.PartExonerationPeriod))
}

// RecordServed records that an upstream was writing, or had completed, the answer to a request with a part at
// a time.
func (l *Ledger) RecordServed(part Fingerprint, at time.Time) {
	if at.After(l.served[part]) {
		l.served[part] = at
	}
}

// MarkPartsQuarantined records that requests with all parts of a set are quarantined.
func (l *Ledger) MarkPartsQuarantined(set []Fingerprint) {
	l.quarantinedParts[KeyOf(set)] = set
}

// ReleaseParts records that a set is no longer quarantined.
func (l *Ledger) ReleaseParts(key Fingerprint) { delete(l.quarantinedParts, key) }

// CrashesOfPart returns the number of crashes that count against a part.
func (l *Ledger) CrashesOfPart(part Fingerprint, now time.Time) int {
	if e := l.evidenceAgainstParts(now)[part]; e != nil {
		return len(e.crashes)
	}
	return 0
}

// maxSuspectedParts bounds the parts that are suspected at the same time.
const maxSuspectedParts = 64

// SuspectedParts returns the parts that are suspected, sorted.
func (l *Ledger) SuspectedParts(now time.Time) (list []Fingerprint) {
	evidence := l.evidenceAgainstParts(now)
	for part, e := range evidence {
		if len(e.crashes) >= l.policy.SuspectThreshold {
			list = append(list, part)
		}
	}
	slices.SortFunc(list, func(a, b Fingerprint) int {
		return cmp.Or(cmp.Compare(len(evidence[b].crashes), len(evidence[a].crashes)), compare(a, b))
	})
	list = list[:min(len(list), maxSuspectedParts)]
	slices.SortFunc(list, compare)
	return list
}

// PartsToQuarantine returns the set of parts to quarantine next, sorted; nil if there is none. Parts that were
// in flight at the same crashes can't be told apart: only requests with all of them are quarantined, and only
// after one crash more. A part with weaker evidence waits while a stronger one is only suspected.
func (l *Ledger) PartsToQuarantine(now time.Time) []Fingerprint {
	evidence := l.evidenceAgainstParts(now.Add(-l.policy.SettleDelay))
	best, found := l.strongestEvidence(evidence)
	if !found || len(evidence[best].crashes) < l.policy.QuarantineThreshold {
		return nil
	}
	var set []Fingerprint
	for part, e := range evidence {
		if slices.Equal(e.crashes, evidence[best].crashes) {
			set = append(set, part)
		}
	}
	if len(set) > 1 && len(evidence[best].crashes) == l.policy.QuarantineThreshold {
		return nil
	}
	slices.SortFunc(set, compare)
	if _, held := l.quarantinedParts[KeyOf(set)]; held {
		return nil
	}
	return set
}

// strongestEvidence returns the part with the strongest evidence among those that are suspected and not
// quarantined by themselves. Crashes that a single request explains are no evidence.
func (l *Ledger) strongestEvidence(evidence map[Fingerprint]*partEvidence) (best Fingerprint, found bool) {
	for part, e := range evidence {
		n := len(e.crashes)
		if _, held := l.quarantinedParts[part]; held || n < l.policy.SuspectThreshold || n <= e.mostByRequest() {
			continue
		}
		other := evidence[best]
		if !found || e.outweighs(other) || !other.outweighs(e) && compare(part, best) < 0 {
			best, found = part, true
		}
	}
	return best, found
}

// ConfirmsParts reports whether a single crash since a time shows that requests with a set of parts crash
// upstreams. It must be isolated, and nothing else that is quarantined or suspected may have been in flight.
func (l *Ledger) ConfirmsParts(set []Fingerprint, since, now time.Time) bool {
	until := now.Add(-l.policy.IsolationPeriod)
	counts := l.counts(now)
	for _, c := range l.crashes {
		if c.at.Before(since) || c.at.After(until) || !c.hasPrompt(set) || !l.isolated(c) {
			continue
		}
		if !l.hasOtherSuspect(c, set, counts) {
			return true
		}
	}
	return false
}

// hasOtherSuspect reports whether anything without a set of parts that is quarantined or suspected was in
// flight at a crash.
func (l *Ledger) hasOtherSuspect(c *crash, set []Fingerprint, counts map[Fingerprint]int) bool {
	for f := range c.underWay {
		p := c.prompts[f]
		if !p.has(set) && (l.quarantined[f] || counts[f] >= l.policy.SuspectThreshold) {
			return true
		}
	}
	for _, p := range c.prompts {
		if p.has(set) {
			continue
		}
		for _, other := range l.quarantinedParts {
			if p.has(other) {
				return true
			}
		}
	}
	return false
}

// DescribeParts returns the organisation and target of the latest request with a set of parts that was in flight
// at a crash, and the number of such crashes.
func (l *Ledger) DescribeParts(set []Fingerprint) (organisation, target string, crashes int) {
	for _, c := range l.sorted() {
		if !c.hasPrompt(set) {
			continue
		}
		crashes++
		organisation, target = c.describePrompt(set)
	}
	return organisation, target, crashes
}

// describePrompt returns the organisation and target of the first request, by fingerprint, with a set of parts.
func (c *crash) describePrompt(set []Fingerprint) (organisation, target string) {
	var first Fingerprint
	found := false
	for f, p := range c.prompts {
		if p.has(set) && (!found || compare(f, first) < 0) {
			first, found = f, true
			organisation, target = p.organisation, p.target
		}
	}
	return organisation, target
}

// IsExplained reports whether so many crashes of a request are attributed to others that those
// left would not quarantine it.
func (l *Ledger) IsExplained(request Fingerprint, now time.Time) bool {
	held := l.quarantined[request]
	delete(l.quarantined, request)
	n := l.counts(now)[request]
	if held {
		l.quarantined[request] = true
	}
	return n < l.policy.QuarantineThreshold
}
