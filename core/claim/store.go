package claim

import (
	"cmp"
	"container/heap"
	"slices"
	"strings"
	"time"

	"github.com/comfreyladder/comfreyladder/core/fault"
)

// size returns the bytes of headers and body.
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

// cost is the accounted size of an entry, in bytes.
func (e *entry) cost() int64 {
	k, v := &e.Key, &e.View
	text := len(k.Organisation) + len(k.Service) + len(k.Idempotency) + len(v.Instance) + len(v.Attempt) + len(v.Request) + len(v.Upstream)
	return entryOverhead + int64(text) + v.Receipt.size()
}

func (m *Machine) fits(organisation string, cost int64) bool {
	return m.bytes+cost <= m.limits.Bytes && m.byOrg[organisation]+cost <= m.limits.OrganisationBytes
}

// account adds the entry's cost, or takes it off with sign -1.
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
	heap.Push(&m.due, e)
}

func (m *Machine) remove(e *entry) {
	delete(m.entries, e.Key)
	heap.Remove(&m.due, e.place)
	m.account(e, -1)
}

// expire ends what is due at the given time of the log. All members see the
// same times, so they forget the same keys between the same commands; a local
// clock would let one member grant what another still refuses.
func (m *Machine) expire(at Instant) {
	for len(m.due) > 0 && m.due[0].Due <= at {
		e := m.due[0]
		if e.Tombstone {
			m.remove(e)
			continue
		}
		m.account(e, -1)
		e.Tombstone = true
		e.View.Receipt = nil
		e.Due = e.Due.Add(e.Retention)
		m.account(e, 1)
		heap.Fix(&m.due, 0)
	}
}

// shorten returns the shortest retention that the service ever had. Outdated
// keys are judged by it, because a claim made under a shorter retention was
// forgotten sooner than the present one says.
func (m *Machine) shorten(service string, retention time.Duration) time.Duration {
	s, ok := m.shortest[service]
	if !ok || retention < s {
		m.shortest[service] = retention
		return retention
	}
	return s
}

// Stats describes the ledger's use for metrics and the capacity page.
type Stats struct {
	Claims     int
	Tombstones int
	// Unknown counts outcomes that wait for a query or an operator.
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
		} else if e.tell(InstantOf(at)).Verdict == OutcomeUnknown {
			s.Unknown++
		}
	}
	return s
}

// KeyedClaim is one claim with its key.
type KeyedClaim struct {
	Key  Key
	View View
}

// Unknowns lists at most limit claims with an unknown outcome, in order of time.
func (m *Machine) Unknowns(at time.Time, limit int) []KeyedClaim {
	var out []KeyedClaim
	for _, e := range m.entries {
		if r := e.tell(InstantOf(at)); r.Verdict == OutcomeUnknown {
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
	Entries  []*entry                 `codec:"e"`
	Shortest map[string]time.Duration `codec:"s"`
}

// Snapshot returns the whole state; equal states give equal bytes.
func (m *Machine) Snapshot() ([]byte, error) {
	s := snapshot{Shortest: m.shortest, Entries: make([]*entry, 0, len(m.entries))}
	for _, e := range m.entries {
		s.Entries = append(s.Entries, e)
	}
	slices.SortFunc(s.Entries, func(a, b *entry) int { return compareKeys(a.Key, b.Key) })
	return Encode(&s)
}

// Restore replaces the state by a snapshot. It fails with fault.Corrupt and then
// leaves the state as it was.
func (m *Machine) Restore(b []byte) error {
	var s snapshot
	if err := Decode(b, &s); err != nil {
		return err
	}
	for _, e := range s.Entries {
		if e == nil || len(e.Digest) != digestLen || e.Retention <= 0 {
			return fault.New(fault.Corrupt, "the snapshot of claims holds a damaged entry")
		}
	}
	m.reset()
	for _, e := range s.Entries {
		m.insert(e)
	}
	for service, r := range s.Shortest {
		m.shortest[service] = r
	}
	return nil
}

// dueQueue orders entries by the time at which they are due.
type dueQueue []*entry

func (q dueQueue) Len() int           { return len(q) }
func (q dueQueue) Less(i, j int) bool { return q[i].Due < q[j].Due }

// Swap implements heap.Interface.
func (q dueQueue) Swap(i, j int) {
	q[i], q[j] = q[j], q[i]
	q[i].place, q[j].place = i, j
}

// Push implements heap.Interface.
func (q *dueQueue) Push(x any) {
	e := x.(*entry)
	e.place = len(*q)
	*q = append(*q, e)
}

// Pop implements heap.Interface.
func (q *dueQueue) Pop() any {
	last := len(*q) - 1
	e := (*q)[last]
	(*q)[last] = nil
	*q = (*q)[:last]
	return e
}
