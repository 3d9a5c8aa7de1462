package serving

// maxRemovals bounds the removals that a member remembers. A reader that lacks earlier ones gets
// the whole state.
const maxRemovals = 4096

// removalLog remembers which incarnations were dropped, so that a reader can be told of them
// without the whole state. It is not replicated: a restored member starts without removals.
type removalLog struct {
	// from is the log index up to which removals are not remembered.
	from    uint64
	entries []removal
}

// removal is one dropped incarnation. index is the log index at which it was dropped, and known the one
// from which on a reader must not have it any more: an incarnation that left is gone before it is
// dropped.
type removal struct {
	index, known uint64
	id           string
}

func (l *removalLog) add(index uint64, u *Upstream) {
	r := removal{index: index, known: index, id: u.ID}
	if u.State == Gone {
		r.known = u.Changed
	}
	l.entries = append(l.entries, r)
	if extra := len(l.entries) - maxRemovals; extra > maxRemovals/4 {
		l.from = l.entries[extra-1].index
		l.entries = append([]removal(nil), l.entries[extra:]...)
	}
}

// between calls f for each dropped incarnation that a reader with the state as of a log index may have,
// and a reader with the state as of to must not have.
func (l *removalLog) between(index, to uint64, f func(id string)) {
	for i := len(l.entries) - 1; i >= 0 && l.entries[i].index > index; i-- {
		if r := &l.entries[i]; r.known <= to && r.known > index {
			f(r.id)
		}
	}
}
