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

// removal is one dropped incarnation. index is the log index at which it was dropped; a reader that
// has the state as of known has dropped it already.
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

// between calls f for each incarnation that was dropped after a log index, but not after to, and
// that a reader with the state as of that index may have.
func (l *removalLog) between(index, to uint64, f func(id string)) {
	for i := len(l.entries) - 1; i >= 0 && l.entries[i].index > index; i-- {
		if r := &l.entries[i]; r.index <= to && r.known > index {
			f(r.id)
		}
	}
}
