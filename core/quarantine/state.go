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
func (l *Ledger) Successes() []SuccessState {
	list := make([]SuccessState, 0, len(l.succeeded))
	for f, at := range l.succeeded {
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
		list = append(list, s)
	}
	return list
}

// Restore replaces the crashes and successes and clears the quarantined requests.
func (l *Ledger) Restore(list []CrashState, successes []SuccessState) {
	l.succeeded = make(map[Fingerprint]time.Time, len(successes))
	for _, s := range successes {
		l.succeeded[s.Fingerprint] = time.Unix(0, s.At).UTC()
	}
	l.crashes, l.quarantined = make(map[uint64]*crash, len(list)), map[Fingerprint]bool{}
	for i := range list {
		s := &list[i]
		c := &crash{upstream: s.Upstream, at: time.Unix(0, s.At).UTC(), underWay: make(map[Fingerprint]attempt, len(s.UnderWay))}
		for _, a := range s.UnderWay {
			c.underWay[a.Fingerprint] = attempt{time.Unix(0, a.Sent).UTC(), a.Organisation, a.Target}
		}
		l.crashes[s.Upstream] = c
	}
}
