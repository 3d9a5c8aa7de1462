package serving

import "time"

// An upstream may restart under the same ID. It then has none of its earlier state, and the
// sequence of its heartbeats starts again. If heartbeats were ordered by sequence alone,
// those of the new incarnation would be taken for late ones of the old incarnation, and it
// would get no work until it had sent more of them, or never if the old one had drained or
// left. Therefore the reported start orders incarnations, and the sequence only the
// heartbeats within one.

// relation is how the incarnation of a heartbeat relates to the known one with its ID.
type relation uint8

const (
	// same is the known incarnation, older an earlier one, newer a later one.
	same relation = iota
	older
	newer
)

// compare determines which incarnation a heartbeat u belongs to. A heartbeat without a start
// belongs to the known one. If the known one has not reported its start, the heartbeat is
// newer only if its incarnation started after the last change of the known one. Otherwise
// an incarnation would become usable again by a heartbeat from before its leave if that
// leave came without a start, or if a snapshot of a release that stored none was restored.
func compare(known, u *Upstream) relation {
	switch {
	case u.StartedAt == 0 || u.StartedAt == known.StartedAt:
		return same
	case known.StartedAt == 0 && u.StartedAt <= known.At/int64(time.Millisecond):
		return same
	case u.StartedAt < known.StartedAt:
		return older
	}
	return newer
}

// ChangesState reports whether a heartbeat u changes what is recorded for its ID.
func ChangesState(known, u *Upstream) bool {
	switch compare(known, u) {
	case older:
		return false
	case newer:
		return true
	}
	if known.State == Gone || u.Sequence <= known.Sequence {
		return false
	}
	if known.Silent || known.State == Superseded || known.StartedAt < u.StartedAt {
		return true
	}
	return known.State != Draining && known.State != u.State ||
		known.Address != u.Address || known.Service != u.Service || known.Slots != u.Slots || known.Software != u.Software
}
