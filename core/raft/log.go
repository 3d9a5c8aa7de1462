package raft

// memLog holds the entries after the last snapshot in memory.
type memLog struct {
	// snapIndex and snapTerm name the last entry that the snapshot covers.
	snapIndex, snapTerm uint64
	snapAt              int64
	entries             []Entry
	// stable is the highest index that is synced.
	stable uint64
}

func (l *memLog) last() uint64 { return l.snapIndex + uint64(len(l.entries)) }

func (l *memLog) lastTerm() uint64 { return l.term(l.last()) }

func (l *memLog) lastAt() int64 {
	if len(l.entries) == 0 {
		return l.snapAt
	}
	return l.entries[len(l.entries)-1].At
}

// term returns the term of an entry, or 0 when it is not known.
func (l *memLog) term(index uint64) uint64 {
	switch {
	case index == l.snapIndex:
		return l.snapTerm
	case index < l.snapIndex || index > l.last():
		return 0
	}
	return l.entries[index-l.snapIndex-1].Term
}

// has reports whether the log holds exactly that entry.
func (l *memLog) has(index, term uint64) bool {
	return index >= l.snapIndex && index <= l.last() && l.term(index) == term
}

// view returns the entries from low to high, both included, as they are.
func (l *memLog) view(low, high uint64) []Entry {
	low = max(low, l.snapIndex+1)
	high = min(high, l.last())
	if low > high {
		return nil
	}
	return l.entries[low-l.snapIndex-1 : high-l.snapIndex]
}

// slice is view with a copy of the entries.
func (l *memLog) slice(low, high uint64) []Entry {
	return append([]Entry(nil), l.view(low, high)...)
}

// bytes returns the size of the data of the entries from low to high.
func (l *memLog) bytes(low, high uint64) int {
	size := 0
	for _, e := range l.view(low, high) {
		size += len(e.Data)
	}
	return size
}

// within returns the highest index such that the data from low up to it does not
// exceed limit, but at least low.
func (l *memLog) within(low, high uint64, limit int) uint64 {
	for i, e := range l.view(low, high) {
		limit -= len(e.Data)
		if limit < 0 && i > 0 {
			return low + uint64(i) - 1
		}
	}
	return high
}

// cut drops the entries from index on.
func (l *memLog) cut(index uint64) {
	l.entries = l.entries[:index-l.snapIndex-1]
	l.stable = min(l.stable, index-1)
}

// compact drops the entries up to index, which a snapshot now covers.
func (l *memLog) compact(index uint64) {
	term, at := l.term(index), l.entries[index-l.snapIndex-1].At
	l.entries = append([]Entry(nil), l.entries[index-l.snapIndex:]...)
	l.snapIndex, l.snapTerm, l.snapAt = index, term, at
}

// reset replaces the log by a snapshot.
func (l *memLog) reset(s *Snapshot) {
	*l = memLog{snapIndex: s.Index, snapTerm: s.Term, snapAt: s.At, stable: s.Index}
}

// covered reports whether a log that ends with (index, term) is at least as new.
func (l *memLog) covered(index, term uint64) bool {
	if term != l.lastTerm() {
		return term > l.lastTerm()
	}
	return index >= l.last()
}
