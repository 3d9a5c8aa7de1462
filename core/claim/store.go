package claim

import (
	"cmp"
	"container/heap"
	"slices"
	"strings"
	"time"

	"github.com/comfreyladder/comfreyladder/core/fault"
)

// size returns the size of headers and body in bytes.
func (r *Receipt) size() int64 {
	if r == nil {
		return 0
	}
	n := len(r.Body)
	for _, f := range r.Headers {
		n += len(f.Name) + len(f.Value)
	}
	return int64(n)
}

// cost returns the accounted size of an entry in bytes.
func (e *entry) cost() int64 {
	k, v := &e.Key, &e.View
	text := len(k.Organisation) + len(k.Service) + len(k.Idempotency) + len(v.Instance) + len(v.Attempt) + len(v.Request) + len(v.Upstream)
	return entryOverhead + int64(text) + v.Receipt.size()
}

func (m *Machine) hasRoom(organisation string, cost int64) bool {
	return m.bytes+cost <= m.limits.Bytes && m.byOrg[organisation]+cost <= m.limits.OrganisationBytes
}

// account adds the cost of the entry to the totals, or subtracts it if sign is -1.
func (m *Machine) account(e *entry, sign int64) {
	cost := sign * e.cost()
	m.bytes += cost
	org := e.Key.Organisation
	m.byOrg[org] += cost
	if m.byOrg[org] == 0 {
		delete(m.byOrg, org)
	}
}

func (m *Machine) insert(e *entry) {
	m.entries[e.Key] = e
	m.account(e, 1)
	heap.Push(&m.expiryQueue, e)
}

func (m *Machine) remove(e *entry) {
	delete(m.entries, e.Key)
	heap.Remove(&m.expiryQueue, e.heapIndex)
	m.account(e, -1)
}

// expire processes all entries that expire at or before the given time of the log. All
// members see the same times, so they remove the same keys between the same commands;
// with a local clock one member could grant a key that another still refuses.
func (m *Machine) expire(at Instant) {
	for len(m.expiryQueue) > 0 && m.expiryQueue[0].ExpiresAt <= at {
		e := m.expiryQueue[0]
		if e.Tombstone {
			m.remove(e)
			continue
		}
		m.account(e, -1)
		e.Tombstone = true
		e.View.Receipt = nil
		e.ExpiresAt = e.ExpiresAt.Add(e.Retention)
		m.account(e, 1)
		heap.Fix(&m.expiryQueue, 0)
	}
}

// minRetention updates and returns the shortest retention that the service has ever had.
// It decides which keys are outdated, because a claim made under a shorter retention was
// removed earlier than the current retention suggests.
func (m *Machine) minRetention(service string, retention time.Duration) time.Duration {
	s, ok := m.minRetentions[service]
	if !ok || retention < s {
		m.minRetentions[service] = retention
		return retention
	}
	return s
}

// Stats describes the use of the state, for metrics and the capacity page.
type Stats struct {
	Claims     int
	Tombstones int
	// Unknown counts the outcomes that wait for a query or an operator.
	Unknown int
	// Bytes is the accounted size.
	Bytes int64
}

// Stats returns the counts at the given time.
func (m *Machine) Stats(at time.Time) Stats {
	s := Stats{Claims: len(m.entries), Bytes: m.bytes}
	for _, e := range m.entries {
		if e.Tombstone {
			s.Tombstones++
		} else if e.lookup(InstantOf(at)).Verdict == OutcomeUnknown {
			s.Unknown++
		}
	}
	return s
}

// KeyedClaim is a claim with its key.
type KeyedClaim struct {
	Key  Key
	View View
}

// Unknowns lists at most limit claims with an unknown outcome, oldest first.
func (m *Machine) Unknowns(at time.Time, limit int) []KeyedClaim {
	var out []KeyedClaim
	for _, e := range m.entries {
		if r := e.lookup(InstantOf(at)); r.Verdict == OutcomeUnknown {
			out = append(out, KeyedClaim{Key: e.Key, View: *r.View})
		}
	}
	slices.SortFunc(out, func(a, b KeyedClaim) int {
		if c := cmp.Compare(a.View.At, b.View.At); c != 0 {
			return c
		}
		return compareKeys(a.Key, b.Key)
	})
	return out[:min(limit, len(out))]
}

func compareKeys(a, b Key) int {
	if c := strings.Compare(a.Organisation, b.Organisation); c != 0 {
		return c
	}
	if c := strings.Compare(a.Service, b.Service); c != 0 {
		return c
	}
	return strings.Compare(a.Idempotency, b.Idempotency)
}

type snapshot struct {
	Entries       []*entry                 `codec:"e"`
	MinRetentions map[string]time.Duration `codec:"s"`
}

// Snapshot encodes the whole state; equal states have equal encodings.
func (m *Machine) Snapshot() ([]byte, error) {
	s := snapshot{MinRetentions: m.minRetentions, Entries: make([]*entry, 0, len(m.entries))}
	for _, e := range m.entries {
		s.Entries = append(s.Entries, e)
	}
	slices.SortFunc(s.Entries, func(a, b *entry) int { return compareKeys(a.Key, b.Key) })
	return Encode(&s)
}

// Restore replaces the state with a snapshot. If it fails, with fault.Corrupt, the state
// is unchanged.
func (m *Machine) Restore(b []byte) error {
	var s snapshot
	if err := Decode(b, &s); err != nil {
		return err
	}
	for _, e := range s.Entries {
		if e == nil || len(e.Digest) != digestLen || e.Retention <= 0 {
			return fault.New(fault.Corrupt, "the snapshot of claims contains an invalid entry")
		}
	}
	m.reset()
	for _, e := range s.Entries {
		m.insert(e)
	}
	for service, r := range s.MinRetentions {
		m.minRetentions[service] = r
	}
	return nil
}

// expiryHeap is a heap of entries ordered by expiry time.
type expiryHeap []*entry

func (q expiryHeap) Len() int           { return len(q) }
func (q expiryHeap) Less(i, j int) bool { return q[i].ExpiresAt < q[j].ExpiresAt }

// Swap implements heap.Interface.
func (q expiryHeap) Swap(i, j int) {
	q[i], q[j] = q[j], q[i]
	q[i].heapIndex, q[j].heapIndex = i, j
}

// Push implements heap.Interface.
func (q *expiryHeap) Push(x any) {
	e := x.(*entry)
	e.heapIndex = len(*q)
	*q = append(*q, e)
}

// Pop implements heap.Interface.
func (q *expiryHeap) Pop() any {
	last := len(*q) - 1
	e := (*q)[last]
	(*q)[last] = nil
	*q = (*q)[:last]
	return e
}
