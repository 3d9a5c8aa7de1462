package quarantine

import (
	"slices"
	"time"

	"github.com/comfreyladder/comfreyladder/core/wire"
)

// CrashState is a crash in a snapshot.
type CrashState struct {
	wire.Array
	Upstream uint64
	// At is in nanoseconds since the Unix epoch.
	At       int64
	UnderWay []AttemptState
	// Prompts are the requests whose prompts are evidence.
	Prompts []PromptState
}

// PromptState is a request that was in flight at a crash, with the parts of its prompt, in a snapshot.
type PromptState struct {
	wire.Array
	Fingerprint Fingerprint
	// Sent is in nanoseconds since the Unix epoch.
	Sent                 int64
	Organisation, Target string
	Parts                []Fingerprint
}

// AttemptState is a request that was in flight at a crash, in a snapshot.
type AttemptState struct {
	wire.Array
	Fingerprint Fingerprint
	// Sent is in nanoseconds since the Unix epoch.
	Sent                 int64
	Organisation, Target string
}

// SuccessState is a success in a snapshot.
type SuccessState struct {
	wire.Array
	Fingerprint Fingerprint
	// At is in nanoseconds since the Unix epoch.
	At int64
}

// Successes returns the recorded successes, sorted.
func (l *Ledger) Successes() []SuccessState { return successStates(l.succeeded) }

// Served returns when parts were last served, sorted by part.
func (l *Ledger) Served() []SuccessState { return successStates(l.served) }

func successStates(times map[Fingerprint]time.Time) []SuccessState {
	list := make([]SuccessState, 0, len(times))
	for f, at := range times {
		list = append(list, SuccessState{Fingerprint: f, At: at.UnixNano()})
	}
	slices.SortFunc(list, func(a, b SuccessState) int { return compare(a.Fingerprint, b.Fingerprint) })
	return list
}

// State returns the recorded crashes. Equal ledgers give equal states.
func (l *Ledger) State() []CrashState {
	list := make([]CrashState, 0, len(l.crashes))
	for _, c := range l.sorted() {
		s := CrashState{Upstream: c.upstream, At: c.at.UnixNano()}
		for f, a := range c.underWay {
			s.UnderWay = append(s.UnderWay, AttemptState{Fingerprint: f, Sent: a.sent.UnixNano(), Organisation: a.organisation, Target: a.target})
		}
		slices.SortFunc(s.UnderWay, func(a, b AttemptState) int { return compare(a.Fingerprint, b.Fingerprint) })
		s.Prompts = c.promptStates()
		list = append(list, s)
	}
	return list
}

func (c *crash) promptStates() (list []PromptState) {
	for f, p := range c.prompts {
		parts := slices.Clone(p.parts)
		slices.SortFunc(parts, compare)
		list = append(list, PromptState{Fingerprint: f, Sent: p.sent.UnixNano(), Organisation: p.organisation, Target: p.target, Parts: parts})
	}
	slices.SortFunc(list, func(a, b PromptState) int { return compare(a.Fingerprint, b.Fingerprint) })
	return list
}

func timesOf(list []SuccessState) map[Fingerprint]time.Time {
	times := make(map[Fingerprint]time.Time, len(list))
	for _, s := range list {
		times[s.Fingerprint] = time.Unix(0, s.At).UTC()
	}
	return times
}

// Restore replaces the crashes, successes and served parts, and clears what is quarantined.
func (l *Ledger) Restore(list []CrashState, successes, served []SuccessState) {
	l.succeeded, l.served = timesOf(successes), timesOf(served)
	l.quarantinedParts = map[Fingerprint][]Fingerprint{}
	l.crashes, l.quarantined = make(map[uint64]*crash, len(list)), map[Fingerprint]bool{}
	for i := range list {
		s := &list[i]
		c := &crash{upstream: s.Upstream, at: time.Unix(0, s.At).UTC(), underWay: make(map[Fingerprint]attempt, len(s.UnderWay)), prompts: make(map[Fingerprint]prompt, len(s.Prompts))}
		for _, a := range s.UnderWay {
			c.underWay[a.Fingerprint] = attempt{time.Unix(0, a.Sent).UTC(), a.Organisation, a.Target}
		}
		for _, p := range s.Prompts {
			c.prompts[p.Fingerprint] = prompt{attempt{time.Unix(0, p.Sent).UTC(), p.Organisation, p.Target}, p.Parts}
		}
		l.crashes[s.Upstream] = c
	}
}
