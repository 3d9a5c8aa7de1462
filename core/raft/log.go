package raft

// memLog holds in memory the log entries after the last snapshot.
type memLog struct {
	// snapIndex and snapTerm identify the last entry covered by the snapshot.
	snapIndex, snapTerm uint64
	snapTimestamp       int64
	entries             []Entry
	// stable is the highest synced index.
	stable uint64
}

func (l *memLog) last() uint64 { return l.snapIndex + uint64(len(l.entries)) }

func (l *memLog) lastTerm() uint64 { return l.term(l.last()) }

func (l *memLog) lastTimestamp() int64 {
	if len(l.entries) == 0 {
		return l.snapTimestamp
	}
	return l.entries[len(l.entries)-1].Timestamp
}

// term returns the term of an entry, or 0 if it is unknown.
func (l *memLog) term(index uint64) uint64 {
	switch {
	case index == l.snapIndex:
		return l.snapTerm
	case index < l.snapIndex || index > l.last():
		return 0
	}
	return l.entries[index-l.snapIndex-1].Term
}

// has reports whether the log contains the entry with this index and term.
func (l *memLog) has(index, term uint64) bool {
	return index >= l.snapIndex && index <= l.last() && l.term(index) == term
}

// view returns the entries from low to high, both included, without copying.
func (l *memLog) view(low, high uint64) []Entry {
	low = max(low, l.snapIndex+1)
	high = min(high, l.last())
	if low > high {
		return nil
	}
	return l.entries[low-l.snapIndex-1 : high-l.snapIndex]
}

// slice returns a copy of the entries from low to high, both included.
func (l *memLog) slice(low, high uint64) []Entry {
	return append([]Entry(nil), l.view(low, high)...)
}

// dataSize returns the size of the data of the entries from low to high, both included,
// in bytes.
func (l *memLog) dataSize(low, high uint64) int {
	size := 0
	for _, e := range l.view(low, high) {
		size += len(e.Data)
	}
	return size
}

// limitBytes returns the highest index, at least low, such that the data of the entries
// from low to it does not exceed limit.
func (l *memLog) limitBytes(low, high uint64, limit int) uint64 {
	for i, e := range l.view(low, high) {
		limit -= len(e.Data)
		if limit < 0 && i > 0 {
			return low + uint64(i) - 1
		}
	}
	return high
}

// truncateFrom drops the entries from index on.
func (l *memLog) truncateFrom(index uint64) {
	l.entries = l.entries[:index-l.snapIndex-1]
	l.stable = min(l.stable, index-1)
}

// compact drops the entries up to index, which a snapshot now covers.
func (l *memLog) compact(index uint64) {
	term, at := l.term(index), l.entries[index-l.snapIndex-1].Timestamp
	l.entries = append([]Entry(nil), l.entries[index-l.snapIndex:]...)
	l.snapIndex, l.snapTerm, l.snapTimestamp = index, term, at
}

// reset replaces the log with a snapshot.
func (l *memLog) reset(s *Snapshot) {
	*l = memLog{snapIndex: s.Index, snapTerm: s.Term, snapTimestamp: s.Timestamp, stable: s.Index}
}

// isUpToDate reports whether a log that ends with (index, term) is at least as up to date
// as this one.
func (l *memLog) isUpToDate(index, term uint64) bool {
	if term != l.lastTerm() {
		return term > l.lastTerm()
	}
	return index >= l.last()
}
